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
from wagtailtiller.ports import vms
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
