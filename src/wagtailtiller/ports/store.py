"""What the package needs of the platform's key-value service."""

from typing import Protocol

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from wagtailtiller import errors
from wagtailtiller import ids

ABSENT = ids.Revision(0)

# The reason of a watch that cannot go on: read the prefix again.
HISTORY_LOST = "history lost"


class Item(msgspec.Struct, frozen=True):
    """One key as the store holds it.

    Attributes:
        key: The full key.
        value: Its bytes; None says that the key was deleted.
        revision: The store revision of the last write to this key.
    """

    key: str
    value: bytes | None
    revision: ids.Revision


class Snapshot(msgspec.Struct, frozen=True):
    """Keys under a prefix, and the store revision they were read at."""

    items: list[Item]
    revision: ids.Revision


class Write(msgspec.Struct, frozen=True):
    """One key to write; the key lives by the lease if one is named."""

    key: str
    value: bytes
    lease: str = ""


class Transaction(msgspec.Struct, frozen=True):
    """Changes that are made together or not at all.

    Attributes:
        expected: Keys and the revisions that they must have; ``ABSENT`` for
            a key that must not exist.
        writes: Keys to write.
        deletes: Keys to delete.
    """

    expected: dict[str, ids.Revision]
    writes: tuple[Write, ...] = ()
    deletes: tuple[str, ...] = ()


class PreconditionFailed(msgspec.Struct, frozen=True):
    """A transaction was refused; the expected keys as they stand now."""

    items: tuple[Item, ...]


class LeaseLapsed(msgspec.Struct, frozen=True):
    """A transaction named a lease that has ended."""


CommitError = PreconditionFailed | LeaseLapsed | errors.StoreUnavailable
CommitAnswer = Result[ids.Revision, CommitError]

# The platform takes this many entries in one transaction.
MOST_ENTRIES = 32


class Store(Protocol):
    """A compare-and-swap store with leases and watches.

    Every method returns ``StoreUnavailable`` when no answer came, in which
    case a write may or may not have taken effect.
    """

    async def read(
        self, prefix: str
    ) -> Result[Snapshot, errors.StoreUnavailable]:
        """Read all keys under a prefix."""

    async def read_key(
        self, key: str
    ) -> Result[Item | None, errors.StoreUnavailable]:
        """Read one key; None if it does not exist."""

    async def commit(self, transaction: Transaction) -> CommitAnswer:
        """Apply a transaction if its expectations hold."""

    async def end_lease(
        self, lease: str
    ) -> Result[None, errors.StoreUnavailable]:
        """End a lease; its keys are deleted."""

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
            value: The new value, at most 1 MB.
            expected: The revision last seen; ``ABSENT`` to create the key.
            lease: The lease that the key lives by; empty for none.
        """

    async def delete(
        self, key: str, expected: ids.Revision
    ) -> Result[ids.Revision, errors.StoreError]:
        """Delete a key if its revision is the expected one."""

    async def grant_lease(
        self, ttl_ms: int
    ) -> Result[str, errors.StoreUnavailable]:
        """Create a lease and return its id."""

    async def renew_lease(
        self, lease: str
    ) -> Result[bool, errors.StoreUnavailable]:
        """Renew a lease; False says that it has lapsed."""

    async def watch(
        self, prefix: str, after: ids.Revision, wait_ms: int
    ) -> Result[Snapshot, errors.StoreUnavailable]:
        """Wait for changes under a prefix.

        Args:
            prefix: The keys of interest.
            after: Only changes with a higher revision are returned.
            wait_ms: How long the store may wait before it answers with none.
        """


ReadAnswer = Result[Snapshot, errors.StoreUnavailable]
WriteAnswer = Result[ids.Revision, errors.StoreError]


def single(
    key: str, answer: CommitAnswer
) -> Result[ids.Revision, errors.StoreError]:
    """Turn the answer of a transaction on one key into that key's answer.

    Args:
        key: The key that was written or deleted.
        answer: What the transaction returned.
    """
    if answer.is_ok():
        return Ok(answer.ok)
    match answer.error:
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
