"""Tests of what a process may do under its lease in the store."""

import testtools

from support import clocks
from support import leases
from wagtailtiller.ownership import authority


class AuthorityTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.FakeClock()
        self.lease = leases.FakeLease(self.clock)
        self.authority = authority.Authority(self.lease)

    def test_each_action_is_allowed_up_to_its_age(self):
        for action, age_ms in authority.MAX_LEASE_AGE_MS.items():
            self.lease.current_age_ms = age_ms
            self.assertTrue(self.authority.allows(action), action)
            self.lease.current_age_ms = age_ms + 1
            self.assertFalse(self.authority.allows(action), action)

    def test_every_action_has_a_bound(self):
        self.assertEqual(set(authority.Action), set(authority.MAX_LEASE_AGE_MS))

    def test_sole_ownership_ends_with_the_latest_renewal(self):
        """Guards against conclusions that a later owner has made false."""
        self.lease.current_age_ms = 300
        self.assertEqual(
            self.clock.monotonic_ms() - 300, self.authority.owned_until_ms()
        )
