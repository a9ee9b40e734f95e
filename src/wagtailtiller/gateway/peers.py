"""Streams between the gateways of a region, over grpcio.

Each gateway opens one stream to every other and sends on it as a front; the
other end answers as a dispatcher. Messages queue per stream and leave in
batches, so that a burst costs few frames.
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
Receive = Callable[[ids.GatewayId, messages.Message], None]
AnswerDrain = Callable[[bytes], bytes]
AnswerLoads = Callable[[], bytes]


class Outbox:
    """Messages on their way into one stream."""

    def __init__(self, metrics_client: statsd_metrics.MetricsClient) -> None:
        self._batch: messages.Batch = []
        self._ready = asyncio.Event()
        self._metrics_client = metrics_client
        self.closed = False

    def put(self, message: messages.Message) -> None:
        """Queue a message."""
        self._batch.append(message)
        self._ready.set()

    def close(self) -> None:
        """End the stream."""
        self.closed = True
        self._ready.set()

    async def payloads(self) -> AsyncIterator[bytes]:
        """Yield encoded batches until closed."""
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
    """The dispatcher's end of the streams.

    Args:
        address: Where to listen, as ``ip:port``.
        receive: Takes each message with the front that sent it.
        answer_drain: Answers a controller's drain question.
        answer_loads: Answers with the loads of the pools owned here.
        metrics_client: Where bytes are counted.
    """

    def __init__(
        self,
        address: str,
        receive: Receive,
        answer_drain: AnswerDrain,
        answer_loads: AnswerLoads,
        metrics_client: statsd_metrics.MetricsClient,
    ) -> None:
        self._receive = receive
        self._answer_drain = answer_drain
        self._answer_loads = answer_loads
        self._metrics_client = metrics_client
        self._outboxes: dict[ids.GatewayId, Outbox] = {}
        self._server = grpc.aio.server(options=wire.CHANNEL_OPTIONS)
        self._server.add_generic_rpc_handlers((self._handlers(),))
        self._server.add_insecure_port(address)

    async def start(self) -> None:
        """Begin to listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Close all streams."""
        await self._server.stop(grace=0.2)

    def send(self, front: ids.GatewayId, message: messages.Message) -> None:
        """Queue a message for a front; dropped when it has no stream."""
        outbox = self._outboxes.get(front)
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
        front: ids.GatewayId | None = None
        try:
            async for payload in requests:
                for message in messages.decode(payload):
                    if isinstance(message, messages.Hello):
                        front = message.gateway
                        self._replace(front, outbox)
                    if front and self._outboxes.get(front) is outbox:
                        self._receive(front, message)
        finally:
            outbox.close()
            if front is not None and self._outboxes.get(front) is outbox:
                del self._outboxes[front]

    def _replace(self, front: ids.GatewayId, outbox: Outbox) -> None:
        old = self._outboxes.get(front)
        if old is not None:
            old.close()
        self._outboxes[front] = outbox


class PeerLink:
    """The front's end of the stream to one peer.

    Args:
        own: Who opens the stream.
        peer: The gateway at the other end.
        receive: Takes each message with the peer that sent it.
        connected: Called when a stream is open.
        metrics_client: Where bytes are counted.
    """

    def __init__(
        self,
        own: messages.Hello,
        peer: roster.Session,
        receive: Receive,
        connected: Callable[[ids.GatewayId], None],
        metrics_client: statsd_metrics.MetricsClient,
    ) -> None:
        self._own = own
        self.peer = peer
        self._receive = receive
        self._connected = connected
        self._metrics_client = metrics_client
        self._outbox: Outbox | None = None
        self._task = asyncio.create_task(self._run())

    def send(self, message: messages.Message) -> None:
        """Queue a message; dropped while there is no stream."""
        if self._outbox is not None:
            self._outbox.put(message)

    async def close(self) -> None:
        """End the stream."""
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
            outbox.put(self._own)
            self._outbox = outbox
            events.emit(events.Event.PEER_CONNECTED, peer=self.peer.gateway)
            self._connected(self.peer.gateway)
            try:
                async for payload in call(outbox.payloads()):
                    for message in messages.decode(payload):
                        self._receive(self.peer.gateway, message)
            finally:
                outbox.close()
