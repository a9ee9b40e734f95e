"""Processor time of planning a pool, by its VMs and waiting jobs."""

import time

from support import clocks
from support import fake_vms
from support import jobs
from support.measure import tables
from wagtailtiller.jobs import model
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import pool as pool_module

_SIZES = ((30, 100), (110, 200), (110, 500), (300, 500))
_TASKS_PER_JOB = 8
_MAX_STARTED_JOBS = 40
_REPEAT_COUNT = 9
_US_PER_NS = 1e-3
# Longer than an order of waiting jobs is kept.
_NEW_ORDER_MS = 150
_CAPACITY = vms.Resources(32_000, 131_072, 0)
_TASK = {"cpu_millicores": 9_800, "memory_mb": 28_000, "estimate_ms": 2_100}


def measure(seed: int) -> str:
    """Measure a plan in which nothing fits and one that fills empty VMs.

    Args:
        seed: Unused; the measured pools are the same each time.

    Returns:
        Table of the processor time of a plan and of one started task.
    """
    del seed
    rows = [
        _row(vm_count, job_count, by_cost)
        for by_cost in (False, True)
        for vm_count, job_count in _SIZES
    ]
    headings = (
        "order",
        "VMs",
        "waiting jobs",
        "nothing fits, us a plan",
        "with a new order, us",
        "admission, us",
        "filling, us a start",
        "starts",
    )
    return tables.table("planning", headings, rows)


def _row(vm_count: int, job_count: int, by_cost: bool) -> tuple[object, ...]:
    pool, clock = _pool(vm_count)
    pool.overload_control = by_cost
    _add_jobs(pool, min(_MAX_STARTED_JOBS, job_count), "first")
    started_ns = time.process_time_ns()
    starts = _start_all(pool)
    filling_ns = time.process_time_ns() - started_ns
    _add_jobs(pool, job_count, "later")
    while _start_all(pool):
        pass
    plan_ns = []
    admit_ns = []
    for _ in range(_REPEAT_COUNT):
        clock.advance(8)
        started_ns = time.process_time_ns()
        pool.plan()
        planned_ns = time.process_time_ns()
        pool.jobs.admit(jobs.spec(jobs.step(1, **_TASK)), jobs.queue())
        admit_ns.append(time.process_time_ns() - planned_ns)
        plan_ns.append(planned_ns - started_ns)
    new_order_ns = []
    for _ in range(_REPEAT_COUNT):
        clock.advance(_NEW_ORDER_MS)
        started_ns = time.process_time_ns()
        pool.plan()
        new_order_ns.append(time.process_time_ns() - started_ns)
    return (
        "by cost" if by_cost else "by job",
        vm_count,
        job_count,
        f"{min(plan_ns) * _US_PER_NS:.0f}",
        f"{min(new_order_ns) * _US_PER_NS:.0f}",
        f"{min(admit_ns) * _US_PER_NS:.0f}",
        f"{filling_ns * _US_PER_NS / max(1, starts):.0f}",
        starts,
    )


def _pool(vm_count: int) -> tuple[pool_module.Pool, clocks.FakeClock]:
    clock = clocks.FakeClock()
    pool = pool_module.Pool(jobs.POOL, 1, clock)
    pool.jobs.set_queues([jobs.queue()])
    for number in range(vm_count):
        vm = pool.vm_tracker.register(
            fake_vms.report(f"vm-{number}", capacity=_CAPACITY)
        )
        assert vm is not None
        clock.advance(1)
        pool.vm_tracker.mark_responsive(vm, clock.now_ms, clock.now_ms)
        listing = vms.Listing(clock.now_ms, vm.report.born_ms, (), ())
        pool.run_reconciler.apply_listing(vm, vm.token, clock.now_ms, listing)
    return pool, clock


def _add_jobs(pool: pool_module.Pool, count: int, prefix: str) -> None:
    steps = (
        jobs.step(_TASKS_PER_JOB, **_TASK),
        jobs.step(_TASKS_PER_JOB, after=(0,), **_TASK),
    )
    for number in range(count):
        job = jobs.job(f"{prefix}-{number}", jobs.spec(*steps))
        pool.jobs.add(job, False, model.JobState.QUEUED)


def _start_all(pool: pool_module.Pool) -> int:
    starts = [c for c in pool.plan() if isinstance(c, commands.Start)]
    for start in starts:
        vm = pool.vms[start.vm]
        pool.run_reconciler.apply_start_outcome(
            vm, start.run, vms.CommandOutcome.DONE
        )
    return len(starts)
