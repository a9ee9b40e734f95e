"""Plans moves of machines between pools, and their return to standby."""

import collections
import dataclasses
from typing import Protocol

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller.maintenance import demand
from wagtailtiller.maintenance import operations as operations_module
from wagtailtiller.maintenance import returns
from wagtailtiller.owner import messages
from wagtailtiller.ports import machines as machines_module

# Weight of a machine that is missed by forecast work only, relative to one that
# is missed by waiting work.
_FORECAST_WEIGHT = 0.5


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

    def has_settled(self, machine: machines_module.Machine) -> bool:
        """Return whether the last move of a machine is long enough ago."""

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


@dataclasses.dataclass
class _PoolPlan:
    """What is known of a pool in a cycle, and what has been decided.

    Attributes:
        pool: Id of the pool.
        estimator: Estimator of its demand.
        needed: Number of machines that the pool needs.
        kept: Number of machines that it does not return.
        available: Number of machines that it can use now or very soon.
        waiting: Machines that the waiting tasks could use.
        assigned: Numbers of machines that begin to move to the pool in this
            cycle, by whether they come from standby.
        recalled: Number of machines whose move out was cancelled.
    """

    pool: ids.PoolId
    estimator: demand.DemandEstimator
    needed: int
    kept: int
    available: int
    waiting: float
    assigned: collections.Counter[bool]
    recalled: int = 0

    def missing_cost(self) -> float:
        """Return what missing one more machine costs; 0 if none is missed.

        This is the relative shortage, weighted by the share of the missing
        machines that waiting work could use.
        """
        missing = self.needed - self.available
        if missing <= 0:
            return 0.0
        weight = max(_FORECAST_WEIGHT, min(1.0, self.waiting / missing))
        return weight * missing / self.needed


