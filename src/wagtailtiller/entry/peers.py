"""Calls between the entry processes, over gRPC with msgpack bodies."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol

import grpc
import msgspec

from wagtailtiller import events
from wagtailtiller import timeouts
from wagtailtiller.owner import messages

_SERVICE = "wagtailtiller.Entry"
_METHOD = "Ask"
_CHANNEL_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
)

_encoder = msgspec.msgpack.Encoder()
_request_decoder: msgspec.msgpack.Decoder[messages.Request] = (
    msgspec.msgpack.Decoder(messages.Request)
)
_answer_decoder: msgspec.msgpack.Decoder[messages.Answer] = (
    msgspec.msgpack.Decoder(messages.Answer)
)

Handler = Callable[[messages.Request], Awaitable[messages.Answer]]


class Peers(Protocol):
    """Client and server for the calls between the entry processes."""

    async def serve(self, address: str, handle: Handler) -> None:
        """Start to serve requests of the other processes.

        Args:
            address: The address to listen on, as ``ip:port``.
            handle: Callback that answers one request.
        """

    async def ask(
        self, address: str, request: messages.Request, timeout_ms: int
    ) -> messages.Answer | None:
        """Send one request, without retries.

        Args:
            address: The address of the process, as ``ip:port``.
            request: Request about a pool that the process may own.
            timeout_ms: How long to wait for the answer.

        Returns:
            The answer, or None if none came; in that case the request may
            have been carried out.
        """

    async def close(self) -> None:
        """Stop the server and close all connections."""


class GrpcPeers:
    """The ``Peers`` protocol over gRPC."""

    def __init__(self) -> None:
        self._client = _PeerClient()
        self._server: _PeerServer | None = None

    async def serve(self, address: str, handle: Handler) -> None:
        """Start to serve requests of the other processes.

        Args:
            address: The address to listen on, as ``ip:port``.
            handle: Callback that answers one request.
        """
        self._server = _PeerServer(address, handle)
        await self._server.start()

    async def ask(
        self, address: str, request: messages.Request, timeout_ms: int
    ) -> messages.Answer | None:
        """Send one request, without retries.

        Args:
            address: The address of the process, as ``ip:port``.
            request: Request about a pool that the process may own.
            timeout_ms: How long to wait for the answer.

        Returns:
            The answer, or None if none came.
        """
        return await self._client.ask(address, request, timeout_ms)

    async def close(self) -> None:
        """Stop the server and close all connections."""
        await self._client.close()
        if self._server is not None:
            await self._server.stop()


class _PeerServer:
    """Serves the requests of the other processes.

    Args:
        address: The address to listen on, as ``ip:port``.
        handle: Callback that answers one request.
    """

    def __init__(self, address: str, handle: Handler) -> None:
        self._handle = handle
        self._server = grpc.aio.server(options=_CHANNEL_OPTIONS)
        handler: grpc.RpcMethodHandler = grpc.unary_unary_rpc_method_handler(
            self._ask
        )
        self._server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    _SERVICE, {_METHOD: handler}
                ),
            )
        )
        self._server.add_insecure_port(address)

    async def start(self) -> None:
        """Start to listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._server.stop(grace=0.1)

    async def _ask(
        self, request: bytes, context: "grpc.aio.ServicerContext"
    ) -> bytes:
        answer = await self._handle(_request_decoder.decode(request))
        return _encoder.encode(answer)


class _PeerChannel:
    """A channel to one address, with the number of its open calls.

    Args:
        address: The address of the process, as ``ip:port``.

    Attributes:
        open_calls: Number of calls that have not ended.
    """

    def __init__(self, address: str) -> None:
        self.open_calls = 0
        self._channel = grpc.aio.insecure_channel(
            address, options=_CHANNEL_OPTIONS
        )
        self._ask: grpc.aio.UnaryUnaryMultiCallable = self._channel.unary_unary(
            f"/{_SERVICE}/{_METHOD}"
        )

    async def call(self, request: bytes) -> bytes:
        """Send one encoded request.

        Args:
            request: The encoded request.

        Returns:
            The encoded answer.

        Raises:
            grpc.RpcError: No answer came.
            asyncio.CancelledError: The calling task was cancelled, or the
                channel was closed.
        """
        self.open_calls += 1
        try:
            return await self._ask(request)
        finally:
            self.open_calls -= 1

    async def close(self) -> None:
        """Close the channel and cancel its open calls."""
        await self._channel.close()


class _PeerClient:
    """Sends requests to the other processes, over one channel per address."""

    def __init__(self) -> None:
        self._channels: dict[str, _PeerChannel] = {}
        # Each is closed when its last call has ended.
        self._discarded: set[_PeerChannel] = set()

    async def ask(
        self, address: str, request: messages.Request, timeout_ms: int
    ) -> messages.Answer | None:
        """Send one request, without retries.

        Args:
            address: The address of the process, as ``ip:port``.
            request: Request about a pool that the process may own.
            timeout_ms: How long to wait for the answer.

        Returns:
            The answer, or None if none came.
        """
        channel = self._channels.get(address)
        if channel is None:
            channel = _PeerChannel(address)
            self._channels[address] = channel
        try:
            async with timeouts.responsive_timeout(timeout_ms):
                answer = await channel.call(_encoder.encode(request))
        except TimeoutError:
            self._discard_channel(address, channel)
            return None
        except grpc.RpcError:
            return None
        except asyncio.CancelledError:
            # A call of a channel that is being closed ends like this as well.
            if _cancellation_requested():
                raise
            return None
        finally:
            await self._close_if_unused(channel)
        return _decode_answer(address, answer)

    async def close(self) -> None:
        """Close all channels; open calls end without an answer."""
        channels = {*self._channels.values(), *self._discarded}
        self._channels.clear()
        self._discarded.clear()
        await asyncio.gather(*(channel.close() for channel in channels))

    def _discard_channel(self, address: str, channel: _PeerChannel) -> None:
        # The connection may be broken without an error, so the next call must
        # open a new one. Calls in flight may still be answered on this one.
        if self._channels.get(address) is channel:
            del self._channels[address]
            self._discarded.add(channel)

    async def _close_if_unused(self, channel: _PeerChannel) -> None:
        if channel in self._discarded and not channel.open_calls:
            self._discarded.remove(channel)
            await channel.close()


def _decode_answer(address: str, answer: bytes) -> messages.Answer | None:
    # Processes of two versions may run beside each other.
    try:
        return _answer_decoder.decode(answer)
    except msgspec.MsgspecError as error:
        events.emit(
            events.Event.ENTRY_SKIPPED, source=address, entry=str(error)
        )
        return None


def _cancellation_requested() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
