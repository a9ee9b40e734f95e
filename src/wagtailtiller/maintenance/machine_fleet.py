"""Plans operations on machines and decides which orders are allowed.

An order is a command to the platform's machine service that maintains a
machine or moves it to another pool; all that runs on the machine ends at once.

``MachineFleet`` is an aggregate without I/O. The machine manager supplies the
platform's list of machines, the loads of the pools and the waves, and carries
out the planned operations.
"""

import dataclasses
import enum

from wagtailtiller import clock as clock_module
from wagtailtiller import ids
from wagtailtiller.maintenance import demand
from wagtailtiller.owner import messages
from wagtailtiller.ports import machines

# Within this time, short tasks may finish on a VM that is being vacated.
# After it, they are stopped and resume elsewhere from their checkpoints.
_SHORT_TASK_WAIT_MS = 3_000
# A machine is ordered only if a report that its VM has no runs is at most this
# old.
_EMPTY_REPORT_MAX_AGE_MS = 400


class Stage(enum.Enum):
    """Stage of an operation on a machine.

    Attributes:
        EMPTYING: The tasks on the VM finish or are stopped.
        ORDERED: The platform has accepted the order.
    """

    EMPTYING = "emptying"
    ORDERED = "ordered"


@dataclasses.dataclass(slots=True)
class MachineOperation:
    """The maintenance of a machine for a wave, or its move to a pool.

    Attributes:
        machine: Id of the machine.
        wave: The wave that maintains the machine; None for a move.
        pool: The pool to which the machine moves; None for a wave.
        vm: The VM on the machine before the order; empty if there is none.
        started_ms: Clock reading at the start of the operation.
        stage: Current stage.
        empty_at_ms: Clock reading at the last report on the VM if the VM had
            no runs; otherwise None.
        last_order_ms: Clock reading when an order was last sent; 0 if none
            was sent.
    """

    machine: ids.MachineId
    wave: ids.WaveId | None
    pool: ids.PoolId | None
    vm: ids.VmId
    started_ms: int
    stage: Stage = Stage.EMPTYING
    empty_at_ms: int | None = None
    last_order_ms: int = 0


@dataclasses.dataclass(slots=True)
class TrackedWave:
    """A wave and its progress.

    Attributes:
        wave: The wave that the operators requested.
        maintained: The machines that need no more maintenance: they have been
            maintained, were permanently refused by the platform or no longer
            exist.
        completed: Whether the stored progress says that the wave is complete.
    """

    wave: machines.Wave
    maintained: set[ids.MachineId]
    completed: bool = False


@dataclasses.dataclass(frozen=True)
class PoolStatus:
    """Declared properties of a pool, and its demand.

    Attributes:
        standby: Whether the pool holds machines that are switched off until
            they are moved to another pool.
        estimator: Estimator of the pool's demand; None until the pool's owner
            has reported a load.
    """

    standby: bool
    estimator: demand.DemandEstimator | None


