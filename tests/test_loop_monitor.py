"""Tests of the decision whether a process is late."""

import testtools

from wagtailtiller import loop_monitor

_INTERVAL_MS = 100


class LatenessGaugeTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.gauge = loop_monitor.LatenessGauge()
        self.now_ms = 1_000_000

    def add(self, late_ms, count=1):
        for _ in range(count):
            self.now_ms += _INTERVAL_MS + late_ms
            self.gauge.add(self.now_ms, late_ms)

    def test_slowed_vm_is_late_within_a_second_and_a_half(self):
        """Load pattern: a VM runs seven times slower for 5 s."""
        self.add(2, 50)
        started_ms = self.now_ms
        while not self.gauge.late:
            self.add(400)
        self.assertLessEqual(self.now_ms - started_ms, 1_500)

    def test_turns_longer_than_the_window_are_late(self):
        """Guards against a gauge that forgets while the loop is stuck."""
        self.add(2, 50)
        self.add(2_500, 2)
        self.assertTrue(self.gauge.late)

    def test_single_long_turn_is_not_late(self):
        """Guards against a hand-over by a process that has just taken over."""
        self.add(2, 50)
        self.add(1_800)
        self.assertFalse(self.gauge.late)
        self.add(2, 50)
        self.assertFalse(self.gauge.late)

    def test_occasional_late_turns_are_not_late(self):
        for _ in range(20):
            self.add(110)
            self.add(2, 5)
            self.assertFalse(self.gauge.late)

    def test_late_process_recovers_after_seconds_without_lateness(self):
        """Guards against ownership that flaps with the turns of a loop."""
        self.add(400, 10)
        self.assertTrue(self.gauge.late_now)
        self.add(2, 20)
        self.assertTrue(self.gauge.late)
        self.assertFalse(self.gauge.late_now)
        self.add(400, 4)
        self.add(2, 25)
        self.assertTrue(self.gauge.late)
        self.add(2, 30)
        self.assertFalse(self.gauge.late)

    def test_largest_recent_lateness_is_forgotten(self):
        self.add(300)
        self.add(2, 5)
        self.assertEqual(300, self.gauge.recent_ms(self.now_ms))
        self.assertEqual(0, self.gauge.recent_ms(self.now_ms + 3_000))
