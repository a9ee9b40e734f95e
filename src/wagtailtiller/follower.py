"""Follows the shared state in the store, through outages."""

import asyncio
from collections.abc import Callable
import random

from wagtailtiller import clock
from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller import replica
from wagtailtiller.ports import store

_FIRST_BACKOFF_MS = 100
_LONGEST_BACKOFF_MS = 1_000


class Backoff:
    """Full-jitter delays that double up to a limit.

    Source: "Exponential Backoff And Jitter", AWS Architecture Blog, 2015.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._limit_ms = _FIRST_BACKOFF_MS

    def reset(self) -> None:
        """Begin again with the shortest delay."""
        self._limit_ms = _FIRST_BACKOFF_MS

    async def wait(self) -> None:
        """Sleep for the next delay."""
        delay_ms = self._random.uniform(0.3, 1.0) * self._limit_ms
        self._limit_ms = min(2 * self._limit_ms, _LONGEST_BACKOFF_MS)
        await asyncio.sleep(delay_ms / 1_000)


class StoreFollower:
    """Keeps a replica up to date with the store.

    Args:
        store_client: The store.
        shared: The replica.
        time: The clock.
        confirmed: Called with the time before the question, at each answer.
        changed: Called when the replica has changed.
        rng: Spreads retries.
        wait_ms: How long a watch may wait; the view's age is at most twice
            that while the store answers.
    """

    def __init__(
        self,
        store_client: store.Store,
        shared: replica.Replica,
        time: clock.Clock,
        confirmed: Callable[[int], None],
        changed: Callable[[], None],
        rng: random.Random,
        wait_ms: int,
    ) -> None:
        self._wait_ms = wait_ms
        self._store = store_client
        self._replica = shared
        self._clock = time
        self._confirmed = confirmed
        self._changed = changed
        self._backoff = Backoff(rng)
        self._reachable = True
        self._position = store.ABSENT

    async def run(self) -> None:
        """Follow the store for ever."""
        while True:
            sent_ms = self._clock.monotonic_ms()
            if await self._step():
                self._backoff.reset()
                self._note_reachable(True)
                self._confirmed(sent_ms)
            else:
                self._note_reachable(False)
                await self._backoff.wait()

    async def _step(self) -> bool:
        if self._position == store.ABSENT:
            return await self._read_all()
        answer = await self._store.watch(
            replica.PREFIX, self._position, self._wait_ms
        )
        if answer.is_error():
            return False
        changed = self._replica.update(answer.ok.items)
        self._position = answer.ok.revision
        if changed:
            self._changed()
        return True

    async def _read_all(self) -> bool:
        answer = await self._store.read(replica.PREFIX)
        if answer.is_error():
            return False
        newest = max(
            (item.revision for item in answer.ok.items), default=store.ABSENT
        )
        if self._replica.load(answer.ok.items, newest):
            self._changed()
        self._position = max(answer.ok.revision, ids.Revision(1))
        return True

    def _note_reachable(self, reachable: bool) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        event = (
            events.Event.STORE_REACHED
            if reachable
            else events.Event.STORE_UNREACHABLE
        )
        events.emit(event)
