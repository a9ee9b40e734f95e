"""Tests of the document of the allocations, with a store that fails.

They run in virtual time, so that a busy machine does not change their verdict.
"""

import asyncio
import random

import testtools

from support import clocks
from support import fakes
from support import jobs
from support import limits
from support.sim import loop as loop_module
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller.owner import allocations as allocations_module
from wagtailtiller.ownership import claims
from wagtailtiller.ownership import shard as shard_module
from wagtailtiller.ports import store
from wagtailtiller.scheduling import allocation

_ORG = limits.ORGANISATION


class _CountingStore(fakes.FakeStore):
    """Counts reads, and records when commits were sent and applied."""

    def __init__(self):
        super().__init__()
        self.reads = 0
        self.commits_s = []
        self.writes_s = {}
        self.is_away = False

    async def read(self, prefix):
        self.reads += 1
        self._lose_if_away()
        return await super().read(prefix)

    async def read_key(self, key):
        self._lose_if_away()
        return await super().read_key(key)

    async def watch(self, prefix, after, wait_ms):
        self.reads += 1
        return await super().watch(prefix, after, wait_ms)

    async def commit(self, transaction):
        self.commits_s.append(asyncio.get_running_loop().time())
        self._lose_if_away()
        result = await super().commit(transaction)
        if result.is_ok():
            owner = next(iter(transaction.expected))
            self.writes_s.setdefault(owner, []).append(self.commits_s[-1])
        return result

    def _lose_if_away(self):
        if self.is_away:
            self.faults = [fakes.Fault.REQUEST_LOST]


