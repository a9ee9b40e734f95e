"""Tests of retries, and of saying ``not run`` only of what did not run."""

import asyncio
import dataclasses

import testtools

from tests import examples
from wagtailtiller import clock
from wagtailtiller import settings
from wagtailtiller import statsd_metrics
from wagtailtiller.dispatch import messages
from wagtailtiller.gateway import endpoints
from wagtailtiller.gateway.granting import front
from wagtailtiller.gateway.serving import outcomes
from wagtailtiller.gateway.serving import service


class _Front:
    """Grants or refuses as the test says."""

    def __init__(self, replies):
        self.replies = list(replies)
        self.released = []
        self.wants = []

    def begin(self, want, reply):
        self.wants.append(want)
        if self.replies:
            reply(self.replies.pop(0))
        return len(self.wants)

    def abandon(self, seq):
        pass

    def usable(self, granted, pool):
        return True

    def release(self, seq, outcome, run_ms):
        self.released.append(outcome)


class _Client:
    def __init__(self, ends):
        self.ends = list(ends)

    async def run(self, vm, queue, forwarded, ready):
        outcome = self.ends.pop(0)
        if outcome is messages.RunOutcome.ANSWERED:
            ready.set_result(outcomes.Answer(200, {}, b"ok"))
        return endpoints.Ran(outcome, 1)


@dataclasses.dataclass
class _Replica:
    settings: object


_ENDS = messages.RunOutcome
_LATE = messages.Refuse(9, messages.Refusal.TOO_LATE, 500)


class RequestServiceTest(testtools.TestCase):
    def serve(self, queue, ends, replies=None, key=0, body=b""):
        current = examples.current()
        grants = [front.Granted(n, "vm-0", 0) for n in range(len(ends))]
        self.front = _Front(grants if replies is None else replies)
        requests = service.RequestService(
            clock.SystemClock(),
            _Replica(current),
            self.front,
            _Client(ends),
            statsd_metrics.NullMetricsClient(),
        )
        now_ms = clock.SystemClock().monotonic_ms()
        want = front.Want(
            queue=current.catalogue.queues[queue],
            caller=settings.Caller("m", "m/t", 100.0),
            deadline_ms=now_ms + 300,
            key=key,
            key_first_used_ms=now_ms,
        )
        forwarded = endpoints.Forwarded("r", "m", "POST", "/", {}, body)
        return asyncio.run(requests.serve(want, forwarded))

    def test_broken_run_of_an_idempotent_queue_is_tried_elsewhere(self):
        outcome = self.serve("previews", [_ENDS.BROKEN, _ENDS.ANSWERED])
        self.assertIsInstance(outcome, outcomes.Answer)
        self.assertEqual(("vm-0",), self.front.wants[1].avoid)

    def test_broken_run_of_another_queue_is_unknown(self):
        outcome = self.serve("exports", [_ENDS.BROKEN, _ENDS.ANSWERED])
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertEqual(1, len(self.front.wants))

    def test_run_that_certainly_did_not_begin_is_tried_again(self):
        outcome = self.serve("exports", [_ENDS.NOT_RUN, _ENDS.ANSWERED])
        self.assertIsInstance(outcome, outcomes.Answer)

    def test_refusal_after_a_broken_run_is_unknown(self):
        replies = [front.Granted(1, "vm-0", 0), _LATE]
        outcome = self.serve("previews", [_ENDS.BROKEN], replies)
        self.assertIsInstance(outcome, outcomes.Unknown)

    def test_refusal_of_a_first_attempt_is_not_run(self):
        outcome = self.serve("exports", [], [_LATE])
        self.assertIsInstance(outcome, outcomes.NotRun)

    def test_keyed_request_without_a_dispatcher_is_unknown(self):
        outcome = self.serve("exports", [], [], key=7)
        self.assertIsInstance(outcome, outcomes.Unknown)

    def test_streamed_body_is_never_sent_twice(self):
        async def stream():
            yield b"x"

        ends = [_ENDS.BROKEN, _ENDS.ANSWERED]
        outcome = self.serve("previews", ends, body=stream())
        self.assertIsInstance(outcome, outcomes.Unknown)
