"""Tests of ending background tasks."""

import asyncio

import testtools

from wagtailtiller import tasks


class EndTest(testtools.TestCase):
    def test_a_task_that_swallows_a_cancellation_is_ended_all_the_same(self):
        async def stubborn():
            # As a client's timeout does that meets the cancellation.
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                await asyncio.sleep(60)

        async def main():
            task = asyncio.create_task(stubborn())
            await asyncio.sleep(0)
            await asyncio.wait_for(tasks.end([task]), 2)
            self.assertTrue(task.done())

        asyncio.run(main())

    def test_nothing_to_end_is_no_fault(self):
        asyncio.run(tasks.end([]))

    def test_a_group_ends_its_tasks(self):
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
