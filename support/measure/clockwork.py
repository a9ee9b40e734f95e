"""Virtual time: callbacks in order of their due time."""

from collections.abc import Callable
import heapq
import itertools


class Clockwork:
    """A queue of things that are due."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, when_ms: float, action: Callable[[], None]) -> None:
        """Call something at a time."""
        heapq.heappush(self._due, (when_ms, next(self._order), action))

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Call something after a delay."""
        self.at(self.now_ms + delay_ms, action)

    def run(self, until_ms: float = float("inf")) -> None:
        """Go on until nothing is due before a time."""
        while self._due and self._due[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._due)
            action()
