"""Tests that callers get answers while a process stops, over loopback."""

import asyncio
import time
from unittest import mock

import aiohttp
import testtools

from support import fakes
from support import jobs
from wagtailtiller import clock
from wagtailtiller import ids
from wagtailtiller.entry import frontend
from wagtailtiller.entry import settings as settings_module
from wagtailtiller.http_server import table
from wagtailtiller.owner import queue_pools
from wagtailtiller.platform import caller_api
from wagtailtiller.platform import drain
from wagtailtiller.platform import main as main_module
from wagtailtiller.ports import catalogue

_HOST_HEADER = {"Host": "host"}
_BODY = (
    b'{"spec":"x","steps":'
    b'[{"count":1,"cpu":500,"mem_mb":10,"estimate_ms":100}]}'
)
_STOP_WITHIN_MS = 2_500


class _Directory:
    """Directory of a pool whose owner never answers."""

    def __init__(self):
        self.declared = catalogue.Catalogue(1, (jobs.queue(),), ())

    def catalogue(self):
        return self.declared

    def owner_address(self, pool):
        return "owner:1"

    def queue_pools(self):
        return queue_pools.QueuePools()

    def owner_epoch(self, pool):
        return 1

    def own_address(self):
        return "own:1"

    def is_cut_off(self):
        return False

    def store_answers(self):
        return True


class _SilentPeers:
    async def ask(self, address, request, timeout_ms):
        await asyncio.sleep(timeout_ms / 1_000)


class _SilentStore(fakes.FakeStore):
    async def commit(self, transaction):
        await asyncio.sleep(60)


class _Node:
    def __init__(self, entry_frontend):
        self.frontend = entry_frontend

    async def hand_over(self):
        pass

    async def stop(self):
        pass

    def catalogue(self):
        return self.frontend._directory.catalogue()


class _Closable:
    async def close(self):
        pass


class _ServiceCase(testtools.TestCase):
    def run_service(self, main, stop_within_ms=_STOP_WITHIN_MS):
        """Run a test against a service that listens on a free port."""

        async def wrapped():
            entry_frontend = frontend.Frontend(
                _Directory(),
                _SilentPeers(),
                _SilentStore(),
                clock.SystemClock(),
            )
            self.service = main_module.EntryService(
                settings=_settings(stop_within_ms)
            )
            self.service._node = _Node(entry_frontend)
            self.service._caller_api = caller_api.CallerApi(entry_frontend)
            self.service._readiness = drain.Readiness()
            self.service._store = _Closable()
            self.service._machines = None
            self.service._policy = None
            self.service._connections = table.Table(
                self.service.settings.client_limits,
                entry_frontend.request_limits,
            )
            runner = await self.service._listen(
                self.service._caller_api.handle, "127.0.0.1:0"
            )
            self.port = runner.addresses[0][1]
            self.service._runners = [runner]
            async with aiohttp.ClientSession() as session:
                # A request must not be sent again behind the test's back.
                session._retry_connection = False
                self.session = session
                await main()
            await runner.cleanup()

        asyncio.run(wrapped())

    async def call(self, method, path, timeout_ms, body=None):
        headers = {**_HOST_HEADER, "Timeout-Ms": str(timeout_ms)}
        url = f"http://127.0.0.1:{self.port}{path}"
        async with self.session.request(
            method, url, headers=headers, data=body
        ) as response:
            await response.read()
            return response.status


