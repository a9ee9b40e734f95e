"""The HTTP server that callers and the platform's balancer talk to."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import http
import itertools

from aiohttp import web

from wagtailtiller import clock
from wagtailtiller import events
from wagtailtiller import process_settings
from wagtailtiller import replica
from wagtailtiller import statsd_metrics
from wagtailtiller.gateway import endpoints
from wagtailtiller.gateway.granting import front
from wagtailtiller.gateway.serving import admission
from wagtailtiller.gateway.serving import outcomes
from wagtailtiller.gateway.serving import service

_REPLAY_BYTES = 1024 * 1024
_STOPPING_RETRY_MS = 200
_ISOLATED_RETRY_MS = 1_000
_STOP_POLL_MS = 20


class _BodyError(Exception):
    def __init__(self, fault: outcomes.Invalid) -> None:
        super().__init__(fault.detail)
        self.fault = fault


class CallerServer:
    """Admits requests and writes their outcomes.

    Args:
        own: This gateway's process settings.
        incarnation: This process; a part of every request id.
        time: The clock.
        shared: This process's copy of the shared state.
        requests: Brings requests to their outcome.
        view_valid: Whether the view lease holds now.
        metrics_client: Where outcomes are counted.
    """

    def __init__(
        self,
        own: process_settings.GatewaySettings,
        incarnation: str,
        time: clock.Clock,
        shared: replica.Replica,
        requests: service.RequestService,
        view_valid: Callable[[], bool],
        metrics_client: statsd_metrics.MetricsClient,
    ) -> None:
        self._own = own
        self._clock = time
        self._replica = shared
        self._service = requests
        self._view_valid = view_valid
        self._metrics_client = metrics_client
        self._numbers = itertools.count(1)
        self._prefix = f"{own.gateway}-{incarnation}"
        self._stopping = False
        self._refusing = False
        self._handling = 0
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Begin to listen."""
        app = web.Application(client_max_size=0)
        app.router.add_get("/health", self._health)
        app.router.add_route("*", "/q/{queue}{path:.*}", self._handle)
        self._runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True
        )
        await self._runner.setup()
        host, port = self._own.caller_address.split(":")
        site = web.TCPSite(self._runner, host, int(port), shutdown_timeout=1)
        await site.start()

    async def stop(self) -> None:
        """Leave the balancer, finish what is in flight, and close."""
        self._stopping = True
        await asyncio.sleep(self._own.balancer_notice_ms / 1_000)
        self._refusing = True
        while self._handling or self._service.active:
            await asyncio.sleep(_STOP_POLL_MS / 1_000)
        if self._runner is not None:
            await self._runner.cleanup()

    async def _health(self, request: web.Request) -> web.Response:
        if self._stopping or not self._view_valid():
            return web.Response(status=503, text="unavailable\n")
        return web.Response(text="ok\n")

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        self._handling += 1
        try:
            outcome = await self._outcome(request)
            self._count(request, outcome)
            if isinstance(outcome, outcomes.Answer):
                return await _write_answer(request, outcome)
            response = outcomes.to_response(outcome)
            if not request.content.at_eof():
                response.force_close()
            return response
        finally:
            self._handling -= 1

    async def _outcome(self, request: web.Request) -> outcomes.Outcome:
        admitted = admission.admit(
            self._replica.settings.catalogue,
            request.match_info["queue"],
            request.headers,
            self._clock.monotonic_ms(),
            self._clock.wall_ms(),
        )
        if admitted.is_error():
            return admitted.error
        want = admitted.ok
        refusal = self._closed()
        if refusal is not None:
            return service.unvouched(want, refusal)
        try:
            body = await self._read_body(request, want)
        except _BodyError as error:
            return error.fault
        forwarded = endpoints.Forwarded(
            request=f"{self._prefix}-{next(self._numbers)}",
            member=want.caller.member,
            method=request.method,
            path=_endpoint_path(request),
            headers=request.headers,
            body=body,
        )
        return await self._service.serve(want, forwarded)

    def _closed(self) -> outcomes.NotRun | None:
        if self._refusing:
            return outcomes.NotRun(outcomes.Reason.STOPPING, _STOPPING_RETRY_MS)
        if not self._view_valid():
            return outcomes.NotRun(outcomes.Reason.ISOLATED, _ISOLATED_RETRY_MS)
        return None

    async def _read_body(
        self, request: web.Request, want: front.Want
    ) -> bytes | AsyncIterator[bytes]:
        limit = want.queue.max_body_bytes
        if (request.content_length or 0) > limit:
            raise _BodyError(_too_large(limit))
        head = b""
        while len(head) <= _REPLAY_BYTES:
            if request.content.at_eof():
                return head
            chunk = await self._read_chunk(request)
            if not chunk:
                return head
            head += chunk
            if len(head) > limit:
                raise _BodyError(_too_large(limit))
        return self._stream_body(request, head, limit)

    async def _stream_body(
        self, request: web.Request, head: bytes, limit: int
    ) -> AsyncIterator[bytes]:
        size = len(head)
        yield head
        while chunk := await self._read_chunk(request):
            size += len(chunk)
            if size > limit:
                raise ValueError("the body is too large")
            yield chunk

    async def _read_chunk(self, request: web.Request) -> bytes:
        timeout_s = self._own.body_timeout_ms / 1_000
        try:
            return await asyncio.wait_for(request.content.readany(), timeout_s)
        except TimeoutError as error:
            fault = outcomes.Invalid(
                http.HTTPStatus.REQUEST_TIMEOUT,
                "body",
                f"no data for {self._own.body_timeout_ms} ms",
            )
            raise _BodyError(fault) from error
        except (web.RequestPayloadError, ConnectionError) as error:
            fault = outcomes.Invalid(
                http.HTTPStatus.BAD_REQUEST, "body", "the body was cut short"
            )
            raise _BodyError(fault) from error

    def _count(self, request: web.Request, outcome: outcomes.Outcome) -> None:
        match outcome:
            case outcomes.Answer():
                metric = statsd_metrics.Metric.REQUESTS_ANSWERED
            case outcomes.NotRun():
                metric = statsd_metrics.Metric.REQUESTS_NOT_RUN
            case outcomes.Unknown():
                metric = statsd_metrics.Metric.REQUESTS_UNKNOWN
            case outcomes.Invalid():
                metric = statsd_metrics.Metric.REQUESTS_INVALID
        self._metrics_client.incr(metric.value)
        number = next(self._numbers)
        if number % self._own.sample_every == 0:
            events.emit(
                events.Event.REQUEST_SAMPLE,
                queue=request.match_info["queue"],
                outcome=type(outcome).__name__,
            )


