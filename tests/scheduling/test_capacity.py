"""Tests that no start exceeds the capacity that a VM reports at the moment.

Failure pattern: a VM that starts whatever it is told to reports less capacity
for some seconds, and then its full capacity again.
"""

import msgspec
import testtools

from support import clocks
from support import fake_vms
from support import jobs
from wagtailtiller.jobs import model
from wagtailtiller.jobs import task as task_module
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import admission
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import pool as pool_module

_FULL = vms.Resources(8_000, 8_000, 2)


class CapacityTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.FakeClock()
        self.pool = pool_module.Pool(jobs.POOL, 1, self.clock)
        self.pool.jobs.set_queues([jobs.queue()])

    def add_vm(self, name="vm-1", capacity=_FULL, **fields):
        report = fake_vms.report(name, capacity=capacity, **fields)
        vm = self.pool.vm_tracker.register(report)
        self.list_runs(vm)
        return vm

    def report(self, vm, *capacity):
        """Let a VM report another capacity."""
        self.pool.vm_tracker.register(
            msgspec.structs.replace(
                vm.report, capacity=vms.Resources(*capacity)
            )
        )

    def list_runs(self, vm, *others, is_complete=True):
        """Let a VM list the tracked runs and others as running."""
        self.clock.advance(1)
        running = [
            vms.ListedRun(task, run.number, "", 10, 0)
            for task, run in vm.runs.items()
        ]
        listing = vms.Listing(
            self.clock.now_ms,
            vm.report.born_ms,
            (*running, *others),
            (),
            is_complete,
        )
        self.pool.vm_tracker.mark_responsive(
            vm, self.clock.now_ms, self.clock.now_ms
        )
        return self.pool.run_reconciler.apply_listing(
            vm, vm.token, self.clock.now_ms, listing
        )

    def add_job(self, name, *steps):
        job = jobs.job(name * 16, jobs.spec(*steps))
        return self.pool.jobs.add(job, False, model.JobState.QUEUED)

    def start_all(self):
        """Execute the starts of a plan, and return the names of their jobs."""
        starts = [c for c in self.pool.plan() if isinstance(c, commands.Start)]
        for start in starts:
            self.pool.run_reconciler.apply_start_outcome(
                self.pool.vms[start.vm], start.run, vms.CommandOutcome.DONE
            )
        return [start.run.task.id.job[0] for start in starts]


class ShrunkenVmTest(CapacityTest):
    def test_nothing_starts_above_shrunken_capacity_until_it_has_grown(self):
        """Guards against plans that use the capacity of an earlier report."""
        vm = self.add_vm()
        self.add_job("a", jobs.step(2, cpu_millicores=3_000))
        self.assertEqual(["a", "a"], self.start_all())
        self.report(vm, 4_000, 8_000, 2)
        self.add_job("b", jobs.step(cpu_millicores=1_000))
        self.assertEqual([], self.start_all())
        self.assertEqual(-2_000, vm.free_cpu)
        self.report(vm, 7_000, 8_000, 2)
        self.assertEqual(["b"], self.start_all())

    def test_task_that_needs_none_of_the_exceeded_resource_starts(self):
        """Guards against a VM without GPUs left that gets no tasks at all."""
        vm = self.add_vm()
        self.add_job("a", jobs.step(gpu_count=2))
        self.start_all()
        self.report(vm, 8_000, 8_000, 0)
        step = jobs.step()
        self.assertEqual(1, vm.room(step, 1))
        self.assertTrue(vm.fits(step))
        self.add_job("b", step)
        self.assertEqual(["b"], self.start_all())

    def test_filler_does_not_start_without_memory(self):
        """Guards against fillers that are placed by processor time alone."""
        vm = self.add_vm()
        self.add_job("a", jobs.step(memory_mb=5_000))
        self.start_all()
        self.report(vm, 8_000, 4_000, 2)
        self.add_job("b", jobs.step(filler=True, long_running=True))
        self.assertEqual([], self.start_all())

    def test_gang_does_not_start_with_room_for_a_part_of_it(self):
        """Guards against gangs that are packed by their first task."""
        vm = self.add_vm()
        other = self.add_vm("vm-2")
        self.report(vm, 3_000, 8_000, 2)
        self.report(other, 8_000, 150, 2)
        gang = jobs.step(4, gang=True, cpu_millicores=1_000, memory_mb=100)
        self.add_job("a", gang)
        self.assertEqual(["a"] * 4, self.start_all())
        self.report(vm, 2_000, 8_000, 2)
        self.add_job("b", gang)
        self.assertEqual([], self.start_all())


