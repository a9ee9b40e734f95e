"""Checks of a caller's request before it may request a slot."""

from collections.abc import Mapping
import hashlib
import http

from expression import Error
from expression import Ok
from expression import Result

from wagtailtiller import ids
from wagtailtiller import settings
from wagtailtiller.gateway.granting import frontend
from wagtailtiller.gateway.serving import outcomes

KEY_HEADER = "Idempotency-Key"
KEY_ISSUED_HEADER = "Wagtail-Key-Issued-Ms"
DEADLINE_HEADER = "Wagtail-Deadline-Ms"
_TOKEN_PREFIX = "Bearer "
_MAX_KEY_LENGTH = 200
_MAX_DEADLINE_MS = 86_400_000
_KEY_HASH_BYTES = 7

Admitted = Result[frontend.AdmittedRequest, outcomes.Invalid]


def hash_token(token: str) -> str:
    """Return the hash under which the settings store a token.

    Args:
        token: Token of a caller.

    Returns:
        SHA-256 hash, as a hexadecimal string.
    """
    return hashlib.sha256(token.encode()).hexdigest()


def admit(
    catalogue: settings.Catalogue,
    queue_name: str,
    headers: Mapping[str, str],
    now_ms: int,
    wall_ms: int,
) -> Admitted:
    """Check the caller, the queue and the headers of a request.

    A queue that another member owns gets the same answer as a queue that does
    not exist.

    Args:
        catalogue: Catalogue of the current settings.
        queue_name: Name of the queue in the request's path.
        headers: Headers of the request.
        now_ms: Current time of the monotonic clock.
        wall_ms: Current time of the wall clock, which is compared with the
            time at which the idempotency key was issued.

    Returns:
        The admitted request, or what is invalid in it.
    """
    authorization = headers.get("Authorization", "")
    token = authorization.removeprefix(_TOKEN_PREFIX)
    caller = catalogue.callers.get(hash_token(token))
    if caller is None or not authorization.startswith(_TOKEN_PREFIX):
        return _invalid(
            http.HTTPStatus.UNAUTHORIZED, "Authorization", "unknown token"
        )
    queue = catalogue.queues.get(ids.QueueId(queue_name))
    if queue is None or queue.owner not in ("", caller.member):
        return _invalid(
            http.HTTPStatus.NOT_FOUND, "queue", "there is no such queue"
        )
    return _admit_to_queue(queue, caller, headers, now_ms, wall_ms)


def _admit_to_queue(
    queue: settings.QueueSettings,
    caller: settings.Caller,
    headers: Mapping[str, str],
    now_ms: int,
    wall_ms: int,
) -> Admitted:
    deadline_ms = _parse_ms(headers, DEADLINE_HEADER, queue.deadline_ms)
    if deadline_ms is None or not 0 < deadline_ms <= _MAX_DEADLINE_MS:
        detail = f"expected milliseconds from 1 to {_MAX_DEADLINE_MS}"
        return _invalid(http.HTTPStatus.BAD_REQUEST, DEADLINE_HEADER, detail)
    key = headers.get(KEY_HEADER, "")
    if len(key) > _MAX_KEY_LENGTH:
        detail = f"expected at most {_MAX_KEY_LENGTH} characters"
        return _invalid(http.HTTPStatus.BAD_REQUEST, KEY_HEADER, detail)
    issued_ms = _parse_ms(headers, KEY_ISSUED_HEADER, 0)
    if issued_ms is None or issued_ms < 0:
        detail = "expected milliseconds since the Unix epoch"
        return _invalid(http.HTTPStatus.BAD_REQUEST, KEY_ISSUED_HEADER, detail)
    age_ms = wall_ms - issued_ms if issued_ms else 0
    first_used_ms = now_ms - max(0, age_ms)
    if key and not issued_ms:
        first_used_ms = now_ms - queue.resend_window_ms // 2
    return Ok(
        frontend.AdmittedRequest(
            queue=queue,
            caller=caller,
            deadline_ms=now_ms + deadline_ms,
            key=_key_hash(caller.member, key),
            key_first_used_ms=first_used_ms,
        )
    )


def _parse_ms(
    headers: Mapping[str, str], name: str, default: int
) -> int | None:
    text = headers.get(name)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit():
        return None
    return int(text[:20])


def _key_hash(member: ids.MemberId, key: str) -> int:
    if not key:
        return 0
    text = f"{member}\n{key}".encode()
    digest = hashlib.blake2b(text, digest_size=_KEY_HASH_BYTES).digest()
    return int.from_bytes(digest, "big") or 1


def _invalid(status: http.HTTPStatus, field: str, detail: str) -> Admitted:
    return Error(outcomes.Invalid(status, field, detail))
