"""Measures how late the event loop of a process runs."""

import asyncio
from typing import NoReturn

from wagtailtiller import clock as clock_module
from wagtailtiller import events

_INTERVAL_MS = 100
# Lateness of a loop that has little to do stays far below this.
_LATE_MS = 100


class LoopMonitor:
    """Logs when the event loop is late.

    A process whose loop is late reads answers late, so that its peers seem to
    be slow or unresponsive.

    Args:
        clock: Clock that supplies the current time.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock

    async def run(self) -> NoReturn:
        """Sleep repeatedly and compare the time that has passed."""
        while True:
            due_ms = self._clock.monotonic_ms() + _INTERVAL_MS
            await asyncio.sleep(_INTERVAL_MS / 1_000)
            late_ms = self._clock.monotonic_ms() - due_ms
            if late_ms >= _LATE_MS:
                events.emit(events.Event.LOOP_LATE, took_ms=late_ms)
