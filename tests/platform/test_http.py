"""Tests of the HTTP client's adaptive timeout."""

import testtools

from wagtailtiller.platform import http


class AdaptiveTimeoutTest(testtools.TestCase):
    def test_fast_response_gives_minimum_timeout(self):
        timeout = http.AdaptiveTimeout(400, 1_500)
        timeout.record(True, 4)
        self.assertEqual(400, timeout.timeout_ms)

    def test_slow_response_extends_timeout(self):
        timeout = http.AdaptiveTimeout(400, 1_500)
        timeout.record(True, 240)
        self.assertEqual(960, timeout.timeout_ms)

    def test_lost_responses_double_timeout_up_to_limit(self):
        timeout = http.AdaptiveTimeout(400, 1_500)
        for _ in range(5):
            timeout.record(False, 400)
        self.assertEqual(1_500, timeout.timeout_ms)

    def test_response_after_loss_resets_timeout(self):
        timeout = http.AdaptiveTimeout(400, 1_500)
        timeout.record(False, 400)
        timeout.record(True, 5)
        self.assertEqual(400, timeout.timeout_ms)
