"""Tests of the client of the platform's store."""

import testtools

from wagtailtiller.platform import store


class AdaptiveTimeoutTest(testtools.TestCase):
    def test_lost_answers_of_a_quick_store_are_noticed_soon(self):
        timeout = store.AdaptiveTimeout()
        timeout.record(True, 4)
        self.assertEqual(400, timeout.timeout_ms)

    def test_a_slow_store_is_given_time(self):
        timeout = store.AdaptiveTimeout()
        timeout.record(True, 240)
        self.assertEqual(960, timeout.timeout_ms)

    def test_time_outs_double_the_wait_up_to_a_limit(self):
        timeout = store.AdaptiveTimeout()
        for _ in range(5):
            timeout.record(False, 400)
        self.assertEqual(1_500, timeout.timeout_ms)

    def test_one_answer_after_losses_makes_it_short_again(self):
        timeout = store.AdaptiveTimeout()
        timeout.record(False, 400)
        timeout.record(True, 5)
        self.assertEqual(400, timeout.timeout_ms)
