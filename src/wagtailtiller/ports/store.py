"""What the package needs of the platform's key-value service."""

from typing import Protocol

from expression import Result
import msgspec

from wagtailtiller import errors
from wagtailtiller import ids

ABSENT = ids.Revision(0)


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


class Store(Protocol):
    """A compare-and-swap store with leases and watches.

    Every method returns ``StoreUnavailable`` when no answer came, in which
    case a write may or may not have taken effect.
    """

    async def read(
        self, prefix: str
    ) -> Result[Snapshot, errors.StoreUnavailable]:
        """Read all keys under a prefix."""

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
