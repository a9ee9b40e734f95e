"""The state of a job: which tasks may start, and how their ends change it.

The module does no I/O and reads no clock; callers pass the times in.
"""

from collections.abc import Iterator
import functools

from wagtailtiller import ids
from wagtailtiller.jobs import finished_occurrences
from wagtailtiller.jobs import model
from wagtailtiller.jobs import task as task_module
from wagtailtiller.ports import catalogue

# More occurrences of a repeated job may be due. They wait, so that memory and
# the time of a plan do not grow with their number.
MAX_OPEN_TASKS = 2_000
# The store does not record starts. Each previous owner is assumed to have used
# at most this many run numbers of a task.
_UNRECORDED_RUNS_PER_EPOCH = 32
# A job is given up once this many VMs have crashed under one of its tasks. Two
# crashes may be a coincidence; each further one takes a VM from other jobs.
_MAX_CRASHES = 3
# At least so many of these must have confirmed the start of the task; the other
# starts may have found the VM ended.
_MIN_CERTAIN_CRASHES = 2
# A task may also crash each VM before it confirms the start.
_MAX_DOUBTFUL_CRASHES = 5


class Job:
    """An accepted job, or one that was withdrawn.

    Attributes:
        id: Id that the caller chose.
        queue: Queue that the job was submitted to.
        spec: Definition of the job.
        accepted_wall_ms: Time of acceptance, in Unix milliseconds.
        accepted_epoch: Epoch of the owner that accepted the job.
        organisation: Organisation that submitted the job; empty if its queue
            needs no API key.
        terms: What the job is entitled to: as its queue is declared, or was
            last declared. None for a job of an earlier version whose queue is
            not declared any more.
        address: Address of the queue, as far as it is known.
        finished: The occurrences whose tasks have all succeeded.
        max_open_tasks: Largest number of tasks of a repeated job that are held
            at once; one occurrence is held in any case.
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
        organisation: ids.OrganisationId = catalogue.NO_ORGANISATION,
        terms: catalogue.QueueTerms | None = None,
        path: str = "",
    ) -> None:
        self.id = job_id
        self.queue = queue
        self.spec = spec
        self.accepted_wall_ms = accepted_wall_ms
        self.accepted_epoch = accepted_epoch
        self.organisation = organisation
        self.terms = terms
        self.address = catalogue.QueueAddress(queue, path)
        self.state = model.JobState.QUEUED
        self.started = False
        self.cancelled_ms = 0
        self._occurrences: dict[int, list[task_module.StepRun]] = {}
        self.finished = finished_occurrences.FinishedOccurrences()
        self.max_open_tasks = MAX_OPEN_TASKS
        # Derived values, which are computed again after a task has changed.
        self._startable_steps: list[task_module.StepRun] | None = None
        self._remaining_path_ms: int | None = None
        self._remaining_core_ms: float | None = None
        self._remaining_memory_ms: float | None = None

    @functools.cached_property
    def long_running(self) -> bool:
        """Whether any step has tasks that run until the job is cancelled."""
        return any(step.long_running for step in self.spec.steps)

    @functools.cached_property
    def critical_path_ms(self) -> int:
        """Estimated duration of the critical path of the whole job."""
        return self.spec.critical_path_ms()

    @property
    def is_withdrawn(self) -> bool:
        """Whether the job was cancelled before it was stored.

        Its record only prevents that it is stored later, and is not shown.
        """
        return not self.spec.steps

    def is_final(self) -> bool:
        """Return whether the job has ended, so that no more tasks start."""
        return self.state in model.FINAL_STATES

    def steps(self, occurrence: int) -> list[task_module.StepRun]:
        """Return the steps of an occurrence and create them on first use.

        Those of a finished occurrence of a repeated job are not kept.
        """
        steps = self._occurrences.get(occurrence)
        if steps is None:
            steps = [
                self._new_step(occurrence, number, step)
                for number, step in enumerate(self.spec.steps)
            ]
            if occurrence in self.finished:
                _mark_all_done(steps)
            else:
                self._occurrences[occurrence] = steps
        return steps

    def open_occurrences(self, wall_ms: int) -> Iterator[int]:
        """Yield the occurrences that are due, unfinished and may be worked on.

        These are among a limited number from the first unfinished one on.
        """
        span = max(1, self.max_open_tasks // self._task_count)
        end = min(
            self.spec.due_count(wall_ms), self.finished.first_missing + span
        )
        for number in range(self.finished.first_missing, end):
            if number not in self.finished:
                yield number

    @functools.cached_property
    def _task_count(self) -> int:
        """Number of tasks of each occurrence."""
        return sum(step.task_count for step in self.spec.steps)

    def next_due_ms(self, wall_ms: int) -> int | None:
        """Return when the next occurrence is due; None if there is none.

        Args:
            wall_ms: Current time, in Unix milliseconds.

        Returns:
            Unix milliseconds.
        """
        due_count = self.spec.due_count(wall_ms)
        if due_count == self.spec.occurrences():
            return None
        return self.spec.due_ms(due_count)

    def ready_steps(self, wall_ms: int) -> Iterator[task_module.StepRun]:
        """Yield the unfinished steps whose predecessors are done."""
        if self.is_final():
            return
        for occurrence in self.open_occurrences(wall_ms):
            steps = self.steps(occurrence)
            for step_run in steps:
                if step_run.open_count and self._may_begin(step_run, steps):
                    yield step_run

    def startable_steps(self, wall_ms: int) -> list[task_module.StepRun]:
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

    def _find_startable_steps(self, wall_ms: int) -> list[task_module.StepRun]:
        return [
            step_run
            for step_run in self.ready_steps(wall_ms)
            if any(not t.done and t.run is None for t in step_run.tasks)
        ]

    def assign_run(self, task: task_module.Task, run: task_module.Run) -> None:
        """Make a run the current run of one of the job's tasks."""
        task.run = run
        self._discard_derived()

    def clear_run(self, task: task_module.Task) -> None:
        """Record that a task of the job has no current run."""
        task.run = None
        self._discard_derived()
        self._discard_finished(task.id.occurrence)

    def _discard_derived(self) -> None:
        self._startable_steps = None
        self._remaining_path_ms = None
        self._remaining_core_ms = None
        self._remaining_memory_ms = None

    def task(self, task_id: model.TaskId) -> task_module.Task | None:
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

    def remaining_memory_ms(self) -> float:
        """Return the estimated memory use of the tasks that are not done.

        The unit is one megabyte for one millisecond. Long-running and repeated
        jobs have no estimate and count as 0.
        """
        if self._remaining_memory_ms is None:
            self._remaining_memory_ms = self._compute_remaining_memory_ms()
        return self._remaining_memory_ms

    def _compute_remaining_memory_ms(self) -> float:
        if self.long_running or self.spec.repeat_count:
            return 0.0
        return sum(
            float(step_run.open_count)
            * step_run.step.memory_mb
            * step_run.step.estimate_ms
            for step_run in self.steps(0)
        )

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

    def next_run_number(self, task: task_module.Task, epoch: int) -> int:
        """Return a run number higher than any that the task has used.

        Args:
            task: Task to start.
            epoch: Epoch of the current owner.
        """
        unrecorded = _UNRECORDED_RUNS_PER_EPOCH * max(
            0, epoch - self.accepted_epoch
        )
        return max(task.last_run, unrecorded) + 1

    def mark_done(self, task: task_module.Task) -> None:
        """Record that a task has succeeded.

        The success of a gang member counts for the whole gang.
        """
        step_run = self.steps(task.id.occurrence)[task.id.step]
        members = step_run.tasks if task.step.gang else [task]
        for member in members:
            if not member.done:
                member.done = True
                member.checkpoint = ""
                member.clear_crashes()
                step_run.open_count -= 1
        self._discard_derived()
        self._update_completion(task.id.occurrence)

    def record_failure(
        self, task: task_module.Task, run_number: int, max_attempts: int
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

    def record_crash(
        self,
        task: task_module.Task,
        instance: task_module.VmInstance,
        is_certain: bool = True,
    ) -> bool:
        """Record that a VM has crashed under a task; the third fails the job.

        The job fails later if too few of the VMs have confirmed the start.

        Args:
            task: Task that ran on the VM.
            instance: VM instance that has crashed.
            is_certain: Whether the instance has confirmed the start.

        Returns:
            Whether the crash counts.
        """
        task.lost_on.discard(instance)
        if task.done or self.is_final() or instance in task.crashed_on:
            return False
        task.crashed_on.add(instance)
        if not is_certain:
            task.doubtful_on.add(instance)
        if _crashes_too_often(task):
            self.state = model.JobState.FAILED
            self._discard_derived()
        return True

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

    def done_tasks(self) -> Iterator[task_module.Task]:
        """Yield the tasks that have succeeded."""
        for steps in self._occurrences.values():
            for step_run in steps:
                yield from (task for task in step_run.tasks if task.done)

    def failed_tasks(self) -> Iterator[task_module.Task]:
        """Yield the tasks that have failed runs."""
        for steps in self._occurrences.values():
            for step_run in steps:
                yield from (t for t in step_run.tasks if t.failed_runs)

    def crashed_tasks(self) -> Iterator[task_module.Task]:
        """Yield the tasks under which VMs have crashed."""
        for steps in self._occurrences.values():
            for step_run in steps:
                yield from (t for t in step_run.tasks if t.crashed_on)

    def _new_step(
        self, occurrence: int, number: int, step: model.Step
    ) -> task_module.StepRun:
        tasks = [
            task_module.Task(
                model.TaskId(self.id, occurrence, number, index), step
            )
            for index in range(step.task_count)
        ]
        return task_module.StepRun(number, step, tasks, len(tasks))

    def _may_begin(
        self, step_run: task_module.StepRun, steps: list[task_module.StepRun]
    ) -> bool:
        return all(
            steps[number].open_count == 0 for number in step_run.step.after
        )

    def _update_completion(self, occurrence: int) -> None:
        if any(step.open_count for step in self.steps(occurrence)):
            return
        self.finished.add(occurrence)
        if (
            self.finished.count() == self.spec.occurrences()
            and not self.is_final()
        ):
            self.state = model.JobState.COMPLETED
        self._discard_finished(occurrence)

    def _discard_finished(self, occurrence: int) -> None:
        """Forget the tasks of a finished occurrence once none has a run."""
        if not self.spec.repeat_count or occurrence not in self.finished:
            return
        steps = self._occurrences.get(occurrence, [])
        if not any(task.run for step in steps for task in step.tasks):
            self._occurrences.pop(occurrence, None)


def _mark_all_done(steps: list[task_module.StepRun]) -> None:
    for step_run in steps:
        step_run.open_count = 0
        for task in step_run.tasks:
            task.done = True


def _crashes_too_often(task: task_module.Task) -> bool:
    count = len(task.crashed_on)
    certain_count = count - len(task.doubtful_on)
    if certain_count >= _MIN_CERTAIN_CRASHES:
        return count >= _MAX_CRASHES
    return count >= _MAX_DOUBTFUL_CRASHES


def withdrawn(
    job_id: model.JobId,
    address: catalogue.QueueAddress,
    wall_ms: int,
    organisation: ids.OrganisationId,
) -> Job:
    """Return what is stored of a job that is cancelled before it is stored.

    Args:
        job_id: Id of the job.
        address: Address of the queue that the cancellation is about.
        wall_ms: Current time, in Unix milliseconds.
        organisation: Organisation of the caller.
    """
    job = Job(
        job_id,
        address.queue,
        model.JobSpec("", ()),
        wall_ms,
        0,
        organisation,
        path=address.path,
    )
    job.state = model.JobState.CANCELLED
    return job
