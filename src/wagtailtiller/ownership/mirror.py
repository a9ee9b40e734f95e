"""A copy of a part of the store, kept up to date by a watch."""

import asyncio
from collections.abc import Callable

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller.ports import store


class Mirror:
    """Follows all keys under a prefix.

    Args:
        store_client: The store.
        prefix: Which keys.
        wait_ms: How long one watch may wait; a watch that has gone silent is
            noticed soon after.
        clock: The time.
        backoff: The delays between failed calls.
        changed: Called with the items that changed; a deleted one has no
            value.
        pause_ms: Shortest time between two watches, which bounds the calls.
    """

    def __init__(
        self,
        store_client: store.Store,
        prefix: str,
        wait_ms: int,
        clock: clock_module.Clock,
        backoff: follower.Backoff,
        changed: Callable[[list[store.Item]], None],
        pause_ms: int = 0,
    ) -> None:
        self.items: dict[str, store.Item] = {}
        self.answered_ms = 0
        self._store = store_client
        self._prefix = prefix
        self._wait_ms = wait_ms
        self._pause_ms = pause_ms
        self._clock = clock
        self._backoff = backoff
        self._changed = changed
        self._position: ids.Revision | None = None
        self._reachable = True

    async def run(self) -> None:
        """Follow the store for ever."""
        while True:
            reason = await self._step()
            if not reason:
                self.answered_ms = self._clock.monotonic_ms()
                self._backoff.reset()
                self._note_reachable(True, "")
                if self._pause_ms:
                    await asyncio.sleep(self._pause_ms / 1_000)
                continue
            if reason == store.HISTORY_LOST:
                self._position = None
                continue
            self._note_reachable(False, reason)
            await self._backoff.wait()

    async def _step(self) -> str:
        if self._position is None:
            return await self._read_all()
        answer = await self._store.watch(
            self._prefix, self._position, self._wait_ms
        )
        if answer.is_error():
            return answer.error.reason
        self._position = answer.ok.revision
        self._apply(answer.ok.items)
        return ""

    async def _read_all(self) -> str:
        answer = await self._store.read(self._prefix)
        if answer.is_error():
            return answer.error.reason
        present = {item.key for item in answer.ok.items}
        gone = [
            store.Item(key, None, answer.ok.revision)
            for key, item in self.items.items()
            if key not in present and item.revision <= answer.ok.revision
        ]
        self._position = answer.ok.revision
        self._apply(answer.ok.items + gone)
        return ""

    def _apply(self, items: list[store.Item]) -> None:
        news = [item for item in items if self._is_news(item)]
        for item in news:
            if item.value is None:
                self.items.pop(item.key, None)
            else:
                self.items[item.key] = item
        if news:
            self._changed(news)

    def _is_news(self, item: store.Item) -> bool:
        known = self.items.get(item.key)
        if known is None:
            return item.value is not None
        return item.revision > known.revision or item.value is None

    def _note_reachable(self, reachable: bool, reason: str) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        event = (
            events.Event.STORE_REACHED
            if reachable
            else events.Event.STORE_UNREACHABLE
        )
        events.emit(event, prefix=self._prefix, reason=reason)
