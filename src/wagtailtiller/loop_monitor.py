"""Measures how late the event loop of a process runs."""

import asyncio
import collections
import dataclasses
from typing import NoReturn

from wagtailtiller import clock as clock_module
from wagtailtiller import events

_INTERVAL_MS = 100
# Lateness of a loop that has little to do stays far below this.
_LATE_MS = 100
# Time over which lateness is measured.
_WINDOW_MS = 2_000
# A single late turn, such as a takeover or a paused VM, says nothing about the
# next seconds.
_MIN_LATE_SAMPLES = 2
_LATE_SHARE = 0.4
# A slowed VM has turns in which it has little to do.
_RECOVERY_MS = 3_000


@dataclasses.dataclass(frozen=True)
class _Sample:
    """One measurement.

    Attributes:
        end_ms: Time on the monotonic clock at which it ended.
        late_ms: How much longer than intended it took.
    """

    end_ms: int
    late_ms: int

    def duration_ms(self) -> int:
        """Return how long the measurement took."""
        return _INTERVAL_MS + self.late_ms


class LatenessGauge:
    """Decides whether a process is late, from samples of its event loop.

    It becomes late when late turns fill a share of the last two seconds, and
    recovers when that has not been so for three seconds.

    Attributes:
        late: Whether the process is late.
        late_now: Whether it was late in the last two seconds.
    """

    def __init__(self) -> None:
        self.late = False
        self.late_now = False
        self._samples: collections.deque[_Sample] = collections.deque()
        self._last_late_ms = 0

    def add(self, now_ms: int, late_ms: int) -> None:
        """Record that a sleep of 100 ms ended late.

        Args:
            now_ms: Time on the monotonic clock at which it ended.
            late_ms: How much longer than intended it took.
        """
        self._samples.append(_Sample(now_ms, max(0, late_ms)))
        self._drop_old_samples()
        self.late_now = self._is_window_late()
        if self.late_now:
            self.late = True
            self._last_late_ms = now_ms
        elif now_ms - self._last_late_ms >= _RECOVERY_MS:
            self.late = False

    def recent_ms(self, now_ms: int) -> int:
        """Return the largest lateness of the last two seconds, in ms.

        Args:
            now_ms: Current time on the monotonic clock.
        """
        return max(
            (
                sample.late_ms
                for sample in self._samples
                if now_ms - sample.end_ms <= _WINDOW_MS
            ),
            default=0,
        )

    def _drop_old_samples(self) -> None:
        # The samples of a loop that is very late are longer than the window.
        covered_ms = sum(sample.duration_ms() for sample in self._samples)
        while len(self._samples) > _MIN_LATE_SAMPLES:
            covered_ms -= self._samples[0].duration_ms()
            if covered_ms < _WINDOW_MS:
                return
            self._samples.popleft()

    def _is_window_late(self) -> bool:
        late_samples = [
            sample.late_ms
            for sample in self._samples
            if sample.late_ms >= _LATE_MS
        ]
        covered_ms = sum(sample.duration_ms() for sample in self._samples)
        return len(late_samples) >= _MIN_LATE_SAMPLES and sum(
            late_samples
        ) >= _LATE_SHARE * max(covered_ms, _WINDOW_MS)


class LoopMonitor:
    """Logs when the event loop is late, and keeps a gauge of it.

    A process whose loop is late reads answers late, so that its peers seem to
    be slow or unresponsive.

    Args:
        clock: Clock that supplies the current time.

    Attributes:
        gauge: Tells whether the process is late.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self.gauge = LatenessGauge()
        self._clock = clock

    async def run(self) -> NoReturn:
        """Sleep repeatedly and compare the time that has passed."""
        while True:
            due_ms = self._clock.monotonic_ms() + _INTERVAL_MS
            await asyncio.sleep(_INTERVAL_MS / 1_000)
            now_ms = self._clock.monotonic_ms()
            late_ms = now_ms - due_ms
            self.gauge.add(now_ms, late_ms)
            if late_ms >= _LATE_MS:
                events.emit(events.Event.LOOP_LATE, took_ms=late_ms)
