"""Why a client is refused or cut off, and the response that says so."""

import enum
import http

from aiohttp import web
import msgspec

from wagtailtiller.ports import catalogue

_RETRY_AFTER_S = 1


class Reason(enum.Enum):
    """Why a request is refused, or its connection closed."""

    HEAD_TOO_LARGE = "head_too_large"
    HEAD_TIMEOUT = "head_timeout"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TIMEOUT = "body_timeout"
    CHUNKS_TOO_LARGE = "chunks_too_large"
    MALFORMED = "malformed"
    DISCONNECTED = "disconnected"
    NO_MEMORY = "no_memory"
    NO_CONNECTION = "no_connection"
    IDLE = "idle"
    UNREAD_RESPONSE = "unread_response"


_STATUSES = {
    Reason.HEAD_TOO_LARGE: http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Reason.HEAD_TIMEOUT: http.HTTPStatus.REQUEST_TIMEOUT,
    Reason.BODY_TOO_LARGE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.BODY_TIMEOUT: http.HTTPStatus.REQUEST_TIMEOUT,
    Reason.CHUNKS_TOO_LARGE: http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Reason.MALFORMED: http.HTTPStatus.BAD_REQUEST,
    Reason.DISCONNECTED: http.HTTPStatus.BAD_REQUEST,
}
_DETAILS = {
    Reason.HEAD_TOO_LARGE: "head: at most {max_header_bytes} bytes",
    Reason.HEAD_TIMEOUT: "head: at most {header_timeout_ms} ms",
    Reason.BODY_TOO_LARGE: "body: at most {max_body_bytes} bytes",
    Reason.BODY_TIMEOUT: "body: no bytes for {idle_timeout_ms} ms",
    Reason.CHUNKS_TOO_LARGE: (
        "chunk extensions and trailers: at most {max_header_bytes} bytes"
    ),
    Reason.MALFORMED: "not an HTTP request",
    Reason.DISCONNECTED: "body: not complete",
}


def status(reason: Reason) -> http.HTTPStatus:
    """Return the status of the response to a refused request.

    Args:
        reason: Why the request is refused.
    """
    return _STATUSES.get(reason, http.HTTPStatus.SERVICE_UNAVAILABLE)


def has_response(reason: Reason) -> bool:
    """Return whether a client that is cut off is told the reason."""
    return reason in _STATUSES or reason is Reason.NO_MEMORY


def response(reason: Reason, limits: catalogue.RequestLimits) -> web.Response:
    """Return the response to a request that is refused; it is never run.

    Args:
        reason: Why the request is refused.
        limits: The limits that the response names.
    """
    detail = _DETAILS.get(reason, reason.value)
    headers = {}
    if status(reason) is http.HTTPStatus.SERVICE_UNAVAILABLE:
        headers["Retry-After"] = str(_RETRY_AFTER_S)
    refusal = web.Response(
        status=status(reason),
        body=msgspec.json.encode(
            {"error": detail.format(**msgspec.structs.asdict(limits))}
        ),
        headers=headers,
        content_type="application/json",
    )
    refusal.force_close()
    return refusal


def encode(reason: Reason, limits: catalogue.RequestLimits) -> bytes:
    """Return the response to a request whose head is not complete.

    Args:
        reason: Why the request is refused.
        limits: The limits that the response names.
    """
    refusal = response(reason, limits)
    body = refusal.body
    assert isinstance(body, bytes)
    lines = [
        f"HTTP/1.1 {refusal.status} {refusal.reason}",
        *(f"{name}: {value}" for name, value in refusal.headers.items()),
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
