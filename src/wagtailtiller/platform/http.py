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
class NoAnswer:
    """No usable answer; the call may have been carried out."""

    reason: str


class Answer(msgspec.Struct, frozen=True):
    """Status and body of an answer."""

    status: int
    body: bytes


class Caller:
    """Calls one HTTP service.

    Args:
        address: The service, as ``ip:port`` or a URL.
        connections: How many connections may be open at once; 0: any.
        timeout_ms: How long a call may take if it does not say.
        client: The user agent; empty for the library's own.
    """

    def __init__(
        self,
        address: str,
        connections: int,
        timeout_ms: int,
        client: str = "",
    ) -> None:
        host = address.removeprefix("http://").rstrip("/")
        self._base_url = f"http://{host}"
        self._agent = {"User-Agent": client} if client else None
        self._connections = connections
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
    ) -> Result[Answer, NoAnswer]:
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
        sent = dict(headers or {})
        if body is not None:
            sent["Content-Type"] = "application/json"
        try:
            async with self._open().request(
                method,
                self._base_url + path,
                params=query,
                data=body,
                headers=sent,
                timeout=aiohttp.ClientTimeout(total=total_s),
                allow_redirects=False,
            ) as response:
                return Ok(Answer(response.status, await response.read()))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Error(NoAnswer(f"{path}: {type(error).__name__}"))

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=self._connections, keepalive_timeout=60.0
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
                headers=self._agent,
            )
            # A request must never be sent twice without our knowledge.
            self._session._retry_connection = False
        return self._session


def decode(
    answer: Result[Answer, NoAnswer], kind: type[_T]
) -> Result[_T, NoAnswer]:
    """Decode the body of a successful answer.

    Args:
        answer: What a call returned.
        kind: The type of the body.
    """
    if answer.is_error():
        return Error(answer.error)
    if answer.ok.status != OK:
        return Error(NoAnswer(f"status {answer.ok.status}"))
    return decode_body(answer.ok, kind)


def decode_body(answer: Answer, kind: type[_T]) -> Result[_T, NoAnswer]:
    """Decode a body whatever the status was."""
    try:
        return Ok(msgspec.json.decode(answer.body, type=kind))
    except msgspec.MsgspecError as error:
        return Error(NoAnswer(f"bad answer: {error}"))
