"""A gateway's session in the store, from which the roster is derived."""

import asyncio
import random

import msgspec

from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller import roster
from wagtailtiller.ports import store


class SessionRenewer:
    """Keeps this gateway's session in the store under a lease.

    Args:
        store_client: Client of the store that holds the session.
        session: Session to write.
        ttl_ms: Time from the last renewal until the lease expires.
        rng: Random source that spreads retries.
    """

    def __init__(
        self,
        store_client: store.Store,
        session: roster.GatewaySession,
        ttl_ms: int,
        rng: random.Random,
    ) -> None:
        self._store = store_client
        self._session = session
        self._ttl_ms = ttl_ms
        self._backoff = follower.Backoff(rng)
        self._lease = ""
        self._revision = store.ABSENT
        self._epoch = ids.Epoch(0)
        self._written_epoch = ids.Epoch(0)
        self._epoch_changed = asyncio.Event()

    def acknowledge(self, epoch: ids.Epoch) -> None:
        """Record in the session that this gateway knows a roster epoch.

        Args:
            epoch: Newest roster epoch that this gateway knows.
        """
        self._epoch = epoch
        self._epoch_changed.set()

    async def run(self) -> None:
        """Renew the session until cancelled; recreate it after an expiry."""
        while True:
            if await self._renew():
                self._backoff.reset()
                await self._wait_until_due()
            else:
                await self._backoff.wait()

    async def _wait_until_due(self) -> None:
        self._epoch_changed.clear()
        if self._written_epoch != self._epoch:
            return
        try:
            async with asyncio.timeout(self._ttl_ms / 3_000):
                await self._epoch_changed.wait()
        except TimeoutError:
            return

    async def announce_leaving(self) -> None:
        """Record in the session that this gateway is stopping."""
        self._session = msgspec.structs.replace(self._session, leaving=True)
        await self._write()

    async def close(self) -> None:
        """Delete the session from the store."""
        key = roster.session_key(self._session.gateway)
        await self._store.delete(key, self._revision)

    async def _renew(self) -> bool:
        if self._lease:
            renewed = await self._store.renew_lease(self._lease)
            if renewed.is_error():
                return False
            if renewed.ok and self._written_epoch == self._epoch:
                return True
            if renewed.ok:
                return await self._write()
        granted = await self._store.grant_lease(self._ttl_ms)
        if granted.is_error():
            return False
        self._lease = granted.ok
        return await self._write()

    async def _write(self) -> bool:
        key = roster.session_key(self._session.gateway)
        epoch = self._epoch
        stored_session = roster.SessionRecord(self._session, epoch)
        value = msgspec.json.encode(stored_session)
        written = await self._store.write(
            key, value, self._revision, self._lease
        )
        if written.is_error():
            self._revision = await self._read_revision(key)
            written = await self._store.write(
                key, value, self._revision, self._lease
            )
        if written.is_error():
            self._lease = ""
            return False
        self._revision = written.ok
        self._written_epoch = epoch
        return True

    async def _read_revision(self, key: str) -> ids.Revision:
        read_result = await self._store.read(key)
        if read_result.is_error():
            return store.ABSENT
        matching = [item for item in read_result.ok.items if item.key == key]
        return matching[0].revision if matching else store.ABSENT
