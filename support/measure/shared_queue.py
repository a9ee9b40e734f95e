"""Upper bound of placement: a single queue in front of all slots.

The queue has no delays. The bound is the best result of three orders: earliest
deadline, shortest learned run time, and earliest deadline with admission
control. A clairvoyant order, which knows each run time in advance and never
starts a request that would finish late, is run for comparison. It is not part
of the bound because no scheduler can know the run times.
"""

from collections.abc import Callable
import enum
import functools

from support.measure import results
from support.measure import trace
from support.measure import virtual_clock
from wagtailtiller.dispatch import estimates


class Order(enum.Enum):
    """Order in which the shared queue is served."""

    EARLIEST_DEADLINE = "earliest deadline"
    SHORTEST_LEARNED = "shortest learned"
    ADMISSION = "refusal at the door"
    CLAIRVOYANT = "clairvoyant"


class SharedQueue:
    """Queue in front of all slots, without delays.

    Args:
        order: Order in which the queue is served.
        slots: Largest number of concurrent requests.
    """

    def __init__(self, order: Order, slots: int) -> None:
        self._order = order
        self._free_slots = slots
        self._slots = slots
        self._waiting: list[trace.Request] = []
        self._clock = virtual_clock.VirtualClock()
        self._results = results.Results()
        self._histograms: dict[str, estimates.RunTimeHistogram] = {}

    def run(self, requests: list[trace.Request]) -> results.Results:
        """Run all requests of a trace and return their results."""
        for request in requests:
            self._clock.call_at(
                request.arrival_ms, functools.partial(self._enqueue, request)
            )
        self._clock.run()
        return self._results

    def _enqueue(self, request: trace.Request) -> None:
        if self._order is Order.ADMISSION and not self._can_finish(request):
            self._results.refused += 1
            return
        self._waiting.append(request)
        self._serve()

    def _can_finish(self, request: trace.Request) -> bool:
        ahead_ms = sum(
            self._histogram(other.queue).mean_ms()
            for other in self._waiting
            if other.deadline_ms <= request.deadline_ms
        )
        wait_ms = 0.0 if self._free_slots else ahead_ms / self._slots
        run_ms = self._histogram(request.queue).mean_ms()
        end_ms = self._clock.now_ms + wait_ms + run_ms
        return end_ms <= request.deadline_ms

    def _serve(self) -> None:
        sort_key = self._sort_key()
        while self._free_slots and self._waiting:
            request = min(self._waiting, key=sort_key)
            self._waiting.remove(request)
            end_ms = self._clock.now_ms + request.work_ms
            if self._is_too_late(request, end_ms):
                self._results.refused += 1
                continue
            self._free_slots -= 1
            self._results.start(request, self._clock.now_ms)
            self._clock.call_at(
                end_ms, functools.partial(self._finish, request)
            )

    def _is_too_late(self, request: trace.Request, end_ms: float) -> bool:
        if self._order is Order.CLAIRVOYANT:
            return end_ms > request.deadline_ms
        return self._clock.now_ms > request.deadline_ms

    def _finish(self, request: trace.Request) -> None:
        self._free_slots += 1
        self._results.finish(request, self._clock.now_ms)
        self._histogram(request.queue).observe(int(request.work_ms))
        self._serve()

    def _sort_key(self) -> Callable[[trace.Request], float]:
        if self._order is Order.SHORTEST_LEARNED:
            return lambda request: self._histogram(request.queue).mean_ms()
        return lambda request: request.deadline_ms

    def _histogram(self, queue: trace.QueueShape) -> estimates.RunTimeHistogram:
        if queue.name not in self._histograms:
            self._histograms[queue.name] = estimates.RunTimeHistogram(500)
        return self._histograms[queue.name]


def run_all_orders(
    requests: list[trace.Request], slots: int
) -> dict[Order, results.Results]:
    """Run a trace in every order and return the results by order."""
    return {order: SharedQueue(order, slots).run(requests) for order in Order}


def best_on_time(
    runs: dict[Order, results.Results],
) -> tuple[float, int]:
    """Return the upper bounds of work, in ms, and of requests on time."""
    bound_results = [
        run for order, run in runs.items() if order in _BOUND_ORDERS
    ]
    work_ms = max(run.work_on_time_ms for run in bound_results)
    return work_ms, max(run.on_time for run in bound_results)


_BOUND_ORDERS = (
    Order.EARLIEST_DEADLINE,
    Order.SHORTEST_LEARNED,
    Order.ADMISSION,
)
