"""A fleet without VMs and network under demand that rotates between pools.

Work is served as a fluid: a job uses at most the cores of one of its steps, and
jobs are served in the order of arrival. The figures of the first deployment of
docs/design/HARD-LOAD.md are used.
"""

import collections
import dataclasses
import math
import random

from support import clocks
from support import fakes
from tests.maintenance import plain_planner
from wagtailtiller import ids
from wagtailtiller.maintenance import demand
from wagtailtiller.maintenance import machine_fleet
from wagtailtiller.maintenance import operations
from wagtailtiller.maintenance import season
from wagtailtiller.owner import messages
from wagtailtiller.ports import machines

STEP_MS = 200
POOLS = tuple(ids.PoolId(f"pool-{n}") for n in range(4))
STANDBY = ids.PoolId("standby")
_MACHINE_CORES = 32
_MOVE_MS = 1_500
_SHORT_TASK_MS = 1_000
_LONG_RUNNING_CORES = 24 * 2.6
_LONG_RUNNING_MACHINES = 12
_PEAK_MS = 5_000
_STRETCH = 1.6
_SLACK_MS = 606


@dataclasses.dataclass(frozen=True)
class Kind:
    """Jobs of a queue.

    Attributes:
        per_s: Mean arrival rate.
        steps: Mean number of steps.
        step_ms: Mean run time of a step.
        step_cores: Cores that the tasks of a step use.
    """

    per_s: float
    steps: float
    step_ms: float
    step_cores: float


_KINDS = (
    Kind(11.0, 1.6, 800, 8 * 3.1),
    Kind(2.8, 2.0, 1_300, 8 * 6.7),
    Kind(13.7, 1.6, 800, 8 * 3.1),
    Kind(3.5, 2.0, 1_300, 8 * 6.7),
)


@dataclasses.dataclass
class _Job:
    arrived_ms: int
    target_ms: float
    cores: float
    left_core_ms: float


@dataclasses.dataclass
class Outcome:
    """What a play costs.

    Attributes:
        machine_s: Machine-seconds in pools.
        moves: Number of moves.
        missing_core_s: Core-seconds that jobs could have used and had not.
        jobs: Number of jobs that ended.
        on_time: Number of those that ended within their target.
    """

    machine_s: float = 0.0
    moves: int = 0
    missing_core_s: float = 0.0
    jobs: int = 0
    on_time: int = 0