class OrphanRunsTest(CapacityTest):
    """A stop can take longer than the pause after its command was sent."""

    def orphan(self, name="a", **fields):
        """Return a listed run of a cancelled job that is not tracked."""
        entry = self.add_job(name, jobs.step(**fields))
        self.pool.jobs.cancel(entry.job.id)
        task = model.TaskId(entry.job.id, 0, 0, 0)
        return vms.ListedRun(task, 1, "", 10, 0)

    def wait(self):
        self.clock.advance(1_300)

    def test_orphan_run_counts_until_a_listing_lacks_it(self):
        """Guards against starts beside an orphan run whose stop takes long."""
        vm = self.add_vm()
        (stop,) = self.list_runs(vm, self.orphan(cpu_millicores=6_000))
        self.assertIsInstance(stop, commands.StopOrphan)
        self.add_job("b", jobs.step(cpu_millicores=3_000))
        self.wait()
        self.assertEqual([], self.start_all())
        self.list_runs(vm)
        self.assertEqual(["b"], self.start_all())

    def test_task_that_fits_beside_an_orphan_run_starts(self):
        """Guards against a VM that is left idle while an orphan run stops."""
        vm = self.add_vm()
        self.list_runs(vm, self.orphan(cpu_millicores=6_000))
        self.add_job("b", jobs.step(cpu_millicores=2_000))
        self.assertEqual(["b"], self.start_all())

    def test_nothing_starts_beside_a_run_of_an_unknown_job(self):
        """Guards against starts beside a run whose needs are not known."""
        vm = self.add_vm()
        task = model.TaskId(model.JobId("x" * 16), 0, 0, 0)
        self.list_runs(vm, vms.ListedRun(task, 1, "", 10, 0))
        self.add_job("b", jobs.step())
        self.wait()
        self.assertEqual([], self.start_all())
        self.list_runs(vm)
        self.assertEqual(["b"], self.start_all())

    def test_orphan_runs_of_the_previous_instance_count_on_the_new_one(self):
        """Guards against a new instance that seems to be empty."""
        old = self.add_vm()
        self.list_runs(old, self.orphan(cpu_millicores=6_000))
        new = self.pool.vm_tracker.register(
            msgspec.structs.replace(old.report, born_ms=2)
        )
        self.assertEqual(2_000, new.free_cpu)
        self.list_runs(new)
        self.assertEqual(8_000, new.free_cpu)

    def test_orphan_runs_do_not_count_after_their_lease(self):
        """Guards against room that is lost with a VM that was cut off."""
        vm = self.add_vm()
        self.list_runs(vm, self.orphan(cpu_millicores=6_000))
        self.pool.vm_tracker.mark_unresponsive(vm)
        self.clock.advance(60_000)
        fake_vms.expire_leases(self.pool)
        self.assertEqual(8_000, vm.free_cpu)

    def test_runs_of_a_previous_owner_count_before_the_first_start(self):
        """Guards against starts on a VM before its runs are known."""
        report = fake_vms.report("vm-1", capacity=_FULL)
        vm = self.pool.vm_tracker.register(report)
        self.add_job("a", jobs.step(cpu_millicores=6_000))
        self.add_job("b", jobs.step(cpu_millicores=3_000))
        self.assertEqual([], self.start_all())
        task = model.TaskId(model.JobId("a" * 16), 0, 0, 0)
        self.list_runs(vm, vms.ListedRun(task, 1, "", 10, 0))
        self.assertEqual([], self.start_all())
        self.assertEqual(2_000, vm.free_cpu)


