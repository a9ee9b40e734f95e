"""Baselines in which gateways place requests independently."""

import enum
import functools
import random

from support.measure import results
from support.measure import trace
from support.measure import virtual_clock

_POLL_MS = 20.0


class Rule(enum.Enum):
    """Rule by which a gateway picks an endpoint."""

    RANDOM = "random"
    LEAST_LOADED = "local least-loaded"


class LocalPlacement:
    """Gateways with local queues, which serve the earliest deadline first.

    When a full endpoint refuses a request, the gateway retries later.

    Args:
        rule: Rule by which endpoints are picked.
        gateways: Number of gateways.
        seed: Seed of all random choices.
    """

    def __init__(self, rule: Rule, gateways: int, seed: int) -> None:
        self._rule = rule
        self._rng = random.Random(seed)
        self._running = [0] * trace.VMS
        self._own_running = [[0] * trace.VMS for _ in range(gateways)]
        self._waiting: list[list[trace.Request]] = [[] for _ in range(gateways)]
        self._polling = [False] * gateways
        self._clock = virtual_clock.VirtualClock()
        self._results = results.Results()

    def run(self, requests: list[trace.Request]) -> results.Results:
        """Run all requests of a trace and return their results."""
        for request in requests:
            self._clock.call_at(
                request.arrival_ms, functools.partial(self._enqueue, request)
            )
        self._clock.run()
        return self._results

    def _enqueue(self, request: trace.Request) -> None:
        self._waiting[request.gateway].append(request)
        self._serve(request.gateway)

    def _serve(self, gateway: int) -> None:
        waiting = self._waiting[gateway]
        while waiting:
            request = min(waiting, key=lambda each: each.deadline_ms)
            if self._clock.now_ms > request.deadline_ms:
                waiting.remove(request)
                self._results.refused += 1
                continue
            vm = self._pick(gateway)
            if self._running[vm] >= trace.SLOTS:
                self._schedule_poll(gateway)
                return
            waiting.remove(request)
            self._start(request, vm)

    def _pick(self, gateway: int) -> int:
        if self._rule is Rule.RANDOM:
            return self._rng.randrange(trace.VMS)
        return min(
            range(trace.VMS),
            key=lambda vm: (
                self._own_running[gateway][vm],
                self._rng.random(),
            ),
        )

    def _start(self, request: trace.Request, vm: int) -> None:
        self._running[vm] += 1
        self._own_running[request.gateway][vm] += 1
        self._results.start(request, self._clock.now_ms)
        self._clock.call_after(
            request.work_ms, lambda: self._finish(request, vm)
        )

    def _finish(self, request: trace.Request, vm: int) -> None:
        self._running[vm] -= 1
        self._own_running[request.gateway][vm] -= 1
        self._results.finish(request, self._clock.now_ms)
        self._serve(request.gateway)

    def _schedule_poll(self, gateway: int) -> None:
        if self._polling[gateway]:
            return
        self._polling[gateway] = True
        self._clock.call_after(_POLL_MS, lambda: self._on_poll(gateway))

    def _on_poll(self, gateway: int) -> None:
        self._polling[gateway] = False
        self._serve(gateway)
