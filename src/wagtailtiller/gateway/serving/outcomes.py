"""Outcomes of requests and their representation in HTTP.

Each request ends with exactly one of ``Answer``, ``NotRun``, ``Unknown`` and
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
    """Reason why a request was not run or why its outcome is unknown."""

    OVERLOADED = "overloaded"
    TOO_LATE = "too_late"
    QUEUE_FULL = "queue_full"
    NO_VM = "no_vm"
    ISOLATED = "isolated"
    STOPPING = "stopping"
    NO_MEMORY = "no_memory"
    NO_DISPATCHER = "no_dispatcher"
    ENDPOINT_BROKE = "endpoint_broke"
    RUN_LIMIT = "run_limit"
    DEADLINE = "deadline"
    DUPLICATE = "duplicate"
    KEY_UNCERTAIN = "key_uncertain"
    RETRIES_SPENT = "retries_spent"


@dataclasses.dataclass(frozen=True)
class Answer:
    """An endpoint's answer, complete or with a part still to be received.

    Attributes:
        status: HTTP status of the answer.
        headers: End-to-end headers of the answer.
        body: The complete body, or its first bytes.
        remaining_chunks: Queue of the chunks that follow ``body``. The last
            item is None, or the error that ended the answer early. None if
            ``body`` is complete.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    remaining_chunks: "asyncio.Queue[bytes | BaseException | None] | None" = (
        None
    )


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The request certainly did not run and can safely be repeated.

    Attributes:
        reason: Reason why the request was not run.
        retry_after_ms: Time after which the caller should repeat it.
    """

    reason: Reason
    retry_after_ms: int


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The request may have run.

    Attributes:
        reason: Reason why the outcome is unknown.
    """

    reason: Reason


@dataclasses.dataclass(frozen=True)
class Invalid:
    """The request is invalid.

    Attributes:
        status: HTTP status of the response.
        field: Header or part of the request that is invalid.
        detail: Description of the error.
    """

    status: http.HTTPStatus
    field: str
    detail: str


Failure = NotRun | Unknown | Invalid
Outcome = Answer | Failure

_REFUSAL_REASONS = {
    messages.RefusalReason.OVERLOADED: Reason.OVERLOADED,
    messages.RefusalReason.TOO_LATE: Reason.TOO_LATE,
    messages.RefusalReason.QUEUE_FULL: Reason.QUEUE_FULL,
    messages.RefusalReason.NOT_DISPATCHER: Reason.NO_DISPATCHER,
    messages.RefusalReason.ISOLATED: Reason.ISOLATED,
    messages.RefusalReason.NO_VM: Reason.NO_VM,
}


def from_refusal(refuse: messages.Refuse) -> Failure:
    """Return the failure that corresponds to a dispatcher's refusal.

    Args:
        refuse: Refusal of the dispatcher.
    """
    match refuse.reason:
        case messages.RefusalReason.DUPLICATE:
            return Unknown(Reason.DUPLICATE)
        case messages.RefusalReason.MAY_HAVE_RUN:
            return Unknown(Reason.KEY_UNCERTAIN)
        case messages.RefusalReason.NO_CAPABLE_VM:
            return Invalid(
                http.HTTPStatus.UNPROCESSABLE_ENTITY,
                refuse.detail,
                f"no VM of the pool has enough {refuse.detail}",
            )
    return NotRun(_REFUSAL_REASONS[refuse.reason], refuse.retry_after_ms)


def to_response(failure: Failure) -> web.Response:
    """Return the HTTP response for a failure.

    Args:
        failure: Failure to report to the caller.
    """
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
