"""Tests of the client of the platform's store."""

import testtools

from wagtailtiller.platform import store


class PatienceTest(testtools.TestCase):
    def test_lost_answers_of_a_quick_store_are_noticed_soon(self):
        patience = store.Patience()
        patience.note(True, 4)
        self.assertEqual(400, patience.timeout_ms)

    def test_a_slow_store_is_given_time(self):
        patience = store.Patience()
        patience.note(True, 240)
        self.assertEqual(960, patience.timeout_ms)

    def test_time_outs_double_the_wait_up_to_a_limit(self):
        patience = store.Patience()
        for _ in range(5):
            patience.note(False, 400)
        self.assertEqual(1_500, patience.timeout_ms)

    def test_one_answer_after_losses_makes_it_short_again(self):
        patience = store.Patience()
        patience.note(False, 400)
        patience.note(True, 5)
        self.assertEqual(400, patience.timeout_ms)
