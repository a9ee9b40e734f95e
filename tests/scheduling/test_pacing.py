"""Tests of how fast fillers may work."""

import testtools

from wagtailtiller.scheduling import pacing


class PaceTest(testtools.TestCase):
    def test_a_tail_near_its_target_pauses_fillers(self):
        pace = pacing.Pace()
        self.assertEqual(0, pace.adapt(0.9, 0))

    def test_fillers_come_back_by_steps(self):
        pace = pacing.Pace()
        pace.adapt(0.9, 0)
        self.assertEqual(0, pace.adapt(0.1, 100))
        self.assertEqual(25, pace.adapt(0.1, 2_000))
        self.assertEqual(25, pace.adapt(0.1, 2_100))
        self.assertEqual(50, pace.adapt(0.1, 4_000))

    def test_a_second_pause_lasts_longer(self):
        pace = pacing.Pace()
        pace.adapt(0.9, 0)
        pace.adapt(0.1, 2_000)
        pace.adapt(0.9, 3_000)
        self.assertEqual(0, pace.adapt(0.1, 5_000))
        self.assertEqual(25, pace.adapt(0.1, 6_100))

    def test_nothing_that_serves_leaves_fillers_alone(self):
        self.assertEqual(100, pacing.Pace().adapt(0.0, 0))