class MachineFleet:
    """All machines that one machine manager controls.

    Args:
        clock: Clock that supplies the current time.

    Attributes:
        machines: The machines that the platform listed last, by id.
        operations: The operations in progress, by machine.
        waves: The known waves, by id.
        pools: The declared pools, by id.
        loads: The last reported load of each VM.
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

    def update_machines(self, listed: list[machines.Machine]) -> None:
        """Replace the machines, and end the operations that are complete.

        Args:
            listed: All machines that the platform lists. Machines that are
                missing count as maintained in their waves.
        """
        self.machines = {machine.machine: machine for machine in listed}
        for operation in list(self.operations.values()):
            self._update_operation(operation)
        for tracked_wave in self.waves.values():
            tracked_wave.maintained |= (
                set(tracked_wave.wave.machines) - self.machines.keys()
            )

    def has_changes_in_progress(self) -> bool:
        """Return whether the list of machines is about to change."""
        return bool(self.operations) or any(
            machine.state is not machines.MachineState.UP
            for machine in self.machines.values()
        )

    def start_cooldown(
        self, machine_ids: set[ids.MachineId], until_ms: int
    ) -> None:
        """Prevent orders for some machines until a given time.

        Args:
            machine_ids: Machines that a previous manager may have ordered.
            until_ms: Clock reading at which the cooldown ends.
        """
        self._cooldown_until_ms = dict.fromkeys(machine_ids, until_ms)

    def recently_ordered(self, span_ms: int) -> set[ids.MachineId]:
        """Return the machines whose last order is recent.

        Machines that a previous manager may have ordered are included until
        their cooldown ends.

        Args:
            span_ms: Greatest age of an order.
        """
        since_ms = self._clock.monotonic_ms() - span_ms
        own_orders = {
            machine
            for machine, ordered_ms in self._ordered_ms.items()
            if ordered_ms >= since_ms
        }
        return own_orders | set(
            filter(self._is_cooling_down, self._cooldown_until_ms)
        )

    def is_completed(self, tracked_wave: "TrackedWave") -> bool:
        """Return whether no machine of a wave needs more maintenance."""
        in_progress = any(
            operation.wave == tracked_wave.wave.wave
            for operation in self.operations.values()
        )
        return (
            not in_progress
            and set(tracked_wave.wave.machines) <= tracked_wave.maintained
        )

    def plan(self) -> None:
        """Start all operations that may start now."""
        for tracked_wave in self.waves.values():
            self._plan_wave(tracked_wave)
        self._plan_moves()

    def record_runs_left(
        self, operation: MachineOperation, runs_left: int
    ) -> None:
        """Record how many runs are left on the VM of an operation."""
        if runs_left:
            operation.empty_at_ms = None
        else:
            operation.empty_at_ms = self._clock.monotonic_ms()

    def may_order(self, operation: MachineOperation) -> bool:
        """Return whether the machine has no runs and may be ordered now."""
        if operation.stage is Stage.ORDERED:
            return False
        if not operation.vm:
            return True
        age_ms = self._clock.monotonic_ms() - (operation.empty_at_ms or 0)
        return (
            operation.empty_at_ms is not None
            and age_ms <= _EMPTY_REPORT_MAX_AGE_MS
        )

    def must_move_all(self, operation: MachineOperation) -> bool:
        """Return whether short tasks must be moved too."""
        age_ms = self._clock.monotonic_ms() - operation.started_ms
        return age_ms > _SHORT_TASK_WAIT_MS

    def record_order(self, operation: MachineOperation) -> None:
        """Record that an order is about to be sent."""
        operation.last_order_ms = self._clock.monotonic_ms()
        self._ordered_ms[operation.machine] = operation.last_order_ms

    def record_outcome(
        self, operation: MachineOperation, outcome: machines.MachineOutcome
    ) -> None:
        """Record the outcome of an order.

        The order may be repeated unless the platform carried it out or refused
        it permanently.

        Args:
            operation: The operation that the order belongs to.
            outcome: The platform's answer.
        """
        match outcome:
            case machines.MachineOutcome.DONE:
                operation.stage = Stage.ORDERED
                self._mark_maintained(operation)
            case (
                machines.MachineOutcome.NOT_IN_WAVE
                | machines.MachineOutcome.INVALID
            ):
                self._mark_maintained(operation)
                self.operations.pop(operation.machine, None)
            case _:
                pass

    def count_available_machines(self, pool: ids.PoolId) -> int:
        """Return how many machines a pool can use now or very soon.

        Machines that move to the pool are included; machines that are down or
        have an operation for a wave are not.
        """
        count = 0
        for machine in self.machines.values():
            operation = self.operations.get(machine.machine)
            target_pool = machine.pool
            if operation is not None and operation.pool is not None:
                target_pool = operation.pool
            if machine.state is machines.MachineState.DOWN:
                continue
            if operation is not None and operation.wave is not None:
                continue
            count += target_pool == pool
        return count

    def spare_millicores(self) -> int:
        """Return the processor capacity that could be moved to another pool.

        Returns:
            The capacity of the movable machines that are on standby or have no
            runs, in thousandths of a core.
        """
        total = 0
        for machine in self._movable_machines():
            load = self.loads.get(machine.vm)
            idle = load is not None and not load.runs
            if idle or self._is_standby(machine.pool):
                total += machine.capacity.cpu_millicores
        return total

    def _count_present_machines(self, pool: ids.PoolId) -> int:
        return sum(
            1
            for machine in self.machines.values()
            if machine.pool == pool
            and machine.state is machines.MachineState.UP
            and machine.machine not in self.operations
        )

    def _update_operation(self, operation: MachineOperation) -> None:
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
            finished = up and machine.pool == operation.pool
        else:
            finished = up and self._is_back_in_service(machine, operation)
        if finished:
            del self.operations[operation.machine]

    def _is_back_in_service(
        self, machine: machines.Machine, operation: MachineOperation
    ) -> bool:
        pool_status = self.pools.get(machine.pool)
        if pool_status is not None and pool_status.standby:
            return True
        return bool(machine.vm) and machine.vm != operation.vm

    def _mark_maintained(self, operation: MachineOperation) -> None:
        if operation.wave is not None and operation.wave in self.waves:
            self.waves[operation.wave].maintained.add(operation.machine)

    def _plan_wave(self, tracked_wave: TrackedWave) -> None:
        if tracked_wave.completed:
            return
        out_count = sum(
            self._may_be_out_of_service(machine_id, tracked_wave)
            for machine_id in tracked_wave.wave.machines
        )
        for machine_id in self._remaining_by_load(tracked_wave):
            if out_count >= tracked_wave.wave.max_out:
                return
            machine = self.machines.get(machine_id)
            if machine is None or not self._is_free(machine):
                continue
            self._start_operation(machine, wave=tracked_wave.wave.wave)
            out_count += 1

    def _may_be_out_of_service(
        self, machine_id: ids.MachineId, tracked_wave: TrackedWave
    ) -> bool:
        """Return whether a machine may be out of service for a wave.

        This includes maintenance that a previous machine manager may have
        ordered.
        """
        machine = self.machines.get(machine_id)
        operation = self.operations.get(machine_id)
        in_progress = (
            operation is not None and operation.wave == tracked_wave.wave.wave
        )
        in_maintenance = (
            machine is not None
            and machine.state is machines.MachineState.MAINTENANCE
        )
        return (
            in_progress or in_maintenance or self._is_cooling_down(machine_id)
        )

    def _remaining_by_load(
        self, tracked_wave: TrackedWave
    ) -> list[ids.MachineId]:
        remaining = [
            machine_id
            for machine_id in tracked_wave.wave.machines
            if machine_id not in tracked_wave.maintained
        ]
        return sorted(remaining, key=self._run_counts)

    def _run_counts(self, machine_id: ids.MachineId) -> tuple[int, int]:
        """Return the numbers of long-running and of all runs on a machine."""
        machine = self.machines.get(machine_id)
        load = self.loads.get(machine.vm) if machine is not None else None
        if load is None:
            return (0, 0)
        return (load.lasting_runs, load.runs)

    def _start_operation(
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

    # Moves between pools.

    def _plan_moves(self) -> None:
        estimators = {
            pool: pool_status.estimator
            for pool, pool_status in self.pools.items()
            if pool_status.estimator is not None
        }
        available = {
            pool: self.count_available_machines(pool) for pool in estimators
        }
        cores = self._mean_machine_cores()
        needed = {
            pool: estimator.machines_needed(
                cores, self._count_present_machines(pool)
            )
            for pool, estimator in estimators.items()
        }
        short_pools = sorted(
            (pool for pool in needed if needed[pool] > available[pool]),
            key=lambda pool: available[pool] / needed[pool],
        )
        for pool in short_pools:
            while available[pool] < needed[pool]:
                machine = self._find_spare_machine(needed, available)
                if machine is None:
                    break
                available[pool] += 1
                if machine.pool in available:
                    available[machine.pool] -= 1
                self._start_operation(machine, pool=pool)
        self._plan_returns_to_standby(needed, available)

    def _find_spare_machine(
        self, needed: dict[ids.PoolId, int], available: dict[ids.PoolId, int]
    ) -> machines.Machine | None:
        for machine in self._movable_machines():
            if self._is_standby(machine.pool):
                return machine
        return self._find_surplus_machine(needed, available)

    def _find_surplus_machine(
        self, needed: dict[ids.PoolId, int], available: dict[ids.PoolId, int]
    ) -> machines.Machine | None:
        best: machines.Machine | None = None
        best_runs = 0
        for machine in self._movable_machines():
            pool = machine.pool
            load = self.loads.get(machine.vm)
            if pool not in needed or available[pool] <= needed[pool]:
                continue
            if load is None or load.lasting_runs or not load.usable:
                continue
            if best is None or load.runs < best_runs:
                best, best_runs = machine, load.runs
        return best

    def _plan_returns_to_standby(
        self, needed: dict[ids.PoolId, int], available: dict[ids.PoolId, int]
    ) -> None:
        standby = next(
            (
                pool
                for pool, pool_status in self.pools.items()
                if pool_status.standby
            ),
            None,
        )
        if standby is None or not self._has_arrival_history():
            return
        # A new machine manager observes a pool for the whole peak window before
        # it returns machines of the pool to standby.
        needed_with_history = {
            pool: count
            for pool, count in needed.items()
            if self._has_full_history(pool)
        }
        while True:
            machine = self._find_surplus_machine(needed_with_history, available)
            if machine is None:
                return
            available[machine.pool] -= 1
            self._start_operation(machine, pool=standby)

    def _has_arrival_history(self) -> bool:
        """Return whether work has been arriving at any pool for some time.

        Until then, the size that a pool was given is the best estimate.
        """
        return any(
            status.estimator is not None
            and status.estimator.has_arrival_history()
            for status in self.pools.values()
        )

    def _has_full_history(self, pool: ids.PoolId) -> bool:
        estimator = self.pools[pool].estimator
        return estimator is not None and estimator.has_full_history()

    def _movable_machines(self) -> list[machines.Machine]:
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

    def _is_cooling_down(self, machine_id: ids.MachineId) -> bool:
        until_ms = self._cooldown_until_ms.get(machine_id, 0)
        return self._clock.monotonic_ms() < until_ms

    def _is_standby(self, pool: ids.PoolId) -> bool:
        pool_status = self.pools.get(pool)
        return pool_status is not None and pool_status.standby

    def _mean_machine_cores(self) -> float:
        cores = [
            machine.capacity.cpu_millicores / 1_000
            for machine in self.machines.values()
        ]
        return sum(cores) / len(cores) if cores else 1.0
