"""One job and its tasks: what may start, and what an end means.

No I/O and no clock: times are passed in.
"""

from collections.abc import Iterator
import dataclasses
import enum

from wagtailtiller import ids
from wagtailtiller.jobs import model

# Starts that a former owner may have ordered without anybody knowing.
_RUN_GAP = 32


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"


class RunPhase(enum.Enum):
    """What the owner knows of a run."""

    STARTING = "starting"
    UNCERTAIN = "uncertain"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclasses.dataclass(slots=True)
class Run:
    """One start of a task on one VM.

    Attributes:
        task: What runs.
        number: Rises with each start of the task.
        vm: Where.
        phase: What is known of it.
        started_ms: When it was ordered, on the owner's clock.
        confirmed_ms: When its start was first known, on the owner's clock.
        percent: What its VM listed: progress, or the share at work.
        speed_percent: The share of its speed that it was last allowed.
        progress_ms: When its progress last changed, on the VM's clock.
        listed_ms: When it was last listed, on the VM's clock.
        usage: Tail latency in ms of a serving task, else processor use.
        stop_sent_ms: When a stop was last ordered; 0: never.
    """

    task: "Task"
    number: int
    vm: ids.VmId
    phase: RunPhase
    started_ms: int
    confirmed_ms: int = 0
    percent: int = 0
    speed_percent: int = 100
    progress_ms: int = 0
    listed_ms: int = 0
    usage: int = 0
    stop_sent_ms: int = 0


@dataclasses.dataclass(slots=True)
class Task:
    """One task of one occurrence.

    Attributes:
        id: Its name.
        step: What it asks for.
        done: It has ended well.
        failed_runs: The runs that have failed; each is an attempt. A VM may
            list one again to a successor, and in any order.
        last_run: The highest run number known.
        checkpoint: What the last run saved; empty for none.
        run: The run that is under way, if any.
        failed_vms: VMs on which a run of it has failed.
    """

    id: model.TaskId
    step: model.Step
    done: bool = False
    failed_runs: set[int] = dataclasses.field(default_factory=set)
    last_run: int = 0
    checkpoint: str = ""
    run: Run | None = None
    failed_vms: set[ids.VmId] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class StepRun:
    """A step of one occurrence.

    Attributes:
        number: The step's place in the job.
        step: What it asks for.
        tasks: All its tasks.
        open_count: How many tasks are not done.
    """

    number: int
    step: model.Step
    tasks: list[Task]
    open_count: int

    def idle_tasks(self) -> list[Task]:
        """Return the tasks that wait for a start."""
        return [t for t in self.tasks if not t.done and t.run is None]


