"""The bound: one queue, known to all at once, in front of all slots.

The bound is the best of earliest deadline, shortest learned run time and
refusal at the door. A clairvoyant queue, which also knows each run time
beforehand and so never runs what must be late, is shown beside it; no
scheduler can be asked to reach that.
"""

from collections.abc import Callable
import enum
import functools

from support.measure import clockwork
from support.measure import results
from support.measure import trace
from wagtailtiller.dispatch import estimates


class Order(enum.Enum):
    """How the shared queue is served."""

    EARLIEST_DEADLINE = "earliest deadline"
    SHORTEST_LEARNED = "shortest learned"
    DOOR = "refusal at the door"
    CLAIRVOYANT = "clairvoyant"


class SharedQueue:
    """All slots behind one queue, without any delay.

    Args:
        order: How it is served.
        slots: How many requests run at once.
    """

    def __init__(self, order: Order, slots: int) -> None:
        self._order = order
        self._free = slots
        self._slots = slots
        self._waiting: list[trace.Request] = []
        self._backlog_ms = 0.0
        self._clock = clockwork.Clockwork()
        self._results = results.Results()
        self._times: dict[str, estimates.RunTimeHistogram] = {}

    def run(self, requests: list[trace.Request]) -> results.Results:
        """Run a trace."""
        for request in requests:
            self._clock.at(
                request.arrival_ms, functools.partial(self._add, request)
            )
        self._clock.run()
        return self._results

    def _add(self, request: trace.Request) -> None:
        if self._order is Order.DOOR and not self._fits(request):
            self._results.refused += 1
            return
        self._waiting.append(request)
        self._serve()

    def _fits(self, request: trace.Request) -> bool:
        ahead_ms = sum(
            self._learned(other.queue).mean_ms()
            for other in self._waiting
            if other.deadline_ms <= request.deadline_ms
        )
        wait_ms = 0.0 if self._free else ahead_ms / self._slots
        run_ms = self._learned(request.queue).mean_ms()
        ends_ms = self._clock.now_ms + wait_ms + run_ms
        return ends_ms <= request.deadline_ms

    def _serve(self) -> None:
        key = self._key()
        while self._free and self._waiting:
            request = min(self._waiting, key=key)
            self._waiting.remove(request)
            ends_ms = self._clock.now_ms + request.work_ms
            if self._lost(request, ends_ms):
                self._results.refused += 1
                continue
            self._free -= 1
            self._results.start(request, self._clock.now_ms)
            self._clock.at(ends_ms, functools.partial(self._finish, request))

    def _lost(self, request: trace.Request, ends_ms: float) -> bool:
        if self._order is Order.CLAIRVOYANT:
            return ends_ms > request.deadline_ms
        return self._clock.now_ms > request.deadline_ms

    def _finish(self, request: trace.Request) -> None:
        self._free += 1
        self._results.finish(request, self._clock.now_ms)
        self._learned(request.queue).observe(int(request.work_ms))
        self._serve()

    def _key(self) -> Callable[[trace.Request], float]:
        if self._order is Order.SHORTEST_LEARNED:
            return lambda request: self._learned(request.queue).mean_ms()
        return lambda request: request.deadline_ms

    def _learned(self, queue: trace.QueueShape) -> estimates.RunTimeHistogram:
        if queue.name not in self._times:
            self._times[queue.name] = estimates.RunTimeHistogram(500)
        return self._times[queue.name]


def bound(
    requests: list[trace.Request], slots: int
) -> dict[Order, results.Results]:
    """Run a trace in every order."""
    return {order: SharedQueue(order, slots).run(requests) for order in Order}


def best(
    runs: dict[Order, results.Results],
) -> tuple[float, int]:
    """Return the bound: the most work and the most requests on time."""
    fair = [run for order, run in runs.items() if order in _BOUND]
    work_ms = max(run.work_on_time_ms for run in fair)
    return work_ms, max(run.on_time for run in fair)


_BOUND = (Order.EARLIEST_DEADLINE, Order.SHORTEST_LEARNED, Order.DOOR)
