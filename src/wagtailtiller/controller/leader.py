"""Leadership among the controllers of a region, by a lease in the store.

Leadership saves work, it does not make anything safe: every write that the
leader makes is a compare-and-swap, which a paused former leader loses.
"""

import asyncio
import random

from wagtailtiller import clock
from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller.ports import store

_KEY_PREFIX = "lead/"


class Leadership:
    """Tries to lead, and says whether it does.

    Args:
        target: The store.
        own: This controller.
        region: What is led.
        ttl_ms: How long leadership outlives its last renewal.
        time: The clock.
        rng: Spreads retries.
    """

    def __init__(
        self,
        target: store.Store,
        own: ids.ControllerId,
        region: ids.RegionId,
        ttl_ms: int,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._store = target
        self._own = own
        self._key = _KEY_PREFIX + region
        self._ttl_ms = ttl_ms
        self._clock = time
        self._backoff = follower.Backoff(rng)
        self._lease = ""
        self._revision = store.ABSENT
        self._until_ms = 0

    def holds(self) -> bool:
        """Whether this controller leads now."""
        return self._clock.monotonic_ms() < self._until_ms

    async def run(self) -> None:
        """Try for ever."""
        while True:
            led = self.holds()
            asked_ms = self._clock.monotonic_ms()
            if await self._hold_or_take():
                self._until_ms = asked_ms + self._ttl_ms
                self._backoff.reset()
            if led != self.holds():
                self._note(self.holds())
            await asyncio.sleep(self._ttl_ms / 3_000)

    async def resign(self) -> None:
        """Let another controller lead at once."""
        if self.holds():
            self._until_ms = 0
            await self._store.delete(self._key, self._revision)

    async def _hold_or_take(self) -> bool:
        if self._lease:
            renewed = await self._store.renew_lease(self._lease)
            if renewed.is_error():
                return False
            if renewed.ok and self._revision != store.ABSENT:
                return True
            self._revision = store.ABSENT
        found = await self._store.read(self._key)
        if found.is_error() or found.ok.items:
            return await self._adopt(found)
        return await self._take()

    async def _adopt(self, found: "store.ReadResult") -> bool:
        """Recognise a write of our own whose answer was lost."""
        if found.is_error():
            return False
        item = found.ok.items[0]
        own = f"{self._own} {self._lease}".encode()
        if self._lease and item.value == own:
            self._revision = item.revision
            return True
        return False

    async def _take(self) -> bool:
        granted = await self._store.grant_lease(self._ttl_ms)
        if granted.is_error():
            return False
        self._lease = granted.ok
        value = f"{self._own} {self._lease}".encode()
        written = await self._store.write(
            self._key, value, store.ABSENT, self._lease
        )
        if written.is_error():
            return False
        self._revision = written.ok
        return True

    def _note(self, leads: bool) -> None:
        event = (
            events.Event.LEADERSHIP_GAINED
            if leads
            else events.Event.LEADERSHIP_LOST
        )
        events.emit(event, controller=self._own)
