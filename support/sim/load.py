"""Generates the jobs of a simulated day with their actual behaviour.

Demand is cyclic: each queue in turn has a peak of some seconds, in which jobs
arrive at several times the mean rate, and is nearly idle between its peaks.
"""

import dataclasses
import math
import random

from support.sim import truth as truth_module
from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue

# Arrival rate of a queue outside its peak, relative to its mean rate.
_OFF_PEAK_FACTOR = 0.05
# All long-running jobs are sent at the beginning of a day.
_LONG_RUNNING_WINDOW_MS = 1_000


@dataclasses.dataclass(frozen=True)
class CappedLogNormal:
    """Log-normal distribution whose samples are capped.

    Attributes:
        mean: Mean before capping.
        sigma: Standard deviation of the logarithm.
        maximum: Upper bound of the samples.
    """

    mean: float
    sigma: float
    maximum: float

    def sample(self, rng: random.Random) -> float:
        """Draw one sample."""
        mu = math.log(self.mean) - self.sigma**2 / 2
        return min(self.maximum, rng.lognormvariate(mu, self.sigma))


@dataclasses.dataclass(frozen=True)
class JobKind:
    """Jobs of one kind.

    Attributes:
        name: Name of the kind and of its queue.
        pool: Pool whose VMs run the tasks.
        worth: Value of a job of mean size that is on time.
        late_share: Share of the value that remains for a late job.
        per_s: Mean arrival rate in jobs per second; unused for long-running
            jobs.
        steps: Number of steps of a job.
        width: Number of tasks of a step.
        run_ms: Mean run time of the tasks of a step.
        cpu_millicores: Processor need of a task.
        memory_mb: Memory need of a task.
        count: Number of long-running jobs in the day.
        run_ms_sigma: Sigma of the log-normal factor by which the run times
            of a step's tasks differ.
        estimate_sigma: Sigma of the log-normal error of callers' estimates.
        failing_share: Share of jobs that fail on every VM.
        crashing_share: Share of jobs of which one task crashes each VM that
            starts it.
        checkpointing_share: Share of jobs whose tasks write checkpoints.
        max_attempts: Number of failed runs of a task after which its job fails.
        priority: Priority of the queue; 0 goes first.
        stretch: Factor of the target duration; it multiplies the duration of
            the critical path.
        slack_ms: Constant part of the target duration.
        long_running: Whether the jobs run until they are cancelled.
        lifetime_ms: Time until a long-running job is cancelled.
        max_per_vm: Most tasks of a step that one VM may run; 0 for no limit.
        max_unavailable_share: Share of a long-running job's tasks that may be
            unavailable at a time.
    """

    name: str
    pool: ids.PoolId
    worth: float
    late_share: float
    per_s: float
    steps: CappedLogNormal
    width: CappedLogNormal
    run_ms: CappedLogNormal
    cpu_millicores: CappedLogNormal
    memory_mb: CappedLogNormal
    count: int = 0
    run_ms_sigma: float = 0.3
    estimate_sigma: float = 0.2
    failing_share: float = 0.0
    crashing_share: float = 0.0
    checkpointing_share: float = 0.0
    max_attempts: int = 3
    priority: int = 0
    stretch: float = 1.6
    slack_ms: int = 600
    long_running: bool = False
    lifetime_ms: CappedLogNormal | None = None
    max_per_vm: int = 0
    max_unavailable_share: float = 0.0

    def queue(self) -> catalogue.Queue:
        """Return the queue declaration of this kind."""
        return catalogue.Queue(
            ids.QueueId(self.name),
            "host",
            f"/{self.name}/",
            self.pool,
            self.priority,
            self.max_attempts,
            self.stretch,
            self.slack_ms,
        )


