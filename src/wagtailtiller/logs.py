"""Non-blocking log writer with a bounded queue and a rate limit.

Lines wait in a queue of limited length and are written in batches. Lines that
do not fit, or that exceed the rate limit (a token bucket), are dropped and
counted; a line then reports how many were dropped.
"""

import asyncio
import collections
from collections.abc import Callable
import os

_MAX_QUEUED_LINES = 20_000
_MAX_LINES_PER_S = 600
_BURST_LINES = 3_000
_FLUSH_INTERVAL_S = 0.05
_MAX_BATCH_LINES = 200


class LineWriter:
    """Writes lines to a file descriptor.

    Args:
        descriptor: File descriptor to write to; it is made non-blocking.
        format_dropped: Returns the line that reports a number of dropped
            lines; it precedes the next line that is queued.
        now_s: Returns the time of a monotonic clock, in seconds.
    """

    def __init__(
        self,
        descriptor: int,
        format_dropped: Callable[[int], bytes],
        now_s: Callable[[], float],
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._format_dropped = format_dropped
        self._now_s = now_s
        self._queue: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self._rate_tokens = float(_BURST_LINES)
        self._refilled_at_s = now_s()
        self._dropped_count = 0
        self._flush_scheduled = False

    def put(self, line: bytes, essential: bool = False) -> None:
        """Queue a line, or drop it if a limit is exceeded.

        Args:
            line: The line without its line end.
            essential: Whether the line is exempt from the rate limit. The
                limit of the queue applies to it all the same.
        """
        if not essential and not self._take_rate_token():
            self._dropped_count += 1
            return
        if len(self._queue) >= _MAX_QUEUED_LINES:
            self._dropped_count += 1
            return
        if self._dropped_count:
            count, self._dropped_count = self._dropped_count, 0
            self._queue.append(self._format_dropped(count))
        self._queue.append(line)
        self._schedule_flush()

    def flush(self) -> bool:
        """Write queued lines until the descriptor would block.

        If the descriptor fails, the queued lines are discarded.

        Returns:
            Whether the queue is empty.
        """
        while self._unwritten or self._queue:
            if not self._unwritten:
                count = min(_MAX_BATCH_LINES, len(self._queue))
                batch = [self._queue.popleft() for _ in range(count)]
                self._unwritten = b"\n".join(batch) + b"\n"
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # The reader is gone, so the error cannot be logged either.
                self._unwritten = b""
                self._queue.clear()
                return True
            self._unwritten = self._unwritten[written:]
        return True

    def _take_rate_token(self) -> bool:
        now_s = self._now_s()
        refill = (now_s - self._refilled_at_s) * _MAX_LINES_PER_S
        self._rate_tokens = min(_BURST_LINES, self._rate_tokens + refill)
        self._refilled_at_s = now_s
        if self._rate_tokens < 1:
            return False
        self._rate_tokens -= 1
        return True

    def _schedule_flush(self) -> None:
        if self._flush_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._flush_scheduled = True
        loop.call_later(_FLUSH_INTERVAL_S, self._on_flush_timer)

    def _on_flush_timer(self) -> None:
        self._flush_scheduled = False
        if not self.flush():
            self._schedule_flush()