class UnknownStartsTest(CapacityTest):
    def test_start_without_answer_counts_until_a_later_listing(self):
        """Guards against room that a late start takes after all."""
        vm = self.add_vm()
        self.add_job("a", jobs.step(cpu_millicores=6_000))
        (start,) = self.pool.plan()
        reconciler = self.pool.run_reconciler
        reconciler.apply_start_outcome(
            vm, start.run, vms.CommandOutcome.UNANSWERED
        )
        self.add_job("b", jobs.step(cpu_millicores=3_000))
        old_token = vm.token
        self.pool.vm_tracker.raise_token(vm)
        listing = vms.Listing(self.clock.now_ms + 1, 1, (), ())
        reconciler.apply_listing(vm, old_token, self.clock.now_ms, listing)
        self.assertEqual([], self.start_all())
        listing = vms.Listing(self.clock.now_ms + 2, 1, (), ())
        reconciler.apply_listing(vm, vm.token, self.clock.now_ms, listing)
        self.assertEqual(1, len(self.start_all()))

    def test_run_that_is_being_stopped_counts_until_its_end_is_listed(self):
        """Guards against starts in place of a run that has not ended."""
        vm = self.add_vm()
        entry = self.add_job("a", jobs.step(cpu_millicores=6_000))
        self.start_all()
        self.list_runs(vm)
        self.pool.jobs.cancel(entry.job.id)
        self.add_job("b", jobs.step(cpu_millicores=3_000))
        self.assertEqual([], self.start_all())
        self.list_runs(vm)
        self.assertEqual([], self.start_all())
        task = model.TaskId(entry.job.id, 0, 0, 0)
        ended = vms.ListedEnd(1, task, 1, task_module.EndKind.STOPPED, "")
        listing = vms.Listing(self.clock.now_ms + 1, 1, (), (ended,))
        self.pool.run_reconciler.apply_listing(
            vm, vm.token, self.clock.now_ms, listing
        )
        self.assertEqual(["b"], self.start_all())

    def test_run_missing_in_an_incomplete_listing_counts(self):
        """Guards against room of a run that only could not be decoded."""
        vm = self.add_vm()
        self.add_job("a", jobs.step(cpu_millicores=6_000))
        self.start_all()
        self.clock.advance(10)
        listing = vms.Listing(self.clock.now_ms, 1, (), (), False)
        self.pool.run_reconciler.apply_listing(
            vm, vm.token, self.clock.now_ms, listing
        )
        self.assertEqual(2_000, vm.free_cpu)


class AdmissionTest(CapacityTest):
    def admit(self, **fields):
        return self.pool.jobs.admit(
            jobs.spec(jobs.step(**fields)), jobs.queue()
        )

    def test_job_that_fits_the_full_capacity_waits(self):
        """Guards against callers who are sent away for a loss of seconds."""
        vm = self.add_vm()
        self.report(vm, 2_000, 8_000, 2)
        self.assertIsNone(self.admit(cpu_millicores=6_000))
        self.add_job("a", jobs.step(cpu_millicores=6_000))
        self.assertEqual([], self.start_all())
        waiting_millicores, _ = self.pool.jobs.demand()
        self.assertGreater(waiting_millicores, 0)
        self.report(vm, 8_000, 8_000, 2)
        self.assertEqual(["a"], self.start_all())

    def test_job_above_the_full_capacity_is_refused(self):
        """Guards against jobs that wait for room that never comes."""
        vm = self.add_vm()
        self.report(vm, 2_000, 8_000, 2)
        refusal = self.admit(cpu_millicores=9_000)
        self.assertIs(admission.RefusalReason.FITS_NOWHERE, refusal.reason)
        self.assertGreater(refusal.retry_after_ms, 0)

    def test_instance_that_was_larger_does_not_count_for_the_next(self):
        """Guards against jobs that wait for a VM that has been replaced."""
        old = self.add_vm()
        smaller = msgspec.structs.replace(
            old.report, born_ms=2, capacity=vms.Resources(4_000, 8_000, 2)
        )
        self.pool.vm_tracker.register(smaller)
        self.assertIsNotNone(self.admit(cpu_millicores=6_000))


class DemandTest(CapacityTest):
    def test_lost_capacity_of_usable_vms_counts_as_demand(self):
        """Guards against machines taken from a pool that lost capacity."""
        vm = self.add_vm()
        silent = self.add_vm("vm-2")
        self.assertEqual(0, self.pool.lost_millicores())
        self.report(vm, 2_000, 8_000, 2)
        self.report(silent, 3_000, 8_000, 2)
        self.pool.vm_tracker.mark_unresponsive(silent)
        self.assertEqual(6_000, self.pool.lost_millicores())
