"""A process's lease in the store, under which its keys live."""

import asyncio
from collections.abc import Callable

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller.ports import store

# A dead owner is replaced after this time; a paused one loses its pools.
LEASE_TTL_MS = 2_000
RENEW_EVERY_MS = 500


class Session:
    """Keeps one lease alive, and makes a new one when it has lapsed.

    Args:
        store_client: The store.
        clock: The time.
        backoff: The delays between failed calls.
        opened: Called with each new lease.
        lapsed: Called when a lease has lapsed.
    """

    def __init__(
        self,
        store_client: store.Store,
        clock: clock_module.Clock,
        backoff: follower.Backoff,
        opened: Callable[[str], None],
        lapsed: Callable[[], None],
    ) -> None:
        self.lease = ""
        self.renewed_ms = 0
        self._store = store_client
        self._clock = clock
        self._backoff = backoff
        self._opened = opened
        self._lapsed = lapsed
        self._closing = False

    async def run(self) -> None:
        """Keep a lease until closed."""
        while not self._closing:
            sent_ms = self._clock.monotonic_ms()
            if not self.lease:
                done = await self._open(sent_ms)
            else:
                done = await self._renew(sent_ms)
            if done:
                self._backoff.reset()
                await asyncio.sleep(RENEW_EVERY_MS / 1_000)
            else:
                await self._backoff.wait()

    def age_ms(self) -> int:
        """Return how long ago the lease was last known to be alive."""
        return self._clock.monotonic_ms() - self.renewed_ms

    async def close(self) -> None:
        """End the lease, so that its keys are deleted at once."""
        self._closing = True
        lease, self.lease = self.lease, ""
        if lease:
            await self._store.end_lease(lease)

    async def _open(self, sent_ms: int) -> bool:
        answer = await self._store.grant_lease(LEASE_TTL_MS)
        if answer.is_error():
            return False
        self.lease = answer.ok
        self.renewed_ms = sent_ms
        events.emit(events.Event.SESSION_OPENED, lease=self.lease)
        self._opened(self.lease)
        return True

    async def _renew(self, sent_ms: int) -> bool:
        lease = self.lease
        answer = await self._store.renew_lease(lease)
        if lease != self.lease:
            return True
        if answer.is_error():
            return False
        if answer.ok:
            self.renewed_ms = sent_ms
            return True
        events.emit(
            events.Event.SESSION_LAPSED, lease=lease, age_ms=self.age_ms()
        )
        self.lease = ""
        self._lapsed()
        return True
