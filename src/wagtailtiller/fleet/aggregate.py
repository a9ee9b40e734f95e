"""Rules of the fleet, which accept or refuse every fleet command.

The functions are pure. A writer reads the fleet, applies a command and writes
the result back by compare-and-swap. Two writers can therefore never both use
the last unit of an availability budget.
"""

import collections

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller import settings
from wagtailtiller.fleet import commands
from wagtailtiller.fleet import model

Outcome = Result[model.Fleet, errors.Refused]

_MAX_ENDED_WAVES = 50


def apply(
    fleet: model.Fleet,
    command: commands.Command,
    catalogue: settings.Catalogue,
    now_ms: int,
) -> Outcome:
    """Apply a command to the fleet.

    Args:
        fleet: The fleet as read from the store.
        command: The requested change.
        catalogue: The settings in force.
        now_ms: Wall-clock time in milliseconds.

    Returns:
        The changed fleet, or the rule that forbids the change.
    """
    match command:
        case commands.Enrol():
            return _enrol(fleet, command, now_ms)
        case commands.StartWave():
            return _start_wave(fleet, command, now_ms)
        case commands.CancelWave():
            return _cancel_wave(fleet, command, now_ms)
        case commands.BeginLeave():
            return _begin_leave(fleet, command, catalogue, now_ms)
        case commands.CancelLeave():
            return _cancel_leave(fleet, command, now_ms)
        case commands.Drained():
            return _drained(fleet, command, catalogue, now_ms)
        case commands.Evict():
            return _evict(fleet, command, now_ms)
        case commands.Fail():
            return _fail(fleet, command, now_ms)
        case commands.Return():
            return _return(fleet, command, now_ms)


def unavailable(fleet: model.Fleet, pool: ids.PoolId) -> int:
    """Return the number of VMs of a pool that are not serving."""
    return sum(
        record.pool == pool and record.state is not model.VmState.SERVING
        for record in fleet.vms.values()
    )


def unavailable_by_pool(fleet: model.Fleet) -> dict[ids.PoolId, int]:
    """Return the number of VMs that are not serving, by pool."""
    counts: collections.Counter[ids.PoolId] = collections.Counter()
    for record in fleet.vms.values():
        if record.state is not model.VmState.SERVING:
            counts[record.pool] += 1
    return counts


def count_states(
    fleet: model.Fleet,
) -> dict[ids.PoolId, "collections.Counter[model.VmState]"]:
    """Return the number of VMs in each state, by pool."""
    counts: dict[ids.PoolId, collections.Counter[model.VmState]]
    counts = collections.defaultdict(collections.Counter)
    for record in fleet.vms.values():
        counts[record.pool][record.state] += 1
    return counts


def planned_allowance(pool: settings.PoolSettings) -> int:
    """Return how many VMs planned work may take out of service at once.

    The result is at least 1 regardless of the failure reserve, because
    otherwise no wave could run.
    """
    return max(1, pool.max_unavailable_vms - pool.failure_reserve_vms)


def _enrol(fleet: model.Fleet, command: commands.Enrol, now_ms: int) -> Outcome:
    if command.vm in fleet.vms:
        return _refuse("owner", f"{command.vm} is already enrolled")
    record = model.VmRecord(
        command.pool, model.VmState.SERVING, 1, command.boot, now_ms
    )
    return Ok(_with_vm(fleet, command.vm, record))


def _start_wave(
    fleet: model.Fleet, command: commands.StartWave, now_ms: int
) -> Outcome:
    if command.wave in fleet.waves:
        return Ok(fleet)
    for name, wave in fleet.waves.items():
        same_pool = wave.pool == command.pool
        if same_pool and wave.state is model.WaveState.RUNNING:
            return _refuse("wave", f"{name} already runs in {command.pool}")
    members = tuple(
        vm for vm, record in fleet.vms.items() if record.pool == command.pool
    )
    if not members:
        return _refuse("wave", f"{command.pool} has no VMs")
    wave = model.Wave(
        pool=command.pool,
        state=model.WaveState.RUNNING,
        pending=members,
        total=len(members),
        who=command.who,
        started_ms=now_ms,
    )
    return Ok(_with_wave(fleet, command.wave, wave))


