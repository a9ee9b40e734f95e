"""The state of a job: which tasks may start, and how their ends change it.

The module does no I/O and reads no clock; callers pass the times in.
"""

from collections.abc import Iterator
import dataclasses
import enum
import functools

from wagtailtiller import ids
from wagtailtiller.jobs import model

# The store does not record starts. Each previous owner is assumed to have used
# at most this many run numbers of a task.
_UNRECORDED_RUNS_PER_EPOCH = 32


class EndKind(enum.Enum):
    """How a run ended.

    ``FAILED`` may be caused by the task or by its VM. ``BROKEN`` means that
    another task of the gang has ended, and ``ALONE`` that the other tasks of
    the gang did not start in time. ``LOST`` is a run that ended with its VM.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"


class RunPhase(enum.Enum):
    """What the owner knows about a run.

    ``UNCERTAIN`` means that the outcome of the start command is unknown.
    """

    STARTING = "starting"
    UNCERTAIN = "uncertain"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclasses.dataclass(slots=True)
class Run:
    """One start of a task on one VM.

    Attributes:
        task: Task that the run executes.
        number: Run number, which rises with each start of the task.
        vm: VM that executes the run.
        phase: What the owner knows about the run.
        started_ms: Time of the start command, on the owner's clock.
        confirmed_ms: Latest time at which the VM confirmed the run, on the
            owner's clock; 0 if it has not.
        percent: Progress that the VM last listed. A long-running task reports
            its start-up here and is available at 100.
        speed_percent: Share of its full speed that the run was last allowed.
        progress_ms: Time at which ``percent`` last changed, on the VM's clock.
        listed_ms: Time at which the VM last listed the run, on the VM's clock.
        usage: Tail latency in ms of a serving task, otherwise processor use.
        stop_sent_ms: Time of the last stop command, on the owner's clock; 0 if
            there was none.
        first_listed_ms: Time at which the VM first listed the run, on the VM's
            clock; 0 if it has not.
        first_percent: Progress at that time.
        peer_run_ms: Median run time of the same step's tasks on other VMs; 0
            if it is not known.
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
    first_listed_ms: int = 0
    first_percent: int = 0
    peer_run_ms: int = 0

    def observed_ms(self) -> int:
        """Return the time between the first and the last listing of the run."""
        return self.listed_ms - self.first_listed_ms

    def observed_percent(self) -> int:
        """Return the progress that the run has made in that time."""
        return self.percent - self.first_percent

    def projected_ms(self) -> int:
        """Return how long the whole task takes at the observed speed."""
        # Progress is listed in whole percents, rounded down.
        return self.observed_ms() * 100 // max(1, self.observed_percent())

    def time_left_ms(self) -> int:
        """Return how long the run still takes at the observed speed."""
        return self.projected_ms() * (100 - self.percent) // 100


@dataclasses.dataclass(slots=True)
class Task:
    """One task of one occurrence.

    Attributes:
        id: Id of the task.
        step: Step that defines the requirements of the task.
        done: Whether the task has succeeded.
        failed_runs: Numbers of the failed runs; each counts as an attempt. They
            are kept as a set because a VM may list a failed run again to the
            next owner, in any order.
        last_run: Highest known run number.
        checkpoint: Checkpoint that the last run saved; empty if there is none.
        run: Current run, if any.
        failed_vms: VMs on which a run of the task has failed or stalled.
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
        number: Index of the step in the job.
        step: Definition of the step.
        tasks: All tasks of the step.
        open_count: Number of tasks that are not done.
        run_times: VMs and durations, in ms, of the runs that have succeeded.
    """

    number: int
    step: model.Step
    tasks: list[Task]
    open_count: int
    run_times: list[tuple[ids.VmId, int]] = dataclasses.field(
        default_factory=list
    )

    def waiting_tasks(self) -> list[Task]:
        """Return the tasks that are neither done nor running."""
        return [t for t in self.tasks if not t.done and t.run is None]


