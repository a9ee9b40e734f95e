"""Time limits of callers' requests."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib

from wagtailtiller import clock as clock_module

# Subtracted from a caller's timeout, so that the answer reaches it in time.
_RESPONSE_MARGIN_MS = 150
# A request waits for one turn of the event loop before it is read, and its
# answer for one more after the time limit.
_LATE_TURNS = 2
# The margin takes at most this share of a caller's timeout.
_MAX_MARGIN_SHARE = 0.5


class Deadlines:
    """Ends the work on requests while there is time for an answer.

    Args:
        clock: Clock that supplies the current time.
        lateness_ms: Returns how late the event loop has recently been.
    """

    def __init__(
        self, clock: clock_module.Clock, lateness_ms: Callable[[], int]
    ) -> None:
        self._clock = clock
        self._lateness_ms = lateness_ms
        self._end_ms: int | None = None
        self._scopes: set[asyncio.Timeout] = set()

    def time_left_ms(self, timeout_ms: int) -> int:
        """Return how long the work on a request may take.

        Args:
            timeout_ms: How long the caller will wait.

        Returns:
            The time in ms, at least 0.
        """
        margin_ms = min(
            _RESPONSE_MARGIN_MS + _LATE_TURNS * self._lateness_ms(),
            int(timeout_ms * _MAX_MARGIN_SHARE),
        )
        left_ms = timeout_ms - margin_ms
        if self._end_ms is not None:
            left_ms = min(left_ms, self._end_ms - self._clock.monotonic_ms())
        return max(left_ms, 0)

    @contextlib.asynccontextmanager
    async def limit(self, timeout_ms: int) -> AsyncIterator[int]:
        """Limit a block that works on a request.

        Args:
            timeout_ms: How long the caller will wait.

        Yields:
            The end of the time limit on the monotonic clock, in ms.

        Raises:
            TimeoutError: The time limit was reached.
        """
        left_ms = self.time_left_ms(timeout_ms)
        deadline_ms = self._clock.monotonic_ms() + left_ms
        async with asyncio.timeout(left_ms / 1_000) as scope:
            self._scopes.add(scope)
            try:
                yield deadline_ms
            finally:
                self._scopes.discard(scope)

    def end_all_within(self, limit_ms: int) -> None:
        """End all current and later blocks within a time.

        Args:
            limit_ms: The time from now.
        """
        self._end_ms = self._clock.monotonic_ms() + limit_ms
        end_s = asyncio.get_running_loop().time() + limit_ms / 1_000
        for scope in self._scopes:
            scope_end_s = scope.when()
            if not scope.expired() and (
                scope_end_s is None or scope_end_s > end_s
            ):
                scope.reschedule(end_s)
