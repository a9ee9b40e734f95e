"""What a caller asks for: a job of steps, and the names of its parts."""

import enum
from typing import NamedTuple
from typing import NewType

import msgspec

JobId = NewType("JobId", str)


class TaskId(NamedTuple):
    """Names one task.

    Attributes:
        job: The job that it belongs to.
        occurrence: Which repetition of the job, from 0.
        step: The step's place in the job, from 0.
        position: The task's place in the step, from 0.
    """

    job: JobId
    occurrence: int
    step: int
    position: int


class JobState(enum.Enum):
    """What a caller is told of its job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset(
    {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED}
)


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tasks of one kind.

    Attributes:
        task_count: How many tasks it has.
        cpu_millicores: Processor share of one task.
        memory_mb: Memory of one task.
        gpu_count: Accelerators of one task.
        estimate_ms: The caller's rough guess of one task's run time.
        after: Steps that must be done before it begins.
        checkpointing: Tasks can resume from what they saved.
        gang: Tasks run only all together, under one run number.
        same_rack: Tasks are slower when spread over racks.
        required_label: A VM needs this label; empty for none.
        near_rack: Tasks are slower on any other rack; empty for none.
        max_per_vm: How many tasks one VM may run at once; 0 for any.
        speculative: Several copies of a task may run at once.
        long_running: Tasks run until the job is cancelled.
        image: What the tasks run; tasks of one image behave alike.
        tail_target_ms: Limit of the tail latency of a serving task; 0: none.
        filler: The processor share is taken from what others leave unused.
        max_unavailable: How many tasks may be taken away at once; None: any.
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
    """What a job consists of.

    Attributes:
        payload: Handed to every task as it is.
        steps: In the caller's order.
        repeat_count: How many times the steps run; 0 for once, at once.
        first_due_ms: When occurrence 0 is due, Unix milliseconds.
        interval_ms: Time between two occurrences.
    """

    payload: str
    steps: tuple[Step, ...]
    repeat_count: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.repeat_count)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due, Unix milliseconds; 0: at once."""
        if not self.repeat_count:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms

    def fault(self) -> str:
        """Say what is wrong with the job; empty if nothing is."""
        if not self.steps:
            return "steps: at least one is needed"
        for number, step in enumerate(self.steps):
            if step.task_count < 1:
                return f"steps.{number}.count: must be at least 1"
            if any(not 0 <= earlier < number for earlier in step.after):
                return f"steps.{number}.after: must name earlier steps"
        return ""

    def critical_path_ms(self) -> int:
        """Return the estimated time of the longest chain of steps."""
        finish_ms: list[int] = []
        for step in self.steps:
            start_ms = max(
                (finish_ms[earlier] for earlier in step.after), default=0
            )
            finish_ms.append(start_ms + step.estimate_ms)
        return max(finish_ms, default=0)

    def work_core_ms(self) -> float:
        """Return the estimated processor work of all occurrences."""
        once = sum(
            step.task_count * step.cpu_millicores * step.estimate_ms / 1_000
            for step in self.steps
            if not step.long_running
        )
        return once * self.occurrences()
