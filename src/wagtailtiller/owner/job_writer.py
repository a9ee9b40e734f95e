"""Group commit of a pool's changed jobs to the store.

The preconditions of each write are the unchanged owner key and the job's own
revision. Therefore neither a previous owner nor a transaction that is applied
late can overwrite a newer state.
"""

import asyncio
from collections.abc import Iterable
import enum

from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller.jobs import model
from wagtailtiller.jobs import record
from wagtailtiller.owner import queue_pools
from wagtailtiller.ownership import claims
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import store
from wagtailtiller.scheduling import pool as pool_module
from wagtailtiller.scheduling import state

# The owner key takes one precondition.
_MAX_BATCH_ENTRIES = store.MAX_TRANSACTION_ENTRIES - 1
# A precondition and a write.
_JOB_ENTRIES = 2
_BATCH_DELAY_MS = 12


class WriteOutcome(enum.Enum):
    """Outcome of a job's write."""

    STORED = "stored"
    NOT_STORED = "not_stored"
    OWNERSHIP_LOST = "deposed"
    IN_OTHER_POOL = "in_other_pool"


class Flush:
    """The writes of all jobs that had changed when the flush began.

    A completed flush lets the caller acknowledge the ended runs that it covers,
    which the VMs then discard. A previous owner cannot store these runs, so its
    flush never completes, even if nothing is left to write.

    Args:
        writes: Futures of the writes.
        ownership_lost: Set when the ownership is lost.
    """

    def __init__(
        self,
        writes: "set[asyncio.Future[WriteOutcome]]",
        ownership_lost: asyncio.Event,
    ) -> None:
        self._writes = writes
        self._ownership_lost = ownership_lost

    async def wait(self, timeout_ms: int) -> bool:
        """Wait until all writes are stored; may be called again.

        Args:
            timeout_ms: Longest time to wait.

        Returns:
            Whether all changes were stored in time, under this ownership.
        """
        if self._writes and not self._ownership_lost.is_set():
            _, self._writes = await asyncio.wait(
                self._writes, timeout=timeout_ms / 1_000
            )
        return not self._writes and not self._ownership_lost.is_set()


