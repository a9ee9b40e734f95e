"""HTTP client that runs granted requests at endpoints.

Each run uses a connection of its own. An answer therefore cannot belong to
another request, a refused connection proves that nothing ran, and an endpoint
never has more connections than slots.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Mapping
import dataclasses

import aiohttp
import multidict
import yarl

from wagtailtiller import clock as clock_module
from wagtailtiller import connector
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
_MAX_BUFFERED_BYTES = 1024 * 1024
_CHUNK_BYTES = 64 * 1024
_MAX_QUEUED_CHUNKS = 4
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
class ForwardedRequest:
    """A caller's request in the form in which an endpoint receives it.

    Attributes:
        request_id: Identifier of the request; the endpoint may send it back.
        member: Member that sent the request.
        method: HTTP method.
        path: Path and query as received from the caller.
        headers: Headers as received from the caller.
        body: The complete body, or a stream of its chunks.
    """

    request_id: str
    member: ids.MemberId
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes | AsyncIterator[bytes]


@dataclasses.dataclass(frozen=True)
class RunResult:
    """Result of a run.

    Attributes:
        outcome: Outcome of the run.
        run_ms: Duration of the run.
    """

    outcome: messages.RunOutcome
    run_ms: int


class EndpointClient:
    """Client that sends each request to an endpoint at most once.

    Args:
        clock: Clock that supplies the current time.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()

    async def run(
        self,
        vm: settings.VmSettings,
        queue: settings.QueueSettings,
        forwarded: ForwardedRequest,
        answer_future: "asyncio.Future[outcomes.Answer]",
    ) -> RunResult:
        """Run a request and wait until its answer has been read completely.

        Only cancellation raises; other errors are part of the result.

        Args:
            vm: VM on which the endpoint runs.
            queue: Settings of the request's queue.
            forwarded: Request to send.
            answer_future: Future that receives the answer as soon as its
                headers and the first bytes of its body have been read.

        Returns:
            Outcome and duration of the run.
        """
        started_ms = self._clock.monotonic_ms()
        limit_s = (queue.run_limit_ms + _RUN_LIMIT_GRACE_MS) / 1_000
        try:
            async with asyncio.timeout(limit_s):
                outcome = await self._send_request(
                    vm, queue, forwarded, answer_future
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ):
            outcome = messages.RunOutcome.NOT_RUN
        except TimeoutError:
            outcome = messages.RunOutcome.TIMED_OUT
        except (aiohttp.ClientError, OSError, ValueError):
            outcome = messages.RunOutcome.BROKEN
        run_ms = self._clock.monotonic_ms() - started_ms
        return RunResult(outcome, run_ms)

    async def _send_request(
        self,
        vm: settings.VmSettings,
        queue: settings.QueueSettings,
        forwarded: ForwardedRequest,
        answer_future: "asyncio.Future[outcomes.Answer]",
    ) -> messages.RunOutcome:
        url = yarl.URL(
            f"http://{vm.host}:{vm.port}{forwarded.path}", encoded=True
        )
        async with self._get_session().request(
            forwarded.method,
            url,
            headers=_request_headers(forwarded, queue),
            data=forwarded.body or None,
            allow_redirects=False,
        ) as response:
            has_not_run_header = NOT_RUN_HEADER in response.headers
            if has_not_run_header and response.status == _HTTP_UNAVAILABLE:
                return messages.RunOutcome.BUSY
            echoed_id = response.headers.get(
                REQUEST_HEADER, forwarded.request_id
            )
            if echoed_id != forwarded.request_id:
                return messages.RunOutcome.BROKEN
            return await self._relay_answer(response, answer_future)

    async def _relay_answer(
        self,
        response: aiohttp.ClientResponse,
        answer_future: "asyncio.Future[outcomes.Answer]",
    ) -> messages.RunOutcome:
        buffered = await _read_buffered(response)
        complete = response.content.at_eof()
        remaining_chunks: asyncio.Queue[bytes | BaseException | None] | None = (
            None
        )
        if not complete:
            remaining_chunks = asyncio.Queue(_MAX_QUEUED_CHUNKS)
        headers = _answer_headers(response)
        if not answer_future.done():
            answer = outcomes.Answer(
                response.status, headers, buffered, remaining_chunks
            )
            answer_future.set_result(answer)
        if remaining_chunks is not None:
            await _queue_chunks(response, remaining_chunks)
        if response.status >= _HTTP_SERVER_ERROR:
            return messages.RunOutcome.SERVER_ERROR
        return messages.RunOutcome.ANSWERED

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=connector.Connector(force_close=True, limit=0),
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                skip_auto_headers=("User-Agent", "Accept-Encoding", "Accept"),
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=_CONNECT_TIMEOUT_MS / 1_000
                ),
            )
            disable_resends(self._session)
        return self._session


def disable_resends(session: aiohttp.ClientSession) -> None:
    """Stop aiohttp from resending requests with idempotent HTTP methods.

    The queue's settings decide whether a request is idempotent, not its
    method. aiohttp has no public option for this.

    Args:
        session: Session to change.
    """
    session._retry_connection = False


async def _read_buffered(response: aiohttp.ClientResponse) -> bytes:
    chunks = []
    size = 0
    while size < _MAX_BUFFERED_BYTES:
        chunk = await response.content.read(_CHUNK_BYTES)
        if not chunk:
            break
        chunks.append(chunk)
        size += len(chunk)
    return b"".join(chunks)


async def _queue_chunks(
    response: aiohttp.ClientResponse,
    chunks: "asyncio.Queue[bytes | BaseException | None]",
) -> None:
    failure: BaseException | None = None
    try:
        async for chunk in response.content.iter_chunked(_CHUNK_BYTES):
            await chunks.put(chunk)
    except BaseException as error:
        failure = error
        raise
    finally:
        while chunks.full():
            chunks.get_nowait() if failure else await asyncio.sleep(0.01)
        chunks.put_nowait(failure)


def _request_headers(
    forwarded: ForwardedRequest, queue: settings.QueueSettings
) -> "multidict.CIMultiDict[str]":
    headers: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    for name, value in forwarded.headers.items():
        if name.lower() not in _NOT_FORWARDED:
            headers.add(name, value)
    headers[REQUEST_HEADER] = forwarded.request_id
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