class Job:
    """An accepted job.

    Attributes:
        id: Id that the caller chose.
        queue: Queue that the job was submitted to.
        spec: Definition of the job.
        accepted_wall_ms: Time of acceptance, in Unix milliseconds.
        accepted_epoch: Epoch of the owner that accepted the job.
        state: State that callers see.
        started: Whether any task has been started.
        cancelled_ms: Time of the cancellation, on the owner's clock; 0 if the
            job is not cancelled.
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
        # Derived values, which are computed again after a task has changed.
        self._startable_steps: list[StepRun] | None = None
        self._remaining_path_ms: int | None = None
        self._remaining_core_ms: float | None = None

    @functools.cached_property
    def long_running(self) -> bool:
        """Whether any step has tasks that run until the job is cancelled."""
        return any(step.long_running for step in self.spec.steps)

    @functools.cached_property
    def critical_path_ms(self) -> int:
        """Estimated duration of the critical path of the whole job."""
        return self.spec.critical_path_ms()

    def is_final(self) -> bool:
        """Return whether the job has ended, so that no more tasks start."""
        return self.state in model.FINAL_STATES

    def steps(self, occurrence: int) -> list[StepRun]:
        """Return the steps of an occurrence and create them on first use."""
        steps = self._occurrences.get(occurrence)
        if steps is None:
            steps = [
                self._new_step(occurrence, number, step)
                for number, step in enumerate(self.spec.steps)
            ]
            self._occurrences[occurrence] = steps
        return steps

    def open_occurrences(self, wall_ms: int) -> Iterator[int]:
        """Yield the indexes of the occurrences that are due and unfinished."""
        for number in range(self.spec.occurrences()):
            if self.spec.due_ms(number) > wall_ms:
                return
            if number not in self._finished_occurrences:
                yield number

    def next_due_ms(self, wall_ms: int) -> int | None:
        """Return when the next occurrence is due; None if there is none.

        Args:
            wall_ms: Current time, in Unix milliseconds.

        Returns:
            Unix milliseconds.
        """
        for number in range(self.spec.occurrences()):
            due_ms = self.spec.due_ms(number)
            if due_ms > wall_ms:
                return due_ms
        return None

    def ready_steps(self, wall_ms: int) -> Iterator[StepRun]:
        """Yield the unfinished steps whose predecessors are done."""
        if self.is_final():
            return
        for occurrence in self.open_occurrences(wall_ms):
            steps = self.steps(occurrence)
            for step_run in steps:
                if step_run.open_count and self._may_begin(step_run, steps):
                    yield step_run

    def startable_steps(self, wall_ms: int) -> list[StepRun]:
        """Return the ready steps that have tasks to start.

        Args:
            wall_ms: Current time, in Unix milliseconds.
        """
        if self.spec.repeat_count:
            # What is ready also depends on the time.
            return self._find_startable_steps(wall_ms)
        if self._startable_steps is None:
            self._startable_steps = self._find_startable_steps(wall_ms)
        return self._startable_steps

    def _find_startable_steps(self, wall_ms: int) -> list[StepRun]:
        return [
            step_run
            for step_run in self.ready_steps(wall_ms)
            if any(not t.done and t.run is None for t in step_run.tasks)
        ]

    def assign_run(self, task: Task, run: Run) -> None:
        """Make a run the current run of one of the job's tasks."""
        task.run = run
        self._discard_derived()

    def clear_run(self, task: Task) -> None:
        """Record that a task of the job has no current run."""
        task.run = None
        self._discard_derived()

    def _discard_derived(self) -> None:
        self._startable_steps = None
        self._remaining_path_ms = None
        self._remaining_core_ms = None

    def task(self, task_id: model.TaskId) -> Task | None:
        """Return a task by its id; None if the job does not have it."""
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
        """Return the estimated duration of the critical path that is left.

        Steps whose tasks are all running or done do not count.
        """
        if self._remaining_path_ms is None:
            self._remaining_path_ms = self._compute_remaining_path_ms()
        return self._remaining_path_ms

    def remaining_core_ms(self) -> float:
        """Return the estimated processor work of the tasks that are not done.

        The unit is one core for one millisecond. Long-running and repeated
        jobs have no estimate and count as 0.
        """
        if self._remaining_core_ms is None:
            self._remaining_core_ms = self._compute_remaining_core_ms()
        return self._remaining_core_ms

    def _compute_remaining_core_ms(self) -> float:
        if self.long_running or self.spec.repeat_count:
            return 0.0
        return sum(
            step_run.open_count
            * step_run.step.cpu_millicores
            * step_run.step.estimate_ms
            / 1_000
            for step_run in self.steps(0)
        )

    def _compute_remaining_path_ms(self) -> int:
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
        """Return a run number higher than any that the task has used.

        Args:
            task: Task to start.
            epoch: Epoch of the current owner.
        """
        unrecorded = _UNRECORDED_RUNS_PER_EPOCH * max(
            0, epoch - self.accepted_epoch
        )
        return max(task.last_run, unrecorded) + 1

    def mark_done(self, task: Task) -> None:
        """Record that a task has succeeded.

        The success of a gang member counts for the whole gang.
        """
        step_run = self.steps(task.id.occurrence)[task.id.step]
        members = step_run.tasks if task.step.gang else [task]
        for member in members:
            if not member.done:
                member.done = True
                member.checkpoint = ""
                step_run.open_count -= 1
        self._discard_derived()
        self._update_completion(task.id.occurrence)

    def record_failure(
        self, task: Task, run_number: int, max_attempts: int
    ) -> None:
        """Record a failed run; the job fails after the last attempt.

        Failures of long-running tasks are not counted.

        Args:
            task: Task whose run failed.
            run_number: Number of the failed run.
            max_attempts: Number of failed runs of one task after which the job
                fails.
        """
        if task.step.long_running:
            return
        step_run = self.steps(task.id.occurrence)[task.id.step]
        members = step_run.tasks if task.step.gang else [task]
        for member in members:
            member.failed_runs.add(run_number)
        if len(task.failed_runs) >= max_attempts and not self.is_final():
            self.state = model.JobState.FAILED
            self._discard_derived()

    def cancel(self, now_ms: int) -> None:
        """Cancel the job, unless it is final, so that no more tasks start.

        Args:
            now_ms: Current time, on the owner's clock.
        """
        if not self.is_final():
            self.state = model.JobState.CANCELLED
            self.cancelled_ms = now_ms
            self._discard_derived()

    def mark_started(self) -> None:
        """Record that a task has been started."""
        self.started = True
        if self.state is model.JobState.QUEUED:
            self.state = model.JobState.RUNNING

    def done_tasks(self) -> Iterator[Task]:
        """Yield the tasks that have succeeded."""
        for steps in self._occurrences.values():
            for step_run in steps:
                yield from (task for task in step_run.tasks if task.done)

    def failed_tasks(self) -> Iterator[Task]:
        """Yield the tasks that have failed runs."""
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

    def _update_completion(self, occurrence: int) -> None:
        if any(step.open_count for step in self.steps(occurrence)):
            return
        self._finished_occurrences.add(occurrence)
        finished = len(self._finished_occurrences)
        if finished == self.spec.occurrences() and not self.is_final():
            self.state = model.JobState.COMPLETED
