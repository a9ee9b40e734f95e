"""The memory that the jobs of a process take, and a limit for it."""

from collections.abc import Callable
from collections.abc import Iterable
import sys

from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import model
from wagtailtiller.scheduling import state

_JOB_BYTES = 1_600
_STEP_BYTES = 1_600
_TASK_BYTES = 1_300
# Jobs above this size are large.
_LARGE_JOB_BYTES = 65_536
# Part of the limit that large jobs may fill, so that there is room for others.
_LARGE_JOBS_SHARE = 0.9


def estimated_bytes(spec: model.JobSpec) -> int:
    """Return the memory of a job with all tasks that are held at once.

    Args:
        spec: Definition of the job.
    """
    task_count = sum(step.task_count for step in spec.steps)
    open_count = min(
        task_count * spec.occurrences(),
        max(task_count, job_module.MAX_OPEN_TASKS),
    )
    return (
        _JOB_BYTES
        + len(spec.payload)
        + len(spec.steps) * _STEP_BYTES
        + open_count * _TASK_BYTES
    )


class JobMemory:
    """Limits the memory of all jobs of a process.

    Args:
        max_bytes: Memory that they may take.
        pools: Returns the pools that the process owns.
    """

    def __init__(
        self,
        max_bytes: int,
        pools: Callable[[], Iterable[state.PoolState]],
    ) -> None:
        self._max_bytes = max_bytes
        self._pools = pools

    def has_room(self, spec: model.JobSpec) -> bool:
        """Return whether a new job may be accepted.

        Args:
            spec: Definition of the job.
        """
        job_bytes = estimated_bytes(spec)
        limit_bytes = self._max_bytes
        if job_bytes > _LARGE_JOB_BYTES:
            limit_bytes = int(limit_bytes * _LARGE_JOBS_SHARE)
        held_bytes = sum(pool.held_job_bytes for pool in self._pools())
        return held_bytes + job_bytes <= limit_bytes


def without_limit() -> JobMemory:
    """Return a limit that no job exceeds."""
    return JobMemory(sys.maxsize, tuple)
