"""Tests of the HTTP client and its adaptive timeout."""

import asyncio
import time

from aiohttp import test_utils
from aiohttp import web
import testtools
import uvloop

from wagtailtiller.platform import http

_ANSWER_MS = 200
# Too short for two answers one after the other.
_TIMEOUT_MS = 300


class AdaptiveTimeoutTest(testtools.TestCase):
    def test_fast_response_gives_minimum_timeout(self):
        timeout = http.AdaptiveTimeout(400, 1_500)
        timeout.record(True, 4)
        self.assertEqual(400, timeout.timeout_ms)

    def test_slow_response_extends_timeout(self):
        timeout = http.AdaptiveTimeout(400, 1_500)
        timeout.record(True, 240)
        self.assertEqual(960, timeout.timeout_ms)

    def test_lost_responses_double_timeout_up_to_limit(self):
        timeout = http.AdaptiveTimeout(400, 1_500)
        for _ in range(5):
            timeout.record(False, 400)
        self.assertEqual(1_500, timeout.timeout_ms)

    def test_response_after_loss_resets_timeout(self):
        timeout = http.AdaptiveTimeout(400, 1_500)
        timeout.record(False, 400)
        timeout.record(True, 5)
        self.assertEqual(400, timeout.timeout_ms)


class HttpClientTest(testtools.TestCase):
    def run_with(self, max_connections, main):
        async def wrapped():
            async def answer(request):
                self.requests += 1
                await asyncio.sleep(_ANSWER_MS / 1_000)
                return web.Response(body=b"{}")

            self.requests = 0
            server = test_utils.RawTestServer(answer)
            await server.start_server()
            client = http.HttpClient(
                f"127.0.0.1:{server.port}", max_connections, _TIMEOUT_MS
            )
            try:
                await main(client)
            finally:
                await client.close()
                await server.close()

        asyncio.run(wrapped())

    def test_timeout_begins_when_call_has_a_connection(self):
        """Guards against a call that is abandoned before it is sent."""

        async def main(client):
            results = await asyncio.gather(
                *(client.call("GET", "/") for _ in range(2))
            )
            self.assertEqual([True, True], [r.is_ok() for r in results])
            self.assertEqual(2, self.requests)

        self.run_with(1, main)

    def test_request_that_may_not_be_sent_any_more_is_not_sent(self):
        async def main(client):
            withdrawn = await client.call("GET", "/", may_send=lambda: False)
            self.assertFalse(withdrawn.error.may_apply)
            self.assertEqual(0, self.requests)
            for may_send in (lambda: True, None):
                sent = await client.call("GET", "/", may_send=may_send)
                self.assertTrue(sent.is_ok())
            lost = await client.call("GET", "/", timeout_ms=_ANSWER_MS // 4)
            self.assertTrue(lost.error.may_apply)
            self.assertEqual(3, self.requests)

        self.run_with(1, main)

    def test_connection_is_free_after_timeout(self):
        """Guards against a slot that a call without a response keeps."""

        async def main(client):
            lost = await client.call("GET", "/", timeout_ms=_ANSWER_MS // 4)
            self.assertTrue(lost.is_error())
            self.assertTrue((await client.call("GET", "/")).is_ok())

        self.run_with(1, main)

    def test_connection_of_abandoned_call_is_reset(self):
        """Guards against a request that a healed cut delivers later."""

        async def main():
            ends = []

            async def serve(reader, writer):
                await reader.readuntil(b"{}")
                try:
                    ends.append(await reader.read())
                except ConnectionResetError as error:
                    ends.append(type(error))
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            client = http.HttpClient(f"127.0.0.1:{port}", 0, _ANSWER_MS)
            lost = await client.call("POST", "/", b"{}")
            self.assertTrue(lost.error.may_apply)
            call = asyncio.create_task(
                client.call("POST", "/", b"{}", timeout_ms=60_000)
            )
            await asyncio.sleep(_ANSWER_MS / 1_000)
            call.cancel()
            await asyncio.sleep(_ANSWER_MS / 1_000)
            self.assertEqual([ConnectionResetError] * 2, ends)
            await client.close()
            server.close()

        for run in (asyncio.run, uvloop.run):
            run(main())

    def test_calls_without_limit_run_at_once(self):
        """Guards against a limit of 0 that is not taken as no limit."""

        async def main(client):
            started_s = time.monotonic()
            results = await asyncio.gather(
                *(client.call("GET", "/") for _ in range(8))
            )
            took_ms = (time.monotonic() - started_s) * 1_000
            self.assertTrue(all(r.is_ok() for r in results))
            self.assertLess(took_ms, 2 * _ANSWER_MS)

        self.run_with(0, main)
