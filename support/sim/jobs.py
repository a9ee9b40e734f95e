"""What only the simulation knows of its jobs: how they really behave."""

import dataclasses

from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue


@dataclasses.dataclass
class SimJob:
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
        self._sim_jobs: dict[model.JobId, SimJob] = {}

    def add(self, sim_job: SimJob) -> None:
        """Take a job in."""
        self._sim_jobs[sim_job.job] = sim_job

    def get(self, job: model.JobId) -> SimJob | None:
        """Return a job; None if nobody has sent it."""
        return self._sim_jobs.get(job)

    def all(self) -> list[SimJob]:
        """Return all jobs."""
        return list(self._sim_jobs.values())

    def step(self, task: model.TaskId) -> model.Step | None:
        """Return the step that a task belongs to."""
        sim_job = self._sim_jobs.get(task.job)
        return sim_job.spec.steps[task.step] if sim_job is not None else None


def pool_of(sim_job: SimJob) -> ids.PoolId:
    """Return the pool that serves a job's queue."""
    return sim_job.queue.pool
