"""Keeps the region's roster in step with the gateways' sessions."""

import asyncio
from collections.abc import Callable

from expression import Result
import msgspec

from wagtailtiller import clock
from wagtailtiller import errors
from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller import roster
from wagtailtiller.ports import store

_WATCH_WAIT_MS = 1_000
GRACE_MS = 4_000


class RosterKeeper:
    """Writes a new roster when sessions come or go; acts only as leader.

    A session can vanish because the store was away while its lease ran out,
    so no member is removed until the store has been answering for a while.

    Args:
        target: The store.
        region: Whose roster.
        leads: Whether this controller leads.
        time: The clock.
        backoff: Spreads retries.
    """

    def __init__(
        self,
        target: store.Store,
        region: ids.RegionId,
        leads: Callable[[], bool],
        time: clock.Clock,
        backoff: follower.Backoff,
    ) -> None:
        self._store = target
        self._region = region
        self._key = roster.key(region)
        self._leads = leads
        self._clock = time
        self._backoff = backoff
        self._answering_since_ms: int | None = None
        self._position = store.ABSENT
        self._settled = False

    async def run(self) -> None:
        """Keep the roster for ever."""
        while True:
            if await self._step():
                self._backoff.reset()
            else:
                self._forget()
                await self._backoff.wait()

    def _forget(self) -> None:
        """Take nothing for granted after a time without the store or lead."""
        self._answering_since_ms = None
        self._position = store.ABSENT
        self._settled = False

    async def _step(self) -> bool:
        if not self._leads():
            self._forget()
            await asyncio.sleep(_WATCH_WAIT_MS / 4_000)
            return True
        if self._position != store.ABSENT:
            seen = await self._store.watch(
                roster.SESSION_PREFIX, self._position, _WATCH_WAIT_MS
            )
            if seen.is_error():
                return False
            if self._settled and not seen.ok.items:
                return True
        if self._answering_since_ms is None:
            self._answering_since_ms = self._clock.monotonic_ms()
        return await self._reconcile()

    async def _reconcile(self) -> bool:
        found = await self._store.read(roster.SESSION_PREFIX)
        current = await self._store.read(self._key)
        if found.is_error() or current.is_error():
            return False
        self._position = found.ok.revision
        present = _presences(found.ok, self._region)
        old, revision = _roster(current.ok, self._key)
        if not self._may_remove():
            present += _absent(old, present)
        new = roster.next_roster(old, present, self._clock.wall_ms())
        self._settled = new == old and self._may_remove()
        if new == old:
            return True
        written = await self._write(new, revision)
        return written.is_ok()

    def _may_remove(self) -> bool:
        since_ms = self._answering_since_ms
        now_ms = self._clock.monotonic_ms()
        return since_ms is not None and now_ms - since_ms >= GRACE_MS

    async def _write(
        self, new: roster.Roster, revision: ids.Revision
    ) -> Result[ids.Revision, errors.StoreError]:
        value = msgspec.json.encode(new)
        written = await self._store.write(self._key, value, revision)
        if written.is_ok():
            events.emit(
                events.Event.ROSTER_CHANGED,
                epoch=new.epoch,
                members=sorted(new.members),
            )
        return written


def _presences(
    snapshot: store.Snapshot, region: ids.RegionId
) -> list[roster.SessionRecord]:
    decoded = [
        msgspec.json.decode(item.value, type=roster.SessionRecord)
        for item in snapshot.items
        if item.value is not None
    ]
    return [each for each in decoded if each.session.region == region]


def _absent(
    current: roster.Roster, present: list[roster.SessionRecord]
) -> list[roster.SessionRecord]:
    names = {each.session.gateway for each in present}
    return [
        roster.SessionRecord(member, ids.Epoch(0))
        for name, member in current.members.items()
        if name not in names
    ]


def _roster(
    snapshot: store.Snapshot, key: str
) -> tuple[roster.Roster, ids.Revision]:
    for item in snapshot.items:
        if item.key == key and item.value is not None:
            decoded = msgspec.json.decode(item.value, type=roster.Roster)
            return decoded, item.revision
    return roster.EMPTY, store.ABSENT
