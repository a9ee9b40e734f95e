"""Carries one admitted request to its outcome: slots, runs and retries."""

import asyncio
import dataclasses

from wagtailtiller import clock
from wagtailtiller import ids
from wagtailtiller import replica
from wagtailtiller import statsd_metrics
from wagtailtiller.dispatch import messages
from wagtailtiller.gateway import endpoints
from wagtailtiller.gateway.granting import desk
from wagtailtiller.gateway.granting import front
from wagtailtiller.gateway.serving import outcomes
from wagtailtiller.gateway.serving import retries

_RETRY_AFTER_MS = 1_000

_UNVOUCHED = (outcomes.Reason.NO_DISPATCHER, outcomes.Reason.ISOLATED)

_CERTAIN = (messages.RunOutcome.NOT_RUN, messages.RunOutcome.BUSY)


class RequestService:
    """Runs requests in their queues.

    Args:
        time: The clock.
        shared: This process's copy of the shared state.
        slots: This gateway's front.
        client: Runs requests at endpoints.
        metrics_client: Where waits and runs are timed.
    """

    def __init__(
        self,
        time: clock.Clock,
        shared: replica.Replica,
        slots: front.Front,
        client: endpoints.EndpointClient,
        metrics_client: statsd_metrics.MetricsClient,
    ) -> None:
        self._clock = time
        self._replica = shared
        self._front = slots
        self._desk = desk.Desk(time, slots)
        self._client = client
        self._metrics_client = metrics_client
        self._retries = retries.RetryBudget()
        self._runs: set[asyncio.Task[endpoints.Ran]] = set()

    @property
    def active(self) -> int:
        """Runs that have not ended, those of vanished callers included."""
        return len(self._runs)

    async def serve(
        self, want: front.Want, forwarded: endpoints.Forwarded
    ) -> outcomes.Outcome:
        """Bring a request to its outcome.

        Args:
            want: What it needs.
            forwarded: What to send.
        """
        self._retries.earn()
        may_have_run = False
        for attempt in range(retries.MOST_ATTEMPTS):
            if attempt:
                self._metrics_client.incr(statsd_metrics.Metric.RETRIES.value)
            outcome, vm = await self._attempt(want, forwarded)
            if not isinstance(outcome, endpoints.Ran):
                return _honest(want, outcome, may_have_run)
            final = self._settle(want, forwarded, outcome)
            if final is not None:
                return _honest(want, final, may_have_run)
            may_have_run |= outcome.outcome not in _CERTAIN
            avoid = want.avoid + (vm,)
            want = dataclasses.replace(want, avoid=avoid)
        spent = outcomes.NotRun(outcomes.Reason.RETRIES_SPENT, _RETRY_AFTER_MS)
        return _honest(want, spent, may_have_run)

    async def _attempt(
        self, want: front.Want, forwarded: endpoints.Forwarded
    ) -> tuple[outcomes.Outcome | endpoints.Ran, ids.VmId]:
        asked_ms = self._clock.monotonic_ms()
        granted = await self._desk.acquire(want)
        if isinstance(granted, messages.Refuse):
            return outcomes.from_refusal(granted), ids.VmId("")
        waited_ms = self._clock.monotonic_ms() - asked_ms
        self._metrics_client.timing(
            statsd_metrics.Metric.WAIT_MS.value, waited_ms
        )
        outcome = await self._run_granted(want, forwarded, granted)
        return outcome, granted.vm

    async def _run_granted(
        self,
        want: front.Want,
        forwarded: endpoints.Forwarded,
        granted: front.Granted,
    ) -> outcomes.Outcome | endpoints.Ran:
        vm = self._replica.settings.catalogue.vms.get(granted.vm)
        if vm is None or not self._front.usable(granted, want.queue.pool):
            unused = messages.RunOutcome.UNUSED
            self._front.release(granted.seq, unused, 0)
            return outcomes.NotRun(outcomes.Reason.NO_VM, _RETRY_AFTER_MS)
        ready: asyncio.Future[outcomes.Answer]
        ready = asyncio.get_running_loop().create_future()
        run = asyncio.create_task(
            self._client.run(vm, want.queue, forwarded, ready)
        )
        self._runs.add(run)
        run.add_done_callback(lambda done: self._ended(granted, done))
        left_ms = want.deadline_ms - self._clock.monotonic_ms()
        await asyncio.wait(
            (run, ready),
            timeout=left_ms / 1_000,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if ready.done():
            return ready.result()
        if run.done():
            return run.result()
        return outcomes.Unknown(outcomes.Reason.DEADLINE)

    def _ended(
        self, granted: front.Granted, run: "asyncio.Task[endpoints.Ran]"
    ) -> None:
        self._runs.discard(run)
        if run.cancelled() or run.exception() is not None:
            ran = endpoints.Ran(messages.RunOutcome.BROKEN, 0)
        else:
            ran = run.result()
        self._metrics_client.timing(
            statsd_metrics.Metric.RUN_MS.value, ran.run_ms
        )
        self._front.release(granted.seq, ran.outcome, ran.run_ms)

    def _settle(
        self,
        want: front.Want,
        forwarded: endpoints.Forwarded,
        ran: endpoints.Ran,
    ) -> outcomes.Outcome | None:
        """Return the final outcome, or None when another attempt is due."""
        replayable = isinstance(forwarded.body, bytes)
        certain = ran.outcome in _CERTAIN
        if certain and replayable and self._retries.spend():
            return None
        if certain:
            return outcomes.NotRun(outcomes.Reason.NO_VM, _RETRY_AFTER_MS)
        if ran.outcome is messages.RunOutcome.TIMED_OUT:
            return outcomes.Unknown(outcomes.Reason.RUN_LIMIT)
        repeatable = want.queue.idempotent and replayable
        if repeatable and self._retries.spend():
            return None
        return outcomes.Unknown(outcomes.Reason.ENDPOINT_BROKE)


def _honest(
    want: front.Want, outcome: outcomes.Outcome, may_have_run: bool
) -> outcomes.Outcome:
    """Say ``not run`` only of what certainly did not run.

    Args:
        want: The request.
        outcome: What the last attempt ended with.
        may_have_run: Whether an earlier attempt reached an endpoint.
    """
    if not isinstance(outcome, outcomes.NotRun):
        return outcome
    if may_have_run:
        return outcomes.Unknown(outcomes.Reason.ENDPOINT_BROKE)
    if outcome.reason in _UNVOUCHED:
        return unvouched(want, outcome)
    return outcome


def unvouched(want: front.Want, refusal: outcomes.NotRun) -> outcomes.Failure:
    """Return a refusal that no dispatcher has vouched for.

    An earlier request with the same key may have run through another
    gateway; only the pool's dispatcher would know.
    """
    if want.key and not want.queue.idempotent:
        return outcomes.Unknown(outcomes.Reason.KEY_UNCERTAIN)
    return refusal
