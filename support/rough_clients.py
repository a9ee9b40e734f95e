"""Crowds of clients that exceed the limits or stop before a request is whole.

A crowd runs on an event loop in a thread of its own, so that a test can send
ordinary requests meanwhile.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import socket
import threading

_CONNECT_TIMEOUT_S = 10.0
_POLL_INTERVAL_S = 0.05
_READ_BYTES = 65_536
# The first byte of TCP_INFO of a connection that neither side has closed.
_TCP_ESTABLISHED = 1


@dataclasses.dataclass(frozen=True)
class Behaviour:
    """What one client sends before it stays connected.

    Attributes:
        opening: Bytes that are sent first.
        opening_of: Returns the opening of each client, instead of ``opening``;
            None for the same of all.
        piece: Bytes that are sent after them, again and again.
        piece_count: How many times ``piece`` is sent.
        reads: Whether the client reads what the server sends.
    """

    opening: bytes = b""
    piece: bytes = b""
    piece_count: int = 0
    reads: bool = False
    opening_of: Callable[[], bytes] | None = None


class Crowd:
    """Clients that behave alike and connect to one address.

    Args:
        address: Address of the server, as ``ip:port``.
        behaviour: What each client sends.
        count: Number of clients.
    """

    def __init__(self, address: str, behaviour: Behaviour, count: int) -> None:
        host, port = address.split(":")
        self._address = (host, int(port))
        self._behaviour = behaviour
        self._count = count
        self._loop = asyncio.new_event_loop()
        self._stop = asyncio.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._sent = 0
        self._cut_off = 0

    @property
    def finished(self) -> bool:
        """Whether each client has sent all of its bytes or is cut off."""
        return self._sent + self._cut_off >= self._count

    @property
    def connected(self) -> int:
        """Number of clients that the server has not cut off."""
        return self._count - self._cut_off

    @contextlib.contextmanager
    def playing(self) -> Iterator["Crowd"]:
        """Keep the clients connected for the duration of a block."""
        self._thread.start()
        try:
            yield self
        finally:
            self._loop.call_soon_threadsafe(self._stop.set)
            self._thread.join()

    def _run(self) -> None:
        self._loop.run_until_complete(self._play())
        self._loop.close()

    async def _play(self) -> None:
        clients = [
            asyncio.create_task(self._play_client()) for _ in range(self._count)
        ]
        await self._stop.wait()
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)

    async def _play_client(self) -> None:
        connection = socket.socket()
        connection.setblocking(False)
        sent = False
        with connection:
            try:
                async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                    await self._loop.sock_connect(connection, self._address)
                await self._send(connection)
                self._sent += 1
                sent = True
                await self._wait_until_cut_off(connection)
            except OSError:
                pass
            finally:
                self._sent -= sent
                self._cut_off += 1

    async def _send(self, connection: socket.socket) -> None:
        behaviour = self._behaviour
        opening = behaviour.opening
        if behaviour.opening_of is not None:
            opening = behaviour.opening_of()
        await self._loop.sock_sendall(connection, opening)
        for _ in range(behaviour.piece_count):
            await self._loop.sock_sendall(connection, behaviour.piece)

    async def _wait_until_cut_off(self, connection: socket.socket) -> None:
        if self._behaviour.reads:
            while await self._loop.sock_recv(connection, _READ_BYTES):
                pass
            return
        # The first bytes stay unread, so that nothing is taken from the
        # server's buffers.
        while connection.fileno() >= 0 and not _is_closed(connection):
            await asyncio.sleep(_POLL_INTERVAL_S)


def _is_closed(connection: socket.socket) -> bool:
    state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return state[0] != _TCP_ESTABLISHED


def status_of(address: str, request: bytes) -> int:
    """Send one request on a connection of its own.

    Args:
        address: Address of the server, as ``ip:port``.
        request: All bytes of the request.

    Returns:
        The status of the response; 0 if there is none.
    """
    host, port = address.split(":")
    response = b""
    with (
        contextlib.suppress(OSError),
        socket.create_connection((host, int(port)), _CONNECT_TIMEOUT_S) as link,
    ):
        with contextlib.suppress(OSError):
            link.sendall(request)
        while b"\r\n" not in response:
            received = link.recv(_READ_BYTES)
            if not received:
                break
            response += received
    words = response.split(b" ", 2)
    return int(words[1]) if len(words) > 1 else 0
