"""Writes log lines without ever blocking, and bounds their volume.

Lines wait in a queue of limited length and leave in batches. What does not
fit, or comes faster than the allowed rate, is counted and left out, and a line
says how many were.
"""

import asyncio
import collections
from collections.abc import Callable
import os

_MOST_WAITING_LINES = 20_000
_LINES_PER_S = 600
_BURST_LINES = 3_000
_FLUSH_EVERY_S = 0.05
_BATCH_LINES = 200


class LineWriter:
    """Writes lines to a descriptor.

    Args:
        descriptor: Where to write; it is made non-blocking.
        dropped: Called with how many lines were left out, before the next
            line is taken.
        now_s: A monotonic clock, in seconds.
    """

    def __init__(
        self,
        descriptor: int,
        dropped: Callable[[int], bytes],
        now_s: Callable[[], float],
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._dropped = dropped
        self._now_s = now_s
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b""
        self._allowance = float(_BURST_LINES)
        self._allowed_at_s = now_s()
        self._left_out = 0
        self._scheduled = False

    def put(self, line: bytes, vital: bool = False) -> None:
        """Queue a line, or leave it out.

        Args:
            line: Without its line end.
            vital: It is kept however fast lines come.
        """
        if not vital and not self._allowed():
            self._left_out += 1
            return
        if len(self._lines) >= _MOST_WAITING_LINES:
            self._left_out += 1
            return
        if self._left_out:
            count, self._left_out = self._left_out, 0
            self._lines.append(self._dropped(count))
        self._lines.append(line)
        self._schedule()

    def flush(self) -> bool:
        """Write what the descriptor takes; say whether all has gone."""
        while self._rest or self._lines:
            if not self._rest:
                count = min(_BATCH_LINES, len(self._lines))
                batch = [self._lines.popleft() for _ in range(count)]
                self._rest = b"\n".join(batch) + b"\n"
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return False
            except OSError:
                # Nobody reads any more; there is nobody to tell either.
                self._rest = b""
                self._lines.clear()
                return True
            self._rest = self._rest[written:]
        return True

    def _allowed(self) -> bool:
        now_s = self._now_s()
        earned = (now_s - self._allowed_at_s) * _LINES_PER_S
        self._allowance = min(_BURST_LINES, self._allowance + earned)
        self._allowed_at_s = now_s
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _schedule(self) -> None:
        if self._scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._scheduled = True
        loop.call_later(_FLUSH_EVERY_S, self._on_time)

    def _on_time(self) -> None:
        self._scheduled = False
        if not self.flush():
            self._schedule()
