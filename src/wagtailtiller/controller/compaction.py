"""Keeps the watched part of the settings log short.

The document is saved under one key; entries that it covers move to the
archive, which nobody watches, and stay there as the audit trail.
"""

from collections.abc import Callable

import msgspec

from wagtailtiller import errors
from wagtailtiller import events
from wagtailtiller import replica
from wagtailtiller.ports import store
from wagtailtiller.settings import changes

MOST_ENTRIES = 200
_KEPT_ENTRIES = 100


class Compactor:
    """Archives old settings changes; acts only as leader.

    Args:
        target: The store.
        shared: This process's copy of the shared state.
        leads: Whether this controller leads.
    """

    def __init__(
        self,
        target: store.Store,
        shared: replica.Replica,
        leads: Callable[[], bool],
    ) -> None:
        self._store = target
        self._replica = shared
        self._leads = leads

    async def step(self) -> bool:
        """Archive if the log has grown long; False when there was no need.

        Every part may be repeated: a change is copied before it is deleted,
        and the saved document only ever moves forward.
        """
        entries = self._replica.settings_log()
        if not self._leads() or len(entries) <= MOST_ENTRIES:
            return False
        if not await self._save_document():
            return False
        for item in entries[:-_KEPT_ENTRIES]:
            if not await self._archive(item):
                return False
        events.emit(
            events.Event.SETTINGS_COMPACTED,
            settings_revision=self._replica.settings.revision,
            entries=len(entries) - _KEPT_ENTRIES,
        )
        return True

    async def _save_document(self) -> bool:
        current = self._replica.settings
        base = changes.SettingsSnapshot(current.revision, current.plain)
        written = await self._store.write(
            changes.SNAPSHOT_KEY,
            msgspec.json.encode(base),
            self._replica.item_revision(changes.SNAPSHOT_KEY),
        )
        return written.is_ok()

    async def _archive(self, item: store.Item) -> bool:
        name = item.key.removeprefix(changes.LOG_PREFIX)
        copied = await self._store.write(
            changes.ARCHIVE_PREFIX + name, item.value or b"", store.ABSENT
        )
        if copied.is_error() and isinstance(
            copied.error, errors.StoreUnavailable
        ):
            return False
        deleted = await self._store.delete(item.key, item.revision)
        return deleted.is_ok()
