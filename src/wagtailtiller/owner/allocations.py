"""Keeps a pool's entries in the document of the allocations up to date."""

import asyncio
import collections
from collections.abc import Callable
import random

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller import prometheus_metrics
from wagtailtiller import stored_state
from wagtailtiller.ownership import claims
from wagtailtiller.ports import store
from wagtailtiller.scheduling import allocation
from wagtailtiller.scheduling import pool as pool_module

# At most so many writes that may have been applied within the period. Both may
# follow each other at once, since a peak begins with two raises.
_MAX_WRITES = 2
_WRITE_PERIOD_MS = 1_000
# At most this many attempts within the period. An attempt that the store
# refuses because another owner was first writes nothing and is soon repeated,
# so that four owners that start at once all have an allocation within 0.3 s.
_MAX_ATTEMPTS = 4
_ATTEMPT_PERIOD_MS = 1_000
# Upper bound of the random delay that separates owners with equal timing.
_JITTER_MS = 60
_EVALUATION_INTERVAL_MS = 100
_WATCH_WAIT_MS = 5_000
# Limits the rate at which the document is received while many owners change it.
_WATCH_PAUSE_MS = 150


class AllocationSync:
    """Reads, watches and changes the document of the allocations.

    Nothing is read or watched while no organisation with a limit has work or
    an allocation in the pool.

    Args:
        store_client: Client of the store that holds the document.
        pool: Pool whose entries are kept up to date.
        claim: Claim under which the document is written.
        clock: Clock that supplies the current time.
        rng: Random source that spreads writes and retries.
        on_change: Called after the copy of the document has changed.
        on_ownership_lost: Called when a commit shows that the ownership is
            lost.
    """

    def __init__(
        self,
        store_client: store.Store,
        pool: pool_module.Pool,
        claim: claims.Claim,
        clock: clock_module.Clock,
        rng: random.Random,
        on_change: Callable[[], None],
        on_ownership_lost: Callable[[], None],
    ) -> None:
        self._store = store_client
        self._pool = pool
        self._allocations = pool.allocations
        self._claim = claim
        self._clock = clock
        self._rng = rng
        self._on_change = on_change
        self._on_ownership_lost = on_ownership_lost
        self._needed = asyncio.Event()
        self._due = asyncio.Event()
        self._evaluated_ms = 0
        self._watched: ids.Revision | None = None
        self._is_uncertain = False
        self._writes_ms: collections.deque[int] = collections.deque(
            maxlen=_MAX_WRITES
        )
        self._attempts_ms: collections.deque[int] = collections.deque(
            maxlen=_MAX_ATTEMPTS
        )

    def schedule_update(self) -> None:
        """Schedule an evaluation if any organisation with a limit has work."""
        if not self._allocations.needed():
            self._needed.clear()
            return
        self._needed.set()
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._evaluated_ms >= _EVALUATION_INTERVAL_MS:
            self._due.set()

    def clear_metrics(self) -> None:
        """Remove the pool's metrics when this process no longer owns it."""
        prometheus_metrics.clear_allocations(self._pool.pool)

    async def follow(self) -> None:
        """Keep the copy of the document up to date until cancelled."""
        backoff = follower.Backoff(self._rng)
        while True:
            await self._needed.wait()
            if await self._update():
                backoff.reset()
                await asyncio.sleep(_WATCH_PAUSE_MS / 1_000)
            else:
                await backoff.wait()

    async def run(self) -> None:
        """Store changes of the pool's entries until cancelled."""
        backoff = follower.Backoff(self._rng)
        while True:
            await self._due.wait()
            if self._is_uncertain and not await self._read_back():
                await backoff.wait()
                continue
            backoff.reset()
            await self._await_turn()
            self._due.clear()
            self._evaluated_ms = self._clock.monotonic_ms()
            expected = self._allocations.revision
            proposal = self._allocations.propose()
            if proposal is None or expected is None:
                self._report_metrics()
                continue
            if await self._write(proposal, expected):
                self._report_metrics()
            else:
                self._due.set()
            await self._sleep_ms(self._rng.uniform(0, _JITTER_MS))

    async def _update(self) -> bool:
        if self._watched is None:
            result = await self._store.read(keys.ALLOCATIONS)
        else:
            result = await self._store.watch(
                keys.ALLOCATIONS, self._watched, _WATCH_WAIT_MS
            )
        if result.is_error():
            if result.error.reason == store.HISTORY_LOST:
                self._watched = None
            return False
        is_full_read = self._watched is None
        self._watched = result.ok.revision
        items = [i for i in result.ok.items if i.key == keys.ALLOCATIONS]
        if is_full_read and not items:
            self._apply_absent()
        for item in items:
            self._apply(item)
        return True

    async def _await_turn(self) -> None:
        earliest_ms = 0
        if len(self._writes_ms) == _MAX_WRITES:
            earliest_ms = self._writes_ms[0] + _WRITE_PERIOD_MS
        if len(self._attempts_ms) == _MAX_ATTEMPTS:
            earliest_ms = max(
                earliest_ms, self._attempts_ms[0] + _ATTEMPT_PERIOD_MS
            )
        wait_ms = earliest_ms - self._clock.monotonic_ms()
        if wait_ms > 0:
            await self._sleep_ms(wait_ms)

    async def _write(
        self, proposal: allocation.Document, revision: ids.Revision
    ) -> bool:
        expected = self._claim.preconditions()
        expected[keys.ALLOCATIONS] = revision
        before = self._allocations.document
        now_ms = self._clock.monotonic_ms()
        self._attempts_ms.append(now_ms)
        result = await self._store.commit(
            store.Transaction(
                expected,
                (store.Write(keys.ALLOCATIONS, allocation.encode(proposal)),),
            )
        )
        if result.is_ok():
            self._writes_ms.append(now_ms)
            self._allocations.load(proposal, result.ok)
            self._log_changes(before, proposal, result.ok)
            self._on_change()
            return True
        match result.error:
            case store.PreconditionFailed(items=items):
                self._handle_conflict(items)
            case error:
                self._writes_ms.append(now_ms)
                events.emit(
                    events.Event.ALLOCATION_UNCERTAIN,
                    pool=self._pool.pool,
                    revision=revision,
                    reason=str(error),
                )
                self._is_uncertain = True
        return False

    async def _read_back(self) -> bool:
        # The write may have been applied. If the revision is unchanged, it may
        # still be applied, until another write at this revision succeeds.
        # Nothing else is proposed before the store answers, because each
        # proposal can only reduce what may be used until then.
        result = await self._store.read_key(keys.ALLOCATIONS)
        if result.is_error():
            return False
        self._is_uncertain = False
        if result.ok is None:
            self._apply_absent()
        else:
            self._apply(result.ok)
        return True

    def _handle_conflict(self, items: tuple[store.Item, ...]) -> None:
        for item in items:
            if item.key == keys.ALLOCATIONS:
                self._apply(item)
            elif item.revision != self._claim.revision:
                self._on_ownership_lost()

    def _apply_absent(self) -> None:
        self._allocations.load(allocation.Document(), store.ABSENT)
        self._due.set()

    def _apply(self, item: store.Item) -> None:
        if item.value is None:
            self._apply_absent()
            return
        document = stored_state.decode_or_log(
            item.key, item.value, allocation.decode
        )
        if document is None:
            self._allocations.discard_copy()
            return
        self._allocations.load(document, item.revision)
        self._due.set()
        self._on_change()

    def _log_changes(
        self,
        before: allocation.Document,
        after: allocation.Document,
        revision: ids.Revision,
    ) -> None:
        pool = self._pool.pool
        for organisation, entries in after.entries.items():
            old = before.entries.get(organisation, {}).get(pool)
            new = entries.get(pool)
            if old == new:
                continue
            events.emit(
                events.Event.ALLOCATION_CHANGED,
                organisation=organisation,
                pool=pool,
                allocation=new.allocation if new else None,
                previous=old.allocation if old else None,
                demand=new.demand if new else None,
                limit=after.limits[organisation].amounts,
                allocated=after.allocated(organisation),
                revision=revision,
                epoch=self._claim.epoch,
            )

    def _report_metrics(self) -> None:
        allocations = self._allocations
        pool = self._pool.pool
        for organisation, limit in allocations.limits.items():
            entry = allocations.document.entries.get(organisation, {}).get(pool)
            if entry is None:
                continue
            rows = zip(
                allocation.Amounts._fields,
                limit.amounts,
                entry.allocation,
                entry.demand,
                strict=True,
            )
            for resource, limited, allocated, demand in rows:
                if limited:
                    prometheus_metrics.set_allocation(
                        pool, organisation, resource, allocated, demand
                    )

    async def _sleep_ms(self, delay_ms: float) -> None:
        await asyncio.sleep(delay_ms / 1_000)