class AllocationSyncTest(testtools.TestCase):
    def run_with(self, main):
        async def wrapped():
            self.store = _CountingStore()
            self.tasks = []
            self.lost = []
            try:
                await asyncio.wait_for(main(), 15)
            finally:
                for task in self.tasks:
                    task.cancel()
                await asyncio.gather(*self.tasks, return_exceptions=True)

        loop_module.run(wrapped())

    def own_pool(self, name="a", cores=100):
        """Claim a pool and keep its allocations up to date as its owner."""
        key = keys.owner(shard_module.PoolShard(ids.PoolId(name)))
        revision = self.store.state.item(key).revision
        written = self.store.state.write(key, b"me", revision, "")
        claim = claims.Claim(
            shard_module.PoolShard(ids.PoolId(name)), 1, written.ok
        )
        pool = limits.LimitedPool(name, clocks.FakeClock())
        pool.list_runs()
        pool.allocations.set_organisations(limits.organisations(cores=cores), 1)
        sync = allocations_module.AllocationSync(
            self.store,
            pool,
            claim,
            loop_module.VirtualClock(asyncio.get_running_loop()),
            random.Random(name),
            lambda: None,
            lambda: self.lost.append(name),
        )
        for work in (sync.follow(), sync.run(), self.plan_often(sync)):
            self.tasks.append(asyncio.create_task(work))
        return pool

    async def plan_often(self, sync):
        while True:
            sync.schedule_update()
            await asyncio.sleep(0.01)

    async def until(self, condition):
        for _ in range(500):
            if condition():
                return
            await asyncio.sleep(0.01)
        self.fail("not in time")

    def stored(self):
        item = self.store.state.item(keys.ALLOCATIONS)
        return allocation.decode(item.value) if item.value else None

    def held(self, pool):
        return pool.allocations.allowed(_ORG).cpu_millicores

    def add_work(self, *pools):
        for pool in pools:
            pool.add_job("j" * 16, jobs.step(200))

    def test_nothing_is_read_while_no_organisation_has_a_limit(self):
        async def main():
            pool = self.own_pool(cores=0)
            self.add_work(pool)
            await asyncio.sleep(0.3)
            self.assertEqual(0, self.store.reads)
            self.assertEqual([], self.store.commits_s)

        self.run_with(main)

    def test_four_pools_in_a_peak_write_at_most_twice_a_second(self):
        """Guards against owners that overload the store with conflicts."""

        async def main():
            pools = [self.own_pool(name) for name in "abcd"]
            self.add_work(*pools)
            await asyncio.sleep(1)
            self.assertTrue(all(self.held(pool) for pool in pools))
            await asyncio.sleep(2.5)
            total = self.stored().allocated(_ORG).cpu_millicores
            self.assertTrue(95_000 <= total <= 100_000, total)
            for times in self.store.writes_s.values():
                for first, third in zip(times, times[2:], strict=False):
                    self.assertGreaterEqual(third - first, 0.99)
            self.assertEqual(4, len(self.store.writes_s))
            count = len(self.store.commits_s)
            await asyncio.sleep(1.2)
            self.assertEqual(count, len(self.store.commits_s))

        self.run_with(main)

    def test_successor_without_work_reads_what_its_predecessor_held(self):
        """Guards against an allocation that nobody ever releases."""

        async def main():
            pool = self.own_pool()
            await asyncio.sleep(0.1)
            self.assertIsNotNone(pool.allocations.revision)

        self.run_with(main)

    def test_lost_answer_of_a_lowering_does_not_hold_a_new_peak_back(self):
        """Guards against a pool that stays at the amount it gave up."""

        async def main():
            pool = self.own_pool()
            self.add_work(pool)
            await asyncio.sleep(8)
            self.assertGreaterEqual(self.held(pool), 99_000)
            pool.allocations._lowest_proposed[_ORG] = allocation.Amounts(12_000)
            self.assertEqual(12_000, self.held(pool))
            await self.until(lambda: self.held(pool) >= 99_000)

        self.run_with(main)

    def test_lost_answer_of_a_commit_is_resolved_by_reading_back(self):
        async def main():
            pool = self.own_pool()
            await asyncio.sleep(0.02)
            self.store.faults = [fakes.Fault.RESPONSE_LOST]
            self.add_work(pool)
            await self.until(lambda: self.held(pool) >= 50_000)
            self.assertEqual([], self.store.faults)
            entry = self.stored().entries[_ORG]["a"]
            self.assertEqual(entry.allocation[0], self.held(pool))

        self.run_with(main)

    def test_late_commit_changes_nothing_after_the_next_one(self):
        """Guards against an allocation that is changed behind its owner."""

        async def main():
            pool = self.own_pool()
            self.store.faults = [fakes.Fault.NONE, fakes.Fault.DELAYED]
            self.add_work(pool)
            await self.until(lambda: self.store.delayed)
            self.assertEqual(0, self.held(pool))
            await self.until(lambda: self.held(pool))
            before = self.stored()
            self.store.apply_delayed()
            self.assertEqual(before, self.stored())

        self.run_with(main)

    def test_owner_continues_with_its_allocation_while_the_store_is_away(self):
        async def main():
            first = self.own_pool("a")
            second = self.own_pool("b")
            self.add_work(first)
            await self.until(lambda: self.held(first) > 90_000)
            self.store.is_away = True
            count = len(self.store.commits_s)
            self.add_work(second)
            await asyncio.sleep(1.5)
            self.assertGreater(len(first.start_all()), 90)
            self.assertEqual([], second.start_all())
            # Each proposal would reduce what the first owner may use.
            self.assertLessEqual(len(self.store.commits_s) - count, 2)
            first.list_runs(running=set())
            self.store.is_away = False
            await self.until(lambda: self.held(second))

        self.run_with(main)

    def test_commit_of_a_former_owner_changes_nothing(self):
        """Guards against an owner that goes on after its successor's claim."""

        async def main():
            pool = self.own_pool()
            self.store.state.write(
                keys.owner(shard_module.PoolShard(ids.PoolId("a"))),
                b"successor",
                self.store.state.item(
                    keys.owner(shard_module.PoolShard(ids.PoolId("a")))
                ).revision,
                "",
            )
            self.add_work(pool)
            await self.until(lambda: self.lost)
            self.assertIsNone(self.stored())

        self.run_with(main)

    def test_unreadable_document_is_left_alone_and_allows_nothing(self):
        async def main():
            self.store.state.write(keys.ALLOCATIONS, b"?", store.ABSENT, "")
            pool = self.own_pool()
            self.add_work(pool)
            await asyncio.sleep(0.3)
            self.assertEqual([], pool.start_all())
            self.assertEqual([], self.store.commits_s)

        self.run_with(main)
