"""Tests days on which owners use up the tokens of their epochs."""

import testtools

from support.sim import soak
from wagtailtiller.owner import pool_owner
from wagtailtiller.scheduling import vm_tracker

_TOKENS_PER_EPOCH = 32
# An owner gives its pool up after a dozen tokens.
_TOKEN_RESERVE = 20
# Days with three hand-overs or more.
_SEEDS = (15, 77, 83)


class UsedUpTokensTest(testtools.TestCase):
    def test_pools_are_handed_over_again_and_again(self):
        """Guards against work that is lost or doubled when tokens run out."""
        self.patch(vm_tracker, "TOKENS_PER_EPOCH", _TOKENS_PER_EPOCH)
        self.patch(vm_tracker, "_TOKEN_RESERVE", _TOKEN_RESERVE)
        handed_over = []
        give_up = pool_owner.PoolOwner._give_up

        def record(owner, reason):
            if reason == "tokens_used_up" and owner not in handed_over:
                handed_over.append(owner)
            give_up(owner, reason)

        self.patch(pool_owner.PoolOwner, "_give_up", record)
        for seed in _SEEDS:
            handed_over.clear()
            _, simulated = soak.simulate(seed)
            self.assertEqual([], simulated.oracle.violations, f"seed {seed}")
            self.assertGreaterEqual(len(handed_over), 3, f"seed {seed}")
