"""Claims, tracks and releases the shards that this process owns."""

import asyncio
from collections.abc import Callable
import random
from typing import TypeVar

import msgspec

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller.ownership import claims
from wagtailtiller.ownership import mirror
from wagtailtiller.ownership import session
from wagtailtiller.ports import store

# Additional claim delay for each position in the order of preference. The
# records of better candidates that died with the owner expire as late as its
# own, so that each of them delays the takeover by one step.
_CLAIM_DELAY_STEP_MS = 200
# Additional claim delay of a VM that does not come near the strongest known
# one. After an outage of the store, in which all leases expire, strong VMs may
# be the last to register and to claim.
_STRONGER_WAIT_MS = 1_500
_COMPARABLE_SHARE = 0.5
# A shard is kept at least this long, so that it does not go back and forth, and
# is only given to a VM that has been listed for this long.
_MIN_OWNED_MS = 2_000
_CLAIM_INTERVAL_MS = 100
# A process that has just started waits first, so that it can read the records
# of the other processes.
_STARTUP_DELAY_MS = 400
# No shard is claimed on a lease that may expire soon.
_MAX_SESSION_AGE_MS = 1_300
_WATCH_WAIT_MS = 1_000
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

    Attributes:
        claims_by_shard: The claims that this process has won.
    """

    def __init__(
        self,
        store_client: store.Store,
        own_record: claims.NodeRecord,
        clock: clock_module.Clock,
        on_gained: Callable[[claims.Claim], None],
        on_lost: Callable[[claims.Claim, str], None],
        rng: random.Random,
    ) -> None:
        self.claims_by_shard: dict[ids.ShardId, claims.Claim] = {}
        self._store = store_client
        self._own_record = own_record
        self._clock = clock
        self._on_gained = on_gained
        self._on_lost = on_lost
        self._shards: set[ids.ShardId] = set()
        self._nodes: dict[ids.NodeId, claims.NodeRecord] = {}
        self._owners: dict[ids.ShardId, claims.OwnerRecord] = {}
        self._unowned_since_ms: dict[ids.ShardId, int] = {}
        self._claimed_ms: dict[ids.ShardId, int] = {}
        self._listed_since_ms: dict[ids.NodeId, int] = {}
        self._highest_capacity = own_record.shard_capacity
        self._registered = False
        self._closing = False
        self._session = session.StoreSession(
            store_client,
            clock,
            follower.Backoff(rng),
            self._on_session_opened,
            self._on_session_expired,
        )
        self._mirror = mirror.Mirror(
            store_client,
            keys.LIVE_PREFIX,
            _WATCH_WAIT_MS,
            clock,
            follower.Backoff(rng),
            self._on_items_change,
        )

    def set_shards(self, shards: set[ids.ShardId]) -> None:
        """Set which shards exist.

        Args:
            shards: All shards that must have an owner.
        """
        self._shards = shards

    def owner(self, shard: ids.ShardId) -> claims.OwnerRecord | None:
        """Return the last known owner of a shard, or None."""
        return self._owners.get(shard)

    def session_age_ms(self) -> int:
        """Return the time since the lease was last known to be valid."""
        return self._session.age_ms()

    def store_answers(self) -> bool:
        """Return whether the store has responded recently."""
        watch_age_ms = (
            self._clock.monotonic_ms() - self._mirror.last_response_ms
        )
        return (
            min(watch_age_ms, self.session_age_ms()) <= _MAX_STORE_ANSWER_AGE_MS
        )

    async def run(self) -> None:
        """Follow the store, renew the lease, claim shards until cancelled."""
        await asyncio.gather(
            self._mirror.run(), self._session.run(), self._claim_loop()
        )

    async def close(self) -> None:
        """Release all shards and end the lease."""
        self._closing = True
        for claim in list(self.claims_by_shard.values()):
            await claims.release(self._store, claim)
        await self._session.close()

    def remove_claim(self, claim: claims.Claim) -> None:
        """Remove a claim whose ownership was lost.

        Args:
            claim: The claim; a newer claim of the same shard remains.
        """
        if self.claims_by_shard.get(claim.shard) == claim:
            del self.claims_by_shard[claim.shard]

    def should_hand_over(self, claim: claims.Claim) -> bool:
        """Return whether a much stronger VM should have a shard instead.

        Such a VM has been listed for some time, and would carry the shard with
        at most half of this VM's load.

        Args:
            claim: Claim of this process.
        """
        now_ms = self._clock.monotonic_ms()
        claimed_ms = self._claimed_ms.get(claim.shard, now_ms)
        if now_ms - claimed_ms < _MIN_OWNED_MS:
            return False
        owned_counts = self._owned_counts()
        own_capacity = self._own_record.shard_capacity
        own_load = len(self.claims_by_shard) / own_capacity
        return any(
            own_capacity < _COMPARABLE_SHARE * node.shard_capacity
            and now_ms - self._listed_since_ms[node.node] >= _MIN_OWNED_MS
            and (owned_counts.get(node.node, 0) + 1) / node.shard_capacity
            <= own_load * _COMPARABLE_SHARE
            for node in self._nodes.values()
        )

    async def release(self, claim: claims.Claim) -> None:
        """Release one shard, so that another process can claim it.

        Args:
            claim: The claim; its owner must have stopped.
        """
        self.remove_claim(claim)
        await claims.release(self._store, claim)

    async def _claim_loop(self) -> None:
        await asyncio.sleep(_STARTUP_DELAY_MS / 1_000)
        while not self._closing:
            await asyncio.sleep(_CLAIM_INTERVAL_MS / 1_000)
            if not self._session.lease:
                continue
            if self.session_age_ms() > _MAX_SESSION_AGE_MS:
                continue
            if not self._registered:
                await self._register()
                continue
            for shard in sorted(self._shards):
                await self._claim_if_unowned(shard)

    async def _register(self) -> None:
        # The key may still exist, from a previous start of this process or
        # under an expired lease.
        key = keys.node(self._own_record.node)
        known = self._mirror.items.get(key)
        expected = known.revision if known is not None else store.ABSENT
        result = await self._store.write(
            key, claims.encode(self._own_record), expected, self._session.lease
        )
        self._registered = result.is_ok()
        if not self._registered:
            await asyncio.sleep(_CLAIM_INTERVAL_MS / 1_000)

    async def _claim_if_unowned(self, shard: ids.ShardId) -> None:
        now_ms = self._clock.monotonic_ms()
        owner = self._owners.get(shard)
        if owner is not None:
            self._unowned_since_ms.pop(shard, None)
            await self._delete_stale_claim(shard, owner)
            return
        if shard in self.claims_by_shard:
            return
        since_ms = self._unowned_since_ms.setdefault(shard, now_ms)
        if now_ms - since_ms < self._claim_delay_ms(shard):
            return
        claim = await claims.claim(
            self._store, shard, self._own_record, self._session.lease
        )
        self._unowned_since_ms.pop(shard, None)
        if claim is None:
            return
        self.claims_by_shard[shard] = claim
        self._claimed_ms[shard] = self._clock.monotonic_ms()
        self._owners[shard] = claims.OwnerRecord(
            self._own_record.node,
            self._own_record.address,
            self._own_record.incarnation,
            claim.epoch,
        )
        events.emit(
            events.Event.SHARD_CLAIMED,
            shard=shard,
            epoch=claim.epoch,
            revision=claim.revision,
        )
        self._on_gained(claim)

    async def _delete_stale_claim(
        self, shard: ids.ShardId, owner: claims.OwnerRecord
    ) -> None:
        # A claim transaction of this process may be applied after the process
        # has treated it as failed.
        if (
            owner.incarnation != self._own_record.incarnation
            or shard in self.claims_by_shard
        ):
            return
        item = self._mirror.items.get(keys.owner(shard))
        if item is not None:
            await self._store.delete(item.key, item.revision)

    def _claim_delay_ms(self, shard: ids.ShardId) -> int:
        preferred_nodes = claims.rank_candidates(
            shard, list(self._nodes.values()), self._owned_counts()
        )
        node_names = [node.node for node in preferred_nodes]
        if self._own_record.node not in node_names:
            return _CLAIM_DELAY_STEP_MS * (len(node_names) + 1)
        position = node_names.index(self._own_record.node)
        delay_ms = _CLAIM_DELAY_STEP_MS * position
        own_capacity = self._own_record.shard_capacity
        if own_capacity < _COMPARABLE_SHARE * self._highest_capacity:
            delay_ms += _STRONGER_WAIT_MS
        return delay_ms

    def _owned_counts(self) -> dict[ids.NodeId, int]:
        """Return the number of shards that each process owns."""
        counts: dict[ids.NodeId, int] = {}
        for owner in self._owners.values():
            counts[owner.node] = counts.get(owner.node, 0) + 1
        return counts

    def _on_session_opened(self, lease: str) -> None:
        self._registered = False

    def _on_session_expired(self) -> None:
        self._registered = False
        for claim in list(self.claims_by_shard.values()):
            self._on_claim_lost(claim, "lease_lapsed")

    def _on_claim_lost(self, claim: claims.Claim, reason: str) -> None:
        self.remove_claim(claim)
        self._owners.pop(claim.shard, None)
        events.emit(
            events.Event.SHARD_LOST,
            shard=claim.shard,
            epoch=claim.epoch,
            reason=reason,
        )
        self._on_lost(claim, reason)

    def _on_items_change(self, items: list[store.Item]) -> None:
        for item in items:
            if item.key.startswith(keys.NODE_PREFIX):
                self._update_node(item)
            elif item.key.startswith(keys.OWNER_PREFIX):
                self._update_owner(item)

    def _update_node(self, item: store.Item) -> None:
        node = ids.NodeId(item.key[len(keys.NODE_PREFIX) :])
        record = _decode(item, claims.NodeRecord)
        if record is None:
            self._nodes.pop(node, None)
            self._listed_since_ms.pop(node, None)
            if node == self._own_record.node:
                self._registered = False
        else:
            self._nodes[node] = record
            self._listed_since_ms.setdefault(node, self._clock.monotonic_ms())
            self._highest_capacity = max(
                self._highest_capacity, record.shard_capacity
            )

    def _update_owner(self, item: store.Item) -> None:
        shard = ids.ShardId(item.key[len(keys.OWNER_PREFIX) :])
        claim = self.claims_by_shard.get(shard)
        if claim is not None and item.revision > claim.revision:
            self._on_claim_lost(claim, "key_changed")
        record = _decode(item, claims.OwnerRecord)
        if record is None:
            self._owners.pop(shard, None)
        else:
            self._owners[shard] = record


def _decode(item: store.Item, record_type: type[_T]) -> _T | None:
    if item.value is None:
        return None
    try:
        return msgspec.json.decode(item.value, type=record_type)
    except msgspec.MsgspecError as error:
        events.emit(
            events.Event.STATE_UNREADABLE, key=item.key, reason=str(error)
        )
        return None
