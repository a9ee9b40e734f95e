"""How a job is kept in the store: its spec and what has been reached."""

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import model


class _Progress(msgspec.Struct, frozen=True, array_like=True):
    """What one step of one occurrence has reached.

    Attributes:
        occurrence: Which repetition.
        step: Which step.
        done_mask: Bit i is set when task i has ended well.
        failed_runs: Task index and the runs of it that have failed.
    """

    occurrence: int
    step: int
    done_mask: bytes
    failed_runs: dict[int, list[int]]


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as the store keeps it.

    Attributes:
        job: The caller's name for it.
        queue: Where it was sent.
        spec: What it consists of.
        accepted_wall_ms: When it was accepted, Unix milliseconds.
        accepted_epoch: The owner's epoch then; 0: written without an owner.
        state: What callers are told.
        progress: What its steps have reached.
    """

    job: model.JobId
    queue: ids.QueueId
    spec: model.JobSpec
    accepted_wall_ms: int
    accepted_epoch: int
    state: model.JobState = model.JobState.QUEUED
    progress: tuple[_Progress, ...] = ()


def encode(job: job_module.Job) -> bytes:
    """Encode a job with its progress."""
    record = JobRecord(
        job.id,
        job.queue,
        job.spec,
        job.accepted_wall_ms,
        job.accepted_epoch,
        job.state,
        tuple(_progress(job)),
    )
    return msgspec.msgpack.encode(record)


def decode(value: bytes) -> Result[job_module.Job, errors.InvalidSetting]:
    """Rebuild a job from its record."""
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
    )
    for progress in record.progress:
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


def _restore(job: job_module.Job, progress: _Progress) -> None:
    mask = int.from_bytes(progress.done_mask, "little")
    step_run = job.steps(progress.occurrence)[progress.step]
    for index, failed_runs in progress.failed_runs.items():
        step_run.tasks[index].failed_runs = set(failed_runs)
    for task in step_run.tasks:
        if mask >> task.id.position & 1:
            job.note_done(task)
