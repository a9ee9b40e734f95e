"""How many machines a pool needs, from what arrives and what waits.

Pure: loads come in, numbers come out.
"""

import collections
import dataclasses
import math

# Arrivals are averaged over this time; a burst shows within half of it.
_WINDOW_MS = 700
# Tasks come unevenly and their sizes are guesses.
_HEADROOM = 1.3
# A rate seen over a short time may be chance: this many standard deviations of
# the count of jobs are taken off. Few large jobs foretell little.
_DOUBT = 1.5
# A pool keeps what it needed at most during this time.
_KEEP_MS = 1_500


@dataclasses.dataclass(frozen=True)
class PoolLoad:
    """A pool's load at one moment.

    Attributes:
        at_ms: When.
        arrived_core_ms: Work that has arrived since the owner took over.
        arrived_jobs: The jobs that brought it.
        idle_millicores: What tasks that wait for a start would take.
        running_millicores: What tasks that end take now.
        long_running_millicores: What tasks that last need.
        long_running_waiting: How many of them wait for a start.
    """

    at_ms: int
    arrived_core_ms: float
    arrived_jobs: int
    idle_millicores: int
    running_millicores: int
    long_running_millicores: int
    long_running_waiting: int


class Demand:
    """Follows one pool's load."""

    def __init__(self) -> None:
        self._loads: collections.deque[PoolLoad] = collections.deque()
        self._needs: collections.deque[tuple[int, float]] = collections.deque()
        self._since_ms: int | None = None

    def note(self, load: PoolLoad) -> None:
        """Take a new load in."""
        loads = self._loads
        if loads and _counts_anew(load, loads[-1]):
            loads.clear()
        loads.append(load)
        while load.at_ms - loads[0].at_ms > _WINDOW_MS:
            loads.popleft()
        if self._since_ms is None:
            self._since_ms = load.at_ms
        self._needs.append((load.at_ms, self._cores_now()))
        while load.at_ms - self._needs[0][0] > _KEEP_MS:
            self._needs.popleft()

    def is_settled(self) -> bool:
        """Return whether the pool was followed for the time that counts."""
        if self._since_ms is None:
            return False
        return self._loads[-1].at_ms - self._since_ms >= _KEEP_MS

    def machines(self, machine_cores: float, present: int) -> int:
        """Return how many machines the pool needs, at least one.

        Args:
            machine_cores: What one machine offers.
            present: How many machines stand in the pool, without those on
                their way to it.
        """
        cores = max((cores for _, cores in self._needs), default=0.0)
        wanted = max(1, math.ceil(cores / machine_cores))
        if self._loads and self._loads[-1].long_running_waiting:
            # Memory or spread may keep it from starting, not cores.
            return max(wanted, present + 1)
        return wanted

    def _cores_now(self) -> float:
        newest = self._loads[-1]
        waiting = newest.idle_millicores / 1_000
        long_running = newest.long_running_millicores / 1_000
        running = newest.running_millicores / 1_000
        expected = _HEADROOM * self._arriving_cores()
        return long_running + waiting + max(expected, running)

    def _arriving_cores(self) -> float:
        """Return what jobs take that keep coming as they surely do."""
        newest = self._loads[-1]
        oldest = self._loads[0]
        span_ms = max(newest.at_ms - oldest.at_ms, _WINDOW_MS / 2)
        count = newest.arrived_jobs - oldest.arrived_jobs
        surely = max(0.0, count - _DOUBT * math.sqrt(count))
        if not surely:
            return 0.0
        mean_core_ms = newest.arrived_core_ms / newest.arrived_jobs
        return surely * mean_core_ms / span_ms


def _counts_anew(load: PoolLoad, before: PoolLoad) -> bool:
    """Return whether another owner, counting from its own start, speaks."""
    return (
        load.arrived_jobs < before.arrived_jobs
        or load.arrived_core_ms < before.arrived_core_ms
    )
