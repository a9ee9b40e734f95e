"""The lease of a process in the store, to which its keys are attached."""

import asyncio
from collections.abc import Callable
import contextlib

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller import tasks
from wagtailtiller.ports import store

# A dead owner is replaced after this time. A process that is paused for longer
# loses its pools.
LEASE_TTL_MS = 2_000
RENEW_INTERVAL_MS = 500
# Shortest time between two renewals, since the store limits their rate.
_MIN_RENEW_INTERVAL_MS = 100
# Longest delay of a retry. Requests are refused until the store has answered
# one.
MAX_RETRY_DELAY_MS = 400
# A renewal without an answer is not waited for: its connection may be lost, and
# the store may be back before it times out.
_NEXT_ATTEMPT_MS = 500


class StoreSession:
    """Renews one lease, and requests a new one after it has expired.

    Args:
        store_client: Client of the store that grants the lease.
        clock: Clock that supplies the current time.
        backoff: Delays between retries.
        on_opened: Called with the id of each new lease.
        on_expired: Called when the lease has expired.

    Attributes:
        lease: Id of the lease; empty while there is none.
        renewed_ms: Clock reading before the latest successful request for the
            lease was sent.
    """

    def __init__(
        self,
        store_client: store.Store,
        clock: clock_module.Clock,
        backoff: follower.Backoff,
        on_opened: Callable[[str], None],
        on_expired: Callable[[], None],
    ) -> None:
        self.lease = ""
        self.renewed_ms = 0
        self._store = store_client
        self._clock = clock
        self._backoff = backoff
        self._on_opened = on_opened
        self._on_expired = on_expired
        self._closing = False
        self._renewal_wanted = asyncio.Event()
        self._attempts = tasks.TaskGroup()

    async def run(self) -> None:
        """Hold a lease until the session is closed."""
        try:
            while not self._closing:
                if await self._attempt():
                    self._backoff.reset()
                    await self._wait_for_turn()
                else:
                    await self._backoff.wait()
        except asyncio.CancelledError:
            await self._attempts.cancel()
            raise

    def renew_soon(self) -> None:
        """Renew the lease earlier than at the usual interval."""
        self._renewal_wanted.set()

    async def _wait_for_turn(self) -> None:
        # The age counts from the sending of the renewal.
        pause_ms = max(0, _MIN_RENEW_INTERVAL_MS - self.age_ms())
        await asyncio.sleep(pause_ms / 1_000)
        rest_ms = RENEW_INTERVAL_MS - pause_ms
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(rest_ms / 1_000):
                await self._renewal_wanted.wait()
        self._renewal_wanted.clear()

    async def _attempt(self) -> bool:
        """Return whether the lease is valid after an attempt to make it so."""
        sent_ms = self._clock.monotonic_ms()
        if not self.lease:
            return await self._open(sent_ms)
        renewal = self._attempts.spawn(self._renew(sent_ms))
        await asyncio.wait({renewal}, timeout=_NEXT_ATTEMPT_MS / 1_000)
        return self.renewed_ms >= sent_ms or not self.lease

    def age_ms(self) -> int:
        """Return the time since the lease was last known to be valid."""
        return self._clock.monotonic_ms() - self.renewed_ms

    async def close(self) -> None:
        """End the lease, so that the store deletes its keys at once."""
        self._closing = True
        lease, self.lease = self.lease, ""
        if lease:
            await self._store.end_lease(lease)

    async def _open(self, sent_ms: int) -> bool:
        result = await self._store.grant_lease(LEASE_TTL_MS)
        if result.is_error():
            return False
        self.lease = result.ok
        self.renewed_ms = sent_ms
        events.emit(events.Event.SESSION_OPENED, lease=self.lease)
        self._on_opened(self.lease)
        return True

    async def _renew(self, sent_ms: int) -> None:
        lease = self.lease
        result = await self._store.renew_lease(lease)
        if lease != self.lease or result.is_error():
            return
        if result.ok:
            self.renewed_ms = max(self.renewed_ms, sent_ms)
            return
        events.emit(
            events.Event.SESSION_LAPSED, lease=lease, age_ms=self.age_ms()
        )
        self.lease = ""
        self._on_expired()
