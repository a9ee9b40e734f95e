"""Tests of the limit for calls to the store that callers cause."""

import asyncio

import testtools

from support import fakes
from wagtailtiller import limited_calls


class _SlowStore(fakes.FakeStore):
    def __init__(self):
        super().__init__()
        self.open = 0
        self.most_open = 0

    async def read_key(self, key):
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        await asyncio.sleep(0.001)
        self.open -= 1
        return await super().read_key(key)


class LimitedCallsTest(testtools.TestCase):
    """Load pattern: many callers ask for jobs that nobody knows."""

    def test_no_more_calls_than_the_limit_are_open(self):
        async def main():
            store = _SlowStore()
            calls = limited_calls.LimitedCalls(store, 3)
            results = await asyncio.gather(
                *(calls.read_key(f"key-{n}") for n in range(20))
            )
            self.assertTrue(all(result.ok is None for result in results))
            self.assertEqual(3, store.most_open)

        asyncio.run(main())

    def test_abandoned_call_makes_room(self):
        async def main():
            calls = limited_calls.LimitedCalls(_SlowStore(), 1)
            waiting = [
                asyncio.create_task(calls.read_key(f"key-{n}"))
                for n in range(3)
            ]
            await asyncio.sleep(0)
            waiting[0].cancel()
            waiting[1].cancel()
            self.assertTrue((await waiting[2]).is_ok())

        asyncio.run(main())
