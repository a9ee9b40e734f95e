"""Tests of the index of VMs for starts.

Load pattern: a queue asks for five times its mean, so that hundreds of jobs
wait while no VM has room, and the owner plans again at each end of a run.
"""

import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from support import clocks
from support import fake_vms
from support import jobs
from support.measure import plain_planner
from wagtailtiller.jobs import model
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import candidates
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import pool as pool_module

_RACKS = ("r1", "r2", "r3")
_sizes = strategies.integers(0, 9).map(lambda n: n * 1_000)
_vm_fields = strategies.tuples(
    strategies.integers(1, 20),
    strategies.integers(1, 20),
    strategies.sampled_from(_RACKS),
)
_step_fields = strategies.fixed_dictionaries(
    {
        "task_count": strategies.integers(1, 6),
        "cpu_millicores": _sizes,
        "memory_mb": _sizes,
        "estimate_ms": strategies.integers(1, 3_000),
        "max_per_vm": strategies.integers(0, 2),
        "near_rack": strategies.sampled_from(("", *_RACKS)),
        "required_label": strategies.sampled_from(("", "", "", "r1")),
        "filler": strategies.booleans(),
    }
)


def _pool(vm_fields, clock):
    pool = pool_module.Pool(jobs.POOL, 1, clock)
    pool.jobs.set_queues([jobs.queue()])
    for number, (cores, gigabytes, rack) in enumerate(vm_fields):
        capacity = vms.Resources(cores * 1_000, gigabytes * 1_000, 0)
        report = fake_vms.report(
            f"vm-{number}", capacity=capacity, labels=("a", rack)
        )
        vm = pool.vm_tracker.register(report)
        clock.advance(1)
        pool.vm_tracker.mark_responsive(vm, clock.now_ms, clock.now_ms)
        listing = vms.Listing(clock.now_ms, vm.report.born_ms, (), ())
        pool.run_reconciler.apply_listing(vm, vm.token, clock.now_ms, listing)
    return pool


def _add_job(pool, name, *steps):
    job = jobs.job(name, jobs.spec(*steps))
    return pool.jobs.add(job, False, model.JobState.QUEUED)


class SameDecisionsTest(testtools.TestCase):
    @hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
    @hypothesis.given(
        vm_fields=strategies.lists(_vm_fields, min_size=1, max_size=6),
        step_fields=strategies.lists(_step_fields, max_size=12),
        ends=strategies.lists(strategies.integers(0, 50), max_size=8),
        failed_on=strategies.sets(strategies.integers(0, 5), max_size=2),
    )
    def test_a_plan_starts_what_the_plain_planner_would(
        self, vm_fields, step_fields, ends, failed_on
    ):
        clock = clocks.FakeClock()
        pool = _pool(vm_fields, clock)
        half = len(step_fields) // 2
        for number, fields in enumerate(step_fields[:half]):
            _add_job(pool, f"early-{number:02}", jobs.step(**fields))
        self._check_plan(pool, clock)
        running = [run for vm in pool.vms.values() for run in vm.runs.values()]
        for position in ends:
            if position < len(running):
                run = running[position]
                pool.remove_run(pool.vms[run.vm], run)
                run.task.failed_vms |= {f"vm-{vm}" for vm in failed_on}
        for number, fields in enumerate(step_fields[half:]):
            _add_job(pool, f"later-{number:02}", jobs.step(**fields))
        clock.advance(300)
        self._check_plan(pool, clock)

    @hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
    @hypothesis.given(
        vm_fields=strategies.lists(_vm_fields, min_size=1, max_size=6),
        step_fields=strategies.lists(_step_fields, max_size=12),
        shares=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 5), strategies.integers(0, 4)
            ),
            max_size=8,
        ),
    )
    # A task that needs no memory starts on a VM whose memory is exceeded.
    @hypothesis.example(
        vm_fields=[(8, 8, "r1")],
        step_fields=[
            {"task_count": 1, "cpu_millicores": 1_000, "memory_mb": memory_mb}
            for memory_mb in (5_000, 0)
        ],
        shares=[(0, 4), (0, 2)],
    )
    def test_no_plan_starts_above_changing_capacities(
        self, vm_fields, step_fields, shares
    ):
        """Guards against an index that is wrong below zero free capacity."""
        clock = clocks.FakeClock()
        pool = _pool(vm_fields, clock)
        full = {vm: state.report.capacity for vm, state in pool.vms.items()}
        for number, fields in enumerate(step_fields):
            _add_job(pool, f"job-{number:02}", jobs.step(**fields))
            position, quarters = (
                shares[number % len(shares)]
                if shares
                else (
                    0,
                    4,
                )
            )
            vm = pool.vms.get(f"vm-{position}")
            if vm is not None:
                capacity = vms.Resources(
                    full[vm.report.vm].cpu_millicores * quarters // 4,
                    full[vm.report.vm].memory_mb * quarters // 4,
                )
                pool.vm_tracker.register(
                    msgspec.structs.replace(vm.report, capacity=capacity)
                )
            before = {vm: set(state.runs) for vm, state in pool.vms.items()}
            clock.advance(300)
            self._check_plan(pool, clock)
            for vm in pool.vms.values():
                self._check_new_runs(vm, before[vm.report.vm])

    def _check_new_runs(self, vm, earlier):
        """Check each resource that a new run needs against the capacity."""
        steps = [run.task.step for run in vm.runs.values()]
        new = [
            run.task.step
            for task, run in vm.runs.items()
            if task not in earlier
        ]
        capacity = vm.report.capacity
        if any(step.cpu_millicores and not step.filler for step in new):
            used = sum(s.cpu_millicores for s in steps if not s.filler)
            self.assertLessEqual(used, capacity.cpu_millicores)
        if any(step.memory_mb for step in new):
            used = sum(step.memory_mb for step in steps)
            self.assertLessEqual(used, capacity.memory_mb)

    def _check_plan(self, pool, clock):
        expected = plain_planner.plan(pool, clock.now_ms)
        planned = [
            (decision.run.task.id, decision.vm)
            for decision in pool.plan()
            if isinstance(decision, commands.Start)
        ]
        self.assertEqual(expected, planned)


