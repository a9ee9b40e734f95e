"""Runs fixed fuzzer schedules, and checks that the oracle detects mutants."""

import testtools

from support.fuzz import schedules
from wagtailtiller import view_lease
from wagtailtiller.dispatch import dispatcher
from wagtailtiller.dispatch import messages
from wagtailtiller.dispatch import slots
from wagtailtiller.dispatch import used_keys
from wagtailtiller.fleet import aggregate
from wagtailtiller.gateway.granting import host

_SEED_COUNT = 250
_REGRESSION_SEEDS = (57, 691, 1_013_346, 4_001_304, 6_066_612)
_MAX_SEEDS_PER_MUTANT = 600


class SchedulesTest(testtools.TestCase):
    def test_no_schedule_has_a_violation(self):
        for seed in range(_SEED_COUNT):
            world = schedules.run_one(seed)
            self.assertEqual([], world.oracle.violations, f"seed {seed}")

    def test_regression_seeds_have_no_violation(self):
        """Schedules that earlier faults made fail.

        The faults, in the order of the seeds:

        - The report of a restarted gateway freed the runs of its previous
          process.
        - A grant and a report crossed in transit.
        - An epoch had no quorum.
        - An owner that was frozen for a whole epoch continued as if it had
          owned the pool throughout.
        - A refusal for the previous process of a gateway reached the new one.
        """
        for seed in _REGRESSION_SEEDS:
            world = schedules.run_one(seed)
            self.assertEqual([], world.oracle.violations, f"seed {seed}")


class MutantsTest(testtools.TestCase):
    """The oracle detects each mutant within a few hundred schedules."""

    def find_violation(self, first_seed=0):
        """Return the first violation at or after a seed.

        A test passes the seed of a schedule that has detected its mutant.
        """
        for seed in range(first_seed, first_seed + _MAX_SEEDS_PER_MUTANT):
            violations = schedules.run_one(seed).oracle.violations
            if violations:
                return violations[0]
        return self.fail("no schedule detected the mutant")

    def test_every_key_is_taken_as_new(self):
        new = used_keys.KeyStatus.NEW
        self.patch(used_keys.UsedKeyTable, "status", lambda *_: new)
        self.assertIn("ran twice", self.find_violation())

    def test_no_waiting_period_after_a_takeover(self):
        self.patch(used_keys.UsedKeyTable, "open_gap", lambda *_: None)
        self.assertIn("ran", self.find_violation())

    def test_drain_ignores_runs(self):
        self.patch(
            dispatcher.Dispatcher,
            "drain_state",
            lambda self, vm, now_ms: messages.DrainResponse(
                True, True, self._view.vms[vm].generation
            ),
        )
        self.assertRegex(
            self.find_violation(), "cut off|moved with work|ran work"
        )

    def test_granted_slots_are_not_counted(self):
        self.patch(slots.SlotTable, "acquire", lambda *_: None)
        self.patch(slots.SlotTable, "release", lambda *_: None)
        self.assertRegex(self.find_violation(), "cut off|moved with work|ran")

    def test_view_never_expires(self):
        store = view_lease.Confirmation.STORE
        self.patch(view_lease.ViewLease, "confirmation", lambda *_: store)
        violations = self.find_violation(first_seed=440)
        self.assertIn("began to leave", violations)

    def test_unavailable_vms_are_not_counted(self):
        self.patch(aggregate, "unavailable", lambda *_: 0)
        self.assertIn("out after a stop", self.find_violation())

    def test_no_wait_for_requests_of_gateways_lost_earlier(self):
        self.patch(host.DispatchHost, "_lost_runs_for_ms", lambda *_: 0)
        self.assertRegex(self.find_violation(), "cut off|moved with work|ran")
