"""What a delay or a refusal of a job costs its caller.

All decisions about an overloaded pool use this model. The module does no I/O
and reads no clock.
"""

import collections
import enum
import math
from typing import NamedTuple

import msgspec

from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import model
from wagtailtiller.ports import vms

# A job that takes longer than this multiple of its target duration has no
# value.
ZERO_VALUE_FACTOR = 3.0
# Share of its value that a job keeps when it is late.
LATE_VALUE_SHARE = 1 / 15
# The value of a job relative to the mean of its queue: a constant part, since
# every caller waits for an answer, and a part that grows with its work.
_CONSTANT_VALUE = 0.3
_WORK_VALUE = 0.7
# Standard deviation of the logarithm of run time by estimate until it is known.
_INITIAL_SIGMA = 0.4
_MIN_SIGMA = 0.05
# Weight of the latest job in the estimation error; about the last 50 count.
_ERROR_WEIGHT = 0.04
_MILLICORES_PER_CORE = 1_000
# Jobs of a queue from which the sizes of its jobs are judged.
_SIZE_SAMPLES = 200
_SIZE_REFRESH = 20
_UPPER_QUANTILE = 0.7
_TOP_QUANTILE = 0.9
# Number of jobs of a size over which its outcomes fade.
_OUTCOME_FADE = 0.9
_MIN_OUTCOMES = 3.0
# Callers need large jobs to be served at least half as often as all jobs. The
# margin covers the time until a change of the order shows in the outcomes.
_PROTECTED_BELOW = 0.55


class Work(NamedTuple):
    """Work by resource.

    Attributes:
        core_ms: Processor work, in cores times milliseconds.
        memory_ms: Memory use, in megabytes times milliseconds.
    """

    core_ms: float
    memory_ms: float

    def plus(self, other: "Work") -> "Work":
        """Return the sum of two amounts of work."""
        return Work(
            self.core_ms + other.core_ms, self.memory_ms + other.memory_ms
        )

    def pool_ms(self, capacity: vms.Resources) -> float:
        """Return how long the work occupies a whole pool.

        The resource of which the work takes the larger part decides.

        Args:
            capacity: Capacity of the pool.
        """
        return max(
            self.core_ms
            * _MILLICORES_PER_CORE
            / max(1, capacity.cpu_millicores),
            self.memory_ms / max(1, capacity.memory_mb),
        )


NO_WORK = Work(0.0, 0.0)


class Size(enum.IntEnum):
    """Size of a job among the jobs of its queue.

    ``TOP`` is the largest tenth, and ``UPPER`` the fifth below it.
    """

    ORDINARY = 0
    UPPER = 1
    TOP = 2


class JobCost(msgspec.Struct, frozen=True):
    """What is known about a job when it is accepted.

    Attributes:
        work: Work of the whole job.
        value: Value of the job on time; 1 for a job of its queue's mean size.
        size: Size of the job among the jobs of its queue.
    """

    work: Work
    value: float
    size: Size


def spec_work(spec: model.JobSpec) -> Work:
    """Return the estimated work of one occurrence of a job.

    Long-running steps have no estimate and are left out.
    """
    core_ms = 0.0
    memory_ms = 0.0
    for step in spec.steps:
        if not step.long_running:
            task_ms = step.task_count * step.estimate_ms
            core_ms += task_ms * step.cpu_millicores / _MILLICORES_PER_CORE
            memory_ms += task_ms * step.memory_mb
    return Work(core_ms, memory_ms)


def remaining_work(job: job_module.Job) -> Work:
    """Return the estimated work of the tasks of a job that are not done."""
    return Work(job.remaining_core_ms(), job.remaining_memory_ms())


def value_share(age_ms: float, target_ms: float) -> float:
    """Return the share of its value that a job has at its end.

    Args:
        age_ms: Age of the job at its end.
        target_ms: Target duration of the job.
    """
    if age_ms <= target_ms:
        return 1.0
    if age_ms <= ZERO_VALUE_FACTOR * target_ms:
        return LATE_VALUE_SHARE
    return 0.0


