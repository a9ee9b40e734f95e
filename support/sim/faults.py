"""Faults that are injected into a simulated day.

Faults are drawn at random or taken from a fixed plan; they may overlap.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import dataclasses
import functools
import random

from support.sim import loop as loop_module
from support.sim import partitions
from support.sim import revocations
from support.sim import vms as vms_module
from support.sim import world as world_module
from wagtailtiller import ids
from wagtailtiller.ports import machines

World = world_module.World

# A plan that is drawn beside another one must not begin with the same numbers.
_SPLIT_SEED_OFFSET = 1_000_000
_PARTITION_MS = (4_500, 9_000)
# Longer than a lease in the store, shorter than a former owner commands VMs.
_LATE_CALLS_MS = (2_200, 5_900)
_LATE_CALLS_SHARE = 0.25
_RETURN_OUTAGE_S = (0.3, 1.0)
# Time from the return of a VM until it is cut off.
_USED_AGAIN_S = (0.2, 3.0)
_KILL_SHARE = 0.5
# Time for which a VM executes calls late until it crashes, and until it is
# back. A VM is removed 2.3 s after its crash.
_LATE_BEFORE_S = (0.1, 2.0)
_LATE_OUTAGE_S = (0.5, 8.0)
_LATE_SHARE = 0.5
_REGISTERED_MS = (50, 1_000)
# Time for which a VM waits for the two calls that it executes late.
_HELD_CALLS_S = 4.0
_ARRIVAL_S = 0.005
_HELD_OUTAGE_S = (2.0, 3.0)
_HELD_REGISTERED_MS = (500, 1_500)
# From the start of the next life.
_HELD_START_S = (0.005, 0.05)
_HELD_ACKNOWLEDGEMENT_S = (0.2, 1.4)


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault of a day.

    Attributes:
        kind: Name of the kind of fault.
        at_ms: When the fault starts, relative to the start of the day.
        for_ms: Duration.
    """

    kind: str
    at_ms: int
    for_ms: int


def draw(seed: int, count: int, length_ms: int) -> list[Fault]:
    """Draw random faults for a day.

    Args:
        seed: Seed of the random numbers.
        count: Number of faults.
        length_ms: Time during which jobs are sent.
    """
    rng = random.Random(seed)
    return [
        Fault(
            rng.choice(sorted(_INJECTORS)),
            int(rng.uniform(0, length_ms)),
            int(rng.uniform(500, 5_000)),
        )
        for _ in range(count)
    ]


def schedule(faults: list[Fault]) -> world_module.FaultInjector:
    """Return a coroutine function that injects faults into a world."""

    async def inject(world: World) -> None:
        await asyncio.gather(*(_inject(world, fault) for fault in faults))

    return inject


def rolling_restart(restarts: int) -> list[Fault]:
    """Return a plan that restarts the entry processes one after another.

    Args:
        restarts: Number of restarts.
    """
    return [Fault("roll-one", 1_000 + 2_000 * n, 300) for n in range(restarts)]


def process_outage() -> list[Fault]:
    """Return a plan that kills all entry processes during a demand peak."""
    return [Fault("kill-all", 12_000, 4_800)]


def rack_outage() -> list[Fault]:
    """Return a plan in which a rack of VMs fails during a maintenance wave."""
    return [Fault("wave", 2_000, 1), Fault("rack-dark", 12_000, 6_000)]


def slow_vms() -> list[Fault]:
    """Return a plan in which VMs turn six times slower again and again."""
    return [Fault("vm-slow", 1_000 + 3_000 * n, 6_000) for n in range(9)]


def shrinking_vms(seed: int, count: int, length_ms: int) -> list[Fault]:
    """Draw a plan in which VMs lose capacity for 5.5 to 9 s.

    A start counts against a shrunken capacity from 4.5 s after its report.

    Args:
        seed: Seed of the random numbers.
        count: Number of faults.
        length_ms: Time during which jobs are sent.
    """
    rng = random.Random(seed)
    return [
        Fault(
            "vm-shrinks",
            int(rng.uniform(0, length_ms)),
            int(rng.uniform(5_500, 9_000)),
        )
        for _ in range(count)
    ]


