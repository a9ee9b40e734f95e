"""Definition of a job as callers submit it, and ids of its parts."""

import enum
from typing import NamedTuple
from typing import NewType

import msgspec

JobId = NewType("JobId", str)

# Larger jobs would take the memory and the time of their pool's owner.
MAX_TASKS = 10_000


class TaskId(NamedTuple):
    """Id of a task.

    Attributes:
        job: Id of the job.
        occurrence: Index of the occurrence of the job, from 0.
        step: Index of the step in the job, from 0.
        position: Index of the task in the step, from 0.
    """

    job: JobId
    occurrence: int
    step: int
    position: int


class JobState(enum.Enum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset(
    {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED}
)


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """A group of tasks with the same requirements.

    Attributes:
        task_count: Number of tasks.
        cpu_millicores: Processor capacity that one task needs.
        memory_mb: Memory that one task needs.
        gpu_count: Number of GPUs that one task needs.
        estimate_ms: Rough estimate of the run time of one task, from the
            caller.
        after: Indexes of the steps that must be done before this one starts.
        checkpointing: Whether tasks can resume from a checkpoint.
        gang: Whether the tasks run only all together, under one run number.
        same_rack: Whether tasks run slower when they are spread over racks.
        required_label: Label that a VM must have; empty if there is none.
        near_rack: Rack outside which tasks run slower; empty if there is none.
        max_per_vm: Number of tasks that one VM may run at once; 0 for no limit.
        speculative: Whether several copies of a task may run at once.
        long_running: Whether tasks run until the job is cancelled.
        image: Image that the tasks run; tasks of one image behave alike.
        tail_target_ms: Limit on the tail latency of a serving task; 0 if there
            is none.
        filler: Whether the tasks only use processor time that other tasks leave
            idle.
        max_unavailable: Number of tasks that may be unavailable at once when
            tasks are moved; None for no limit.
    """

    task_count: int
    cpu_millicores: int = 0
    memory_mb: int = 0
    gpu_count: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    near_rack: str = ""
    max_per_vm: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    tail_target_ms: int = 0
    filler: bool = False
    max_unavailable: int | None = None


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """Definition of a job.

    Attributes:
        payload: Data that every task receives unchanged.
        steps: Steps in the order in which the caller gave them.
        repeat_count: Number of occurrences; 0 for a single one that is due
            immediately.
        first_due_ms: Time at which occurrence 0 is due, in Unix milliseconds.
        interval_ms: Time between two occurrences.
    """

    payload: str
    steps: tuple[Step, ...]
    repeat_count: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    def occurrences(self) -> int:
        """Return the number of occurrences."""
        return max(1, self.repeat_count)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due, in Unix milliseconds.

        The result is 0 for a job that is due immediately.
        """
        if not self.repeat_count:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms

    def due_count(self, wall_ms: int) -> int:
        """Return how many occurrences are due, which are the first ones.

        Args:
            wall_ms: Current time, in Unix milliseconds.
        """
        if not self.repeat_count:
            return 1
        elapsed_ms = wall_ms - self.first_due_ms
        if elapsed_ms < 0:
            return 0
        if not self.interval_ms:
            return self.repeat_count
        return min(self.repeat_count, elapsed_ms // self.interval_ms + 1)

    def validation_error(self) -> str:
        """Return what is invalid about the job; empty if it is valid."""
        if not self.steps:
            return "steps: at least one is needed"
        task_count = sum(step.task_count for step in self.steps)
        if task_count > MAX_TASKS:
            return f"steps: must have at most {MAX_TASKS} tasks in all"
        if self.repeat_count * task_count > MAX_TASKS and not self.interval_ms:
            return "interval_ms: must be above 0 for so many tasks"
        long_running = any(step.long_running for step in self.steps)
        if long_running and self.repeat_count * task_count > MAX_TASKS:
            # Each occurrence would run until the job is cancelled.
            return f"repeats: must give at most {MAX_TASKS} lasting tasks"
        for number, step in enumerate(self.steps):
            if step.task_count < 1:
                return f"steps.{number}.count: must be at least 1"
            if any(not 0 <= earlier < number for earlier in step.after):
                return f"steps.{number}.after: must name earlier steps"
        return ""

    def critical_path_ms(self) -> int:
        """Return the estimated duration of the critical path."""
        finish_ms: list[int] = []
        for step in self.steps:
            start_ms = max(
                (finish_ms[earlier] for earlier in step.after), default=0
            )
            finish_ms.append(start_ms + step.estimate_ms)
        return max(finish_ms, default=0)

    def work_core_ms(self) -> float:
        """Return the estimated processor work of all occurrences.

        Long-running steps are left out. The unit is one core for one
        millisecond.
        """
        once = sum(
            step.task_count * step.cpu_millicores * step.estimate_ms / 1_000
            for step in self.steps
            if not step.long_running
        )
        return once * self.occurrences()
