"""Tests of the owner's end of a VM."""

import asyncio
import time

import testtools

from support import fake_vms
from support import fakes
from support import jobs
from wagtailtiller import clock
from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.owner import journal
from wagtailtiller.owner import vm_link
from wagtailtiller.ownership import claims
from wagtailtiller.ports import store
from wagtailtiller.scheduling import pool as pool_module

_LEASE_MS = 400


class _Nothing:
    def reset(self):
        pass

    async def wait(self):
        await asyncio.sleep(0.01)


class LinkTest(testtools.TestCase):
    def run_with(self, main):
        async def wrapped():
            time_source = clock.SystemClock()
            pool = pool_module.Pool(jobs.POOL, 1, time_source)
            pool.jobs.set_queues([jobs.queue()])
            fake = fake_vms.FakeVm(fake_vms.report("vm-1"), time_source)
            vm = pool.vm_tracker.register(fake.report)
            backing = fakes.FakeStore()
            claim = claims.Claim(ids.ShardId("renders"), 1, store.ABSENT)
            writer = journal.Journal(backing, pool, claim, _Nothing())
            link = vm_link.VmLink(
                pool,
                vm,
                fake,
                writer,
                time_source,
                _LEASE_MS,
                lambda: None,
                lambda: None,
            )
            try:
                await main(pool, fake, vm, link)
            finally:
                await link.close()

        asyncio.run(wrapped())

    async def start_one(self, pool, link):
        entry = pool.jobs.add(jobs.job("a" * 16), False, model.JobState.QUEUED)
        await self.until(lambda: pool.vms["vm-1"].open_for_starts(1 << 60))
        for command in pool.plan():
            link.order(command)
        task = next(entry.job.ready_steps(1 << 60)).tasks[0]
        await self.until(lambda: task.run and task.run.confirmed_ms)
        return task

    async def until(self, condition, within_s=3.0):
        end_s = time.monotonic() + within_s
        while not condition():
            self.assertLess(time.monotonic(), end_s, "not in time")
            await asyncio.sleep(0.01)

    def test_a_silent_vm_is_given_up_when_its_lease_is_over(self):
        async def main(pool, fake, vm, link):
            task = await self.start_one(pool, link)
            fake.silent = True
            await self.until(lambda: vm.silent_since_ms is not None)

            def given_up():
                pool.vm_tracker.expire_leases()
                return task.run is None

            await self.until(given_up, within_s=4 * _LEASE_MS / 1_000)

        self.run_with(main)

    def test_an_unanswered_start_is_settled_and_cannot_happen_later(self):
        async def main(pool, fake, vm, link):
            entry = pool.jobs.add(
                jobs.job("a" * 16), False, model.JobState.QUEUED
            )
            await self.until(lambda: vm.open_for_starts(1 << 60))
            fake.hold_back = True
            for command in pool.plan():
                link.order(command)
            task = next(entry.job.ready_steps(1 << 60)).tasks[0]
            await self.until(lambda: task.run is None)
            fake.hold_back = False
            fake.apply_held_back()
            self.assertEqual({}, fake.running)

        self.run_with(main)
