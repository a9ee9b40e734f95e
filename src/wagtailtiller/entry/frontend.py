"""The frontend, which forwards callers' requests to the owners of pools."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
from typing import Protocol

import msgspec

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller import timeouts
from wagtailtiller.entry import deadlines as deadlines_module
from wagtailtiller.entry import job_store
from wagtailtiller.entry import outcomes
from wagtailtiller.entry import peers
from wagtailtiller.jobs import model
from wagtailtiller.owner import messages
from wagtailtiller.owner import queue_pools
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import store
from wagtailtiller.scheduling import admission
from wagtailtiller.scheduling import job_memory

_ASK_TIMEOUT_MS = 700
# An ask ends before the time limit of its request, so that the connection of an
# owner that does not answer is replaced.
_ASK_MARGIN_MS = 20
_RETRY_INTERVAL_MS = 60
# An owner that has just claimed a pool is ready after a fraction of this time.
# After it, a frontend stores jobs itself, or refuses them.
_TAKEOVER_WAIT_MS = 700
_NO_OWNER_RETRY_MS = 1_000
# Callers repeat a request within some seconds; more are forgotten.
_MAX_UNKNOWN_JOBS = 2_000
_DEFAULT_LIMITS = catalogue.RequestLimits()
# Nothing has been sent to any process, so the request has had no effect. The
# caller's next attempt reaches another process.
_CUT_OFF = outcomes.Refused(admission.RefusalReason.CUT_OFF, _NO_OWNER_RETRY_MS)
_NO_MEMORY = outcomes.Refused(
    admission.RefusalReason.NO_MEMORY, _NO_OWNER_RETRY_MS
)
_ToOutcome = Callable[
    [messages.Answer | None], Awaitable[outcomes.Outcome | None]
]
# Asks one pool about a job, within a time limit in ms.
_AskPool = Callable[[ids.PoolId, int], Awaitable[outcomes.Outcome]]


@dataclasses.dataclass(frozen=True)
class Route:
    """Where a request goes, and who sent it.

    Attributes:
        queue: The queue that the request addresses.
        organisation: The organisation of the caller; empty if the queue needs
            no API key.
    """

    queue: catalogue.Queue
    organisation: ids.OrganisationId = catalogue.NO_ORGANISATION


@dataclasses.dataclass(frozen=True)
class _Owner:
    """The owner of a pool.

    Attributes:
        address: Its address for peers, as ``ip:port``.
        epoch: Epoch of its ownership.
    """

    address: str
    epoch: int


@dataclasses.dataclass
class _Submission:
    """The state of a job submission over several attempts.

    A job that an earlier attempt may have stored, or may still store, must not
    be reported as refused.

    Attributes:
        deadline_ms: Time on the monotonic clock at which the attempts end.
        asked: The owner that the latest attempt addressed; None if none was
            known.
        unknown_epoch: Highest epoch of an owner that may have stored the job;
            None if there is none.
        store_write_unknown: Whether this process may have stored it.
        not_owner_since_ms: Time of the first of the latest answers that
            named no ready owner; None if the latest answer was another one.
        counted: Whether the job counts as stored without its owner.
    """

    deadline_ms: int
    asked: _Owner | None = None
    unknown_epoch: int | None = None
    store_write_unknown: bool = False
    not_owner_since_ms: int | None = None
    counted: bool = False

    @property
    def outcome_unknown(self) -> bool:
        """Whether an earlier attempt may have stored the job."""
        return self.store_write_unknown or self.unknown_epoch is not None

    def record_unknown(self) -> None:
        """Record that the owner that was asked may have stored the job."""
        if self.asked is not None:
            self.unknown_epoch = max(self.unknown_epoch or 0, self.asked.epoch)

    def is_refusal_definite(self) -> bool:
        """Return whether a refusal by the owner that was asked is certain.

        The owner has found no stored job. Writes of owners of earlier epochs
        fail since it has claimed the pool, and owners of other epochs do not
        accept the earlier requests.
        """
        if self.store_write_unknown or self.asked is None:
            return False
        return (
            self.unknown_epoch is None or self.asked.epoch > self.unknown_epoch
        )


class Directory(Protocol):
    """Queues, owners of pools and reachability of the store."""

    def catalogue(self) -> catalogue.Catalogue | None:
        """Return the declared queues and pools; None until they are read."""

    def queue_pools(self) -> queue_pools.QueuePools:
        """Return the pools in which each queue has had jobs."""

    def owner_address(self, pool: ids.PoolId) -> str | None:
        """Return the address of a pool's owner.

        Args:
            pool: Id of the pool.

        Returns:
            The address at which the owner listens for peers, as ``ip:port``;
            None if no owner is known.
        """

    def owner_epoch(self, pool: ids.PoolId) -> int:
        """Return the epoch of a pool's last known owner; 0 if none was known.

        Args:
            pool: Id of the pool.
        """

    async def ask_local(self, request: messages.PoolRequest) -> messages.Answer:
        """Answer a request in this process, without a network call.

        Args:
            request: A request about a pool that this process may own.
        """

    def own_address(self) -> str:
        """Return the address for peers of this process, as ``ip:port``."""

    def store_answers(self) -> bool:
        """Return whether the store has responded recently."""

    def is_cut_off(self) -> bool:
        """Return whether neither the store nor most other processes answer."""


class Frontend:
    """Serves callers' requests about queues and jobs.

    Args:
        directory: Tells which queues are declared and who owns their pools.
        peer_client: Client that sends requests to the other entry processes.
        store_client: Client of the store.
        clock: Clock that supplies the current time.
        lateness_ms: Returns how late the event loop has recently been.
        unowned_jobs: Limits the jobs that are stored without their owner; None
            for no limit.

    Attributes:
        deadlines: Time limits of all requests.
    """

    def __init__(
        self,
        directory: Directory,
        peer_client: peers.Peers,
        store_client: store.Committer,
        clock: clock_module.Clock,
        lateness_ms: Callable[[], int] = lambda: 0,
        unowned_jobs: job_memory.UnownedJobs | None = None,
    ) -> None:
        self.deadlines = deadlines_module.Deadlines(clock, lateness_ms)
        self._directory = directory
        self._peers = peer_client
        self._queue_pools = directory.queue_pools()
        self._job_store = job_store.JobStore(
            store_client, clock, self._queue_pools
        )
        self._clock = clock
        self._unowned_jobs = unowned_jobs
        # Owners that previous owners have named, while the store is away.
        self._redirects: dict[ids.PoolId, _Owner] = {}
        self._asks: dict[ids.PoolId, dict[asyncio.Timeout, _Owner]] = {}
        # Jobs that an earlier request to this process may have stored, or may
        # still store, in the order of their submission.
        self._unknown_jobs: dict[model.JobId, None] = {}

    def is_ready(self) -> bool:
        """Return whether callers are served as well here as elsewhere."""
        return (
            self._directory.catalogue() is not None
            and not self._directory.is_cut_off()
        )

    def request_limits(self) -> catalogue.RequestLimits:
        """Return the limits of callers' requests that are in force."""
        declared = self._directory.catalogue()
        return declared.limits if declared is not None else _DEFAULT_LIMITS

    def on_owner_change(self, pool: ids.PoolId) -> None:
        """End the questions to previous owners of a pool.

        Args:
            pool: Id of a pool that has a new owner.
        """
        owner = self._owner(pool)
        now_s = asyncio.get_running_loop().time()
        for scope, asked in self._asks.get(pool, {}).items():
            if asked != owner and not scope.expired():
                scope.reschedule(now_s)

    def route(
        self, host: str, path: str, api_key: str | None
    ) -> Route | outcomes.Outcome:
        """Find the queue that a request addresses, and who sent it.

        Args:
            host: The host that the caller sent, with or without a port.
            path: The path of the request.
            api_key: The key that the caller sent; None if it sent none.

        Returns:
            The route, or the outcome of the request if there is none.
        """
        current_catalogue = self._directory.catalogue()
        if current_catalogue is None:
            return outcomes.Refused(
                admission.RefusalReason.NO_CONFIGURATION, _NO_OWNER_RETRY_MS
            )
        queue = current_catalogue.route(host, path)
        if queue is None:
            return outcomes.NoSuchQueue()
        if keys.too_long(queue):
            return outcomes.Refused(
                admission.RefusalReason.NAME_TOO_LONG, _NO_OWNER_RETRY_MS
            )
        organisation = current_catalogue.authenticate(queue, api_key)
        if organisation is None:
            events.emit(
                events.Event.CALLER_REJECTED,
                queue=queue.queue,
                reason="no_key" if api_key is None else "unknown_key",
                version=current_catalogue.version,
            )
            return outcomes.Unauthenticated()
        return Route(queue, organisation)

    async def submit(
        self,
        route: Route,
        job: model.JobId,
        spec: model.JobSpec,
        timeout_ms: int,
    ) -> outcomes.Outcome:
        """Submit a job to its pool's owner, or store it if none answers.

        An owner in this process that does not answer stores the job itself.
        Retries until the outcome is known or the caller's timeout ends.

        Args:
            route: The queue to which the caller sent the job, and the caller.
            job: The id that the caller chose for the job.
            spec: Specification of the job.
            timeout_ms: How long the caller waits.

        Returns:
            ``Accepted``, ``Refused``, ``IdInUse``, or ``Unknown`` if the
            timeout ended first.
        """
        queue = route.queue
        started_ms = self._clock.monotonic_ms()
        if self._directory.is_cut_off():
            outcome = self._outcome_when_cut_off(job)
            self._log_submission(job, queue, outcome, started_ms)
            return outcome
        request = messages.Submit(
            queue.pool,
            job,
            queue.queue,
            spec,
            route.organisation,
            terms=queue.terms,
            path=queue.address.path,
        )
        outcome = outcomes.Unknown()
        with contextlib.suppress(TimeoutError):
            async with self.deadlines.limit(timeout_ms) as deadline_ms:
                outcome = await self._submit_until_resolved(
                    request, _Submission(deadline_ms)
                )
        if isinstance(outcome, outcomes.Unknown):
            self._remember_unknown(job)
        self._log_submission(job, queue, outcome, started_ms)
        return outcome

    def _outcome_when_cut_off(self, job: model.JobId) -> outcomes.Outcome:
        if job in self._unknown_jobs:
            # An earlier request may reach an owner when the cut ends.
            return outcomes.Unknown()
        return _CUT_OFF

    def _remember_unknown(self, job: model.JobId) -> None:
        self._unknown_jobs[job] = None
        if len(self._unknown_jobs) > _MAX_UNKNOWN_JOBS:
            del self._unknown_jobs[next(iter(self._unknown_jobs))]

    async def _submit_until_resolved(
        self, request: messages.Submit, submission: _Submission
    ) -> outcomes.Outcome:
        while True:
            outcome = await self._submit_once(request, submission)
            if outcome is not None:
                return outcome
            await self._wait_before_retry(request.pool, submission.asked)

    async def _wait_before_retry(
        self, pool: ids.PoolId, asked: _Owner | None
    ) -> None:
        """Wait, unless the pool has another owner than the one asked."""
        if self._owner(pool) == asked:
            await asyncio.sleep(_RETRY_INTERVAL_MS / 1_000)

    async def _submit_once(
        self, request: messages.Submit, submission: _Submission
    ) -> outcomes.Outcome | None:
        """Try to submit a job once; None if the outcome is unknown."""
        match await self._ask_to_accept(request, submission):
            case messages.Accepted():
                return outcomes.Accepted()
            case messages.IdInUse():
                return outcomes.IdInUse()
            case messages.Rejected(
                reason=admission.RefusalReason.STORE_UNAVAILABLE
            ):
                # The owner may be cut off from the store while this process
                # is not.
                return await self._submit_to_store(request, submission)
            case messages.Rejected(
                reason=admission.RefusalReason.WITHDRAWN,
                retry_after_ms=retry_after_ms,
            ):
                # No other attempt can store the job any more.
                return outcomes.Refused(
                    admission.RefusalReason.WITHDRAWN, retry_after_ms
                )
            case messages.Rejected() as rejected:
                if not submission.is_refusal_definite():
                    return None
                return outcomes.Refused(
                    rejected.reason, rejected.retry_after_ms
                )
            case messages.NotOwner():
                return await self._submit_without_owner(request, submission)
            case messages.Unsure():
                submission.record_unknown()
                return None
            case _:
                return await self._submit_without_answer(request, submission)

    async def _ask_to_accept(
        self, request: messages.Submit, submission: _Submission
    ) -> messages.Answer | None:
        owner = self._owner(request.pool)
        submission.asked = owner
        if owner is not None:
            request = msgspec.structs.replace(request, epoch=owner.epoch)
        answer = await self._ask(owner, request, submission.deadline_ms)
        if not isinstance(answer, messages.NotOwner):
            submission.not_owner_since_ms = None
        return answer

    async def _submit_without_answer(
        self, request: messages.Submit, submission: _Submission
    ) -> outcomes.Outcome | None:
        submission.record_unknown()
        # An owner in this process still tries to store the job. If its write
        # fails without an effect, it drops the job, so no other writer may
        # store it meanwhile. A new owner is asked first.
        if (
            self._is_local(submission.asked)
            or self._owner(request.pool) != submission.asked
        ):
            return None
        return await self._submit_to_store(request, submission)

    async def _submit_without_owner(
        self, request: messages.Submit, submission: _Submission
    ) -> outcomes.Outcome | None:
        """Wait for a pool's next owner, for a limited time."""
        now_ms = self._clock.monotonic_ms()
        if submission.not_owner_since_ms is None:
            submission.not_owner_since_ms = now_ms
        if now_ms - submission.not_owner_since_ms < _TAKEOVER_WAIT_MS:
            return None
        return await self._submit_to_store(request, submission)

    async def _submit_to_store(
        self, request: messages.Submit, submission: _Submission
    ) -> outcomes.Outcome | None:
        unavailable = outcomes.Refused(
            admission.RefusalReason.STORE_UNAVAILABLE, _NO_OWNER_RETRY_MS
        )
        if not self._directory.store_answers():
            return None if submission.outcome_unknown else unavailable
        if not self._has_room_without_owner(request, submission):
            return await self._refuse_without_room(request, submission)
        match await self._job_store.add(request):
            case job_store.StoreResult.YES:
                self._log_stored(request, submission)
                return outcomes.Accepted()
            case job_store.StoreResult.OTHER_JOB:
                return outcomes.IdInUse()
            case job_store.StoreResult.WITHDRAWN:
                return outcomes.Refused(
                    admission.RefusalReason.WITHDRAWN,
                    admission.WITHDRAWN_RETRY_MS,
                )
            case job_store.StoreResult.NO:
                return None if submission.outcome_unknown else unavailable
            case job_store.StoreResult.UNKNOWN:
                submission.store_write_unknown = True
                return None

    def _has_room_without_owner(
        self, request: messages.Submit, submission: _Submission
    ) -> bool:
        """Return whether a job may be stored; its submission counts once."""
        if self._unowned_jobs is not None and not submission.counted:
            submission.counted = self._unowned_jobs.take(request.spec)
            return submission.counted
        return True

    async def _refuse_without_room(
        self, request: messages.Submit, submission: _Submission
    ) -> outcomes.Outcome | None:
        """Refuse a job, unless an earlier request has stored it."""
        if submission.outcome_unknown:
            return None
        stored = await self._job_store.state(
            messages.AskState(request.pool, request.job, request.organisation)
        )
        return _NO_MEMORY if isinstance(stored, outcomes.NoSuchJob) else None

    def _log_stored(
        self, request: messages.Submit, submission: _Submission
    ) -> None:
        """Log that a job waits for its pool's owner, or for the next one."""
        events.emit(
            events.Event.JOB_STORED_WITHOUT_OWNER,
            job=request.job,
            queue=request.queue,
            pool=request.pool,
            asked=submission.asked.address if submission.asked else "",
            epoch=submission.asked.epoch if submission.asked else 0,
        )

    async def job_status(
        self, route: Route, job: model.JobId, timeout_ms: int
    ) -> outcomes.Outcome:
        """Return the state of a job.

        Args:
            route: The queue to which the job was sent, and the caller.
            job: The id of the job.
            timeout_ms: How long the caller waits.

        Returns:
            ``JobStatus``, ``NoSuchJob``, or ``Unknown`` if the timeout ended
            first.
        """

        def ask(
            pool: ids.PoolId, time_left_ms: int
        ) -> Awaitable[outcomes.Outcome]:
            async def to_outcome(
                answer: messages.Answer | None,
            ) -> outcomes.Outcome | None:
                if isinstance(answer, messages.State) and answer.state:
                    return outcomes.JobStatus(answer.state)
                return await self._job_store.state(request)

            request = messages.AskState(pool, job, route.organisation)
            return self._ask_until_resolved(request, time_left_ms, to_outcome)

        return await self._ask_pools_in_turn(route.queue, timeout_ms, ask)

    async def cancel(
        self, route: Route, job: model.JobId, timeout_ms: int
    ) -> outcomes.Outcome:
        """Cancel a job.

        Args:
            route: The queue to which the job was sent, and the caller.
            job: The id of the job.
            timeout_ms: How long the caller waits.

        Returns:
            ``Accepted``, ``NoSuchJob``, or ``Unknown`` if the timeout ended
            first.
        """

        def ask(
            pool: ids.PoolId, time_left_ms: int
        ) -> Awaitable[outcomes.Outcome]:
            async def to_outcome(
                answer: messages.Answer | None,
            ) -> outcomes.Outcome | None:
                match answer:
                    case messages.Accepted():
                        return outcomes.Accepted()
                    case messages.State():
                        stored = await self._job_store.state(request)
                        missing = isinstance(stored, outcomes.NoSuchJob)
                        return stored if missing else None
                    case _:
                        return None

            request = messages.Cancel(pool, job, route.organisation)
            return self._ask_until_resolved(request, time_left_ms, to_outcome)

        deadline_ms = self._clock.monotonic_ms() + timeout_ms
        time_left_ms = timeout_ms
        while True:
            outcome = await self._ask_pools_in_turn(
                route.queue, time_left_ms, ask
            )
            if not isinstance(outcome, outcomes.NoSuchJob):
                return outcome
            time_left_ms = max(1, deadline_ms - self._clock.monotonic_ms())
            withdrawn = await self._withdraw(route, job, time_left_ms)
            if withdrawn is not None:
                return withdrawn
            time_left_ms = max(1, deadline_ms - self._clock.monotonic_ms())

    async def _withdraw(
        self, route: Route, job: model.JobId, timeout_ms: int
    ) -> outcomes.Outcome | None:
        """Let a request fail that may still be under way to store a job.

        Returns:
            ``NoSuchJob``, ``Unknown`` if the timeout ended first, or None if
            the job is stored by now.
        """
        queue = route.queue
        request = messages.Cancel(queue.pool, job, route.organisation)
        with contextlib.suppress(TimeoutError):
            async with self.deadlines.limit(timeout_ms):
                while True:
                    match await self._job_store.withdraw(
                        request, queue.address
                    ):
                        case job_store.StoreResult.WITHDRAWN:
                            events.emit(
                                events.Event.JOB_WITHDRAWN,
                                job=job,
                                queue=queue.queue,
                                pool=queue.pool,
                            )
                            return outcomes.NoSuchJob()
                        case job_store.StoreResult.OTHER_JOB:
                            return outcomes.NoSuchJob()
                        case job_store.StoreResult.YES:
                            return None
                        case _:
                            await asyncio.sleep(_RETRY_INTERVAL_MS / 1_000)
        return outcomes.Unknown()

    async def queue_status(
        self, queue: catalogue.Queue, timeout_ms: int
    ) -> outcomes.Outcome:
        """Return how many jobs of a queue have not started.

        Args:
            queue: Queue whose jobs are counted.
            timeout_ms: How long the caller waits.

        Returns:
            ``QueueStatus``, or ``Unknown`` if the timeout ended first.
        """

        async def to_outcome(
            answer: messages.Answer | None,
        ) -> outcomes.Outcome | None:
            if isinstance(answer, messages.Pending):
                return outcomes.QueueStatus(answer.count)
            return None

        answers = await asyncio.gather(
            *(
                self._ask_until_resolved(
                    messages.AskPending(pool, queue.queue),
                    timeout_ms,
                    to_outcome,
                )
                for pool in self._pools_of(queue)
            )
        )
        if not self._queue_pools.listed:
            # Other pools of the queue may have jobs.
            return outcomes.Unknown()
        pending_count = 0
        for answer in answers:
            if not isinstance(answer, outcomes.QueueStatus):
                return answer
            pending_count += answer.pending_count
        return outcomes.QueueStatus(pending_count)

    def _pools_of(self, queue: catalogue.Queue) -> list[ids.PoolId]:
        """Return the pools that may have jobs of a queue, its present first."""
        others = self._queue_pools.other_pools(queue.address, queue.pool)
        return [queue.pool, *others]

    async def _ask_pools_in_turn(
        self, queue: catalogue.Queue, timeout_ms: int, ask: _AskPool
    ) -> outcomes.Outcome:
        """Ask the pools of a queue about a job until one has it."""
        deadline_ms = self._clock.monotonic_ms() + timeout_ms
        for pool in self._pools_of(queue):
            time_left_ms = deadline_ms - self._clock.monotonic_ms()
            outcome = await ask(pool, max(1, time_left_ms))
            if not isinstance(outcome, outcomes.NoSuchJob):
                return outcome
        if not self._queue_pools.listed:
            # Another pool of the queue may have the job.
            return outcomes.Unknown()
        return outcomes.NoSuchJob()

    async def _ask_until_resolved(
        self,
        request: messages.PoolRequest,
        timeout_ms: int,
        to_outcome: _ToOutcome,
    ) -> outcomes.Outcome:
        """Repeat a request to a pool's owner until its outcome is known."""
        if self._directory.is_cut_off():
            return _CUT_OFF
        with contextlib.suppress(TimeoutError):
            async with self.deadlines.limit(timeout_ms) as deadline_ms:
                while True:
                    owner = self._owner(request.pool)
                    outcome = await to_outcome(
                        await self._ask(owner, request, deadline_ms)
                    )
                    if outcome is not None:
                        return outcome
                    await self._wait_before_retry(request.pool, owner)
        return outcomes.Unknown()

    def _owner(self, pool: ids.PoolId) -> _Owner | None:
        """Return the latest owner that this process knows."""
        address = self._directory.owner_address(pool)
        epoch = self._directory.owner_epoch(pool)
        redirect = self._redirects.get(pool)
        if redirect is not None and redirect.epoch > epoch:
            return redirect
        return _Owner(address, epoch) if address is not None else None

    def _is_local(self, owner: _Owner | None) -> bool:
        return (
            owner is not None and owner.address == self._directory.own_address()
        )

    async def _ask(
        self,
        owner: _Owner | None,
        request: messages.PoolRequest,
        deadline_ms: int,
    ) -> messages.Answer | None:
        """Ask an owner; None without an answer, or if it has been replaced."""
        if owner is None:
            return None
        time_left_ms = deadline_ms - self._clock.monotonic_ms()
        time_left_ms = max(1, time_left_ms - _ASK_MARGIN_MS)
        timeout_ms = min(_ASK_TIMEOUT_MS, time_left_ms)
        answer = None
        with contextlib.suppress(TimeoutError):
            async with self._while_owner(request.pool, owner):
                if self._is_local(owner):
                    answer = await self._ask_local(request, timeout_ms)
                else:
                    answer = await self._peers.ask(
                        owner.address, request, timeout_ms
                    )
        if isinstance(answer, messages.NotOwner) and answer.address:
            self.follow(
                messages.KnownOwner(request.pool, answer.address, answer.epoch)
            )
        return answer

    @contextlib.asynccontextmanager
    async def _while_owner(
        self, pool: ids.PoolId, owner: _Owner
    ) -> AsyncIterator[None]:
        """End a block with ``TimeoutError`` when a pool has a new owner."""
        asks = self._asks.setdefault(pool, {})
        async with asyncio.timeout(None) as scope:
            asks[scope] = owner
            try:
                yield
            finally:
                del asks[scope]

    def follow(self, known: messages.KnownOwner) -> None:
        """Use an owner that another process has named, if it is a later one.

        Args:
            known: The owner of a pool, as the other process knows it.
        """
        current = self._owner(known.pool)
        known_epoch = max(
            self._directory.owner_epoch(known.pool),
            current.epoch if current else 0,
        )
        if known.epoch <= known_epoch:
            return
        self._redirects[known.pool] = _Owner(known.address, known.epoch)
        events.emit(
            events.Event.OWNER_REDIRECTED,
            pool=known.pool,
            address=known.address,
            epoch=known.epoch,
        )
        self.on_owner_change(known.pool)

    async def _ask_local(
        self, request: messages.PoolRequest, timeout_ms: int
    ) -> messages.Answer | None:
        # A write that the request has begun continues after the timeout.
        try:
            async with timeouts.responsive_timeout(timeout_ms):
                return await self._directory.ask_local(request)
        except TimeoutError:
            return None

    def _log_submission(
        self,
        job: model.JobId,
        queue: catalogue.Queue,
        outcome: outcomes.Outcome,
        started_ms: int,
    ) -> None:
        current_catalogue = self._directory.catalogue()
        fields = {
            "job": job,
            "queue": queue.queue,
            "pool": queue.pool,
            "version": current_catalogue.version if current_catalogue else 0,
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
