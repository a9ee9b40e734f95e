"""Tests of the supervision of background tasks."""

import asyncio
import signal
from unittest import mock

import testtools

from wagtailtiller import runtime


class SpawnTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(runtime._TaskFailures, "occurred", False)
        patcher = mock.patch.object(signal, "raise_signal")
        self.raise_signal = patcher.start()
        self.addCleanup(patcher.stop)

    def run_task(self, work, cancel=False):
        async def main():
            task = runtime.spawn(work())
            await asyncio.sleep(0)
            if cancel:
                task.cancel()
            await asyncio.wait([task])
            await asyncio.sleep(0)

        asyncio.run(main())

    def assert_stops_process(self, expected):
        self.assertEqual(expected, runtime._TaskFailures.occurred)
        signals = [call.args for call in self.raise_signal.call_args_list]
        self.assertEqual([(signal.SIGTERM,)] if expected else [], signals)

    def test_unrequested_cancellation_stops_process(self):
        """Guards against a background task that disappears silently."""

        async def await_cancelled_future():
            future = asyncio.get_running_loop().create_future()
            future.cancel()
            await future

        self.run_task(await_cancelled_future)
        self.assert_stops_process(True)

    def test_requested_cancellation_does_not_stop_process(self):
        """Guards against a process that stops when it ends its tasks."""
        self.run_task(lambda: asyncio.sleep(60), cancel=True)
        self.assert_stops_process(False)

    def test_cancellation_at_loop_end_does_not_stop_process(self):
        """Guards against a failure reported for an ordinary exit."""

        async def main():
            runtime.spawn(asyncio.sleep(60))
            await asyncio.sleep(0)

        asyncio.run(main())
        self.assert_stops_process(False)

    def test_failed_task_stops_process(self):
        """Guards against a process that runs on with untrusted state."""

        async def fail():
            raise ValueError("broken")

        self.run_task(fail)
        self.assert_stops_process(True)
