"""Plans operations on machines and decides which orders are allowed.

An order is a command to the platform's machine service that maintains a
machine or moves it to another pool; all that runs on the machine ends at once.

``MachineFleet`` is an aggregate without I/O. The machine manager supplies the
platform's list of machines, the loads of the pools and the waves, and carries
out the planned operations.
"""

from wagtailtiller import clock as clock_module
from wagtailtiller import ids
from wagtailtiller.maintenance import move_planner
from wagtailtiller.maintenance import operations
from wagtailtiller.owner import messages
from wagtailtiller.ports import machines

# Within this time, short tasks may finish on a VM that is being vacated.
# After it, they are stopped and resume elsewhere from their checkpoints.
_SHORT_TASK_WAIT_MS = 3_000
# A machine is ordered only if a report that its VM has no runs is at most this
# old.
_EMPTY_REPORT_MAX_AGE_MS = 400
# A machine stays in a pool for as long as its move took, so that it is not
# moved back and forth within a peak phase. Longer stays keep machines in pools
# whose peak has passed while others miss them.
_MIN_STAY_MS = 1_500


class MachineFleet:
    """All machines that one machine manager controls.

    Args:
        clock: Clock that supplies the current time.
        sizes_are_given: Whether the pools have the sizes that operators gave
            them, because no machine manager has moved machines before.

    Attributes:
        machines: The machines that the platform listed last, by id.
        operations: The operations in progress, by machine.
        waves: The known waves, by id.
        pools: The declared pools, by id.
        loads: The last reported load of each VM.
        cancelled_moves: The VMs of machines whose move was cancelled and that
            their owners still keep closed, by machine.
    """

    def __init__(
        self, clock: clock_module.Clock, sizes_are_given: bool = True
    ) -> None:
        self._clock = clock
        self.machines: dict[ids.MachineId, machines.Machine] = {}
        self.operations: dict[ids.MachineId, operations.MachineOperation] = {}
        self.waves: dict[ids.WaveId, operations.TrackedWave] = {}
        self.pools: dict[ids.PoolId, operations.PoolStatus] = {}
        self.loads: dict[ids.VmId, messages.VmLoad] = {}
        self.cancelled_moves: dict[ids.MachineId, ids.VmId] = {}
        self._cooling_down: set[ids.MachineId] = set()
        self._cooldown_end_ms = 0
        self._ordered_ms: dict[ids.MachineId, int] = {}
        self._moved_ms: dict[ids.MachineId, int] = {}
        self._move_planner = move_planner.MovePlanner(
            self, clock, sizes_are_given
        )

    def update_machines(
        self, listed: list[machines.Machine], requested_ms: int
    ) -> None:
        """Replace the machines, and end the operations that are complete.

        Args:
            listed: All machines that the platform lists. Machines that are
                missing count as maintained in their waves.
            requested_ms: Clock reading before the list was requested.
        """
        self.machines = {machine.machine: machine for machine in listed}
        if requested_ms >= self._cooldown_end_ms:
            # The list shows what a previous manager has ordered.
            self._cooling_down.clear()
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
        """Prevent orders for some machines until they are listed again.

        Args:
            machine_ids: Machines that a previous manager may have ordered.
            until_ms: Clock reading from which a list shows what it has ordered.
        """
        self._cooling_down = set(machine_ids)
        self._cooldown_end_ms = until_ms

    def awaits_list(self) -> bool:
        """Return whether a list that is requested now ends the cooldown."""
        now_ms = self._clock.monotonic_ms()
        return bool(self._cooling_down) and now_ms >= self._cooldown_end_ms

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
        return own_orders | self._cooling_down

    def is_completed(self, tracked_wave: operations.TrackedWave) -> bool:
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
        self._move_planner.plan()

    def record_runs_left(
        self,
        operation: operations.MachineOperation,
        runs_left: int | None,
        asked_ms: int,
    ) -> None:
        """Record how many runs are left on the VM of an operation.

        Args:
            operation: The operation whose VM is being vacated.
            runs_left: Number of runs; None if nobody can say.
            asked_ms: Clock reading before the owner was asked; the answer may
                be read late.
        """
        operation.empty_at_ms = asked_ms if runs_left == 0 else None

    def may_order(self, operation: operations.MachineOperation) -> bool:
        """Return whether the machine has no runs and may be ordered now."""
        if operation.stage is operations.Stage.ORDERED:
            return False
        if self.operations.get(operation.machine) is not operation:
            # The move was cancelled while the VM was being vacated.
            return False
        if not operation.vm:
            return True
        age_ms = self._clock.monotonic_ms() - (operation.empty_at_ms or 0)
        return (
            operation.empty_at_ms is not None
            and age_ms <= _EMPTY_REPORT_MAX_AGE_MS
        )

    def must_move_all(self, operation: operations.MachineOperation) -> bool:
        """Return whether short tasks must be moved too."""
        age_ms = self._clock.monotonic_ms() - operation.started_ms
        return age_ms > _SHORT_TASK_WAIT_MS

    def record_order(self, operation: operations.MachineOperation) -> None:
        """Record that an order is about to be sent."""
        operation.last_order_ms = self._clock.monotonic_ms()
        self._ordered_ms[operation.machine] = operation.last_order_ms

    def record_outcome(
        self,
        operation: operations.MachineOperation,
        outcome: machines.MachineOutcome,
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
                operation.stage = operations.Stage.ORDERED
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
        for machine in self.movable_machines():
            load = self.loads.get(machine.vm)
            idle = load is not None and not load.runs
            if idle or self.is_standby(machine.pool):
                total += machine.capacity.cpu_millicores
        return total

    def _update_operation(self, operation: operations.MachineOperation) -> None:
        machine = self.machines.get(operation.machine)
        if machine is None:
            del self.operations[operation.machine]
            return
        if operation.stage is not operations.Stage.ORDERED:
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
            self._moved_ms[operation.machine] = self._clock.monotonic_ms()

    def _is_back_in_service(
        self, machine: machines.Machine, operation: operations.MachineOperation
    ) -> bool:
        pool_status = self.pools.get(machine.pool)
        if pool_status is not None and pool_status.standby:
            return True
        return bool(machine.vm) and machine.vm != operation.vm

    def _mark_maintained(self, operation: operations.MachineOperation) -> None:
        if operation.wave is not None and operation.wave in self.waves:
            self.waves[operation.wave].maintained.add(operation.machine)

    def _plan_wave(self, tracked_wave: operations.TrackedWave) -> None:
        if tracked_wave.completed:
            return
        out_count = sum(
            self._may_be_out_of_service(machine_id, tracked_wave)
            for machine_id in tracked_wave.wave.machines
        )
        for machine_id in self._remaining_in_order(tracked_wave):
            if out_count >= tracked_wave.wave.max_out:
                return
            machine = self.machines.get(machine_id)
            if machine is None or not self._is_free(machine):
                continue
            self.start_operation(machine, wave=tracked_wave.wave.wave)
            out_count += 1

    def _may_be_out_of_service(
        self, machine_id: ids.MachineId, tracked_wave: operations.TrackedWave
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
        return in_progress or in_maintenance or machine_id in self._cooling_down

    def _remaining_in_order(
        self, tracked_wave: operations.TrackedWave
    ) -> list[ids.MachineId]:
        """Return the machines of a wave that are left, the next ones first.

        Machines with long-running tasks take the longest to vacate, since few
        of these tasks may be moved at a time. Up to half of the machines that
        may be out of service are such machines; idle machines follow.
        """
        remaining = [
            machine_id
            for machine_id in tracked_wave.wave.machines
            if machine_id not in tracked_wave.maintained
        ]
        remaining.sort(key=self._run_counts)
        slots = tracked_wave.wave.max_out // 2
        slots -= self._vacating_long_running(tracked_wave)
        slow = [
            machine_id
            for machine_id in remaining
            if self._run_counts(machine_id)[0]
            and machine_id not in self.operations
        ][: max(0, slots)]
        return slow + remaining

    def _vacating_long_running(
        self, tracked_wave: operations.TrackedWave
    ) -> int:
        return sum(
            operation.wave == tracked_wave.wave.wave
            and operation.stage is operations.Stage.EMPTYING
            and self._run_counts(operation.machine)[0] > 0
            for operation in self.operations.values()
        )

    def _run_counts(self, machine_id: ids.MachineId) -> tuple[int, int]:
        """Return the numbers of long-running and of all runs on a machine."""
        machine = self.machines.get(machine_id)
        load = self.loads.get(machine.vm) if machine is not None else None
        if load is None:
            return (0, 0)
        return (load.lasting_runs, load.runs)

    def start_operation(
        self,
        machine: machines.Machine,
        wave: ids.WaveId | None = None,
        pool: ids.PoolId | None = None,
    ) -> None:
        """Start the maintenance or the move of a machine.

        Args:
            machine: The machine, which must be free.
            wave: The wave that maintains it; None for a move.
            pool: The pool to which it moves; None for a wave.
        """
        self.cancelled_moves.pop(machine.machine, None)
        self.operations[machine.machine] = operations.MachineOperation(
            machine.machine,
            wave,
            pool,
            machine.vm,
            self._clock.monotonic_ms(),
        )

    def cancel_move(self, operation: operations.MachineOperation) -> bool:
        """Cancel a move, so that the machine stays in its pool.

        Args:
            operation: The operation of the move.

        Returns:
            Whether the move is cancelled. It is not if an order was sent, since
            the platform may carry it out even if it did not respond.
        """
        if (
            operation.wave is not None
            or operation.stage is not operations.Stage.EMPTYING
            or operation.last_order_ms
        ):
            return False
        del self.operations[operation.machine]
        if operation.vm:
            self.cancelled_moves[operation.machine] = operation.vm
        return True

    def movable_machines(self) -> list[machines.Machine]:
        """Return the machines for which an operation may start."""
        return [
            machine
            for machine in self.machines.values()
            if self._is_free(machine)
        ]

    def has_settled(self, machine: machines.Machine) -> bool:
        """Return whether the last move of a machine is long enough ago.

        Args:
            machine: The machine; one that a previous manager moved has settled.
        """
        moved_ms = self._moved_ms.get(machine.machine)
        now_ms = self._clock.monotonic_ms()
        return moved_ms is None or now_ms - moved_ms >= _MIN_STAY_MS

    def _is_free(self, machine: machines.Machine) -> bool:
        return (
            machine.state is machines.MachineState.UP
            and machine.machine not in self.operations
            and machine.machine not in self._cooling_down
        )

    def is_standby(self, pool: ids.PoolId) -> bool:
        """Return whether the machines of a pool are switched off."""
        pool_status = self.pools.get(pool)
        return pool_status is not None and pool_status.standby
