"""Tests of job admission."""

import testtools

from support import fake_vms
from support import jobs
from wagtailtiller.scheduling import admission
from wagtailtiller.scheduling import vm as vm_module

_CORES = 32


class AdmissionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.vms = [vm_module.Vm(fake_vms.report("vm-1"), 1)]

    def check(self, backlog_s, spare_millicores=0, spec=None):
        backlog = admission.Backlog(
            backlog_s * _CORES * 1_000, spare_millicores
        )
        job_spec = spec or jobs.spec(jobs.step(estimate_ms=1_000))
        return admission.check(job_spec, jobs.queue(), self.vms, backlog)

    def test_a_job_is_admitted_without_a_backlog(self):
        self.assertIsNone(self.check(0))

    def test_a_job_that_would_end_too_late_is_refused_with_a_retry_time(self):
        refusal = self.check(60)
        self.assertIs(admission.RefusalReason.OVERLOADED, refusal.reason)
        self.assertGreater(refusal.retry_after_ms, 10_000)

    def test_spare_machines_count_as_capacity(self):
        self.assertIsNotNone(self.check(9))
        self.assertIsNone(self.check(9, spare_millicores=8 * _CORES * 1_000))

    def test_the_pool_is_assumed_to_grow_while_the_spare_is_unknown(self):
        self.assertIsNone(self.check(9, spare_millicores=None))

    def test_a_job_that_fits_on_no_vm_is_refused_for_that_reason(self):
        too_large = jobs.spec(jobs.step(cpu_millicores=40_000))
        refusal = self.check(0, spec=too_large)
        self.assertIs(admission.RefusalReason.FITS_NOWHERE, refusal.reason)

    def test_a_long_running_job_is_admitted_despite_a_backlog(self):
        long_running = jobs.spec(jobs.step(long_running=True))
        self.assertIsNone(self.check(60, spec=long_running))