def returning_vms(seed: int, count: int, length_ms: int) -> list[Fault]:
    """Draw a plan in which VMs return under their ids and are soon cut off.

    Args:
        seed: Seed of the random numbers.
        count: Number of faults.
        length_ms: Time during which jobs are sent.
    """
    rng = random.Random(seed)
    return [
        Fault(
            "vm-returns",
            int(rng.uniform(0, length_ms)),
            int(rng.uniform(8_000, 10_000)),
        )
        for _ in range(count)
    ]


def late_calls_to_former_lives(
    seed: int, count: int, length_ms: int
) -> list[Fault]:
    """Draw a plan in which VMs return under their ids beside late calls.

    Args:
        seed: Seed of the random numbers.
        count: Number of faults.
        length_ms: Time during which jobs are sent.
    """
    return _returns("vm-returns-late", seed, count, length_ms)


def late_acknowledgements(seed: int, count: int, length_ms: int) -> list[Fault]:
    """Draw a plan in which VMs execute a start and an acknowledgement late.

    Args:
        seed: Seed of the random numbers.
        count: Number of faults.
        length_ms: Time during which jobs are sent.
    """
    return _returns("vm-returns-late-ack", seed, count, length_ms)


def _returns(kind: str, seed: int, count: int, length_ms: int) -> list[Fault]:
    rng = random.Random(seed)
    return [
        Fault(kind, int(rng.uniform(0, length_ms)), 1_000) for _ in range(count)
    ]


def split_pools(seed: int, count: int, length_ms: int) -> list[Fault]:
    """Draw a plan of partitions with VMs on both sides.

    A former owner commands VMs for up to 6 s after its last renewal. A quarter
    of the partitions end before that, and its calls arrive then.

    Args:
        seed: Seed of the random numbers.
        count: Number of faults.
        length_ms: Time during which jobs are sent.
    """
    rng = random.Random(seed + _SPLIT_SEED_OFFSET)
    return [_draw_partition(rng, length_ms) for _ in range(count)]


def _draw_partition(rng: random.Random, length_ms: int) -> Fault:
    at_ms = int(rng.uniform(0, length_ms))
    if rng.random() < _LATE_CALLS_SHARE:
        return Fault("split-late-calls", at_ms, rng.randint(*_LATE_CALLS_MS))
    kind = rng.choice(["split-any", *partitions.KINDS])
    return Fault(kind, at_ms, rng.randint(*_PARTITION_MS))


def partition() -> list[Fault]:
    """Return a plan with a long network partition.

    A third of the entry processes reach neither the other processes nor the
    store nor the VMs.
    """
    return [Fault("isolate", 1_000, 12_000)]


def revocation() -> list[Fault]:
    """Return a plan that revokes a pool's owner while VMs are out of reach.

    The store turns the owner away for 9 s, and the VMs with runs can't be
    reached by the next owner for 12 s.
    """
    return [Fault("store-revokes-split", 3_000, 4_500)]


def split_pool() -> list[Fault]:
    """Return a plan that cuts an owner off with VMs that run little.

    Its successor reaches the VMs with most runs.
    """
    return [Fault("split-busy-others", 4_000, 6_500)]


def late_calls() -> list[Fault]:
    """Return a plan that cuts an owner off for less than it commands VMs.

    It reads what its successor has stored meanwhile.
    """
    return [Fault("split-late-calls", 4_000, 5_000)]


def owner_loss() -> list[Fault]:
    """Return a plan that kills the first pool's owner after 5 s."""
    return [Fault("kill-owner", 5_000, 1_000)]


def owner_losses() -> list[Fault]:
    """Return a plan that kills the first pool's owner each 10 s, four times."""
    return [Fault("kill-owner", 2_000 + 10_000 * n, 1_000) for n in range(4)]


