"""Tests of where tasks that may have crashed their VMs start again.

Load pattern: one of a thousand tasks crashes each VM that starts it, beside a
dozen runs of other jobs, while all VMs of the pool are full.
"""

import collections
import math
import random

import msgspec

from support import fake_vms
from support import jobs
from tests.scheduling import test_pool
from wagtailtiller.jobs import model
from wagtailtiller.jobs import task as task_module
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import crashes
from wagtailtiller.scheduling import pool as pool_module
from wagtailtiller.scheduling import suspects

_DONE = task_module.EndKind.DONE
_LONG_RUNNING = {"long_running": True, "max_unavailable": 1}
_PLAN_MS = 100
_LOST = "vm_lost"
_ATTEMPTS = 3


class SuspectsTest(test_pool.PoolTest):
    """A pool of VMs with four cores each."""

    cpu_millicores = 4_000

    def add_vms(self, count):
        capacity = vms.Resources(self.cpu_millicores, 64_000, 0)
        return [
            self.add_vm(f"vm-{number:02}", capacity=capacity)
            for number in range(count)
        ]

    def suspect(self, task, *names):
        for name in names:
            task.crashed_on.add(task_module.VmInstance(name, 1))

    def add_suspect(self, name, *crashed, **fields):
        """Add a job with one task under which VMs have crashed."""
        entry = self.add_job(name, jobs.step(1, **fields))
        (task,) = entry.job.steps(0)[0].tasks
        self.suspect(task, *crashed)
        return task

    def lose(self, vm):
        """Remove a VM; what ran on it may have crashed it."""
        for run in vm.runs.values():
            instance = task_module.VmInstance(vm.report.vm, vm.report.born_ms)
            run.task.lost_on.add(instance)
        self.pool.vm_tracker.mark_unlisted(vm.report.vm)
        self.pool.vm_tracker.mark_unresponsive(vm)
        self.clock.advance(60_000)
        self.assertEqual([vm], fake_vms.expire_leases(self.pool))

    def end_all(self, vm):
        """Let all runs of a VM that do not stay end well."""
        ends = [
            vms.ListedEnd(
                vm.last_end_position + 1 + n, task, run.number, _DONE, ""
            )
            for n, (task, run) in enumerate(vm.runs.items())
            if not run.task.step.long_running
        ]
        self.clock.advance(_PLAN_MS)
        self.answer(vm, ended=ends)

    def next_round(self):
        """End all runs and start what waits; return the tasks by VM."""
        for vm in list(self.pool.vms.values()):
            self.end_all(vm)
        return self.started()

    def started(self):
        """Start what waits and may start; return the tasks by VM."""
        by_vm = {}
        for start in self.start_all():
            by_vm.setdefault(start.vm, []).append(start.run.task)
        return by_vm

    def beside(self, task):
        """Return the other tasks on the VM of a task."""
        runs = self.pool.vms[task.run.vm].runs.values()
        return [run.task for run in runs if run.task is not task]


