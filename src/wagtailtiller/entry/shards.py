"""Claims, tracks and releases the shards that this process owns."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import random
from typing import TypeVar

import msgspec

from wagtailtiller import clock as clock_module
from wagtailtiller import errors
from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller import stored_state
from wagtailtiller.owner import queue_pools
from wagtailtiller.ownership import authority
from wagtailtiller.ownership import claims
from wagtailtiller.ownership import mirror
from wagtailtiller.ownership import restarts
from wagtailtiller.ownership import session
from wagtailtiller.ownership import shard as shard_module
from wagtailtiller.ownership import succession
from wagtailtiller.ports import store

# Additional claim delay for each position in the order of preference. The
# records of better candidates that died with the owner expire as late as its
# own, so that each of them delays the takeover by one step.
_CLAIM_DELAY_STEP_MS = 200
# Additional claim delay of a VM that does not come near the strongest known
# one. After an outage of the store, in which all leases expire, strong VMs may
# be the last to register and to claim.
_STRONGER_WAIT_MS = 1_500
_CLAIM_INTERVAL_MS = 100
# VMs that are slowed down together do not notice it at the same time. A late
# process waits for their records before it judges who is better off: for this
# time, and for the turns of the loops that write and read them.
_LATE_SETTLING_MS = 500
_SETTLING_TURNS = 2
# The claim loop may be writing the record at the same time.
_LEAVING_ATTEMPTS = 2
# Shortest time between two changes of this process's record.
_PUBLISH_INTERVAL_MS = 1_000
# A process that has just started waits first, so that it can read the records
# of the other processes.
_STARTUP_DELAY_MS = 400
_STARTUP_POLL_MS = 20
_WATCH_WAIT_MS = 1_000
# Another process claims a shard within a fraction of this time.
_UNOWNED_LOGGED_MS = 5_000
# The store responds to a watch after _WATCH_WAIT_MS even if nothing has
# changed. It counts as unavailable if it has not responded for longer than
# this.
_MAX_STORE_ANSWER_AGE_MS = 1_400

_T = TypeVar("_T")


class Shards:
    """Claims shards without an owner, in an order that all processes share.

    Args:
        store_client: Client of the store.
        own_record: The record of this process.
        clock: Clock that supplies the current time.
        on_gained: Called with the claim of each shard that this process now
            owns.
        on_lost: Called with the claim of each shard that this process no
            longer owns, and with the reason.
        rng: Random source that spreads retries.
        on_owner_change: Called with each shard that has a new owner.
        on_queue_items: Called with the changed lists of the queues' pools.

    Attributes:
        claims_by_shard: The claims that this process has won.
        authority: Tells what this process may do under its lease.
    """

    def __init__(
        self,
        store_client: store.Store,
        own_record: claims.NodeRecord,
        clock: clock_module.Clock,
        on_gained: Callable[[claims.Claim], None],
        on_lost: Callable[[claims.Claim, str], None],
        rng: random.Random,
        on_owner_change: Callable[[shard_module.Shard], None] = lambda shard: (
            None
        ),
        on_queue_items: Callable[[list[store.Item]], None] = lambda items: None,
    ) -> None:
        self._on_queue_items = on_queue_items
        self._on_owner_change = on_owner_change
        self.claims_by_shard: dict[shard_module.Shard, claims.Claim] = {}
        self._store = store_client
        self._own_record = own_record
        self._clock = clock
        self._on_gained = on_gained
        self._on_lost = on_lost
        self._shards: set[shard_module.Shard] = set()
        self._nodes: dict[ids.NodeId, claims.NodeRecord] = {}
        self._owners: dict[shard_module.Shard, claims.OwnerRecord] = {}
        self._unowned_since_ms: dict[shard_module.Shard, int] = {}
        self._logged_unowned: set[shard_module.Shard] = set()
        self._claimed_ms: dict[shard_module.Shard, int] = {}
        self._listed_since_ms: dict[ids.NodeId, int] = {}
        self._hints: dict[shard_module.Shard, claims.SuccessorRecord] = {}
        # The latest known epoch of each shard's owners.
        self._epochs: dict[shard_module.Shard, int] = {}
        # Processes that this one has named as successors, until they claim.
        self._named: dict[shard_module.Shard, ids.NodeId] = {}
        self._releasing: set[shard_module.Shard] = set()
        self._restarts = restarts.RestartTracker()
        self._has_listed = False
        self._wake = asyncio.Event()
        self._stored_record: claims.NodeRecord | None = None
        self._stored_ms = 0
        self._record_revision = store.ABSENT
        # Revision of the first record that this process has written.
        self._first_revision = store.ABSENT
        self._published_ms: int | None = None
        self._highest_capacity = own_record.shard_capacity
        self._registered = False
        self._closing = False
        self._session = session.StoreSession(
            store_client,
            clock,
            follower.Backoff(rng, session.MAX_RETRY_DELAY_MS),
            self._on_session_opened,
            self._on_session_expired,
        )
        self.authority = authority.Authority(self._session)
        self._mirror = mirror.Mirror(
            store_client,
            keys.LIVE_PREFIX,
            _WATCH_WAIT_MS,
            clock,
            follower.Backoff(rng),
            self._on_items_change,
        )

    def set_shards(self, shards: set[shard_module.Shard]) -> None:
        """Set which shards exist.

        Args:
            shards: All shards that must have an owner.
        """
        self._shards = shards

    def owner(self, shard: shard_module.Shard) -> claims.OwnerRecord | None:
        """Return the last known owner of a shard, or None."""
        return self._owners.get(shard)

    def owners(self) -> dict[shard_module.Shard, claims.OwnerRecord]:
        """Return the last known owners, as a new dictionary."""
        return dict(self._owners)

    def owner_epoch(self, shard: shard_module.Shard) -> int:
        """Return the epoch of a shard's last known owner, or 0."""
        return self._epochs.get(shard, 0)

    def peer_addresses(self) -> list[str]:
        """Return the addresses of the other live processes last known."""
        return [
            node.address
            for node in self._nodes.values()
            if node.node != self._own_record.node and not node.leaving
        ]

    def node_count(self) -> int:
        """Return the number of live processes that are known."""
        return len(self._nodes)

    def store_answers(self) -> bool:
        """Return whether the store has responded recently."""
        watch_age_ms = (
            self._clock.monotonic_ms() - self._mirror.last_response_ms
        )
        lease_age_ms = self.authority.lease_age_ms()
        return min(watch_age_ms, lease_age_ms) <= _MAX_STORE_ANSWER_AGE_MS

    async def run(self) -> None:
        """Follow the store, renew the lease, claim shards until cancelled."""
        await asyncio.gather(
            self._mirror.run(), self._session.run(), self._claim_loop()
        )

    async def announce_leaving(self) -> None:
        """Claim nothing from now on, and tell the other processes so."""
        self._closing = True
        self._own_record = msgspec.structs.replace(
            self._own_record, leaving=True
        )
        events.emit(
            events.Event.NODE_LEAVING,
            shards=[shard.key_name for shard in self._sorted_claims()],
        )
        for _ in range(_LEAVING_ATTEMPTS):
            if not self._session.lease or await self._write_record():
                return

    async def close(self) -> None:
        """End the lease; the store deletes all keys of this process."""
        self._closing = True
        await self._session.close()

    def set_late(self, late: bool) -> bool:
        """Set whether this process is late; the claim loop publishes it.

        Args:
            late: Whether the event loop of this process is late.

        Returns:
            Whether this is a change.
        """
        if late == self._own_record.late:
            return False
        self._own_record = msgspec.structs.replace(self._own_record, late=late)
        return True

    def remove_claim(self, claim: claims.Claim) -> None:
        """Remove a claim whose ownership was lost.

        Args:
            claim: The claim; a newer claim of the same shard remains.
        """
        if self.claims_by_shard.get(claim.shard) == claim:
            del self.claims_by_shard[claim.shard]

    def plan_hand_over(
        self,
        claim: claims.Claim,
        late_now: bool = False,
        lateness_ms: int = 0,
    ) -> succession.Plan | succession.Withheld | None:
        """Decide whether another process should have a shard of this one.

        Args:
            claim: Claim of this process.
            late_now: Whether this process is still late; one that is about to
                recover keeps its shards.
            lateness_ms: Recent lateness of the event loop of this process.

        Returns:
            As ``succession.plan``; None as well until this process and the
            others can know which of them are late.
        """
        stored = self._stored_record
        now_ms = self._clock.monotonic_ms()
        if stored is None or stored.late != self._own_record.late:
            return None
        settling_ms = _LATE_SETTLING_MS + _SETTLING_TURNS * lateness_ms
        if stored.late and now_ms - self._stored_ms < settling_ms:
            return None
        claimed_ms = self._claimed_ms.get(claim.shard, now_ms)
        view = self._view()
        if not late_now:
            view = dataclasses.replace(
                view, own=msgspec.structs.replace(view.own, late=False)
            )
        return succession.plan(claim.shard, view, now_ms - claimed_ms)

    def _sorted_claims(self) -> list[shard_module.Shard]:
        return sorted(self.claims_by_shard, key=shard_module.by_key_name)

    def plan_stop(self) -> dict[shard_module.Shard, succession.Plan]:
        """Choose successors for all shards of this process."""
        return succession.plan_stop(self._sorted_claims(), self._view())

    async def release(
        self,
        claim: claims.Claim,
        successor: claims.NodeRecord | None = None,
    ) -> bool:
        """Release one shard, so that another process can claim it.

        If this fails, the claim loop deletes the owner key later.

        Args:
            claim: The claim; its owner must have stopped.
            successor: Process that should claim the shard at once.

        Returns:
            Whether the shard is known to be released.
        """
        self.remove_claim(claim)
        if successor is not None:
            self._named[claim.shard] = successor.node
        hint = self._mirror.items.get(keys.successor(claim.shard))
        self._releasing.add(claim.shard)
        try:
            return await claims.release(
                self._store,
                claim,
                successor,
                hint.revision if hint is not None else store.ABSENT,
            )
        finally:
            self._releasing.discard(claim.shard)

    def _view(self) -> succession.View:
        now_ms = self._clock.monotonic_ms()
        own_node = self._own_record.node
        return succession.View(
            self._own_record,
            [node for node in self._nodes.values() if node.node != own_node],
            self._owned_counts(),
            {
                node: now_ms - listed_ms
                for node, listed_ms in self._listed_since_ms.items()
            },
            self._restarts.restarted(now_ms),
        )

    async def _claim_loop(self) -> None:
        await self._wait_for_records()
        while not self._closing:
            await self._wait_for_turn()
            if not self._session.lease:
                continue
            if not self.authority.allows(authority.Action.CLAIM_SHARD):
                continue
            if not self._registered:
                await self._register()
                continue
            await self._publish_changes()
            for shard in sorted(self._shards, key=shard_module.by_key_name):
                await self._claim_if_unowned(shard)
                if self._closing:
                    return

    async def _wait_for_records(self) -> None:
        """Wait until the records of the other processes can be known.

        A process that has been restarted goes on with the shards that it owned.
        """
        waited_ms = 0
        while waited_ms < _STARTUP_DELAY_MS and not self._was_owner():
            await asyncio.sleep(_STARTUP_POLL_MS / 1_000)
            waited_ms += _STARTUP_POLL_MS

    def _was_owner(self) -> bool:
        """Return whether a previous start of this process owns a shard."""
        return any(
            owner.node == self._own_record.node
            and owner.incarnation != self._own_record.incarnation
            for owner in self._owners.values()
        )

    async def _wait_for_turn(self) -> None:
        """Wait until the next check is due, or a hint names this process."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CLAIM_INTERVAL_MS / 1_000):
                await self._wake.wait()
        self._wake.clear()

    async def _register(self) -> None:
        self._registered = await self._write_record()
        if not self._registered:
            await asyncio.sleep(_CLAIM_INTERVAL_MS / 1_000)

    async def _publish_changes(self) -> None:
        if self._stored_record == self._record_to_publish():
            return
        now_ms = self._clock.monotonic_ms()
        if (
            self._published_ms is not None
            and now_ms - self._published_ms < _PUBLISH_INTERVAL_MS
        ):
            return
        self._published_ms = now_ms
        await self._write_record()

    def _record_to_publish(self) -> claims.NodeRecord:
        """Return what the other processes need to know of this one.

        Each change reaches all processes. The lateness of a small VM that owns
        nothing matters to none of them while stronger ones are known.
        """
        record = self._own_record
        matters = bool(self.claims_by_shard) or claims.comparable(
            record.shard_capacity, self._highest_capacity
        )
        known_late = (
            self._stored_record is not None and self._stored_record.late
        )
        if record.late and not matters and not known_late:
            return msgspec.structs.replace(record, late=False)
        return record

    async def _write_record(self) -> bool:
        # The key may still exist, from a previous start of this process or
        # under an expired lease. The latest write may not have been read yet.
        key = keys.node(self._own_record.node)
        known = self._mirror.items.get(key)
        mirrored = known.revision if known is not None else store.ABSENT
        expected = max(mirrored, self._record_revision)
        record = self._record_to_publish()
        result = await self._store.write(
            key, claims.encode(record), expected, self._session.lease
        )
        if result.is_error():
            if isinstance(result.error, errors.Conflict):
                self._record_revision = store.ABSENT
                self._correct_copy(expected, result.error)
            return False
        self._record_revision = result.ok
        if self._first_revision == store.ABSENT:
            self._first_revision = result.ok
        self._stored_record = record
        self._stored_ms = self._clock.monotonic_ms()
        return True

    async def _claim_if_unowned(self, shard: shard_module.Shard) -> None:
        now_ms = self._clock.monotonic_ms()
        owner = self._owners.get(shard)
        if owner is not None:
            self._unowned_since_ms.pop(shard, None)
            self._logged_unowned.discard(shard)
            await self._replace_stale_claim(shard, owner)
            return
        if shard in self.claims_by_shard:
            return
        since_ms = self._unowned_since_ms.setdefault(shard, now_ms)
        self._log_unowned(shard, now_ms - since_ms)
        if now_ms - since_ms < self._claim_delay_ms(shard):
            return
        await self._claim(shard)

    def _log_unowned(self, shard: shard_module.Shard, unowned_ms: int) -> None:
        """Log once that a shard has had no owner for unusually long."""
        if unowned_ms < _UNOWNED_LOGGED_MS or shard in self._logged_unowned:
            return
        self._logged_unowned.add(shard)
        events.emit(
            events.Event.SHARD_UNOWNED,
            shard=shard.key_name,
            unowned_ms=unowned_ms,
            epoch=self.owner_epoch(shard),
        )

    async def _claim(
        self, shard: shard_module.Shard, replaced: ids.Revision = store.ABSENT
    ) -> None:
        lease = self._session.lease
        claim = await claims.claim(
            self._store,
            shard,
            self._own_record,
            lease,
            replaced,
            on_refused=lambda item: self._mirror.correct(replaced, item),
        )
        self._unowned_since_ms.pop(shard, None)
        if claim is None:
            return
        if self._closing:
            # The process was told to stop while it claimed the shard.
            await claims.release(self._store, claim)
            return
        if self._session.lease != lease:
            # The owner key has ended with its lease.
            return
        stored = self._mirror.items.get(keys.owner(shard))
        if stored is not None and stored.revision > claim.revision:
            # The answer came so late that another process owns the shard.
            return
        self.claims_by_shard[shard] = claim
        self._claimed_ms[shard] = self._clock.monotonic_ms()
        self._epochs[shard] = claim.epoch
        self._named.pop(shard, None)
        self._owners[shard] = claims.OwnerRecord(
            self._own_record.node,
            self._own_record.address,
            self._own_record.incarnation,
            claim.epoch,
        )
        events.emit(
            events.Event.SHARD_CLAIMED,
            shard=shard.key_name,
            epoch=claim.epoch,
            revision=claim.revision,
        )
        self._on_gained(claim)
        self._on_owner_change(shard)

    async def _replace_stale_claim(
        self, shard: shard_module.Shard, owner: claims.OwnerRecord
    ) -> None:
        """Replace or delete an owner key that this process has left behind."""
        item = self._mirror.items.get(keys.owner(shard))
        if item is None:
            if shard not in self.claims_by_shard:
                # The key of a released claim ended before the claim was known.
                self._owners.pop(shard, None)
            return
        if self._is_of_previous_start(item, owner):
            events.emit(
                events.Event.SHARD_RECLAIMED,
                shard=shard.key_name,
                epoch=owner.epoch,
            )
            await self._claim(shard, item.revision)
            return
        # A claim transaction of this process may be applied after the process
        # has treated it as failed.
        if (
            owner.incarnation != self._own_record.incarnation
            or shard in self.claims_by_shard
            or shard in self._releasing
        ):
            return
        stored = _decode(item, claims.OwnerRecord)
        if stored is None or stored.incarnation == owner.incarnation:
            result = await self._store.delete(item.key, item.revision)
            if result.is_error():
                self._correct_copy(item.revision, result.error)
        else:
            # A claim that was answered late is recorded here although another
            # process owns the shard by now.
            self._update_owner(item)

    def _correct_copy(
        self, expected: ids.Revision, error: errors.StoreError
    ) -> None:
        """Use the item that a refused write of one key has returned."""
        if isinstance(error, errors.Conflict):
            self._mirror.correct(
                expected, store.Item(error.key, error.current, error.revision)
            )

    def _is_of_previous_start(
        self, item: store.Item, owner: claims.OwnerRecord
    ) -> bool:
        """Return whether a previous start of this process owns a shard.

        It has ended, so that nobody serves the shard until its lease expires.
        A later start of this process, which may exist while this one is
        suspended, has a newer owner key than the first record of this one.
        """
        return (
            owner.node == self._own_record.node
            and owner.address == self._own_record.address
            and owner.incarnation != self._own_record.incarnation
            and item.revision < self._first_revision
        )

    def _claim_delay_ms(self, shard: shard_module.Shard) -> int:
        successor = self._successor(shard)
        if successor == self._own_record.node:
            return 0
        ranking = claims.rank_candidates(
            shard,
            list(self._nodes.values()),
            self._owned_counts(),
            self._restarts.restarted(self._clock.monotonic_ms()),
        )
        node_names = [node.node for node in ranking if node.node != successor]
        if successor is not None:
            node_names.insert(0, successor)
        if self._own_record.node not in node_names:
            return _CLAIM_DELAY_STEP_MS * (len(node_names) + 1)
        position = node_names.index(self._own_record.node)
        delay_ms = _CLAIM_DELAY_STEP_MS * position
        if not claims.comparable(
            self._own_record.shard_capacity, self._highest_capacity
        ):
            delay_ms += _STRONGER_WAIT_MS
        return delay_ms

    def _successor(self, shard: shard_module.Shard) -> ids.NodeId | None:
        """Return the live process that the previous owner has named."""
        hint = self._hints.get(shard)
        if hint is None or hint.epoch != self._epochs.get(shard):
            return None
        node = self._nodes.get(hint.node)
        if node is None or node.incarnation != hint.incarnation:
            return None
        return None if node.leaving else hint.node

    def _owned_counts(self) -> dict[ids.NodeId, int]:
        """Return the number of shards that each process owns."""
        counts: dict[ids.NodeId, int] = {}
        holders = {shard: owner.node for shard, owner in self._owners.items()}
        holders.update(self._named)
        for node in holders.values():
            counts[node] = counts.get(node, 0) + 1
        return counts

    def _on_session_opened(self, lease: str) -> None:
        self._registered = False
        self._stored_record = None
        self._record_revision = store.ABSENT

    def _on_session_expired(self) -> None:
        self._registered = False
        for claim in list(self.claims_by_shard.values()):
            self._on_claim_lost(claim, "lease_lapsed")

    def _on_claim_lost(self, claim: claims.Claim, reason: str) -> None:
        self.remove_claim(claim)
        self._owners.pop(claim.shard, None)
        events.emit(
            events.Event.SHARD_LOST,
            shard=claim.shard.key_name,
            epoch=claim.epoch,
            reason=reason,
            session_age_ms=self.authority.lease_age_ms(),
        )
        self._on_lost(claim, reason)

    def _on_items_change(self, items: list[store.Item]) -> None:
        for item in items:
            if item.key.startswith(keys.NODE_PREFIX):
                self._update_node(item)
            elif item.key.startswith(keys.OWNER_PREFIX):
                self._update_owner(item)
            elif item.key.startswith(keys.SUCCESSOR_PREFIX):
                self._update_successor(item)
        self._on_queue_items(
            [item for item in items if queue_pools.is_list(item.key)]
        )
        self._has_listed = True
        if any(
            shard not in self._owners
            and self._successor(shard) == self._own_record.node
            for shard in self._hints
        ):
            self._wake.set()

    def _update_node(self, item: store.Item) -> None:
        node = ids.NodeId(item.key[len(keys.NODE_PREFIX) :])
        record = _decode(item, claims.NodeRecord)
        if record is None:
            self._nodes.pop(node, None)
            self._listed_since_ms.pop(node, None)
            if node == self._own_record.node:
                self._registered = False
        else:
            self._track_restarts(record)
            self._nodes[node] = record
            self._listed_since_ms.setdefault(node, self._clock.monotonic_ms())
            self._highest_capacity = max(
                self._highest_capacity, record.shard_capacity
            )

    def _track_restarts(self, record: claims.NodeRecord) -> None:
        now_ms = self._clock.monotonic_ms()
        known = self._nodes.get(record.node)
        was_leaving = known is not None and known.leaving
        if record.leaving and not was_leaving:
            self._restarts.record_leaving(record.node, now_ms)
        self._restarts.record_start(
            record.node,
            record.incarnation,
            now_ms if self._has_listed else None,
        )

    def _update_successor(self, item: store.Item) -> None:
        shard = shard_module.read(item.key.removeprefix(keys.SUCCESSOR_PREFIX))
        hint = _decode(item, claims.SuccessorRecord)
        if hint is None:
            self._hints.pop(shard, None)
        else:
            self._hints[shard] = hint

    def _update_owner(self, item: store.Item) -> None:
        shard = shard_module.read(item.key.removeprefix(keys.OWNER_PREFIX))
        claim = self.claims_by_shard.get(shard)
        if claim is not None and item.revision > claim.revision:
            self._on_claim_lost(claim, "key_changed")
        record = _decode(item, claims.OwnerRecord)
        if record is None:
            self._owners.pop(shard, None)
        else:
            self._owners[shard] = record
            is_new = record.epoch != self._epochs.get(shard)
            self._epochs[shard] = record.epoch
            if is_new:
                self._on_owner_change(shard)
            if record.node != self._own_record.node:
                self._named.pop(shard, None)


def _decode(item: store.Item, record_type: type[_T]) -> _T | None:
    if item.value is None:
        return None
    decoder = msgspec.json.Decoder(record_type)
    return stored_state.decode_or_log(item.key, item.value, decoder.decode)
