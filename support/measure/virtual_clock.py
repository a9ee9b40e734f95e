"""Virtual time for discrete-event simulations."""

from collections.abc import Callable
import heapq
import itertools


class VirtualClock:
    """Clock that calls callbacks in the order of their due times.

    Attributes:
        now_ms: Current time in milliseconds.
    """

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def call_at(self, due_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a callback for a time in milliseconds."""
        heapq.heappush(self._due, (due_ms, next(self._order), callback))

    def call_after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay in milliseconds."""
        self.call_at(self.now_ms + delay_ms, callback)

    def run(self, until_ms: float = float("inf")) -> None:
        """Call all callbacks that are due until a time, in milliseconds."""
        while self._due and self._due[0][0] <= until_ms:
            self.now_ms, _, callback = heapq.heappop(self._due)
            callback()
