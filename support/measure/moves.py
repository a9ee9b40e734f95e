"""Section D: idle slots, lost work and moves on one bursty trace.

Pools are fluid: work arrives each second, is served by the slots in service
and is lost when it would wait for longer than its deadline. The shipped
balancer and fleet rules decide on moves; a move takes a drain.
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
_PHASE_S = 600
_BURST_PERIOD_S = 60
_BURST_S = 6
_LULL_S = 8
_BASE_LOAD = 0.35
_HOT_FACTOR = 2.6
_DEADLINE_S = 10
_DRAIN_S = 8
_OBSERVE_EVERY_S = 2
_SITES = {"kadalpura": (3.0, 1.0), "riga": (1.0, 3.0)}


@dataclasses.dataclass
class Outcome:
    """What a policy came to."""

    idle_slot_s: float = 0.0
    lost_slot_s: float = 0.0
    moves: int = 0


def trace(seed: int) -> list[list[float]]:
    """Return the arriving work of each pool in each second, in slots.

    One pool after the other is hot for ten minutes; each bursts to five
    times its mean for six seconds a minute, then falls to a twentieth.
    """
    source = random.Random(seed)
    capacity = _VMS_PER_POOL * _SLOTS
    arrivals = []
    for second in range(_SECONDS):
        hot = (second // _PHASE_S) % _POOLS
        row = []
        for pool in range(_POOLS):
            mean = _BASE_LOAD * capacity * (_HOT_FACTOR if pool == hot else 1)
            if pool == _POOLS - 1:
                mean /= 4
            phase = (second + 12 * pool) % _BURST_PERIOD_S
            row.append(mean * _factor(phase) * source.uniform(0.8, 1.2))
        arrivals.append(row)
    return arrivals


def _factor(phase_s: int) -> float:
    if phase_s < _BURST_S:
        return 5.0
    if phase_s < _BURST_S + _LULL_S:
        return 0.05
    calm_s = _BURST_PERIOD_S - _BURST_S - _LULL_S
    return (_BURST_PERIOD_S - 5.0 * _BURST_S - 0.05 * _LULL_S) / calm_s


class _Queue:
    def __init__(self) -> None:
        self.backlog = 0.0

    def second(self, arriving: float, slots: float, outcome: Outcome) -> None:
        """Serve for a second."""
        self.backlog += arriving
        served = min(self.backlog, slots)
        self.backlog -= served
        outcome.idle_slot_s += slots - served
        most = slots * _DEADLINE_S
        if self.backlog > most:
            outcome.lost_slot_s += self.backlog - most
            self.backlog = most


def static(arrivals: list[list[float]]) -> Outcome:
    """Leave every VM where it is."""
    outcome = Outcome()
    queues = [_Queue() for _ in range(_POOLS)]
    for row in arrivals:
        for queue, arriving in zip(queues, row, strict=True):
            queue.second(arriving, _VMS_PER_POOL * _SLOTS, outcome)
    return outcome


def hindsight(arrivals: list[list[float]]) -> Outcome:
    """Reassign VMs each minute, knowing the minute's work, at no cost."""
    outcome = Outcome()
    queues = [_Queue() for _ in range(_POOLS)]
    total = _VMS_PER_POOL * _POOLS
    vms = [_VMS_PER_POOL] * _POOLS
    for second, row in enumerate(arrivals):
        if second % _BURST_PERIOD_S == 0:
            minute = arrivals[second : second + _BURST_PERIOD_S]
            wanted = [sum(column) for column in zip(*minute, strict=True)]
            new = _share(wanted, total)
            pairs = zip(new, vms, strict=True)
            outcome.moves += sum(max(0, a - b) for a, b in pairs)
            vms = new
        for pool, queue in enumerate(queues):
            queue.second(row[pool], vms[pool] * _SLOTS, outcome)
    return outcome


def _share(wanted: list[float], total: int) -> list[int]:
    shares = [1] * len(wanted)
    for _ in range(total - len(wanted)):
        needs = [w / s for w, s in zip(wanted, shares, strict=True)]
        shares[needs.index(max(needs))] += 1
    return shares


class Balanced:
    """The shipped balancer and fleet rules.

    Args:
        roll_out_weight: As in the settings.
        buffer_weight: As in the settings.
    """

    def __init__(self, roll_out_weight: float, buffer_weight: float) -> None:
        self._catalogue = _catalogue(roll_out_weight, buffer_weight)
        self._fleet = fleet.Fleet()
        for vm, declared in self._catalogue.vms.items():
            self._apply(fleet.Enrol(vm, declared.pool, 1), 0)
        self._balancer = balancing.Balancer()
        self._queues = {pool: _Queue() for pool in self._catalogue.pools}
        self._outcome = Outcome()

    def run(self, arrivals: list[list[float]]) -> Outcome:
        """Run a trace."""
        for second, row in enumerate(arrivals):
            now_ms = second * 1_000
            self._finish_moves(now_ms)
            for arriving, pool in zip(row, self._queues, strict=True):
                slots = self._slots(pool)
                self._queues[pool].second(arriving, slots, self._outcome)
                self._observe(pool, arriving, slots, now_ms)
            if second % _OBSERVE_EVERY_S == 0:
                self._move(now_ms)
        return self._outcome

    def _observe(
        self, pool: ids.PoolId, arriving: float, slots: int, now_ms: int
    ) -> None:
        running = min(slots, int(arriving + self._queues[pool].backlog))
        waiting_ms = self._queues[pool].backlog * 1_000
        load = balancing.PoolLoad(pool, running, waiting_ms, slots)
        self._balancer.observe(load, now_ms)

    def _move(self, now_ms: int) -> None:
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
    plain: changes.JsonObject = {
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
    return changes.validate_and_resolve(ids.Revision(1), plain).ok.catalogue


def measure(seed: int) -> str:
    """Run every policy and return the table."""
    arrivals = trace(seed)
    total = sum(map(sum, arrivals))
    runs = {"static pools": static(arrivals)}
    for name, weights in _SITES.items():
        label = f"ours, {name}'s weights {weights[0]:.0f}:{weights[1]:.0f}"
        runs[label] = Balanced(*weights).run(arrivals)
    runs["hindsight, free moves each minute"] = hindsight(arrivals)
    rows = [
        (
            name,
            f"{run.idle_slot_s:.0f}",
            f"{100 * run.lost_slot_s / total:.2f}",
            run.moves,
        )
        for name, run in runs.items()
    ]
    title = "D. Moves: two hours, five pools of six VMs, the last one lends"
    headings = ("policy", "idle slot-s", "lost work %", "moves")
    return tables.table(title, headings, rows)
