"""Tests of the collection of loads while owners are slow or away."""

import asyncio

import testtools

from support.sim import loop as loop_module
from wagtailtiller import ids
from wagtailtiller.maintenance import load_collector
from wagtailtiller.owner import messages

_QUICK = ids.PoolId("quick")
_SLOW = ids.PoolId("slow")
_SLOW_MS = 500
_CYCLE_MS = 200


class LoadCollectorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.asked = []

    async def ask(self, pool, request):
        self.asked.append(pool)
        if pool == _SLOW:
            await asyncio.sleep(_SLOW_MS / 1_000)
        return messages.Load(0.0, 0, 0.0, 0, 0, 0, ())

    def collect(self, cycles):
        """Return the pools of each cycle, and how long the cycle took."""

        async def main():
            collector = load_collector.LoadCollector(self.ask)
            results = []
            for _ in range(cycles):
                started_s = asyncio.get_running_loop().time()
                loads = await collector.collect((_QUICK, _SLOW), 0)
                took_s = asyncio.get_running_loop().time() - started_s
                results.append((sorted(loads), took_s * 1_000))
                await asyncio.sleep(_CYCLE_MS / 1_000)
            await collector.cancel()
            return results

        return loop_module.run(main())

    def test_slow_owner_at_a_peak_does_not_delay_the_other_pools(self):
        """Guards against moves that wait for an owner that is cut off."""
        for pools, took_ms in self.collect(cycles=2):
            self.assertEqual([_QUICK], pools)
            self.assertLess(took_ms, _CYCLE_MS)

    def test_slow_owner_has_one_open_request(self):
        """Guards against requests that pile up at a slow owner."""
        self.collect(cycles=2)
        self.assertEqual(1, self.asked.count(_SLOW))

    def test_answer_of_a_slow_owner_counts_in_a_later_cycle(self):
        """Guards against a pool whose load is never known."""
        pools, _ = self.collect(cycles=3)[2]
        self.assertEqual([_QUICK, _SLOW], pools)
