"""Days with faults in virtual time: every promise is kept."""

import testtools

from support.sim import faults
from support.sim import mutants
from support.sim import scenarios
from support.sim import soak
from support.sim import world

# Days that broke a promise, or break it again with the fault put back.
_REGRESSIONS = {
    41: "a failed run was counted again by the owner after a restart",
    40043: "a keeper of a moment forgot which machines had just been ordered",
}


class DaysTest(testtools.TestCase):
    def test_small_days_with_faults_keep_every_promise(self):
        for seed in range(1, 21):
            _, played = soak.play(seed)
            self.assertEqual([], played.oracle.violations, f"seed {seed}")

    def test_days_that_once_broke_a_promise_keep_it(self):
        for seed, cause in _REGRESSIONS.items():
            _, played = soak.play(seed)
            self.assertEqual([], played.oracle.violations, f"{seed}: {cause}")

    def test_a_day_can_be_played_again(self):
        days = [soak.play(3)[1] for _ in range(2)]
        moves = {(day.fleet.moves, day.store_service.calls) for day in days}
        self.assertEqual(1, len(moves))

    def test_a_calm_day_is_served(self):
        played = world.play(scenarios.small(2), faults.schedule([]))
        self.assertEqual([], played.oracle.violations)
        owed = [t for t in played.jobs.all() if not t.long_running]
        self.assertTrue(all(sim_job.final_state for sim_job in owed))


class OracleTest(testtools.TestCase):
    """The judge notices what is wrong."""

    def assert_caught(self, rule, mutant):
        _, rules = mutants.find_violation(mutant, days=6, first_seed=1)
        self.assertIn(rule, rules)

    def test_ends_acknowledged_too_early(self):
        self.assert_caught(
            "TWICE", "ends are acknowledged before they are stored"
        )

    def test_steps_out_of_order(self):
        self.assert_caught("ORDER", "steps begin at once")

    def test_too_many_attempts(self):
        self.assert_caught("BUDGET", "failed ends are not counted")

    def test_incomplete_jobs_shown_as_completed(self):
        self.assert_caught("MIXED", "a job is complete after its first task")