def _cancel_wave(
    fleet: model.Fleet, command: commands.CancelWave, now_ms: int
) -> Outcome:
    wave = fleet.waves.get(command.wave)
    if wave is None or wave.state is not model.WaveState.RUNNING:
        return _refuse("wave", f"{command.wave} is not running")
    ended = msgspec.structs.replace(
        wave,
        state=model.WaveState.CANCELLED,
        pending=(),
        ended_ms=now_ms,
    )
    return Ok(_with_wave(fleet, command.wave, ended))


def _begin_leave(
    fleet: model.Fleet,
    command: commands.BeginLeave,
    catalogue: settings.Catalogue,
    now_ms: int,
) -> Outcome:
    record = fleet.vms.get(command.vm)
    if record is None or record.state is not model.VmState.SERVING:
        return _refuse("state", f"{command.vm} is not serving")
    pool = catalogue.pools.get(record.pool)
    if pool is None:
        return _refuse("pool", f"{record.pool} is not in the settings")
    refusal = _leave_refusal(fleet, command, record, pool, catalogue)
    if refusal is not None:
        return Error(refusal)
    updated = _with_state(record, model.VmState.LEAVING, now_ms, command.goal)
    return Ok(_with_vm(fleet, command.vm, updated))


def _leave_refusal(
    fleet: model.Fleet,
    command: commands.BeginLeave,
    record: model.VmRecord,
    pool: settings.PoolSettings,
    catalogue: settings.Catalogue,
) -> errors.Refused | None:
    unavailable_count = unavailable(fleet, record.pool)
    allowed = planned_allowance(pool)
    if unavailable_count >= allowed:
        detail = (
            f"{record.pool} has {unavailable_count} VMs out of service, "
            f"allowed {allowed}"
        )
        return errors.Refused("budget", detail)
    match command.goal:
        case model.Maintain(wave=name):
            wave = fleet.waves.get(name)
            if wave is None or command.vm not in wave.pending:
                return errors.Refused(
                    "wave", f"{command.vm} is not pending in {name}"
                )
        case model.Move(to_pool=to_pool):
            if to_pool not in catalogue.pools or to_pool == record.pool:
                return errors.Refused(
                    "pool", f"{command.vm} cannot move to {to_pool}"
                )
            if _serving_count(fleet, record.pool) - 1 < pool.min_vms:
                detail = f"{record.pool} must keep {pool.min_vms} VMs"
                return errors.Refused("min_vms", detail)
    return None


def _cancel_leave(
    fleet: model.Fleet, command: commands.CancelLeave, now_ms: int
) -> Outcome:
    record = fleet.vms.get(command.vm)
    if record is None or record.state is not model.VmState.LEAVING:
        return _refuse("state", f"{command.vm} is not leaving")
    if isinstance(record.goal, model.Evicted):
        return _refuse("state", f"the platform removes {command.vm}")
    updated = _with_state(record, model.VmState.SERVING, now_ms)
    return Ok(_with_vm(fleet, command.vm, updated))


def _drained(
    fleet: model.Fleet,
    command: commands.Drained,
    catalogue: settings.Catalogue,
    now_ms: int,
) -> Outcome:
    record = fleet.vms.get(command.vm)
    if record is None or record.state is not model.VmState.LEAVING:
        return _refuse("state", f"{command.vm} is not leaving")
    if record.generation != command.generation:
        return _refuse(
            "generation",
            f"{command.vm} has changed state since the drain response",
        )
    pool = catalogue.pools.get(record.pool)
    unavailable_count = unavailable(fleet, record.pool)
    if pool is None or unavailable_count > pool.max_unavailable_vms:
        return _refuse(
            "budget",
            f"{record.pool} has {unavailable_count} VMs out of service",
        )
    match record.goal:
        case model.Move(to_pool=to_pool):
            moved = msgspec.structs.replace(record, pool=to_pool)
            updated = _with_state(moved, model.VmState.SERVING, now_ms)
            fleet = _remove_from_waves(fleet, command.vm, now_ms)
        case model.Maintain():
            state = model.VmState.STOPPED
            updated = _with_state(record, state, now_ms, record.goal)
        case _:
            return _refuse("state", f"{command.vm} has no planned stop")
    return Ok(_with_vm(fleet, command.vm, updated))


