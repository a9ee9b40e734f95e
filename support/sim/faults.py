"""Faults of a day, drawn by chance; they come in series and overlap."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import random

from support.sim import vms as vms_module
from support.sim import world as world_module
from wagtailtiller import ids
from wagtailtiller.ports import machines

World = world_module.World


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault.

    Attributes:
        kind: Its name.
        at_ms: When it begins, from the first job on.
        for_ms: How long it lasts.
    """

    kind: str
    at_ms: int
    for_ms: int


def draw(seed: int, count: int, length_ms: int) -> list[Fault]:
    """Draw the faults of a day.

    Args:
        seed: Decides.
        count: How many.
        length_ms: How long jobs are sent.
    """
    rng = random.Random(seed)
    return [
        Fault(
            rng.choice(sorted(_KINDS)),
            int(rng.uniform(0, length_ms)),
            int(rng.uniform(500, 5_000)),
        )
        for _ in range(count)
    ]


def schedule(drawn: list[Fault]) -> world_module.Faults:
    """Return what makes a world suffer some faults."""

    async def suffer(world: World) -> None:
        await asyncio.gather(*(_suffer(world, fault) for fault in drawn))

    return suffer


def rolling_restart(processes: int) -> list[Fault]:
    """All entry processes are restarted in turn, without a pause."""
    return [Fault("roll-one", 1_000 + 2_000 * n, 300) for n in range(processes)]


def power_off() -> list[Fault]:
    """All entry processes lose power in a turn of demand."""
    return [Fault("kill-all", 12_000, 4_800)]


def rack_dark() -> list[Fault]:
    """A rack of VMs goes dark in mid-load, while machines are due."""
    return [Fault("wave", 2_000, 1), Fault("rack-dark", 12_000, 6_000)]


def cut_off() -> list[Fault]:
    """A third of the processes loses everything else for a long time."""
    return [Fault("isolate", 1_000, 12_000)]


async def _suffer(world: World, fault: Fault) -> None:
    await asyncio.sleep(fault.at_ms / 1_000)
    await _KINDS[fault.kind](world, fault.for_ms / 1_000)


# Entry processes.


async def _kill(world: World, for_s: float) -> None:
    living = world.living()
    if len(living) < 2:
        return
    process = world.rng.choice(living)
    process.kill()
    await asyncio.sleep(for_s)
    await world.start_process(process.name)


async def _kill_all(world: World, for_s: float) -> None:
    killed = world.living()
    for process in killed:
        process.kill()
    await asyncio.sleep(for_s / 4)
    for process in killed:
        await world.start_process(process.name)


async def _freeze(world: World, for_s: float) -> None:
    living = world.living()
    if len(living) < 2:
        return
    process = world.rng.choice(living)
    process.freeze()
    await asyncio.sleep(for_s)
    process.thaw()


async def _roll(world: World, for_s: float) -> None:
    for process in list(world.living()):
        if not process.alive or len(world.living()) < 2:
            continue
        await process.terminate()
        await asyncio.sleep(for_s / 10)
        await world.start_process(process.name)


async def _roll_one(world: World, for_s: float) -> None:
    living = world.living()
    owners = [p for p in living if p.node.owned_shards()]
    process = (owners or living)[0]
    await process.terminate()
    await asyncio.sleep(for_s)
    await world.start_process(process.name)


