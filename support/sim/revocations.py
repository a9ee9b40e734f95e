"""Faults in which the store ends the lease of a process early."""

import asyncio

from support.sim import process as process_module
from support.sim import world as world_module

World = world_module.World

_RENEWAL_CHECK_S = 0.001
# Longer than an answer of the store takes, so that the process knows of it.
_RENEWAL_ANSWER_S = 0.003
# Renewals are 500 ms apart; a paused or partitioned process makes none.
_RENEWAL_CHECKS = 1_000
# A former owner may command VMs for 6 s, which is longer than drawn faults.
_SPLIT_FACTOR = 2.0
_SPLIT_LONGER_S = 3.0


async def revoke_lease(world: World, duration_s: float) -> None:
    """Take a process's lease away, and turn it away from the store.

    A pool's owner is preferred. The process reaches the VMs, the machine
    service and the other processes as before.
    """
    processes = world.live_processes()
    if not processes:
        return
    await revoke(world, _choose_owner(world, processes), duration_s)


async def revoke_renewed_lease(world: World, duration_s: float) -> None:
    """Take a process's lease away right after it has renewed it."""
    processes = world.live_processes()
    if not processes:
        return
    process = _choose_owner(world, processes)
    await await_renewal(world, process)
    await revoke(world, process, duration_s)


async def split_at_revocation(world: World, duration_s: float) -> None:
    """Revoke a pool's owner, and split its VMs between it and the others.

    Each VM with runs is out of reach for the processes that may take the pool
    over, and each other VM for the owner. The owner is turned away for twice
    the duration; the VMs stay out of reach for 3 s longer.
    """
    owners = pool_owners(world)
    if not owners:
        return
    owner = world.rng.choice(owners)
    pools = set(owner.owned_pools())
    other_ids = {
        process.process
        for process in world.live_processes()
        if process is not owner
    }
    revoked_s = _SPLIT_FACTOR * duration_s
    await await_renewal(world, owner)
    for vm in world.fleet.live_vms():
        if vm.report.pool not in pools:
            continue
        process_ids = other_ids if vm.running else {owner.process}
        vm.partitioned |= process_ids
        asyncio.get_running_loop().call_later(
            revoked_s + _SPLIT_LONGER_S,
            vm.partitioned.difference_update,
            process_ids,
        )
    await revoke(world, owner, revoked_s)


async def revoke(
    world: World, process: process_module.Process, duration_s: float
) -> None:
    """End the leases of a process, and turn it away from the store for a while.

    Args:
        world: World of the process.
        process: Process that loses its leases.
        duration_s: How long the process can't reach the store.
    """
    service = world.store_service
    service.faults.partitioned.add(process.process)
    service.revoke(process.process)
    await asyncio.sleep(duration_s)
    service.faults.partitioned.discard(process.process)


async def await_renewal(world: World, process: process_module.Process) -> None:
    """Wait until a process has renewed its lease, if it does so soon."""
    renewals = world.store_service.renewals
    count = renewals[process.process]
    for _ in range(_RENEWAL_CHECKS):
        if renewals[process.process] > count:
            break
        await asyncio.sleep(_RENEWAL_CHECK_S)
    await asyncio.sleep(_RENEWAL_ANSWER_S)


def pool_owners(world: World) -> list[process_module.Process]:
    """Return the live processes that own a pool of the scenario."""
    return [
        process
        for process in world.live_processes()
        if world.scenario.machines.keys() & set(process.owned_pools())
    ]


def _choose_owner(
    world: World, processes: list[process_module.Process]
) -> process_module.Process:
    """Return the owner of a pool, or any process if there is none."""
    return world.rng.choice(pool_owners(world) or processes)
