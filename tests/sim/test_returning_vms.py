"""Tests days on which VMs return under their ids and are soon cut off."""

import testtools

from support.sim import mutants
from support.sim import soak

# Days on which a run outlasted the lease that its owner had sent.
_SEEDS = (22, 52, 57)


class ReturningVmsTest(testtools.TestCase):
    def test_no_task_runs_twice_after_a_vm_has_returned(self):
        """Guards against leases that calls to a former life have set."""
        for seed in _SEEDS:
            _, simulated = soak.simulate(seed, "returning")
            self.assertEqual([], simulated.oracle.violations, f"seed {seed}")

    def test_leases_of_a_former_life_are_detected(self):
        """Guards against VMs that do not take calls of their former life."""
        _, rules = mutants.find_violation(
            "the next life of a VM has the lease of the former one",
            days=1,
            first_seed=_SEEDS[0],
        )
        self.assertIn("TWICE", rules)
