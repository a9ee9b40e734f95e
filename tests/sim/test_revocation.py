"""Tests takeovers from an owner whose lease the store has revoked."""

import testtools

from support.sim import faults
from support.sim import mutants
from support.sim import scenarios
from support.sim import world

# On these days, runs on the VMs out of reach outlast the takeover's wait.
_SEEDS = (2, 3)


class RevocationTest(testtools.TestCase):
    def test_no_task_runs_twice_after_the_owner_is_revoked(self):
        """Guards against a takeover that counts from an expiry of the lease.

        The former owner learns nothing of the revocation and extends the
        leases of VMs that its successor can't reach.
        """
        for seed in _SEEDS:
            simulated = world.simulate(
                scenarios.small(seed), faults.schedule(faults.revocation())
            )
            self.assertEqual([], simulated.oracle.violations, f"seed {seed}")

    def test_a_wait_that_counts_from_an_expiry_is_detected(self):
        """Guards against an oracle that misses runs at the same time."""
        _, rules = mutants.find_violation(
            "a new owner takes a revoked lease for an expired one",
            days=2,
            first_seed=_SEEDS[0],
        )
        self.assertIn("TWICE", rules)

    def test_a_start_before_the_lease_of_an_ended_run_is_over_is_detected(self):
        """Guards against an oracle that excuses starts before a lapse.

        On this day, tasks are started again whose runs have ended on VMs out
        of reach, before the leases on these VMs are over. None runs twice at
        the same time.
        """
        _, rules = mutants.find_violation(
            "a new owner takes a revoked lease for an expired one",
            days=1,
            first_seed=9,
        )
        self.assertEqual("TWICE", rules)
