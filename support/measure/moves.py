"""Section D: idle slots, lost work and moves on one bursty trace.

Work is a continuous quantity. Work that arrives in a second is served by the
slots in service, and it is lost if it would have to wait for longer than its
deadline. The shipped balancer and fleet rules decide on moves. A move takes as
long as a drain.
"""

import dataclasses
import random

from support.measure import tables
from wagtailtiller import fleet
from wagtailtiller import ids
from wagtailtiller import settings
from wagtailtiller.fleet import balancing
from wagtailtiller.settings import changes

_POOLS = 5
_VMS_PER_POOL = 6
_SLOTS = 8
_SECONDS = 7_200
_HOT_PERIOD_S = 600
_BURST_PERIOD_S = 60
_BURST_S = 6
_LULL_S = 8
_MEAN_LOAD = 0.35
_HOT_FACTOR = 2.6
_DEADLINE_S = 10
_DRAIN_S = 8
_OBSERVE_INTERVAL_S = 2
_WEIGHTS_BY_SITE = {"kadalpura": (3.0, 1.0), "riga": (1.0, 3.0)}


@dataclasses.dataclass
class Outcome:
    """Results of a policy.

    Attributes:
        idle_slot_s: Idle slot time in seconds.
        lost_slot_s: Work that missed its deadline, in seconds of slot time.
        moves: Number of moves.
    """

    idle_slot_s: float = 0.0
    lost_slot_s: float = 0.0
    moves: int = 0


