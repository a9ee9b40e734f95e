"""Stores and reads jobs on behalf of owners that do not answer."""

import enum

from wagtailtiller import clock as clock_module
from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller.entry import outcomes
from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import record
from wagtailtiller.owner import messages
from wagtailtiller.owner import queue_pools
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import store

# The epoch of a job that is stored without an owner.
_NO_EPOCH = 0


class StoreResult(enum.Enum):
    """Whether a job is in the store after an attempt to write it.

    ``WITHDRAWN`` means that a record prevents that it is stored.
    """

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"
    OTHER_JOB = "other_job"
    WITHDRAWN = "withdrawn"


class JobStore:
    """The stored jobs, as a frontend uses them without an owner.

    Args:
        store_client: Client of the store.
        clock: Clock that supplies the current time.
        known_pools: The pools in which each queue has had jobs.
    """

    def __init__(
        self,
        store_client: store.Committer,
        clock: clock_module.Clock,
        known_pools: queue_pools.QueuePools,
    ) -> None:
        self._store = store_client
        self._clock = clock
        self._queue_pools = known_pools

    async def add(self, request: messages.Submit) -> StoreResult:
        """Store a job whose pool has no reachable owner.

        The owner or its successor finds the job in the store.

        Args:
            request: The job and its caller.
        """
        new_job = job_module.Job(
            request.job,
            request.queue,
            request.spec,
            self._clock.wall_ms(),
            _NO_EPOCH,
            request.organisation,
            request.terms,
            request.path,
        )
        return await self._create(new_job, request.pool)

    async def withdraw(
        self, request: messages.Cancel, address: catalogue.QueueAddress
    ) -> StoreResult:
        """Prevent that a job which is not stored is stored later.

        A request to store it may still be under way. It expects that the store
        has no record of the job, and this one is such a record. The pool's
        owner removes it like that of a job that has ended.

        Args:
            request: The cancellation.
            address: Address of the job's queue.

        Returns:
            ``WITHDRAWN`` if such a record is stored; ``YES`` if the job is.
        """
        withdrawn = job_module.withdrawn(
            request.job, address, self._clock.wall_ms(), request.organisation
        )
        return await self._create(withdrawn, request.pool)

    async def _create(
        self, new_job: job_module.Job, pool: ids.PoolId
    ) -> StoreResult:
        """Store a job in a pool, unless a pool of its queue has it."""
        key = keys.job(pool, new_job.id)
        write = store.Write(key, record.encode(new_job))
        expected = self._queue_pools.preconditions(
            new_job.address, pool, new_job.id
        )
        result = await self._store.commit(
            store.Transaction(
                {key: store.ABSENT, **expected},
                (write, *self._queue_pools.writes(new_job.address, pool)),
            )
        )
        if result.is_ok():
            return _result_of(new_job)
        match result.error:
            case store.PreconditionFailed(items=items):
                return self._compare_stored(new_job, pool, items)
            case errors.StoreUnavailable(may_apply=False):
                return StoreResult.NO
            case _:
                return StoreResult.UNKNOWN

    def _compare_stored(
        self,
        new_job: job_module.Job,
        pool: ids.PoolId,
        items: tuple[store.Item, ...],
    ) -> StoreResult:
        """Tell whether the job that is stored is the caller's own.

        Args:
            new_job: The job that was to be stored.
            pool: Pool in which it was to be stored.
            items: Items that the refused precondition has returned.
        """
        found = self._queue_pools.find_elsewhere(
            items, new_job.address, pool, new_job.id
        )
        own_key = keys.job(pool, new_job.id)
        for item in items:
            if item.key == own_key and item.value is not None:
                found = item
        if found is None:
            # The list of the queue's pools has changed; the caller tries again.
            return StoreResult.UNKNOWN
        decoded = record.decode(found.value or b"")
        if decoded.is_error():
            return StoreResult.UNKNOWN
        if decoded.ok.organisation != new_job.organisation:
            return StoreResult.OTHER_JOB
        return _result_of(decoded.ok)

    async def state(
        self, request: messages.AskState | messages.Cancel
    ) -> outcomes.Outcome | None:
        """Return the stored state of a job, as its caller may see it.

        Args:
            request: The job and its caller.

        Returns:
            ``JobStatus`` or ``NoSuchJob``; None if the store does not tell.
        """
        result = await self._store.read_key(keys.job(request.pool, request.job))
        if result.is_error():
            return None
        if result.ok is None or result.ok.value is None:
            return outcomes.NoSuchJob()
        decoded = record.decode(result.ok.value)
        if decoded.is_error():
            return None
        hidden = decoded.ok.organisation != request.organisation
        if hidden or decoded.ok.is_withdrawn:
            return outcomes.NoSuchJob()
        return outcomes.JobStatus(decoded.ok.state)


def _result_of(stored: job_module.Job) -> StoreResult:
    return StoreResult.WITHDRAWN if stored.is_withdrawn else StoreResult.YES
