"""The connections of a process, and what they hold in sum."""

import asyncio
import collections
from collections.abc import Callable
from typing import Protocol

from wagtailtiller import events
from wagtailtiller import prometheus_metrics
from wagtailtiller.http_server import limits as limits_module
from wagtailtiller.http_server import refusals
from wagtailtiller.http_server import turns
from wagtailtiller.ports import catalogue

_CHECK_INTERVAL_S = 0.5
# Weight of a connection that a client keeps for its next request.
_IDLE_WEIGHT = 0.25
# When a limit is reached, as much is freed as leaves this share of it, so that
# the connections are not ordered for each new one.
_FREED_TO_SHARE = 0.9


class Client(Protocol):
    """A connection in the table.

    Attributes:
        held_bytes: Memory that it takes.
        since_s: Time of the event loop at which its client began what it has
            not finished yet.
    """

    held_bytes: int
    since_s: float

    def is_idle(self) -> bool:
        """Return whether its last request was answered, and none follows."""

    def can_be_cut_off(self) -> bool:
        """Return whether this would cut off no request that is whole."""

    def cut_off(self, reason: refusals.Reason) -> None:
        """Refuse what its client has begun, and release the memory."""

    def check(self, now_s: float) -> None:
        """Cut the client off if it exceeds a time limit."""


class Table:
    """All connections of clients of one process.

    When they hold too much, those are cut off that have held most for longest
    without finishing a request. A client that sends its request at once has
    held little for a short time, and keeps its place.

    Args:
        limits: What they may hold in sum.
        request_limits: Returns the limits of a request.

    Attributes:
        request_limits: Returns the limits of a request.
        turns: Divides the time of the event loop among them.
    """

    def __init__(
        self,
        limits: limits_module.ClientLimits,
        request_limits: Callable[[], catalogue.RequestLimits],
    ) -> None:
        self.request_limits = request_limits
        self.turns = turns.Turns()
        self._limits = limits
        self._clients: set[Client] = set()
        self._held_bytes = 0
        self._cut_off_counts: collections.Counter[refusals.Reason] = (
            collections.Counter()
        )
        self._timer: asyncio.TimerHandle | None = None

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._clients)

    @property
    def held_bytes(self) -> int:
        """The memory that all connections hold."""
        return self._held_bytes

    def start(self) -> None:
        """Begin to check the time limits."""
        self._timer = asyncio.get_running_loop().call_later(
            _CHECK_INTERVAL_S, self._check
        )

    def stop(self) -> None:
        """Stop the checks."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def add(self, client: Client) -> bool:
        """Add a connection that has been accepted.

        Args:
            client: The connection, which holds nothing yet.

        Returns:
            Whether there is room for it.
        """
        if len(self._clients) >= self._limits.max_connections:
            self._free_connections()
        if len(self._clients) >= self._limits.max_connections:
            self.count_cut_off(refusals.Reason.NO_CONNECTION)
            return False
        self._clients.add(client)
        return True

    def remove(self, client: Client) -> None:
        """Remove a connection that is closed.

        Args:
            client: The connection; it may have been removed before.
        """
        self.hold(client, 0)
        self._clients.discard(client)

    def hold(self, client: Client, held_bytes: int) -> None:
        """Record how much a connection holds, and free memory if need be.

        Args:
            client: The connection, which may be cut off itself.
            held_bytes: Memory that it takes now.
        """
        more_bytes = held_bytes - client.held_bytes
        client.held_bytes = held_bytes
        self._held_bytes += more_bytes
        if more_bytes > 0 and self._held_bytes > self._limits.max_held_bytes:
            self._free_memory()

    def has_room(self, count_bytes: int) -> bool:
        """Return whether so much more may be held.

        Args:
            count_bytes: Memory that would be taken.
        """
        return self._held_bytes + count_bytes <= self._limits.max_held_bytes

    def count_cut_off(self, reason: refusals.Reason) -> None:
        """Count a client that is cut off.

        Args:
            reason: Why it is.
        """
        self._cut_off_counts[reason] += 1

    def _free_memory(self) -> None:
        target_bytes = int(self._limits.max_held_bytes * _FREED_TO_SHARE)
        for client in self._in_order_of_cost():
            if self._held_bytes <= target_bytes:
                return
            client.cut_off(refusals.Reason.NO_MEMORY)

    def _free_connections(self) -> None:
        target_count = int(self._limits.max_connections * _FREED_TO_SHARE)
        for client in self._in_order_of_cost():
            if len(self._clients) <= target_count:
                return
            client.cut_off(refusals.Reason.NO_CONNECTION)

    def _in_order_of_cost(self) -> list[Client]:
        now_s = asyncio.get_running_loop().time()
        clients = [c for c in self._clients if c.can_be_cut_off()]
        clients.sort(key=lambda client: _cost(client, now_s), reverse=True)
        return clients

    def _check(self) -> None:
        # First, so that an unexpected error does not end the checks.
        self.start()
        now_s = asyncio.get_running_loop().time()
        for client in list(self._clients):
            client.check(now_s)
        self._report()

    def _report(self) -> None:
        prometheus_metrics.set_connections(len(self._clients), self._held_bytes)
        for reason, count in self._cut_off_counts.items():
            prometheus_metrics.count_cut_off(reason.value, count)
            events.emit(
                events.Event.CLIENTS_CUT_OFF,
                reason=reason.value,
                count=count,
                connections=len(self._clients),
                held_bytes=self._held_bytes,
            )
        self._cut_off_counts.clear()


def _cost(client: Client, now_s: float) -> float:
    """Return what a client has held, in bytes times seconds."""
    cost = client.held_bytes * (now_s - client.since_s)
    return cost * _IDLE_WEIGHT if client.is_idle() else cost
