"""What only the simulation knows of its jobs: how they really behave."""

import dataclasses

from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue


@dataclasses.dataclass
class Truth:
    """A job as it really is, and what its caller has seen.

    Attributes:
        job: The caller's name for it.
        queue: Where it is sent.
        spec: What the caller says it consists of.
        kind: Jobs of one kind are valued against one another.
        worth: What it is worth when it is on time.
        run_ms: How long each task of each step really takes.
        fails: Every run of it fails.
        sent_ms: When it was first sent.
        stay_ms: For a job that lasts: how long until it is cancelled.
        accepted_ms: When its caller was first told that it is accepted.
        rejected: Its caller was told each time that it does not run.
        cancel_sent_ms: When its caller first cancelled it.
        cancel_acked_ms: When its caller was told that it is cancelled.
        shares_at_work: For a job that lasts: the share of its tasks at work,
            looked at every now and then.
        shown: The final state in the store; None before.
        shown_ms: Since when.
    """

    job: model.JobId
    queue: catalogue.Queue
    spec: model.JobSpec
    kind: str
    worth: float
    run_ms: list[list[int]]
    fails: bool = False
    sent_ms: int = 0
    stay_ms: int = 0
    accepted_ms: int = 0
    rejected: bool = False
    cancel_sent_ms: int = 0
    cancel_acked_ms: int = 0
    shares_at_work: list[float] = dataclasses.field(default_factory=list)
    shown: model.JobState | None = None
    shown_ms: int = 0

    @property
    def long_running(self) -> bool:
        """Whether it runs until it is cancelled."""
        return any(step.long_running for step in self.spec.steps)

    def is_open(self) -> bool:
        """Return whether it was accepted and has still to end."""
        return (
            bool(self.accepted_ms) and not self.long_running and not self.shown
        )

    def objective_ms(self) -> int:
        """Return how long it may take and still be on time."""
        ends: list[int] = []
        for step, times in zip(self.spec.steps, self.run_ms, strict=True):
            begin = max((ends[earlier] for earlier in step.after), default=0)
            ends.append(begin + max(times))
        return int(self.queue.stretch * max(ends)) + self.queue.slack_ms

    def work_core_ms(self) -> float:
        """Return the processor work that it really takes."""
        return sum(
            step.cpu_millicores / 1_000 * sum(times)
            for step, times in zip(self.spec.steps, self.run_ms, strict=True)
        )


class Jobs:
    """All jobs of a day."""

    def __init__(self) -> None:
        self._truths: dict[model.JobId, Truth] = {}

    def add(self, truth: Truth) -> None:
        """Take a job in."""
        self._truths[truth.job] = truth

    def get(self, job: model.JobId) -> Truth | None:
        """Return a job; None if nobody has sent it."""
        return self._truths.get(job)

    def all(self) -> list[Truth]:
        """Return all jobs."""
        return list(self._truths.values())

    def step(self, task: model.TaskId) -> model.Step | None:
        """Return the step that a task belongs to."""
        truth = self._truths.get(task.job)
        return truth.spec.steps[task.step] if truth is not None else None


def pool_of(truth: Truth) -> ids.PoolId:
    """Return the pool that serves a job's queue."""
    return truth.queue.pool
