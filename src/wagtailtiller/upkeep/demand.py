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
# Work that waits is to be done within this time.
_DRAIN_MS = 1_200
# A pool keeps what it needed at most during this time.
_KEEP_MS = 1_500


@dataclasses.dataclass(frozen=True)
class PoolLoad:
    """A pool's load at one moment.

    Attributes:
        at_ms: When.
        arrived_core_ms: Work that has arrived since the owner took over.
        idle_core_ms: Work that waits for a start.
        running_millicores: What tasks that end take now.
        lasting_millicores: What tasks that last need.
        lasting_waiting: How many of them wait for a start.
    """

    at_ms: int
    arrived_core_ms: float
    idle_core_ms: float
    running_millicores: int
    lasting_millicores: int
    lasting_waiting: int


class Demand:
    """Follows one pool's load."""

    def __init__(self) -> None:
        self._loads: collections.deque[PoolLoad] = collections.deque()
        self._needs: collections.deque[tuple[int, float]] = collections.deque()

    def note(self, load: PoolLoad) -> None:
        """Take a new load in."""
        loads = self._loads
        if loads and load.arrived_core_ms < loads[-1].arrived_core_ms:
            # Another owner counts from its own start.
            loads.clear()
        loads.append(load)
        while load.at_ms - loads[0].at_ms > _WINDOW_MS:
            loads.popleft()
        self._needs.append((load.at_ms, self._cores_now()))
        while load.at_ms - self._needs[0][0] > _KEEP_MS:
            self._needs.popleft()

    def machines(self, machine_cores: float, present: int) -> int:
        """Return how many machines the pool needs, at least one.

        Args:
            machine_cores: What one machine offers.
            present: How many machines stand in the pool, without those on
                their way to it.
        """
        cores = max((cores for _, cores in self._needs), default=0.0)
        wanted = max(1, math.ceil(cores / machine_cores))
        if self._loads and self._loads[-1].lasting_waiting:
            # Memory or spread may keep it from starting, not cores.
            return max(wanted, present + 1)
        return wanted

    def _cores_now(self) -> float:
        newest = self._loads[-1]
        oldest = self._loads[0]
        span_ms = newest.at_ms - oldest.at_ms
        arriving = 0.0
        if span_ms:
            arrived = newest.arrived_core_ms - oldest.arrived_core_ms
            arriving = arrived / max(span_ms, _WINDOW_MS / 2)
        waiting = newest.idle_core_ms / _DRAIN_MS
        lasting = newest.lasting_millicores / 1_000
        running = newest.running_millicores / 1_000
        return lasting + max(_HEADROOM * arriving + waiting, running + waiting)
