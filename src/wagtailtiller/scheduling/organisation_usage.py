"""What organisations use and ask for in one pool."""

import collections
from collections.abc import Container

from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.scheduling import allocation
from wagtailtiller.scheduling import state

Usage = dict[ids.OrganisationId, allocation.Amounts]
_Limited = Container[ids.OrganisationId]

# The tasks that a previous owner may have started are counted again after this
# time. An older count is higher, because such tasks only end.
_INHERITED_COUNT_MS = 100


def known_usage(pool_state: state.PoolState, limited: _Limited) -> Usage:
    """Return the amounts of the known runs by organisation.

    Starts without a response, runs that are being stopped and orphan runs
    count.

    Args:
        pool_state: State of the pool.
        limited: Organisations to include.
    """
    return _run_usage(pool_state, limited, with_inherited=True)


def _run_usage(
    pool_state: state.PoolState, limited: _Limited, with_inherited: bool
) -> Usage:
    used: Usage = collections.defaultdict(allocation.Amounts)
    for vm in pool_state.vms.values():
        tasks = [run.task for run in vm.runs.values()]
        for task in (*tasks, *vm.orphan_tasks):
            entry = pool_state.entries.get(task.id.job)
            if entry is None or (entry.inherited and not with_inherited):
                continue
            organisation = entry.job.organisation
            if organisation in limited:
                used[organisation] = used[organisation].plus(
                    allocation.needed_by(task.step)
                )
    return used


class InheritedUsage:
    """Counts what a previous owner may have started.

    Args:
        pool_state: State of the pool.
    """

    def __init__(self, pool_state: state.PoolState) -> None:
        self._state = pool_state
        self._inherited: Usage = {}
        self._counted_ms = 0
        self._counted_jobs = -1

    def possible_usage(self, limited: _Limited) -> Usage:
        """Return the amounts that may be in use, by organisation.

        Until all VMs of the previous owner have answered, each unfinished task
        of an inherited job counts as running, also of a job that has been
        cancelled or has failed.

        Args:
            limited: Organisations to include.
        """
        if not self._state.unresolved:
            return known_usage(self._state, limited)
        now_ms = self._state.clock.monotonic_ms()
        if (
            len(self._state.entries) != self._counted_jobs
            or now_ms - self._counted_ms >= _INHERITED_COUNT_MS
        ):
            self._inherited = self._count_inherited()
            self._counted_ms = now_ms
            self._counted_jobs = len(self._state.entries)
        possible = _run_usage(self._state, limited, with_inherited=False)
        for organisation, amounts in self._inherited.items():
            if organisation not in limited:
                continue
            possible[organisation] = possible[organisation].plus(amounts)
        return possible

    def _count_inherited(self) -> Usage:
        wall_ms = self._state.clock.wall_ms()
        used: Usage = collections.defaultdict(allocation.Amounts)
        for entry in self._state.entries.values():
            organisation = entry.job.organisation
            if not entry.inherited:
                continue
            for occurrence in entry.job.open_occurrences(wall_ms):
                for step_run in entry.job.steps(occurrence):
                    used[organisation] = used[organisation].plus(
                        allocation.needed_by(step_run.step),
                        step_run.open_count,
                    )
        return used


def demand(
    pool_state: state.PoolState, limited: _Limited, used: Usage
) -> tuple[Usage, Usage]:
    """Return what organisations ask for, and their largest waiting task.

    Args:
        pool_state: State of the pool.
        limited: Organisations to include.
        used: Amounts of the known runs.

    Returns:
        The amounts of running and waiting tasks, and those of the largest
        waiting task or gang, by organisation.
    """
    asked: Usage = collections.defaultdict(allocation.Amounts, used)
    units: Usage = collections.defaultdict(allocation.Amounts)
    wall_ms = pool_state.clock.wall_ms()
    for entry in pool_state.active.values():
        organisation = entry.job.organisation
        if organisation not in limited:
            continue
        for step_run in entry.job.startable_steps(wall_ms):
            needed = allocation.needed_by(step_run.step)
            count = len(step_run.waiting_tasks())
            asked[organisation] = asked[organisation].plus(needed, count)
            unit = _unit(step_run.step, needed)
            units[organisation] = units[organisation].highest(unit)
    return asked, units


def _unit(step: model.Step, needed: allocation.Amounts) -> allocation.Amounts:
    count = step.task_count if step.gang else 1
    return allocation.NOTHING.plus(needed, count)


def remaining_work(
    pool_state: state.PoolState,
    organisation: ids.OrganisationId,
    lowest_priority: int,
) -> allocation.Amounts:
    """Return the estimated work of an organisation's unfinished tasks.

    Long-running and repeated jobs have no estimate and are left out.

    Args:
        pool_state: State of the pool.
        organisation: Organisation of the jobs.
        lowest_priority: Jobs of queues with a larger number are left out.

    Returns:
        Amounts multiplied by milliseconds, by resource.
    """
    work = allocation.NOTHING
    for entry in pool_state.active.values():
        job = entry.job
        if job.organisation != organisation:
            continue
        terms = job.terms
        if terms is not None and terms.priority > lowest_priority:
            continue
        if job.long_running or job.spec.repeat_count:
            continue
        for step_run in job.steps(0):
            work = work.plus(
                allocation.needed_by(step_run.step),
                step_run.open_count * step_run.step.estimate_ms,
            )
    return work


def long_running_usage(
    pool_state: state.PoolState, organisation: ids.OrganisationId
) -> allocation.Amounts:
    """Return what an organisation's long-running tasks use or wait for.

    Args:
        pool_state: State of the pool.
        organisation: Organisation of the tasks.
    """
    wall_ms = pool_state.clock.wall_ms()
    used = allocation.NOTHING
    for entry in pool_state.active.values():
        if entry.job.organisation != organisation:
            continue
        if not entry.job.long_running:
            continue
        for step_run in entry.job.ready_steps(wall_ms):
            if step_run.step.long_running:
                needed = allocation.needed_by(step_run.step)
                used = used.plus(needed, step_run.open_count)
    return used