async def _inject(world: World, fault: Fault) -> None:
    await asyncio.sleep(fault.at_ms / 1_000)
    injector = _INJECTORS.get(fault.kind) or _PLANNED_INJECTORS[fault.kind]
    await injector(world, fault.for_ms / 1_000)


# Entry processes.


async def _kill(world: World, duration_s: float) -> None:
    processes = world.live_processes()
    if len(processes) < 2:
        return
    process = world.rng.choice(processes)
    process.kill()
    await asyncio.sleep(duration_s)
    await world.start_process(process.name)


async def _kill_owner(world: World, duration_s: float) -> None:
    """Kill the owner of the first pool."""
    pool = next(iter(world.scenario.machines))
    for process in world.live_processes():
        if pool in process.owned_pools():
            process.kill()
            await asyncio.sleep(duration_s)
            await world.start_process(process.name)
            return


async def _kill_all(world: World, duration_s: float) -> None:
    killed = world.live_processes()
    for process in killed:
        process.kill()
    await asyncio.sleep(duration_s / 4)
    for process in killed:
        await world.start_process(process.name)


async def _pause(world: World, duration_s: float) -> None:
    processes = world.live_processes()
    if len(processes) < 2:
        return
    process = world.rng.choice(processes)
    process.pause()
    await asyncio.sleep(duration_s)
    process.resume()


async def _restart_all(world: World, duration_s: float) -> None:
    for process in list(world.live_processes()):
        if not process.alive or len(world.live_processes()) < 2:
            continue
        await process.terminate()
        await asyncio.sleep(duration_s / 10)
        await world.start_process(process.name)


async def _restart_one(world: World, duration_s: float) -> None:
    processes = world.live_processes()
    owners = [p for p in processes if p.node.owned_shards()]
    if not processes:
        return
    process = (owners or processes)[0]
    await process.terminate()
    await asyncio.sleep(duration_s)
    await world.start_process(process.name)


