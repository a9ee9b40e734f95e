"""Replica of the shared state in the store, decoded.

The replica follows one key prefix in revision order, from a watch or from a
peer. A process that has reached a revision has therefore applied all changes
before it.
"""

from collections.abc import Iterable
from typing import TypeVar

import msgspec

from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller import roster
from wagtailtiller.fleet import model
from wagtailtiller.ports import store
from wagtailtiller.settings import changes

PREFIX = "state/"

_T = TypeVar("_T")

_items_decoder = msgspec.msgpack.Decoder(list[store.Item])
_fleet_decoder = msgspec.json.Decoder(model.Fleet)
_snapshot_decoder = msgspec.json.Decoder(changes.SettingsSnapshot | None)
_change_decoder = msgspec.json.Decoder(changes.Change | None)
_roster_decoder = msgspec.json.Decoder(roster.Roster)


class Replica:
    """The settings, a region's fleet and its roster as of a revision.

    Args:
        region: Region whose fleet and roster are decoded.

    Attributes:
        revision: Store revision that the replica has reached.
        settings: Settings as of that revision.
        fleet: Fleet of the region.
        roster: Roster of the region.
    """

    def __init__(self, region: ids.RegionId) -> None:
        self._fleet_key = model.key(region)
        self._roster_key = roster.key(region)
        self._items: dict[str, store.Item] = {}
        self.revision = ids.Revision(0)
        self.settings = changes.EMPTY
        self.fleet = model.Fleet()
        self.roster = roster.EMPTY

    def load(self, items: Iterable[store.Item], revision: int) -> bool:
        """Replace the contents by a snapshot, if it is newer.

        Args:
            items: All items under the prefix.
            revision: Store revision of the snapshot.

        Returns:
            Whether the contents were replaced.
        """
        if revision <= self.revision:
            return False
        previous_keys = set(self._items)
        self._items = {item.key: item for item in items}
        self._refresh(previous_keys | set(self._items))
        self.revision = ids.Revision(revision)
        return True

    def update(self, items: Iterable[store.Item]) -> bool:
        """Apply the changes that are newer than the current revision.

        Args:
            items: Changed items; older ones are ignored.

        Returns:
            Whether any item was applied.
        """
        newer = [item for item in items if item.revision > self.revision]
        for item in newer:
            if item.value is None:
                self._items.pop(item.key, None)
            else:
                self._items[item.key] = item
            self.revision = max(self.revision, item.revision)
        self._refresh({item.key for item in newer})
        return bool(newer)

    def export(self) -> bytes:
        """Return all items, encoded as MessagePack for a peer."""
        return msgspec.msgpack.encode(list(self._items.values()))

    def load_export(self, payload: bytes, revision: int) -> bool:
        """Replace the contents by a peer's export, if it is newer.

        Args:
            payload: Bytes that the peer's ``export`` returned.
            revision: Store revision of the export.

        Returns:
            Whether the contents were replaced.

        Raises:
            msgspec.MsgspecError: The payload cannot be decoded.
        """
        return self.load(_items_decoder.decode(payload), revision)

    def item_revision(self, key: str) -> ids.Revision:
        """Return the store revision of a key, or ``ABSENT``."""
        item = self._items.get(key)
        return item.revision if item else store.ABSENT

    def settings_log(self) -> list[store.Item]:
        """Return the settings changes that are not yet archived, in order."""
        return [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(changes.LOG_PREFIX)
        ]

    def _refresh(self, changed_keys: set[str]) -> None:
        if any(key.startswith("state/settings") for key in changed_keys):
            self._refresh_settings()
        if self._fleet_key in changed_keys:
            default = model.Fleet()
            self.fleet = self._decode(
                self._fleet_key, _fleet_decoder, default, self.fleet
            )
        if self._roster_key in changed_keys:
            self.roster = self._decode(
                self._roster_key, _roster_decoder, roster.EMPTY, self.roster
            )

    def _decode(
        self,
        key: str,
        decoder: "msgspec.json.Decoder[_T]",
        default: _T,
        current: _T,
    ) -> _T:
        """Decode a key; keep the current value if it cannot be decoded."""
        value = self._value(key)
        if value is None:
            return default
        try:
            return decoder.decode(value)
        except msgspec.MsgspecError as error:
            events.emit(
                events.Event.STATE_UNREADABLE, key=key, reason=str(error)
            )
            return current

    def _value(self, key: str) -> bytes | None:
        item = self._items.get(key)
        return item.value if item else None

    def _refresh_settings(self) -> None:
        current = self.settings
        snapshot = self._decode(
            changes.SNAPSHOT_KEY, _snapshot_decoder, None, None
        )
        if snapshot is not None and snapshot.revision > current.revision:
            loaded = changes.validate_and_resolve(
                snapshot.revision, snapshot.plain
            )
            current = loaded.default_value(current)
        keys = [
            key
            for key in self._items
            if key.startswith(changes.LOG_PREFIX)
            and key > changes.log_key(current.revision)
        ]
        decoded = [
            self._decode(key, _change_decoder, None, None) for key in keys
        ]
        log = [change for change in decoded if change is not None]
        self.settings = changes.replay(current, log).default_value(current)
