"""Run times of queues, learned as decaying histograms with quantiles."""

import math

from wagtailtiller import ids
from wagtailtiller import settings

_BUCKET_GROWTH = 1.25
_MIN_BUCKET_MS = 1.0
_BUCKET_COUNT = 80
_HALVE_AT_WEIGHT = 400.0
_PRIOR_WEIGHT = 2.0
_MAX_PRIOR_MS = 86_400_000


class RunTimeHistogram:
    """Histogram of one queue's run times, with geometrically growing buckets.

    Older observations lose weight as new ones arrive.

    Args:
        declared_ms: Run time that the settings declare. It counts as a few
            observations, so that a wrong value is soon outweighed.
    """

    def __init__(self, declared_ms: int) -> None:
        self._weights = [0.0] * _BUCKET_COUNT
        self._total = 0.0
        self._sum_ms = 0.0
        self._quantiles: dict[float, float] = {}
        self._add(min(declared_ms, _MAX_PRIOR_MS), _PRIOR_WEIGHT)

    def observe(self, run_ms: int) -> None:
        """Add the run time of a finished run."""
        self._add(run_ms, 1.0)
        if self._total > _HALVE_AT_WEIGHT:
            self._weights = [weight / 2 for weight in self._weights]
            self._total /= 2
            self._sum_ms /= 2

    def mean_ms(self) -> float:
        """Return the weighted mean run time."""
        return self._sum_ms / self._total

    def quantile_ms(self, fraction: float) -> float:
        """Return the upper bound of the bucket that contains a quantile.

        Args:
            fraction: Quantile as a fraction between 0 and 1.
        """
        cached = self._quantiles.get(fraction)
        if cached is None:
            cached = self._find_quantile_ms(fraction)
            self._quantiles[fraction] = cached
        return cached

    def _find_quantile_ms(self, fraction: float) -> float:
        target = fraction * self._total
        cumulative = 0.0
        for index, weight in enumerate(self._weights):
            cumulative += weight
            if cumulative >= target:
                return _MIN_BUCKET_MS * _BUCKET_GROWTH**index
        return _MIN_BUCKET_MS * _BUCKET_GROWTH**_BUCKET_COUNT

    def _add(self, run_ms: int, weight: float) -> None:
        self._quantiles.clear()
        ratio = max(1.0, run_ms / _MIN_BUCKET_MS)
        index = math.ceil(math.log(ratio) / math.log(_BUCKET_GROWTH))
        self._weights[min(index, _BUCKET_COUNT - 1)] += weight
        self._total += weight
        self._sum_ms += run_ms * weight


class RunTimesByQueue:
    """Learned run times of the queues of a pool."""

    def __init__(self) -> None:
        self._histograms: dict[ids.QueueId, RunTimeHistogram] = {}

    def for_queue(self, queue: settings.QueueSettings) -> RunTimeHistogram:
        """Return the run times of a queue, initially the declared one."""
        histogram = self._histograms.get(queue.queue)
        if histogram is None:
            histogram = RunTimeHistogram(queue.expected_run_ms)
            self._histograms[queue.queue] = histogram
        return histogram
