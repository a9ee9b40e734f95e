"""Stored form of a job: its definition and its progress."""

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.jobs import finished_occurrences
from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import model
from wagtailtiller.jobs import task as task_module
from wagtailtiller.ports import catalogue


class _Crash(msgspec.Struct, frozen=True, array_like=True):
    """A VM instance that has crashed under tasks of one step.

    Attributes:
        vm: Id of the VM.
        born_ms: Start time of the instance, in Unix milliseconds.
        positions: Indexes of the tasks.
        doubtful: Indexes of those whose start it has not confirmed.
    """

    vm: ids.VmId
    born_ms: int
    positions: tuple[int, ...]
    doubtful: tuple[int, ...] = ()


class _Progress(msgspec.Struct, frozen=True, array_like=True):
    """Progress of one step of one occurrence.

    Attributes:
        occurrence: Index of the occurrence.
        step: Index of the step.
        done_mask: Little-endian bit mask; bit i is set if task i has succeeded.
        failed_runs: Numbers of the failed runs by task index.
        crashes: VM instances that have crashed under tasks of the step.
    """

    occurrence: int
    step: int
    done_mask: bytes
    failed_runs: dict[int, list[int]]
    crashes: tuple[_Crash, ...] = ()


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as the store keeps it.

    Attributes:
        job: Id that the caller chose.
        queue: Queue that the job was submitted to.
        spec: Definition of the job.
        accepted_wall_ms: Time of acceptance, in Unix milliseconds.
        accepted_epoch: Epoch of the owner that accepted the job; 0 if the
            record was written without an owner.
        state: State that callers see.
        progress: Progress of the steps that have done tasks, failed runs or
            crashes.
        organisation: Organisation that submitted the job; empty if its queue
            needs no API key.
        finished_before: Number of first occurrences of a repeated job that have
            all finished; their progress is left out.
        finished: Later occurrences that have finished.
        terms: What the job is entitled to, for owners that do not find its
            queue declared. Earlier versions did not store it.
    """

    job: model.JobId
    queue: ids.QueueId
    spec: model.JobSpec
    accepted_wall_ms: int
    accepted_epoch: int
    state: model.JobState = model.JobState.QUEUED
    progress: tuple[_Progress, ...] = ()
    organisation: ids.OrganisationId = catalogue.NO_ORGANISATION
    finished_before: int = 0
    finished: tuple[int, ...] = ()
    terms: catalogue.QueueTerms | None = None


def encode(job: job_module.Job) -> bytes:
    """Encode a job and its progress as MessagePack."""
    record = JobRecord(
        job.id,
        job.queue,
        job.spec,
        job.accepted_wall_ms,
        job.accepted_epoch,
        job.state,
        tuple(_progress(job)),
        job.organisation,
        *_finished(job),
        job.terms,
    )
    return msgspec.msgpack.encode(record)


def decode(value: bytes) -> Result[job_module.Job, errors.InvalidSetting]:
    """Decode a job from its stored record.

    Args:
        value: Value that the store holds.

    Returns:
        The job, or an error if the value is not a valid record.
    """
    try:
        record = msgspec.msgpack.decode(value, type=JobRecord)
    except msgspec.MsgspecError as error:
        invalid = errors.InvalidSetting("job", str(error), "a job record")
        return Error(invalid)
    job = job_module.Job(
        record.job,
        record.queue,
        record.spec,
        record.accepted_wall_ms,
        record.accepted_epoch,
        record.organisation,
        record.terms,
    )
    if not _has_occurrences(job, record):
        invalid = errors.InvalidSetting(
            "job", "an unknown occurrence", "a job record"
        )
        return Error(invalid)
    job.finished = finished_occurrences.FinishedOccurrences(
        record.finished_before, record.finished
    )
    for progress in record.progress:
        if not _is_valid(job, progress):
            invalid = errors.InvalidSetting(
                "job", "progress of an unknown task", "a job record"
            )
            return Error(invalid)
        _restore(job, progress)
    job.state = record.state
    return Ok(job)


def _has_occurrences(job: job_module.Job, record: JobRecord) -> bool:
    """Return whether the job has all occurrences that are said to be done."""
    count = job.spec.occurrences()
    if not 0 <= record.finished_before <= count:
        return False
    return all(
        record.finished_before < number < count for number in record.finished
    )


def _finished(job: job_module.Job) -> tuple[int, tuple[int, ...]]:
    if not job.spec.repeat_count:
        return 0, ()
    return job.finished.first_missing, job.finished.later()


def _progress(job: job_module.Job) -> list[_Progress]:
    masks: dict[tuple[int, int], int] = {}
    failed_runs: dict[tuple[int, int], dict[int, list[int]]] = {}
    for task in job.done_tasks():
        key = (task.id.occurrence, task.id.step)
        masks[key] = masks.get(key, 0) | 1 << task.id.position
    for task in job.failed_tasks():
        key = (task.id.occurrence, task.id.step)
        runs = failed_runs.setdefault(key, {})
        runs[task.id.position] = sorted(task.failed_runs)
    crashes = _crashes(job)
    return [
        _Progress(
            occurrence,
            step,
            _mask_bytes(masks.get((occurrence, step), 0)),
            failed_runs.get((occurrence, step), {}),
            crashes.get((occurrence, step), ()),
        )
        for occurrence, step in masks | failed_runs | crashes
    ]


def _crashes(
    job: job_module.Job,
) -> dict[tuple[int, int], tuple[_Crash, ...]]:
    """Return the crashes by occurrence and step.

    Many tasks may have run on the same instance, which is named once.
    """
    tasks: dict[
        tuple[int, int],
        dict[task_module.VmInstance, list[task_module.Task]],
    ] = {}
    for task in job.crashed_tasks():
        key = (task.id.occurrence, task.id.step)
        for instance in task.crashed_on:
            tasks.setdefault(key, {}).setdefault(instance, []).append(task)
    return {
        key: tuple(
            _crash(instance, by_instance[instance])
            for instance in sorted(by_instance)
        )
        for key, by_instance in tasks.items()
    }


def _crash(
    instance: task_module.VmInstance, tasks: list[task_module.Task]
) -> _Crash:
    return _Crash(
        instance.vm,
        instance.born_ms,
        tuple(task.id.position for task in tasks),
        tuple(
            task.id.position for task in tasks if instance in task.doubtful_on
        ),
    )


def _mask_bytes(mask: int) -> bytes:
    return mask.to_bytes((mask.bit_length() + 7) // 8, "little")


def _is_valid(job: job_module.Job, progress: _Progress) -> bool:
    """Return whether the progress is about tasks that the job has."""
    positions = [0, *progress.failed_runs]
    for crash in progress.crashes:
        positions.extend((*crash.positions, *crash.doubtful))
    bounds = (min(positions), max(positions))
    return all(
        job.task(
            model.TaskId(job.id, progress.occurrence, progress.step, position)
        )
        is not None
        for position in bounds
    )


def _restore(job: job_module.Job, progress: _Progress) -> None:
    mask = int.from_bytes(progress.done_mask, "little")
    step_run = job.steps(progress.occurrence)[progress.step]
    for index, failed_runs in progress.failed_runs.items():
        step_run.tasks[index].failed_runs = set(failed_runs)
    for crash in progress.crashes:
        instance = task_module.VmInstance(crash.vm, crash.born_ms)
        for index in crash.positions:
            step_run.tasks[index].crashed_on.add(instance)
        for index in crash.doubtful:
            step_run.tasks[index].doubtful_on.add(instance)
    for task in step_run.tasks:
        if mask >> task.id.position & 1:
            job.mark_done(task)
