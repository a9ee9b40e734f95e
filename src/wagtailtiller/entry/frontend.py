"""The callers' side: routes a request to the owner of its pool."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
from typing import Protocol

from wagtailtiller import clock as clock_module
from wagtailtiller import errors
from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller.entry import outcomes
from wagtailtiller.entry import peers
from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import model
from wagtailtiller.jobs import record
from wagtailtiller.owner import keys
from wagtailtiller.owner import messages
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import store
from wagtailtiller.scheduling import admission

_ASK_TIMEOUT_MS = 700
_RETRY_INTERVAL_MS = 60
# Kept back from a caller's time, so that the answer still reaches it.
_RESPONSE_MARGIN_MS = 150
_NO_OWNER_RETRY_MS = 1_000
_ToOutcome = Callable[
    [messages.Answer | None], Awaitable[outcomes.Outcome | None]
]
# Jobs that no owner has accepted carry no owner's epoch.
_NO_EPOCH = 0


@dataclasses.dataclass
class _Trial:
    """A job that is being handed over.

    Attributes:
        deadline_ms: When the caller's time ends, on our clock.
        uncertain: An attempt may have stored the job, or still may.
    """

    deadline_ms: int
    uncertain: bool = False


class _StoreResult(enum.Enum):
    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class Directory(Protocol):
    """What the front needs to know of the rest of the system."""

    def catalogue(self) -> catalogue.Catalogue | None:
        """Return the operators' declarations; None before the first."""

    def owner_address(self, pool: ids.PoolId) -> str | None:
        """Return where a pool's owner listens; None if there is none."""

    async def ask_local(self, request: messages.Request) -> messages.Answer:
        """Ask this very process."""

    def own_address(self) -> str:
        """Return where this process listens for others."""

    def store_answers(self) -> bool:
        """Return whether the store has answered this process of late."""


