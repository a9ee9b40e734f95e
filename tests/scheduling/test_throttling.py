"""Tests of the throttling of fillers."""

import testtools

from wagtailtiller.scheduling import throttling


class FillerThrottleTest(testtools.TestCase):
    def test_tail_latency_near_its_target_pauses_fillers(self):
        throttle = throttling.FillerThrottle()
        self.assertEqual(0, throttle.adapt(0.9, 0))

    def test_the_speed_rises_in_steps_after_a_pause(self):
        throttle = throttling.FillerThrottle()
        throttle.adapt(0.9, 0)
        self.assertEqual(0, throttle.adapt(0.1, 100))
        self.assertEqual(25, throttle.adapt(0.1, 2_000))
        self.assertEqual(25, throttle.adapt(0.1, 2_100))
        self.assertEqual(50, throttle.adapt(0.1, 4_000))

    def test_a_second_pause_lasts_longer(self):
        throttle = throttling.FillerThrottle()
        throttle.adapt(0.9, 0)
        throttle.adapt(0.1, 2_000)
        throttle.adapt(0.9, 3_000)
        self.assertEqual(0, throttle.adapt(0.1, 5_000))
        self.assertEqual(25, throttle.adapt(0.1, 6_100))

    def test_fillers_run_at_full_speed_without_serving_tasks(self):
        self.assertEqual(100, throttling.FillerThrottle().adapt(0.0, 0))
