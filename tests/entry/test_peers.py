"""Tests of the calls between entry processes over gRPC on loopback."""

import asyncio
import socket
import time
from unittest import mock

import grpc
import msgspec
import testtools

from support import jobs
from wagtailtiller import ids
from wagtailtiller.entry import peers
from wagtailtiller.owner import messages

_TIMEOUT_MS = 200
# How much later than its timeout an ask may return.
_MAX_DELAY_MS = 250
_LONG_TIMEOUT_MS = 4_000
# Longer than _TIMEOUT_MS.
_SLOW_MS = 1_200
_NEVER_MS = 60_000


def _request(answer_after_ms):
    return messages.AskPending(jobs.POOL, ids.QueueId(str(answer_after_ms)))


async def _handle(request):
    answer_after_ms = int(request.queue)
    await asyncio.sleep(answer_after_ms / 1_000)
    return messages.Pending(answer_after_ms)


def _free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class MalformedAnswerTest(testtools.TestCase):
    def test_an_answer_that_cannot_be_decoded_counts_as_none(self):
        async def main():
            address = _free_address()
            server = peers.GrpcPeers()
            await server.serve(address, _handle)
            client = peers.GrpcPeers()
            real = peers._answer_decoder
            peers._answer_decoder = mock.Mock()
            peers._answer_decoder.decode.side_effect = msgspec.DecodeError("x")
            try:
                answer = await client.ask(address, _request(0), _TIMEOUT_MS)
            finally:
                peers._answer_decoder = real
            self.assertIsNone(answer)
            await client.close()
            await server.close()

        asyncio.run(main())


class GrpcPeersTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.channels = []
        open_channel = grpc.aio.insecure_channel

        def record_channel(*args, **kwargs):
            self.channels.append(open_channel(*args, **kwargs))
            return self.channels[-1]

        patcher = mock.patch.object(
            grpc.aio, "insecure_channel", record_channel
        )
        patcher.start()
        self.addCleanup(patcher.stop)

    def run_with(self, main):
        async def wrapped():
            self.address = _free_address()
            server = peers.GrpcPeers()
            await server.serve(self.address, _handle)
            self.client = peers.GrpcPeers()
            try:
                await self.ask(0, _LONG_TIMEOUT_MS)
                await main()
            finally:
                await self.client.close()
                await server.close()

        asyncio.run(wrapped())

    async def ask(self, answer_after_ms, timeout_ms):
        return await self.client.ask(
            self.address, _request(answer_after_ms), timeout_ms
        )

    def start_ask(self, answer_after_ms, timeout_ms=_LONG_TIMEOUT_MS):
        return asyncio.create_task(self.ask(answer_after_ms, timeout_ms))

    def test_ask_in_flight_outlasts_timeout_of_another(self):
        """Guards against a timeout that ends all asks to the address."""

        async def main():
            other = self.start_ask(_SLOW_MS)
            self.assertIsNone(await self.ask(_NEVER_MS, _TIMEOUT_MS))
            await asyncio.wait([other])
            self.assertFalse(other.cancelled())
            self.assertEqual(messages.Pending(_SLOW_MS), other.result())

        self.run_with(main)

    def test_ask_returns_at_its_timeout(self):
        """Guards against an ask that waits until its channel is closed."""

        async def main():
            other = self.start_ask(_SLOW_MS)
            started_s = time.monotonic()
            self.assertIsNone(await self.ask(_NEVER_MS, _TIMEOUT_MS))
            took_ms = (time.monotonic() - started_s) * 1_000
            self.assertLess(took_ms, _TIMEOUT_MS + _MAX_DELAY_MS)
            await asyncio.wait([other])

        self.run_with(main)

    def test_late_timeout_keeps_newer_channel(self):
        """Guards against a timeout that discards another ask's new channel."""

        async def main():
            first = self.start_ask(_NEVER_MS, _TIMEOUT_MS)
            late = self.start_ask(_NEVER_MS, 2 * _TIMEOUT_MS)
            await asyncio.sleep(1.5 * _TIMEOUT_MS / 1_000)
            self.assertIsNotNone(await self.ask(0, _LONG_TIMEOUT_MS))
            await asyncio.wait([first, late])
            self.assertIsNotNone(await self.ask(0, _LONG_TIMEOUT_MS))
            self.assertEqual(2, len(self.channels))

        self.run_with(main)

    def test_discarded_channel_is_closed_after_its_last_ask(self):
        """Guards against connections that are left open after timeouts."""

        async def main():
            other = self.start_ask(_SLOW_MS)
            self.assertIsNone(await self.ask(_NEVER_MS, _TIMEOUT_MS))
            closed = grpc.ChannelConnectivity.SHUTDOWN
            self.assertNotEqual(closed, self.channels[0].get_state())
            await asyncio.wait([other])
            self.assertEqual(closed, self.channels[0].get_state())

        self.run_with(main)

    def test_close_ends_open_asks_without_answer(self):
        """Guards against a cancellation that nobody has requested."""

        async def main():
            discarded = self.start_ask(_NEVER_MS)
            self.assertIsNone(await self.ask(_NEVER_MS, _TIMEOUT_MS))
            current = self.start_ask(_NEVER_MS)
            await asyncio.sleep(0.1)
            await self.client.close()
            await asyncio.wait([discarded, current], timeout=1)
            for task in (discarded, current):
                self.assertTrue(task.done())
                self.assertFalse(task.cancelled())
                self.assertIsNone(task.result())

        self.run_with(main)

    def test_cancellation_of_ask_propagates(self):
        """Guards against an ask that swallows a requested cancellation."""

        async def main():
            task = self.start_ask(_NEVER_MS)
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.wait([task], timeout=1)
            self.assertTrue(task.cancelled())

        self.run_with(main)


class SecondStartTest(testtools.TestCase):
    def test_second_process_cannot_listen_on_the_same_address(self):
        """Guards against a shard that is taken from a live previous start.

        A process that has started takes what its name and address own for what
        a process owned that has ended (``Shards._is_of_previous_start``).
        """

        async def main():
            address = _free_address()
            first, second = peers.GrpcPeers(), peers.GrpcPeers()
            await first.serve(address, _handle)
            with self.assertRaises(RuntimeError):
                await second.serve(address, _handle)
            await first.close()
            await second.close()

        asyncio.run(main())
