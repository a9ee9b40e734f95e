"""Exchanges bytes with the server's side of a connection, without sockets."""

import asyncio
from collections.abc import Iterable
import dataclasses
import re
from typing import Any

from aiohttp import web

from wagtailtiller.http_server import connection
from wagtailtiller.http_server import limits as limits_module
from wagtailtiller.http_server import refusals
from wagtailtiller.http_server import table as table_module
from wagtailtiller.ports import catalogue

_ENOUGH = limits_module.ClientLimits(10_000_000, 100)
# Turns of the event loop without any change after which nothing follows.
_QUIET_TURNS = 20
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] (\d+)")


class Transport(asyncio.Transport):
    """Transport that keeps what is written.

    Attributes:
        written: All bytes that the server has written.
        closed: Whether the server has closed the connection.
        paused: Whether the server reads nothing now.
    """

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.closed = False
        self.paused = False

    def write(self, data: Any) -> None:
        """Keep the bytes."""
        self.written += bytes(data)

    def writelines(self, list_of_data: Iterable[Any]) -> None:
        """Keep the bytes."""
        self.written += b"".join(bytes(data) for data in list_of_data)

    def write_eof(self) -> None:
        """Do nothing: the connection is half closed."""

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Do nothing: all is written at once."""

    def get_write_buffer_size(self) -> int:
        """Return 0."""
        return 0

    def is_closing(self) -> bool:
        """Return whether the connection is closed."""
        return self.closed

    def pause_reading(self) -> None:
        """Record that nothing is read."""
        self.paused = True

    def resume_reading(self) -> None:
        """Record that bytes are read."""
        self.paused = False

    def close(self) -> None:
        """Record that the connection is closed."""
        self.closed = True

    def abort(self) -> None:
        """Record that the connection is closed."""
        self.closed = True


@dataclasses.dataclass
class Outcome:
    """What became of the bytes of one client.

    Attributes:
        statuses: Status of each response, in order.
        bodies: Bodies that the handler has read.
        closed: Whether the server has closed the connection.
        largest_bytes: The most that the connection has held.
    """

    statuses: list[int]
    bodies: list[bytes]
    closed: bool
    largest_bytes: int


class Exchange:
    """A server with one table, and any number of connections.

    Args:
        request_limits: Limits of each request.
        client_limits: Limits of all connections.

    Attributes:
        table: The connections.
        bodies: Bodies of the requests that have been served.
        may_answer: Cleared to let requests wait for their answers.
    """

    def __init__(
        self,
        request_limits: catalogue.RequestLimits,
        client_limits: limits_module.ClientLimits = _ENOUGH,
    ) -> None:
        self.table = table_module.Table(client_limits, lambda: request_limits)
        self.bodies: list[bytes] = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self._server = web.Server(self._handle)

    def connect(self) -> tuple[connection.Connection, Transport]:
        """Open a connection."""
        client = connection.Connection(
            self._server, self.table, loop=asyncio.get_running_loop()
        )
        transport = Transport()
        client.connection_made(transport)
        return client, transport

    async def send(
        self, client: connection.Connection, chunks: Iterable[bytes]
    ) -> int:
        """Send chunks of bytes; return the most that the connection held."""
        largest_bytes = 0
        transport = client.transport
        for chunk in chunks:
            while transport.paused and not transport.closed:  # type: ignore[union-attr]
                await asyncio.sleep(0)
            if transport.closed:  # type: ignore[union-attr]
                break
            client.data_received(chunk)
            largest_bytes = max(largest_bytes, client.held_bytes)
        for _ in range(_QUIET_TURNS):
            await asyncio.sleep(0)
            largest_bytes = max(largest_bytes, client.held_bytes)
        return largest_bytes

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        client = request.protocol
        assert isinstance(client, connection.Connection)
        body = await client.read_body(request)
        if isinstance(body, refusals.Reason):
            return client.refuse(body)
        self.bodies.append(bytes(body))
        await self.may_answer.wait()
        return web.Response(text="ok")


def exchange(
    chunks: Iterable[bytes], request_limits: catalogue.RequestLimits
) -> Outcome:
    """Send chunks of bytes on one connection, and return what became of them.

    Args:
        chunks: The bytes, as they arrive.
        request_limits: Limits of each request.
    """

    async def run() -> Outcome:
        server = Exchange(request_limits)
        client, transport = server.connect()
        largest_bytes = await server.send(client, chunks)
        outcome = Outcome(
            _statuses(transport.written),
            server.bodies,
            transport.closed or not client.connected,
            largest_bytes,
        )
        client.connection_lost(None)
        await asyncio.sleep(0)
        return outcome

    return asyncio.run(run())


def _statuses(written: bytes) -> list[int]:
    return [int(status) for status in _STATUS_LINE.findall(written)]
