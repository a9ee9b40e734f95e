"""The fleet: which machines are due for what, and which orders are allowed.

An aggregate without I/O. Its keeper feeds it the platform's list, the pools'
loads and the waves, and carries out the orders that come out.
"""

import dataclasses
import enum

from wagtailtiller import clock as clock_module
from wagtailtiller import ids
from wagtailtiller.maintenance import demand
from wagtailtiller.owner import messages
from wagtailtiller.ports import machines

# Until then, short tasks may finish on a machine that is due; after it they
# are stopped, with their checkpoints.
_WAIT_FOR_SHORT_MS = 3_000
# An emptied machine is ordered only on word as fresh as this.
_FRESH_MS = 400


class Stage(enum.Enum):
    """How far the work on a machine has come."""

    EMPTYING = "emptying"
    ORDERED = "ordered"


@dataclasses.dataclass(slots=True)
class MachineOperation:
    """What is to be done with a machine.

    Attributes:
        machine: Which.
        wave: The wave that it is due for; None for a move.
        pool: Where it is to move; None for a wave.
        vm: The VM that stands on it at the beginning; empty for none.
        since_ms: When it began.
        stage: How far it has come.
        empty_at_ms: When its VM was last known to run nothing.
        tried_ms: When an order was last sent.
    """

    machine: ids.MachineId
    wave: ids.WaveId | None
    pool: ids.PoolId | None
    vm: ids.VmId
    since_ms: int
    stage: Stage = Stage.EMPTYING
    empty_at_ms: int | None = None
    tried_ms: int = 0


@dataclasses.dataclass(slots=True)
class TrackedWave:
    """A wave and the machines of it that have been maintained."""

    wave: machines.Wave
    done: set[ids.MachineId]
    completed: bool = False


@dataclasses.dataclass(frozen=True)
class PoolStatus:
    """What is declared of a pool, and its demand."""

    standby: bool
    need: demand.Demand | None


