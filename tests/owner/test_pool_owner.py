"""Tests of the process side of a pool's owner."""

import asyncio
import random

import testtools

from support import fake_vms
from support import fakes
from support import jobs
from wagtailtiller import clock
from wagtailtiller import ids
from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import model
from wagtailtiller.jobs import record
from wagtailtiller.owner import keys
from wagtailtiller.owner import messages
from wagtailtiller.owner import pool_owner
from wagtailtiller.ownership import claims

_SHARD = ids.ShardId(jobs.POOL)
_SETTINGS = pool_owner.OwnerSettings(2_000, 60_000)


class OwnerTest(testtools.TestCase):
    def run_with(self, main):
        async def wrapped():
            self.store = fakes.FakeStore()
            self.clock = clock.SystemClock()
            self.vms = {}
            self.machines = None
            self.lost = []
            self.age_ms = 0
            self.store_away = False
            await asyncio.wait_for(main(), 15)

        asyncio.run(wrapped())

    def own(self, epoch=1):
        key = keys.owner(_SHARD)
        revision = self.store.state.item(key).revision
        written = self.store.state.write(key, b"%d" % epoch, revision, "")
        owner = pool_owner.PoolOwner(
            claims.Claim(_SHARD, epoch, written.ok),
            pool_owner.OwnerPorts(
                self.store,
                lambda report: self.vms[report.vm],
                self.machines,
                None,
                self.clock,
                random.Random(1),
            ),
            _SETTINGS,
            lambda owner, reason: self.lost.append(reason),
            self,
        )
        owner.set_queues((jobs.queue(),))
        owner.set_reports({v.report.vm: v.report for v in self.vms.values()})
        return owner

    def session_age_ms(self):
        return self.age_ms

    def store_answers(self):
        return not self.store_away

    def add_vm(self, name):
        vm = fake_vms.FakeVm(fake_vms.report(name), self.clock)
        self.vms[vm.report.vm] = vm
        return vm

    async def until(self, condition):
        for _ in range(600):
            if condition():
                return
            await asyncio.sleep(0.01)
        self.fail("not in time")

    async def submit(self, owner, name="a", spec=None):
        request = messages.Submit(
            jobs.POOL, name * 16, jobs.QUEUE, spec or jobs.spec()
        )
        await self.until(lambda: owner.ready)
        return await owner.answer(request)

    async def own_with_a_run(self):
        """Return a VM on which a first owner's job runs, and that owner."""
        vm = self.add_vm("vm-1")
        owner = self.own()
        await self.submit(owner)
        await self.until(lambda: vm.running)
        return vm, owner

    async def state(self, owner, name="a"):
        request = messages.AskState(jobs.POOL, name * 16)
        return (await owner.answer(request)).state

    def test_a_stop_that_meets_news_does_not_hang(self):
        async def main():
            owner = self.own()
            await self.until(lambda: owner.ready)
            await asyncio.sleep(0.05)
            owner._wake.set()
            await asyncio.wait_for(owner.stop(), 2)

        self.run_with(main)

    def test_a_job_is_done_and_shown_so_after_it_is_stored(self):
        async def main():
            vm = self.add_vm("vm-1")
            owner = self.own()
            self.assertEqual(messages.Accepted(), await self.submit(owner))
            await self.until(lambda: vm.running)
            vm.end(next(iter(vm.running)), job_module.EndKind.DONE)
            await self.until(
                lambda: (
                    owner.pool.entries["a" * 16].stored_state
                    is model.JobState.COMPLETED
                )
            )
            state = await self.state(owner)
            self.assertIs(model.JobState.COMPLETED, state)
            await owner.stop()

        self.run_with(main)

    def test_a_successor_adopts_what_runs(self):
        async def main():
            vm, first = await self.own_with_a_run()
            second = self.own(2)
            await self.until(lambda: second.ready)
            await self.until(lambda: not second.pool.unresolved)
            await asyncio.sleep(0.2)
            self.assertEqual(1, len(vm.starts))
            self.assertEqual(1, len(second.pool.vms["vm-1"].runs))
            await first.stop()
            await second.stop()

        self.run_with(main)

    def test_a_former_owner_notices_the_newer_token(self):
        async def main():
            vm, first = await self.own_with_a_run()
            second = self.own(2)
            await self.until(lambda: self.lost)
            self.assertIn(self.lost[0], ("fenced", "store"))
            await first.stop()
            await second.stop()

        self.run_with(main)

    def test_a_successor_waits_for_a_member_that_does_not_answer(self):
        async def main():
            vm, first = await self.own_with_a_run()
            vm.silent = True
            other = self.add_vm("vm-2")
            second = self.own(2)
            await self.until(lambda: second.ready)
            await self.submit(second, "b")
            await self.until(lambda: other.running)
            started = {task.job[0] for task in other.running}
            self.assertEqual({"b"}, started)
            await first.stop()
            await second.stop()

        self.run_with(main)

    def take_over_from_a_silent_vm(self, standing):
        """Return whether what ran on a silent VM starts elsewhere soon."""
        started = []

        async def main():
            vm, first = await self.own_with_a_run()
            vm.silent = True
            other = self.add_vm("vm-2")
            self.machines = fakes.FakeMachines(standing)
            second = self.own(2)
            await self.until(lambda: second.ready)
            await asyncio.sleep(0.8)
            started.extend(other.running)
            await first.stop()
            await second.stop()

        self.run_with(main)
        return bool(started)

    def test_a_successor_waits_while_a_silent_vm_s_machine_carries_it(self):
        self.assertFalse(self.take_over_from_a_silent_vm({"m-vm-1": "vm-1"}))

    def test_a_successor_goes_on_when_the_machine_carries_another_vm(self):
        self.assertTrue(self.take_over_from_a_silent_vm({"m-vm-1": "vm-7"}))

    def test_a_successor_waits_for_a_vm_whose_machine_is_not_listed(self):
        self.assertFalse(self.take_over_from_a_silent_vm({}))

    def test_an_end_is_acknowledged_only_when_it_is_stored(self):
        async def main():
            vm = self.add_vm("vm-1")
            owner = self.own()
            await self.submit(owner, spec=jobs.spec(jobs.step(2)))
            await self.until(lambda: len(vm.running) == 2)
            self.store.refuse_commits = True
            vm.end(next(iter(vm.running)), job_module.EndKind.DONE)
            await asyncio.sleep(1.0)
            self.assertEqual(1, len(vm.ended))
            self.store.refuse_commits = False
            await self.until(lambda: not vm.ended)
            await owner.stop()

        self.run_with(main)

    def test_a_job_that_a_front_stored_is_found(self):
        async def main():
            vm = self.add_vm("vm-1")
            owner = self.own()
            await self.until(lambda: owner.ready)
            job = jobs.job("c" * 16, epoch=0)
            key = keys.job(jobs.POOL, job.id)
            self.store.state.write(key, record.encode(job), 0, "")
            await self.until(lambda: vm.running)
            await owner.stop()

        self.run_with(main)

    def test_a_store_that_is_away_means_not_run_at_once(self):
        async def main():
            owner = self.own()
            await self.until(lambda: owner.ready)
            self.store_away = True
            answer = await self.submit(owner)
            self.assertIsInstance(answer, messages.Rejected)

        self.run_with(main)

    def test_planning_goes_on_while_members_cannot_be_stored(self):
        async def main():
            vm, owner = await self.own_with_a_run()
            await self.submit(owner, "b")
            commit = self.store.commit

            async def slow_members(transaction):
                if keys.members(jobs.POOL) in transaction.expected:
                    await asyncio.sleep(30)
                return await commit(transaction)

            self.store.commit = slow_members
            self.add_vm("vm-2")
            owner.set_reports(
                {v.report.vm: v.report for v in self.vms.values()}
            )
            await asyncio.sleep(0.2)
            await self.submit(owner, "c")
            await self.until(lambda: len(vm.running) == 3)
            self.assertEqual({}, self.vms["vm-2"].running)
            self.store.commit = commit
            await owner.stop()

        self.run_with(main)

    def test_a_vm_is_used_only_after_it_is_stored_as_a_member(self):
        async def main():
            vm, owner = await self.own_with_a_run()
            item = self.store.state.item(keys.members(jobs.POOL))
            self.assertIn(b"vm-1", item.value)
            await owner.stop()

        self.run_with(main)

    def hold_back_members(self):
        """Let writes of the members wait until the returned event is set."""
        released = asyncio.Event()
        commit = self.store.commit
        key = keys.members(jobs.POOL)

        async def commit_later(transaction):
            if any(write.key == key for write in transaction.writes):
                await released.wait()
            return await commit(transaction)

        self.store.commit = commit_later
        return released

    def test_nothing_starts_on_a_vm_while_its_membership_is_not_stored(self):
        async def main():
            vm = self.add_vm("vm-1")
            released = self.hold_back_members()
            owner = self.own()
            await self.submit(owner)
            await asyncio.sleep(0.5)
            self.assertEqual([], vm.starts)
            released.set()
            await self.until(lambda: vm.running)
            await owner.stop()

        self.run_with(main)

    def test_a_vm_that_has_not_answered_yet_is_not_called_empty(self):
        async def main():
            vm = self.add_vm("vm-1")
            vm.silent = True
            owner = self.own()
            await self.until(lambda: "vm-1" in owner.pool.vms)
            request = messages.Vacate(
                jobs.POOL, "vm-1", messages.VacateMode.MOVE_LONG_RUNNING
            )
            self.assertEqual(messages.NotOwner(), await owner.answer(request))
            vm.silent = False
            await owner.stop()

        self.run_with(main)

    def test_a_new_vm_does_not_wait_until_former_members_are_dropped(self):
        async def main():
            vm, owner = await self.own_with_a_run()
            other = self.add_vm("vm-2")
            both = {v.report.vm: v.report for v in self.vms.values()}
            owner.set_reports(both)
            await self.until(lambda: "vm-2" in owner._members.stored)
            owner.pool.vms["vm-2"].closed_until_ms = 1 << 60
            await asyncio.sleep(0.2)
            owner.pool.vms["vm-2"].closed_until_ms = 0
            self.add_vm("vm-3")
            owner.set_reports(
                {v.report.vm: v.report for v in self.vms.values()}
            )
            await asyncio.sleep(0.3)
            self.assertIn("vm-3", owner._members.stored)
            self.assertEqual({}, other.running)
            await owner.stop()

        self.run_with(main)

    def test_a_successor_calls_no_vm_empty_before_it_has_answered(self):
        async def main():
            vm, first = await self.own_with_a_run()
            vm.silent = True
            second = self.own(2)
            second.set_reports({})
            await self.until(lambda: second.ready)
            request = messages.Vacate(
                jobs.POOL, "vm-1", messages.VacateMode.MOVE_LONG_RUNNING
            )
            answer = await second.answer(request)
            self.assertEqual(messages.NotOwner(), answer)
            second.set_reports({vm.report.vm: vm.report})
            await self.until(lambda: "vm-1" in second.pool.vms)
            answer = await second.answer(request)
            self.assertEqual(messages.NotOwner(), answer)
            vm.silent = False
            await self.until(lambda: not second.pool.unresolved)
            answer = await second.answer(request)
            self.assertEqual(messages.Vacated(1), answer)
            await first.stop()
            await second.stop()

        self.run_with(main)
