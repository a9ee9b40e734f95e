"""Group commit of a pool's jobs into the store.

Every write expects the owner's key and the job's own revision unchanged, so
that neither a former owner nor a transaction that is carried out late can
undo a newer one.
"""

import asyncio
import enum

from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.jobs import record
from wagtailtiller.owner import keys
from wagtailtiller.ownership import claims
from wagtailtiller.ports import store
from wagtailtiller.scheduling import pool as pool_module

# Each job takes an expectation and a write; the owner's key takes one more.
_MOST_JOBS = (store.MOST_ENTRIES - 2) // 2
_GATHER_MS = 12


class Outcome(enum.Enum):
    """What became of a change."""

    STORED = "stored"
    NOT_STORED = "not_stored"
    DEPOSED = "deposed"


class Journal:
    """Writes changed jobs of one pool.

    Args:
        store_client: The store.
        pool: The pool.
        claim: The ownership under which it writes.
        backoff: The delays between failed calls.
    """

    def __init__(
        self,
        store_client: store.Store,
        pool: pool_module.Pool,
        claim: claims.Claim,
        backoff: follower.Backoff,
    ) -> None:
        self.revisions: dict[model.JobId, ids.Revision] = {}
        self._store = store_client
        self._pool = pool
        self._claim = claim
        self._backoff = backoff
        self._waiting: dict[model.JobId, asyncio.Future[Outcome]] = {}
        self._under_way: list[asyncio.Future[Outcome]] = []
        self._uncertain: set[model.JobId] = set()
        self._wake = asyncio.Event()
        self.deposed = asyncio.Event()

    def write(self, job: model.JobId) -> "asyncio.Future[Outcome]":
        """Write a job as it stands when the next commit begins."""
        future = self._waiting.get(job)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._waiting[job] = future
        self._wake.set()
        return future

    async def flush(self, timeout_ms: int) -> bool:
        """Write all changed jobs; say whether all were stored in time.

        A former owner stores nothing any more, so what it has learned must
        not be acknowledged to VMs.
        """
        if self.deposed.is_set():
            return False
        jobs, self._pool.changed = self._pool.changed, set()
        for job in jobs:
            self.write(job)
        futures = {*self._waiting.values(), *self._under_way}
        if not futures:
            return True
        _, pending = await asyncio.wait(futures, timeout=timeout_ms / 1_000)
        return not pending and not self.deposed.is_set()

    async def run(self) -> None:
        """Commit changes until the ownership is lost."""
        while not self.deposed.is_set():
            await self._wake.wait()
            await asyncio.sleep(_GATHER_MS / 1_000)
            batch = dict(list(self._waiting.items())[:_MOST_JOBS])
            for job in batch:
                del self._waiting[job]
            if not self._waiting:
                self._wake.clear()
            if batch:
                self._under_way = list(batch.values())
                await self._commit(batch)
                self._under_way = []

    def stop(self) -> None:
        """Answer all that wait; nothing more is written."""
        self.deposed.set()
        for future in self._waiting.values():
            if not future.done():
                future.set_result(Outcome.DEPOSED)
        self._waiting.clear()
        self._wake.set()

    async def _commit(
        self, batch: "dict[model.JobId, asyncio.Future[Outcome]]"
    ) -> None:
        entries = {
            job: self._pool.entries[job]
            for job in batch
            if job in self._pool.entries
        }
        states = {job: entry.job.state for job, entry in entries.items()}
        expected = self._claim.expectation()
        writes = []
        for job, entry in entries.items():
            key = keys.job(self._pool.pool, job)
            expected[key] = self.revisions.get(job, store.ABSENT)
            writes.append(store.Write(key, record.encode(entry.job)))
        answer = await self._store.commit(
            store.Transaction(expected, tuple(writes))
        )
        if answer.is_ok():
            for job, entry in entries.items():
                self.revisions[job] = answer.ok
                entry.stored_state = states[job]
                self._uncertain.discard(job)
            _resolve(batch, Outcome.STORED)
            self._backoff.reset()
            return
        match answer.error:
            case store.PreconditionFailed(items=items):
                self._correct(items, batch)
            case store.LeaseLapsed():
                self._lose(batch)
            case unavailable:
                self._postpone(batch, unavailable.may_apply)
                await self._backoff.wait()

    def _correct(
        self,
        items: tuple[store.Item, ...],
        batch: "dict[model.JobId, asyncio.Future[Outcome]]",
    ) -> None:
        found = {item.key: item for item in items}
        owner_key = keys.owner(self._claim.shard)
        owner = found.get(owner_key)
        if owner is not None and owner.revision != self._claim.revision:
            self._lose(batch)
            return
        for job in batch:
            item = found.get(keys.job(self._pool.pool, job))
            if item is None:
                continue
            if item.revision != self.revisions.get(job, store.ABSENT):
                events.emit(
                    events.Event.JOB_REVISION_CORRECTED,
                    job=job,
                    revision=item.revision,
                )
                self._take_over(job, item)
        self._postpone(batch, True)

    def _take_over(self, job: model.JobId, item: store.Item) -> None:
        # An own write whose answer was lost, or one by another process.
        self.revisions[job] = item.revision
        entry = self._pool.entries.get(job)
        if entry is None or item.value is None:
            return
        stored = record.decode(item.value)
        if stored.is_error():
            return
        if stored.ok.state is model.JobState.CANCELLED:
            self._pool.jobs.cancel(job)

    def _postpone(
        self,
        batch: "dict[model.JobId, asyncio.Future[Outcome]]",
        may_apply: bool,
    ) -> None:
        for job, future in batch.items():
            entry = self._pool.entries.get(job)
            if may_apply:
                self._uncertain.add(job)
            is_new = entry is not None and entry.stored_state is None
            if is_new and job not in self._uncertain:
                self._pool.jobs.drop(job)
                future.set_result(Outcome.NOT_STORED)
                continue
            newer = self._waiting.get(job)
            if newer is None:
                self._waiting[job] = future
            else:
                _chain(newer, future)
        if self._waiting:
            self._wake.set()

    def _lose(
        self, batch: "dict[model.JobId, asyncio.Future[Outcome]]"
    ) -> None:
        _resolve(batch, Outcome.DEPOSED)
        self.stop()


def _resolve(
    batch: "dict[model.JobId, asyncio.Future[Outcome]]", outcome: Outcome
) -> None:
    for future in batch.values():
        if not future.done():
            future.set_result(outcome)


def _chain(
    source: "asyncio.Future[Outcome]", target: "asyncio.Future[Outcome]"
) -> None:
    def copy(done: "asyncio.Future[Outcome]") -> None:
        if not target.done() and not done.cancelled():
            target.set_result(done.result())

    source.add_done_callback(copy)