class MovePlanner:
    """Plans moves from the demand of the pools.

    Args:
        fleet: Machines and pools; the planner starts operations on it.
        clock: Clock that supplies the current time.
        sizes_are_given: Whether the pools have the sizes that operators gave
            them.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: clock_module.Clock,
        sizes_are_given: bool,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._returns = returns.ReturnPolicy(sizes_are_given)
        self._movable: dict[ids.MachineId, machines_module.Machine] = {}

    def plan(self) -> None:
        """Start the moves that the demand of the pools requires now."""
        self._movable = {
            machine.machine: machine
            for machine in self._fleet.movable_machines()
        }
        plans = self._pool_plans()
        self._recall(plans)
        self._assign(plans)
        for plan in plans.values():
            _log_gains(plan)
        self._return_to_standby(plans)

    def _pool_plans(self) -> dict[ids.PoolId, _PoolPlan]:
        now_ms = self._clock.monotonic_ms()
        if (
            self._returns.arrivals_since_ms is None
            and self._has_arrival_history()
        ):
            self._returns.arrivals_since_ms = now_ms
        cores = self._mean_machine_cores()
        plans = {}
        for pool, status in self._fleet.pools.items():
            estimator = status.estimator
            if estimator is None:
                continue
            needed = estimator.machines_needed(
                cores, self._count_present_machines(pool)
            )
            available = self._fleet.count_available_machines(pool)
            # A long-running task that finds no room says nothing about a peak.
            load_need = estimator.machines_for_load(cores)
            self._returns.observe(pool, load_need, available, now_ms)
            kept = needed
            if not estimator.has_forecast():
                kept = self._returns.machines_kept(pool, needed, now_ms)
            plans[pool] = _PoolPlan(
                pool,
                estimator,
                needed,
                kept,
                available,
                estimator.waiting_cores() / cores,
                collections.Counter(),
            )
        return plans

    def _recall(self, plans: dict[ids.PoolId, _PoolPlan]) -> None:
        """Cancel moves of machines that their pool needs again."""
        for operation in list(self._fleet.operations.values()):
            machine = self._fleet.machines.get(operation.machine)
            if machine is None or operation.pool is None:
                continue
            plan = plans.get(machine.pool)
            target = plans.get(operation.pool)
            if plan is None or plan is target or not plan.missing_cost():
                continue
            if target is not None and (
                target.missing_cost() >= plan.missing_cost()
            ):
                continue
            if self._fleet.cancel_move(operation):
                plan.available += 1
                plan.recalled += 1
                if target is not None:
                    target.available -= 1

    def _assign(self, plans: dict[ids.PoolId, _PoolPlan]) -> None:
        """Give machines to the pools that miss them most, one at a time."""
        short = [plan for plan in plans.values() if plan.missing_cost()]
        while short:
            plan = max(short, key=_PoolPlan.missing_cost)
            machine = self._find_spare_machine(plan, plans)
            if machine is None:
                # Another pool may be short enough to take what others keep.
                short.remove(plan)
                continue
            plan.available += 1
            from_standby = self._fleet.is_standby(machine.pool)
            plan.assigned[from_standby] += 1
            if not from_standby:
                plans[machine.pool].available -= 1
            self._start_move(machine, plan.pool)
            if not plan.missing_cost():
                short.remove(plan)

    def _find_spare_machine(
        self, plan: _PoolPlan, plans: dict[ids.PoolId, _PoolPlan]
    ) -> machines_module.Machine | None:
        for machine in self._movable.values():
            if self._fleet.is_standby(machine.pool):
                return machine
        severe = returns.is_severe(plan.available, plan.needed)
        surplus = {
            other.pool: other.available
            - (other.needed if severe else other.kept)
            for other in plans.values()
        }
        return self._find_surplus_machine(surplus)

    def _find_surplus_machine(
        self, surplus: dict[ids.PoolId, int]
    ) -> machines_module.Machine | None:
        """Return the machine with the fewest runs in a pool with a surplus."""
        best: machines_module.Machine | None = None
        best_runs = 0
        for machine in self._movable.values():
            if surplus.get(machine.pool, 0) <= 0:
                continue
            load = self._fleet.loads.get(machine.vm)
            if load is None or load.lasting_runs or not load.usable:
                continue
            if best is not None and load.runs >= best_runs:
                continue
            if self._fleet.has_settled(machine):
                best, best_runs = machine, load.runs
        return best

    def _return_to_standby(self, plans: dict[ids.PoolId, _PoolPlan]) -> None:
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
        for plan in plans.values():
            # A new machine manager observes a pool for the whole peak window
            # before it returns machines of the pool.
            if plan.estimator.has_full_history():
                self._return_from(plan, standby)

    def _return_from(self, plan: _PoolPlan, standby: ids.PoolId) -> None:
        # Machines that are on their way to the pool do not replace others yet.
        present = self._count_present_machines(plan.pool)
        count = returns.step_machines(
            present - plan.kept, plan.estimator.has_forecast()
        )
        returned = 0
        while returned < count:
            machine = self._find_surplus_machine({plan.pool: 1})
            if machine is None:
                break
            self._start_move(machine, standby)
            returned += 1
        if returned:
            events.emit(
                events.Event.MACHINES_RETURNED,
                pool=plan.pool,
                machines=returned,
                present=present,
                kept=plan.kept,
                needed=plan.needed,
                forecast_cores=plan.estimator.forecast_cores(),
            )

    def _start_move(
        self, machine: machines_module.Machine, pool: ids.PoolId
    ) -> None:
        del self._movable[machine.machine]
        self._fleet.start_operation(machine, pool=pool)

    def _has_arrival_history(self) -> bool:
        """Return whether work has been arriving at any pool for some time.

        Until then, the size that a pool was given is the best estimate.
        """
        return any(
            status.estimator is not None
            and status.estimator.has_arrival_history()
            for status in self._fleet.pools.values()
        )

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


def _log_gains(plan: _PoolPlan) -> None:
    if plan.recalled:
        events.emit(
            events.Event.MACHINES_RECALLED,
            pool=plan.pool,
            machines=plan.recalled,
            needed=plan.needed,
            available=plan.available,
        )
    if plan.assigned:
        events.emit(
            events.Event.MACHINES_ASSIGNED,
            pool=plan.pool,
            machines=plan.assigned.total(),
            from_standby=plan.assigned[True],
            needed=plan.needed,
            available=plan.available,
            waiting_cores=round(plan.estimator.waiting_cores()),
            forecast_cores=plan.estimator.forecast_cores(),
        )
