"""Tests that simulated days with faults violate no guarantee."""

import testtools

from support.sim import faults
from support.sim import mutants
from support.sim import scenarios
from support.sim import soak
from support.sim import world

# Days that violated a guarantee, or do so if the defect is put back, by seed.
# Their faults are listed, since a new kind of fault changes what a seed draws.
_REGRESSIONS = {
    41: (
        "after a restart, the owner counted a failed run again",
        [
            faults.Fault("store-loses", 2_657, 4_966),
            faults.Fault("store-loses", 4_623, 3_605),
            faults.Fault("vm-fails", 2_214, 4_333),
            faults.Fault("vm-hangs", 74, 1_620),
            faults.Fault("cut-peers", 3_515, 1_197),
            faults.Fault("kill-all", 7_839, 1_934),
        ],
    ),
    40043: (
        "a short-lived machine manager did not hand on recent orders",
        [
            faults.Fault("roll", 2_921, 2_592),
            faults.Fault("service-down", 6_667, 896),
            faults.Fault("roll", 7_808, 3_137),
            faults.Fault("vm-crash", 62, 3_006),
            faults.Fault("freeze", 3_219, 2_266),
            faults.Fault("wave", 6_574, 2_228),
        ],
    ),
}


class DaysTest(testtools.TestCase):
    def test_small_days_with_faults_violate_no_guarantee(self):
        for seed in range(1, 21):
            _, simulated = soak.simulate(seed)
            self.assertEqual([], simulated.oracle.violations, f"seed {seed}")

    def test_days_with_pools_handed_over_violate_no_guarantee(self):
        for seed in range(1, 9):
            _, simulated = soak.simulate(seed, "two-sizes")
            self.assertEqual([], simulated.oracle.violations, f"seed {seed}")

    def test_days_with_shrinking_vms_violate_no_guarantee(self):
        """Guards against starts above the capacity of VMs that take all."""
        for seed in range(1, 9):
            _, simulated = soak.simulate(seed, "shrinking")
            self.assertEqual([], simulated.oracle.violations, f"seed {seed}")

    def test_regression_seeds_violate_no_guarantee(self):
        for seed, (cause, drawn_faults) in _REGRESSIONS.items():
            simulated = world.simulate(
                scenarios.small(seed), faults.schedule(drawn_faults)
            )
            self.assertEqual(
                [], simulated.oracle.violations, f"{seed}: {cause}"
            )

    def test_days_are_reproducible(self):
        days = [soak.simulate(3)[1] for _ in range(2)]
        figures = {(day.fleet.moves, day.store_service.calls) for day in days}
        self.assertEqual(1, len(figures))

    def test_all_jobs_end_in_a_day_without_faults(self):
        simulated = world.simulate(scenarios.small(2), faults.schedule([]))
        self.assertEqual([], simulated.oracle.violations)
        batch_jobs = [
            sim_job
            for sim_job in simulated.jobs.all()
            if not sim_job.long_running
        ]
        self.assertTrue(all(sim_job.final_state for sim_job in batch_jobs))


class OracleTest(testtools.TestCase):
    """Tests that the oracle detects the defects of some mutants."""

    def assert_detected(self, rule, mutant):
        _, rules = mutants.find_violation(mutant, days=6, first_seed=1)
        self.assertIn(rule, rules)

    def test_ends_acknowledged_too_early(self):
        self.assert_detected(
            "TWICE", "ends are acknowledged before they are stored"
        )

    def test_steps_out_of_order(self):
        self.assert_detected("ORDER", "steps begin at once")

    def test_too_many_attempts(self):
        self.assert_detected("BUDGET", "failed ends are not counted")

    def test_incomplete_jobs_shown_as_completed(self):
        self.assert_detected("MIXED", "a job is complete after its first task")

    def test_starts_above_a_shrunken_capacity(self):
        """Guards against a check of the capacity that can't fail."""
        self.assert_detected("ROOM", "capacity is read once")

    def test_starts_above_the_memory(self):
        """Guards against a check that looks at processors only."""
        self.assert_detected("ROOM", "fits ignore memory")