class EstimateError:
    """How far run times are off their estimates, learned from ended jobs."""

    def __init__(self) -> None:
        self._mean = 0.0
        self._variance = _INITIAL_SIGMA**2

    @property
    def sigma(self) -> float:
        """Standard deviation of the logarithm of run time by estimate."""
        return max(_MIN_SIGMA, math.sqrt(self._variance))

    def observe(self, job: job_module.Job) -> None:
        """Learn from the run times of a job that has ended.

        Args:
            job: Job whose tasks have run.
        """
        if job.long_running or job.spec.repeat_count:
            return
        for step_run in job.steps(0):
            times = [run_ms for _, run_ms in step_run.run_times]
            if times and step_run.step.estimate_ms:
                mean_ms = max(1.0, sum(times) / len(times))
                self._add(math.log(mean_ms / step_run.step.estimate_ms))

    def _add(self, error: float) -> None:
        difference = error - self._mean
        self._mean += _ERROR_WEIGHT * difference
        self._variance = (1 - _ERROR_WEIGHT) * (
            self._variance + _ERROR_WEIGHT * difference**2
        )

    def on_time_probability(self, left_ms: float, path_ms: float) -> float:
        """Return how likely a path that starts now ends in time.

        Args:
            left_ms: Time until the target duration ends.
            path_ms: Estimated duration of the path.
        """
        if left_ms <= 0:
            return 0.0
        if path_ms <= 0:
            return 1.0
        deviations = math.log(left_ms / path_ms) / self.sigma
        return 0.5 * math.erfc(-deviations / math.sqrt(2))


class QueueSizes:
    """Sizes of a queue's jobs, and how often each size is on time."""

    def __init__(self) -> None:
        self._recent: collections.deque[float] = collections.deque(
            maxlen=_SIZE_SAMPLES
        )
        self._until_refresh = 0
        self._mean = 0.0
        self._thresholds = (math.inf, math.inf)
        self._on_time = dict.fromkeys(Size, 0.0)
        self._total = dict.fromkeys(Size, 0.0)

    def add(self, work: Work, pool_ms: float) -> JobCost:
        """Record a job that was submitted, and judge its size and value.

        Args:
            work: Work of the job.
            pool_ms: Time for which it occupies the whole pool.
        """
        self._recent.append(pool_ms)
        self._until_refresh -= 1
        if self._until_refresh <= 0:
            self._refresh()
        value = _CONSTANT_VALUE + _WORK_VALUE * (
            pool_ms / self._mean if self._mean else 1.0
        )
        return JobCost(work, value, self.size(pool_ms))

    def size(self, pool_ms: float) -> Size:
        """Return the size of a job by the time that it occupies the pool."""
        upper, top = self._thresholds
        if pool_ms >= top:
            return Size.TOP
        return Size.UPPER if pool_ms >= upper else Size.ORDINARY

    def record_outcome(self, size: Size, on_time: bool) -> None:
        """Record whether a job was on time; a refused one was not."""
        self._on_time[size] = _OUTCOME_FADE * self._on_time[size] + on_time
        self._total[size] = _OUTCOME_FADE * self._total[size] + 1

    def is_protected(self, size: Size) -> bool:
        """Return whether jobs of a size are on time much less than others."""
        if size is Size.ORDINARY or self._total[size] < _MIN_OUTCOMES:
            return False
        share = self._on_time[size] / self._total[size]
        ordinary = self._total[Size.ORDINARY]
        if not ordinary:
            return False
        return (
            share < _PROTECTED_BELOW * self._on_time[Size.ORDINARY] / ordinary
        )

    def _refresh(self) -> None:
        ordered = sorted(self._recent)
        count = len(ordered)
        # The first jobs of a queue do not show yet which ones are large.
        self._until_refresh = min(_SIZE_REFRESH, count)
        self._mean = sum(ordered) / count
        if count >= _SIZE_REFRESH:
            self._thresholds = (
                ordered[int(_UPPER_QUANTILE * count)],
                ordered[int(_TOP_QUANTILE * count)],
            )