class BacklogTest(testtools.TestCase):
    def test_a_backlog_of_equal_tasks_looks_at_the_vms_once(self):
        clock = clocks.FakeClock()
        pool = _pool([(8, 32, "r1")] * 50, clock)
        step = jobs.step(8, cpu_millicores=5_000)
        for number in range(100):
            _add_job(pool, f"job-{number:03}", step)
        self.assertEqual(50, len(pool.plan()))
        looked_at = _count_lookups(self, pool)
        self.assertEqual([], pool.plan())
        self.assertLessEqual(len(looked_at), 50)

    def test_a_smaller_task_starts_behind_one_that_does_not_fit(self):
        clock = clocks.FakeClock()
        pool = _pool([(4, 32, "r1")], clock)
        _add_job(pool, "a-large", jobs.step(cpu_millicores=9_000))
        _add_job(pool, "b-small", jobs.step(cpu_millicores=4_000))
        self.assertEqual(["b-small"], [c.run.task.id.job for c in pool.plan()])

    def test_room_that_appears_is_used_by_the_next_plan(self):
        clock = clocks.FakeClock()
        pool = _pool([(4, 32, "r1")], clock)
        _add_job(pool, "a", jobs.step(cpu_millicores=4_000))
        _add_job(pool, "b", jobs.step(cpu_millicores=4_000))
        (first,) = pool.plan()
        self.assertEqual([], pool.plan())
        pool.remove_run(pool.vms[first.vm], first.run)
        self.assertEqual(1, len(pool.plan()))


class ExcludedVmTest(testtools.TestCase):
    def test_a_task_that_fits_only_on_an_excluded_vm_fits_without_it(self):
        pool = _pool([(4, 32, "r1")], clocks.FakeClock())
        entry = _add_job(pool, "a", jobs.step(cpu_millicores=4_000))
        (task,) = entry.job.steps(0)[0].tasks
        (vm,) = pool.vms.values()
        index = candidates.Candidates([vm])
        self.assertIsNone(index.choose(task, excluded=vm))
        self.assertIs(vm, index.choose(task))


def _count_lookups(test, pool):
    """Return a list that receives each VM that is asked for room."""
    looked_at = []
    vm_class = type(next(iter(pool.vms.values())))
    original = vm_class.fits

    def fits(vm, step, count=1):
        looked_at.append(vm)
        return original(vm, step, count)

    test.patch(vm_class, "fits", fits)
    return looked_at


class KeptVmTest(testtools.TestCase):
    def test_gang_does_not_start_on_a_vm_that_is_kept_free(self):
        """Guards against a plan that fails when it adds the run of a gang."""
        pool = _pool([(8, 8, "r1"), (4, 8, "r1")], clocks.FakeClock())
        open_candidates = candidates.Candidates(pool.vms.values())
        self.assertTrue(
            open_candidates.keep_free(jobs.step(cpu_millicores=6_000))
        )
        names = [vm.report.vm for vm in open_candidates.available]
        self.assertEqual(["vm-1"], names)

    def test_vm_of_an_isolated_task_is_not_kept_for_another_one(self):
        """Neither task would start while each keeps the VM from the other."""
        pool = _pool([(8, 8, "r1"), (6, 8, "r1")], clocks.FakeClock())
        suspect = model.TaskId(model.JobId("a"), 0, 0, 0)
        pool.vms["vm-0"].isolates = suspect
        open_candidates = candidates.Candidates(pool.vms.values())
        step = jobs.step(cpu_millicores=6_000)
        self.assertTrue(open_candidates.keep_free(step))
        names = [vm.report.vm for vm in open_candidates.available]
        self.assertEqual(["vm-0"], names)
        self.assertFalse(open_candidates.keep_free(step))
