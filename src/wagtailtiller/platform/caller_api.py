"""The HTTP interface for callers, on top of the frontend."""

import asyncio
import re

from aiohttp import web
import msgspec

from wagtailtiller import events
from wagtailtiller.entry import frontend
from wagtailtiller.entry import outcomes
from wagtailtiller.http_server import refusals
from wagtailtiller.http_server import server
from wagtailtiller.jobs import model
from wagtailtiller.platform import documents
from wagtailtiller.ports import catalogue

_JOB_ID = re.compile(r"[0-9a-fA-F]{16}\Z")
_TIMEOUT_HEADER = "Timeout-Ms"
_AUTHORIZATION_SCHEME = "bearer"
_DEFAULT_TIMEOUT_MS = 3_000
_MAX_TIMEOUT_MS = 60_000
_BODY_RETRY_AFTER_S = 1
# Memory of a decoded job, in sizes of its body.
_DECODED_FACTOR = 12
# Larger bodies are decoded one in each turn of the event loop.
_LARGE_BODY_BYTES = 16_384


class CallerApi:
    """Translates between HTTP requests and the frontend's outcomes.

    Args:
        entry_frontend: The frontend that carries out the requests.

    Attributes:
        in_flight: The number of requests that are being served.
        last_request_s: Time of the event loop at which the latest request was
            read.
        stopping: Whether the process shuts down. Then, and while it is not
            ready, each connection is closed after its next response.
    """

    def __init__(self, entry_frontend: frontend.Frontend) -> None:
        self._frontend = entry_frontend
        self.in_flight = 0
        self.last_request_s = 0.0
        self.stopping = False
        self._large_bodies = asyncio.Lock()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request.

        Args:
            request: The request of a caller.

        Returns:
            The response to the request.
        """
        self.in_flight += 1
        self.last_request_s = asyncio.get_running_loop().time()
        try:
            response = await self._serve(request)
        finally:
            self.in_flight -= 1
        if self.stopping or not self._frontend.is_ready():
            response.force_close()
        return response

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        route = self._frontend.route(
            request.host, request.path, _api_key(request)
        )
        if not isinstance(route, frontend.Route):
            return _to_response(route)
        job_name = request.path[len(route.queue.prefix) :]
        timeout_ms = _timeout_ms(request)
        if not job_name and request.method == "GET":
            return _to_response(
                await self._frontend.queue_status(route.queue, timeout_ms)
            )
        if not _JOB_ID.match(job_name):
            return _error_response(404, "no such job")
        job = model.JobId(job_name)
        match request.method:
            case "POST":
                return await self._submit(request, route, job, timeout_ms)
            case "GET":
                return _to_response(
                    await self._frontend.job_status(route, job, timeout_ms)
                )
            case "DELETE":
                return _to_response(
                    await self._frontend.cancel(route, job, timeout_ms)
                )
            case _:
                return _error_response(405, "method not allowed")

    async def _submit(
        self,
        request: web.BaseRequest,
        route: frontend.Route,
        job: model.JobId,
        timeout_ms: int,
    ) -> web.Response:
        client = server.connection_of(request)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            async with self._frontend.deadlines.limit(timeout_ms):
                body = await client.read_body(request)
                if isinstance(body, refusals.Reason):
                    return client.refuse(body)
                if not client.reserve(len(body) * _DECODED_FACTOR):
                    return client.refuse(refusals.Reason.NO_MEMORY)
                spec = await self._decode(body)
        except TimeoutError:
            return _refuse_without_body(route.queue, job)
        if isinstance(spec, str):
            return _error_response(400, spec)
        time_left_ms = timeout_ms - int((loop.time() - started_s) * 1_000)
        return _to_response(
            await self._frontend.submit(route, job, spec, time_left_ms)
        )

    async def _decode(self, body: bytearray) -> model.JobSpec | str:
        if len(body) <= _LARGE_BODY_BYTES:
            return documents.decode_job(body)
        async with self._large_bodies:
            # Other requests are served between two large ones.
            await asyncio.sleep(0)
            return documents.decode_job(body)


def _api_key(request: web.BaseRequest) -> str | None:
    header = request.headers.get("Authorization", "")
    scheme, _, api_key = header.partition(" ")
    if scheme.lower() != _AUTHORIZATION_SCHEME:
        return None
    return api_key.strip() or None


def _timeout_ms(request: web.BaseRequest) -> int:
    try:
        requested_ms = int(request.headers.get(_TIMEOUT_HEADER, ""))
    except ValueError:
        return _DEFAULT_TIMEOUT_MS
    return min(max(requested_ms, 1), _MAX_TIMEOUT_MS)


def _to_response(outcome: outcomes.Outcome) -> web.Response:
    match outcome:
        case outcomes.Accepted():
            return _json_response(200, {})
        case outcomes.JobStatus(state=state):
            return _json_response(200, {"state": state.value})
        case outcomes.QueueStatus(pending_count=count):
            return _json_response(200, {"pending": count})
        case outcomes.Refused(reason=reason, retry_after_ms=retry_after_ms):
            response = _error_response(503, reason.value)
            # Rounded up, because the header counts whole seconds and a retry
            # must not come too early.
            response.headers["Retry-After"] = str(-(-retry_after_ms // 1_000))
            return response
        case outcomes.NoSuchQueue():
            return _error_response(404, "no such queue")
        case outcomes.Unauthenticated():
            response = _error_response(401, "unknown key")
            response.headers["WWW-Authenticate"] = "Bearer"
            return response
        case outcomes.IdInUse():
            return _error_response(409, "id in use")
        case outcomes.NoSuchJob():
            return _error_response(410, "no such job")
        case outcomes.Unknown():
            return _error_response(504, "not known in time")


def _refuse_without_body(
    queue: catalogue.Queue, job: model.JobId
) -> web.Response:
    """Refuse a job whose specification has not arrived in time."""
    events.emit(
        events.Event.JOB_REFUSED,
        job=job,
        queue=queue.queue,
        reason="no_body",
        retry_after_ms=_BODY_RETRY_AFTER_S * 1_000,
    )
    response = _error_response(503, "no_body")
    response.headers["Retry-After"] = str(_BODY_RETRY_AFTER_S)
    return response


def _error_response(status: int, detail: str) -> web.Response:
    return _json_response(status, {"error": detail})


def _json_response(status: int, body: object) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type="application/json",
    )