class ShutdownTest(_ServiceCase):
    def test_request_that_is_open_at_the_end_of_the_stop_is_answered(self):
        """Guards against a connection that is closed without an answer."""

        async def main():
            call = asyncio.create_task(
                self.call("POST", f"/proofs/{'a' * 16}", 20_000, _BODY)
            )
            await asyncio.sleep(0.2)
            await self.service.stop()
            self.assertEqual(504, await call)

        self.run_service(main)

    def test_request_that_arrives_during_the_stop_is_answered(self):
        async def main():
            stop = asyncio.create_task(self.service.stop())
            await asyncio.sleep(0.8)
            path = f"/proofs/{'a' * 16}"
            self.assertEqual(504, await self.call("POST", path, 20_000, _BODY))
            await stop

        self.run_service(main)

    def test_slow_body_does_not_keep_the_connection_to_the_end(self):
        """Guards against a connection that is closed without an answer."""

        async def slow_body():
            yield _BODY[:10]
            await asyncio.sleep(30)

        async def main():
            call = asyncio.create_task(
                self.call("POST", f"/proofs/{'a' * 16}", 20_000, slow_body())
            )
            await asyncio.sleep(0.2)
            await self.service.stop()
            self.assertEqual(503, await call)

        self.run_service(main)

    def test_process_stays_while_callers_still_send(self):
        """Guards against a balancer that notices the stop late."""

        async def main():
            path = f"/proofs/{'a' * 16}"
            stop = asyncio.create_task(self.service.stop())
            for _ in range(14):
                # The balancer goes on for longer than it usually does.
                self.assertEqual(504, await self.call("POST", path, 200, _BODY))
                await asyncio.sleep(0.1)
            await stop

        self.run_service(main, stop_within_ms=6_000)

    def test_caller_that_sends_while_connections_are_closed(self):
        """Guards against a keep-alive connection that is closed too early."""

        async def main():
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.port
            )
            request = _raw_request(2_000)
            writer.write(request)
            await reader.readuntil(b"}")
            wait_until_unused = drain.wait_until_unused

            async def wait(*args):
                await wait_until_unused(*args)
                writer.write(request)

            with mock.patch.object(drain, "wait_until_unused", wait):
                await self.service.stop()
            answer = await reader.read()
            self.assertIn(b"HTTP/1.1 504", answer)
            writer.close()

        self.run_service(main, stop_within_ms=6_000)


class TimeoutTest(_ServiceCase):
    """Tests of answers before the caller's timeout."""

    def assert_in_time(self, main, timeout_ms):
        async def timed():
            started_s = time.monotonic()
            status = await main()
            self.assertIn(status, (503, 504))
            took_ms = (time.monotonic() - started_s) * 1_000
            self.assertLess(took_ms, timeout_ms)

        self.run_service(timed)

    def test_store_that_is_silent_during_a_submission(self):
        """Guards against a caller whose timeout ends before the answer."""
        path = f"/proofs/{'a' * 16}"
        self.assert_in_time(
            lambda: self.call("POST", path, 1_000, _BODY), 1_000
        )

    def test_time_in_which_the_body_arrives_counts(self):
        """Guards against a small link on which a body takes long."""

        async def slow_body():
            yield _BODY[:10]
            await asyncio.sleep(0.5)
            yield _BODY[10:]

        path = f"/proofs/{'a' * 16}"
        self.assert_in_time(
            lambda: self.call("POST", path, 1_000, slow_body()), 1_000
        )

    def test_body_that_does_not_arrive(self):
        async def slow_body():
            yield _BODY[:10]
            await asyncio.sleep(30)

        path = f"/proofs/{'a' * 16}"
        self.assert_in_time(
            lambda: self.call("POST", path, 1_000, slow_body()), 1_000
        )


def _raw_request(timeout_ms):
    head = (
        f"POST /proofs/{'a' * 16} HTTP/1.1\r\nHost: host\r\n"
        f"Timeout-Ms: {timeout_ms}\r\nContent-Length: {len(_BODY)}\r\n\r\n"
    )
    return head.encode() + _BODY


def _settings(stop_within_ms):
    return settings_module.EntrySettings(
        node=ids.NodeId("e-0"),
        data_centre=ids.DataCentreId("dc-1"),
        caller_address="",
        ready_address="",
        peer_address="own:1",
        metrics_address="",
        store_address="",
        machines_address="",
        policy_address="",
        vm_lease_ms=6_000,
        machine_lease_ms=3_000,
        job_kept_ms=120_000,
        stop_within_ms=stop_within_ms,
    )
