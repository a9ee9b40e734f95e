"""Message streams between gateways, with delays and breaks."""

import collections
from collections.abc import Callable
import dataclasses
import random

from wagtailtiller import ids
from wagtailtiller.dispatch import messages

_MAX_DELAY_MS = 30


@dataclasses.dataclass
class _Channel:
    pending: "collections.deque[tuple[int, messages.Message]]"
    last_due_ms: int = 0


@dataclasses.dataclass
class Stream:
    """Stream from the frontend of a gateway to the dispatchers of another.

    Messages in each direction stay in order. The two gateways may be the same;
    messages of such a stream have no delay.

    Attributes:
        opener: Gateway whose frontend opened the stream.
        peer: Gateway whose dispatchers receive it.
        open: Whether the stream carries messages.
        hello_received: Whether the peer knows the opener. The peer sends
            messages only after that.
        outbound: Messages to the peer.
        inbound: Messages to the opener.
    """

    opener: ids.GatewayId
    peer: ids.GatewayId
    open: bool = True
    hello_received: bool = False
    outbound: _Channel = dataclasses.field(
        default_factory=lambda: _Channel(collections.deque())
    )
    inbound: _Channel = dataclasses.field(
        default_factory=lambda: _Channel(collections.deque())
    )

    def send(
        self,
        to_dispatcher: bool,
        message: messages.Message,
        now_ms: int,
        rng: random.Random,
    ) -> None:
        """Send a message, which is lost if the stream is broken.

        Args:
            to_dispatcher: Whether the message goes to the peer's
                dispatchers, as opposed to the opener's frontend.
            message: Message to send.
            now_ms: Current time in milliseconds.
            rng: Random source that draws the delay.
        """
        local = self.opener == self.peer
        if not self.open or not (to_dispatcher or local or self.hello_received):
            return
        channel = self.outbound if to_dispatcher else self.inbound
        delay_ms = 0 if local else rng.randrange(_MAX_DELAY_MS)
        channel.last_due_ms = max(channel.last_due_ms, now_ms + delay_ms)
        channel.pending.append((channel.last_due_ms, message))

    def deliver(
        self,
        to_dispatcher: bool,
        now_ms: int,
        handle: Callable[[messages.Message], None],
    ) -> None:
        """Deliver the messages that are due, in order.

        Args:
            to_dispatcher: Direction of the messages, as for ``send``.
            now_ms: Current time in milliseconds.
            handle: Function that receives each message.
        """
        pending = (self.outbound if to_dispatcher else self.inbound).pending
        while pending and pending[0][0] <= now_ms:
            message = pending.popleft()[1]
            self.hello_received |= isinstance(message, messages.Hello)
            handle(message)

    def close(self) -> None:
        """Break the stream and lose the messages in transit."""
        self.open = False
        self.outbound.pending.clear()
        self.inbound.pending.clear()
