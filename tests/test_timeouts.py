"""Tests of the timeouts that allow for a late event loop."""

import asyncio
import socket
import time

import testtools

from wagtailtiller import runtime
from wagtailtiller import timeouts


class ResponsiveTimeoutTest(testtools.TestCase):
    def run_with(self, main):
        async def wrapped():
            await main()
            return 0

        runtime.run(wrapped())

    def test_expires_after_its_time(self):
        async def main():
            started_s = time.monotonic()
            with testtools.ExpectedException(TimeoutError):
                async with timeouts.responsive_timeout(250):
                    await asyncio.sleep(5)
            self.assertLess(time.monotonic() - started_s, 1)
            self.assertGreaterEqual(time.monotonic() - started_s, 0.25)

        self.run_with(main)

    def test_does_not_expire_afterwards(self):
        async def main():
            async with timeouts.responsive_timeout(50):
                await asyncio.sleep(0)
            await asyncio.sleep(0.1)

        self.run_with(main)

    def test_late_loop_reads_what_has_arrived(self):
        """A blocked loop must not abandon a response that waits to be read."""

        async def main():
            reader, writer = await asyncio.open_connection(
                sock=self.connect_pair()
            )
            async with timeouts.responsive_timeout(300):
                self.peer.send(b"x")
                time.sleep(0.5)
                self.assertEqual(b"x", await reader.read(1))
            writer.close()

        self.run_with(main)

    def connect_pair(self):
        own, self.peer = socket.socketpair()
        self.addCleanup(self.peer.close)
        return own

    def test_cancellation_is_not_swallowed(self):
        async def main():
            async def wait():
                async with timeouts.responsive_timeout(1_000):
                    await asyncio.sleep(5)

            task = asyncio.create_task(wait())
            await asyncio.sleep(0.01)
            task.cancel()
            with testtools.ExpectedException(asyncio.CancelledError):
                await task

        self.run_with(main)