class SeparationTest(SuspectsTest):
    def test_tasks_lost_with_one_vm_do_not_share_a_vm_again(self):
        """All of them were lost again with the next VM that one crashed."""
        all_vms = self.add_vms(4)
        entry = self.add_job("a", jobs.step(4))
        self.assertEqual(1, len(self.started()))
        self.lose(self.pool.vms[entry.job.steps(0)[0].tasks[0].run.vm])
        self.assertEqual([1, 1, 1], [len(t) for t in self.started().values()])
        self.assertEqual({}, self.started())
        self.assertEqual([1], [len(t) for t in self.next_round().values()])
        self.assertEqual(4, len(all_vms))
        self.next_round()
        self.assertTrue(entry.job.is_final())

    def test_other_tasks_start_beside_a_task_with_one_suspicion(self):
        """A pool that isolated each innocent suspect would lose its room."""
        self.add_vms(1)
        suspect = self.add_suspect("a", "gone-1")
        self.add_suspect("b", "gone-2")
        self.add_job("c", jobs.step(2))
        self.assertEqual([4], [len(t) for t in self.started().values()])
        self.assertEqual(3, len(self.beside(suspect)))

    def test_suspect_that_waits_does_not_hold_up_its_step(self):
        """Tasks of a step start in order, and the first could not start."""
        self.add_vms(1)
        self.add_suspect("a", "gone-1")
        self.assertEqual(1, len(self.started()))
        entry = self.add_job("b", jobs.step(3))
        first, second, third = entry.job.steps(0)[0].tasks
        self.suspect(first, "gone-1")
        (tasks,) = self.started().values()
        self.assertEqual([second, third], tasks)

    def test_tasks_of_a_lost_rack_all_start_again_in_two_rounds(self):
        """Load pattern: a rack of four VMs with twelve runs each goes dark.

        The code without separation started tasks that were lost together on
        one VM.
        """
        self.cpu_millicores = 12_000
        all_vms = self.add_vms(12)
        self.add_job("a", jobs.step(48))
        lost = [self.pool.vms[vm] for vm in self.started()]
        self.assertEqual([12] * 4, [len(vm.runs) for vm in lost])
        for vm in lost:
            self.lose(vm)
        self.assertEqual(8, len(self.pool.vms))
        counts = []
        for by_vm in (self.started(), self.next_round(), self.next_round()):
            for tasks in by_vm.values():
                instances = [i for task in tasks for i in task.suspected_of()]
                self.assertEqual(len(instances), len(set(instances)))
            counts.append(sum(len(tasks) for tasks in by_vm.values()))
        self.assertEqual([32, 16, 0], counts)
        self.assertEqual(12, len(all_vms))

    def lose_tasks(self, vm_count, task_count, **fields):
        """Start tasks of jobs of their own on one VM, and lose it."""
        self.cpu_millicores = 1_000 * task_count
        self.add_vms(vm_count)
        entries = [
            self.add_job(f"{number:02}", jobs.step(1, **fields))
            for number in range(task_count)
        ]
        (vm,) = self.started()
        self.lose(self.pool.vms[vm])
        return [entry.job.steps(0)[0].tasks[0] for entry in entries]

    def check_all_start_beside_running_ones(self, tasks):
        """Check that all start within twice the time for which VMs are seen."""
        rounds = [len(self.started())]
        for _ in range(2 * crashes.SETTLED_MS // _PLAN_MS):
            self.clock.advance(_PLAN_MS)
            for vm in list(self.pool.vms.values()):
                self.answer(vm)
            rounds.append(sum(len(t) for t in self.started().values()))
        self.assertEqual([], [task.id for task in tasks if task.run is None])

    def test_tasks_lost_with_one_vm_do_not_run_in_turn(self):
        """Guards against jobs that wait for each other beside idle VMs."""
        tasks = self.lose_tasks(8, 32)
        self.check_all_start_beside_running_ones(tasks)

    def test_long_running_tasks_lost_with_one_vm_do_not_run_in_turn(self):
        tasks = self.lose_tasks(6, 10, **_LONG_RUNNING)
        self.check_all_start_beside_running_ones(tasks)

    def test_crash_halves_the_group_of_a_single_vm(self):
        """Guards against a crash that takes all suspects of the last one."""
        tasks = self.lose_tasks(2, 32)
        (started,) = self.started().values()
        self.assertEqual(16, len(started))
        self.assertEqual({}, self.started())
        self.assertEqual(16, sum(task.run is None for task in tasks))

    def test_next_owner_starts_tasks_of_one_crash_in_groups(self):
        """Guards against a takeover that lets all of them start together."""
        tasks = self.lose_tasks(2, 8)
        (vm,) = self.pool.vms.values()
        self.pool = pool_module.Pool(jobs.POOL, 2, self.clock)
        self.pool.jobs.set_queues([jobs.queue()])
        self.add_vm(vm.report.vm, born_ms=2, capacity=vm.report.capacity)
        for number in range(len(tasks)):
            job = jobs.job(f"{number:016x}")
            self.pool.jobs.add(job, True, model.JobState.QUEUED)
            self.suspect(job.steps(0)[0].tasks[0], "gone")
        (started,) = self.started().values()
        self.assertEqual(4, len(started))

    def test_probe_is_not_a_task_lost_with_a_long_running_one(self):
        """A VM on probation takes a short task beside long-running ones."""
        (vm,) = self.add_vms(1)
        self.add_suspect("a", "gone-1", **_LONG_RUNNING)
        self.started()
        vm.on_probation = True
        vm.probation_ends_ms = self.clock.now_ms + 60_000
        self.add_suspect("b", "gone-1")
        self.assertEqual({}, self.started())
        self.add_suspect("c", "gone-2")
        self.assertEqual(["vm-00"], list(self.started()))


class IsolationTest(SuspectsTest):
    def fill(self, name="f", count=400):
        """Add a job that fills all VMs for many rounds."""
        self.add_job(name, jobs.step(count))
        return self.started()

    def test_full_pool_frees_a_vm_and_nothing_starts_beside_the_task(self):
        """One task crashed VM after VM, each with a dozen runs of others."""
        all_vms = self.add_vms(4)
        self.fill()
        suspect = self.add_suspect("a", "gone-1", "gone-2")
        # The runs on each VM end one by one, and others start after each.
        for _ in range(4):
            for vm in all_vms:
                run = next(iter(vm.runs.values()), None)
                if run is not None and run.task is not suspect:
                    self.clock.advance(10)
                    self.end(vm, run, _DONE)
            self.started()
        self.assertIsNotNone(suspect.run)
        self.assertEqual([], self.beside(suspect))
        for _ in range(3):
            self.assertEqual([], self.beside(suspect))
            for vm in all_vms:
                if vm.report.vm != suspect.run.vm:
                    self.end_all(vm)
            self.assertEqual(3, len(self.started()))
        self.end(self.pool.vms[suspect.run.vm], suspect.run, _DONE)
        self.assertEqual([4], [len(t) for t in self.started().values()])

    def test_other_vms_take_work_while_one_is_kept(self):
        """A suspect in a full pool must not hold up the other jobs."""
        first, *others = self.add_vms(4)
        self.fill()
        suspect = self.add_suspect("a", "gone-1", "gone-2")
        self.clock.advance(_PLAN_MS)
        self.started()
        for vm in others:
            self.end_all(vm)
            started = self.started().get(vm.report.vm, [])
            # Nothing else starts on the VM that is kept.
            self.assertIn(len(started), (0, 1, 4))
            self.assertEqual(len(started) == 1, suspect in started)
        self.end_all(first)
        self.started()
        self.assertIsNotNone(suspect.run)
        self.assertEqual([], self.beside(suspect))
        busy = [vm for vm in self.pool.vms.values() if len(vm.runs) == 4]
        self.assertEqual(3, len(busy))

    def test_pool_of_one_vm_runs_each_suspect_alone_and_then_the_rest(self):
        """A pool with a single VM has no other one to keep free."""
        (vm,) = self.add_vms(1)
        self.fill(count=40)
        suspects = [
            self.add_suspect(name, "gone-1", "gone-2") for name in "abc"
        ]
        self.clock.advance(_PLAN_MS)
        self.assertEqual({}, self.started())
        for suspect in suspects:
            self.assertEqual({vm.report.vm: [suspect]}, self.next_round())
        self.assertEqual([4], [len(t) for t in self.next_round().values()])

    def test_quarter_of_the_vms_is_used_oldest_job_first(self):
        """Load pattern: a lost rack leaves dozens of suspects at once."""
        self.add_vms(8)
        suspects = []
        for name in "dcba":
            self.clock.advance(1_000)
            suspects.append(self.add_suspect(name, "gone-1", "gone-2"))
        self.fill()
        for suspect in suspects[:2]:
            self.assertIsNotNone(suspect.run)
            self.assertEqual([], self.beside(suspect))
        self.assertEqual([None, None], [task.run for task in suspects[2:]])
        self.assertEqual(26, sum(len(v.runs) for v in self.pool.vms.values()))
        self.next_round()
        for suspect in suspects[2:]:
            self.assertIsNotNone(suspect.run)
            self.assertEqual([], self.beside(suspect))

    def test_task_that_fits_no_vm_keeps_none(self):
        """A VM that is kept for a task that never starts is lost capacity."""
        (vm,) = self.add_vms(1)
        self.add_suspect("a", "gone-1", "gone-2", cpu_millicores=5_000)
        later = self.add_suspect("b", "gone-1", "gone-2")
        self.assertEqual({vm.report.vm: [later]}, self.started())

    def test_vm_with_a_long_running_task_is_avoided(self):
        """A crash takes the long-running tasks of the VM with it."""
        busy, idle = self.add_vms(2)
        idle.closed_until_ms = self.clock.now_ms + 1_000
        self.add_job("a", jobs.step(1, **_LONG_RUNNING))
        self.started()
        self.clock.advance(1_000)
        suspect = self.add_suspect("b", "gone-1", "gone-2")
        self.assertEqual({idle.report.vm: [suspect]}, self.started())
        self.assertEqual(1, len(busy.runs))

    def test_vm_that_closes_is_not_kept(self):
        """A suspect would wait for a VM that is drained or lost."""
        all_vms = self.add_vms(2)
        self.fill()
        suspect = self.add_suspect("a", "gone-1", "gone-2")
        self.clock.advance(_PLAN_MS)
        self.started()
        for vm in all_vms:
            # Whichever of them is kept.
            self.end(vm, next(iter(vm.runs.values())), _DONE)
        (started_on,) = self.started()
        (kept,) = (vm for vm in all_vms if vm.report.vm != started_on)
        kept.closed_until_ms = self.clock.now_ms + 60_000
        self.end_all(self.pool.vms[started_on])
        self.assertEqual({started_on: [suspect]}, self.started())

    def test_kept_vm_counts_as_no_room_for_new_jobs(self):
        """An overloaded pool accepted jobs for room that they do not get."""
        (vm,) = self.add_vms(1)
        self.assertEqual(4, vm.room(jobs.step(4), 4))
        self.add_suspect("a", "gone-1", "gone-2")
        self.started()
        self.assertEqual(0, vm.room(jobs.step(4), 4))

    def test_task_is_not_moved_beside_an_isolated_one(self):
        """Tasks that leave a vacated VM took the room of the kept one."""
        source, target = self.add_vms(2)
        target.closed_until_ms = self.clock.now_ms + 1_000
        self.add_job("a", jobs.step(1, **_LONG_RUNNING))
        self.started()
        self.clock.advance(1_000)
        self.answer(source)
        suspect = self.add_suspect("b", "gone-1", "gone-2")
        self.assertEqual({target.report.vm: [suspect]}, self.started())
        source.closed_until_ms = self.clock.now_ms + 60_000
        source.moves_long_running_until_ms = self.clock.now_ms + 60_000
        self.assertEqual([], self.stops())
        self.end_all(target)
        # The plan releases the VM after it has decided about stops.
        self.pool.plan()
        self.assertEqual(1, len(self.stops()))

    def test_suspect_that_is_moved_keeps_its_new_vm_free(self):
        """Short tasks started on the VM for which a suspect was stopped."""
        source, target = self.add_vms(2)
        target.closed_until_ms = self.clock.now_ms + 1_000
        suspect = self.add_suspect("a", "gone-1", "gone-2", **_LONG_RUNNING)
        self.started()
        self.clock.advance(1_000)
        self.answer(source)
        source.closed_until_ms = self.clock.now_ms + 60_000
        source.moves_long_running_until_ms = self.clock.now_ms + 60_000
        self.add_job("b", jobs.step(8))
        (stop,) = self.pool.plan()
        self.assertIsInstance(stop, commands.Stop)
        self.end(source, stop.run, task_module.EndKind.STOPPED)
        self.assertEqual({target.report.vm: [suspect]}, self.started())

    def test_plan_without_suspects_looks_for_none_at_once_again(self):
        """A plan is made every 8 ms and may not look at all tasks each time."""
        self.add_vms(2)
        self.fill()
        planner = self.pool._start_planner
        searched = []
        self.patch(
            planner,
            "_update_isolation",
            lambda *args: searched.append(self.clock.now_ms),
        )
        for _ in range(20):
            self.clock.advance(1)
            self.pool.plan()
        self.assertEqual([], searched)


class PolicyTest(SuspectsTest):
    def test_vm_that_the_policy_denies_is_given_up(self):
        """A kept VM on which its task may not start was lost for all."""
        policy = catalogue.PlacementPolicy(10, 1, 60_000)
        queue = msgspec.structs.replace(jobs.queue(), policy=policy)
        self.pool.jobs.set_queues([queue])
        self.add_vms(2)
        suspect = self.add_suspect("a", "gone-1", "gone-2")
        started = {}
        for _ in range(120):
            self.clock.advance(_PLAN_MS)
            for vm in self.pool.vms.values():
                self.answer(vm)
            for decision in self.pool.plan():
                if isinstance(decision, commands.PolicyQuery):
                    allowed = {"vm-01": "ticket"}
                    self.pool.tickets.record_answer(
                        decision.task,
                        list(decision.vms),
                        {v: t for v, t in allowed.items() if v in decision.vms},
                        self.clock.now_ms + 60_000,
                    )
                elif isinstance(decision, commands.Start):
                    started[decision.vm] = decision.run.task
            if started:
                break
        self.assertEqual({"vm-01": suspect}, started)


class CostTest(SuspectsTest):
    def test_suspects_that_wait_for_their_turn_look_at_no_vm(self):
        """Load pattern: dozens of suspects on 60 VMs, planned every 8 ms."""
        all_vms = self.add_vms(60)
        for number in range(60):
            self.add_suspect(f"{number:03}", "gone-1", "gone-2")
        self.assertEqual(15, len(self.started()))
        looked_at = []
        vm_class = type(all_vms[0])
        for name in ("fits", "room_beside"):
            self.patch(vm_class, name, lambda *args: looked_at.append(args))
        self.pool.plan()
        self.assertEqual([], looked_at)


class GangTest(SuspectsTest):
    def test_suspected_gang_shares_a_vm_with_no_other_short_task(self):
        """Its members crash VMs one after the other, or together."""
        self.add_vms(4)
        self.add_job("f", jobs.step(400))
        self.started()
        entry = self.add_job("a", jobs.step(3, gang=True))
        members = entry.job.steps(0)[0].tasks
        for member in members:
            self.suspect(member, "gone-1", "gone-2")
        self.clock.advance(_PLAN_MS)
        self.started()
        self.next_round()
        self.assertEqual(1, len({member.run.vm for member in members}))
        self.assertEqual(2, len(self.beside(members[0])))
        for vm in self.pool.vms.values():
            if vm.report.vm != members[0].run.vm:
                self.end_all(vm)
        self.started()
        self.assertEqual(2, len(self.beside(members[0])))

    def test_gang_larger_than_the_limit_of_kept_vms_starts(self):
        """A gang that may never start is not isolated but starved."""
        self.add_vms(4)
        self.add_job("f", jobs.step(400))
        self.started()
        entry = self.add_job("a", jobs.step(7, gang=True))
        members = entry.job.steps(0)[0].tasks
        self.suspect(members[3], "gone-1", "gone-2")
        self.clock.advance(_PLAN_MS)
        self.started()
        self.next_round()
        self.assertEqual(2, len({member.run.vm for member in members}))
        for member in members:
            for other in self.beside(member):
                self.assertEqual(entry.job.id, other.id.job)

    def test_large_gang_is_not_overtaken_for_ever(self):
        """Single suspects that come one after the other kept its VMs."""
        self.add_vms(8)
        singles = [self.add_suspect(n, "gone-1", "gone-2") for n in "01"]
        self.started()
        self.clock.advance(1_000)
        entry = self.add_job("a", jobs.step(12, gang=True))
        members = entry.job.steps(0)[0].tasks
        self.suspect(members[0], "gone-1", "gone-2")
        for name in "bcdefg":
            self.clock.advance(1_000)
            self.add_suspect(name, "gone-1", "gone-2")
        # The two isolated tasks end one after the other.
        for single in singles[:2]:
            self.end(self.pool.vms[single.run.vm], single.run, _DONE)
            self.started()
        self.assertNotIn(None, [member.run for member in members])


class LongRunningTest(SuspectsTest):
    def test_long_running_suspect_blocks_its_vm_for_ten_seconds(self):
        """It has no end, so that its VM would be lost for other tasks."""
        (vm,) = self.add_vms(1)
        suspect = self.add_suspect("a", "gone-1", "gone-2", **_LONG_RUNNING)
        other = self.add_suspect("b", "gone-1", "gone-2")
        self.add_job("c", jobs.step(8))
        self.assertEqual({vm.report.vm: [suspect]}, self.started())
        self.answer(vm)
        waited_ms = 0
        while not other.run:
            self.assertLess(waited_ms, 11_000)
            self.clock.advance(500)
            self.answer(vm)
            started = self.started()
            waited_ms += 500
        self.assertGreaterEqual(waited_ms, 10_000)
        self.assertEqual({vm.report.vm: [other]}, started)
        self.assertEqual([3], [len(t) for t in self.next_round().values()])

    def test_filler_suspect_blocks_its_vm_for_ten_seconds(self):
        """Guards against a VM that is kept for as long as a filler runs.

        The next suspect waited until then as well.
        """
        (vm,) = self.add_vms(1)
        suspect = self.add_suspect("a", "gone-1", "gone-2", filler=True)
        self.assertEqual({vm.report.vm: [suspect]}, self.started())
        other = self.add_suspect("b", "gone-1", "gone-2")
        for _ in range(22):
            self.clock.advance(500)
            self.answer(vm, percent=1)
            self.started()
        self.assertIsNotNone(suspect.run)
        self.assertIsNotNone(other.run)

    def test_long_running_suspect_starts_beside_no_short_task(self):
        """It crashes its VM when it starts, with the runs under way there."""
        self.add_vms(2)
        self.add_job("f", jobs.step(400))
        self.started()
        suspect = self.add_suspect("a", "gone-1", "gone-2", **_LONG_RUNNING)
        self.clock.advance(_PLAN_MS)
        self.started()
        self.next_round()
        self.assertIsNotNone(suspect.run)
        self.assertEqual([], self.beside(suspect))


class TakeoverTest(SuspectsTest):
    def test_next_owner_starts_nothing_beside_an_isolated_run(self):
        """The decision which VMs are kept is not stored."""
        (vm,) = self.add_vms(1)
        suspect = self.add_suspect("a", "gone-1", "gone-2")
        self.started()
        old_run = suspect.run
        inherited = self.take_over(self.pool.entries["a" * 16].job)
        (task,) = inherited.job.steps(0)[0].tasks
        self.suspect(task, "gone-1", "gone-2")
        self.add_job("b", jobs.step(4))
        new = self.pool.vm_tracker.register(vm.report)
        listed = vms.ListedRun(task.id, old_run.number, "", 10, 0)
        now_ms = self.clock.now_ms
        self.pool.vm_tracker.mark_responsive(new, now_ms, now_ms)
        self.pool.run_reconciler.apply_listing(
            new, new.token, now_ms, vms.Listing(now_ms, 1, (listed,), ())
        )
        self.assertIsNotNone(task.run)
        self.assertEqual({}, self.started())
        self.end_all(new)
        self.assertEqual([4], [len(t) for t in self.started().values()])


class CrashingTasksTest(SuspectsTest):
    """Random load with tasks that crash each VM that starts them."""

    duration_ms = 30_000
    max_steps = 4_000

    def play(self, seed):
        """Play a pool under load until all of its work is done."""
        self.random = random.Random(seed)
        self.add_vms(self.vm_count)
        self.guilty = set()
        self.returning = []
        self.crash_sizes = {}
        self.lost_count = 0
        self.entries = []
        end_ms = self.clock.now_ms + self.duration_ms
        steps = 0
        while self.clock.now_ms < end_ms or self.is_busy():
            steps += 1
            self.assertLess(
                steps, self.max_steps, "work is left that does not start"
            )
            if self.clock.now_ms < end_ms:
                self.add_work(steps)
            self.list_vms()
            self.return_vms()
            self.start_all()
            self.check_rules()

    def is_busy(self):
        return any(
            not entry.job.is_final()
            for entry in self.entries
            if not entry.job.long_running
        )

    def add_work(self, number):
        # About 95% of what the VMs can do.
        while self.waiting_count() < 4:
            kind = self.random.random()
            fields = {"estimate_ms": self.random.choice((200, 400, 800))}
            if kind < 0.05:
                fields["gang"] = True
            elif kind < 0.08:
                fields["filler"] = True
            count = self.random.choice((1, 1, 2, 3))
            self.add(jobs.step(count, **fields))
        if number % 100 == 5:
            fields = {"cpu_millicores": 100, **_LONG_RUNNING}
            self.add(jobs.step(1, **fields))
        if number % 50 == 10:
            gang = self.random.random() < 0.2
            entry = self.add(jobs.step(2 if gang else 1, gang=gang))
            self.guilty.add(entry.job.id)

    def add(self, step):
        entry = self.add_job(f"{len(self.entries):04}", step)
        self.entries.append(entry)
        return entry

    def waiting_count(self):
        return sum(
            len(entry.job.steps(0)[0].waiting_tasks())
            for entry in self.pool.active.values()
            if entry.job.id not in self.guilty
        )

    def list_vms(self):
        self.clock.advance(_PLAN_MS)
        now_ms = self.clock.now_ms
        for vm in list(self.pool.vms.values()):
            started = [r for r in vm.runs.values() if r.started_ms < now_ms]
            if any(r.task.id.job in self.guilty for r in started):
                self.crash(vm)
                continue
            ended = [
                run
                for run in started
                if not run.task.step.long_running
                and now_ms - run.started_ms >= run.task.step.estimate_ms
            ]
            ends = [
                vms.ListedEnd(
                    vm.last_end_position + 1 + n,
                    run.task.id,
                    run.number,
                    _DONE,
                    "",
                )
                for n, run in enumerate(ended)
            ]
            self.answer(vm, ended=ends)

    def crash(self, vm):
        instance = task_module.VmInstance(vm.report.vm, vm.report.born_ms)
        tasks = [run.task for run in vm.runs.values()]
        self.pool.vm_tracker.mark_unlisted(vm.report.vm)
        self.pool.discard_runs(vm, _LOST)
        del self.pool.vms[vm.report.vm]
        self.returning.append((self.clock.now_ms + 2_000, vm.report))
        self.crash_sizes[instance] = len(tasks)
        for task in tasks:
            task.crashed_on.add(instance)
            if task.id.job not in self.guilty:
                self.lost_count += 1
            elif len(task.crashed_on) >= _ATTEMPTS:
                self.pool.jobs.cancel(task.id.job)

    def return_vms(self):
        for back_ms, report in list(self.returning):
            if self.clock.now_ms >= back_ms:
                self.returning.remove((back_ms, report))
                self.add_vm(
                    report.vm,
                    born_ms=self.clock.now_ms,
                    capacity=report.capacity,
                )

    def check_rules(self):
        for vm in self.pool.vms.values():
            self.check_groups(vm)
            tasks = [
                run.task
                for run in vm.runs.values()
                if not run.task.step.long_running or run.observed_ms() < 10_000
            ]
            for task in tasks:
                for other in tasks:
                    self.check_pair(task, other)

    def check_groups(self, vm):
        """Check how many suspects of one crash are starting on a VM."""
        starting = collections.Counter(
            instance
            for unit, instance in {
                (suspects.isolated_unit(run.task), instance)
                for run in vm.runs.values()
                if run.confirmed_ms - run.started_ms < crashes.SETTLED_MS
                for instance in run.task.suspected_of()
            }
        )
        for instance, count in starting.items():
            # All others may be down, or be kept for an isolated task.
            shared = 1 if self.vm_count <= 2 else self.vm_count // 2
            limit = math.ceil(self.crash_sizes[instance] / (2 * shared))
            self.assertLessEqual(count, limit)

    def check_pair(self, task, other):
        if task is other or (task.step.gang and task.id[:3] == other.id[:3]):
            return
        ends = not (other.step.long_running or other.step.filler)
        if len(task.suspected_of()) > 1:
            self.assertFalse(ends, f"{other.id} runs beside {task.id}")

    def test_rules_hold_and_all_innocent_work_ends(self):
        """Starvation or a wrong pair shows under some order of events only."""
        for seed, self.vm_count in enumerate((8, 8, 8, 24, 24, 2)):
            self.pool = pool_module.Pool(jobs.POOL, 1, self.clock)
            self.pool.jobs.set_queues([jobs.queue()])
            self.play(seed)
            for entry in self.entries:
                if entry.job.id in self.guilty or entry.job.long_running:
                    continue
                self.assertIs(model.JobState.COMPLETED, entry.job.state)
