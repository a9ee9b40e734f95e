"""Client of the platform's key-value store.

Each method sends one request; a lost answer is reported and never repeated
here, since only the caller knows how to find out whether its write took
effect.
"""

import base64
import binascii
import time

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.platform import http
from wagtailtiller.ports import store

_CALL_TIMEOUT_MS = 1_500
_WATCH_MARGIN_MS = 1_500
_SHORTEST_TIMEOUT_MS = 400
# An answer may take this many times as long as the one before.
_PATIENCE_FACTOR = 4
_NOT_FOUND = 404
_GONE = 410
_PRECONDITION_FAILED = 412
# Answers that say that nothing was done.
_NOTHING_DONE = frozenset({400, 403, 404, 429, 503})


class Patience:
    """How long to wait for an answer, by how the last ones came.

    A lost answer is noticed soon while the store is quick, and a slow store
    is given time.
    """

    def __init__(self) -> None:
        self.timeout_ms = _SHORTEST_TIMEOUT_MS

    def note(self, answered: bool, took_ms: int) -> None:
        """Learn from a call.

        Args:
            answered: Whether an answer came.
            took_ms: How long the call took.
        """
        wanted_ms = 2 * self.timeout_ms
        if answered:
            wanted_ms = _PATIENCE_FACTOR * took_ms
        self.timeout_ms = min(
            max(wanted_ms, _SHORTEST_TIMEOUT_MS), _CALL_TIMEOUT_MS
        )


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str = ""
    deleted: bool = False
    as_of: int = 0


class _Range(msgspec.Struct):
    items: list[_Item]
    as_of: int
    has_more: bool = False


class _Events(msgspec.Struct):
    events: list[_Item]
    as_of: int


class _Mismatch(msgspec.Struct):
    items: list[_Item] = []


class _Committed(msgspec.Struct):
    revision: int


class _Lease(msgspec.Struct):
    lease: int


class _Expectation(msgspec.Struct):
    key: str
    revision: int


class _Write(msgspec.Struct, omit_defaults=True):
    key: str
    value: str
    lease: int = 0


class _Transaction(msgspec.Struct):
    # The store calls the expected revisions ``precondition`` and the keys to
    # delete ``remove``.
    precondition: list[_Expectation]
    writes: list[_Write]
    remove: list[str]


