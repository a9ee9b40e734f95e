"""A process's copy of the shared state in the store, and what it means.

The copy follows one prefix in revision order, from a watch or from a peer, so
every process that has reached a revision has seen all the changes before it.
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
_base_decoder = msgspec.json.Decoder(changes.SettingsSnapshot | None)
_change_decoder = msgspec.json.Decoder(changes.Change | None)
_roster_decoder = msgspec.json.Decoder(roster.Roster)


class Replica:
    """The settings, the region's fleet and its roster as of a revision.

    Args:
        region: The region whose fleet and roster are of interest.
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
        """Replace the copy by a newer whole one.

        Args:
            items: All items under the prefix.
            revision: The revision that they were read at.

        Returns:
            Whether anything changed.
        """
        if revision <= self.revision:
            return False
        self._items = {item.key: item for item in items}
        self._interpret(set(self._items))
        self.revision = ids.Revision(revision)
        return True

    def update(self, items: Iterable[store.Item]) -> bool:
        """Apply changes that follow the current revision."""
        newer = [item for item in items if item.revision > self.revision]
        for item in newer:
            if item.value is None:
                self._items.pop(item.key, None)
            else:
                self._items[item.key] = item
            self.revision = max(self.revision, item.revision)
        self._interpret({item.key for item in newer})
        return bool(newer)

    def export(self) -> bytes:
        """Encode the whole copy for a peer."""
        return msgspec.msgpack.encode(list(self._items.values()))

    def load_export(self, payload: bytes, revision: int) -> bool:
        """Replace the copy by a peer's, if that is newer."""
        return self.load(_items_decoder.decode(payload), revision)

    def item_revision(self, key: str) -> ids.Revision:
        """Return the revision of one key, or ``ABSENT``."""
        item = self._items.get(key)
        return item.revision if item else store.ABSENT

    def settings_log(self) -> list[store.Item]:
        """Return the settings changes that are not archived, in order."""
        return [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(changes.LOG_PREFIX)
        ]

    def _interpret(self, changed: set[str]) -> None:
        if any(key.startswith("state/settings") for key in changed):
            self._fold_settings()
        if self._fleet_key in changed:
            empty = model.Fleet()
            self.fleet = self._decode(
                self._fleet_key, _fleet_decoder, empty, self.fleet
            )
        if self._roster_key in changed:
            self.roster = self._decode(
                self._roster_key, _roster_decoder, roster.EMPTY, self.roster
            )

    def _decode(
        self,
        key: str,
        decoder: "msgspec.json.Decoder[_T]",
        empty: _T,
        current: _T,
    ) -> _T:
        """Decode a key; what cannot be understood changes nothing."""
        value = self._value(key)
        if value is None:
            return empty
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

    def _fold_settings(self) -> None:
        current = self.settings
        base = self._decode(changes.SNAPSHOT_KEY, _base_decoder, None, None)
        if base is not None and base.revision > current.revision:
            loaded = changes.validate_and_resolve(base.revision, base.plain)
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