def _endpoint_path(request: web.Request) -> str:
    raw = request.raw_path.split("/", 3)
    path = "/" + (raw[3] if len(raw) > 3 else "")
    query = raw[2].partition("?")[2] if len(raw) == 3 else ""
    return f"{path}?{query}" if query else path


def _too_large(limit: int) -> outcomes.Invalid:
    return outcomes.Invalid(
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        "body",
        f"at most {limit} bytes are accepted",
    )


async def _write_answer(
    request: web.Request, answer: outcomes.Answer
) -> web.StreamResponse:
    if answer.rest is None:
        whole = web.Response(
            status=answer.status, headers=answer.headers, body=answer.body
        )
        whole.headers[outcomes.OUTCOME_HEADER] = "answer"
        return whole
    response = web.StreamResponse(status=answer.status, headers=answer.headers)
    response.headers[outcomes.OUTCOME_HEADER] = "answer"
    await response.prepare(request)
    await response.write(answer.body)
    while (chunk := await answer.rest.get()) is not None:
        if isinstance(chunk, BaseException):
            _abort(request)
            return response
        await response.write(chunk)
    await response.write_eof()
    return response


def _abort(request: web.Request) -> None:
    """Cut the connection, so that a part is never taken for the whole."""
    if request.transport is not None:
        request.transport.abort()
