"""Tests of which crashes count against tasks, and when a job is given up."""

import msgspec

from support import fake_vms
from support import jobs
from tests.scheduling import test_pool
from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.jobs import task as task_module
from wagtailtiller.ports import vms

_LEASE_OVER_MS = 60_000
_MACHINE = "m-1"


def _report(name, born_ms, machine=_MACHINE, **fields):
    return msgspec.structs.replace(
        fake_vms.report(name, born_ms=born_ms, **fields),
        machine=ids.MachineId(machine),
    )


class CrashTest(test_pool.PoolTest):
    def setUp(self):
        super().setUp()
        self.instance_count = 0

    def boot(self, name="", machine=_MACHINE, **fields):
        """Register and answer the next instance on a machine."""
        self.instance_count += 1
        vm = self.register(name or f"vm-{self.instance_count}", machine)
        self.answer(vm)
        return vm

    def register(self, name, machine=_MACHINE):
        report = _report(name, self.clock.now_ms, machine)
        return self.pool.vm_tracker.register(report)

    def lose(self, vm):
        """Let a VM be silent until its runs are discarded."""
        self.pool.vm_tracker.mark_unresponsive(vm)
        self.clock.advance(_LEASE_OVER_MS)
        fake_vms.expire_leases(self.pool)

    def start_unanswered(self, sent_ms=None):
        """Start what is planned; the VMs do not respond to the commands."""
        starts = self.pool.plan()
        for start in starts:
            start.run.sent_ms = sent_ms or self.clock.now_ms
            self.pool.run_reconciler.apply_start_outcome(
                self.pool.vms[start.vm],
                start.run,
                vms.CommandOutcome.UNANSWERED,
            )
        return starts

    def list_nothing(self, vm):
        self.clock.advance(1)
        now_ms = self.clock.now_ms
        self.pool.vm_tracker.mark_responsive(vm, now_ms, now_ms)
        self.pool.run_reconciler.apply_listing(
            vm, vm.token, now_ms, vms.Listing(now_ms, 0, (), ())
        )


class GiveUpTest(CrashTest):
    def crash_three_times(self, name=""):
        starts = 0
        for _ in range(3):
            self.boot(name)
            starts += len(self.start_all())
            self.clock.advance(100)
        self.boot(name)
        return starts

    def test_third_crash_fails_the_job(self):
        """A task that crashes its VMs was started again for ever."""
        entry = self.add_job("a")
        self.assertEqual(3, self.crash_three_times())
        self.assertIs(model.JobState.FAILED, entry.job.state)
        self.assertIn(entry.job.id, self.pool.urgent)
        self.assertEqual([], self.start_all())

    def test_third_crash_under_the_same_id_fails_the_job(self):
        """A VM that keeps its id was crashed for ever."""
        entry = self.add_job("a")
        for _ in range(3):
            vm = self.boot("vm-1")
            self.list_nothing(vm)
            self.assertEqual(1, len(self.start_all()))
            self.clock.advance(100)
        self.list_nothing(self.boot("vm-1"))
        self.assertIs(model.JobState.FAILED, entry.job.state)
        self.assertEqual([], self.start_all())

    def test_two_crashes_do_not_fail_the_job(self):
        """Guards against jobs that are given up after a coincidence."""
        entry = self.add_job("a")
        for _ in range(2):
            self.boot()
            self.start_all()
            self.clock.advance(100)
        vm = self.boot()
        (start,) = self.start_all()
        self.assertEqual(2, len(start.run.task.crashed_on))
        self.end(vm, start.run, task_module.EndKind.DONE)
        self.assertIs(model.JobState.COMPLETED, entry.job.state)
        self.assertEqual(set(), start.run.task.suspected_of())

    def test_runs_start_again_before_the_lease_is_over(self):
        """Guards against tasks that wait for the lease of an ended VM."""
        vm = self.boot()
        self.add_job("a")
        (start,) = self.start_all()
        self.boot()
        self.assertEqual({}, vm.runs)
        self.assertFalse(vm.open_for_starts(self.clock.now_ms))
        (again,) = self.start_all()
        self.assertIs(start.run.task, again.run.task)

    def test_other_runs_of_the_job_are_stopped(self):
        """Guards against runs of a failed job that keep their VMs busy."""
        other = self.boot(machine="m-2")
        self.add_job("a", jobs.step(1, required_label="b"), jobs.step())
        self.start_all()
        self.assertEqual(1, len(other.runs))
        crasher = self.pool.entries["a" * 16].job.steps(0)[0].tasks[0]
        for number in range(3):
            name = f"crashed-{number}"
            report = _report(name, self.clock.now_ms, labels=("b", "r1"))
            vm = self.pool.vm_tracker.register(report)
            self.answer(vm)
            self.start_all()
            self.assertEqual(name, crasher.run.vm)
            self.clock.advance(100)
        self.boot()
        self.assertEqual(["job_final"], [stop.reason for stop in self.stops()])

    def test_crashes_of_different_tasks_do_not_add_up(self):
        """Guards against a job that fails with one crash for each task."""
        vm = self.boot()
        entry = self.add_job("a", jobs.step(3))
        for task in entry.job.steps(0)[0].tasks:
            starts = self.start_all()
            for start in starts:
                if start.run.task is not task:
                    self.end(vm, start.run, task_module.EndKind.STOPPED)
            vm = self.boot()
        self.assertIs(model.JobState.RUNNING, entry.job.state)

    def test_gang_that_loses_several_vms_at_once_counts_one_crash(self):
        """Guards against a gang that fails with its first run."""
        small = vms.Resources(1_000, 1_000)
        for number in range(3):
            report = _report(f"a-{number}", 1, f"m-{number}", capacity=small)
            self.answer(self.pool.vm_tracker.register(report))
        entry = self.add_job("a", jobs.step(3, gang=True))
        self.assertEqual(3, len(self.start_all()))
        for number in range(3):
            report = _report(f"b-{number}", 2, f"m-{number}", capacity=small)
            self.answer(self.pool.vm_tracker.register(report))
        self.assertIs(model.JobState.RUNNING, entry.job.state)
        counts = [len(task.crashed_on) for task in entry.job.steps(0)[0].tasks]
        self.assertEqual([1, 1, 1], counts)
        self.assertEqual(3, len(self.start_all()))


