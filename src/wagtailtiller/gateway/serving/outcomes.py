"""What a caller can be told, and how each outcome looks over HTTP.

Every request ends in exactly one of ``Answer``, ``NotRun``, ``Unknown`` and
``Invalid``.
"""

import asyncio
from collections.abc import Mapping
import dataclasses
import enum
import http

from aiohttp import web
import msgspec

from wagtailtiller.dispatch import messages

OUTCOME_HEADER = "Wagtail-Outcome"
RETRY_AFTER_MS_HEADER = "Wagtail-Retry-After-Ms"
_MS_PER_S = 1_000


class Reason(enum.Enum):
    """Why a request was not run, or why its fate is unknown."""

    OVERLOADED = "overloaded"
    TOO_LATE = "too_late"
    QUEUE_FULL = "queue_full"
    NO_VM = "no_vm"
    ISOLATED = "isolated"
    STOPPING = "stopping"
    NO_DISPATCHER = "no_dispatcher"
    ENDPOINT_BROKE = "endpoint_broke"
    RUN_LIMIT = "run_limit"
    DEADLINE = "deadline"
    DUPLICATE = "duplicate"
    KEY_UNCERTAIN = "key_uncertain"
    RETRIES_SPENT = "retries_spent"


@dataclasses.dataclass(frozen=True)
class Answer:
    """The endpoint's whole answer, or its head when more is to come.

    Attributes:
        status: The endpoint's status.
        headers: Its end-to-end headers.
        body: The body's beginning.
        rest: Further chunks, ended by None; None when ``body`` is all.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    rest: "asyncio.Queue[bytes | BaseException | None] | None" = None


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The request truly did not run; it is safe to repeat."""

    reason: Reason
    retry_after_ms: int


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The request may have run."""

    reason: Reason


@dataclasses.dataclass(frozen=True)
class Invalid:
    """The request cannot be accepted as it is.

    Attributes:
        status: The HTTP status.
        field: The header or part at fault.
        detail: What is wrong with it.
    """

    status: http.HTTPStatus
    field: str
    detail: str


Failure = NotRun | Unknown | Invalid
Outcome = Answer | Failure

_REFUSALS = {
    messages.Refusal.OVERLOADED: Reason.OVERLOADED,
    messages.Refusal.TOO_LATE: Reason.TOO_LATE,
    messages.Refusal.QUEUE_FULL: Reason.QUEUE_FULL,
    messages.Refusal.NOT_DISPATCHER: Reason.NO_DISPATCHER,
    messages.Refusal.ISOLATED: Reason.ISOLATED,
    messages.Refusal.NO_VM: Reason.NO_VM,
}


def from_refusal(refuse: messages.Refuse) -> Failure:
    """Translate a dispatcher's refusal."""
    match refuse.reason:
        case messages.Refusal.DUPLICATE:
            return Unknown(Reason.DUPLICATE)
        case messages.Refusal.MAY_HAVE_RUN:
            return Unknown(Reason.KEY_UNCERTAIN)
        case messages.Refusal.NO_CAPABLE_VM:
            return Invalid(
                http.HTTPStatus.UNPROCESSABLE_ENTITY,
                refuse.detail,
                f"no VM of the pool has enough {refuse.detail}",
            )
    return NotRun(_REFUSALS[refuse.reason], refuse.retry_after_ms)


def to_response(failure: Failure) -> web.Response:
    """Express a failure over HTTP."""
    match failure:
        case NotRun():
            return _not_run(failure)
        case Unknown():
            body = {"outcome": "unknown", "reason": failure.reason.value}
            return _response(http.HTTPStatus.BAD_GATEWAY, "unknown", body)
        case Invalid():
            body = {
                "outcome": "invalid",
                "field": failure.field,
                "detail": failure.detail,
            }
            return _response(failure.status, "invalid", body)


def _not_run(failure: NotRun) -> web.Response:
    body = {
        "outcome": "not_run",
        "reason": failure.reason.value,
        "retry_after_ms": failure.retry_after_ms,
    }
    response = _response(http.HTTPStatus.SERVICE_UNAVAILABLE, "not-run", body)
    seconds = max(1, -(-failure.retry_after_ms // _MS_PER_S))
    response.headers["Retry-After"] = str(seconds)
    response.headers[RETRY_AFTER_MS_HEADER] = str(failure.retry_after_ms)
    return response


def _response(
    status: http.HTTPStatus, outcome: str, body: Mapping[str, object]
) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type="application/json",
        headers={OUTCOME_HEADER: outcome},
    )
