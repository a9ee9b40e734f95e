"""Jobs of a pool that its owner finds in the store.

They are those of previous owners, and those that frontends store themselves
while they cannot reach the owner. What a later owner has stored shows that the
pool is lost.
"""

from collections.abc import Callable

from expression import Error
from expression import Ok
from expression import Result

from wagtailtiller import clock as clock_module
from wagtailtiller import errors
from wagtailtiller import events
from wagtailtiller import keys
from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import model
from wagtailtiller.jobs import record
from wagtailtiller.owner import job_writer as job_writer_module
from wagtailtiller.owner import queue_pools
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import store
from wagtailtiller.scheduling import pool as pool_module
from wagtailtiller.scheduling import state


class StoredJobs:
    """Adds stored jobs to a pool.

    Args:
        store_client: Client of the store that holds the jobs.
        pool: Pool whose jobs are read.
        writer: Writer of the pool's jobs.
        clock: Clock that supplies the current time.
        on_read: Called after a job has been found that may start once the
            ownership of the pool is proven for later.
        on_later_owner: Called with a reason when a job shows that the pool has
            a later owner.
        known_pools: The pools in which each queue has had jobs.
    """

    def __init__(
        self,
        store_client: store.KeyReader,
        pool: pool_module.Pool,
        writer: job_writer_module.JobWriter,
        clock: clock_module.Clock,
        on_read: Callable[[], None],
        on_later_owner: Callable[[str], None],
        known_pools: queue_pools.QueuePools,
    ) -> None:
        self._queue_pools = known_pools
        self._store = store_client
        self._pool = pool
        self._job_writer = writer
        self._clock = clock
        self._on_read = on_read
        self._on_later_owner = on_later_owner

    async def find(
        self, job: model.JobId
    ) -> Result[bool, errors.StoreUnavailable]:
        """Look a job up, and add it to the pool if it is stored.

        Args:
            job: Id of the job.

        Returns:
            Whether the job is stored, or the error if the store does not
            respond.
        """
        result = await self._store.read_key(keys.job(self._pool.pool, job))
        if result.is_error():
            return Error(result.error)
        if result.ok is not None:
            self.update([result.ok])
        return Ok(result.ok is not None)

    async def find_in_other_pools(
        self, address: catalogue.QueueAddress, job: model.JobId
    ) -> Result[job_module.Job | None, errors.StoreUnavailable]:
        """Look a job up in the other pools that its queue has had.

        Args:
            address: Address of the job's queue.
            job: Id of the job.

        Returns:
            The job as it is stored, or None if it is in none of them; the error
            if the store does not respond or the job cannot be decoded.
        """
        for pool in self._queue_pools.other_pools(address, self._pool.pool):
            result = await self._store.read_key(keys.job(pool, job))
            if result.is_error():
                return Error(result.error)
            if result.ok is None or result.ok.value is None:
                continue
            decoded = record.decode(result.ok.value)
            if decoded.is_error():
                return Error(errors.StoreUnavailable(str(decoded.error)))
            return Ok(decoded.ok)
        return Ok(None)

    def restore(self, item: store.Item) -> None:
        """Add a job of a previous owner, unless it is known.

        Args:
            item: The job as it is stored.
        """
        if keys.read_job(item.key) is None:
            return
        job = self._decode(item)
        if job is None or job.id in self._pool.entries:
            return
        events.emit(
            events.Event.JOB_RESTORED,
            job=job.id,
            revision=item.revision,
            state=job.state.value,
            done_tasks=sum(1 for _ in job.done_tasks()),
            accepted_epoch=job.accepted_epoch,
            epoch=self._pool.epoch,
        )
        self._job_writer.revisions[job.id] = item.revision
        self._pool.jobs.add(job, inherited=True, stored_state=job.state)

    def update(self, items: list[store.Item]) -> None:
        """Apply what the store shows of jobs while the pool is owned.

        Args:
            items: Stored jobs; deleted ones are ignored.
        """
        for item in items:
            if item.value is not None:
                self._update(item)

    def _update(self, item: store.Item) -> None:
        named = keys.read_job(item.key)
        if named is None:
            # An earlier version stored it for another pool.
            return
        _, job = named
        entry = self._pool.entries.get(job)
        if entry is None:
            self.restore(item)
            self._start_once_owned(job)
        elif entry.stored_state is None:
            self._confirm_stored(entry, item)
            self._start_once_owned(job)
        elif not self._job_writer.is_own_write(job, item.revision):
            # Only owners change stored jobs.
            self._on_later_owner("later_write")

    def _decode(self, item: store.Item) -> job_module.Job | None:
        """Decode a stored job; None if this owner may not run it."""
        decoded = record.decode(item.value or b"")
        if decoded.is_error():
            events.emit(
                events.Event.STATE_UNREADABLE,
                key=item.key,
                reason=str(decoded.error),
            )
            return None
        if decoded.ok.accepted_epoch > self._pool.epoch:
            # The later owner starts it without waiting for this one.
            self._on_later_owner("later_epoch")
            return None
        return decoded.ok

    def _confirm_stored(self, entry: state.JobEntry, item: store.Item) -> None:
        """Record that another process has stored a job of this owner.

        Otherwise the owner would drop the job if its own first write failed.
        """
        job = self._decode(item)
        if job is None:
            return
        self._job_writer.revisions[entry.job.id] = item.revision
        entry.stored_state = model.JobState.QUEUED
        entry.inherited = True
        if job.is_withdrawn:
            self._pool.jobs.cancel(entry.job.id)

    def _start_once_owned(self, job: model.JobId) -> None:
        """Let a job start once it is known that nobody else owned the pool."""
        entry = self._pool.entries.get(job)
        if entry is not None:
            entry.read_ms = self._clock.monotonic_ms()
            self._on_read()
