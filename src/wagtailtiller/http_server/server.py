"""Listens for HTTP clients within the limits of the process."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket

from aiohttp import web

from wagtailtiller.http_server import connection
from wagtailtiller.http_server import table as table_module

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_BACKLOG = 512
# Bytes of one connection that the kernel keeps while they are not read. They
# count toward the memory of the process.
_RECEIVE_BUFFER_BYTES = 32_768


class _Server(web.Server):
    def __init__(
        self,
        handler: Handler,
        table: table_module.Table,
        handler_cancellation: bool,
    ) -> None:
        super().__init__(handler, handler_cancellation=handler_cancellation)
        self._table = table

    def __call__(self) -> web.RequestHandler:
        return connection.Connection(
            self, self._table, loop=asyncio.get_running_loop()
        )


def connection_of(request: web.BaseRequest) -> connection.Connection:
    """Return the connection on which a request has arrived.

    Args:
        request: A request of a client of ``listen``.
    """
    client = request.protocol
    assert isinstance(client, connection.Connection)
    return client


async def listen(
    handler: Handler,
    address: str,
    table: table_module.Table,
    shutdown_timeout_s: float,
    handler_cancellation: bool = False,
) -> web.ServerRunner:
    """Start to serve an address.

    Args:
        handler: Handles each request.
        address: Where to listen, as ``ip:port``.
        table: The connections of all addresses of the process.
        shutdown_timeout_s: How long a shutdown waits for open requests.
        handler_cancellation: Whether a handler is cancelled when its client
            has gone.

    Returns:
        The runner, whose ``cleanup`` closes the address and its connections.

    Raises:
        OSError: The address cannot be used.
    """
    runner = web.ServerRunner(
        _Server(handler, table, handler_cancellation),
        shutdown_timeout=shutdown_timeout_s,
    )
    await runner.setup()
    listener = _bind(address)
    await web.SockSite(runner, listener, backlog=_BACKLOG).start()
    return runner


def _bind(address: str) -> socket.socket:
    host, port = address.split(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setblocking(False)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit the size.
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )
    listener.bind((host, int(port)))
    return listener
