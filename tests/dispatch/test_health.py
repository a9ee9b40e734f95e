"""Tests of the ejection of VMs, and of failing queues that cause none."""

import testtools

from wagtailtiller.dispatch import health
from wagtailtiller.dispatch import messages

_OK = messages.RunOutcome.ANSWERED
_BAD = messages.RunOutcome.SERVER_ERROR
_VMS = ["a", "b", "c"]


class HealthTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.health = health.Health()

    def run_on(self, vm, outcome, count, queue="q"):
        for _ in range(count):
            self.health.observe(vm, queue, outcome)

    def eject(self, vm, budget_left=1):
        others = [other for other in _VMS if other != vm]
        return self.health.eject_if_due(vm, others, budget_left, 1_000)

    def test_vm_that_fails_where_others_succeed_is_ejected(self):
        self.run_on("b", _OK, 5)
        self.run_on("a", _BAD, 3)
        self.assertTrue(self.eject("a"))
        self.assertTrue(self.health.ejected("a", 1_001))

    def test_queue_that_fails_on_all_vms_ejects_none(self):
        for vm in _VMS:
            self.run_on(vm, _BAD, 20)
        self.assertFalse(any(self.eject(vm) for vm in _VMS))

    def test_budget_limits_ejection(self):
        self.run_on("b", _OK, 5)
        self.run_on("a", _BAD, 3)
        self.assertFalse(self.eject("a", budget_left=0))

    def test_failing_vm_gets_one_request_at_a_time(self):
        self.run_on("a", _BAD, 1)
        self.assertTrue(self.health.suspect("a"))
        self.run_on("a", _OK, 1)
        self.assertFalse(self.health.suspect("a"))

    def test_ejection_ends(self):
        self.run_on("b", _OK, 5)
        self.run_on("a", _BAD, 3)
        self.eject("a")
        self.assertFalse(self.health.ejected("a", 1_000 + 2_000))

    def test_busy_endpoint_is_not_a_failure(self):
        self.run_on("a", messages.RunOutcome.BUSY, 5)
        self.assertFalse(self.health.suspect("a"))
