"""Scores a simulated day: value delivered to callers, less the costs."""

import collections
import dataclasses

from support.sim import fleet as fleet_module
from support.sim import oracle as oracle_module
from support.sim import truth as truth_module
from wagtailtiller.jobs import model

# Constant share of a job's value; the rest grows with the job's size, relative
# to the mean size of its kind, up to a limit.
_BASE_VALUE = 0.3
_MAX_RELATIVE_SIZE = 4.0
# A job whose latency exceeds this multiple of its target duration has no value.
_MAX_LATE_FACTOR = 3.0
# All long-running jobs count as one kind.
_LONG_RUNNING_KIND = "lasting"


@dataclasses.dataclass(frozen=True)
class Prices:
    """Prices in units of job value, and the weight of the worst-served kind.

    Attributes:
        machine_s: Price of a machine-second in a pool.
        move: Price of a machine move.
        waste_core_s: Price of a core-second of discarded work.
        worst_kind: Weight of the worst-served kind of job, from 0 to 1.
    """

    machine_s: float = 0.096
    move: float = 0.11
    waste_core_s: float = 0.0096
    worst_kind: float = 0.15


@dataclasses.dataclass(frozen=True)
class Report:
    """Figures of a simulated day.

    Credit and costs are shares of the credit owed, that is, of the value of
    all jobs if each is on time.

    Attributes:
        served: Credit earned.
        machines: Cost of machine time in pools.
        moves: Cost of machine moves.
        waste: Cost of discarded work.
        refused: Number of jobs that were never accepted.
        late: Number of accepted jobs that earned less than their full value.
        jobs: Number of jobs, except long-running jobs and jobs that always
            fail.
        move_count: Number of machine moves.
        machine_s: Machine time in pools in seconds.
        share_by_kind: Share of the credit owed that was earned, by kind.
        worst_kind: Weight of the worst-served kind.
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
    share_by_kind: dict[str, float]
    worst_kind: float

    def worth(self) -> float:
        """Return the weighted credit less the costs."""
        costs = self.machines + self.moves + self.waste
        lowest_share = min(self.share_by_kind.values())
        weighted_share = self.served + self.worst_kind * (
            lowest_share - self.served
        )
        return weighted_share - costs


def evaluate(
    jobs: truth_module.Jobs,
    late_shares: dict[str, float],
    fleet: fleet_module.Fleet,
    oracle: oracle_module.Oracle,
    prices: Prices,
) -> Report:
    """Evaluate a simulated day.

    Args:
        jobs: Jobs of the day with their outcomes.
        late_shares: Share of the value that remains for a late job, by kind.
        fleet: Fleet with its machine time and moves.
        oracle: Oracle with the amount of discarded work.
        prices: Prices and weights.
    """
    batch_jobs = [
        sim_job
        for sim_job in jobs.all()
        if not sim_job.long_running and not sim_job.fails
    ]
    mean_core_ms = _mean_core_ms(batch_jobs)
    owed: dict[str, float] = collections.defaultdict(float)
    earned: dict[str, float] = collections.defaultdict(float)
    refused = 0
    late = 0
    for sim_job in batch_jobs:
        relative_size = sim_job.work_core_ms() / mean_core_ms[sim_job.kind]
        worth = sim_job.worth * (
            _BASE_VALUE
            + (1 - _BASE_VALUE) * min(relative_size, _MAX_RELATIVE_SIZE)
        )
        owed[sim_job.kind] += worth
        earned_share = _earned_share(sim_job, late_shares[sim_job.kind])
        earned[sim_job.kind] += worth * earned_share
        refused += not sim_job.accepted_ms
        late += bool(sim_job.accepted_ms) and earned_share < 1
    for sim_job in jobs.all():
        if sim_job.long_running:
            owed[_LONG_RUNNING_KIND] += sim_job.worth * len(
                sim_job.availability_samples
            )
            earned[_LONG_RUNNING_KIND] += sim_job.worth * sum(
                sim_job.availability_samples
            )
    total_owed = sum(owed.values()) or 1.0
    fleet.update_machine_time()
    machine_s = fleet.pooled_machine_ms / 1_000
    return Report(
        served=sum(earned.values()) / total_owed,
        machines=machine_s * prices.machine_s / total_owed,
        moves=fleet.moves * prices.move / total_owed,
        waste=oracle.waste_core_ms / 1_000 * prices.waste_core_s / total_owed,
        refused=refused,
        late=late,
        jobs=len(batch_jobs),
        move_count=fleet.moves,
        machine_s=machine_s,
        share_by_kind={kind: earned[kind] / owed[kind] for kind in owed},
        worst_kind=prices.worst_kind,
    )


def _mean_core_ms(sim_jobs: list[truth_module.SimJob]) -> dict[str, float]:
    core_ms_by_kind: dict[str, list[float]] = collections.defaultdict(list)
    for sim_job in sim_jobs:
        core_ms_by_kind[sim_job.kind].append(sim_job.work_core_ms())
    return {
        kind: sum(core_ms) / len(core_ms)
        for kind, core_ms in core_ms_by_kind.items()
    }


def _earned_share(sim_job: truth_module.SimJob, late_share: float) -> float:
    if sim_job.final_state is not model.JobState.COMPLETED:
        return 0.0
    latency_ms = sim_job.final_state_ms - sim_job.sent_ms
    target_duration_ms = sim_job.target_duration_ms()
    if latency_ms <= target_duration_ms:
        return 1.0
    return (
        late_share
        if latency_ms <= _MAX_LATE_FACTOR * target_duration_ms
        else 0.0
    )