class JobWriter:
    """Writes changed jobs of one pool in batches.

    Args:
        store_client: Client of the store that holds the jobs.
        pool: Pool whose jobs are written.
        claim: Claim under which the jobs are written.
        backoff: Delays between retries.
        known_pools: The pools in which each queue has had jobs.

    Attributes:
        revisions: Last known store revision of each job.
        committed_revision: Revision of the latest commit.
        ownership_lost: Set when the ownership is lost or the writer is stopped.
    """

    def __init__(
        self,
        store_client: store.Store,
        pool: pool_module.Pool,
        claim: claims.Claim,
        backoff: follower.Backoff,
        known_pools: queue_pools.QueuePools | None = None,
    ) -> None:
        self._queue_pools = known_pools or queue_pools.QueuePools()
        self.revisions: dict[model.JobId, ids.Revision] = {}
        self.committed_revision = store.ABSENT
        self._store = store_client
        self._pool = pool
        self._claim = claim
        self._backoff = backoff
        self._pending: dict[model.JobId, asyncio.Future[WriteOutcome]] = {}
        self._committing: dict[model.JobId, asyncio.Future[WriteOutcome]] = {}
        self._unknown_outcome: set[model.JobId] = set()
        self._wake = asyncio.Event()
        self.ownership_lost = asyncio.Event()

    def write(self, job: model.JobId) -> "asyncio.Future[WriteOutcome]":
        """Schedule a job for the next batch.

        Args:
            job: Id of the job. The state that the job has at the time of the
                commit is written.

        Returns:
            A future of the outcome.
        """
        future = self._pending.get(job)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._pending[job] = future
        self._wake.set()
        return future

    def begin_flush(self) -> "Flush":
        """Schedule the writes of all changed jobs.

        Returns:
            The flush, which includes writes that are already in progress.
        """
        jobs, self._pool.changed = self._pool.changed, set()
        for job in jobs:
            self.write(job)
        return Flush(
            {*self._pending.values(), *self._committing.values()},
            self.ownership_lost,
        )

    async def run(self) -> None:
        """Commit batches until the ownership is lost."""
        while not self.ownership_lost.is_set():
            await self._wake.wait()
            await asyncio.sleep(_BATCH_DELAY_MS / 1_000)
            batch = self._take_batch()
            if not self._pending:
                self._wake.clear()
            if batch:
                self._committing = batch
                await self._commit(batch)
                self._committing = {}

    def _take_batch(self) -> "dict[model.JobId, asyncio.Future[WriteOutcome]]":
        """Remove and return as many pending jobs as one transaction holds."""
        batch: dict[model.JobId, asyncio.Future[WriteOutcome]] = {}
        addresses: set[catalogue.QueueAddress] = set()
        free_entries = _MAX_BATCH_ENTRIES
        for job in list(self._pending):
            free_entries -= _JOB_ENTRIES
            new = self._new_entry(job)
            if new is not None:
                address = new.job.address
                free_entries -= self._creation_entries(address, addresses)
                addresses.add(address)
            if batch and free_entries < 0:
                break
            batch[job] = self._pending.pop(job)
        return batch

    def _creation_entries(
        self,
        address: catalogue.QueueAddress,
        known: set[catalogue.QueueAddress],
    ) -> int:
        """Return how many more entries the creation of a job takes.

        Args:
            address: Address of the job's queue.
            known: Those of other jobs that the transaction creates.
        """
        pool = self._pool.pool
        entries = len(self._queue_pools.other_pools(address, pool))
        if address not in known:
            # A list that is written is a precondition, too.
            entries += 1 + 2 * len(self._queue_pools.writes(address, pool))
        return entries

    def _new_entry(self, job: model.JobId) -> state.JobEntry | None:
        """Return the entry of a job that is to be created in the store."""
        entry = self._pool.entries.get(job)
        if self.revisions.get(job, store.ABSENT) != store.ABSENT:
            return None
        return entry

    def is_own_write(self, job: model.JobId, revision: ids.Revision) -> bool:
        """Return whether a stored job may be as this owner has written it.

        Args:
            job: Id of a job that this owner has read or written before.
            revision: Revision that the store shows of it.
        """
        return (
            revision <= self.revisions.get(job, store.ABSENT)
            or job in self._committing
            or job in self._unknown_outcome
        )

    def stop(self) -> None:
        """Stop writing; all open writes resolve to ``OWNERSHIP_LOST``."""
        self.ownership_lost.set()
        _resolve(
            [*self._committing.values(), *self._pending.values()],
            WriteOutcome.OWNERSHIP_LOST,
        )
        self._pending.clear()
        self._wake.set()

    async def _commit(
        self, batch: "dict[model.JobId, asyncio.Future[WriteOutcome]]"
    ) -> None:
        entries = {
            job: self._pool.entries[job]
            for job in batch
            if job in self._pool.entries
        }
        states = {job: entry.job.state for job, entry in entries.items()}
        expected = self._claim.preconditions()
        writes = []
        lists: dict[str, store.Write] = {}
        for job, entry in entries.items():
            key = keys.job(self._pool.pool, job)
            expected[key] = self.revisions.get(job, store.ABSENT)
            writes.append(store.Write(key, record.encode(entry.job)))
            if self._new_entry(job) is not None:
                address = entry.job.address
                expected |= self._queue_pools.preconditions(
                    address, self._pool.pool, job
                )
                lists.update(
                    (write.key, write)
                    for write in self._queue_pools.writes(
                        address, self._pool.pool
                    )
                )
        result = await self._store.commit(
            store.Transaction(expected, (*writes, *lists.values()))
        )
        if result.is_ok():
            self.committed_revision = result.ok
            for write in lists.values():
                self._queue_pools.update(
                    store.Item(write.key, write.value, result.ok)
                )
            for job, entry in entries.items():
                self.revisions[job] = result.ok
                entry.stored_state = states[job]
                self._unknown_outcome.discard(job)
            _resolve(batch.values(), WriteOutcome.STORED)
            self._backoff.reset()
            return
        match result.error:
            case store.PreconditionFailed(items=items):
                self._handle_conflict(items, batch)
            case store.LeaseLapsed():
                self._handle_ownership_loss(batch)
            case unavailable:
                # The store may refuse this batch for good.
                self._requeue(batch, unavailable.may_apply, keep_turn=False)
                await self._backoff.wait()

    def _handle_conflict(
        self,
        items: tuple[store.Item, ...],
        batch: "dict[model.JobId, asyncio.Future[WriteOutcome]]",
    ) -> None:
        item_by_key = {item.key: item for item in items}
        owner_key = keys.owner(self._claim.shard)
        owner = item_by_key.get(owner_key)
        if owner is not None and owner.revision != self._claim.revision:
            self._handle_ownership_loss(batch)
            return
        self._drop_jobs_of_other_pools(items, batch)
        for job in batch:
            item = item_by_key.get(keys.job(self._pool.pool, job))
            if item is None:
                continue
            if item.revision != self.revisions.get(job, store.ABSENT):
                events.emit(
                    events.Event.JOB_REVISION_CORRECTED,
                    job=job,
                    revision=item.revision,
                )
                self._adopt_stored(job, item)
        # With the corrected revisions the batch succeeds, unless another
        # process writes one of its jobs again. Behind all pending jobs, new
        # conflicts could delay it again and again.
        self._requeue(batch, True, keep_turn=True)

    def _drop_jobs_of_other_pools(
        self,
        items: tuple[store.Item, ...],
        batch: "dict[model.JobId, asyncio.Future[WriteOutcome]]",
    ) -> None:
        """Drop jobs that were accepted before their queue came to this pool."""
        for job in list(batch):
            entry = self._new_entry(job)
            if entry is None:
                continue
            found = self._queue_pools.find_elsewhere(
                items, entry.job.address, self._pool.pool, job
            )
            if found is None:
                continue
            events.emit(
                events.Event.JOB_IN_OTHER_POOL,
                job=job,
                pool=self._pool.pool,
                key=found.key,
                revision=found.revision,
            )
            self._pool.jobs.remove(job)
            self._unknown_outcome.discard(job)
            futures = [batch.pop(job)]
            if job in self._pending:
                futures.append(self._pending.pop(job))
            _resolve(futures, WriteOutcome.IN_OTHER_POOL)

    def _adopt_stored(self, job: model.JobId, item: store.Item) -> None:
        # The stored item is either an own write whose response was lost, or
        # was written by another process.
        self.revisions[job] = item.revision
        entry = self._pool.entries.get(job)
        if entry is None or item.value is None:
            return
        if entry.stored_state is None:
            # A previous owner may have read the job and started its tasks.
            entry.inherited = True
        stored = record.decode(item.value)
        if stored.is_error():
            return
        if stored.ok.state is model.JobState.CANCELLED:
            self._pool.jobs.cancel(job)

    def _requeue(
        self,
        batch: "dict[model.JobId, asyncio.Future[WriteOutcome]]",
        may_apply: bool,
        keep_turn: bool,
    ) -> None:
        if self.ownership_lost.is_set():
            return
        retried: dict[model.JobId, asyncio.Future[WriteOutcome]] = {}
        for job, future in batch.items():
            entry = self._pool.entries.get(job)
            if may_apply:
                self._unknown_outcome.add(job)
            is_new = entry is not None and entry.stored_state is None
            newer = self._pending.pop(job, None)
            if newer is not None:
                _forward_outcome(newer, future)
            if is_new and job not in self._unknown_outcome:
                self._pool.jobs.remove(job)
                (newer or future).set_result(WriteOutcome.NOT_STORED)
                continue
            retried[job] = newer or future
        if keep_turn:
            self._pending = {**retried, **self._pending}
        else:
            self._pending.update(retried)
        if self._pending:
            self._wake.set()

    def _handle_ownership_loss(
        self, batch: "dict[model.JobId, asyncio.Future[WriteOutcome]]"
    ) -> None:
        _resolve(batch.values(), WriteOutcome.OWNERSHIP_LOST)
        self.stop()


def _resolve(
    writes: "Iterable[asyncio.Future[WriteOutcome]]", outcome: WriteOutcome
) -> None:
    for future in writes:
        if not future.done():
            future.set_result(outcome)


def _forward_outcome(
    source: "asyncio.Future[WriteOutcome]",
    target: "asyncio.Future[WriteOutcome]",
) -> None:
    def forward(done: "asyncio.Future[WriteOutcome]") -> None:
        if not target.done() and not done.cancelled():
            target.set_result(done.result())

    source.add_done_callback(forward)
