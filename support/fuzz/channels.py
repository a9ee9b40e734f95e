"""Ordered channels between gateways that delay, break and reconnect."""

import collections
from collections.abc import Callable
import dataclasses
import random

from wagtailtiller import ids
from wagtailtiller.dispatch import messages

_LONGEST_DELAY_MS = 30


@dataclasses.dataclass
class _Lane:
    waiting: "collections.deque[tuple[int, messages.Message]]"
    last_due_ms: int = 0


@dataclasses.dataclass
class Stream:
    """A stream that a front opened to a dispatcher.

    Attributes:
        frontend: Its opener.
        peer: The other end.
        open: Whether it carries messages.
        greeted: Whether the peer knows who opened it; it answers only then.
    """

    frontend: ids.GatewayId
    peer: ids.GatewayId
    open: bool = True
    greeted: bool = False
    up: _Lane = dataclasses.field(
        default_factory=lambda: _Lane(collections.deque())
    )
    down: _Lane = dataclasses.field(
        default_factory=lambda: _Lane(collections.deque())
    )

    def put(
        self,
        outwards: bool,
        message: messages.Message,
        now_ms: int,
        source: random.Random,
    ) -> None:
        """Send a message; lost when the stream is broken."""
        local = self.frontend == self.peer
        if not self.open or not (outwards or local or self.greeted):
            return
        lane = self.up if outwards else self.down
        delay_ms = 0 if local else source.randrange(_LONGEST_DELAY_MS)
        lane.last_due_ms = max(lane.last_due_ms, now_ms + delay_ms)
        lane.waiting.append((lane.last_due_ms, message))

    def deliver(
        self,
        outwards: bool,
        now_ms: int,
        take: Callable[[messages.Message], None],
    ) -> None:
        """Hand over what is due, in order."""
        waiting = (self.up if outwards else self.down).waiting
        while waiting and waiting[0][0] <= now_ms:
            message = waiting.popleft()[1]
            self.greeted |= isinstance(message, messages.Hello)
            take(message)

    def cut(self) -> None:
        """Break the stream and lose what it carries."""
        self.open = False
        self.up.waiting.clear()
        self.down.waiting.clear()
