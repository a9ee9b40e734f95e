"""Ground truth of simulated jobs: behaviour that the product cannot see."""

import dataclasses

from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue


@dataclasses.dataclass
class SimJob:
    """A job with its actual behaviour and what its caller has observed.

    Times are readings of the simulation's clock; 0 means that the event has
    not happened.

    Attributes:
        job: Identifier that the caller has chosen.
        queue: Queue that the job is sent to.
        spec: Specification that the caller submits.
        kind: Name of the job kind; sizes are compared within a kind.
        worth: Value of a job of mean size that is on time.
        run_ms: Actual run time of each task, by step and position.
        fails: Whether every run of the job fails.
        crashing: Steps and positions of the tasks that crash each VM that
            starts them.
        sent_ms: When the job was first sent.
        lifetime_ms: Time from acceptance to cancellation of a long-running
            job; 0 for other jobs.
        accepted_ms: When the caller was first told that the job is accepted.
        rejected: Whether all submissions of the caller were refused.
        cancel_sent_ms: When the caller first sent a cancellation.
        cancel_acked_ms: When the cancellation was acknowledged.
        availability_samples: Shares of a long-running job's tasks that were
            available, sampled at regular intervals.
        final_state: Final state in the store; None before there is one.
        final_state_ms: When the final state was stored.
    """

    job: model.JobId
    queue: catalogue.Queue
    spec: model.JobSpec
    kind: str
    worth: float
    run_ms: list[list[int]]
    fails: bool = False
    crashing: frozenset[tuple[int, int]] = frozenset()
    sent_ms: int = 0
    lifetime_ms: int = 0
    accepted_ms: int = 0
    rejected: bool = False
    cancel_sent_ms: int = 0
    cancel_acked_ms: int = 0
    availability_samples: list[float] = dataclasses.field(default_factory=list)
    final_state: model.JobState | None = None
    final_state_ms: int = 0

    @property
    def long_running(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(step.long_running for step in self.spec.steps)

    def is_open(self) -> bool:
        """Return whether the job was accepted and has not ended yet.

        Long-running jobs never count as open, nor do jobs with crashing tasks,
        which are owed nothing.
        """
        return (
            bool(self.accepted_ms)
            and not self.long_running
            and not self.crashing
            and not self.final_state
        )

    def target_duration_ms(self) -> int:
        """Return the target duration, counted from the submission."""
        ends_ms: list[int] = []
        for step, run_ms in zip(self.spec.steps, self.run_ms, strict=True):
            start_ms = max(
                (ends_ms[earlier] for earlier in step.after), default=0
            )
            ends_ms.append(start_ms + max(run_ms))
        return int(self.queue.stretch * max(ends_ms)) + self.queue.slack_ms

    def work_core_ms(self) -> float:
        """Return the actual processor time of all tasks in core-ms."""
        return sum(
            step.cpu_millicores / 1_000 * sum(run_ms)
            for step, run_ms in zip(self.spec.steps, self.run_ms, strict=True)
        )


class Jobs:
    """All jobs of a simulated day, by identifier."""

    def __init__(self) -> None:
        self._sim_jobs: dict[model.JobId, SimJob] = {}

    def add(self, sim_job: SimJob) -> None:
        """Add a job."""
        self._sim_jobs[sim_job.job] = sim_job

    def get(self, job: model.JobId) -> SimJob | None:
        """Return a job; None if no caller has sent it."""
        return self._sim_jobs.get(job)

    def all(self) -> list[SimJob]:
        """Return all jobs."""
        return list(self._sim_jobs.values())

    def step(self, task: model.TaskId) -> model.Step | None:
        """Return the step of a task; None if its job was never sent."""
        sim_job = self._sim_jobs.get(task.job)
        return sim_job.spec.steps[task.step] if sim_job is not None else None
