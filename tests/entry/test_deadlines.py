"""Tests of the time limits of callers' requests, in virtual time."""

import asyncio

import testtools

from support.sim import loop as loop_module
from wagtailtiller.entry import deadlines as deadlines_module


class DeadlinesTest(testtools.TestCase):
    def run_with(self, main, lateness_ms=0):
        async def wrapped():
            loop = asyncio.get_running_loop()
            self.deadlines = deadlines_module.Deadlines(
                loop_module.VirtualClock(loop), lambda: lateness_ms
            )
            await main()

        loop_module.run(wrapped())

    async def time_limit_ms(self, timeout_ms):
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            async with self.deadlines.limit(timeout_ms):
                await loop_module.wait_forever()
        except TimeoutError:
            return round((loop.time() - started_s) * 1_000)

    def test_answer_is_sent_before_the_timeout(self):
        async def main():
            self.assertEqual(2_850, await self.time_limit_ms(3_000))

        self.run_with(main)

    def test_slow_vm_answers_earlier(self):
        """Guards against a 504 that a late event loop sends too late."""

        async def main():
            self.assertEqual(2_050, await self.time_limit_ms(3_000))

        self.run_with(main, lateness_ms=400)

    def test_very_slow_vm_still_tries(self):
        async def main():
            self.assertEqual(1_500, await self.time_limit_ms(3_000))

        self.run_with(main, lateness_ms=5_000)

    def test_short_timeout_leaves_time_to_try(self):
        async def main():
            self.assertEqual(50, await self.time_limit_ms(100))

        self.run_with(main)

    def test_open_and_later_requests_end_at_the_stop(self):
        """Guards against a connection that is closed without an answer."""

        async def main():
            requests = [
                asyncio.create_task(self.time_limit_ms(timeout_ms))
                for timeout_ms in (650, 3_000)
            ]
            await asyncio.sleep(0.1)
            self.deadlines.end_all_within(1_000)
            await asyncio.sleep(0.1)
            later = asyncio.create_task(self.time_limit_ms(3_000))
            self.assertEqual(
                [500, 1_100, 900], await asyncio.gather(*requests, later)
            )
            self.assertEqual(0, await self.time_limit_ms(3_000))

        self.run_with(main)
