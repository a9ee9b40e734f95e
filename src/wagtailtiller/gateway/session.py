"""A gateway's session: the sign of life that the roster is made from."""

import asyncio
import random

import msgspec

from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller import roster
from wagtailtiller.ports import store


class SessionKeeper:
    """Keeps this gateway's session in the store under a lease.

    Args:
        store_client: The store.
        session: What to say.
        ttl_ms: How long the session outlives its last renewal.
        rng: Spreads retries.
    """

    def __init__(
        self,
        store_client: store.Store,
        session: roster.Session,
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
        self._news = asyncio.Event()

    def acknowledge(self, epoch: ids.Epoch) -> None:
        """Say in the store that this gateway knows a roster epoch."""
        self._epoch = epoch
        self._news.set()

    async def run(self) -> None:
        """Renew for ever; begin again when the lease has lapsed."""
        while True:
            if await self._renew():
                self._backoff.reset()
                await self._wait()
            else:
                await self._backoff.wait()

    async def _wait(self) -> None:
        self._news.clear()
        if self._written_epoch != self._epoch:
            return
        try:
            async with asyncio.timeout(self._ttl_ms / 3_000):
                await self._news.wait()
        except TimeoutError:
            return

    async def announce_leaving(self) -> None:
        """Say that this gateway is stopping."""
        self._session = msgspec.structs.replace(self._session, leaving=True)
        await self._write()

    async def close(self) -> None:
        """Remove the session."""
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
        presence = roster.SessionRecord(self._session, epoch)
        value = msgspec.json.encode(presence)
        written = await self._store.write(
            key, value, self._revision, self._lease
        )
        if written.is_error():
            self._revision = await self._current_revision(key)
            written = await self._store.write(
                key, value, self._revision, self._lease
            )
        if written.is_error():
            self._lease = ""
            return False
        self._revision = written.ok
        self._written_epoch = epoch
        return True

    async def _current_revision(self, key: str) -> ids.Revision:
        found = await self._store.read(key)
        if found.is_error():
            return store.ABSENT
        exact = [item for item in found.ok.items if item.key == key]
        return exact[0].revision if exact else store.ABSENT