class Play:
    """Steps the estimators and the move planner through the load.

    Args:
        seed: Seed of the arrivals.
        sizes: Initial number of machines of each pool.
        standby: Number of machines on standby.
        shift_ms: Delay of the phases from the given time on, as a pair of the
            time and the delay.
        off_peak: Arrival rate outside the peak phase, relative to the mean.
        learns: Whether the season is learned.
        knows: Whether the rates of the next seconds are known.
        plain: Whether the planner before seasons decides.

    Attributes:
        now_ms: Time since the first arrivals.
        fleet: The fleet whose planner decides.
        outcome: Costs so far.
        ordered: Moves ordered in each step, as pairs of source and target.
        backlog: Jobs in progress, by pool.
        season: Learner of the season; None without one.
    """

    def __init__(
        self,
        seed,
        sizes=(32, 36, 39, 43),
        standby=29,
        shift_ms=(0, 0),
        off_peak=0.05,
        learns=True,
        knows=False,
        plain=False,
    ):
        self._rng = random.Random(seed)
        self._shift_ms = shift_ms
        self._off_peak = off_peak
        self._clock = clocks.FakeClock()
        self.now_ms = -3_000
        self.fleet = machine_fleet.MachineFleet(self._clock)
        self._knows = knows
        self._planner = self.fleet
        if plain:
            self._planner = plain_planner.PlainPlanner(self.fleet)
        self.season = season.SeasonLearner(0) if learns else None
        self.outcome = Outcome()
        self.ordered = []
        self.backlog = {pool: collections.deque() for pool in POOLS}
        self.estimators = {pool: demand.DemandEstimator() for pool in POOLS}
        self._arrived = {pool: [0, 0.0] for pool in POOLS}
        self._arrives_ms = {}
        self._running = dict.fromkeys(POOLS, 0.0)
        self.listed = {}
        self._long_running = set()
        for pool, size in zip(
            (*POOLS, STANDBY), (*sizes, standby), strict=True
        ):
            for n in range(size):
                name = f"{pool}-m{n}"
                vm = "" if pool == STANDBY else f"vm-{name}"
                self.listed[name] = fakes.machine(name, vm, pool)
                if vm and n < _LONG_RUNNING_MACHINES:
                    self._long_running.add(name)

    def run(self, until_ms):
        """Step until a time and return the outcome."""
        while self.now_ms < until_ms:
            self.step()
        return self.outcome

    def rate(self, index, ahead_ms=0):
        """Return the arrival rate of a pool's short jobs, per second."""
        at_ms = self.now_ms + ahead_ms
        if at_ms < 0:
            return 0.0
        from_ms, delay_ms = self._shift_ms
        if at_ms >= from_ms:
            at_ms -= delay_ms
        in_peak = (at_ms // _PEAK_MS) % len(POOLS) == index
        return _KINDS[index].per_s * (4.0 if in_peak else self._off_peak)

    def _known_cores(self, index):
        """Return what the estimator has to be told to provide all ahead."""
        kind = _KINDS[index]
        per_s = max(
            self.rate(index, ahead_ms)
            for ahead_ms in range(0, demand.FORECAST_LEAD_MS + 1, STEP_MS)
        )
        job_core_s = kind.steps * kind.step_ms / 1_000 * kind.step_cores
        return per_s * job_core_s / demand.FORECAST_SHARE

    def size(self, pool):
        """Return the number of machines that serve a pool."""
        return len(self._serving(pool))

    def step(self):
        """Advance by one cycle of the machine manager."""
        self._advance_operations()
        for index, pool in enumerate(POOLS):
            self._arrive(index, pool)
            self._serve(pool)
            self._report(pool)
        self.fleet.pools = {
            pool: operations.PoolStatus(False, self.estimators[pool])
            for pool in POOLS
        }
        self.fleet.pools[STANDBY] = operations.PoolStatus(True, None)
        self.fleet.update_machines(
            list(self.listed.values()), self._clock.monotonic_ms()
        )
        self._planner.plan()
        self._clock.advance(STEP_MS)
        self.now_ms += STEP_MS

    def _arrive(self, index, pool):
        kind = _KINDS[index]
        mean = self.rate(index) * STEP_MS / 1_000
        count, product = 0, self._rng.random()
        while product > math.exp(-mean):
            count += 1
            product *= self._rng.random()
        for _ in range(count):
            steps = max(1, round(self._rng.gauss(kind.steps, 0.6)))
            step_ms = kind.step_ms * self._rng.lognormvariate(-0.08, 0.4)
            path_ms = steps * step_ms
            work = path_ms * kind.step_cores
            self.backlog[pool].append(
                _Job(
                    self.now_ms,
                    _STRETCH * path_ms + _SLACK_MS,
                    kind.step_cores,
                    work,
                )
            )
            self._arrived[pool][0] += 1
            self._arrived[pool][1] += work * self._rng.lognormvariate(0, 0.5)

    def _serving(self, pool):
        return [
            machine
            for machine in self.listed.values()
            if machine.pool == pool
            and machine.state is machines.MachineState.UP
            and machine.machine not in self.fleet.operations
        ]

    def _serve(self, pool):
        jobs = self.backlog[pool]
        capacity = self.size(pool) * _MACHINE_CORES - _LONG_RUNNING_CORES
        free = max(0.0, capacity)
        wanted = sum(job.cores for job in jobs)
        ended = []
        for job in jobs:
            used = min(job.cores, free)
            free -= used
            job.left_core_ms -= used * STEP_MS
            if job.left_core_ms <= 0:
                ended.append(job)
        for job in ended:
            jobs.remove(job)
            self.outcome.jobs += 1
            took_ms = self.now_ms + STEP_MS - job.arrived_ms
            self.outcome.on_time += took_ms <= job.target_ms
        self._running[pool] = min(wanted, max(0.0, capacity))
        missing = max(0.0, wanted - max(0.0, capacity))
        if self.now_ms >= 0:
            self.outcome.missing_core_s += missing * STEP_MS / 1_000
            pooled = sum(
                machine.pool == pool
                and machine.state is machines.MachineState.UP
                for machine in self.listed.values()
            )
            self.outcome.machine_s += pooled * STEP_MS / 1_000

    def _report(self, pool):
        jobs = self.backlog[pool]
        running = self._running[pool]
        waiting = sum(job.cores for job in jobs) - running
        forecast_cores = None
        if self._knows:
            forecast_cores = self._known_cores(POOLS.index(pool))
        elif self.season is not None:
            at_ms = self._clock.now_ms
            self.season.add(pool, at_ms, *self._arrived[pool])
            forecast_cores = self.season.forecast_cores(
                pool, at_ms, demand.FORECAST_LEAD_MS
            )
        self.estimators[pool].add(
            demand.LoadSample(
                self._clock.now_ms,
                self._arrived[pool][1],
                self._arrived[pool][0],
                int(waiting * 1_000),
                int(running * 1_000),
                int(_LONG_RUNNING_CORES * 1_000),
                0,
            ),
            forecast_cores,
        )
        serving = self._serving(pool)
        serving.sort(key=lambda m: m.machine not in self._long_running)
        busy = math.ceil((running + _LONG_RUNNING_CORES) / _MACHINE_CORES)
        for rank, machine in enumerate(serving):
            long_running = 2 * (machine.machine in self._long_running)
            runs = long_running + (4 if rank < busy else 0)
            self.fleet.loads[machine.vm] = messages.VmLoad(
                machine.vm, runs, long_running, 0, 0, True
            )

    def _advance_operations(self):
        now_ms = self._clock.now_ms
        for operation in list(self.fleet.operations.values()):
            machine = self.listed[operation.machine]
            if operation.stage is operations.Stage.EMPTYING:
                load = self.fleet.loads.get(machine.vm)
                busy = load is not None and load.runs
                wait_ms = _SHORT_TASK_MS if busy else STEP_MS
                if now_ms - operation.started_ms < wait_ms:
                    continue
                self.fleet.record_order(operation)
                self.fleet.record_outcome(
                    operation, machines.MachineOutcome.DONE
                )
                self.ordered.append((self.now_ms, machine.pool, operation.pool))
                self.outcome.moves += 1
                self._arrives_ms[operation.machine] = now_ms + _MOVE_MS
                moved = fakes.machine(
                    operation.machine,
                    "",
                    operation.pool,
                    machines.MachineState.MOVING,
                )
            elif now_ms >= self._arrives_ms[operation.machine]:
                vm = f"vm-{operation.machine}-{now_ms}"
                if operation.pool == STANDBY:
                    vm = ""
                moved = fakes.machine(operation.machine, vm, operation.pool)
            else:
                continue
            self.listed[operation.machine] = moved
