"""The move planner before seasons: it returns each surplus in one cycle."""


class PlainPlanner:
    """Plans moves from the present need of the pools alone.

    Args:
        fleet: Machines and pools; the planner starts operations on it.
    """

    def __init__(self, fleet):
        self._fleet = fleet

    def plan(self):
        """Start the moves that the demand of the pools requires now."""
        estimators = {
            pool: status.estimator
            for pool, status in self._fleet.pools.items()
            if status.estimator is not None
        }
        available = {
            pool: self._fleet.count_available_machines(pool)
            for pool in estimators
        }
        needed = {
            pool: estimator.machines_needed(32.0, available[pool])
            for pool, estimator in estimators.items()
        }
        standby = next(p for p, s in self._fleet.pools.items() if s.standby)
        for pool in sorted(needed, key=lambda p: available[p] / needed[p]):
            while available[pool] < needed[pool]:
                machine = self._find_standby(standby)
                machine = machine or self._find_surplus(needed, available)
                if machine is None:
                    break
                self._move(machine, pool, available)
        if any(e.has_arrival_history() for e in estimators.values()):
            while machine := self._find_surplus(needed, available):
                self._move(machine, standby, available)

    def _move(self, machine, pool, available):
        if pool in available:
            available[pool] += 1
        if machine.pool in available:
            available[machine.pool] -= 1
        self._fleet.start_operation(machine, pool=pool)

    def _find_standby(self, standby):
        for machine in self._fleet.movable_machines():
            if machine.pool == standby:
                return machine
        return None

    def _find_surplus(self, needed, available):
        candidates = [
            machine
            for machine in self._fleet.movable_machines()
            if available.get(machine.pool, 0) > needed.get(machine.pool, 0)
            and machine.vm in self._fleet.loads
            and not self._fleet.loads[machine.vm].lasting_runs
        ]
        return min(
            candidates,
            key=lambda machine: self._fleet.loads[machine.vm].runs,
            default=None,
        )