class EvidenceTest(CrashTest):
    def started_task(self, **fields):
        vm = self.boot()
        self.add_job("a", jobs.step(**fields))
        (start,) = self.start_all()
        return vm, start.run.task

    def test_partition_does_not_count(self):
        """Guards against jobs that fail because their VMs were cut off."""
        vm, task = self.started_task()
        for _ in range(4):
            self.answer(vm)
            self.start_all()
            self.lose(vm)
            self.assertEqual(1, len(task.lost_on))
            self.list_nothing(vm)
            self.assertEqual(set(), task.suspected_of())
        self.assertFalse(self.pool.entries[task.id.job].job.is_final())

    def test_crash_that_shows_after_the_lease_counts(self):
        """Guards against crashes that are missed if the machine returns late.

        By then the VM is not listed any more.
        """
        vm, task = self.started_task()
        self.pool.vm_tracker.mark_unlisted(vm.report.vm)
        self.lose(vm)
        self.assertNotIn(vm.report.vm, self.pool.vms)
        self.assertEqual({vm.report.vm}, {i.vm for i in task.lost_on})
        self.boot()
        self.assertEqual({vm.report.vm}, {i.vm for i in task.crashed_on})
        self.assertEqual(set(), task.lost_on)

    def test_another_machine_proves_nothing(self):
        """Guards against a crash that a VM of another machine proves."""
        _, task = self.started_task()
        self.boot(machine="m-2")
        self.assertEqual(set(), task.crashed_on)

    def test_machine_that_is_not_reported_proves_nothing(self):
        """Guards against VMs without a machine that count as the same."""
        vm = self.boot(machine="")
        self.add_job("a")
        (start,) = self.start_all()
        self.boot(machine="")
        self.assertEqual(set(), start.run.task.crashed_on)
        self.assertIs(start.run, vm.runs.get(start.run.task.id))

    def test_earlier_instance_proves_nothing(self):
        """Guards against the report of the instance that has crashed before.

        The platform lists it until its heartbeats are overdue.
        """
        vm, task = self.started_task()
        report = _report("vm-0", vm.report.born_ms - 1)
        self.pool.vm_tracker.register(report)
        self.assertEqual(set(), task.crashed_on)
        self.assertEqual(1, len(vm.runs))

    def test_drained_vm_has_not_crashed(self):
        """Guards against jobs that fail because their VMs are drained."""
        vm, task = self.started_task()
        vm.report = msgspec.structs.replace(
            vm.report, phase=vms.VmPhase.DRAINING
        )
        self.boot()
        self.assertEqual(set(), task.suspected_of())
        self.assertEqual({}, vm.runs)

    def test_vacated_vm_has_not_crashed(self):
        """Guards against jobs that fail because their VMs are moved.

        The new instance starts after the time for which the VM was closed.
        """
        vm, task = self.started_task()
        vm.closed_until_ms = self.clock.now_ms + 3_000
        self.clock.advance(8_000)
        self.boot()
        self.assertEqual(set(), task.suspected_of())

    def test_vacated_vm_of_the_same_id_has_not_crashed(self):
        """Guards against jobs that fail because their VMs are maintained."""
        vm, task = self.started_task()
        vm.closed_until_ms = self.clock.now_ms + 3_000
        self.clock.advance(8_000)
        self.list_nothing(self.boot(vm.report.vm))
        self.assertEqual(set(), task.suspected_of())

    def test_vacated_vm_whose_lease_is_over_is_not_lost(self):
        """Guards against suspicion after a planned end."""
        vm, task = self.started_task()
        vm.closed_until_ms = self.clock.now_ms + 3_000
        self.lose(vm)
        self.assertEqual(set(), task.suspected_of())
        self.boot()
        self.assertEqual(set(), task.suspected_of())

    def test_vm_that_is_used_again_after_a_cancelled_move_can_crash(self):
        """Guards against crashes that an old request to vacate hides."""
        vm, task = self.started_task()
        vm.closed_until_ms = self.clock.now_ms + 3_000
        self.clock.advance(5_000)
        self.answer(vm)
        self.boot()
        self.assertEqual(1, len(task.crashed_on))

    def test_lost_vm_that_is_vacated_later_has_not_crashed(self):
        """Guards against a maintained VM that was cut off from its owner."""
        vm, task = self.started_task()
        self.lose(vm)
        self.pool.vm_tracker.mark_vacated(vm.report.vm)
        self.boot()
        self.assertEqual(set(), task.suspected_of())

    def test_lost_vm_that_drains_later_has_not_crashed(self):
        """Guards against a drained VM that was cut off from its owner."""
        vm, task = self.started_task()
        self.lose(vm)
        report = msgspec.structs.replace(vm.report, phase=vms.VmPhase.DRAINING)
        self.pool.vm_tracker.register(report)
        self.boot()
        self.assertEqual(set(), task.suspected_of())

    def test_lost_instance_is_forgotten_in_time(self):
        """Guards against memory that grows with each lost VM."""
        vm, task = self.started_task()
        self.lose(vm)
        self.clock.advance(600_000)
        fake_vms.expire_leases(self.pool)
        self.assertEqual(set(), task.lost_on)

    def test_lost_instances_are_bounded_in_number(self):
        """Guards against memory that grows with each lost VM."""
        vm, task = self.started_task()
        self.lose(vm)
        self.add_job("b", jobs.step(1_000))
        for number in range(1_000):
            vm = self.boot(f"c-{number}", f"other-{number}")
            (run,) = [s.run for s in self.start_all()][:1]
            for other in list(vm.runs.values()):
                if other is not run:
                    self.pool.remove_run(vm, other)
            self.lose(vm)
            self.pool.vm_tracker.mark_unlisted(vm.report.vm)
            self.clock.advance(-_LEASE_OVER_MS)
        self.assertEqual(set(), task.lost_on)


