"""Limits how many calls of one kind a process has open at the store."""

import asyncio

from expression import Result

from wagtailtiller import errors
from wagtailtiller.ports import store


class LimitedCalls:
    """Store calls that callers' requests cause, a limited number at a time.

    Each call takes a connection, and with it a descriptor. The others wait, so
    that the process keeps descriptors for its leases.

    Args:
        client: Client of the store.
        max_calls: Number of calls that may be open.
    """

    def __init__(self, client: store.Store, max_calls: int) -> None:
        self._client = client
        self._calls = asyncio.Semaphore(max_calls)

    async def read_key(
        self, key: str
    ) -> Result[store.Item | None, errors.StoreUnavailable]:
        """Read a key; the result is None if the key does not exist.

        Args:
            key: The full key.
        """
        async with self._calls:
            return await self._client.read_key(key)

    async def commit(
        self, transaction: store.Transaction
    ) -> store.CommitResult:
        """Apply a transaction if its preconditions hold.

        Args:
            transaction: The changes and the expected revisions.
        """
        async with self._calls:
            return await self._client.commit(transaction)