class Fleet:
    """All machines under one keeper.

    Args:
        clock: The time.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self.machines: dict[ids.MachineId, machines.Machine] = {}
        self.operations: dict[ids.MachineId, MachineOperation] = {}
        self.waves: dict[ids.WaveId, TrackedWave] = {}
        self.pools: dict[ids.PoolId, PoolStatus] = {}
        self.loads: dict[ids.VmId, messages.VmLoad] = {}
        self._cooldown_until_ms: dict[ids.MachineId, int] = {}
        self._ordered_ms: dict[ids.MachineId, int] = {}

    def list_machines(self, listed: list[machines.Machine]) -> None:
        """Take the platform's list."""
        self.machines = {machine.machine: machine for machine in listed}
        for operation in list(self.operations.values()):
            self._check(operation)
        for tracked_wave in self.waves.values():
            tracked_wave.done |= (
                set(tracked_wave.wave.machines) - self.machines.keys()
            )

    def in_motion(self) -> bool:
        """Return whether the list is worth a look soon."""
        return bool(self.operations) or any(
            machine.state is not machines.MachineState.UP
            for machine in self.machines.values()
        )

    def start_cooldown(self, names: set[ids.MachineId], until_ms: int) -> None:
        """Order some machines no sooner than at a time."""
        self._cooldown_until_ms = dict.fromkeys(names, until_ms)

    def ordered_within(self, span_ms: int) -> set[ids.MachineId]:
        """Return the machines that were ordered so recently.

        Those that a former keeper had ordered count until their embargo ends.
        """
        since_ms = self._clock.monotonic_ms() - span_ms
        own = {
            machine
            for machine, ordered_ms in self._ordered_ms.items()
            if ordered_ms >= since_ms
        }
        return own | set(filter(self._is_cooling_down, self._cooldown_until_ms))

    def is_completed(self, tracked_wave: "TrackedWave") -> bool:
        """Return whether all machines of a wave have been maintained."""
        under_way = any(
            operation.wave == tracked_wave.wave.wave
            for operation in self.operations.values()
        )
        return (
            not under_way
            and set(tracked_wave.wave.machines) <= tracked_wave.done
        )

    def plan(self) -> None:
        """Begin what may begin now."""
        for tracked_wave in self.waves.values():
            self._plan_wave(tracked_wave)
        self._plan_moves()

    def vacated(self, operation: MachineOperation, runs_left: int) -> None:
        """Take in how many runs are left on an errand's VM."""
        if runs_left:
            operation.empty_at_ms = None
        else:
            operation.empty_at_ms = self._clock.monotonic_ms()

    def may_order(self, operation: MachineOperation) -> bool:
        """Return whether the machine may be ordered away now."""
        if operation.stage is Stage.ORDERED:
            return False
        if not operation.vm:
            return True
        age_ms = self._clock.monotonic_ms() - (operation.empty_at_ms or 0)
        return operation.empty_at_ms is not None and age_ms <= _FRESH_MS

    def force(self, operation: MachineOperation) -> bool:
        """Return whether also short tasks are to be moved."""
        age_ms = self._clock.monotonic_ms() - operation.since_ms
        return age_ms > _WAIT_FOR_SHORT_MS

    def ordering(self, operation: MachineOperation) -> None:
        """Take note that an order is being sent."""
        operation.tried_ms = self._clock.monotonic_ms()
        self._ordered_ms[operation.machine] = operation.tried_ms

    def ordered(
        self, operation: MachineOperation, outcome: machines.MachineOutcome
    ) -> None:
        """Take in what became of an order."""
        match outcome:
            case machines.MachineOutcome.DONE:
                operation.stage = Stage.ORDERED
                self._note_done(operation)
            case (
                machines.MachineOutcome.NOT_IN_WAVE
                | machines.MachineOutcome.INVALID
            ):
                self._note_done(operation)
                self.operations.pop(operation.machine, None)
            case _:
                pass

    def open_machines(self, pool: ids.PoolId) -> int:
        """Return how many machines a pool can use now or very soon."""
        count = 0
        for machine in self.machines.values():
            operation = self.operations.get(machine.machine)
            target = machine.pool
            if operation is not None and operation.pool is not None:
                target = operation.pool
            if machine.state is machines.MachineState.DOWN:
                continue
            if operation is not None and operation.wave is not None:
                continue
            count += target == pool
        return count

    def spare_millicores(self) -> int:
        """Return what stands in standby or idle, free to be moved."""
        total = 0
        for machine in self._movable():
            load = self.loads.get(machine.vm)
            idle = load is not None and not load.runs
            if idle or self._is_standby(machine.pool):
                total += machine.capacity.cpu_millicores
        return total

    def _present(self, pool: ids.PoolId) -> int:
        return sum(
            1
            for machine in self.machines.values()
            if machine.pool == pool
            and machine.state is machines.MachineState.UP
            and machine.machine not in self.operations
        )

    def _check(self, operation: MachineOperation) -> None:
        machine = self.machines.get(operation.machine)
        if machine is None:
            del self.operations[operation.machine]
            return
        if operation.stage is not Stage.ORDERED:
            if machine.vm != operation.vm:
                operation.vm = machine.vm
                operation.empty_at_ms = None
            return
        up = machine.state is machines.MachineState.UP
        if operation.pool is not None:
            over = up and machine.pool == operation.pool
        else:
            over = up and self._is_back(machine, operation)
        if over:
            del self.operations[operation.machine]

    def _is_back(
        self, machine: machines.Machine, operation: MachineOperation
    ) -> bool:
        pool_status = self.pools.get(machine.pool)
        if pool_status is not None and pool_status.standby:
            return True
        return bool(machine.vm) and machine.vm != operation.vm

    def _note_done(self, operation: MachineOperation) -> None:
        if operation.wave is not None and operation.wave in self.waves:
            self.waves[operation.wave].done.add(operation.machine)

    def _plan_wave(self, tracked_wave: TrackedWave) -> None:
        if tracked_wave.completed:
            return
        out = sum(
            self._may_be_out(m, tracked_wave)
            for m in tracked_wave.wave.machines
        )
        for machine_id in self._wave_order(tracked_wave):
            if out >= tracked_wave.wave.max_out:
                return
            machine = self.machines.get(machine_id)
            if machine is None or not self._is_free(machine):
                continue
            self._begin(machine, wave=tracked_wave.wave.wave)
            out += 1

    def _may_be_out(
        self, name: ids.MachineId, tracked_wave: TrackedWave
    ) -> bool:
        """Return whether a wave's machine is out for it, or may be.

        A former keeper may have begun upkeep that this one has not ordered.
        """
        machine = self.machines.get(name)
        operation = self.operations.get(name)
        under_way = (
            operation is not None and operation.wave == tracked_wave.wave.wave
        )
        listed = (
            machine is not None
            and machine.state is machines.MachineState.UPKEEP
        )
        return under_way or listed or self._is_cooling_down(name)

    def _wave_order(self, tracked_wave: TrackedWave) -> list[ids.MachineId]:
        waiting = [
            m for m in tracked_wave.wave.machines if m not in tracked_wave.done
        ]
        return sorted(waiting, key=self._burden)

    def _burden(self, machine_id: ids.MachineId) -> tuple[int, int]:
        machine = self.machines.get(machine_id)
        load = self.loads.get(machine.vm) if machine is not None else None
        if load is None:
            return (0, 0)
        return (load.lasting_runs, load.runs)

    def _begin(
        self,
        machine: machines.Machine,
        wave: ids.WaveId | None = None,
        pool: ids.PoolId | None = None,
    ) -> None:
        self.operations[machine.machine] = MachineOperation(
            machine.machine,
            wave,
            pool,
            machine.vm,
            self._clock.monotonic_ms(),
        )

    # Moves.

    def _plan_moves(self) -> None:
        needs = {
            pool: pool_status.need
            for pool, pool_status in self.pools.items()
            if pool_status.need is not None
        }
        have = {pool: self.open_machines(pool) for pool in needs}
        cores = self._machine_cores()
        wanted = {
            pool: need.machines(cores, self._present(pool))
            for pool, need in needs.items()
        }
        missing = sorted(
            (pool for pool in wanted if wanted[pool] > have[pool]),
            key=lambda pool: have[pool] / wanted[pool],
        )
        for pool in missing:
            while have[pool] < wanted[pool]:
                source = self._spare_machine(wanted, have)
                if source is None:
                    break
                have[pool] += 1
                if source.pool in have:
                    have[source.pool] -= 1
                self._begin(source, pool=pool)
        self._give_back(wanted, have)

    def _spare_machine(
        self, wanted: dict[ids.PoolId, int], have: dict[ids.PoolId, int]
    ) -> machines.Machine | None:
        for machine in self._movable():
            if self._is_standby(machine.pool):
                return machine
        return self._surplus_machine(wanted, have)

    def _surplus_machine(
        self, wanted: dict[ids.PoolId, int], have: dict[ids.PoolId, int]
    ) -> machines.Machine | None:
        best: machines.Machine | None = None
        best_runs = 0
        for machine in self._movable():
            pool = machine.pool
            load = self.loads.get(machine.vm)
            if pool not in wanted or have[pool] <= wanted[pool]:
                continue
            if load is None or load.lasting_runs or not load.usable:
                continue
            if best is None or load.runs < best_runs:
                best, best_runs = machine, load.runs
        return best

    def _give_back(
        self, wanted: dict[ids.PoolId, int], have: dict[ids.PoolId, int]
    ) -> None:
        standby = next(
            (
                pool
                for pool, pool_status in self.pools.items()
                if pool_status.standby
            ),
            None,
        )
        if standby is None:
            return
        settled = {
            pool: count
            for pool, count in wanted.items()
            if self._is_settled(pool)
        }
        while True:
            machine = self._surplus_machine(settled, have)
            if machine is None:
                return
            have[machine.pool] -= 1
            self._begin(machine, pool=standby)

    def _is_settled(self, pool: ids.PoolId) -> bool:
        need = self.pools[pool].need
        return need is not None and need.is_settled()

    def _movable(self) -> list[machines.Machine]:
        return [
            machine
            for machine in self.machines.values()
            if self._is_free(machine)
        ]

    def _is_free(self, machine: machines.Machine) -> bool:
        return (
            machine.state is machines.MachineState.UP
            and machine.machine not in self.operations
            and not self._is_cooling_down(machine.machine)
        )

    def _is_cooling_down(self, name: ids.MachineId) -> bool:
        until_ms = self._cooldown_until_ms.get(name, 0)
        return self._clock.monotonic_ms() < until_ms

    def _is_standby(self, pool: ids.PoolId) -> bool:
        pool_status = self.pools.get(pool)
        return pool_status is not None and pool_status.standby

    def _machine_cores(self) -> float:
        cores = [
            machine.capacity.cpu_millicores / 1_000
            for machine in self.machines.values()
        ]
        return sum(cores) / len(cores) if cores else 1.0
