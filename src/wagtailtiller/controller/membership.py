"""Updates of a region's roster from the sessions of its gateways."""

import asyncio
from collections.abc import Callable

from expression import Result
import msgspec

from wagtailtiller import clock as clock_module
from wagtailtiller import errors
from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller import roster
from wagtailtiller.ports import store

_WATCH_WAIT_MS = 1_000
REMOVAL_GRACE_MS = 4_000


class RosterUpdater:
    """Updates the roster while this controller is the leader.

    A new roster is written when sessions appear or disappear. A session can
    disappear because its lease expired while the store was unreachable. A
    member is therefore removed only after the store has responded for
    ``REMOVAL_GRACE_MS``.

    Args:
        store_client: Client of the store that holds sessions and roster.
        region: Region of the roster.
        is_leader: Function that returns whether this controller is the leader.
        clock: Clock that supplies the current time.
        backoff: Delays between retries.
    """

    def __init__(
        self,
        store_client: store.Store,
        region: ids.RegionId,
        is_leader: Callable[[], bool],
        clock: clock_module.Clock,
        backoff: follower.Backoff,
    ) -> None:
        self._store = store_client
        self._region = region
        self._key = roster.key(region)
        self._is_leader = is_leader
        self._clock = clock
        self._backoff = backoff
        self._store_answers_since_ms: int | None = None
        self._watch_revision = store.ABSENT
        self._up_to_date = False

    async def run(self) -> None:
        """Keep the roster up to date until cancelled."""
        while True:
            if await self._step():
                self._backoff.reset()
            else:
                self._reset()
                await self._backoff.wait()

    def _reset(self) -> None:
        """Discard cached state after a loss of the store or of leadership."""
        self._store_answers_since_ms = None
        self._watch_revision = store.ABSENT
        self._up_to_date = False

    async def _step(self) -> bool:
        if not self._is_leader():
            self._reset()
            await asyncio.sleep(_WATCH_WAIT_MS / 4_000)
            return True
        if self._watch_revision != store.ABSENT:
            change = await self._store.watch(
                roster.SESSION_PREFIX, self._watch_revision, _WATCH_WAIT_MS
            )
            if change.is_error():
                return False
            if self._up_to_date and not change.ok.items:
                return True
        if self._store_answers_since_ms is None:
            self._store_answers_since_ms = self._clock.monotonic_ms()
        return await self._reconcile()

    async def _reconcile(self) -> bool:
        session_snapshot = await self._store.read(roster.SESSION_PREFIX)
        roster_snapshot = await self._store.read(self._key)
        if session_snapshot.is_error() or roster_snapshot.is_error():
            return False
        self._watch_revision = session_snapshot.ok.revision
        sessions = _live_sessions(session_snapshot.ok, self._region)
        current, revision = _decode_roster(roster_snapshot.ok, self._key)
        if not self._may_remove():
            sessions += _missing_members(current, sessions)
        new = roster.next_roster(current, sessions, self._clock.wall_ms())
        self._up_to_date = new == current and self._may_remove()
        if new == current:
            return True
        written = await self._write(new, revision)
        return written.is_ok()

    def _may_remove(self) -> bool:
        since_ms = self._store_answers_since_ms
        now_ms = self._clock.monotonic_ms()
        return since_ms is not None and now_ms - since_ms >= REMOVAL_GRACE_MS

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


def _live_sessions(
    snapshot: store.Snapshot, region: ids.RegionId
) -> list[roster.SessionRecord]:
    decoded = [
        msgspec.json.decode(item.value, type=roster.SessionRecord)
        for item in snapshot.items
        if item.value is not None
    ]
    return [
        stored_session
        for stored_session in decoded
        if stored_session.session.region == region
    ]


def _missing_members(
    current: roster.Roster, sessions: list[roster.SessionRecord]
) -> list[roster.SessionRecord]:
    names = {stored_session.session.gateway for stored_session in sessions}
    return [
        roster.SessionRecord(member, ids.Epoch(0))
        for name, member in current.members.items()
        if name not in names
    ]


def _decode_roster(
    snapshot: store.Snapshot, key: str
) -> tuple[roster.Roster, ids.Revision]:
    for item in snapshot.items:
        if item.key == key and item.value is not None:
            decoded = msgspec.json.decode(item.value, type=roster.Roster)
            return decoded, item.revision
    return roster.EMPTY, store.ABSENT
