"""Run times of tasks compared with the callers' estimates, by queue.

Callers' estimates are off by a factor that depends on the queue and on the job.
The factor of a queue is learned from the steps of its jobs, as the logarithm of
the run time over the estimate.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import math
import statistics

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller.jobs import model

# Enough for the median to vary by a seventh if estimates are off by a factor of
# e to the power of 0.9, the most that callers state.
_MAX_STEPS = 64
# Run times of one step that an observation is based on. More would change the
# median little, and cost time for each end in steps of thousands of tasks.
MAX_RUNS = 32
# More queues than a pool serves; removed queues are forgotten.
_MAX_QUEUES = 64
# A queue that peaks every 20 s keeps the evidence of its last few peaks.
_HALF_LIFE_MS = 60_000
# Number of steps that met their estimates, assumed in addition to those that
# were observed. More are assumed where steps differ much from each other: with
# a spread of 0.9, the median of ten steps is off by a third by chance.
_PRIOR_STEPS = 3.0
# Logarithm by which the callers of a queue are expected to be off on average.
_EXPECTED_BIAS = 0.3
# Standard deviation of a normal distribution over its median deviation.
_DEVIATION_FACTOR = 1.48
# Estimates that are further off are errors of the unit.
_MAX_LOG_RATIO = math.log(20)
# Evidence changes many times a second, the median over all of it slowly.
_REFRESH_MS = 200
_LOGGED_CHANGE = math.log(1.25)

StepId = tuple[model.JobId, int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """What is known about the tasks of one step that have run or are running.

    Attributes:
        run_times_ms: Run times of ended tasks, and projected ones of running
            tasks; at most the last ``MAX_RUNS``.
        share: Share of the step's work that these are based on, from 0 to 1.
    """

    run_times_ms: Sequence[float]
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Observation:
    """The run times of one step.

    Attributes:
        log_ratio: Logarithm of the median run time over the estimate.
        share: Share of the step's work that was observed, from 0 to 1.
        at_ms: Time of the observation, on the owner's clock.
    """

    log_ratio: float
    share: float
    at_ms: int


@dataclasses.dataclass(slots=True)
class _QueueRecord:
    """What is known about one queue.

    Attributes:
        steps: Observations by step, oldest step first.
        ratio: Learned ratio.
        refreshed_ms: Time at which the ratio was computed.
        is_changed: Whether there are observations since then.
        logged_ratio: Ratio that was last logged.
    """

    steps: dict[StepId, _Observation] = dataclasses.field(default_factory=dict)
    ratio: float = 1.0
    refreshed_ms: int = 0
    is_changed: bool = False
    logged_ratio: float = 1.0


class RunTimes:
    """Learned ratios of run times to estimates of one pool's queues.

    Args:
        pool: Id of the pool, as logged.
        clock: Clock that supplies the current time.
    """

    def __init__(self, pool: ids.PoolId, clock: clock_module.Clock) -> None:
        self._pool = pool
        self._clock = clock
        self._queues: dict[ids.QueueId, _QueueRecord] = {}

    def observe(
        self,
        queue: ids.QueueId,
        step_id: StepId,
        step: model.Step,
        progress: Progress,
    ) -> None:
        """Record what is known about the run times of a step.

        A later observation of the step replaces an earlier one. Steps without
        an estimate and long-running ones are ignored.

        Args:
            queue: Queue of the job.
            step_id: Job, occurrence and number of the step.
            step: Definition of the step.
            progress: Run times of the step's tasks.
        """
        run_times_ms = progress.run_times_ms
        if step.long_running or step.estimate_ms <= 0 or not run_times_ms:
            return
        record = self._queues.get(queue)
        if record is None:
            if len(self._queues) >= _MAX_QUEUES:
                del self._queues[next(iter(self._queues))]
            record = self._queues[queue] = _QueueRecord()
        if step_id not in record.steps and len(record.steps) >= _MAX_STEPS:
            del record.steps[next(iter(record.steps))]
        # A single slow VM does not change the median of a step.
        ratio = max(1.0, statistics.median(run_times_ms)) / step.estimate_ms
        log_ratio = math.log(ratio)
        record.steps[step_id] = _Observation(
            max(-_MAX_LOG_RATIO, min(_MAX_LOG_RATIO, log_ratio)),
            min(1.0, progress.share),
            self._clock.monotonic_ms(),
        )
        record.is_changed = True

    def expected_ms(self, queue: ids.QueueId, estimate_ms: int) -> int:
        """Return the expected run time of a task.

        Args:
            queue: Queue of the task's job.
            estimate_ms: Estimate of the caller.

        Returns:
            The estimate times the learned ratio; the estimate itself if nothing
            is known about the queue.
        """
        return int(estimate_ms * self.ratio(queue))

    def ratio(self, queue: ids.QueueId) -> float:
        """Return the learned ratio of run times to estimates.

        Args:
            queue: Queue that the ratio is about.

        Returns:
            The ratio; 1 if nothing is known about the queue.
        """
        record = self._queues.get(queue)
        if record is None:
            return 1.0
        now_ms = self._clock.monotonic_ms()
        age_ms = now_ms - record.refreshed_ms
        if age_ms >= _HALF_LIFE_MS or (
            record.is_changed and age_ms >= _REFRESH_MS
        ):
            self._refresh(queue, record, now_ms)
        return record.ratio

    def _refresh(
        self, queue: ids.QueueId, record: _QueueRecord, now_ms: int
    ) -> None:
        record.refreshed_ms = now_ms
        record.is_changed = False
        weighted = [
            (seen.log_ratio, seen.share * _fading(now_ms - seen.at_ms))
            for seen in record.steps.values()
        ]
        evidence = sum(weight for _, weight in weighted)
        median = _weighted_median(weighted)
        spread = _DEVIATION_FACTOR * _weighted_median(
            (abs(value - median), weight) for value, weight in weighted
        )
        prior = _PRIOR_STEPS + (spread / _EXPECTED_BIAS) ** 2
        record.ratio = math.exp(median * evidence / (evidence + prior))
        change = abs(math.log(record.ratio / record.logged_ratio))
        if change >= _LOGGED_CHANGE:
            record.logged_ratio = record.ratio
            events.emit(
                events.Event.ESTIMATES_CORRECTED,
                queue=queue,
                pool=self._pool,
                ratio=round(record.ratio, 2),
                steps=len(weighted),
                evidence=round(evidence, 1),
                spread=round(spread, 2),
            )


def _fading(age_ms: int) -> float:
    return float(0.5 ** (age_ms / _HALF_LIFE_MS))


def _weighted_median(weighted: Iterable[tuple[float, float]]) -> float:
    """Return the value at which half of the weight is reached."""
    rows = sorted(weighted)
    half = sum(weight for _, weight in rows) / 2
    reached = 0.0
    for value, weight in rows:
        reached += weight
        if reached >= half:
            return value
    return 0.0
