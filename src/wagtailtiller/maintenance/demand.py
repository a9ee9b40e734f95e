"""Estimates the number of machines that a pool needs.

The estimate is based on the arrival rate, the waiting tasks and the running
tasks. This module does no I/O.
"""

import collections
import dataclasses
import math

# Arrivals are averaged over both times, and the higher cautious rate counts:
# the short one shows a peak when it begins, and over the long one the margin
# for chance takes less of a steady rate.
_ARRIVAL_WINDOWS_MS = (700, 1_400)
# Without arrivals for this time, the peak has passed, or there is a lull that
# the peak window bridges.
_LULL_MS = 350
# Tasks arrive unevenly and their sizes are estimates.
_HEADROOM_FACTOR = 1.3
# A rate observed over a short time may be due to chance, so this many standard
# deviations are subtracted from the job count. A few large jobs are a weak
# basis for a forecast.
_RATE_MARGIN_SIGMAS = 1.5
# The estimate is the peak need within this time.
_PEAK_WINDOW_MS = 1_500
# With a forecast, the peak need within this time is enough: it bridges lulls of
# some samples, and the forecast says whether work follows.
_FORECAST_PEAK_WINDOW_MS = 600
# The order and the move (1.5 s) of a machine that is on standby or idle take
# about this long. Forecasts cover this time.
FORECAST_LEAD_MS = 2_000
# Share of the forecast that is provided ahead. Jobs have some slack, so that
# reaction can provide the rest; small deployments would pay for more machines
# without serving more.
FORECAST_SHARE = 0.6


@dataclasses.dataclass(frozen=True)
class LoadSample:
    """The load of a pool at one moment.

    Attributes:
        at_ms: Clock reading of the sample.
        arrived_core_ms: Work that has arrived since the owner took over, in
            core-milliseconds.
        arrived_jobs: Number of jobs that brought this work.
        waiting_millicores: CPU demand of the short tasks that could start now.
        running_millicores: CPU demand of the short tasks that run now.
        long_running_millicores: CPU demand of the long-running tasks.
        long_running_waiting: Number of long-running tasks that have found no
            room for some time.
    """

    at_ms: int
    arrived_core_ms: float
    arrived_jobs: int
    waiting_millicores: int
    running_millicores: int
    long_running_millicores: int
    long_running_waiting: int


class DemandEstimator:
    """Estimates the demand of one pool from samples of its load."""

    def __init__(self) -> None:
        self._loads: collections.deque[LoadSample] = collections.deque()
        self._needs: collections.deque[tuple[int, float]] = collections.deque()
        self._first_load_ms: int | None = None
        self._first_arrival_ms: int | None = None
        self._forecast_cores: float | None = None

    def add(
        self, load: LoadSample, forecast_cores: float | None = None
    ) -> None:
        """Add a sample.

        Args:
            load: Sample that is newer than all previous ones.
            forecast_cores: The most cores that jobs will need within
                ``FORECAST_LEAD_MS``; None without a reliable forecast.
        """
        self._forecast_cores = forecast_cores
        loads = self._loads
        if loads and _counters_restarted(load, loads[-1]):
            loads.clear()
        loads.append(load)
        while load.at_ms - loads[0].at_ms > _ARRIVAL_WINDOWS_MS[-1]:
            loads.popleft()
        if self._first_load_ms is None:
            self._first_load_ms = load.at_ms
        if self._first_arrival_ms is None and load.arrived_jobs:
            self._first_arrival_ms = load.at_ms
        self._needs.append((load.at_ms, self._cores_needed()))
        while load.at_ms - self._needs[0][0] > _PEAK_WINDOW_MS:
            self._needs.popleft()

    def has_arrival_history(self) -> bool:
        """Return whether work began to arrive at least a peak window ago."""
        if self._first_arrival_ms is None:
            return False
        return self._loads[-1].at_ms - self._first_arrival_ms >= _PEAK_WINDOW_MS

    def has_forecast(self) -> bool:
        """Return whether the newest sample came with a forecast."""
        return self._forecast_cores is not None

    def forecast_cores(self) -> float | None:
        """Return the newest forecast in whole cores; None without one."""
        if self._forecast_cores is None:
            return None
        return round(self._forecast_cores)

    def waiting_cores(self) -> float:
        """Return the cores that the waiting tasks could use now."""
        if not self._loads:
            return 0.0
        return self._loads[-1].waiting_millicores / 1_000

    def has_full_history(self) -> bool:
        """Return whether the samples span the whole peak window."""
        if self._first_load_ms is None:
            return False
        return self._loads[-1].at_ms - self._first_load_ms >= _PEAK_WINDOW_MS

    def machines_needed(
        self, machine_cores: float, present_machines: int
    ) -> int:
        """Return how many machines the pool needs, at least one.

        Args:
            machine_cores: Number of cores of one machine.
            present_machines: Number of machines in the pool that are up and
                are not about to be moved or maintained.

        Returns:
            The number of machines; more than ``present_machines`` while a
            long-running task finds no room.
        """
        needed = self.machines_for_load(machine_cores)
        if self._loads and self._loads[-1].long_running_waiting:
            # Memory or spreading rules may block the task rather than cores.
            return max(needed, present_machines + 1)
        return needed

    def machines_for_load(self, machine_cores: float) -> int:
        """Return how many machines the load needs, at least one.

        Args:
            machine_cores: Number of cores of one machine.
        """
        return max(1, math.ceil(self._peak_cores() / machine_cores))

    def _peak_cores(self) -> float:
        """Return the largest need in cores within the window."""
        if not self._needs:
            return 0.0
        since_ms = self._needs[-1][0] - _PEAK_WINDOW_MS
        if self._forecast_cores is not None:
            since_ms = self._needs[-1][0] - _FORECAST_PEAK_WINDOW_MS
        return max(cores for at_ms, cores in self._needs if at_ms >= since_ms)

    def _cores_needed(self) -> float:
        newest = self._loads[-1]
        waiting = newest.waiting_millicores / 1_000
        long_running = newest.long_running_millicores / 1_000
        running = newest.running_millicores / 1_000
        expected = _HEADROOM_FACTOR * self._arriving_cores()
        forecast = FORECAST_SHARE * (self._forecast_cores or 0.0)
        return long_running + waiting + max(expected, running, forecast)

    def _arriving_cores(self) -> float:
        """Return a cautious estimate of the cores that arriving jobs need."""
        newest = self._loads[-1]
        if not self._cautious_rate(_LULL_MS):
            return 0.0
        jobs_per_ms = max(map(self._cautious_rate, _ARRIVAL_WINDOWS_MS))
        mean_core_ms = newest.arrived_core_ms / newest.arrived_jobs
        return jobs_per_ms * mean_core_ms

    def _cautious_rate(self, window_ms: int) -> float:
        """Return a rate of arrivals that chance exceeds, in jobs per ms.

        Args:
            window_ms: Time over which the arrivals are averaged.
        """
        newest = self._loads[-1]
        oldest = next(
            load
            for load in self._loads
            if newest.at_ms - load.at_ms <= window_ms
        )
        span_ms = max(newest.at_ms - oldest.at_ms, window_ms / 2)
        count = newest.arrived_jobs - oldest.arrived_jobs
        margin = _RATE_MARGIN_SIGMAS * math.sqrt(count)
        return max(0.0, count - margin) / span_ms


def _counters_restarted(load: LoadSample, previous: LoadSample) -> bool:
    """Return whether the sample is from a new owner, which counts from zero."""
    return (
        load.arrived_jobs < previous.arrived_jobs
        or load.arrived_core_ms < previous.arrived_core_ms
    )
