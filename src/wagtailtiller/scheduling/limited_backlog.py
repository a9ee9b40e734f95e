"""Backlog of a pool without the work that waits for allocations."""

import collections

from wagtailtiller import ids
from wagtailtiller.scheduling import allocations as allocations_module
from wagtailtiller.scheduling import state

# Each iteration brings the upper bound closer to the wait time.
_ITERATIONS = 4


def core_ms(
    pool_state: state.PoolState,
    allocations: allocations_module.Allocations,
    total_core_ms: float,
) -> float:
    """Return the work that delays the job of another organisation.

    In a given time, an organisation with a limit does at most as much work as
    its allocation allows. The rest of its work does not delay other jobs.

    Args:
        pool_state: State of the pool.
        allocations: What organisations with a limit may use in the pool.
        total_core_ms: Remaining work of all jobs, in core milliseconds.

    Returns:
        Core milliseconds, at most ``total_core_ms``.
    """
    cores = (
        sum(vm.report.capacity.cpu_millicores for vm in pool_state.vms.values())
        / 1_000
    )
    work_core_ms: dict[ids.OrganisationId, float] = collections.defaultdict(
        float
    )
    for entry in pool_state.active.values():
        organisation = entry.job.organisation
        if organisation in allocations.limits and (
            allocations.limit(organisation).cpu_millicores
        ):
            work_core_ms[organisation] += entry.job.remaining_core_ms()
    if not cores or not work_core_ms:
        return total_core_ms
    others_core_ms = total_core_ms - sum(work_core_ms.values())
    rates = {
        organisation: allocations.allowed(organisation).cpu_millicores / 1_000
        for organisation in work_core_ms
    }
    bound_core_ms = total_core_ms
    for _ in range(_ITERATIONS):
        wait_ms = bound_core_ms / cores
        bound_core_ms = others_core_ms + sum(
            min(work, rates[organisation] * wait_ms)
            for organisation, work in work_core_ms.items()
        )
    return bound_core_ms
