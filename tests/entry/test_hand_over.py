"""Tests of hand-overs in limited time."""

import asyncio

import testtools

from support.sim import loop as loop_module
from wagtailtiller import tasks
from wagtailtiller.entry import hand_over

# Longer than any hand-over may take.
_LIMIT_S = 1.6


async def _end():
    pass


async def _release():
    return True


class HandOverTest(testtools.TestCase):
    def run_hand_over(self, stop, release):
        """Return the outcome, and check how long it took."""

        async def main():
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            background = tasks.TaskGroup()
            outcome = await hand_over.run(stop, release, background)
            self.assertLess(loop.time() - started_s, _LIMIT_S)
            await background.cancel()
            return outcome

        return loop_module.run(main())

    def test_completed_hand_over(self):
        self.assertEqual(
            hand_over.Outcome.COMPLETED, self.run_hand_over(_end, _release)
        )

    def test_shard_without_service_is_released(self):
        """Guards against a claim whose service has not been started."""
        self.assertEqual(
            hand_over.Outcome.COMPLETED, self.run_hand_over(None, _release)
        )

    def test_stop_that_hangs_does_not_keep_the_shard(self):
        """Guards against a pool without service for as long as a stop hangs."""
        self.assertEqual(
            hand_over.Outcome.STOP_UNFINISHED,
            self.run_hand_over(loop_module.wait_forever, _release),
        )

    def test_store_that_is_away_does_not_hold_up_the_others(self):
        """Guards against a planned stop that waits until it is killed."""
        self.assertEqual(
            hand_over.Outcome.NOT_RELEASED,
            self.run_hand_over(_end, loop_module.wait_forever),
        )

    def test_release_that_fails_is_reported(self):
        async def fail():
            return False

        self.assertEqual(
            hand_over.Outcome.NOT_RELEASED, self.run_hand_over(_end, fail)
        )

    def test_unfinished_stop_goes_on(self):
        """Guards against connections that a cancelled stop leaves open."""
        ended = []

        async def stop():
            await asyncio.sleep(1.2)
            ended.append(True)

        async def main():
            await hand_over.run(stop, _release, tasks.TaskGroup())
            self.assertEqual([], ended)
            await asyncio.sleep(1)

        loop_module.run(main())
        self.assertEqual([True], ended)