@dataclasses.dataclass(frozen=True)
class DemandCycle:
    """Schedule by which queues have their peaks in turn.

    Attributes:
        period_ms: Duration of one peak.
        phases: Number of queues that take turns.
        peak_factor: Arrival rate during a peak, relative to the mean rate.
    """

    period_ms: int
    phases: int
    peak_factor: float

    def rate(self, mean_per_s: float, phase: int, at_ms: float) -> float:
        """Return the arrival rate in jobs per second.

        Args:
            mean_per_s: Mean arrival rate of the queue.
            phase: Index of the queue in the cycle.
            at_ms: Time since the start of the day.
        """
        active_phase = int(at_ms // self.period_ms) % self.phases
        return mean_per_s * (
            self.peak_factor if active_phase == phase else _OFF_PEAK_FACTOR
        )


def generate(
    kinds: list[JobKind],
    demand: DemandCycle,
    length_ms: int,
    rng: random.Random,
) -> list[tuple[int, truth_module.SimJob]]:
    """Generate the jobs of a day.

    Args:
        kinds: Kinds of jobs; those that are not long-running have their peaks
            in this order.
        demand: Schedule of the peaks.
        length_ms: Time during which jobs are sent.
        rng: Random source of the jobs and their arrivals.

    Returns:
        Pairs of a time, relative to the start of the day, and the job that is
        sent at that time; sorted by time.
    """
    arrivals: list[tuple[int, truth_module.SimJob]] = []
    batch_kinds = [kind for kind in kinds if not kind.long_running]
    for phase, kind in enumerate(batch_kinds):
        at_ms = 0.0
        peak_per_s = kind.per_s * demand.peak_factor
        while True:
            at_ms += rng.expovariate(peak_per_s) * 1_000
            if at_ms >= length_ms:
                break
            if rng.random() * peak_per_s <= demand.rate(
                kind.per_s, phase, at_ms
            ):
                arrivals.append(
                    (int(at_ms), _make_job(kind, len(arrivals), rng))
                )
    for kind in kinds:
        if kind.long_running:
            for _ in range(kind.count):
                at_ms = rng.uniform(0, _LONG_RUNNING_WINDOW_MS)
                arrivals.append(
                    (int(at_ms), _make_job(kind, len(arrivals), rng))
                )
    arrivals.sort(key=lambda arrival: arrival[0])
    return arrivals


def _make_job(
    kind: JobKind, number: int, rng: random.Random
) -> truth_module.SimJob:
    step_count = max(1, round(kind.steps.sample(rng)))
    steps = []
    run_ms = []
    checkpointing = rng.random() < kind.checkpointing_share
    for index in range(step_count):
        task_count = max(1, round(kind.width.sample(rng)))
        mean_ms = kind.run_ms.sample(rng)
        estimate_ms = mean_ms * rng.lognormvariate(0, kind.estimate_sigma)
        steps.append(
            model.Step(
                task_count,
                cpu_millicores=int(kind.cpu_millicores.sample(rng)),
                memory_mb=int(kind.memory_mb.sample(rng)),
                estimate_ms=max(1, int(estimate_ms)),
                after=(index - 1,) if index else (),
                checkpointing=checkpointing,
                long_running=kind.long_running,
                max_per_vm=kind.max_per_vm,
                max_unavailable=(
                    max(1, int(kind.max_unavailable_share * task_count))
                    if kind.long_running
                    else None
                ),
            )
        )
        factors = [
            rng.lognormvariate(0, kind.run_ms_sigma) for _ in range(task_count)
        ]
        run_ms.append([max(20, int(mean_ms * factor)) for factor in factors])
    return truth_module.SimJob(
        model.JobId(f"{number:016x}"),
        kind.queue(),
        model.JobSpec(f"payload-{number}", tuple(steps)),
        kind.name,
        kind.worth,
        run_ms,
        fails=rng.random() < kind.failing_share,
        lifetime_ms=int(kind.lifetime_ms.sample(rng))
        if kind.lifetime_ms
        else 0,
        crashing=_draw_crashing_tasks(kind, run_ms, rng),
    )


def _draw_crashing_tasks(
    kind: JobKind, run_ms: list[list[int]], rng: random.Random
) -> frozenset[tuple[int, int]]:
    # Other kinds draw nothing, so that their days stay the same.
    if not kind.crashing_share or rng.random() >= kind.crashing_share:
        return frozenset()
    step = rng.randrange(len(run_ms))
    return frozenset({(step, rng.randrange(len(run_ms[step])))})
