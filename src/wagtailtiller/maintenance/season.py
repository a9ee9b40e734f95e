"""Learns period and phase of the arrivals of jobs, and forecasts arrivals.

The arrivals of all pools are counted in bins. Since peak phases rotate between
pools, the pools share a period: the lag at which the counts of all pools are
most like themselves. The forecast of a bin is the count of one period earlier.
This module does no I/O.
"""

import collections
from collections.abc import Sequence
import dataclasses
import heapq
import itertools
import math
import operator

import msgspec

from wagtailtiller import ids

BIN_MS = 500
# Bounds the memory and the longest period that can be seen: half of it, 40 s.
# Longer periods change so slowly that reaction to load is early enough.
HISTORY_BINS = 160
# Machines that are moved for a shorter period are on their way for most of it.
_MIN_LAG_BINS = 10
_MAX_LAG_BINS = HISTORY_BINS // 2
# Fewest bins of a repetition that count as evidence: as many as a machine is on
# its way, so that the next phase can still be prepared.
_MIN_OVERLAP_BINS = 4
# A lag is compared over this many of the newest bins, which bounds the cost.
_MAX_OVERLAP_BINS = 60
# Multiples of the period are as like as the period itself. The shortest lag is
# taken that comes this close to the best.
_LAG_TOLERANCE = 0.8
# A period that is known is changed by a bin if that is better by this factor.
_DRIFT_FACTOR = 1.05
# Two bursts by chance, among others that do not repeat, reach 0.5. Phases that
# shift by half of their length reach 0.33.
CONFIDENCE_THRESHOLD = 0.6
# Counts of independent arrivals vary by 0.375 of their mean after smoothing.
# Below twice that there is no season, and likeness is chance.
_MIN_VARIANCE = 0.75
# Arrivals that stay away, or come to another pool, lower the confidence before
# a period has passed: when less than this share of the jobs expected in the
# newest bins has arrived. Ten expected jobs rule out chance.
_AGREEMENT_BINS = 4
_MIN_AGREEMENT = 0.4
_MIN_EXPECTED_JOBS = 10
_DISAGREEING_CONFIDENCE = 0.3
# A stored season is replaced when a pool's profile differs by this share of its
# arrivals; counts of one period vary by less.
_MATERIAL_SHARE = 0.5
# Bound the memory and the cost: how many pools are kept, how many of them (with
# the most arrivals) are compared, and how many products are summed for a bin
# while the period is searched. A search over the first 22 s of four pools
# fits into one bin; over a full history it takes five.
MAX_POOLS = 16
_MAX_COMPARED_POOLS = 8
_MAX_PRODUCTS = 4_000
_MIN_MEAN_JOBS = 20


class PoolSeason(msgspec.Struct, frozen=True):
    """Arrivals of a pool in one period.

    Attributes:
        jobs: Number of jobs in each bin of a period.
        mean_core_ms: Mean work of a job, in core-milliseconds.
    """

    jobs: list[int]
    mean_core_ms: float


class Season(msgspec.Struct, frozen=True):
    """A learned season, as it is stored.

    Attributes:
        first_bin: Number of the profiles' first bin, counted in bins of
            ``BIN_MS`` since the Unix epoch.
        confidence: Confidence when it was stored, from 0 to 1.
        pools: Arrivals in one period, by pool; all of the same length.
    """

    first_bin: int
    confidence: float
    pools: dict[ids.PoolId, PoolSeason]


@dataclasses.dataclass
class _PoolArrivals:
    counts: collections.deque[float]
    open_count: float = 0.0
    last_jobs: int | None = None
    last_core_ms: float = 0.0
    jobs: float = 0.0
    core_ms: float = 0.0

    def add(self, arrived_jobs: int, arrived_core_ms: float) -> None:
        """Count what has arrived since the last sample."""
        new_jobs = arrived_jobs - (self.last_jobs or 0)
        new_core_ms = arrived_core_ms - self.last_core_ms
        first = self.last_jobs is None
        self.last_jobs = arrived_jobs
        self.last_core_ms = arrived_core_ms
        if first or new_jobs < 0 or new_core_ms < 0:
            # A new owner counts from zero.
            return
        self.open_count += new_jobs
        self.jobs += new_jobs
        self.core_ms += new_core_ms
        if self.jobs > 2 * _MIN_MEAN_JOBS * HISTORY_BINS:
            self.jobs /= 2
            self.core_ms /= 2

    def mean_core_ms(self) -> float:
        """Return the mean work of a job in core-milliseconds."""
        return self.core_ms / self.jobs if self.jobs else 0.0


