"""Stores and reads jobs on behalf of owners that do not answer."""

import enum

from wagtailtiller import clock as clock_module
from wagtailtiller import errors
from wagtailtiller import keys
from wagtailtiller.entry import outcomes
from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import record
from wagtailtiller.owner import messages
from wagtailtiller.ports import store

# The epoch of a job that is stored without an owner.
_NO_EPOCH = 0


class StoreResult(enum.Enum):
    """Whether a job is in the store after an attempt to write it."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"
    OTHER_JOB = "other_job"


class JobStore:
    """The stored jobs, as a frontend uses them without an owner.

    Args:
        store_client: Client of the store.
        clock: Clock that supplies the current time.
    """

    def __init__(
        self, store_client: store.Store, clock: clock_module.Clock
    ) -> None:
        self._store = store_client
        self._clock = clock

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
        )
        key = keys.job(request.pool, request.job)
        write = store.Write(key, record.encode(new_job))
        result = await self._store.commit(
            store.Transaction({key: store.ABSENT}, (write,))
        )
        if result.is_ok():
            return StoreResult.YES
        match result.error:
            case store.PreconditionFailed():
                return await self._compare_stored(request)
            case errors.StoreUnavailable(may_apply=False):
                return StoreResult.NO
            case _:
                return StoreResult.UNKNOWN

    async def _compare_stored(self, request: messages.Submit) -> StoreResult:
        """Tell whether the job that is stored is the caller's own."""
        result = await self._store.read_key(keys.job(request.pool, request.job))
        if result.is_error() or result.ok is None:
            return StoreResult.UNKNOWN
        decoded = record.decode(result.ok.value or b"")
        if decoded.is_error():
            return StoreResult.UNKNOWN
        if decoded.ok.organisation != request.organisation:
            return StoreResult.OTHER_JOB
        return StoreResult.YES

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
        if decoded.ok.organisation != request.organisation:
            return outcomes.NoSuchJob()
        return outcomes.JobStatus(decoded.ok.state)
