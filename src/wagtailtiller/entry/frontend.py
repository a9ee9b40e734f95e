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
_AGAIN_MS = 60
# Kept back from a caller's time, so that the answer still reaches it.
_MARGIN_MS = 150
_NO_OWNER_RETRY_MS = 1_000
_Judge = Callable[[messages.Answer | None], Awaitable[outcomes.Outcome | None]]
# Jobs that no owner has accepted carry no owner's epoch.
_NO_EPOCH = 0


@dataclasses.dataclass
class _Trial:
    """A job that is being handed over.

    Attributes:
        end_ms: When the caller's time ends, on our clock.
        uncertain: An attempt may have stored the job, or still may.
    """

    end_ms: int
    uncertain: bool = False


class _Stored(enum.Enum):
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
        declared = self._directory.catalogue()
        if declared is None:
            return outcomes.Refused(
                admission.RefusalReason.NO_CONFIGURATION, _NO_OWNER_RETRY_MS
            )
        return declared.route(host, path) or outcomes.NoSuchQueue()

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
        began_ms = self._clock.monotonic_ms()
        trial = _Trial(began_ms + timeout_ms - _MARGIN_MS)
        outcome = await self._try(request, trial)
        while outcome is None:
            if self._clock.monotonic_ms() >= trial.end_ms:
                outcome = outcomes.Unknown()
                break
            await asyncio.sleep(_AGAIN_MS / 1_000)
            outcome = await self._try(request, trial)
        self._log(job, queue, outcome, began_ms)
        return outcome

    async def _try(
        self, request: messages.Submit, trial: _Trial
    ) -> outcomes.Outcome | None:
        """Hand a job over once; None: not certain yet."""
        address = self._directory.owner_address(request.pool)
        answer = await self._ask(address, request, trial.end_ms)
        match answer:
            case messages.Accepted():
                return outcomes.Accepted()
            case messages.Rejected():
                if trial.uncertain:
                    return None
                return outcomes.Refused(answer.reason, answer.retry_after_ms)
            case messages.NotOwner():
                return None
            case messages.Unsure():
                trial.uncertain = True
                return None
            case _:
                trial.uncertain = trial.uncertain or address is not None
                return await self._try_store(request, trial)

    async def _try_store(
        self, request: messages.Submit, trial: _Trial
    ) -> outcomes.Outcome | None:
        away = outcomes.Refused(
            admission.RefusalReason.STORE_UNAVAILABLE, _NO_OWNER_RETRY_MS
        )
        if not self._directory.store_answers():
            return None if trial.uncertain else away
        match await self._store_directly(request):
            case _Stored.YES:
                return outcomes.Accepted()
            case _Stored.NO:
                return None if trial.uncertain else away
            case _Stored.UNKNOWN:
                trial.uncertain = True
                return None

    async def state(
        self, queue: catalogue.Queue, job: model.JobId, timeout_ms: int
    ) -> outcomes.Outcome:
        """Say what a job has reached."""

        async def judge(
            answer: messages.Answer | None,
        ) -> outcomes.Outcome | None:
            if isinstance(answer, messages.State) and answer.state:
                return outcomes.JobStatus(answer.state)
            return await self._stored_state(queue.pool, job)

        request = messages.AskState(queue.pool, job)
        return await self._ask_until(request, timeout_ms, judge)

    async def cancel(
        self, queue: catalogue.Queue, job: model.JobId, timeout_ms: int
    ) -> outcomes.Outcome:
        """Cancel a job."""

        async def judge(
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
        return await self._ask_until(request, timeout_ms, judge)

    async def pending(
        self, queue: catalogue.Queue, timeout_ms: int
    ) -> outcomes.Outcome:
        """Say how many jobs of a queue have not started."""

        async def judge(
            answer: messages.Answer | None,
        ) -> outcomes.Outcome | None:
            if isinstance(answer, messages.Pending):
                return outcomes.QueueStatus(answer.count)
            return None

        request = messages.AskPending(queue.pool, queue.queue)
        return await self._ask_until(request, timeout_ms, judge)

    async def _ask_until(
        self, request: messages.Request, timeout_ms: int, judge: _Judge
    ) -> outcomes.Outcome:
        """Ask a pool's owner until an answer is good enough."""
        end_ms = self._clock.monotonic_ms() + timeout_ms - _MARGIN_MS
        while True:
            address = self._directory.owner_address(request.pool)
            outcome = await judge(await self._ask(address, request, end_ms))
            if outcome is not None:
                return outcome
            if self._clock.monotonic_ms() >= end_ms:
                return outcomes.Unknown()
            await asyncio.sleep(_AGAIN_MS / 1_000)

    async def _store_directly(self, request: messages.Submit) -> _Stored:
        """Store a job whose pool has no owner in reach.

        The owner, or the next one, finds it in the store.
        """
        fresh = job_module.Job(
            request.job,
            request.queue,
            request.spec,
            self._clock.wall_ms(),
            _NO_EPOCH,
        )
        key = keys.job(request.pool, request.job)
        write = store.Write(key, record.encode(fresh))
        answer = await self._store.commit(
            store.Transaction({key: store.ABSENT}, (write,))
        )
        if answer.is_ok():
            return _Stored.YES
        match answer.error:
            case store.PreconditionFailed():
                return _Stored.YES
            case errors.StoreUnavailable(may_apply=False):
                return _Stored.NO
            case _:
                return _Stored.UNKNOWN

    async def _ask(
        self, address: str | None, request: messages.Request, end_ms: int
    ) -> messages.Answer | None:
        if address is None:
            return None
        if address == self._directory.own_address():
            return await self._directory.ask_local(request)
        left_ms = max(50, end_ms - self._clock.monotonic_ms())
        return await self._peers.ask(
            address, request, min(_ASK_TIMEOUT_MS, left_ms)
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

    def _log(
        self,
        job: model.JobId,
        queue: catalogue.Queue,
        outcome: outcomes.Outcome,
        began_ms: int,
    ) -> None:
        declared = self._directory.catalogue()
        fields = {
            "job": job,
            "queue": queue.queue,
            "pool": queue.pool,
            "version": declared.version if declared else 0,
            "took_ms": self._clock.monotonic_ms() - began_ms,
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
