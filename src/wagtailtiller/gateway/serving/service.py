"""Service that runs admitted requests, with slots and retries."""

import asyncio
import dataclasses

from wagtailtiller import clock as clock_module
from wagtailtiller import ids
from wagtailtiller import replica
from wagtailtiller import statsd_metrics
from wagtailtiller.dispatch import messages
from wagtailtiller.gateway import endpoints
from wagtailtiller.gateway.granting import acquisition
from wagtailtiller.gateway.granting import frontend
from wagtailtiller.gateway.serving import outcomes
from wagtailtiller.gateway.serving import retries

_RETRY_AFTER_MS = 1_000

_REASONS_WITHOUT_DISPATCHER = (
    outcomes.Reason.NO_DISPATCHER,
    outcomes.Reason.ISOLATED,
)

_NOT_RUN_OUTCOMES = (messages.RunOutcome.NOT_RUN, messages.RunOutcome.BUSY)


class RequestService:
    """Runs admitted requests and determines their outcomes.

    Args:
        clock: Clock that supplies the current time.
        state_replica: This process's copy of the shared state.
        own_frontend: Frontend of this gateway.
        client: Client that runs requests at endpoints.
        metrics_client: Client for wait times, run times and retry counts.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        state_replica: replica.Replica,
        own_frontend: frontend.Frontend,
        client: endpoints.EndpointClient,
        metrics_client: statsd_metrics.MetricsClient,
    ) -> None:
        self._clock = clock
        self._replica = state_replica
        self._frontend = own_frontend
        self._slot_acquirer = acquisition.SlotAcquirer(clock, own_frontend)
        self._client = client
        self._metrics_client = metrics_client
        self._retries = retries.RetryBudget()
        self._runs: set[asyncio.Task[endpoints.RunResult]] = set()

    @property
    def active_runs(self) -> int:
        """Number of runs in progress, with those of disconnected callers."""
        return len(self._runs)

    async def serve(
        self,
        request: frontend.AdmittedRequest,
        forwarded: endpoints.ForwardedRequest,
    ) -> outcomes.Outcome:
        """Run a request, with retries, and return its outcome.

        Args:
            request: The admitted request.
            forwarded: Request to send to the endpoint.

        Returns:
            The outcome to report to the caller.
        """
        self._retries.earn()
        may_have_run = False
        for attempt in range(retries.MAX_ATTEMPTS):
            if attempt:
                self._metrics_client.incr(statsd_metrics.Metric.RETRIES.value)
            result, vm = await self._acquire_and_run(request, forwarded)
            if not isinstance(result, endpoints.RunResult):
                return _reported_outcome(request, result, may_have_run)
            final = self._final_outcome(request, forwarded, result)
            if final is not None:
                return _reported_outcome(request, final, may_have_run)
            may_have_run |= result.outcome not in _NOT_RUN_OUTCOMES
            avoid = request.avoid + (vm,)
            request = dataclasses.replace(request, avoid=avoid)
        retries_exhausted = outcomes.NotRun(
            outcomes.Reason.RETRIES_SPENT, _RETRY_AFTER_MS
        )
        return _reported_outcome(request, retries_exhausted, may_have_run)

    async def _acquire_and_run(
        self,
        request: frontend.AdmittedRequest,
        forwarded: endpoints.ForwardedRequest,
    ) -> tuple[outcomes.Outcome | endpoints.RunResult, ids.VmId]:
        sent_ms = self._clock.monotonic_ms()
        granted = await self._slot_acquirer.acquire(request)
        if isinstance(granted, messages.Refuse):
            return outcomes.from_refusal(granted), ids.VmId("")
        waited_ms = self._clock.monotonic_ms() - sent_ms
        self._metrics_client.timing(
            statsd_metrics.Metric.WAIT_MS.value, waited_ms
        )
        result = await self._run_granted(request, forwarded, granted)
        return result, granted.vm

    async def _run_granted(
        self,
        request: frontend.AdmittedRequest,
        forwarded: endpoints.ForwardedRequest,
        granted: frontend.GrantedSlot,
    ) -> outcomes.Outcome | endpoints.RunResult:
        vm = self._replica.settings.catalogue.vms.get(granted.vm)
        if vm is None or not self._frontend.usable(granted, request.queue.pool):
            outcome = messages.RunOutcome.UNUSED
            self._frontend.release(granted.seq, outcome, 0)
            return outcomes.NotRun(outcomes.Reason.NO_VM, _RETRY_AFTER_MS)
        answer_future: asyncio.Future[outcomes.Answer]
        answer_future = asyncio.get_running_loop().create_future()
        run = asyncio.create_task(
            self._client.run(vm, request.queue, forwarded, answer_future)
        )
        self._runs.add(run)
        run.add_done_callback(lambda done: self._on_run_end(granted, done))
        timeout_ms = request.deadline_ms - self._clock.monotonic_ms()
        await asyncio.wait(
            (run, answer_future),
            timeout=timeout_ms / 1_000,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if answer_future.done():
            return answer_future.result()
        if run.done():
            return run.result()
        return outcomes.Unknown(outcomes.Reason.DEADLINE)

    def _on_run_end(
        self,
        granted: frontend.GrantedSlot,
        run: "asyncio.Task[endpoints.RunResult]",
    ) -> None:
        self._runs.discard(run)
        if run.cancelled() or run.exception() is not None:
            result = endpoints.RunResult(messages.RunOutcome.BROKEN, 0)
        else:
            result = run.result()
        self._metrics_client.timing(
            statsd_metrics.Metric.RUN_MS.value, result.run_ms
        )
        self._frontend.release(granted.seq, result.outcome, result.run_ms)

    def _final_outcome(
        self,
        request: frontend.AdmittedRequest,
        forwarded: endpoints.ForwardedRequest,
        result: endpoints.RunResult,
    ) -> outcomes.Outcome | None:
        """Return the outcome of the request, or None if it is to be retried."""
        replayable = isinstance(forwarded.body, bytes)
        not_run = result.outcome in _NOT_RUN_OUTCOMES
        if not_run and replayable and self._retries.spend():
            return None
        if not_run:
            return outcomes.NotRun(outcomes.Reason.NO_VM, _RETRY_AFTER_MS)
        if result.outcome is messages.RunOutcome.TIMED_OUT:
            return outcomes.Unknown(outcomes.Reason.RUN_LIMIT)
        may_repeat = request.queue.idempotent and replayable
        if may_repeat and self._retries.spend():
            return None
        return outcomes.Unknown(outcomes.Reason.ENDPOINT_BROKE)


def _reported_outcome(
    request: frontend.AdmittedRequest,
    outcome: outcomes.Outcome,
    may_have_run: bool,
) -> outcomes.Outcome:
    """Replace ``NotRun`` by ``Unknown`` if the request may have run.

    Args:
        request: The admitted request.
        outcome: Outcome of the last attempt.
        may_have_run: Whether an earlier attempt may have run.

    Returns:
        The outcome to report to the caller.
    """
    if not isinstance(outcome, outcomes.NotRun):
        return outcome
    if may_have_run:
        return outcomes.Unknown(outcomes.Reason.ENDPOINT_BROKE)
    if outcome.reason in _REASONS_WITHOUT_DISPATCHER:
        return failure_without_dispatcher(request, outcome)
    return outcome


def failure_without_dispatcher(
    request: frontend.AdmittedRequest, refusal: outcomes.NotRun
) -> outcomes.Failure:
    """Return the failure for a refusal that no dispatcher has confirmed.

    An earlier request with the same key may have run through another
    gateway; only the pool's dispatcher knows that.

    Args:
        request: The admitted request.
        refusal: Refusal that this gateway decided without a dispatcher.

    Returns:
        ``Unknown`` if the request has a key that must not run twice;
        otherwise the refusal.
    """
    if request.key and not request.queue.idempotent:
        return outcomes.Unknown(outcomes.Reason.KEY_UNCERTAIN)
    return refusal