@dataclasses.dataclass(frozen=True)
class _Profile:
    """The newest period of a pool, taken for two levels.

    The mean of a level varies less by chance than single bins do, the largest
    of which would be too high.

    Attributes:
        high_bins: Whether each bin of the period is above the period's mean.
        high_jobs: Mean count of those bins.
        low_jobs: Mean count of the others.
    """

    high_bins: list[bool]
    high_jobs: float
    low_jobs: float


class SeasonLearner:
    """Learns the season of the arrivals at all pools.

    Args:
        wall_offset_ms: Wall clock minus the clock that the other times are
            readings of, in ms. Phases are stored by the wall clock.

    Attributes:
        period_bins: The period in bins; 0 while none is known.
        confidence: How like the newest period is to the one before, from 0 to
            1.
    """

    def __init__(self, wall_offset_ms: int) -> None:
        self._offset_ms = wall_offset_ms
        self._pools: dict[ids.PoolId, _PoolArrivals] = {}
        self._open_bin: int | None = None
        self._bins = 0
        self._own_bins = 0
        self._stored_confidence: float | None = None
        self._profiles: dict[ids.PoolId, _Profile] = {}
        self._covariances: list[float] = []
        self._next_lag = 0
        self.period_bins = 0
        self.confidence = 0.0

    def add(
        self,
        pool: ids.PoolId,
        at_ms: int,
        arrived_jobs: int,
        arrived_core_ms: float,
    ) -> None:
        """Add a sample of a pool.

        Args:
            pool: Id of the pool.
            at_ms: Clock reading, not before that of the previous sample.
            arrived_jobs: Number of jobs since the owner's takeover.
            arrived_core_ms: Their work in core-milliseconds.
        """
        self._close_bins((at_ms + self._offset_ms) // BIN_MS)
        arrivals = self._pools.get(pool)
        if arrivals is None:
            if len(self._pools) >= MAX_POOLS:
                return
            arrivals = _PoolArrivals(_new_counts(self._bins))
            self._pools[pool] = arrivals
        arrivals.add(arrived_jobs, arrived_core_ms)

    def is_confident(self) -> bool:
        """Return whether forecasts may be used."""
        return bool(
            self.period_bins and self.confidence >= CONFIDENCE_THRESHOLD
        )

    def forecast_cores(
        self, pool: ids.PoolId, at_ms: int, lead_ms: int
    ) -> float | None:
        """Return the most cores that jobs will need within some time.

        Args:
            pool: Id of the pool.
            at_ms: Current clock reading.
            lead_ms: Length of the time that is looked ahead.

        Returns:
            Arriving work per time, in cores; None below the confidence
            threshold.
        """
        arrivals = self._pools.get(pool)
        if arrivals is None or not self.is_confident():
            return None
        assert self._open_bin is not None
        at_ms += self._offset_ms
        first = at_ms // BIN_MS - self._open_bin
        last = (at_ms + lead_ms) // BIN_MS - self._open_bin
        jobs = self._forecast_jobs(pool, range(first, last + 1))
        return jobs * arrivals.mean_core_ms() / BIN_MS

    def season(self) -> Season | None:
        """Return what is known for certain enough to be stored."""
        if not self.is_confident():
            return None
        assert self._open_bin is not None
        period = self.period_bins
        pools = {
            pool: PoolSeason(
                [round(count) for count in list(arrivals.counts)[-period:]],
                arrivals.mean_core_ms(),
            )
            for pool, arrivals in self._pools.items()
        }
        return Season(self._open_bin - period, self.confidence, pools)

    def restore(self, season: Season, at_ms: int) -> None:
        """Continue a stored season.

        Args:
            season: The season that a previous manager has stored.
            at_ms: Current clock reading.
        """
        lengths = {len(pool.jobs) for pool in season.pools.values()}
        if len(lengths) != 1 or not (
            _MIN_LAG_BINS <= max(lengths) <= _MAX_LAG_BINS
        ):
            return
        period = max(lengths)
        self._open_bin = (at_ms + self._offset_ms) // BIN_MS
        self._bins = period
        self._own_bins = 0
        self.period_bins = period
        self.confidence = self._stored_confidence = season.confidence
        self._profiles.clear()
        for known in self._pools.values():
            known.counts = _new_counts(period)
        for pool, stored in itertools.islice(season.pools.items(), MAX_POOLS):
            arrivals = _PoolArrivals(_new_counts(0))
            for number in range(self._open_bin - period, self._open_bin):
                arrivals.counts.append(
                    stored.jobs[(number - season.first_bin) % period]
                )
            arrivals.jobs = _MIN_MEAN_JOBS
            arrivals.core_ms = _MIN_MEAN_JOBS * stored.mean_core_ms
            self._pools[pool] = arrivals

    def _forecast_jobs(self, pool: ids.PoolId, ahead: range) -> float:
        """Return the largest expected count of some bins.

        Args:
            pool: Id of a known pool.
            ahead: Numbers of the bins, relative to the open one.
        """
        if pool not in self._profiles:
            counts = self._pools[pool].counts
            self._profiles[pool] = _profile(counts, self.period_bins)
        profile = self._profiles[pool]
        high = any(profile.high_bins[n % self.period_bins] for n in ahead)
        return profile.high_jobs if high else profile.low_jobs

    def _close_bins(self, open_bin: int) -> None:
        if self._open_bin is None:
            self._open_bin = open_bin
        if not self._bins and not any(
            arrivals.open_count for arrivals in self._pools.values()
        ):
            # The history begins with the first arrivals.
            self._open_bin = max(open_bin, self._open_bin)
            return
        missed = open_bin - self._open_bin
        if missed <= 0:
            return
        if missed > HISTORY_BINS:
            self._forget()
            self._open_bin = open_bin
            return
        for _ in range(missed):
            self._close_bin(missed)
        self._update()

    def _close_bin(self, missed: int) -> None:
        for arrivals in self._pools.values():
            # After a gap in the samples, the arrivals are spread over it.
            arrivals.counts.append(arrivals.open_count / missed)
        assert self._open_bin is not None
        self._open_bin += 1
        self._bins = min(HISTORY_BINS, self._bins + 1)
        self._own_bins += 1

    def _forget(self) -> None:
        self._bins = self._own_bins = self.period_bins = 0
        self.confidence = 0.0
        self._covariances.clear()
        self._next_lag = 0
        self._profiles.clear()
        for arrivals in self._pools.values():
            arrivals.counts.clear()
            arrivals.open_count = 0.0

    def _update(self) -> None:
        self._profiles.clear()
        for arrivals in self._pools.values():
            arrivals.open_count = 0.0
        rows = self._standardised_rows()
        if self.is_confident():
            period = self.period_bins
            nearby = range(
                max(_MIN_LAG_BINS, period - 1),
                min(period + 1, self._bins - _MIN_OVERLAP_BINS) + 1,
            )
            covariances = {lag: _covariance(rows, lag) for lag in nearby}
            best = max(covariances, key=covariances.__getitem__, default=period)
            if covariances.get(best, 0.0) > _DRIFT_FACTOR * covariances.get(
                period, 0.0
            ):
                self.period_bins = best
        else:
            self.period_bins = self._search_period(rows)
        self.confidence = self._new_confidence(rows)
        if self._recent_agreement() < _MIN_AGREEMENT:
            self.confidence = min(self.confidence, _DISAGREEING_CONFIDENCE)

    def _standardised_rows(self) -> list[list[float]]:
        """Return the counts by pool, each with mean 0 and chance variance 1."""
        rows = []
        busiest = heapq.nlargest(
            _MAX_COMPARED_POOLS,
            self._pools.values(),
            key=lambda arrivals: sum(arrivals.counts),
        )
        for arrivals in busiest:
            smoothed = _smooth(arrivals.counts)
            mean = sum(smoothed) / len(smoothed)
            if mean:
                scale = 1 / math.sqrt(mean)
                rows.append([(count - mean) * scale for count in smoothed])
        return rows

    def _search_period(self, rows: list[list[float]]) -> int:
        """Return the shortest lag that is about as like as the best; or 0."""
        last = min(_MAX_LAG_BINS, self._bins - _MIN_OVERLAP_BINS)
        lags = range(_MIN_LAG_BINS, last + 1)
        self._update_covariances(rows, lags)
        covariances = self._covariances
        # Short lags compare a phase with itself.
        start = next(
            (n for n, covariance in enumerate(covariances) if covariance <= 0),
            len(covariances),
        )
        best = max(covariances[start:], default=0.0)
        if best <= 0:
            return 0
        for number in range(start, len(covariances)):
            neighbours = covariances[max(start, number - 1) : number + 2]
            covariance = covariances[number]
            if covariance >= _LAG_TOLERANCE * best and covariance == max(
                neighbours
            ):
                return lags[number]
        return 0

    def _update_covariances(self, rows: list[list[float]], lags: range) -> None:
        """Compute the covariances of the lags whose turn it is."""
        products = 0
        for _ in lags:
            if products > _MAX_PRODUCTS:
                return
            if self._next_lag >= len(lags):
                self._next_lag = 0
            covariance = _covariance(rows, lags[self._next_lag])
            self._covariances[self._next_lag : self._next_lag + 1] = [
                covariance
            ]
            products += len(rows) * min(
                _MAX_OVERLAP_BINS, self._bins - lags[self._next_lag]
            )
            self._next_lag += 1

    def _recent_agreement(self) -> float:
        """Return the share of the newest expected jobs that has arrived."""
        period = self.period_bins
        if not period or self._bins < period + _AGREEMENT_BINS:
            return 1.0
        expected = met = 0.0
        for arrivals in self._pools.values():
            counts = list(arrivals.counts)
            start = len(counts) - _AGREEMENT_BINS
            pool_expected = sum(counts[start - period :][:_AGREEMENT_BINS])
            expected += pool_expected
            met += min(pool_expected, sum(counts[start:]))
        if expected < _MIN_EXPECTED_JOBS:
            return 1.0
        return met / expected

    def _new_confidence(self, rows: list[list[float]]) -> float:
        period = self.period_bins
        window = min(period, self._bins - period)
        observed = 0.0
        if period and window > 0 and _variance(rows) >= _MIN_VARIANCE:
            observed = max(0.0, _correlation(rows, period, window))
        if self._stored_confidence is None:
            return observed
        own_share = min(1.0, self._own_bins / period) if period else 1.0
        if own_share == 1.0:
            self._stored_confidence = None
            return observed
        stored = self._stored_confidence
        return own_share * observed + (1 - own_share) * stored


def differs_materially(season: Season, stored: Season | None) -> bool:
    """Return whether a season has changed so that it has to be stored again.

    Args:
        season: The season that is known now.
        stored: The season that was stored last.
    """
    if stored is None or season.pools.keys() != stored.pools.keys():
        return True
    for pool, arrivals in season.pools.items():
        old = stored.pools[pool].jobs
        period = len(arrivals.jobs)
        if len(old) != period:
            return True
        shift = season.first_bin - stored.first_bin
        difference = sum(
            abs(count - old[(number + shift) % period])
            for number, count in enumerate(arrivals.jobs)
        )
        if difference > _MATERIAL_SHARE * (sum(old) + sum(arrivals.jobs)) / 2:
            return True
    return False


def _new_counts(bins: int) -> collections.deque[float]:
    return collections.deque([0.0] * bins, maxlen=HISTORY_BINS)


def _profile(counts: collections.deque[float], period: int) -> _Profile:
    newest = list(counts)[-period:]
    mean = sum(newest) / period
    high_bins = [smooth > mean for smooth in _smooth(newest)]
    levels: dict[bool, list[float]] = {False: [], True: []}
    for count, high in zip(newest, high_bins, strict=True):
        levels[high].append(count)
    low_jobs, high_jobs = (
        sum(level) / len(level) if level else mean
        for level in (levels[False], levels[True])
    )
    return _Profile(high_bins, high_jobs, low_jobs)


def _smooth(counts: Sequence[float]) -> list[float]:
    values = list(counts)
    before = [values[0], *values[:-1]]
    after = [*values[1:], values[-1]]
    return [
        (b + 2 * v + a) / 4
        for b, v, a in zip(before, values, after, strict=True)
    ]


def _variance(rows: list[list[float]]) -> float:
    """Return the mean square of all bins; their mean is 0."""
    bins = sum(map(len, rows))
    squares = sum(sum(map(operator.mul, row, row)) for row in rows)
    return squares / bins if bins else 0.0


def _covariance(rows: list[list[float]], lag: int) -> float:
    """Return the sum of products of bins that are a lag apart."""
    total = 0.0
    for row in rows:
        window = min(_MAX_OVERLAP_BINS, len(row) - lag)
        newer = row[len(row) - window :]
        older = row[len(row) - lag - window :]
        total += sum(map(operator.mul, newer, older))
    return total


def _correlation(rows: list[list[float]], lag: int, window: int) -> float:
    """Return the correlation of the newest bins with those a lag earlier."""
    products = newer_squares = older_squares = 0.0
    for row in rows:
        newer = row[len(row) - window :]
        older = row[len(row) - lag - window : len(row) - lag]
        products += sum(map(operator.mul, newer, older))
        newer_squares += sum(map(operator.mul, newer, newer))
        older_squares += sum(map(operator.mul, older, older))
    norm = math.sqrt(newer_squares * older_squares)
    return products / norm if norm else 0.0
