"""The load of a day: who sends which jobs, and how they really behave.

Demand turns: each queue in its time asks several times its mean for some
seconds, and next to nothing in between.
"""

import dataclasses
import math
import random

from support.sim import jobs as jobs_module
from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue

# A queue's rate outside its turn, against its mean.
_REST = 0.05
# Jobs that last come at the beginning of a day.
_LONG_RUNNING_BY_MS = 1_000


@dataclasses.dataclass(frozen=True)
class Spread:
    """A log-normal size that is cut at its top."""

    mean: float
    spread: float
    most: float

    def draw(self, rng: random.Random) -> float:
        """Return one size."""
        mu = math.log(self.mean) - self.spread**2 / 2
        return min(self.most, rng.lognormvariate(mu, self.spread))


@dataclasses.dataclass(frozen=True)
class Kind:
    """Jobs of one kind.

    Attributes:
        name: Its name; its queue has the same.
        pool: Whose VMs serve it.
        worth: What a job of mean size is worth on time.
        late_share: The share of it that a late one is worth.
        per_s: How many come in a second on the mean, of those that end.
        count: How many there are in all, of those that last.
        steps: How many steps a job has.
        width: How many tasks a step has.
        run_ms: How long a task runs.
        cpu_millicores: What a task takes.
        memory_mb: What a task takes.
        uneven: How much the tasks of a step differ.
        estimate_off: How much the callers' guesses are off.
        poison: The share of jobs that fail wherever they run.
        checkpointing: The share of jobs whose tasks save their progress.
        max_attempts: A task that failed so often fails its job.
        long_running: Its jobs last until they are cancelled.
        stay_ms: How long they last.
        max_per_vm: How many tasks of a step one VM may run; 0 for any.
        may_miss: The share of their tasks that may be taken away.
    """

    name: str
    pool: ids.PoolId
    worth: float
    late_share: float
    per_s: float
    steps: Spread
    width: Spread
    run_ms: Spread
    cpu_millicores: Spread
    memory_mb: Spread
    count: int = 0
    uneven: float = 0.3
    estimate_off: float = 0.2
    poison: float = 0.0
    checkpointing: float = 0.0
    max_attempts: int = 3
    priority: int = 0
    stretch: float = 1.6
    slack_ms: int = 600
    long_running: bool = False
    stay_ms: Spread | None = None
    max_per_vm: int = 0
    may_miss: float = 0.0

    def queue(self) -> catalogue.Queue:
        """Return the queue as operators declare it."""
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
class Turns:
    """When a queue's turn is.

    Attributes:
        period_ms: How long one turn lasts.
        phases: How many queues take turns.
        times: How many times its mean a queue asks in its turn.
    """

    period_ms: int
    phases: int
    times: float

    def rate(self, mean_per_s: float, phase: int, at_ms: float) -> float:
        """Return how many jobs come in a second."""
        turn = int(at_ms // self.period_ms) % self.phases
        return mean_per_s * (self.times if turn == phase else _REST)


def day(
    kinds: list[Kind],
    turns: Turns,
    length_ms: int,
    rng: random.Random,
) -> list[tuple[int, jobs_module.SimJob]]:
    """Return a day's jobs, and when each is sent.

    Args:
        kinds: Who sends; those that end take turns in their order.
        turns: When whose turn is.
        length_ms: How long jobs are sent.
        rng: Decides.
    """
    rows: list[tuple[int, jobs_module.SimJob]] = []
    ending = [kind for kind in kinds if not kind.long_running]
    for phase, kind in enumerate(ending):
        at_ms = 0.0
        most = kind.per_s * turns.times
        while True:
            at_ms += rng.expovariate(most) * 1_000
            if at_ms >= length_ms:
                break
            if rng.random() * most <= turns.rate(kind.per_s, phase, at_ms):
                rows.append((int(at_ms), _job(kind, len(rows), rng)))
    for kind in kinds:
        if kind.long_running:
            for _ in range(kind.count):
                at_ms = rng.uniform(0, _LONG_RUNNING_BY_MS)
                rows.append((int(at_ms), _job(kind, len(rows), rng)))
    rows.sort(key=lambda row: row[0])
    return rows


def _job(kind: Kind, number: int, rng: random.Random) -> jobs_module.SimJob:
    step_count = max(1, round(kind.steps.draw(rng)))
    steps = []
    times = []
    checkpointing = rng.random() < kind.checkpointing
    for place in range(step_count):
        tasks = max(1, round(kind.width.draw(rng)))
        mean_ms = kind.run_ms.draw(rng)
        guess = mean_ms * rng.lognormvariate(0, kind.estimate_off)
        steps.append(
            model.Step(
                tasks,
                cpu_millicores=int(kind.cpu_millicores.draw(rng)),
                memory_mb=int(kind.memory_mb.draw(rng)),
                estimate_ms=max(1, int(guess)),
                after=(place - 1,) if place else (),
                checkpointing=checkpointing,
                long_running=kind.long_running,
                max_per_vm=kind.max_per_vm,
                max_unavailable=(
                    max(1, int(kind.may_miss * tasks))
                    if kind.long_running
                    else None
                ),
            )
        )
        uneven = [rng.lognormvariate(0, kind.uneven) for _ in range(tasks)]
        times.append([max(20, int(mean_ms * each)) for each in uneven])
    return jobs_module.SimJob(
        model.JobId(f"{number:016x}"),
        kind.queue(),
        model.JobSpec(f"payload-{number}", tuple(steps)),
        kind.name,
        kind.worth,
        times,
        fails=rng.random() < kind.poison,
        stay_ms=int(kind.stay_ms.draw(rng)) if kind.stay_ms else 0,
    )
