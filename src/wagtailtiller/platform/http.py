"""HTTP client that sends each request once and returns errors as values."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import contextvars
import dataclasses
import socket
import struct
from typing import TypeVar

import aiohttp
from expression import Error
from expression import Ok
from expression import Result
import msgspec

from wagtailtiller import connector
from wagtailtiller import timeouts
from wagtailtiller.platform import decoding

OK = 200

# A response may take this many times as long as the previous one.
_TIMEOUT_FACTOR = 4
# Longest time for which an abandoned connection attempt continues.
_CONNECT_TIMEOUT_S = 3.0
_TIMEOUTS = aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT_S)

# A socket with this option is reset when it is closed.
_NO_LINGER = struct.pack("ii", 1, 0)

_T = TypeVar("_T")


class _Call:
    """A call that the current task makes; aiohttp creates its request.

    Args:
        may_send: Returns whether the request may still be sent; None if it
            always may.
    """

    def __init__(self, may_send: Callable[[], bool] | None) -> None:
        self.may_send = may_send
        self._transport: asyncio.Transport | None = None

    def record_connection(self, conn: aiohttp.connector.Connection) -> None:
        """Record the connection on which the request is sent."""
        self._transport = conn.transport

    @contextlib.contextmanager
    def reset_if_abandoned(self) -> Iterator[None]:
        """Reset the connection of a request whose response is not awaited.

        A request that is held up on the way would be carried out long after
        the caller has given it up.
        """
        try:
            yield
        except asyncio.CancelledError:
            if self._transport is not None:
                _reset(self._transport)
            raise


def _reset(transport: asyncio.Transport) -> None:
    connection = transport.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        with contextlib.suppress(OSError):
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
            )
    transport.abort()


_current_call: contextvars.ContextVar[_Call | None] = contextvars.ContextVar(
    "current_call", default=None
)


@dataclasses.dataclass(frozen=True)
class NoResponse:
    """No usable response came.

    Attributes:
        reason: What happened, for the log.
        may_apply: Whether the request may have been carried out.
    """

    reason: str
    may_apply: bool = True


class Response(msgspec.Struct, frozen=True):
    """A response to a request.

    Attributes:
        status: The HTTP status code.
        body: The whole body.
    """

    status: int
    body: bytes


class AdaptiveTimeout:
    """A timeout that follows the response times of the previous calls.

    A short timeout detects a lost response early while responses are fast. A
    longer one gives a slow service or a slow link time to respond.

    Args:
        min_ms: The shortest timeout, which is the first one.
        max_ms: The longest timeout.

    Attributes:
        timeout_ms: The timeout of the next call.
    """

    def __init__(self, min_ms: int, max_ms: int) -> None:
        self.timeout_ms = min_ms
        self._min_ms = min_ms
        self._max_ms = max_ms

    def record(self, answered: bool, took_ms: int) -> None:
        """Adapt the timeout to the result of a call.

        Args:
            answered: Whether a response came.
            took_ms: How long the call took.
        """
        next_timeout_ms = 2 * self.timeout_ms
        if answered:
            # A single fast response among slow ones halves it at most.
            next_timeout_ms = max(
                _TIMEOUT_FACTOR * took_ms, self.timeout_ms // 2
            )
        self.timeout_ms = min(max(next_timeout_ms, self._min_ms), self._max_ms)


class _NotSentError(Exception):
    """A request that had got its connection was not to be sent any more."""


class _Request(aiohttp.ClientRequest):
    """Request that may be withdrawn until it has a connection."""

    async def send(
        self, conn: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        call = _current_call.get()
        if call is not None:
            if call.may_send is not None and not call.may_send():
                raise _NotSentError
            call.record_connection(conn)
        return await super().send(conn)


class HttpClient:
    """Client of one HTTP service.

    Args:
        address: Address of the service, as ``ip:port`` or a URL.
        max_connections: How many connections may be open at once; 0 for no
            limit.
        timeout_ms: Default limit for the duration of a call, without the
            time for which the call waits for one of ``max_connections``.
        user_agent: Value of the User-Agent header; empty for the default of
            the library.
    """

    def __init__(
        self,
        address: str,
        max_connections: int,
        timeout_ms: int,
        user_agent: str = "",
    ) -> None:
        host = address.removeprefix("http://").rstrip("/")
        self._base_url = f"http://{host}"
        self._default_headers = (
            {"User-Agent": user_agent} if user_agent else None
        )
        self._max_connections = max_connections
        self._connection_slots = _connection_slots(max_connections)
        self._timeout_ms = timeout_ms
        self._session: aiohttp.ClientSession | None = None

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        query: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
        timeout_ms: int = 0,
        may_send: Callable[[], bool] | None = None,
    ) -> Result[Response, NoResponse]:
        """Send one request, without retries.

        Args:
            method: The HTTP method.
            path: The path, such as ``/v1/hold``.
            body: A JSON document; None for no body.
            query: Query parameters.
            headers: Additional headers.
            timeout_ms: Limit for the duration of the call once it has a
                connection; 0 for the client's default.
            may_send: Returns whether the request may still be sent; it is
                called when there is a connection. None if it always may.

        Returns:
            The response with any status, or ``NoResponse``.
        """
        request_headers = dict(headers or {})
        if body is not None:
            request_headers["Content-Type"] = "application/json"
        call = _Call(may_send)
        _current_call.set(call)
        try:
            # A call that waits for a connection has not been sent, so that
            # this time says nothing about the service.
            async with (
                self._connection_slots,
                timeouts.responsive_timeout(timeout_ms or self._timeout_ms),
            ):
                with call.reset_if_abandoned():
                    return await self._send(
                        method, path, body, query, request_headers
                    )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Error(NoResponse(f"{path}: {type(error).__name__}"))
        except _NotSentError:
            return Error(NoResponse(f"{path}: not sent", may_apply=False))

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        query: dict[str, str] | None,
        headers: dict[str, str],
    ) -> Result[Response, NoResponse]:
        async with self._get_session().request(
            method,
            self._base_url + path,
            params=query,
            data=body,
            headers=headers,
            timeout=_TIMEOUTS,
            allow_redirects=False,
        ) as response:
            return Ok(Response(response.status, await response.read()))

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=connector.Connector(
                    limit=self._max_connections, keepalive_timeout=60.0
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
                headers=self._default_headers,
                request_class=_Request,
            )
            # By default aiohttp may resend a request on a new connection. A
            # command must not be sent twice without the caller's knowledge.
            self._session._retry_connection = False
        return self._session


def _connection_slots(
    max_connections: int,
) -> contextlib.AbstractAsyncContextManager[None]:
    if not max_connections:
        return contextlib.nullcontext()
    return asyncio.Semaphore(max_connections)


def decode(
    response: Result[Response, NoResponse], body_type: type[_T]
) -> Result[_T, NoResponse]:
    """Decode the body of a successful response.

    Args:
        response: The result of a call.
        body_type: The type of the decoded body.

    Returns:
        The decoded body, or ``NoResponse`` if the call failed, the status is
        not 200 or the body cannot be decoded.
    """
    if response.is_error():
        return Error(response.error)
    if response.ok.status != OK:
        return Error(NoResponse(f"status {response.ok.status}"))
    return decode_body(response.ok, body_type)


def decode_body(
    response: Response, body_type: type[_T]
) -> Result[_T, NoResponse]:
    """Decode the body of a response with any status.

    Args:
        response: Response whose body is decoded.
        body_type: The type of the decoded body.

    Returns:
        The decoded body, or ``NoResponse`` if it cannot be decoded.
    """
    return decoding.decode(response.body, body_type).map_error(
        lambda reason: NoResponse(f"bad answer: {reason}")
    )
