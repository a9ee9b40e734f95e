"""Plans moves of machines between pools, and their return to standby."""

from typing import Protocol

from wagtailtiller import clock as clock_module
from wagtailtiller import ids
from wagtailtiller.maintenance import operations as operations_module
from wagtailtiller.maintenance import returns
from wagtailtiller.owner import messages
from wagtailtiller.ports import machines as machines_module


class Fleet(Protocol):
    """The machines and pools, as the planner sees and changes them.

    Attributes:
        machines: The machines that the platform listed last, by id.
        operations: The operations in progress, by machine.
        pools: The declared pools, by id.
        loads: The last reported load of each VM.
    """

    machines: dict[ids.MachineId, machines_module.Machine]
    operations: dict[ids.MachineId, operations_module.MachineOperation]
    pools: dict[ids.PoolId, operations_module.PoolStatus]
    loads: dict[ids.VmId, messages.VmLoad]

    def count_available_machines(self, pool: ids.PoolId) -> int:
        """Return how many machines a pool can use now or very soon."""

    def movable_machines(self) -> list[machines_module.Machine]:
        """Return the machines for which an operation may start."""

    def is_standby(self, pool: ids.PoolId) -> bool:
        """Return whether the machines of a pool are switched off."""

    def start_operation(
        self,
        machine: machines_module.Machine,
        wave: ids.WaveId | None = None,
        pool: ids.PoolId | None = None,
    ) -> None:
        """Start the maintenance or the move of a machine."""

    def cancel_move(
        self, operation: operations_module.MachineOperation
    ) -> bool:
        """Cancel a move; return False if it may have been ordered."""


class MovePlanner:
    """Plans moves from the demand of the pools.

    Args:
        fleet: Machines and pools; the planner starts operations on it.
        clock: Clock that supplies the current time.
    """

    def __init__(self, fleet: Fleet, clock: clock_module.Clock) -> None:
        self._fleet = fleet
        self._clock = clock
        self._returns = returns.ReturnPolicy()

    def plan(self) -> None:
        """Start the moves that the demand of the pools requires now."""
        estimators = {
            pool: pool_status.estimator
            for pool, pool_status in self._fleet.pools.items()
            if pool_status.estimator is not None
        }
        available = {
            pool: self._fleet.count_available_machines(pool)
            for pool in estimators
        }
        cores = self._mean_machine_cores()
        needed = {
            pool: estimator.machines_needed(
                cores, self._count_present_machines(pool)
            )
            for pool, estimator in estimators.items()
        }
        kept = self._machines_kept(needed, available)
        short_pools = sorted(
            (pool for pool in needed if needed[pool] > available[pool]),
            key=lambda pool: available[pool] / needed[pool],
        )
        for pool in short_pools:
            self._recall(pool, needed, available)
            while available[pool] < needed[pool]:
                severe = returns.is_severe(available[pool], needed[pool])
                machine = self._find_spare_machine(
                    needed if severe else kept, available
                )
                if machine is None:
                    break
                available[pool] += 1
                if machine.pool in available:
                    available[machine.pool] -= 1
                self._fleet.start_operation(machine, pool=pool)
        self._plan_returns_to_standby(kept)

    def _machines_kept(
        self, needed: dict[ids.PoolId, int], available: dict[ids.PoolId, int]
    ) -> dict[ids.PoolId, int]:
        """Return how many machines each pool keeps, by pool."""
        now_ms = self._clock.monotonic_ms()
        if (
            self._returns.arrivals_since_ms is None
            and self._has_arrival_history()
        ):
            self._returns.arrivals_since_ms = now_ms
        kept = {}
        for pool, count in needed.items():
            self._returns.observe(pool, count, available[pool], now_ms)
            if self._has_forecast(pool):
                kept[pool] = count
            else:
                kept[pool] = self._returns.machines_kept(pool, count, now_ms)
        return kept

    def _recall(
        self,
        pool: ids.PoolId,
        needed: dict[ids.PoolId, int],
        available: dict[ids.PoolId, int],
    ) -> None:
        """Cancel returns to standby of machines that their pool needs again."""
        for operation in list(self._fleet.operations.values()):
            if available[pool] >= needed[pool]:
                return
            machine = self._fleet.machines.get(operation.machine)
            if machine is None or machine.pool != pool:
                continue
            if operation.pool is None or not self._fleet.is_standby(
                operation.pool
            ):
                continue
            if self._fleet.cancel_move(operation):
                available[pool] += 1

    def _find_spare_machine(
        self, kept: dict[ids.PoolId, int], available: dict[ids.PoolId, int]
    ) -> machines_module.Machine | None:
        for machine in self._fleet.movable_machines():
            if self._fleet.is_standby(machine.pool):
                return machine
        return self._find_surplus_machine(kept, available)

    def _find_surplus_machine(
        self, kept: dict[ids.PoolId, int], available: dict[ids.PoolId, int]
    ) -> machines_module.Machine | None:
        best: machines_module.Machine | None = None
        best_runs = 0
        for machine in self._fleet.movable_machines():
            pool = machine.pool
            load = self._fleet.loads.get(machine.vm)
            if pool not in kept or available[pool] <= kept[pool]:
                continue
            if load is None or load.lasting_runs or not load.usable:
                continue
            if best is None or load.runs < best_runs:
                best, best_runs = machine, load.runs
        return best

    def _plan_returns_to_standby(self, kept: dict[ids.PoolId, int]) -> None:
        standby = next(
            (
                pool
                for pool, pool_status in self._fleet.pools.items()
                if pool_status.standby
            ),
            None,
        )
        if standby is None or not self._has_arrival_history():
            return
        # A new machine manager observes a pool for the whole peak window before
        # it returns machines of the pool to standby. Machines that are on their
        # way to the pool do not replace others yet.
        present = {
            pool: self._count_present_machines(pool)
            for pool in kept
            if self._has_full_history(pool)
        }
        kept_this_cycle = {
            pool: count
            - returns.step_machines(
                count - kept[pool], self._has_forecast(pool)
            )
            for pool, count in present.items()
        }
        while True:
            machine = self._find_surplus_machine(kept_this_cycle, present)
            if machine is None:
                return
            present[machine.pool] -= 1
            self._fleet.start_operation(machine, pool=standby)

    def _has_arrival_history(self) -> bool:
        """Return whether work has been arriving at any pool for some time.

        Until then, the size that a pool was given is the best estimate.
        """
        return any(
            status.estimator is not None
            and status.estimator.has_arrival_history()
            for status in self._fleet.pools.values()
        )

    def _has_forecast(self, pool: ids.PoolId) -> bool:
        estimator = self._fleet.pools[pool].estimator
        return estimator is not None and estimator.has_forecast()

    def _has_full_history(self, pool: ids.PoolId) -> bool:
        estimator = self._fleet.pools[pool].estimator
        return estimator is not None and estimator.has_full_history()

    def _count_present_machines(self, pool: ids.PoolId) -> int:
        return sum(
            1
            for machine in self._fleet.machines.values()
            if machine.pool == pool
            and machine.state is machines_module.MachineState.UP
            and machine.machine not in self._fleet.operations
        )

    def _mean_machine_cores(self) -> float:
        cores = [
            machine.capacity.cpu_millicores / 1_000
            for machine in self._fleet.machines.values()
        ]
        return sum(cores) / len(cores) if cores else 1.0
