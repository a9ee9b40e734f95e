"""Tests of how many machines a pool keeps."""

import testtools

from wagtailtiller import ids
from wagtailtiller.maintenance import returns

_POOL = ids.PoolId("renders")


class GivenSizeTest(testtools.TestCase):
    """Load pattern: the peaks of several pools come by turns."""

    def setUp(self):
        super().setUp()
        self.policy = returns.ReturnPolicy()

    def test_machines_that_start_after_the_manager_are_given_ones(self):
        """Guards against pools that are emptied before their first peak.

        The manager reads the list of machines while they still start.
        """
        for at_ms, present in ((0, 0), (200, 3), (2_000, 9)):
            self.policy.observe(_POOL, 1, present, at_ms)
        self.policy.arrivals_since_ms = 10_000
        self.assertEqual(9, self.policy.machines_kept(_POOL, 1, 11_000))

    def test_machines_that_come_with_the_work_are_not_given(self):
        self.policy.observe(_POOL, 1, 4, 0)
        self.policy.arrivals_since_ms = 10_000
        self.policy.observe(_POOL, 1, 9, 11_000)
        self.assertEqual(4, self.policy.machines_kept(_POOL, 1, 11_000))

    def test_the_given_size_is_not_kept_for_ever(self):
        self.policy.observe(_POOL, 1, 9, 0)
        self.policy.arrivals_since_ms = 10_000
        later_ms = 10_001 + returns.KEEP_GIVEN_SIZE_MS
        self.assertEqual(1, self.policy.machines_kept(_POOL, 1, later_ms))
