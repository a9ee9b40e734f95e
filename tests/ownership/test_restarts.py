"""Tests of the recognition of restarts one after another."""

import testtools

from wagtailtiller import ids
from wagtailtiller.ownership import restarts

_A = ids.NodeId("a")
_B = ids.NodeId("b")
_C = ids.NodeId("c")


class RestartTrackerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.tracker = restarts.RestartTracker()
        for node in (_A, _B, _C):
            self.tracker.record_start(node, "1", None)

    def restart(self, node, now_ms, incarnation="2"):
        self.tracker.record_leaving(node, now_ms)
        self.tracker.record_start(node, incarnation, now_ms + 1_000)

    def test_restart_of_one_process_says_nothing(self):
        self.restart(_A, 1_000)
        self.assertEqual(frozenset(), self.tracker.restarted(2_500))

    def test_processes_restarted_in_turn_are_told_from_the_others(self):
        """Load pattern: all entry VMs are restarted 2 s apart."""
        self.restart(_A, 1_000)
        self.tracker.record_leaving(_B, 3_000)
        self.assertEqual({_A}, self.tracker.restarted(3_000))
        self.tracker.record_start(_B, "2", 4_000)
        self.assertEqual({_A, _B}, self.tracker.restarted(4_000))

    def test_series_ends_after_seconds_without_restarts(self):
        """Guards against pools that gather on some VMs for good."""
        self.restart(_A, 1_000)
        self.restart(_B, 3_000)
        self.assertEqual(frozenset(), self.tracker.restarted(13_500))
        self.restart(_C, 20_000)
        self.assertEqual(frozenset(), self.tracker.restarted(22_000))
        self.restart(_A, 23_000, "3")
        self.assertEqual({_A, _C}, self.tracker.restarted(25_000))

    def test_process_of_unknown_age_is_not_taken_for_restarted(self):
        """Guards against a new observer that takes all for restarted."""
        observer = restarts.RestartTracker()
        observer.record_start(_C, "1", None)
        observer.record_leaving(_A, 1_000)
        observer.record_leaving(_B, 3_000)
        self.assertEqual(frozenset(), observer.restarted(3_000))

    def test_process_that_is_listed_again_has_not_been_restarted(self):
        """Guards against a lease that lapsed and was replaced."""
        self.tracker.record_leaving(_A, 1_000)
        self.tracker.record_leaving(_B, 3_000)
        self.tracker.record_start(_C, "1", 4_000)
        self.assertEqual(frozenset(), self.tracker.restarted(5_000))
