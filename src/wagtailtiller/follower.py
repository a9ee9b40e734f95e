"""Keeps a replica of the shared state up to date across store outages."""

import asyncio
from collections.abc import Callable
import random

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller import replica
from wagtailtiller.ports import store

_INITIAL_BACKOFF_MS = 100
_MAX_BACKOFF_MS = 1_000


class Backoff:
    """Exponential backoff with jitter.

    The upper bound of the random delay doubles with each retry, up to a
    limit. Source: "Exponential Backoff And Jitter", AWS Architecture Blog,
    2015.

    Args:
        rng: Random source that draws the delays.
        limit_ms: Upper bound of all delays.
    """

    def __init__(
        self, rng: random.Random, limit_ms: int = _MAX_BACKOFF_MS
    ) -> None:
        self._rng = rng
        self._limit_ms = limit_ms
        self._max_delay_ms = _INITIAL_BACKOFF_MS

    def reset(self) -> None:
        """Restart from the initial delay."""
        self._max_delay_ms = _INITIAL_BACKOFF_MS

    async def wait(self) -> None:
        """Sleep for a random delay and double the bound of the next one."""
        delay_ms = self._rng.uniform(0.3, 1.0) * self._max_delay_ms
        self._max_delay_ms = min(2 * self._max_delay_ms, self._limit_ms)
        await asyncio.sleep(delay_ms / 1_000)


class StoreFollower:
    """Keeps a replica up to date with the store.

    Args:
        store_client: Client of the store.
        state_replica: Replica that is updated.
        clock: Clock that supplies the current time.
        on_confirmed: Called at each response of the store, with the clock
            reading in ms from before the request was sent.
        on_change: Called after the replica has changed.
        rng: Random source that spreads retries.
        wait_ms: Longest time that a watch may wait. While the store responds,
            the view's age is at most twice this time.
    """

    def __init__(
        self,
        store_client: store.Store,
        state_replica: replica.Replica,
        clock: clock_module.Clock,
        on_confirmed: Callable[[int], None],
        on_change: Callable[[], None],
        rng: random.Random,
        wait_ms: int,
    ) -> None:
        self._wait_ms = wait_ms
        self._store = store_client
        self._replica = state_replica
        self._clock = clock
        self._on_confirmed = on_confirmed
        self._on_change = on_change
        self._backoff = Backoff(rng)
        self._reachable = True
        self._followed_revision = store.ABSENT

    async def run(self) -> None:
        """Follow the store until the task is cancelled."""
        while True:
            sent_ms = self._clock.monotonic_ms()
            if await self._poll():
                self._backoff.reset()
                self._set_reachable(True)
                self._on_confirmed(sent_ms)
            else:
                self._set_reachable(False)
                await self._backoff.wait()

    async def _poll(self) -> bool:
        if self._followed_revision == store.ABSENT:
            return await self._read_all()
        result = await self._store.watch(
            replica.PREFIX, self._followed_revision, self._wait_ms
        )
        if result.is_error():
            if result.error.reason == store.HISTORY_LOST:
                self._followed_revision = store.ABSENT
            return False
        updated = self._replica.update(result.ok.items)
        self._followed_revision = result.ok.revision
        if updated:
            self._on_change()
        return True

    async def _read_all(self) -> bool:
        result = await self._store.read(replica.PREFIX)
        if result.is_error():
            return False
        # Items of later pages may be newer than this revision. The watch tells
        # of all changes after it.
        if self._replica.load(result.ok.items, result.ok.revision):
            self._on_change()
        self._followed_revision = max(result.ok.revision, ids.Revision(1))
        return True

    def _set_reachable(self, reachable: bool) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        event = (
            events.Event.STORE_REACHED
            if reachable
            else events.Event.STORE_UNREACHABLE
        )
        events.emit(event)
