"""Tests of runs at faulty endpoints, over real connections."""

import asyncio

import testtools

from tests import examples
from wagtailtiller import clock
from wagtailtiller import settings
from wagtailtiller.dispatch import messages
from wagtailtiller.gateway import endpoints

_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n"


class EndpointClientTest(testtools.TestCase):
    def run_against(self, answer, method="PUT", run_limit_ms=5_000):
        """Run one request at an endpoint that answers with fixed bytes."""
        return asyncio.run(self._run(answer, method, run_limit_ms))

    async def _run(self, answer, method, run_limit_ms):
        self.requests = 0

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            if answer is None:
                await asyncio.sleep(30)
            writer.write(answer or b"")
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        result, answered = await self._send(port, method, run_limit_ms)
        server.close()
        return result, answered

    async def _send(self, port, method, run_limit_ms):
        catalogue = examples.catalogue(run_limit_ms=run_limit_ms)
        client = endpoints.EndpointClient(clock.SystemClock())
        answer_future = asyncio.get_running_loop().create_future()
        forwarded = endpoints.ForwardedRequest(
            "r1", "m", method, "/x", {}, b"body"
        )
        result = await client.run(
            _vm(port), catalogue.queues["exports"], forwarded, answer_future
        )
        await client.close()
        return (
            result.outcome,
            answer_future.result() if answer_future.done() else None,
        )

    def test_request_on_dropped_connection_is_not_resent_for_any_method(self):
        for method in ("GET", "PUT", "DELETE", "POST"):
            outcome, _ = self.run_against(b"", method)
            self.assertIs(messages.RunOutcome.BROKEN, outcome)
            self.assertEqual(1, self.requests, method)

    def test_truncated_answer_is_broken(self):
        outcome, answer = self.run_against(_HEAD + b"\r\nshort")
        self.assertIs(messages.RunOutcome.BROKEN, outcome)
        self.assertIsNone(answer)

    def test_answer_to_another_request_is_broken(self):
        response = _HEAD + b"Wagtail-Request: r2\r\n\r\n0123456789"
        outcome, answer = self.run_against(response)
        self.assertIs(messages.RunOutcome.BROKEN, outcome)
        self.assertIsNone(answer)

    def test_encoded_answer_passes_through_unchanged(self):
        response = _HEAD + b"Content-Encoding: gzip\r\n\r\n0123456789"
        outcome, answer = self.run_against(response)
        self.assertIs(messages.RunOutcome.ANSWERED, outcome)
        self.assertEqual(b"0123456789", answer.body)
        self.assertEqual("gzip", answer.headers["Content-Encoding"])

    def test_redirect_passes_through(self):
        response = (
            b"HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        _, answer = self.run_against(response)
        self.assertEqual(302, answer.status)

    def test_refusal_for_lack_of_a_slot_is_busy(self):
        response = (
            b"HTTP/1.1 503 Busy\r\nWagtail-Not-Run: busy\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        outcome, _ = self.run_against(response)
        self.assertIs(messages.RunOutcome.BUSY, outcome)

    def test_refused_connection_is_not_run(self):
        outcome, _ = asyncio.run(self._send(1, "POST", 1_000))
        self.assertIs(messages.RunOutcome.NOT_RUN, outcome)

    def test_run_that_exceeds_its_limit_times_out(self):
        outcome, _ = self.run_against(None, run_limit_ms=100)
        self.assertIs(messages.RunOutcome.TIMED_OUT, outcome)


def _vm(port):
    return settings.VmSettings(
        vm="vm",
        host="127.0.0.1",
        port=port,
        region="r",
        data_centre="d",
        rack="k",
        pool="p",
        processors=1,
        memory_gb=1,
        accelerators=0,
    )
