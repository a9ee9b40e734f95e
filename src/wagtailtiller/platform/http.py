"""One HTTP call with a timeout; the answer or the failure is a value."""

import dataclasses
from typing import TypeVar

import aiohttp
from expression import Error
from expression import Ok
from expression import Result
import msgspec

OK = 200

_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True)
class NoResponse:
    """No usable answer; the call may have been carried out."""

    reason: str


class Response(msgspec.Struct, frozen=True):
    """Status and body of an answer."""

    status: int
    body: bytes


class HttpClient:
    """Calls one HTTP service.

    Args:
        address: The service, as ``ip:port`` or a URL.
        max_connections: How many connections may be open at once; 0: any.
        timeout_ms: How long a call may take if it does not say.
        user_agent: The user agent; empty for the library's own.
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
    ) -> Result[Response, NoResponse]:
        """Send one request, once.

        Args:
            method: The HTTP method.
            path: Such as ``/v1/hold``.
            body: A JSON document.
            query: Query parameters.
            headers: Further headers.
            timeout_ms: How long it may take; 0 for the caller's default.
        """
        total_s = (timeout_ms or self._timeout_ms) / 1_000
        request_headers = dict(headers or {})
        if body is not None:
            request_headers["Content-Type"] = "application/json"
        try:
            async with self._get_session().request(
                method,
                self._base_url + path,
                params=query,
                data=body,
                headers=request_headers,
                timeout=aiohttp.ClientTimeout(total=total_s),
                allow_redirects=False,
            ) as response:
                return Ok(Response(response.status, await response.read()))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Error(NoResponse(f"{path}: {type(error).__name__}"))

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=self._max_connections, keepalive_timeout=60.0
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
                headers=self._default_headers,
            )
            # A request must never be sent twice without our knowledge.
            self._session._retry_connection = False
        return self._session


def decode(
    response: Result[Response, NoResponse], body_type: type[_T]
) -> Result[_T, NoResponse]:
    """Decode the body of a successful answer.

    Args:
        response: What a call returned.
        body_type: The type of the body.
    """
    if response.is_error():
        return Error(response.error)
    if response.ok.status != OK:
        return Error(NoResponse(f"status {response.ok.status}"))
    return decode_body(response.ok, body_type)


def decode_body(
    response: Response, body_type: type[_T]
) -> Result[_T, NoResponse]:
    """Decode a body whatever the status was."""
    try:
        return Ok(msgspec.json.decode(response.body, type=body_type))
    except msgspec.MsgspecError as error:
        return Error(NoResponse(f"bad answer: {error}"))