class PlatformStore:
    """The ``Store`` port over the platform's HTTP interface.

    Args:
        address: The store, as ``ip:port``.
        client: Who calls, sent as the user agent; empty for none.
        timeout_ms: How long one call may take.
    """

    def __init__(
        self,
        address: str,
        client: str = "",
        timeout_ms: int = _CALL_TIMEOUT_MS,
    ) -> None:
        self._patience = Patience()
        self._http = http.Caller(address, 0, timeout_ms, client)

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()

    async def read(
        self, prefix: str
    ) -> Result[store.Snapshot, errors.StoreUnavailable]:
        """Read all keys under a prefix, page by page.

        The revision is the first page's, so that a watch from there misses
        nothing; later pages may be newer.
        """
        items: list[store.Item] = []
        first: int | None = None
        after = ""
        while True:
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            answer = await self._http.call("GET", "/v1/kv-range", query=query)
            page = http.decode(answer, _Range)
            if page.is_error():
                return Error(errors.StoreUnavailable(page.error.reason))
            first = page.ok.as_of if first is None else first
            items.extend(_item(item) for item in page.ok.items)
            if not page.ok.has_more or not page.ok.items:
                return Ok(store.Snapshot(items, ids.Revision(first)))
            after = page.ok.items[-1].key

    async def read_key(
        self, key: str
    ) -> Result[store.Item | None, errors.StoreUnavailable]:
        """Read one key; None if it does not exist."""
        answer = await self._http.call("GET", "/v1/kv-key", query={"key": key})
        if answer.is_ok() and answer.ok.status == _NOT_FOUND:
            return Ok(None)
        found = http.decode(answer, _Item)
        if found.is_error():
            return Error(errors.StoreUnavailable(found.error.reason))
        return Ok(_item(found.ok))

    async def commit(
        self, transaction: store.Transaction
    ) -> store.CommitAnswer:
        """Apply a transaction if its expectations hold."""
        body = msgspec.json.encode(_encode(transaction))
        answer = await self._write("/v1/kv-txn", body)
        if answer.is_error():
            return Error(errors.StoreUnavailable(answer.error.reason))
        return _decode_commit(answer.ok, bool(transaction.writes))

    async def _write(
        self, path: str, body: bytes
    ) -> Result[http.Answer, http.NoAnswer]:
        began_s = time.monotonic()
        answer = await self._http.call(
            "POST", path, body, timeout_ms=self._patience.timeout_ms
        )
        took_ms = int((time.monotonic() - began_s) * 1_000)
        self._patience.note(answer.is_ok(), took_ms)
        return answer

    async def write(
        self,
        key: str,
        value: bytes,
        expected: ids.Revision,
        lease: str = "",
    ) -> Result[ids.Revision, errors.StoreError]:
        """Write a key if its revision is the expected one."""
        transaction = store.Transaction(
            {key: expected}, (store.Write(key, value, lease),)
        )
        return store.single(key, await self.commit(transaction))

    async def delete(
        self, key: str, expected: ids.Revision
    ) -> Result[ids.Revision, errors.StoreError]:
        """Delete a key if its revision is the expected one."""
        transaction = store.Transaction({key: expected}, deletes=(key,))
        return store.single(key, await self.commit(transaction))

    async def grant_lease(
        self, ttl_ms: int
    ) -> Result[str, errors.StoreUnavailable]:
        """Create a lease and return its id."""
        body = msgspec.json.encode({"ttl_ms": ttl_ms})
        answer = await self._write("/v1/kv-lease", body)
        granted = http.decode(answer, _Lease)
        if granted.is_error():
            return Error(errors.StoreUnavailable(granted.error.reason))
        return Ok(str(granted.ok.lease))

    async def renew_lease(
        self, lease: str
    ) -> Result[bool, errors.StoreUnavailable]:
        """Renew a lease; False says that it has lapsed."""
        answer = await self._write(f"/v1/kv-keep/{lease}", b"{}")
        if answer.is_error():
            return Error(errors.StoreUnavailable(answer.error.reason))
        match answer.ok.status:
            case http.OK:
                return Ok(True)
            case 404:
                return Ok(False)
            case status:
                return Error(errors.StoreUnavailable(f"status {status}"))

    async def end_lease(
        self, lease: str
    ) -> Result[None, errors.StoreUnavailable]:
        """End a lease; its keys are deleted."""
        answer = await self._http.call("DELETE", f"/v1/kv-lease-end/{lease}")
        if answer.is_error():
            return Error(errors.StoreUnavailable(answer.error.reason))
        return Ok(None)

    async def watch(
        self, prefix: str, after: ids.Revision, wait_ms: int
    ) -> Result[store.Snapshot, errors.StoreUnavailable]:
        """Wait for changes under a prefix."""
        query = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(wait_ms),
        }
        answer = await self._http.call(
            "GET",
            "/v1/kv-watch",
            query=query,
            timeout_ms=wait_ms + _WATCH_MARGIN_MS,
        )
        if answer.is_ok() and answer.ok.status == _GONE:
            return Error(errors.StoreUnavailable(store.HISTORY_LOST, False))
        events = http.decode(answer, _Events)
        if events.is_error():
            return Error(errors.StoreUnavailable(events.error.reason))
        items = [_item(event) for event in events.ok.events]
        return Ok(store.Snapshot(items, ids.Revision(events.ok.as_of)))


def _item(item: _Item) -> store.Item:
    if item.deleted:
        return store.Item(item.key, None, ids.Revision(item.revision))
    try:
        value = base64.b64decode(item.value, validate=True)
    except binascii.Error:
        # Another writer's bytes; whoever decodes the value reports it.
        value = b""
    return store.Item(item.key, value, ids.Revision(item.revision))


def _encode(transaction: store.Transaction) -> _Transaction:
    return _Transaction(
        [
            _Expectation(key, revision)
            for key, revision in transaction.expected.items()
        ],
        [
            _Write(
                write.key,
                base64.b64encode(write.value).decode("ascii"),
                int(write.lease or 0),
            )
            for write in transaction.writes
        ],
        list(transaction.deletes),
    )


def _decode_commit(answer: http.Answer, writes: bool) -> store.CommitAnswer:
    if answer.status == http.OK:
        committed = http.decode_body(answer, _Committed)
        if committed.is_error():
            return Error(errors.StoreUnavailable(committed.error.reason))
        return Ok(ids.Revision(committed.ok.revision))
    if answer.status == _PRECONDITION_FAILED:
        mismatch = http.decode_body(answer, _Mismatch)
        if mismatch.is_error():
            return Error(errors.StoreUnavailable(mismatch.error.reason, False))
        items = tuple(_found(item) for item in mismatch.ok.items)
        return Error(store.PreconditionFailed(items))
    if answer.status == _NOT_FOUND and writes:
        return Error(store.LeaseLapsed())
    may_apply = answer.status not in _NOTHING_DONE
    return Error(errors.StoreUnavailable(f"status {answer.status}", may_apply))


def _found(item: _Item) -> store.Item:
    if item.revision == store.ABSENT:
        return store.Item(item.key, None, store.ABSENT)
    return _item(item)
