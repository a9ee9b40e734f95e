"""Timeouts that do not mistake the lateness of this process for silence."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

# Each slice lasts for at least one turn of the event loop, in which the loop
# reads what has arrived.
_SLICE_MS = 100
# The clock of the event loop counts whole milliseconds, so that a timer may
# expire that much early.
_CLOCK_RESOLUTION_MS = 1


@contextlib.asynccontextmanager
async def responsive_timeout(timeout_ms: int) -> AsyncIterator[None]:
    """Limit the duration of a block that waits for another process.

    The timeout is divided into slices. A slice begins only when the event loop
    has noticed the end of the previous one, so that a loop that is late does
    not abandon a response that has arrived but has not been read. In a process
    that keeps up it is an ordinary timeout.

    Args:
        timeout_ms: The time limit, as long as the loop is not late.

    Raises:
        TimeoutError: The time limit was reached.
    """
    async with asyncio.timeout(None) as scope:
        slices = _Slices(scope, timeout_ms)
        try:
            yield
        finally:
            slices.cancel()


class _Slices:
    """The timer of a timeout, which is restarted for each slice.

    Args:
        scope: Timeout that expires after the last slice.
        timeout_ms: Sum of the slices.
    """

    def __init__(self, scope: asyncio.Timeout, timeout_ms: int) -> None:
        self._scope = scope
        self._left_ms = timeout_ms + _CLOCK_RESOLUTION_MS
        self._loop = asyncio.get_running_loop()
        self._begin()

    def cancel(self) -> None:
        """Stop the timer."""
        self._timer.cancel()

    def _begin(self) -> None:
        slice_ms = min(self._left_ms, _SLICE_MS)
        self._left_ms -= slice_ms
        self._timer = self._loop.call_later(slice_ms / 1_000, self._end)

    def _end(self) -> None:
        if self._left_ms > 0:
            self._begin()
        else:
            self._scope.reschedule(self._loop.time())
