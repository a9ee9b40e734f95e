"""In-memory copy of the keys under a store prefix, updated by watches."""

import asyncio
from collections.abc import Callable

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller.ports import store


class Mirror:
    """Keeps a local copy of all keys under a prefix.

    Args:
        store_client: Client of the store that is read and watched.
        prefix: Prefix of the keys to copy.
        wait_ms: Longest time that one watch call may wait in the store; a
            watch that does not return is noticed soon after this time.
        clock: Clock that supplies the current time.
        backoff: Delays between retries.
        on_change: Called with the items that changed, in the order of their
            revisions; a deleted item has the value None.
        pause_ms: Shortest pause between two watch calls, to limit their rate.

    Attributes:
        items: Present items by key.
        last_response_ms: Clock reading at the store's latest response.
    """

    def __init__(
        self,
        store_client: store.Store,
        prefix: str,
        wait_ms: int,
        clock: clock_module.Clock,
        backoff: follower.Backoff,
        on_change: Callable[[list[store.Item]], None],
        pause_ms: int = 0,
    ) -> None:
        self.items: dict[str, store.Item] = {}
        self.last_response_ms = 0
        self._store = store_client
        self._prefix = prefix
        self._wait_ms = wait_ms
        self._pause_ms = pause_ms
        self._clock = clock
        self._backoff = backoff
        self._on_change = on_change
        self._revision: ids.Revision | None = None
        # Whether all keys have to be read again.
        self._read_due = False
        self._reachable = True

    async def run(self) -> None:
        """Update the copy until cancelled."""
        while True:
            error_reason = await self._update()
            if not error_reason:
                self.last_response_ms = self._clock.monotonic_ms()
                self._backoff.reset()
                self._set_reachable(True, "")
                if self._pause_ms:
                    await asyncio.sleep(self._pause_ms / 1_000)
                continue
            if error_reason == store.HISTORY_LOST:
                self._revision = None
                continue
            self._set_reachable(False, error_reason)
            await self._backoff.wait()

    def correct(self, expected: ids.Revision, stored: store.Item) -> None:
        """Correct the copy by an item that a refused precondition returned.

        Usually the copy is only late, and the next watch brings the change. If
        the copy should have the item already, all keys are read again.

        Args:
            expected: Revision that the precondition named; ``ABSENT`` for a key
                that was not to exist.
            stored: The item as the store has it; its value is None if the key
                does not exist.
        """
        known_revision = self._known_revision(stored.key)
        if known_revision == stored.revision:
            return
        events.emit(
            events.Event.STORE_COPY_OUTDATED,
            key=stored.key,
            known=known_revision,
            stored=stored.revision,
            followed=self._revision,
        )
        if stored.value is None:
            # No later item of the key has the refused revision.
            if known_revision == expected:
                self._apply([store.Item(stored.key, None, expected)])
        elif self._revision is not None and stored.revision <= self._revision:
            self._read_due = True

    async def _update(self) -> str:
        if self._revision is None or self._read_due:
            return await self._read_all()
        result = await self._store.watch(
            self._prefix, self._revision, self._wait_ms
        )
        if result.is_error():
            return result.error.reason
        self._revision = result.ok.revision
        self._apply(result.ok.items)
        return ""

    async def _read_all(self) -> str:
        result = await self._store.read(self._prefix)
        if result.is_error():
            return result.error.reason
        present = {item.key for item in result.ok.items}
        deleted = [
            store.Item(key, None, result.ok.revision)
            for key, item in self.items.items()
            if key not in present and item.revision <= result.ok.revision
        ]
        self._read_due = False
        self._revision = result.ok.revision
        self._apply(result.ok.items + deleted)
        return ""

    def _apply(self, items: list[store.Item]) -> None:
        """Apply items in the order of their revisions.

        One answer may hold several changes of a key, such as its creation and
        its deletion.
        """
        changes = []
        for item in sorted(items, key=lambda item: item.revision):
            if not self._is_change(item):
                continue
            if item.value is None:
                del self.items[item.key]
            else:
                self.items[item.key] = item
            changes.append(item)
        if changes:
            self._on_change(changes)

    def _is_change(self, item: store.Item) -> bool:
        known_revision = self._known_revision(item.key)
        if item.value is None:
            return store.ABSENT < known_revision <= item.revision
        return item.revision > known_revision

    def _known_revision(self, key: str) -> ids.Revision:
        known = self.items.get(key)
        return known.revision if known is not None else store.ABSENT

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        event = (
            events.Event.STORE_REACHED
            if reachable
            else events.Event.STORE_UNREACHABLE
        )
        events.emit(event, prefix=self._prefix, reason=reason)
