"""Runs one granted request at an endpoint and says how that ended.

Every run has a connection of its own: an answer can then belong to no other
request, a refused connection proves that nothing ran, and the connections to
an endpoint never outnumber its slots.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Mapping
import dataclasses

import aiohttp
import multidict
import yarl

from wagtailtiller import clock
from wagtailtiller import ids
from wagtailtiller import settings
from wagtailtiller.dispatch import messages
from wagtailtiller.gateway.serving import outcomes

REQUEST_HEADER = "Wagtail-Request"
MEMBER_HEADER = "Wagtail-Member"
RUN_LIMIT_HEADER = "Wagtail-Run-Limit-Ms"
NOT_RUN_HEADER = "Wagtail-Not-Run"
_CONNECT_TIMEOUT_MS = 1_000
_RUN_LIMIT_GRACE_MS = 500
_HEAD_BYTES = 1024 * 1024
_CHUNK_BYTES = 64 * 1024
_CHUNKS_AHEAD = 4
_HTTP_UNAVAILABLE = 503
_HTTP_SERVER_ERROR = 500

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "expect",
    }
)
_NOT_FORWARDED = _HOP_BY_HOP | {
    "authorization",
    "content-length",
    REQUEST_HEADER.lower(),
    MEMBER_HEADER.lower(),
    RUN_LIMIT_HEADER.lower(),
}


@dataclasses.dataclass(frozen=True)
class Forwarded:
    """A caller's request, ready to be sent to an endpoint.

    Attributes:
        request: Its id, echoed by the endpoint.
        member: Whose it is.
        method: The HTTP method.
        path: The path and query as the caller gave them.
        headers: The caller's headers.
        body: All of the body, or its stream.
    """

    request: str
    member: ids.MemberId
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes | AsyncIterator[bytes]


@dataclasses.dataclass(frozen=True)
class Ran:
    """How a run ended.

    Attributes:
        outcome: The kind of ending.
        run_ms: How long it took.
        answer: What to tell the caller, when there is an answer.
    """

    outcome: messages.RunOutcome
    run_ms: int
    answer: outcomes.Answer | None = None


AnswerReady = "asyncio.Future[outcomes.Answer]"


class EndpointClient:
    """Sends requests to endpoints, each at most once.

    Args:
        time: The clock.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close what is open."""
        if self._session is not None:
            await self._session.close()

    async def run(
        self,
        vm: settings.VmSettings,
        queue: settings.QueueSettings,
        forwarded: Forwarded,
        ready: "asyncio.Future[outcomes.Answer]",
    ) -> Ran:
        """Run a request and wait for its end, however long the answer is.

        Args:
            vm: Where.
            queue: The queue's settings.
            forwarded: What to send.
            ready: Is given the answer as soon as its head is here.

        Returns:
            How it ended; never raises but for cancellation.
        """
        began_ms = self._clock.monotonic_ms()
        limit_s = (queue.run_limit_ms + _RUN_LIMIT_GRACE_MS) / 1_000
        try:
            async with asyncio.timeout(limit_s):
                outcome = await self._attempt(vm, queue, forwarded, ready)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ):
            outcome = messages.RunOutcome.NOT_RUN
        except TimeoutError:
            outcome = messages.RunOutcome.TIMED_OUT
        except (aiohttp.ClientError, OSError, ValueError):
            outcome = messages.RunOutcome.BROKEN
        run_ms = self._clock.monotonic_ms() - began_ms
        return Ran(outcome, run_ms)

    async def _attempt(
        self,
        vm: settings.VmSettings,
        queue: settings.QueueSettings,
        forwarded: Forwarded,
        ready: "asyncio.Future[outcomes.Answer]",
    ) -> messages.RunOutcome:
        url = yarl.URL(
            f"http://{vm.host}:{vm.port}{forwarded.path}", encoded=True
        )
        async with self._open().request(
            forwarded.method,
            url,
            headers=_request_headers(forwarded, queue),
            data=forwarded.body or None,
            allow_redirects=False,
        ) as response:
            refused = NOT_RUN_HEADER in response.headers
            if refused and response.status == _HTTP_UNAVAILABLE:
                return messages.RunOutcome.BUSY
            echoed = response.headers.get(REQUEST_HEADER, forwarded.request)
            if echoed != forwarded.request:
                return messages.RunOutcome.BROKEN
            return await self._pass_on(response, ready)

    async def _pass_on(
        self,
        response: aiohttp.ClientResponse,
        ready: "asyncio.Future[outcomes.Answer]",
    ) -> messages.RunOutcome:
        head = await _read_head(response)
        whole = response.content.at_eof()
        rest: asyncio.Queue[bytes | BaseException | None] | None = None
        if not whole:
            rest = asyncio.Queue(_CHUNKS_AHEAD)
        headers = _answer_headers(response)
        if not ready.done():
            answer = outcomes.Answer(response.status, headers, head, rest)
            ready.set_result(answer)
        if rest is not None:
            await _stream(response, rest)
        if response.status >= _HTTP_SERVER_ERROR:
            return messages.RunOutcome.SERVER_ERROR
        return messages.RunOutcome.ANSWERED

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True, limit=0),
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                skip_auto_headers=("User-Agent", "Accept-Encoding", "Accept"),
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=_CONNECT_TIMEOUT_MS / 1_000
                ),
            )
            forbid_resends(self._session)
        return self._session


def forbid_resends(session: aiohttp.ClientSession) -> None:
    """Stop aiohttp from resending requests by their method.

    The queue decides what is idempotent. aiohttp has no public switch.
    """
    session._retry_connection = False


async def _read_head(response: aiohttp.ClientResponse) -> bytes:
    chunks = []
    size = 0
    while size < _HEAD_BYTES:
        chunk = await response.content.read(_CHUNK_BYTES)
        if not chunk:
            break
        chunks.append(chunk)
        size += len(chunk)
    return b"".join(chunks)


async def _stream(
    response: aiohttp.ClientResponse,
    rest: "asyncio.Queue[bytes | BaseException | None]",
) -> None:
    end: BaseException | None = None
    try:
        async for chunk in response.content.iter_chunked(_CHUNK_BYTES):
            await rest.put(chunk)
    except BaseException as error:
        end = error
        raise
    finally:
        while rest.full():
            rest.get_nowait() if end else await asyncio.sleep(0.01)
        rest.put_nowait(end)


def _request_headers(
    forwarded: Forwarded, queue: settings.QueueSettings
) -> "multidict.CIMultiDict[str]":
    headers: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    for name, value in forwarded.headers.items():
        if name.lower() not in _NOT_FORWARDED:
            headers.add(name, value)
    headers[REQUEST_HEADER] = forwarded.request
    headers[MEMBER_HEADER] = forwarded.member
    headers[RUN_LIMIT_HEADER] = str(queue.run_limit_ms)
    return headers


def _answer_headers(
    response: aiohttp.ClientResponse,
) -> "multidict.CIMultiDict[str]":
    headers: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    for name, value in response.headers.items():
        if name.lower() not in _HOP_BY_HOP:
            headers.add(name, value)
    return headers
