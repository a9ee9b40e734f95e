"""Tests days on which some tasks crash each VM that starts them."""

import testtools

from support.sim import faults
from support.sim import mutants
from support.sim import scenarios
from support.sim import world

_SEED = 2


class CrashingTasksTest(testtools.TestCase):
    """Tests a day whose first pool also loses its owner halfway."""

    def violations(self, *rules):
        """Return the violations of some rules."""
        simulated = world.simulate(
            scenarios.crashing(_SEED), faults.schedule(faults.owner_loss())
        )
        self.assertTrue(any(job.crashing for job in simulated.jobs.all()))
        return [
            line
            for line in simulated.oracle.violations
            if line.partition(" ")[0] in rules
        ]

    def test_crashing_tasks_are_started_twice_after_three_crashes(self):
        """Guards against starts without end, also under a new owner.

        The oracle allows two more starts of a task after three VMs have
        crashed under it.
        """
        self.assertEqual([], self.violations("BUDGET"))

    def test_crashes_count_under_four_owners(self):
        """Guards against crashes that the next owner does not know of."""
        simulated = world.simulate(
            scenarios.crashing(_SEED), faults.schedule(faults.owner_losses())
        )
        self.assertEqual([], simulated.oracle.violations)

    def test_crashes_that_are_not_stored_are_detected(self):
        """Guards against an oracle that misses starts under other owners."""
        _, rules = mutants.find_violation(
            "crashed VMs are not stored with the job", 1, _SEED
        )
        self.assertEqual("BUDGET", rules)

    def test_other_jobs_and_tasks_survive_crashing_ones(self):
        """Guards against jobs that are lost with VMs that others crash."""
        self.assertEqual([], self.violations("LOST", "TWICE", "MIXED", "EXIT"))
