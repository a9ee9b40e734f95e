"""Tests partitions that leave VMs of a pool on both sides.

They guard against a former owner that starts tasks again which its successor
runs or has completed.
"""

import testtools

from support.sim import faults
from support.sim import mutants
from support.sim import scenarios
from support.sim import soak
from support.sim import world

_SPLIT_SEEDS = (1, 9)
_LATE_CALLS_SEEDS = (2, 26, 22)
# On this day a caller whose job is unanswered sends it to the successor.
_SENT_AGAIN_SEED = 166
# On these days a former owner finds a job stored that it could not store, its
# wait for a VM of its own predecessor ends, and it reads a later job.
_RANDOM_SEEDS = (7, 68, 74)


class PartitionTest(testtools.TestCase):
    def violations(self, plan, seed):
        """Return the violations of a day with a plan of faults."""
        simulated = world.simulate(scenarios.split(seed), faults.schedule(plan))
        return simulated.oracle.violations

    def test_a_former_owner_starts_no_task_that_its_successor_runs(self):
        """Guards against leases that a former owner takes for over.

        Its successor has adopted the runs and renews the leases of VMs that
        the former owner doesn't reach.
        """
        for seed in _SPLIT_SEEDS:
            violations = self.violations(faults.split_pool(), seed)
            self.assertEqual([], violations, f"seed {seed}")

    def test_a_former_owner_starts_no_job_of_its_successor(self):
        """Guards against jobs of a later epoch that a former owner reads."""
        for seed in _LATE_CALLS_SEEDS:
            violations = self.violations(faults.late_calls(), seed)
            self.assertEqual([], violations, f"seed {seed}")

    def test_a_former_owner_starts_no_job_that_is_sent_again(self):
        """Guards against a job that a former owner could not store.

        Its caller sends it again, and the successor accepts and runs it. The
        former owner then finds the job in the store.
        """
        violations = self.violations(faults.late_calls(), _SENT_AGAIN_SEED)
        self.assertEqual([], violations)

    def test_random_days_with_partitions_violate_no_guarantee(self):
        """Guards against other decisions that hold for a sole owner only."""
        for seed in _RANDOM_SEEDS:
            _, simulated = soak.simulate(seed, "partitions")
            self.assertEqual([], simulated.oracle.violations, f"seed {seed}")


class OracleTest(testtools.TestCase):
    """Tests that the oracle detects the decisions of former owners."""

    def test_leases_that_a_former_owner_takes_for_over_are_detected(self):
        """Guards against days on which no such decision is harmful."""
        _, rules = mutants.find_violation(
            "a former owner takes leases for over", 1, _SPLIT_SEEDS[0]
        )
        self.assertEqual("TWICE", rules)

    def test_jobs_of_a_later_epoch_that_are_taken_over_are_detected(self):
        """Guards against days on which no such job is read in time."""
        _, rules = mutants.find_violation(
            "jobs of a later epoch are taken over", 1, _LATE_CALLS_SEEDS[0]
        )
        self.assertEqual("TWICE", rules)