class InnocentRunTest(CrashTest):
    def test_start_that_was_not_sent_does_not_count(self):
        """Guards against tasks that only waited for a VM that crashed."""
        self.boot()
        self.add_job("a")
        (start,) = self.pool.plan()
        self.boot()
        self.assertEqual(set(), start.run.task.suspected_of())

    def test_unanswered_start_counts(self):
        """Guards against a task that crashes its VM before it responds."""
        self.boot()
        self.add_job("a")
        (start,) = self.start_unanswered()
        self.boot()
        self.assertEqual(1, len(start.run.task.crashed_on))

    def test_starts_without_answers_fail_the_job_at_the_fifth_crash(self):
        """Guards against a task that crashes each VM before it responds.

        Three such crashes may have been there before the start commands.
        """
        entry = self.add_job("a")
        for number in range(5):
            self.boot()
            self.assertEqual(1, len(self.start_unanswered()))
            self.assertEqual(
                number, len(entry.job.steps(0)[0].tasks[0].crashed_on)
            )
            self.clock.advance(2_000)
        self.boot()
        self.assertIs(model.JobState.FAILED, entry.job.state)

    def test_start_that_found_the_vm_ended_does_not_count(self):
        """Guards against tasks that are sent to a VM that has crashed."""
        self.boot()
        self.add_job("a")
        (first,) = self.start_unanswered()
        self.clock.advance(1_000)
        self.add_job("b")
        (second,) = self.start_unanswered()
        self.boot()
        self.assertEqual(1, len(first.run.task.crashed_on))
        self.assertEqual(set(), second.run.task.crashed_on)

    def test_start_that_the_next_instance_executes_does_not_count(self):
        """Guards against a crash before the start command was executed."""
        self.boot("vm-1")
        self.add_job("a")
        (start,) = self.start_unanswered()
        new = self.boot("vm-1")
        self.assertIs(task_module.RunPhase.RUNNING, start.run.phase)
        self.assertEqual(set(), start.run.task.crashed_on)
        self.assertIs(start.run, new.runs[start.run.task.id])

    def test_start_that_the_next_instance_does_not_list_counts(self):
        """Guards against a task that crashes its VM before it responds."""
        self.boot("vm-1")
        self.add_job("a")
        (start,) = self.start_unanswered()
        self.clock.advance(5_000)
        new = self.register("vm-1")
        self.assertEqual([], self.start_all())
        self.list_nothing(new)
        self.assertEqual(1, len(start.run.task.crashed_on))

    def test_start_without_a_listing_counts_for_one_instance(self):
        """Guards against one start command that counts as two crashes."""
        self.boot("vm-1")
        self.add_job("a")
        (start,) = self.start_unanswered()
        self.clock.advance(5_000)
        self.register("vm-1")
        self.clock.advance(5_000)
        self.boot("vm-2")
        self.assertEqual(1, len(start.run.task.crashed_on))

    def lasting_task(self, **fields):
        vm = self.boot()
        self.add_job("a", jobs.step(**fields))
        (start,) = self.start_all()
        self.answer(vm)
        return vm, start.run.task

    def test_long_running_task_that_has_run_long_does_not_count(self):
        """Guards against sites that fail since VMs crash now and then."""
        for fields in ({"long_running": True}, {"filler": True}):
            vm, task = self.lasting_task(**fields)
            self.clock.advance(10_000)
            self.answer(vm)
            self.boot()
            self.assertEqual(set(), task.suspected_of())
            self.pool.jobs.cancel(task.id.job)
            self.pool.jobs.remove(task.id.job)

    def test_long_running_task_that_crashes_its_vms_is_given_up(self):
        """Guards against a service that crashes each VM as it starts."""
        for _ in range(3):
            self.boot()
            if not self.pool.entries:
                self.add_job("a", jobs.step(long_running=True))
            self.start_all()
        self.boot()
        self.assertTrue(self.pool.entries["a" * 16].job.is_final())

    def test_long_running_task_that_runs_well_is_cleared(self):
        """Guards against crashes of long ago that add up to a failure."""
        _, task = self.lasting_task(long_running=True)
        vm = self.boot()
        self.start_all()
        self.answer(vm)
        self.assertEqual(1, len(task.crashed_on))
        self.clock.advance(9_000)
        self.answer(vm)
        self.assertEqual(1, len(task.crashed_on))
        self.pool.changed.clear()
        self.clock.advance(1_000)
        self.answer(vm)
        self.assertEqual(set(), task.crashed_on)
        self.assertIn(task.id.job, self.pool.changed)

    def test_adopted_long_running_task_does_not_count(self):
        """Guards against a takeover that makes old runs look new."""
        vm, task = self.lasting_task(long_running=True)
        task.run.adopted = True
        self.boot()
        self.assertEqual(set(), task.suspected_of())

    def test_run_of_a_short_task_counts_however_long_it_ran(self):
        """Guards against a long task that crashes its VM near its end."""
        vm, task = self.lasting_task(estimate_ms=60_000)
        self.clock.advance(30_000)
        self.answer(vm)
        self.boot()
        self.assertEqual(1, len(task.crashed_on))


class TakeoverTest(CrashTest):
    def test_crashes_before_and_after_a_takeover_add_up(self):
        """Guards against a task that crashes three VMs of each owner."""
        entry = self.add_job("a")
        for _ in range(2):
            self.boot()
            self.start_all()
            self.clock.advance(100)
        self.boot()
        inherited = self.take_over(entry.job)
        self.boot()
        self.assertEqual(1, len(self.start_all()))
        self.boot()
        self.assertIs(model.JobState.FAILED, inherited.job.state)