async def _isolate(world: World, for_s: float) -> None:
    living = world.living()
    cut = {process.process for process in living[: max(1, len(living) // 3)]}
    world.network.cut_off |= cut
    world.hub.faults.cut_off |= cut
    for vm in world.fleet.living():
        vm.cut_off |= cut
    await asyncio.sleep(for_s)
    world.network.cut_off -= cut
    world.hub.faults.cut_off -= cut
    for vm in world.fleet.living():
        vm.cut_off -= cut


async def _cut_peers(world: World, for_s: float) -> None:
    await _cut_one(world, world.network.cut_off, for_s)


# The store.


async def _store_down(world: World, for_s: float) -> None:
    await _change([world.hub.faults], "down", True, False, for_s)


async def _store_cut(world: World, for_s: float) -> None:
    await _cut_one(world, world.hub.faults.cut_off, for_s)


async def _store_slow(world: World, for_s: float) -> None:
    await _change([world.hub.faults], "slow_ms", 150.0, 0.0, for_s)


async def _store_loses(world: World, for_s: float) -> None:
    await _change([world.hub.faults], "lost_share", 0.3, 0.0, for_s)


async def _store_late(world: World, for_s: float) -> None:
    await _change([world.hub.faults], "late_share", 0.3, 0.0, for_s)


# VMs and machines.


async def _vm_crash(world: World, for_s: float) -> None:
    for vm in _some(world):
        world.fleet.crash(vm, int(for_s * 1_000))


async def _rack_dark(world: World, for_s: float) -> None:
    if not world.fleet.living():
        return
    rack = world.rng.choice(world.fleet.living()).rack_label()
    for vm in world.fleet.living():
        if vm.rack_label() == rack:
            world.fleet.crash(vm, int(for_s * 1_000))


async def _vm_cut(world: World, for_s: float) -> None:
    for vm in _some(world):
        cut = {process.process for process in world.living()}
        vm.cut_off |= cut
        asyncio.get_running_loop().call_later(
            for_s, vm.cut_off.difference_update, cut
        )


async def _vm_cut_from_one(world: World, for_s: float) -> None:
    if not world.living():
        return
    process = world.rng.choice(world.living()).process
    for vm in _some(world):
        vm.cut_off.add(process)
        asyncio.get_running_loop().call_later(
            for_s, vm.cut_off.discard, process
        )


async def _vm_late(world: World, for_s: float) -> None:
    await _change(world.fleet.living(), "late_share", 0.1, 0.0, for_s)


async def _vm_slow(world: World, for_s: float) -> None:
    await _change(_some(world), "slowness", 6.0, 1.0, for_s)


async def _vm_fails(world: World, for_s: float) -> None:
    await _sick(world, vms_module.Health.FAILS, for_s)


async def _vm_hangs(world: World, for_s: float) -> None:
    await _sick(world, vms_module.Health.HANGS, for_s)


async def _sick(world: World, health: vms_module.Health, for_s: float) -> None:
    sound = vms_module.Health.SOUND
    await _change(_some(world)[:1], "health", health, sound, for_s)


async def _wave(world: World, for_s: float) -> None:
    names = sorted(world.fleet.machines)
    due = world.rng.sample(names, len(names) // 2)
    wave = ids.WaveId(str(len(world.fleet.waves) + 1))
    world.fleet.waves[wave] = machines.Wave(wave, tuple(due), 20_000, 2)


async def _service_down(world: World, for_s: float) -> None:
    await _change([world.fleet], "down", True, False, for_s)


async def _change(
    things: Iterable[object], name: str, ill: object, calm: object, for_s: float
) -> None:
    """Give some things another value for a while."""
    changed = list(things)
    for thing in changed:
        setattr(thing, name, ill)
    await asyncio.sleep(for_s)
    for thing in changed:
        setattr(thing, name, calm)


async def _cut_one(world: World, cut_off: set[str], for_s: float) -> None:
    """Cut one living process off for a while."""
    if not world.living():
        return
    process = world.rng.choice(world.living()).process
    cut_off.add(process)
    await asyncio.sleep(for_s)
    cut_off.discard(process)


def _some(world: World) -> list[vms_module.SimVm]:
    vms = world.fleet.living()
    return world.rng.sample(vms, min(2, len(vms)))


_KINDS: dict[str, Callable[[World, float], Awaitable[None]]] = {
    "kill": _kill,
    "kill-all": _kill_all,
    "freeze": _freeze,
    "roll": _roll,
    "roll-one": _roll_one,
    "isolate": _isolate,
    "rack-dark": _rack_dark,
    "cut-peers": _cut_peers,
    "store-down": _store_down,
    "store-cut": _store_cut,
    "store-slow": _store_slow,
    "store-loses": _store_loses,
    "store-late": _store_late,
    "vm-crash": _vm_crash,
    "vm-cut": _vm_cut,
    "vm-cut-from-one": _vm_cut_from_one,
    "vm-late": _vm_late,
    "vm-slow": _vm_slow,
    "vm-fails": _vm_fails,
    "vm-hangs": _vm_hangs,
    "wave": _wave,
    "service-down": _service_down,
}
