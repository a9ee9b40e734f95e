"""Planning of the next commands for a fleet.

The functions are pure. The controller passes in the fleet and the platform's
list of VMs, and applies the returned commands with one compare-and-swap per
batch.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator

from wagtailtiller import ids
from wagtailtiller import settings
from wagtailtiller.fleet import aggregate
from wagtailtiller.fleet import commands
from wagtailtiller.fleet import model
from wagtailtiller.ports import platform

IsBusy = Callable[[ids.PoolId], bool]
ListedVms = dict[ids.VmId, platform.ListedVm]


def observe(
    fleet: model.Fleet, catalogue: settings.Catalogue, listed_vms: ListedVms
) -> list[commands.Command]:
    """Return the commands that bring the fleet in line with the platform.

    The platform's list may be out of date, so only an increased start count
    is taken as a restart of a VM.

    Args:
        fleet: The fleet.
        catalogue: The settings in force.
        listed_vms: The platform's list of VMs.
    """
    due: list[commands.Command] = []
    for vm, declared in catalogue.vms.items():
        listed_vm = listed_vms.get(vm)
        record = fleet.vms.get(vm)
        if record is None:
            if listed_vm is not None:
                due.append(commands.Enrol(vm, declared.pool, listed_vm.boot))
            continue
        command = _platform_command(vm, record, listed_vm)
        if command is not None:
            due.append(command)
    return due


def _platform_command(
    vm: ids.VmId,
    record: model.VmRecord,
    listed_vm: platform.ListedVm | None,
) -> commands.Command | None:
    active = record.state in (model.VmState.SERVING, model.VmState.LEAVING)
    if listed_vm is None or listed_vm.phase is platform.ListedVmPhase.GONE:
        return commands.Fail(vm) if active else None
    if active and listed_vm.boot > record.boot:
        return commands.Fail(vm)
    stopped = record.state is model.VmState.STOPPED
    if not active and listed_vm.boot >= record.boot + stopped:
        return commands.Return(vm, listed_vm.boot)
    leaving = listed_vm.phase is platform.ListedVmPhase.LEAVING
    if leaving and record.state is model.VmState.SERVING:
        return commands.Evict(vm)
    return None


def plan(
    fleet: model.Fleet,
    catalogue: settings.Catalogue,
    busy: IsBusy = lambda pool: False,
) -> list[commands.Command]:
    """Return the planned commands that the availability budgets permit now.

    Args:
        fleet: The fleet.
        catalogue: The settings in force.
        busy: Function that returns whether a pool has no spare slots. A wave
            in such a pool waits until the load drops if the buffer weight of
            the pool is greater than its roll-out weight.
    """
    unavailable_by_pool = aggregate.unavailable_by_pool(fleet)
    due: list[commands.Command] = list(
        _cancelled_leaves(fleet, catalogue, unavailable_by_pool)
    )
    for name, wave in fleet.waves.items():
        pool = catalogue.pools.get(wave.pool)
        if wave.state is not model.WaveState.RUNNING or pool is None:
            continue
        defers = pool.buffer_weight > pool.roll_out_weight
        room = aggregate.planned_allowance(pool) - unavailable_by_pool.get(
            wave.pool, 0
        )
        if room <= 0 or (defers and busy(wave.pool)):
            continue
        chosen = wave_order(fleet, catalogue, wave)[:room]
        goal = model.Maintain(name)
        due.extend(commands.BeginLeave(vm, goal) for vm in chosen)
    return due


def _cancelled_leaves(
    fleet: model.Fleet,
    catalogue: settings.Catalogue,
    unavailable_by_pool: dict[ids.PoolId, int],
) -> Iterator[commands.Command]:
    """Return leaving VMs to service if failures exceed the budget."""
    excess = {
        pool: count - catalogue.pools[pool].max_unavailable_vms
        for pool, count in unavailable_by_pool.items()
        if pool in catalogue.pools
    }
    for vm, record in fleet.vms.items():
        planned = isinstance(record.goal, model.Maintain | model.Move)
        leaving = record.state is model.VmState.LEAVING and planned
        if leaving and excess.get(record.pool, 0) > 0:
            excess[record.pool] -= 1
            yield commands.CancelLeave(vm)


def wave_order(
    fleet: model.Fleet, catalogue: settings.Catalogue, wave: model.Wave
) -> list[ids.VmId]:
    """Return the VMs that a wave may take next, in order.

    Racks that already have VMs out of service come first, then racks with the
    fewest remaining VMs. If a rack fails, it then affects as few further VMs
    of the pool as possible.
    """
    racks = {vm: declared.rack for vm, declared in catalogue.vms.items()}
    ready = [
        vm
        for vm in wave.pending
        if vm in fleet.vms
        and fleet.vms[vm].state is model.VmState.SERVING
        and fleet.vms[vm].pool == wave.pool
    ]
    unavailable_by_rack: collections.Counter[ids.RackId | None] = (
        collections.Counter(
            racks.get(vm)
            for vm, record in fleet.vms.items()
            if record.pool == wave.pool
            and record.state is not model.VmState.SERVING
        )
    )
    remaining_by_rack = collections.Counter(racks.get(vm) for vm in ready)
    return sorted(
        ready,
        key=lambda vm: (
            -unavailable_by_rack[racks.get(vm)],
            remaining_by_rack[racks.get(vm)],
            str(racks.get(vm)),
            vm,
        ),
    )