def _evict(fleet: model.Fleet, command: commands.Evict, now_ms: int) -> Outcome:
    record = fleet.vms.get(command.vm)
    active = (model.VmState.SERVING, model.VmState.LEAVING)
    if record is None or record.state not in active:
        return _refuse("state", f"{command.vm} is already out of service")
    if isinstance(record.goal, model.Evicted):
        return Ok(fleet)
    updated = _with_state(
        record, model.VmState.LEAVING, now_ms, model.Evicted()
    )
    return Ok(_with_vm(fleet, command.vm, updated))


def _fail(fleet: model.Fleet, command: commands.Fail, now_ms: int) -> Outcome:
    record = fleet.vms.get(command.vm)
    if record is None or record.state is model.VmState.FAILED:
        return _refuse(
            "state", f"{command.vm} is unknown or has already failed"
        )
    updated = _with_state(record, model.VmState.FAILED, now_ms)
    return Ok(_with_vm(fleet, command.vm, updated))


def _return(
    fleet: model.Fleet, command: commands.Return, now_ms: int
) -> Outcome:
    record = fleet.vms.get(command.vm)
    if record is None or record.state is model.VmState.SERVING:
        return _refuse("state", f"{command.vm} is unknown or already serving")
    stopped = record.state is model.VmState.STOPPED
    if command.boot < record.boot + stopped:
        return _refuse("boot", f"{command.vm} has not restarted")
    updated = _with_state(record, model.VmState.SERVING, now_ms)
    updated = msgspec.structs.replace(updated, boot=command.boot)
    returned = _with_vm(fleet, command.vm, updated)
    match record.goal:
        case model.Maintain(wave=wave) if record.state is (
            model.VmState.STOPPED
        ):
            return Ok(_remove_pending(returned, wave, command.vm, now_ms))
        case _:
            return Ok(returned)


def _remove_pending(
    fleet: model.Fleet, name: ids.WaveId, vm: ids.VmId, now_ms: int
) -> model.Fleet:
    wave = fleet.waves.get(name)
    if wave is None or wave.state is not model.WaveState.RUNNING:
        return fleet
    pending = tuple(other for other in wave.pending if other != vm)
    wave = msgspec.structs.replace(wave, pending=pending)
    if not pending:
        wave = msgspec.structs.replace(
            wave, state=model.WaveState.DONE, ended_ms=now_ms
        )
    return _with_wave(fleet, name, wave)


def _remove_from_waves(
    fleet: model.Fleet, vm: ids.VmId, now_ms: int
) -> model.Fleet:
    for name, wave in fleet.waves.items():
        if vm in wave.pending:
            fleet = _remove_pending(fleet, name, vm, now_ms)
    return fleet


def _serving_count(fleet: model.Fleet, pool: ids.PoolId) -> int:
    return sum(
        record.pool == pool and record.state is model.VmState.SERVING
        for record in fleet.vms.values()
    )


def _with_state(
    record: model.VmRecord,
    state: model.VmState,
    now_ms: int,
    goal: model.Goal | None = None,
) -> model.VmRecord:
    return msgspec.structs.replace(
        record,
        state=state,
        generation=record.generation + 1,
        since_ms=now_ms,
        goal=goal,
    )


def _with_vm(
    fleet: model.Fleet, vm: ids.VmId, record: model.VmRecord
) -> model.Fleet:
    return msgspec.structs.replace(fleet, vms=fleet.vms | {vm: record})


def _with_wave(
    fleet: model.Fleet, name: ids.WaveId, wave: model.Wave
) -> model.Fleet:
    waves = fleet.waves | {name: wave}
    ended = [
        other_name
        for other_name, other in waves.items()
        if other.state is not model.WaveState.RUNNING
    ]
    for old in ended[:-_MAX_ENDED_WAVES]:
        del waves[old]
    return msgspec.structs.replace(fleet, waves=waves)


def _refuse(rule: str, detail: str) -> Outcome:
    return Error(errors.Refused(rule, detail))