async def _isolate_processes(world: World, duration_s: float) -> None:
    processes = world.live_processes()
    process_ids = {
        process.process for process in processes[: max(1, len(processes) // 3)]
    }
    world.network.partitioned |= process_ids
    world.store_service.faults.partitioned |= process_ids
    for vm in world.fleet.live_vms():
        vm.partitioned |= process_ids
    await asyncio.sleep(duration_s)
    world.network.partitioned -= process_ids
    world.store_service.faults.partitioned -= process_ids
    for vm in world.fleet.live_vms():
        vm.partitioned -= process_ids


async def _partition_peer(world: World, duration_s: float) -> None:
    await _partition_one(world, world.network.partitioned, duration_s)


# The store.


async def _stop_store(world: World, duration_s: float) -> None:
    await _set_temporarily(
        [world.store_service.faults], "down", True, False, duration_s
    )


async def _partition_store(world: World, duration_s: float) -> None:
    await _partition_one(
        world, world.store_service.faults.partitioned, duration_s
    )


async def _slow_store(world: World, duration_s: float) -> None:
    await _set_temporarily(
        [world.store_service.faults], "slow_ms", 150.0, 0.0, duration_s
    )


async def _lose_store_answers(world: World, duration_s: float) -> None:
    await _set_temporarily(
        [world.store_service.faults], "lost_answer_share", 0.3, 0.0, duration_s
    )


async def _delay_store_writes(world: World, duration_s: float) -> None:
    await _set_temporarily(
        [world.store_service.faults], "late_share", 0.3, 0.0, duration_s
    )


# VMs and machines.


async def _crash_vms(world: World, duration_s: float) -> None:
    for vm in _random_vms(world):
        world.fleet.crash(vm, int(duration_s * 1_000))


async def _fail_rack(world: World, duration_s: float) -> None:
    if not world.fleet.live_vms():
        return
    rack = world.rng.choice(world.fleet.live_vms()).rack_label()
    for vm in world.fleet.live_vms():
        if vm.rack_label() == rack:
            world.fleet.crash(vm, int(duration_s * 1_000))


async def _partition_vms(world: World, duration_s: float) -> None:
    for vm in _random_vms(world):
        process_ids = {process.process for process in world.live_processes()}
        vm.partitioned |= process_ids
        asyncio.get_running_loop().call_later(
            duration_s, vm.partitioned.difference_update, process_ids
        )


async def _partition_vms_from_one(world: World, duration_s: float) -> None:
    if not world.live_processes():
        return
    process = world.rng.choice(world.live_processes()).process
    for vm in _random_vms(world):
        vm.partitioned.add(process)
        asyncio.get_running_loop().call_later(
            duration_s, vm.partitioned.discard, process
        )


async def _delay_vm_commands(world: World, duration_s: float) -> None:
    await _set_temporarily(
        world.fleet.live_vms(), "late_share", 0.1, 0.0, duration_s
    )


async def _slow_vms(world: World, duration_s: float) -> None:
    await _set_temporarily(
        _random_vms(world), "slowdown_factor", 6.0, 1.0, duration_s
    )


async def _shrink_vms(world: World, duration_s: float) -> None:
    shrunken = _random_vms(world)
    for vm in shrunken:
        world.fleet.report_capacity(vm, world.rng.choice((2, 4)))
    await asyncio.sleep(duration_s)
    for vm in shrunken:
        world.fleet.report_capacity(vm)


async def _fail_tasks(world: World, duration_s: float) -> None:
    await _make_unhealthy(world, vms_module.Health.FAILS, duration_s)


async def _hang_tasks(world: World, duration_s: float) -> None:
    await _make_unhealthy(world, vms_module.Health.HANGS, duration_s)


async def _make_unhealthy(
    world: World, health: vms_module.Health, duration_s: float
) -> None:
    healthy = vms_module.Health.HEALTHY
    await _set_temporarily(
        _random_vms(world)[:1], "health", health, healthy, duration_s
    )


async def _start_wave(world: World, duration_s: float) -> None:
    machine_names = sorted(world.fleet.machines)
    wave_machines = world.rng.sample(machine_names, len(machine_names) // 2)
    wave = ids.WaveId(str(len(world.fleet.waves) + 1))
    world.fleet.waves[wave] = machines.Wave(
        wave, tuple(wave_machines), 20_000, 2
    )


async def _stop_machine_service(world: World, duration_s: float) -> None:
    await _set_temporarily([world.fleet], "down", True, False, duration_s)


async def _set_temporarily(
    objects: Iterable[object],
    attribute: str,
    faulty: object,
    normal: object,
    duration_s: float,
) -> None:
    """Set an attribute of some objects to a faulty value for a while."""
    changed_objects = list(objects)
    for changed_object in changed_objects:
        setattr(changed_object, attribute, faulty)
    await asyncio.sleep(duration_s)
    for changed_object in changed_objects:
        setattr(changed_object, attribute, normal)


async def _partition_one(
    world: World, partitioned: set[str], duration_s: float
) -> None:
    """Add one live process to a set of partitioned processes for a while."""
    if not world.live_processes():
        return
    process = world.rng.choice(world.live_processes()).process
    partitioned.add(process)
    await asyncio.sleep(duration_s)
    partitioned.discard(process)


def _random_vms(world: World) -> list[vms_module.SimVm]:
    vms = world.fleet.live_vms()
    return world.rng.sample(vms, min(2, len(vms)))


_INJECTORS: dict[str, Callable[[World, float], Awaitable[None]]] = {
    "kill": _kill,
    "kill-owner": _kill_owner,
    "kill-all": _kill_all,
    "freeze": _pause,
    "roll": _restart_all,
    "roll-one": _restart_one,
    "isolate": _isolate_processes,
    "rack-dark": _fail_rack,
    "cut-peers": _partition_peer,
    "store-down": _stop_store,
    "store-cut": _partition_store,
    "store-revokes": revocations.revoke_lease,
    "store-revokes-renewed": revocations.revoke_renewed_lease,
    "store-revokes-split": revocations.split_at_revocation,
    "store-slow": _slow_store,
    "store-loses": _lose_store_answers,
    "store-late": _delay_store_writes,
    "vm-crash": _crash_vms,
    "vm-cut": _partition_vms,
    "vm-cut-from-one": _partition_vms_from_one,
    "vm-late": _delay_vm_commands,
    "vm-slow": _slow_vms,
    "vm-fails": _fail_tasks,
    "vm-hangs": _hang_tasks,
    "wave": _start_wave,
    "service-down": _stop_machine_service,
}


async def _return_and_cut_off(world: World, duration_s: float) -> None:
    """Restart VMs under their ids, and cut them off soon after.

    In one of two cases an owner is killed in between.
    """
    returning = [vm.report.vm for vm in _random_vms(world)]
    outage_s = world.rng.uniform(*_RETURN_OUTAGE_S)
    for vm in world.fleet.live_vms():
        if vm.report.vm in returning:
            world.fleet.crash(vm, int(outage_s * 1_000), keeps_id=True)
    await asyncio.sleep(outage_s + world.rng.uniform(*_USED_AGAIN_S))
    if world.rng.random() < _KILL_SHARE:
        loop_module.spawn(_kill_owner(world, duration_s))
    process_ids = {process.process for process in world.live_processes()}
    for vm in world.fleet.live_vms():
        if vm.report.vm in returning:
            vm.partitioned |= process_ids
            asyncio.get_running_loop().call_later(
                duration_s, vm.partitioned.difference_update, process_ids
            )


async def _return_beside_late_calls(world: World, duration_s: float) -> None:
    """Restart VMs under their ids while calls to them are executed late."""
    returning = _random_vms(world)
    for vm in returning:
        vm.late_share = vm.late_hold_share = _LATE_SHARE
    await asyncio.sleep(world.rng.uniform(*_LATE_BEFORE_S))
    outage_s = world.rng.uniform(*_LATE_OUTAGE_S)
    for vm in returning:
        world.fleet.crash(
            vm,
            int(outage_s * 1_000),
            keeps_id=True,
            register_after_ms=int(world.rng.uniform(*_REGISTERED_MS)),
        )
    if world.rng.random() < _KILL_SHARE:
        await _kill_owner(world, duration_s)


async def _return_beside_acknowledgement(
    world: World, duration_s: float
) -> None:
    """Restart VMs that leave a start and an acknowledgement unanswered.

    The next life executes both before it registers.
    """
    await asyncio.gather(
        *(_hold_calls_back(world, vm) for vm in _random_vms(world))
    )


async def _hold_calls_back(world: World, vm: vms_module.SimVm) -> None:
    held = vm.held_calls = vms_module.HeldCalls()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_HELD_CALLS_S):
            await held.all_held.wait()
    vm.held_calls = None
    if not held.all_held.is_set():
        return
    # Both have arrived.
    await asyncio.sleep(_ARRIVAL_S)
    outage_s = world.rng.uniform(*_HELD_OUTAGE_S)
    world.fleet.crash(
        vm,
        int(outage_s * 1_000),
        keeps_id=True,
        register_after_ms=int(world.rng.uniform(*_HELD_REGISTERED_MS)),
        listens_late=True,
    )
    loop = asyncio.get_running_loop()
    for kind, after_s in (
        (vms_module.CallKind.START, _HELD_START_S),
        (vms_module.CallKind.ACKNOWLEDGEMENT, _HELD_ACKNOWLEDGEMENT_S),
    ):
        released_s = outage_s + world.rng.uniform(*after_s)
        loop.call_later(released_s, held.release, kind)


# Not drawn at random, so that the days of known seeds stay the same.
_PLANNED_INJECTORS: dict[str, Callable[[World, float], Awaitable[None]]] = {
    "vm-shrinks": _shrink_vms,
    "vm-returns": _return_and_cut_off,
    "vm-returns-late": _return_beside_late_calls,
    "vm-returns-late-ack": _return_beside_acknowledgement,
    "split-any": partitions.inject_any,
    **{
        kind: functools.partial(partitions.inject, partition)
        for kind, partition in partitions.KINDS.items()
    },
}