class Frontend:
    """Serves callers.

    Args:
        directory: What is known of the rest of the system.
        peer_client: Asks the other processes.
        store_client: The store.
        clock: The time.
    """

    def __init__(
        self,
        directory: Directory,
        peer_client: peers.Peers,
        store_client: store.Store,
        clock: clock_module.Clock,
    ) -> None:
        self._directory = directory
        self._peers = peer_client
        self._store = store_client
        self._clock = clock

    def route(self, host: str, path: str) -> catalogue.Queue | outcomes.Outcome:
        """Find the queue that a path belongs to."""
        current = self._directory.catalogue()
        if current is None:
            return outcomes.Refused(
                admission.RefusalReason.NO_CONFIGURATION, _NO_OWNER_RETRY_MS
            )
        return current.route(host, path) or outcomes.NoSuchQueue()

    async def submit(
        self,
        queue: catalogue.Queue,
        job: model.JobId,
        spec: model.JobSpec,
        timeout_ms: int,
    ) -> outcomes.Outcome:
        """Hand a job to its pool's owner.

        Args:
            queue: Where it was sent.
            job: The caller's name for it.
            spec: What it consists of.
            timeout_ms: How long the caller waits.
        """
        request = messages.Submit(queue.pool, job, queue.queue, spec)
        started_ms = self._clock.monotonic_ms()
        submission = _Trial(started_ms + timeout_ms - _RESPONSE_MARGIN_MS)
        outcome = await self._submit_once(request, submission)
        while outcome is None:
            if self._clock.monotonic_ms() >= submission.deadline_ms:
                outcome = outcomes.Unknown()
                break
            await asyncio.sleep(_RETRY_INTERVAL_MS / 1_000)
            outcome = await self._submit_once(request, submission)
        self._log_submission(job, queue, outcome, started_ms)
        return outcome

    async def _submit_once(
        self, request: messages.Submit, submission: _Trial
    ) -> outcomes.Outcome | None:
        """Hand a job over once; None: not certain yet."""
        address = self._directory.owner_address(request.pool)
        answer = await self._ask(address, request, submission.deadline_ms)
        match answer:
            case messages.Accepted():
                return outcomes.Accepted()
            case messages.Rejected():
                if submission.uncertain:
                    return None
                return outcomes.Refused(answer.reason, answer.retry_after_ms)
            case messages.NotOwner():
                return None
            case messages.Unsure():
                submission.uncertain = True
                return None
            case _:
                submission.uncertain = (
                    submission.uncertain or address is not None
                )
                return await self._submit_to_store(request, submission)

    async def _submit_to_store(
        self, request: messages.Submit, submission: _Trial
    ) -> outcomes.Outcome | None:
        unavailable = outcomes.Refused(
            admission.RefusalReason.STORE_UNAVAILABLE, _NO_OWNER_RETRY_MS
        )
        if not self._directory.store_answers():
            return None if submission.uncertain else unavailable
        match await self._store_job(request):
            case _StoreResult.YES:
                return outcomes.Accepted()
            case _StoreResult.NO:
                return None if submission.uncertain else unavailable
            case _StoreResult.UNKNOWN:
                submission.uncertain = True
                return None

    async def state(
        self, queue: catalogue.Queue, job: model.JobId, timeout_ms: int
    ) -> outcomes.Outcome:
        """Say what a job has reached."""

        async def to_outcome(
            answer: messages.Answer | None,
        ) -> outcomes.Outcome | None:
            if isinstance(answer, messages.State) and answer.state:
                return outcomes.JobStatus(answer.state)
            return await self._stored_state(queue.pool, job)

        request = messages.AskState(queue.pool, job)
        return await self._ask_until_resolved(request, timeout_ms, to_outcome)

    async def cancel(
        self, queue: catalogue.Queue, job: model.JobId, timeout_ms: int
    ) -> outcomes.Outcome:
        """Cancel a job."""

        async def to_outcome(
            answer: messages.Answer | None,
        ) -> outcomes.Outcome | None:
            match answer:
                case messages.Accepted():
                    return outcomes.Accepted()
                case messages.State():
                    found = await self._stored_state(queue.pool, job)
                    missing = isinstance(found, outcomes.NoSuchJob)
                    return found if missing else None
                case _:
                    return None

        request = messages.Cancel(queue.pool, job)
        return await self._ask_until_resolved(request, timeout_ms, to_outcome)

    async def pending(
        self, queue: catalogue.Queue, timeout_ms: int
    ) -> outcomes.Outcome:
        """Say how many jobs of a queue have not started."""

        async def to_outcome(
            answer: messages.Answer | None,
        ) -> outcomes.Outcome | None:
            if isinstance(answer, messages.Pending):
                return outcomes.QueueStatus(answer.count)
            return None

        request = messages.AskPending(queue.pool, queue.queue)
        return await self._ask_until_resolved(request, timeout_ms, to_outcome)

    async def _ask_until_resolved(
        self, request: messages.Request, timeout_ms: int, to_outcome: _ToOutcome
    ) -> outcomes.Outcome:
        """Ask a pool's owner until an answer is good enough."""
        deadline_ms = (
            self._clock.monotonic_ms() + timeout_ms - _RESPONSE_MARGIN_MS
        )
        while True:
            address = self._directory.owner_address(request.pool)
            outcome = await to_outcome(
                await self._ask(address, request, deadline_ms)
            )
            if outcome is not None:
                return outcome
            if self._clock.monotonic_ms() >= deadline_ms:
                return outcomes.Unknown()
            await asyncio.sleep(_RETRY_INTERVAL_MS / 1_000)

    async def _store_job(self, request: messages.Submit) -> _StoreResult:
        """Store a job whose pool has no owner in reach.

        The owner, or the next one, finds it in the store.
        """
        new_job = job_module.Job(
            request.job,
            request.queue,
            request.spec,
            self._clock.wall_ms(),
            _NO_EPOCH,
        )
        key = keys.job(request.pool, request.job)
        write = store.Write(key, record.encode(new_job))
        answer = await self._store.commit(
            store.Transaction({key: store.ABSENT}, (write,))
        )
        if answer.is_ok():
            return _StoreResult.YES
        match answer.error:
            case store.PreconditionFailed():
                return _StoreResult.YES
            case errors.StoreUnavailable(may_apply=False):
                return _StoreResult.NO
            case _:
                return _StoreResult.UNKNOWN

    async def _ask(
        self, address: str | None, request: messages.Request, deadline_ms: int
    ) -> messages.Answer | None:
        if address is None:
            return None
        if address == self._directory.own_address():
            return await self._directory.ask_local(request)
        time_left_ms = max(50, deadline_ms - self._clock.monotonic_ms())
        return await self._peers.ask(
            address, request, min(_ASK_TIMEOUT_MS, time_left_ms)
        )

    async def _stored_state(
        self, pool: ids.PoolId, job: model.JobId
    ) -> outcomes.Outcome | None:
        answer = await self._store.read_key(keys.job(pool, job))
        if answer.is_error():
            return None
        if answer.ok is None or answer.ok.value is None:
            return outcomes.NoSuchJob()
        decoded = record.decode(answer.ok.value)
        if decoded.is_error():
            return None
        return outcomes.JobStatus(decoded.ok.state)

    def _log_submission(
        self,
        job: model.JobId,
        queue: catalogue.Queue,
        outcome: outcomes.Outcome,
        started_ms: int,
    ) -> None:
        current = self._directory.catalogue()
        fields = {
            "job": job,
            "queue": queue.queue,
            "pool": queue.pool,
            "version": current.version if current else 0,
            "took_ms": self._clock.monotonic_ms() - started_ms,
        }
        match outcome:
            case outcomes.Accepted():
                events.emit(events.Event.JOB_ACCEPTED, **fields)
            case outcomes.Refused():
                events.emit(
                    events.Event.JOB_REFUSED,
                    reason=outcome.reason.value,
                    retry_after_ms=outcome.retry_after_ms,
                    **fields,
                )
            case _:
                events.emit(events.Event.JOB_UNANSWERED, **fields)
