"""Tests of the cancellation of background tasks."""

import asyncio

import testtools

from wagtailtiller import tasks


class CancelAndWaitTest(testtools.TestCase):
    def test_task_that_swallows_one_cancellation_is_ended(self):
        async def swallow_cancellation():
            # A library's timeout that expires at the moment of the
            # cancellation behaves like this.
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                await asyncio.sleep(60)

        async def main():
            task = asyncio.create_task(swallow_cancellation())
            await asyncio.sleep(0)
            await asyncio.wait_for(tasks.cancel_and_wait([task]), 2)
            self.assertTrue(task.done())

        asyncio.run(main())

    def test_empty_list_of_tasks_is_accepted(self):
        asyncio.run(tasks.cancel_and_wait([]))

    def test_group_cancels_its_tasks(self):
        async def main():
            group = tasks.TaskGroup()
            ended = []

            async def work():
                try:
                    await asyncio.sleep(60)
                finally:
                    ended.append(True)

            group.spawn(work())
            await asyncio.sleep(0)
            await group.cancel()
            self.assertEqual([True], ended)

        asyncio.run(main())
