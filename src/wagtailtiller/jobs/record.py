"""Stored form of a job: its definition and its progress."""

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue


class _Progress(msgspec.Struct, frozen=True, array_like=True):
    """Progress of one step of one occurrence.

    Attributes:
        occurrence: Index of the occurrence.
        step: Index of the step.
        done_mask: Little-endian bit mask; bit i is set if task i has succeeded.
        failed_runs: Numbers of the failed runs by task index.
    """

    occurrence: int
    step: int
    done_mask: bytes
    failed_runs: dict[int, list[int]]


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
        progress: Progress of the steps that have done tasks or failed runs.
        organisation: Organisation that submitted the job; empty if its queue
            needs no API key.
    """

    job: model.JobId
    queue: ids.QueueId
    spec: model.JobSpec
    accepted_wall_ms: int
    accepted_epoch: int
    state: model.JobState = model.JobState.QUEUED
    progress: tuple[_Progress, ...] = ()
    organisation: ids.OrganisationId = catalogue.NO_ORGANISATION


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


def _progress(job: job_module.Job) -> list[_Progress]:
    progress_by_step: dict[
        tuple[int, int], tuple[int, dict[int, list[int]]]
    ] = {}
    for task in job.done_tasks():
        key = (task.id.occurrence, task.id.step)
        mask, failed_runs = progress_by_step.get(key, (0, {}))
        progress_by_step[key] = (mask | 1 << task.id.position, failed_runs)
    for task in job.failed_tasks():
        key = (task.id.occurrence, task.id.step)
        mask, failed_runs = progress_by_step.get(key, (0, {}))
        failed_runs[task.id.position] = sorted(task.failed_runs)
        progress_by_step[key] = (mask, failed_runs)
    return [
        _Progress(occurrence, step, _mask_bytes(mask), failed_runs)
        for (occurrence, step), (mask, failed_runs) in progress_by_step.items()
    ]


def _mask_bytes(mask: int) -> bytes:
    return mask.to_bytes((mask.bit_length() + 7) // 8, "little")


def _is_valid(job: job_module.Job, progress: _Progress) -> bool:
    """Return whether the progress is about tasks that the job has."""
    positions = progress.failed_runs or {0: []}
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
    for task in step_run.tasks:
        if mask >> task.id.position & 1:
            job.mark_done(task)
