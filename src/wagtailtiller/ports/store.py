"""Interface to the platform's key-value service."""

from typing import Protocol

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from wagtailtiller import errors
from wagtailtiller import ids

ABSENT = ids.Revision(0)

# Error reason of a watch whose revision is no longer available. The caller
# must read the prefix again.
HISTORY_LOST = "history lost"


class Item(msgspec.Struct, frozen=True):
    """A key and its value in the store.

    Attributes:
        key: Full key.
        value: Value of the key; None if the key was deleted.
        revision: Store revision of the last write to the key.
    """

    key: str
    value: bytes | None
    revision: ids.Revision


class Snapshot(msgspec.Struct, frozen=True):
    """Items under a prefix that a read or a watch has returned.

    Attributes:
        items: All items, or those that have changed. An item may be newer
            than ``revision``.
        revision: Store revision after which the next watch continues.
    """

    items: list[Item]
    revision: ids.Revision


class Write(msgspec.Struct, frozen=True):
    """Write of one key.

    Attributes:
        key: Full key.
        value: New value.
        lease: Id of the lease that the key is attached to; empty for none.
    """

    key: str
    value: bytes
    lease: str = ""


class Transaction(msgspec.Struct, frozen=True):
    """Changes that are applied atomically.

    Attributes:
        expected: Preconditions: expected revisions by key; ``ABSENT`` for a
            key that must not exist.
        writes: Keys to write.
        deletes: Keys to delete.
    """

    expected: dict[str, ids.Revision]
    writes: tuple[Write, ...] = ()
    deletes: tuple[str, ...] = ()


class PreconditionFailed(msgspec.Struct, frozen=True):
    """A precondition of a transaction does not hold.

    Attributes:
        items: Current items of the keys with an expected revision.
    """

    items: tuple[Item, ...]


class LeaseLapsed(msgspec.Struct, frozen=True):
    """The lease that a transaction refers to has expired."""


CommitError = PreconditionFailed | LeaseLapsed | errors.StoreUnavailable
CommitResult = Result[ids.Revision, CommitError]

# The platform accepts at most this many entries in one transaction.
MAX_TRANSACTION_ENTRIES = 32


class KeyReader(Protocol):
    """A client that reads single keys."""

    async def read_key(
        self, key: str
    ) -> Result[Item | None, errors.StoreUnavailable]:
        """Read a key; the result is None if the key does not exist."""


class Committer(KeyReader, Protocol):
    """A client that reads single keys and applies transactions."""

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply a transaction if its preconditions hold."""


class Store(Protocol):
    """Interface of a compare-and-swap store with leases and watches.

    Every method returns ``StoreUnavailable`` if the store does not respond.
    The outcome of a write is then unknown.
    """

    async def read(
        self, prefix: str
    ) -> Result[Snapshot, errors.StoreUnavailable]:
        """Read all keys under a prefix."""

    async def read_key(
        self, key: str
    ) -> Result[Item | None, errors.StoreUnavailable]:
        """Read a key; the result is None if the key does not exist."""

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply a transaction if its preconditions hold."""

    async def end_lease(
        self, lease: str
    ) -> Result[None, errors.StoreUnavailable]:
        """End a lease; the store deletes its keys."""

    async def write(
        self,
        key: str,
        value: bytes,
        expected: ids.Revision,
        lease: str = "",
    ) -> Result[ids.Revision, errors.StoreError]:
        """Write a key if it has the expected revision.

        Args:
            key: Full key.
            value: New value, at most 1 MB.
            expected: Expected revision; ``ABSENT`` to create the key.
            lease: Id of the lease that the key is attached to; empty for none.

        Returns:
            The revision of the write, or the error.
        """

    async def delete(
        self, key: str, expected: ids.Revision
    ) -> Result[ids.Revision, errors.StoreError]:
        """Delete a key if it has the expected revision."""

    async def grant_lease(
        self, ttl_ms: int
    ) -> Result[str, errors.StoreUnavailable]:
        """Create a lease and return its id."""

    async def renew_lease(
        self, lease: str
    ) -> Result[bool, errors.StoreUnavailable]:
        """Renew a lease; the result is False if it has expired."""

    async def watch(
        self, prefix: str, after: ids.Revision, wait_ms: int
    ) -> Result[Snapshot, errors.StoreUnavailable]:
        """Wait for changes under a prefix.

        Args:
            prefix: Prefix of the keys to watch.
            after: Only changes with a higher revision are returned.
            wait_ms: Longest time that the store waits for a change before it
                responds without one.
        """


ReadResult = Result[Snapshot, errors.StoreUnavailable]
WriteResult = Result[ids.Revision, errors.StoreError]


def to_write_result(
    key: str, result: CommitResult
) -> Result[ids.Revision, errors.StoreError]:
    """Convert the result of a transaction on one key to a write result.

    Args:
        key: Key that was written or deleted.
        result: Result of the transaction.
    """
    if result.is_ok():
        return Ok(result.ok)
    match result.error:
        case PreconditionFailed(items=items):
            for item in items:
                if item.key == key:
                    return Error(
                        errors.Conflict(key, item.value, item.revision)
                    )
            return Error(errors.Conflict(key, None, ABSENT))
        case LeaseLapsed():
            return Error(errors.StoreUnavailable("lease lapsed", False))
        case unavailable:
            return Error(unavailable)
