"""The memory that the jobs of a process take, and a limit for it."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import sys

from wagtailtiller import clock as clock_module
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


class UnownedJobs:
    """Limits the jobs that a process stores for an owner that does not answer.

    The next owner of their pool has to hold them all.

    Args:
        max_bytes: Returns the memory that they may take in their owner.
        kept_ms: Time after which a stored job no longer counts.
        clock: Clock that supplies the current time.
    """

    def __init__(
        self,
        max_bytes: Callable[[], int],
        kept_ms: int,
        clock: clock_module.Clock,
    ) -> None:
        self._max_bytes = max_bytes
        self._kept_ms = kept_ms
        self._clock = clock
        self._held_bytes = 0
        self._jobs: collections.deque[tuple[int, int]] = collections.deque()

    def take(self, spec: model.JobSpec) -> bool:
        """Count a job that is about to be stored, if there is room for it.

        Args:
            spec: Definition of the job.

        Returns:
            Whether there is room.
        """
        now_ms = self._clock.monotonic_ms()
        while self._jobs and self._jobs[0][0] <= now_ms:
            self._held_bytes -= self._jobs.popleft()[1]
        job_bytes = estimated_bytes(spec)
        if self._held_bytes + job_bytes > self._max_bytes():
            return False
        self._jobs.append((now_ms + self._kept_ms, job_bytes))
        self._held_bytes += job_bytes
        return True


def without_limit() -> JobMemory:
    """Return a limit that no job exceeds."""
    return JobMemory(sys.maxsize, tuple)
