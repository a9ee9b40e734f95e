"""Divides the time of the event loop among connections with much to parse."""

import asyncio
import collections
from typing import Protocol

# Longest time in one turn of the event loop, at the end of which other
# connections are read and answered.
_TURN_S = 0.002
# Requests that begin in one turn.
_MAX_REQUESTS = 4


class Worker(Protocol):
    """A connection with bytes that have not been parsed."""

    def work(self) -> bool:
        """Parse a piece of the bytes.

        Returns:
            Whether a request has begun.
        """

    def has_work(self) -> bool:
        """Return whether there are more bytes that may be parsed now."""


class Turns:
    """Lets connections work in turn, for a limited time in each loop turn."""

    def __init__(self) -> None:
        self._waiting: collections.deque[Worker] = collections.deque()
        self._scheduled = False

    def add(self, worker: Worker) -> None:
        """Add a connection behind all others.

        Args:
            worker: The connection; it must not be waiting already.
        """
        self._waiting.append(worker)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._scheduled = False
        try:
            self._work()
        finally:
            self._schedule()

    def _work(self) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + _TURN_S
        request_count = 0
        while self._waiting and request_count < _MAX_REQUESTS:
            worker = self._waiting.popleft()
            request_count += worker.work()
            if worker.has_work():
                self._waiting.append(worker)
            if loop.time() >= end_s:
                return
