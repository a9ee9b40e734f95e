"""Tests of which jobs are taken in."""

import testtools

from support import fake_vms
from support import jobs
from wagtailtiller.scheduling import admission
from wagtailtiller.scheduling import vm as vm_module

_CORES = 32


class AdmissionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.members = [vm_module.Vm(fake_vms.report("vm-1"), 1)]

    def check(self, backlog_s, spare=0, spec=None):
        backlog = admission.Backlog(backlog_s * _CORES * 1_000, spare)
        content = spec or jobs.spec(jobs.step(estimate_ms=1_000))
        return admission.check(content, jobs.queue(), self.members, backlog)

    def test_what_there_is_room_for_is_taken(self):
        self.assertIsNone(self.check(0))

    def test_a_job_that_would_be_worthless_is_refused_with_a_time(self):
        refusal = self.check(60)
        self.assertIs(admission.RefusalReason.OVERLOADED, refusal.reason)
        self.assertGreater(refusal.retry_after_ms, 10_000)

    def test_machines_that_can_come_count_in_a_turn_of_demand(self):
        self.assertIsNotNone(self.check(9))
        self.assertIsNone(self.check(9, spare=8 * _CORES * 1_000))

    def test_before_the_manager_has_spoken_the_pool_is_expected_to_grow(self):
        self.assertIsNone(self.check(9, spare=None))

    def test_a_task_that_fits_no_vm_is_refused_as_such(self):
        wide = jobs.spec(jobs.step(cpu_millicores=40_000))
        refusal = self.check(0, spec=wide)
        self.assertIs(admission.RefusalReason.FITS_NOWHERE, refusal.reason)

    def test_a_long_running_job_is_taken_behind_any_backlog(self):
        long_running = jobs.spec(jobs.step(long_running=True))
        self.assertIsNone(self.check(60, spec=long_running))
