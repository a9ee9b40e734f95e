"""gRPC streams between the gateways of a region.

Each gateway opens one stream to every other gateway and sends the messages of
its frontend on it; the other end sends the messages of its dispatchers.
Messages are queued per stream and sent in batches, so that a burst needs few
frames.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable

import grpc

from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller import roster
from wagtailtiller import statsd_metrics
from wagtailtiller.dispatch import messages
from wagtailtiller.dispatch import wire

_BATCH_MS = 5
_RECONNECT_MS = 200
MessageHandler = Callable[[ids.GatewayId, messages.Message], None]
AnswerDrain = Callable[[bytes], bytes]
AnswerLoads = Callable[[], bytes]


class Outbox:
    """Queue of the messages to send on one stream.

    Args:
        metrics_client: Client that counts the bytes sent.

    Attributes:
        closed: Whether the stream is to end.
    """

    def __init__(self, metrics_client: statsd_metrics.MetricsClient) -> None:
        self._batch: messages.Batch = []
        self._ready = asyncio.Event()
        self._metrics_client = metrics_client
        self.closed = False

    def put(self, message: messages.Message) -> None:
        """Add a message to the queue.

        Args:
            message: Message to send.
        """
        self._batch.append(message)
        self._ready.set()

    def close(self) -> None:
        """End the stream; messages still queued are dropped."""
        self.closed = True
        self._ready.set()

    async def payloads(self) -> AsyncIterator[bytes]:
        """Yield encoded batches of messages until the queue is closed."""
        while True:
            await self._ready.wait()
            if self.closed:
                return
            self._ready.clear()
            batch, self._batch = self._batch, []
            payload = messages.encode(batch)
            self._metrics_client.incr(
                statsd_metrics.Metric.PEER_BYTES_SENT.value, len(payload)
            )
            yield payload
            await asyncio.sleep(_BATCH_MS / 1_000)


class PeerServer:
    """Server for the streams that other gateways open to this one.

    Args:
        address: Address to listen on, as ``ip:port``.
        on_message: Called with each message and the gateway that sent it.
        answer_drain: Function that answers an encoded
            ``messages.DrainRequest`` of a controller.
        answer_loads: Function that returns the encoded loads of the pools
            that this gateway owns.
        metrics_client: Client that counts the bytes sent.
    """

    def __init__(
        self,
        address: str,
        on_message: MessageHandler,
        answer_drain: AnswerDrain,
        answer_loads: AnswerLoads,
        metrics_client: statsd_metrics.MetricsClient,
    ) -> None:
        self._on_message = on_message
        self._answer_drain = answer_drain
        self._answer_loads = answer_loads
        self._metrics_client = metrics_client
        self._outboxes: dict[ids.GatewayId, Outbox] = {}
        self._server = grpc.aio.server(options=wire.CHANNEL_OPTIONS)
        self._server.add_generic_rpc_handlers((self._handlers(),))
        self._server.add_insecure_port(address)

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    async def stop(self) -> None:
        """Close all streams and stop listening."""
        await self._server.stop(grace=0.2)

    def send(self, frontend: ids.GatewayId, message: messages.Message) -> None:
        """Queue a message for a frontend; dropped if it has no stream.

        Args:
            frontend: Gateway that opened the stream.
            message: Message to send.
        """
        outbox = self._outboxes.get(frontend)
        if outbox is not None:
            outbox.put(message)

    def _handlers(self) -> grpc.GenericRpcHandler:
        return grpc.method_handlers_generic_handler(
            wire.SERVICE,
            {
                "Exchange": grpc.stream_stream_rpc_method_handler(
                    self._exchange
                ),
                "DrainState": grpc.unary_unary_rpc_method_handler(
                    self._drain_state
                ),
                "Loads": grpc.unary_unary_rpc_method_handler(self._loads),
            },
        )

    async def _drain_state(
        self, request: bytes, context: "grpc.aio.ServicerContext"
    ) -> bytes:
        return self._answer_drain(request)

    async def _loads(
        self, request: bytes, context: "grpc.aio.ServicerContext"
    ) -> bytes:
        return self._answer_loads()

    async def _exchange(
        self,
        requests: AsyncIterator[bytes],
        context: "grpc.aio.ServicerContext",
    ) -> AsyncIterator[bytes]:
        outbox = Outbox(self._metrics_client)
        reader = asyncio.create_task(self._read(requests, outbox))
        try:
            async for payload in outbox.payloads():
                yield payload
        finally:
            reader.cancel()

    async def _read(
        self, requests: AsyncIterator[bytes], outbox: Outbox
    ) -> None:
        frontend: ids.GatewayId | None = None
        try:
            async for payload in requests:
                for message in messages.decode(payload):
                    if isinstance(message, messages.Hello):
                        frontend = message.gateway
                        self._register_outbox(frontend, outbox)
                    if frontend and self._outboxes.get(frontend) is outbox:
                        self._on_message(frontend, message)
        finally:
            outbox.close()
            if frontend is not None and self._outboxes.get(frontend) is outbox:
                del self._outboxes[frontend]

    def _register_outbox(self, frontend: ids.GatewayId, outbox: Outbox) -> None:
        previous = self._outboxes.get(frontend)
        if previous is not None:
            previous.close()
        self._outboxes[frontend] = outbox


class PeerLink:
    """Client end of the stream to one peer, reopened whenever it is lost.

    Args:
        hello: First message on the stream, which identifies this gateway.
        peer: Session of the gateway at the other end.
        on_message: Called with each message and the peer that sent it.
        on_connected: Called with the peer when a stream has been opened.
        metrics_client: Client that counts the bytes sent.

    Attributes:
        peer: Session of the gateway at the other end.
    """

    def __init__(
        self,
        hello: messages.Hello,
        peer: roster.GatewaySession,
        on_message: MessageHandler,
        on_connected: Callable[[ids.GatewayId], None],
        metrics_client: statsd_metrics.MetricsClient,
    ) -> None:
        self._hello = hello
        self.peer = peer
        self._on_message = on_message
        self._on_connected = on_connected
        self._metrics_client = metrics_client
        self._outbox: Outbox | None = None
        self._task = asyncio.create_task(self._run())

    def send(self, message: messages.Message) -> None:
        """Queue a message for the peer; dropped while there is no stream.

        Args:
            message: Message to send.
        """
        if self._outbox is not None:
            self._outbox.put(message)

    async def close(self) -> None:
        """Close the stream and stop reconnecting."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            try:
                await self._exchange()
            except (TimeoutError, grpc.RpcError, OSError):
                pass
            finally:
                self._outbox = None
            events.emit(events.Event.PEER_LOST, peer=self.peer.gateway)
            await asyncio.sleep(_RECONNECT_MS / 1_000)

    async def _exchange(self) -> None:
        async with grpc.aio.insecure_channel(
            self.peer.peer_address, options=wire.CHANNEL_OPTIONS
        ) as channel:
            await asyncio.wait_for(channel.channel_ready(), 2.0)
            call: grpc.aio.StreamStreamMultiCallable
            call = channel.stream_stream(wire.EXCHANGE)
            outbox = Outbox(self._metrics_client)
            outbox.put(self._hello)
            self._outbox = outbox
            events.emit(events.Event.PEER_CONNECTED, peer=self.peer.gateway)
            self._on_connected(self.peer.gateway)
            try:
                async for payload in call(outbox.payloads()):
                    for message in messages.decode(payload):
                        self._on_message(self.peer.gateway, message)
            finally:
                outbox.close()
