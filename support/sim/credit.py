"""What a day was worth to its callers, and what it cost."""

import collections
import dataclasses

from support.sim import fleet as fleet_module
from support.sim import oracle as oracle_module
from support.sim import truth as truth_module
from wagtailtiller.jobs import model

# A job is worth this much and the rest by its size against the mean.
_BASE = 0.3
_MOST_SIZE = 4.0
# Later than this many times the objective, a job is worth nothing.
_LATE_FACTOR = 3.0
# All jobs that last count as one kind.
_LONG_RUNNING = "lasting"


@dataclasses.dataclass(frozen=True)
class Prices:
    """What things cost, and how much the worst kind of job counts.

    Attributes:
        machine_s: A second of a machine in a pool.
        move: A move.
        waste_core_s: A second of a core's work thrown away.
        worst_kind: The weight of the worst-served kind of job.
    """

    machine_s: float = 0.096
    move: float = 0.11
    waste_core_s: float = 0.0096
    worst_kind: float = 0.15


@dataclasses.dataclass(frozen=True)
class Report:
    """A day in figures; shares are of the credit that was owed.

    Attributes:
        served: Credit earned.
        machines: Price of machine time in pools.
        moves: Price of moves.
        waste: Price of work thrown away.
        refused: Jobs refused for good.
        late: Jobs that ended late, in part or for nothing.
        jobs: All jobs that end and could be done.
        move_count: How many moves.
        machine_s: Machine time in pools.
        by_kind: Credit earned by kind.
        worst_kind: The weight of the worst-served kind.
    """

    served: float
    machines: float
    moves: float
    waste: float
    refused: int
    late: int
    jobs: int
    move_count: int
    machine_s: float
    by_kind: dict[str, float]
    worst_kind: float

    def worth(self) -> float:
        """Return the credit less the prices."""
        prices = self.machines + self.moves + self.waste
        worst = min(self.by_kind.values())
        served = self.served + self.worst_kind * (worst - self.served)
        return served - prices


def report(
    jobs: truth_module.Jobs,
    late_shares: dict[str, float],
    fleet: fleet_module.Fleet,
    oracle: oracle_module.Oracle,
    prices: Prices,
) -> Report:
    """Value a day.

    Args:
        jobs: The jobs and what became of them.
        late_shares: What a late job is worth, by kind.
        fleet: The machines.
        oracle: Knows what was thrown away.
        prices: What things cost.
    """
    ending = [t for t in jobs.all() if not t.long_running and not t.fails]
    means = _mean_work(ending)
    owed: dict[str, float] = collections.defaultdict(float)
    earned: dict[str, float] = collections.defaultdict(float)
    refused = 0
    late = 0
    for sim_job in ending:
        size = sim_job.work_core_ms() / means[sim_job.kind]
        worth = sim_job.worth * (_BASE + (1 - _BASE) * min(size, _MOST_SIZE))
        owed[sim_job.kind] += worth
        share = _share(sim_job, late_shares[sim_job.kind])
        earned[sim_job.kind] += worth * share
        refused += not sim_job.accepted_ms
        late += bool(sim_job.accepted_ms) and share < 1
    for sim_job in jobs.all():
        if sim_job.long_running:
            owed[_LONG_RUNNING] += sim_job.worth * len(
                sim_job.availability_samples
            )
            earned[_LONG_RUNNING] += sim_job.worth * sum(
                sim_job.availability_samples
            )
    total = sum(owed.values()) or 1.0
    fleet.count_machine_time()
    machine_s = fleet.pooled_machine_ms / 1_000
    return Report(
        served=sum(earned.values()) / total,
        machines=machine_s * prices.machine_s / total,
        moves=fleet.moves * prices.move / total,
        waste=oracle.waste_core_ms / 1_000 * prices.waste_core_s / total,
        refused=refused,
        late=late,
        jobs=len(ending),
        move_count=fleet.moves,
        machine_s=machine_s,
        by_kind={kind: earned[kind] / owed[kind] for kind in owed},
        worst_kind=prices.worst_kind,
    )


def _mean_work(sim_jobs: list[truth_module.SimJob]) -> dict[str, float]:
    works: dict[str, list[float]] = collections.defaultdict(list)
    for sim_job in sim_jobs:
        works[sim_job.kind].append(sim_job.work_core_ms())
    return {kind: sum(values) / len(values) for kind, values in works.items()}


def _share(sim_job: truth_module.SimJob, late_share: float) -> float:
    if sim_job.final_state is not model.JobState.COMPLETED:
        return 0.0
    took_ms = sim_job.final_state_ms - sim_job.sent_ms
    objective_ms = sim_job.objective_ms()
    if took_ms <= objective_ms:
        return 1.0
    return late_share if took_ms <= _LATE_FACTOR * objective_ms else 0.0