def trace(seed: int) -> list[list[float]]:
    """Return the work that arrives for each pool in each second, in slots.

    The pools take turns to receive a high load for ten minutes each. In each
    minute the load of a pool rises to five times its mean for six seconds and
    then falls to a twentieth of it.
    """
    rng = random.Random(seed)
    capacity = _VMS_PER_POOL * _SLOTS
    arrivals = []
    for second in range(_SECONDS):
        hot_pool = (second // _HOT_PERIOD_S) % _POOLS
        arrived = []
        for pool in range(_POOLS):
            mean = (
                _MEAN_LOAD * capacity * (_HOT_FACTOR if pool == hot_pool else 1)
            )
            if pool == _POOLS - 1:
                mean /= 4
            phase_s = (second + 12 * pool) % _BURST_PERIOD_S
            arrived.append(
                mean * _burst_factor(phase_s) * rng.uniform(0.8, 1.2)
            )
        arrivals.append(arrived)
    return arrivals


def _burst_factor(phase_s: int) -> float:
    if phase_s < _BURST_S:
        return 5.0
    if phase_s < _BURST_S + _LULL_S:
        return 0.05
    calm_s = _BURST_PERIOD_S - _BURST_S - _LULL_S
    return (_BURST_PERIOD_S - 5.0 * _BURST_S - 0.05 * _LULL_S) / calm_s


class _FluidQueue:
    def __init__(self) -> None:
        self.backlog = 0.0

    def serve_second(
        self, arriving: float, slots: float, outcome: Outcome
    ) -> None:
        """Add the work of a second and serve it with a number of slots."""
        self.backlog += arriving
        served = min(self.backlog, slots)
        self.backlog -= served
        outcome.idle_slot_s += slots - served
        max_backlog = slots * _DEADLINE_S
        if self.backlog > max_backlog:
            outcome.lost_slot_s += self.backlog - max_backlog
            self.backlog = max_backlog


def run_static(arrivals: list[list[float]]) -> Outcome:
    """Run a trace without moves."""
    outcome = Outcome()
    queues = [_FluidQueue() for _ in range(_POOLS)]
    for arrived in arrivals:
        for queue, arriving in zip(queues, arrived, strict=True):
            queue.serve_second(arriving, _VMS_PER_POOL * _SLOTS, outcome)
    return outcome


def run_hindsight(arrivals: list[list[float]]) -> Outcome:
    """Run a trace with instant moves, based on the work of the next minute."""
    outcome = Outcome()
    queues = [_FluidQueue() for _ in range(_POOLS)]
    total = _VMS_PER_POOL * _POOLS
    vms = [_VMS_PER_POOL] * _POOLS
    for second, arrived in enumerate(arrivals):
        if second % _BURST_PERIOD_S == 0:
            minute_rows = arrivals[second : second + _BURST_PERIOD_S]
            demand = [sum(column) for column in zip(*minute_rows, strict=True)]
            new_vms = _divide_vms(demand, total)
            pairs = zip(new_vms, vms, strict=True)
            outcome.moves += sum(max(0, new - old) for new, old in pairs)
            vms = new_vms
        for pool, queue in enumerate(queues):
            queue.serve_second(arrived[pool], vms[pool] * _SLOTS, outcome)
    return outcome


def _divide_vms(demand: list[float], total: int) -> list[int]:
    shares = [1] * len(demand)
    for _ in range(total - len(demand)):
        load_per_vm = [w / s for w, s in zip(demand, shares, strict=True)]
        shares[load_per_vm.index(max(load_per_vm))] += 1
    return shares


class BalancedPools:
    """Pools under the shipped balancer and fleet rules.

    Args:
        roll_out_weight: Setting of the same name.
        buffer_weight: Setting of the same name.
    """

    def __init__(self, roll_out_weight: float, buffer_weight: float) -> None:
        self._catalogue = _catalogue(roll_out_weight, buffer_weight)
        self._fleet = fleet.Fleet()
        for vm, declared in self._catalogue.vms.items():
            self._apply(fleet.Enrol(vm, declared.pool, 1), 0)
        self._balancer = balancing.Balancer()
        self._queues = {pool: _FluidQueue() for pool in self._catalogue.pools}
        self._outcome = Outcome()

    def run(self, arrivals: list[list[float]]) -> Outcome:
        """Run a trace and return the outcome."""
        for second, arrived in enumerate(arrivals):
            now_ms = second * 1_000
            self._finish_moves(now_ms)
            for arriving, pool in zip(arrived, self._queues, strict=True):
                slots = self._slots(pool)
                self._queues[pool].serve_second(arriving, slots, self._outcome)
                self._observe(pool, arriving, slots, now_ms)
            if second % _OBSERVE_INTERVAL_S == 0:
                self._start_moves(now_ms)
        return self._outcome

    def _observe(
        self, pool: ids.PoolId, arriving: float, slots: int, now_ms: int
    ) -> None:
        running = min(slots, int(arriving + self._queues[pool].backlog))
        waiting_ms = self._queues[pool].backlog * 1_000
        load = balancing.PoolLoad(pool, running, waiting_ms, slots)
        self._balancer.observe(load, now_ms)

    def _start_moves(self, now_ms: int) -> None:
        for command in self._balancer.moves(
            self._fleet, self._catalogue, now_ms
        ):
            self._apply(command, now_ms)

    def _finish_moves(self, now_ms: int) -> None:
        for vm, record in self._fleet.vms.items():
            leaving = record.state is fleet.VmState.LEAVING
            if leaving and now_ms - record.since_ms >= _DRAIN_S * 1_000:
                self._apply(fleet.Drained(vm, record.generation), now_ms)
                self._outcome.moves += 1
                return

    def _slots(self, pool: ids.PoolId) -> int:
        serving = sum(
            record.pool == pool and record.state is fleet.VmState.SERVING
            for record in self._fleet.vms.values()
        )
        return serving * _SLOTS

    def _apply(self, command: fleet.Command, now_ms: int) -> None:
        applied = fleet.apply(self._fleet, command, self._catalogue, now_ms)
        self._fleet = applied.default_value(self._fleet)


def _catalogue(
    roll_out_weight: float, buffer_weight: float
) -> settings.Catalogue:
    pools: changes.JsonObject = {f"pool-{n}": {} for n in range(_POOLS - 1)}
    pools["spare"] = {"values": {"lends": True, "min_vms": 2}}
    document_json: changes.JsonObject = {
        "tree": {
            "values": {
                "roll_out_weight": roll_out_weight,
                "buffer_weight": buffer_weight,
            },
            "pools": pools,
        },
        "data_centres": {"dc": {"region": "region"}},
        "vms": {
            f"vm-{n:02d}": {
                "address": f"10.0.0.{n + 1}:80",
                "data_centre": "dc",
                "rack": f"rack-{n // 4}",
                "pool": list(pools)[n // _VMS_PER_POOL],
                "processors": 32,
                "memory_gb": 128,
            }
            for n in range(_POOLS * _VMS_PER_POOL)
        },
    }
    return changes.validate_and_resolve(
        ids.Revision(1), document_json
    ).ok.catalogue


def measure(seed: int) -> str:
    """Run every policy on one trace and return the table.

    Args:
        seed: Seed of the trace.
    """
    arrivals = trace(seed)
    total = sum(map(sum, arrivals))
    outcomes = {"static pools": run_static(arrivals)}
    for name, weights in _WEIGHTS_BY_SITE.items():
        label = f"ours, {name}'s weights {weights[0]:.0f}:{weights[1]:.0f}"
        outcomes[label] = BalancedPools(*weights).run(arrivals)
    outcomes["hindsight, free moves each minute"] = run_hindsight(arrivals)
    rows = [
        (
            name,
            f"{outcome.idle_slot_s:.0f}",
            f"{100 * outcome.lost_slot_s / total:.2f}",
            outcome.moves,
        )
        for name, outcome in outcomes.items()
    ]
    title = "D. Moves: two hours, five pools of six VMs, the last one lends"
    headings = ("policy", "idle slot-s", "lost work %", "moves")
    return tables.table(title, headings, rows)
