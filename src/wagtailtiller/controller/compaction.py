"""Compaction of the part of the settings log that processes watch.

A snapshot of the settings is saved under one key. Log entries that it covers
are moved to the archive, which no process watches and which is kept as the
audit trail.
"""

from collections.abc import Callable

import msgspec

from wagtailtiller import errors
from wagtailtiller import events
from wagtailtiller import replica
from wagtailtiller.ports import store
from wagtailtiller.settings import changes

MAX_ENTRIES = 200
_ENTRIES_TO_KEEP = 100


class Compactor:
    """Archives old settings changes while this controller is the leader.

    Args:
        store_client: Client of the store that holds the settings log.
        state_replica: This process's copy of the shared state.
        is_leader: Function that returns whether this controller is the leader.
    """

    def __init__(
        self,
        store_client: store.Store,
        state_replica: replica.Replica,
        is_leader: Callable[[], bool],
    ) -> None:
        self._store = store_client
        self._replica = state_replica
        self._is_leader = is_leader

    async def step(self) -> bool:
        """Archive old entries if the log is longer than ``MAX_ENTRIES``.

        Each write can safely be repeated: a change is copied before it is
        deleted, and the revision of the snapshot never decreases.

        Returns:
            Whether the log was compacted. False if there was no need, or if
            a write failed.
        """
        entries = self._replica.settings_log()
        if not self._is_leader() or len(entries) <= MAX_ENTRIES:
            return False
        if not await self._save_snapshot():
            return False
        for item in entries[:-_ENTRIES_TO_KEEP]:
            if not await self._archive(item):
                return False
        events.emit(
            events.Event.SETTINGS_COMPACTED,
            settings_revision=self._replica.settings.revision,
            entries=len(entries) - _ENTRIES_TO_KEEP,
        )
        return True

    async def _save_snapshot(self) -> bool:
        current = self._replica.settings
        snapshot = changes.SettingsSnapshot(current.revision, current.plain)
        written = await self._store.write(
            changes.SNAPSHOT_KEY,
            msgspec.json.encode(snapshot),
            self._replica.item_revision(changes.SNAPSHOT_KEY),
        )
        return written.is_ok()

    async def _archive(self, item: store.Item) -> bool:
        revision_suffix = item.key.removeprefix(changes.LOG_PREFIX)
        write_result = await self._store.write(
            changes.ARCHIVE_PREFIX + revision_suffix,
            item.value or b"",
            store.ABSENT,
        )
        if write_result.is_error() and isinstance(
            write_result.error, errors.StoreUnavailable
        ):
            return False
        deleted = await self._store.delete(item.key, item.revision)
        return deleted.is_ok()