class Job:
    """A job that was accepted.

    Attributes:
        id: The caller's name for it.
        queue: Where it was sent.
        spec: What it consists of.
        accepted_wall_ms: When it was accepted, Unix milliseconds.
        accepted_epoch: The owner's epoch at its acceptance.
        state: What callers are told.
        started: A task has been started at some time.
    """

    def __init__(
        self,
        job_id: model.JobId,
        queue: ids.QueueId,
        spec: model.JobSpec,
        accepted_wall_ms: int,
        accepted_epoch: int,
    ) -> None:
        self.id = job_id
        self.queue = queue
        self.spec = spec
        self.accepted_wall_ms = accepted_wall_ms
        self.accepted_epoch = accepted_epoch
        self.state = model.JobState.QUEUED
        self.started = False
        self.cancelled_ms = 0
        self._occurrences: dict[int, list[StepRun]] = {}
        self._finished_occurrences: set[int] = set()

    @property
    def long_running(self) -> bool:
        """Whether any of its tasks run until the job is cancelled."""
        return any(step.long_running for step in self.spec.steps)

    def is_final(self) -> bool:
        """Return whether nothing of it starts any more."""
        return self.state in model.FINAL_STATES

    def steps(self, occurrence: int) -> list[StepRun]:
        """Return an occurrence's steps, made at first use."""
        steps = self._occurrences.get(occurrence)
        if steps is None:
            steps = [
                self._new_step(occurrence, number, step)
                for number, step in enumerate(self.spec.steps)
            ]
            self._occurrences[occurrence] = steps
        return steps

    def open_occurrences(self, wall_ms: int) -> Iterator[int]:
        """Yield the occurrences that are due and not finished."""
        for number in range(self.spec.occurrences()):
            if self.spec.due_ms(number) > wall_ms:
                return
            if number not in self._finished_occurrences:
                yield number

    def next_due_ms(self, wall_ms: int) -> int | None:
        """Return when the next occurrence is due, Unix milliseconds."""
        for number in range(self.spec.occurrences()):
            due_ms = self.spec.due_ms(number)
            if due_ms > wall_ms:
                return due_ms
        return None

    def ready_steps(self, wall_ms: int) -> Iterator[StepRun]:
        """Yield the steps whose predecessors are done and that are not."""
        if self.is_final():
            return
        for occurrence in self.open_occurrences(wall_ms):
            steps = self.steps(occurrence)
            for step_run in steps:
                if step_run.open_count and self._may_begin(step_run, steps):
                    yield step_run

    def task(self, task_id: model.TaskId) -> Task | None:
        """Find a task by its name; None if the job has no such task."""
        if not 0 <= task_id.occurrence < self.spec.occurrences():
            return None
        if not 0 <= task_id.step < len(self.spec.steps):
            return None
        if not 0 <= task_id.position < self.spec.steps[task_id.step].task_count:
            return None
        return self.steps(task_id.occurrence)[task_id.step].tasks[
            task_id.position
        ]

    def remaining_critical_path_ms(self) -> int:
        """Return the estimated time of the longest chain yet to be started.

        Steps whose tasks all run or are done count as nothing.
        """
        finish_ms: list[int] = []
        for step_run in self.steps(0):
            start_ms = max(
                (finish_ms[earlier] for earlier in step_run.step.after),
                default=0,
            )
            waits = any(not (t.done or t.run) for t in step_run.tasks)
            own_ms = step_run.step.estimate_ms if waits else 0
            finish_ms.append(start_ms + own_ms)
        return max(finish_ms, default=0)

    def next_run_number(self, task: Task, epoch: int) -> int:
        """Return a run number above all that were ever used for a task.

        Args:
            task: What is to be started.
            epoch: The present owner's epoch.
        """
        unknown_numbers = _RUN_GAP * max(0, epoch - self.accepted_epoch)
        return max(task.last_run, unknown_numbers) + 1

    def note_done(self, task: Task) -> None:
        """Take note that a task, or its whole gang, has ended well."""
        step_run = self.steps(task.id.occurrence)[task.id.step]
        members = step_run.tasks if task.step.gang else [task]
        for member in members:
            if not member.done:
                member.done = True
                member.checkpoint = ""
                step_run.open_count -= 1
        self._complete_occurrence(task.id.occurrence)

    def note_failure(
        self, task: Task, run_number: int, max_attempts: int
    ) -> None:
        """Count a run that failed; the job fails after the last attempt.

        Args:
            task: What failed.
            run_number: The run.
            max_attempts: How many runs of a task may fail.
        """
        if task.step.long_running:
            return
        step_run = self.steps(task.id.occurrence)[task.id.step]
        members = step_run.tasks if task.step.gang else [task]
        for member in members:
            member.failed_runs.add(run_number)
        if len(task.failed_runs) >= max_attempts and not self.is_final():
            self.state = model.JobState.FAILED

    def cancel(self, now_ms: int) -> None:
        """Let nothing of the job start any more."""
        if not self.is_final():
            self.state = model.JobState.CANCELLED
            self.cancelled_ms = now_ms

    def note_started(self) -> None:
        """Take note that a task has been started."""
        self.started = True
        if self.state is model.JobState.QUEUED:
            self.state = model.JobState.RUNNING

    def done_tasks(self) -> Iterator[Task]:
        """Yield the tasks that have ended well."""
        for steps in self._occurrences.values():
            for step_run in steps:
                yield from (task for task in step_run.tasks if task.done)

    def failed_tasks(self) -> Iterator[Task]:
        """Yield the tasks with failed ends."""
        for steps in self._occurrences.values():
            for step_run in steps:
                yield from (t for t in step_run.tasks if t.failed_runs)

    def _new_step(
        self, occurrence: int, number: int, step: model.Step
    ) -> StepRun:
        tasks = [
            Task(model.TaskId(self.id, occurrence, number, index), step)
            for index in range(step.task_count)
        ]
        return StepRun(number, step, tasks, len(tasks))

    def _may_begin(self, step_run: StepRun, steps: list[StepRun]) -> bool:
        return all(
            steps[number].open_count == 0 for number in step_run.step.after
        )

    def _complete_occurrence(self, occurrence: int) -> None:
        if any(step.open_count for step in self.steps(occurrence)):
            return
        self._finished_occurrences.add(occurrence)
        finished = len(self._finished_occurrences)
        if finished == self.spec.occurrences() and not self.is_final():
            self.state = model.JobState.COMPLETED
