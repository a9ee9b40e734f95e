"""HTTP server for the callers and the platform's load balancer."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import http
import itertools
import re

from aiohttp import hdrs
from aiohttp import web

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import process_settings
from wagtailtiller import replica
from wagtailtiller import statsd_metrics
from wagtailtiller.gateway import endpoints
from wagtailtiller.gateway.granting import frontend
from wagtailtiller.gateway.serving import admission
from wagtailtiller.gateway.serving import outcomes
from wagtailtiller.gateway.serving import service
from wagtailtiller.http_server import limits as http_limits
from wagtailtiller.http_server import refusals
from wagtailtiller.http_server import server
from wagtailtiller.http_server import table
from wagtailtiller.ports import catalogue

_MAX_REPLAYABLE_BYTES = 1024 * 1024
_STOPPING_RETRY_AFTER_MS = 200
_ISOLATED_RETRY_AFTER_MS = 1_000
_NO_MEMORY_RETRY_AFTER_MS = 1_000
_STOP_POLL_MS = 20
_CLOSE_TIMEOUT_S = 1.0
_HEALTH_PATH = "/health"
_QUEUE_PATH = re.compile(r"/q/(?P<queue>[^{}/]+)")


class _BodyError(Exception):
    """The body of a request cannot be used, so that it does not run.

    Args:
        failure: What the caller is told.
    """

    def __init__(self, failure: outcomes.Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure


class CallerServer:
    """Admits callers' requests and writes their outcomes.

    Args:
        own_settings: Settings of this process.
        incarnation: Identifier of this process; part of each request id.
        clock: Clock that supplies the current time.
        state_replica: This process's copy of the shared state.
        request_service: Service that runs admitted requests.
        view_valid: Function that returns whether the view lease is valid.
        metrics_client: Client that counts the outcomes.
    """

    def __init__(
        self,
        own_settings: process_settings.GatewaySettings,
        incarnation: str,
        clock: clock_module.Clock,
        state_replica: replica.Replica,
        request_service: service.RequestService,
        view_valid: Callable[[], bool],
        metrics_client: statsd_metrics.MetricsClient,
    ) -> None:
        self._own_settings = own_settings
        self._clock = clock
        self._replica = state_replica
        self._service = request_service
        self._view_valid = view_valid
        self._metrics_client = metrics_client
        self._sequence = itertools.count(1)
        self._request_id_prefix = f"{own_settings.gateway}-{incarnation}"
        self._stopping = False
        self._refuses_requests = False
        self._open_requests = 0
        self._runner: web.ServerRunner | None = None
        limits = _request_limits(own_settings)
        self._connections = table.Table(
            http_limits.of_process(
                own_settings.memory_mb, own_settings.max_descriptors
            ),
            lambda: limits,
        )

    async def start(self) -> None:
        """Start listening."""
        self._connections.start()
        self._runner = await server.listen(
            self._serve,
            self._own_settings.caller_address,
            self._connections,
            _CLOSE_TIMEOUT_S,
            handler_cancellation=True,
        )

    async def stop(self) -> None:
        """Shut down gracefully.

        The health check fails first, so that the load balancer sends no new
        callers. The server closes after the requests in flight have ended.
        """
        self._stopping = True
        await asyncio.sleep(self._own_settings.balancer_notice_ms / 1_000)
        self._refuses_requests = True
        while self._open_requests or self._service.active_runs:
            await asyncio.sleep(_STOP_POLL_MS / 1_000)
        if self._runner is not None:
            await self._runner.cleanup()
        self._connections.stop()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == _HEALTH_PATH:
            return self._health(request)
        queue_path = _QUEUE_PATH.match(request.path)
        if queue_path is None:
            return web.Response(status=http.HTTPStatus.NOT_FOUND)
        return await self._handle(request, queue_path["queue"])

    def _health(self, request: web.BaseRequest) -> web.Response:
        if request.method not in (hdrs.METH_GET, hdrs.METH_HEAD):
            return web.Response(status=http.HTTPStatus.METHOD_NOT_ALLOWED)
        if self._stopping or not self._view_valid():
            return web.Response(status=503, text="unavailable\n")
        return web.Response(text="ok\n")

    async def _handle(
        self, request: web.BaseRequest, queue_name: str
    ) -> web.StreamResponse:
        self._open_requests += 1
        try:
            outcome = await self._outcome(request, queue_name)
            self._record_outcome(queue_name, outcome)
            if isinstance(outcome, outcomes.Answer):
                return await _write_answer(request, outcome)
            response = outcomes.to_response(outcome)
            if not request.content.at_eof():
                response.force_close()
            return response
        finally:
            self._open_requests -= 1

    async def _outcome(
        self, request: web.BaseRequest, queue_name: str
    ) -> outcomes.Outcome:
        admission_result = admission.admit(
            self._replica.settings.catalogue,
            queue_name,
            request.headers,
            self._clock.monotonic_ms(),
            self._clock.wall_ms(),
        )
        if admission_result.is_error():
            return admission_result.error
        admitted = admission_result.ok
        refusal = self._refusal()
        if refusal is not None:
            return service.failure_without_dispatcher(admitted, refusal)
        try:
            body = await self._read_body(request, admitted)
        except _BodyError as error:
            return error.failure
        forwarded = endpoints.ForwardedRequest(
            request_id=f"{self._request_id_prefix}-{next(self._sequence)}",
            member=admitted.caller.member,
            method=request.method,
            path=_endpoint_path(request),
            headers=request.headers,
            body=body,
        )
        return await self._service.serve(admitted, forwarded)

    def _refusal(self) -> outcomes.NotRun | None:
        if self._refuses_requests:
            return outcomes.NotRun(
                outcomes.Reason.STOPPING, _STOPPING_RETRY_AFTER_MS
            )
        if not self._view_valid():
            return outcomes.NotRun(
                outcomes.Reason.ISOLATED, _ISOLATED_RETRY_AFTER_MS
            )
        return None

    async def _read_body(
        self, request: web.BaseRequest, admitted: frontend.AdmittedRequest
    ) -> bytes | AsyncIterator[bytes]:
        max_bytes = admitted.queue.max_body_bytes
        if (request.content_length or 0) > max_bytes:
            raise _BodyError(_too_large(max_bytes))
        buffered = b""
        while len(buffered) <= _MAX_REPLAYABLE_BYTES:
            if request.content.at_eof():
                return buffered
            chunk = await self._read_chunk(request)
            if not chunk:
                return buffered
            buffered += chunk
            if len(buffered) > max_bytes:
                raise _BodyError(_too_large(max_bytes))
        return self._stream_body(request, buffered, max_bytes)

    async def _stream_body(
        self, request: web.BaseRequest, buffered: bytes, max_bytes: int
    ) -> AsyncIterator[bytes]:
        total_bytes = len(buffered)
        yield buffered
        client = server.connection_of(request)
        client.release_body(len(buffered))
        while chunk := await self._read_chunk(request):
            total_bytes += len(chunk)
            if total_bytes > max_bytes:
                raise ValueError("the body is too large")
            yield chunk
            client.release_body(len(chunk))

    async def _read_chunk(self, request: web.BaseRequest) -> bytes:
        timeout_s = self._own_settings.body_timeout_ms / 1_000
        try:
            async with asyncio.timeout(timeout_s):
                chunk = await server.connection_of(request).read_chunk(request)
        except TimeoutError as error:
            invalid = outcomes.Invalid(
                http.HTTPStatus.REQUEST_TIMEOUT,
                "body",
                f"no data for {self._own_settings.body_timeout_ms} ms",
            )
            raise _BodyError(invalid) from error
        if isinstance(chunk, refusals.Reason):
            raise _BodyError(_to_failure(chunk))
        return chunk

    def _record_outcome(
        self, queue_name: str, outcome: outcomes.Outcome
    ) -> None:
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
        number = next(self._sequence)
        if number % self._own_settings.sample_every == 0:
            events.emit(
                events.Event.REQUEST_SAMPLE,
                queue=queue_name,
                outcome=type(outcome).__name__,
            )


def _request_limits(
    own_settings: process_settings.GatewaySettings,
) -> catalogue.RequestLimits:
    # The size of a body is limited for each queue.
    return catalogue.RequestLimits(
        max_header_bytes=own_settings.max_header_bytes,
        header_timeout_ms=own_settings.header_timeout_ms,
        idle_timeout_ms=own_settings.idle_timeout_ms,
    )


def _endpoint_path(request: web.BaseRequest) -> str:
    segments = request.raw_path.split("/", 3)
    path = "/" + (segments[3] if len(segments) > 3 else "")
    query = segments[2].partition("?")[2] if len(segments) == 3 else ""
    return f"{path}?{query}" if query else path


def _to_failure(reason: refusals.Reason) -> outcomes.Failure:
    if reason is refusals.Reason.NO_MEMORY:
        return outcomes.NotRun(
            outcomes.Reason.NO_MEMORY, _NO_MEMORY_RETRY_AFTER_MS
        )
    return outcomes.Invalid(refusals.status(reason), "body", reason.value)


def _too_large(max_bytes: int) -> outcomes.Invalid:
    return outcomes.Invalid(
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        "body",
        f"at most {max_bytes} bytes are accepted",
    )


async def _write_answer(
    request: web.BaseRequest, answer: outcomes.Answer
) -> web.StreamResponse:
    if answer.remaining_chunks is None:
        complete = web.Response(
            status=answer.status, headers=answer.headers, body=answer.body
        )
        complete.headers[outcomes.OUTCOME_HEADER] = "answer"
        return complete
    response = web.StreamResponse(status=answer.status, headers=answer.headers)
    response.headers[outcomes.OUTCOME_HEADER] = "answer"
    await response.prepare(request)
    await response.write(answer.body)
    while (chunk := await answer.remaining_chunks.get()) is not None:
        if isinstance(chunk, BaseException):
            _abort(request)
            return response
        await response.write(chunk)
    await response.write_eof()
    return response


def _abort(request: web.BaseRequest) -> None:
    """Abort the connection, so that a partial answer never seems complete."""
    if request.transport is not None:
        request.transport.abort()
