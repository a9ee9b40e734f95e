"""Client of the platform's key-value store.

Each method sends its request once. A lost response is reported and the request
is not repeated here, because only the caller can find out whether its write
took effect.
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
_MIN_TIMEOUT_MS = 400
_NOT_FOUND = 404
_GONE = 410
_PRECONDITION_FAILED = 412
# Statuses which say that the transaction was not applied.
_NOT_APPLIED_STATUSES = frozenset({400, 403, 404, 429, 503})


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


class _Precondition(msgspec.Struct):
    key: str
    revision: int


class _Write(msgspec.Struct, omit_defaults=True):
    key: str
    value: str
    lease: int = 0


class _Transaction(msgspec.Struct):
    # ``precondition`` lists the expected revisions, ``remove`` the keys to
    # delete.
    precondition: list[_Precondition]
    writes: list[_Write]
    remove: list[str]


class PlatformStore:
    """The ``Store`` protocol over the platform's HTTP interface.

    Args:
        address: Address of the store, as ``ip:port`` or a URL.
        user_agent: Value of the User-Agent header, which names the calling
            process; empty for the default of the library.
        timeout_ms: Default limit for the duration of a call.
    """

    def __init__(
        self,
        address: str,
        user_agent: str = "",
        timeout_ms: int = _CALL_TIMEOUT_MS,
    ) -> None:
        self._write_timeout = http.AdaptiveTimeout(
            _MIN_TIMEOUT_MS, _CALL_TIMEOUT_MS
        )
        self._http = http.HttpClient(address, 0, timeout_ms, user_agent)

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()

    async def read(
        self, prefix: str
    ) -> Result[store.Snapshot, errors.StoreUnavailable]:
        """Read all keys under a prefix, page by page.

        Args:
            prefix: The prefix of the keys.

        Returns:
            The items and the revision of the first page, so that a watch
            that starts at this revision misses no change. Later pages may be
            newer.
        """
        items: list[store.Item] = []
        first_revision: int | None = None
        after = ""
        while True:
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            response = await self._http.call("GET", "/v1/kv-range", query=query)
            page = http.decode(response, _Range)
            if page.is_error():
                return Error(errors.StoreUnavailable(page.error.reason))
            first_revision = (
                page.ok.as_of if first_revision is None else first_revision
            )
            items.extend(_to_item(item) for item in page.ok.items)
            if not page.ok.has_more or not page.ok.items:
                return Ok(store.Snapshot(items, ids.Revision(first_revision)))
            after = page.ok.items[-1].key

    async def read_key(
        self, key: str
    ) -> Result[store.Item | None, errors.StoreUnavailable]:
        """Read one key.

        Args:
            key: The full key.

        Returns:
            The item, or None if the key does not exist.
        """
        response = await self._http.call(
            "GET", "/v1/kv-key", query={"key": key}
        )
        if response.is_ok() and response.ok.status == _NOT_FOUND:
            return Ok(None)
        decoded = http.decode(response, _Item)
        if decoded.is_error():
            return Error(errors.StoreUnavailable(decoded.error.reason))
        return Ok(_to_item(decoded.ok))

    async def commit(
        self, transaction: store.Transaction
    ) -> store.CommitResult:
        """Apply a transaction if its preconditions hold.

        Args:
            transaction: The changes and the expected revisions.

        Returns:
            The revision of the commit, or an error. The outcome is unknown
            after ``StoreUnavailable`` with ``may_apply``.
        """
        body = msgspec.json.encode(_encode_transaction(transaction))
        response = await self._write("/v1/kv-txn", body)
        if response.is_error():
            return Error(errors.StoreUnavailable(response.error.reason))
        return _decode_commit(response.ok, bool(transaction.writes))

    async def _write(
        self, path: str, body: bytes
    ) -> Result[http.Response, http.NoResponse]:
        started_s = time.monotonic()
        response = await self._http.call(
            "POST", path, body, timeout_ms=self._write_timeout.timeout_ms
        )
        took_ms = int((time.monotonic() - started_s) * 1_000)
        self._write_timeout.record(response.is_ok(), took_ms)
        return response

    async def write(
        self,
        key: str,
        value: bytes,
        expected: ids.Revision,
        lease: str = "",
    ) -> Result[ids.Revision, errors.StoreError]:
        """Write a key if its revision is the expected one.

        Args:
            key: The full key.
            value: The new value.
            expected: The revision last seen; ``ABSENT`` to create the key.
            lease: Id of the lease that the key is attached to; empty for none.
        """
        transaction = store.Transaction(
            {key: expected}, (store.Write(key, value, lease),)
        )
        return store.to_write_result(key, await self.commit(transaction))

    async def delete(
        self, key: str, expected: ids.Revision
    ) -> Result[ids.Revision, errors.StoreError]:
        """Delete a key if its revision is the expected one.

        Args:
            key: The full key.
            expected: The revision last seen.
        """
        transaction = store.Transaction({key: expected}, deletes=(key,))
        return store.to_write_result(key, await self.commit(transaction))

    async def grant_lease(
        self, ttl_ms: int
    ) -> Result[str, errors.StoreUnavailable]:
        """Create a lease and return its id.

        Args:
            ttl_ms: How long the lease is valid without a renewal.
        """
        body = msgspec.json.encode({"ttl_ms": ttl_ms})
        response = await self._write("/v1/kv-lease", body)
        granted = http.decode(response, _Lease)
        if granted.is_error():
            return Error(errors.StoreUnavailable(granted.error.reason))
        return Ok(str(granted.ok.lease))

    async def renew_lease(
        self, lease: str
    ) -> Result[bool, errors.StoreUnavailable]:
        """Renew a lease.

        Args:
            lease: The id of the lease.

        Returns:
            True, or False if the lease has expired.
        """
        response = await self._write(f"/v1/kv-keep/{lease}", b"{}")
        if response.is_error():
            return Error(errors.StoreUnavailable(response.error.reason))
        match response.ok.status:
            case http.OK:
                return Ok(True)
            case 404:
                return Ok(False)
            case status:
                return Error(errors.StoreUnavailable(f"status {status}"))

    async def end_lease(
        self, lease: str
    ) -> Result[None, errors.StoreUnavailable]:
        """End a lease, which deletes its keys.

        Args:
            lease: The id of the lease.
        """
        response = await self._http.call("DELETE", f"/v1/kv-lease-end/{lease}")
        if response.is_error():
            return Error(errors.StoreUnavailable(response.error.reason))
        return Ok(None)

    async def watch(
        self, prefix: str, after: ids.Revision, wait_ms: int
    ) -> Result[store.Snapshot, errors.StoreUnavailable]:
        """Wait for changes under a prefix.

        Args:
            prefix: The prefix of the keys.
            after: Only changes with a higher revision are returned.
            wait_ms: How long the store may wait for a change.

        Returns:
            The changed items and the revision for the next watch; the error
            has the reason ``HISTORY_LOST`` if ``after`` is too old.
        """
        query = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(wait_ms),
        }
        response = await self._http.call(
            "GET",
            "/v1/kv-watch",
            query=query,
            timeout_ms=wait_ms + _WATCH_MARGIN_MS,
        )
        if response.is_ok() and response.ok.status == _GONE:
            return Error(errors.StoreUnavailable(store.HISTORY_LOST, False))
        events = http.decode(response, _Events)
        if events.is_error():
            return Error(errors.StoreUnavailable(events.error.reason))
        items = [_to_item(event) for event in events.ok.events]
        return Ok(store.Snapshot(items, ids.Revision(events.ok.as_of)))


def _to_item(item: _Item) -> store.Item:
    if item.deleted:
        return store.Item(item.key, None, ids.Revision(item.revision))
    try:
        value = base64.b64decode(item.value, validate=True)
    except binascii.Error:
        # Another program has written an invalid value. The code that decodes
        # the item reports the error.
        value = b""
    return store.Item(item.key, value, ids.Revision(item.revision))


def _encode_transaction(transaction: store.Transaction) -> _Transaction:
    return _Transaction(
        [
            _Precondition(key, revision)
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


def _decode_commit(response: http.Response, writes: bool) -> store.CommitResult:
    if response.status == http.OK:
        committed = http.decode_body(response, _Committed)
        if committed.is_error():
            return Error(errors.StoreUnavailable(committed.error.reason))
        return Ok(ids.Revision(committed.ok.revision))
    if response.status == _PRECONDITION_FAILED:
        mismatch = http.decode_body(response, _Mismatch)
        if mismatch.is_error():
            return Error(errors.StoreUnavailable(mismatch.error.reason, False))
        items = tuple(_to_mismatch_item(item) for item in mismatch.ok.items)
        return Error(store.PreconditionFailed(items))
    if response.status == _NOT_FOUND and writes:
        return Error(store.LeaseLapsed())
    may_apply = response.status not in _NOT_APPLIED_STATUSES
    return Error(
        errors.StoreUnavailable(f"status {response.status}", may_apply)
    )


def _to_mismatch_item(item: _Item) -> store.Item:
    if item.revision == store.ABSENT:
        return store.Item(item.key, None, store.ABSENT)
    return _to_item(item)
