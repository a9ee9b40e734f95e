"""Leader election among the controllers of a region, by a store lease.

Leadership only avoids duplicate work; safety does not depend on it. Each
write of the leader is a compare-and-swap, which fails for a previous leader
that was paused.
"""

import asyncio
import random

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller.ports import store

_KEY_PREFIX = "lead/"


class Leadership:
    """Takes part in the leader election of a region.

    Args:
        store_client: Client of the store that holds the leader's key.
        own_controller: Name of this controller.
        region: Region whose leader is elected.
        ttl_ms: Time from the last renewal until leadership expires.
        clock: Clock that supplies the current time.
        rng: Random source that spreads retries.
    """

    def __init__(
        self,
        store_client: store.Store,
        own_controller: ids.ControllerId,
        region: ids.RegionId,
        ttl_ms: int,
        clock: clock_module.Clock,
        rng: random.Random,
    ) -> None:
        self._store = store_client
        self._own_controller = own_controller
        self._key = _KEY_PREFIX + region
        self._ttl_ms = ttl_ms
        self._clock = clock
        self._backoff = follower.Backoff(rng)
        self._lease = ""
        self._revision = store.ABSENT
        self._leader_until_ms = 0

    def is_leader(self) -> bool:
        """Return whether this controller is the leader now."""
        return self._clock.monotonic_ms() < self._leader_until_ms

    async def run(self) -> None:
        """Try to become or remain the leader until cancelled."""
        while True:
            was_leader = self.is_leader()
            sent_ms = self._clock.monotonic_ms()
            if await self._renew_or_acquire():
                self._leader_until_ms = sent_ms + self._ttl_ms
                self._backoff.reset()
            if was_leader != self.is_leader():
                self._log_change(self.is_leader())
            await asyncio.sleep(self._ttl_ms / 3_000)

    async def resign(self) -> None:
        """Resign leadership, so that another controller can lead at once."""
        if self.is_leader():
            self._leader_until_ms = 0
            await self._store.delete(self._key, self._revision)

    async def _renew_or_acquire(self) -> bool:
        if self._lease:
            renewed = await self._store.renew_lease(self._lease)
            if renewed.is_error():
                return False
            if renewed.ok and self._revision != store.ABSENT:
                return True
            self._revision = store.ABSENT
        read_result = await self._store.read(self._key)
        if read_result.is_error() or read_result.ok.items:
            return await self._recognise_own_write(read_result)
        return await self._acquire()

    async def _recognise_own_write(
        self, read_result: "store.ReadResult"
    ) -> bool:
        """Detect a write that succeeded although its response was lost."""
        if read_result.is_error():
            return False
        item = read_result.ok.items[0]
        own_value = f"{self._own_controller} {self._lease}".encode()
        if self._lease and item.value == own_value:
            self._revision = item.revision
            return True
        return False

    async def _acquire(self) -> bool:
        granted = await self._store.grant_lease(self._ttl_ms)
        if granted.is_error():
            return False
        self._lease = granted.ok
        value = f"{self._own_controller} {self._lease}".encode()
        written = await self._store.write(
            self._key, value, store.ABSENT, self._lease
        )
        if written.is_error():
            return False
        self._revision = written.ok
        return True

    def _log_change(self, is_leader: bool) -> None:
        event = (
            events.Event.LEADERSHIP_GAINED
            if is_leader
            else events.Event.LEADERSHIP_LOST
        )
        events.emit(event, controller=self._own_controller)
