"""Client of the platform's key-value service over HTTP.

Values travel base64-coded inside JSON. Each method sends one request; a lost
answer is reported and never repeated here, since only the caller knows how to
find out whether its write took effect.
"""

from typing import TypeVar

import aiohttp
from expression import Error
from expression import Ok
from expression import Result
import msgspec

from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.ports import store

CALL_TIMEOUT_MS = 1_000
_WATCH_MARGIN_MS = 1_000
_HTTP_OK = 200
_HTTP_CONFLICT = 412

_T = TypeVar("_T")


class _Written(msgspec.Struct):
    revision: ids.Revision


class _Renewed(msgspec.Struct):
    alive: bool


class _Granted(msgspec.Struct):
    lease: str


class _Answer(msgspec.Struct):
    status: int
    body: bytes


class HttpStore:
    """The ``Store`` port over aiohttp.

    Args:
        base_url: Such as ``http://127.0.0.1:7000``.
        client: Who calls, sent as the user agent so that the store can count
            calls by role.
        timeout_ms: How long one call may take.
    """

    def __init__(
        self, base_url: str, client: str, timeout_ms: int = CALL_TIMEOUT_MS
    ) -> None:
        self._client = client
        self._base_url = base_url.rstrip("/")
        self._timeout_ms = timeout_ms
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def read(
        self, prefix: str
    ) -> Result[store.Snapshot, errors.StoreUnavailable]:
        """Read all keys under a prefix."""
        answer = await self._call("GET", "/v1/range", {"prefix": prefix})
        return _decode(answer, store.Snapshot)

    async def write(
        self,
        key: str,
        value: bytes,
        expected: ids.Revision,
        lease: str = "",
    ) -> Result[ids.Revision, errors.StoreError]:
        """Write a key if its revision is the expected one."""
        query = {"key": key, "if": str(expected), "lease": lease}
        answer = await self._call("PUT", "/v1/kv", query, value)
        return _decode_write(answer)

    async def delete(
        self, key: str, expected: ids.Revision
    ) -> Result[ids.Revision, errors.StoreError]:
        """Delete a key if its revision is the expected one."""
        query = {"key": key, "if": str(expected)}
        answer = await self._call("DELETE", "/v1/kv", query)
        return _decode_write(answer)

    async def grant_lease(
        self, ttl_ms: int
    ) -> Result[str, errors.StoreUnavailable]:
        """Create a lease and return its id."""
        query = {"ttl_ms": str(ttl_ms)}
        answer = await self._call("POST", "/v1/lease", query)
        return _decode(answer, _Granted).map(lambda granted: granted.lease)

    async def renew_lease(
        self, lease: str
    ) -> Result[bool, errors.StoreUnavailable]:
        """Renew a lease; False says that it has lapsed."""
        answer = await self._call("POST", "/v1/renew", {"lease": lease})
        return _decode(answer, _Renewed).map(lambda renewed: renewed.alive)

    async def watch(
        self, prefix: str, after: ids.Revision, wait_ms: int
    ) -> Result[store.Snapshot, errors.StoreUnavailable]:
        """Wait for changes under a prefix."""
        query = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(wait_ms),
        }
        timeout_ms = wait_ms + _WATCH_MARGIN_MS
        answer = await self._call(
            "GET", "/v1/watch", query, timeout_ms=timeout_ms
        )
        return _decode(answer, store.Snapshot)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes | None = None,
        timeout_ms: int | None = None,
    ) -> Result[_Answer, errors.StoreUnavailable]:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                cookie_jar=aiohttp.DummyCookieJar(),
                headers={"User-Agent": self._client},
            )
        total_s = (timeout_ms or self._timeout_ms) / 1_000
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                params=query,
                data=body,
                timeout=aiohttp.ClientTimeout(total=total_s),
            ) as response:
                return Ok(_Answer(response.status, await response.read()))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            reason = f"{path}: {type(error).__name__}"
            return Error(errors.StoreUnavailable(reason))


def _decode(
    answer: Result[_Answer, errors.StoreUnavailable], kind: type[_T]
) -> Result[_T, errors.StoreUnavailable]:
    return answer.bind(lambda got: _decode_body(got, kind))


def _decode_body(
    answer: _Answer, kind: type[_T]
) -> Result[_T, errors.StoreUnavailable]:
    if answer.status != _HTTP_OK:
        return Error(errors.StoreUnavailable(f"status {answer.status}"))
    try:
        return Ok(msgspec.json.decode(answer.body, type=kind))
    except msgspec.MsgspecError as error:
        return Error(errors.StoreUnavailable(f"bad answer: {error}"))


def _decode_write(
    answer: Result[_Answer, errors.StoreUnavailable],
) -> Result[ids.Revision, errors.StoreError]:
    if answer.is_error():
        return Error(answer.error)
    if answer.ok.status == _HTTP_CONFLICT:
        item = _decode_body(answer.ok, store.Item)
        if item.is_error():
            return Error(item.error)
        found = item.ok
        return Error(errors.Conflict(found.key, found.value, found.revision))
    written = _decode_body(answer.ok, _Written)
    if written.is_error():
        return Error(written.error)
    return Ok(written.ok.revision)
