"""Tests of retries and of the outcomes ``NotRun`` and ``Unknown``."""

import asyncio
import dataclasses

import testtools

from tests import examples
from wagtailtiller import clock
from wagtailtiller import settings
from wagtailtiller import statsd_metrics
from wagtailtiller.dispatch import messages
from wagtailtiller.gateway import endpoints
from wagtailtiller.gateway.granting import frontend
from wagtailtiller.gateway.serving import outcomes
from wagtailtiller.gateway.serving import service


class _FakeFrontend:
    """Frontend that gives the replies chosen by the test."""

    def __init__(self, replies):
        self.replies = list(replies)
        self.released = []
        self.requests = []

    def request_slot(self, request, on_reply):
        self.requests.append(request)
        if self.replies:
            on_reply(self.replies.pop(0))
        return len(self.requests)

    def abandon(self, seq):
        pass

    def usable(self, granted, pool):
        return True

    def release(self, seq, outcome, run_ms):
        self.released.append(outcome)


class _FakeClient:
    def __init__(self, run_outcomes):
        self.run_outcomes = list(run_outcomes)

    async def run(self, vm, queue, forwarded, answer_future):
        outcome = self.run_outcomes.pop(0)
        if outcome is messages.RunOutcome.ANSWERED:
            answer_future.set_result(outcomes.Answer(200, {}, b"ok"))
        return endpoints.RunResult(outcome, 1)


@dataclasses.dataclass
class _FakeReplica:
    settings: object


_RunOutcome = messages.RunOutcome
_TOO_LATE = messages.Refuse(9, messages.RefusalReason.TOO_LATE, 500)


class RequestServiceTest(testtools.TestCase):
    def serve(self, queue, run_outcomes, replies=None, key=0, body=b""):
        current = examples.current()
        grants = [
            frontend.GrantedSlot(n, "vm-0", 0) for n in range(len(run_outcomes))
        ]
        self.frontend = _FakeFrontend(grants if replies is None else replies)
        requests = service.RequestService(
            clock.SystemClock(),
            _FakeReplica(current),
            self.frontend,
            _FakeClient(run_outcomes),
            statsd_metrics.NullMetricsClient(),
        )
        now_ms = clock.SystemClock().monotonic_ms()
        request = frontend.AdmittedRequest(
            queue=current.catalogue.queues[queue],
            caller=settings.Caller("m", "m/t", 100.0),
            deadline_ms=now_ms + 300,
            key=key,
            key_first_used_ms=now_ms,
        )
        forwarded = endpoints.ForwardedRequest("r", "m", "POST", "/", {}, body)
        return asyncio.run(requests.serve(request, forwarded))

    def test_broken_run_of_idempotent_queue_is_retried_on_another_vm(self):
        outcome = self.serve(
            "previews", [_RunOutcome.BROKEN, _RunOutcome.ANSWERED]
        )
        self.assertIsInstance(outcome, outcomes.Answer)
        self.assertEqual(("vm-0",), self.frontend.requests[1].avoid)

    def test_broken_run_of_non_idempotent_queue_is_unknown(self):
        outcome = self.serve(
            "exports", [_RunOutcome.BROKEN, _RunOutcome.ANSWERED]
        )
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertEqual(1, len(self.frontend.requests))

    def test_run_that_did_not_start_is_retried(self):
        outcome = self.serve(
            "exports", [_RunOutcome.NOT_RUN, _RunOutcome.ANSWERED]
        )
        self.assertIsInstance(outcome, outcomes.Answer)

    def test_refusal_after_a_broken_run_is_unknown(self):
        replies = [frontend.GrantedSlot(1, "vm-0", 0), _TOO_LATE]
        outcome = self.serve("previews", [_RunOutcome.BROKEN], replies)
        self.assertIsInstance(outcome, outcomes.Unknown)

    def test_refusal_of_a_first_attempt_is_not_run(self):
        outcome = self.serve("exports", [], [_TOO_LATE])
        self.assertIsInstance(outcome, outcomes.NotRun)

    def test_keyed_request_without_a_dispatcher_is_unknown(self):
        outcome = self.serve("exports", [], [], key=7)
        self.assertIsInstance(outcome, outcomes.Unknown)

    def test_request_with_streamed_body_is_not_retried(self):
        async def stream():
            yield b"x"

        run_outcomes = [_RunOutcome.BROKEN, _RunOutcome.ANSWERED]
        outcome = self.serve("previews", run_outcomes, body=stream())
        self.assertIsInstance(outcome, outcomes.Unknown)
