"""Tests of the pool owner with its store and VMs."""

import asyncio
import random

from expression import Error
import msgspec
import testtools

from support import fake_vms
from support import fakes
from support import jobs
from support import leases
from support import limits
from wagtailtiller import clock
from wagtailtiller import errors
from wagtailtiller import keys
from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import model
from wagtailtiller.jobs import record
from wagtailtiller.jobs import task as task_module
from wagtailtiller.owner import messages
from wagtailtiller.owner import pool_owner
from wagtailtiller.ownership import authority
from wagtailtiller.ownership import claims
from wagtailtiller.ownership import shard as shard_module
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import admission
from wagtailtiller.scheduling import job_memory
from wagtailtiller.scheduling import vm as vm_module

_SHARD = shard_module.PoolShard(jobs.POOL)
_COMMAND_MS = authority.MAX_LEASE_AGE_MS[authority.Action.COMMAND_VMS]
_SETTINGS = pool_owner.OwnerSettings(2_000, 60_000)


class _Path:
    """The path of one process to a VM, which can be cut.

    Attributes:
        report: Registration of the VM.
        is_cut: Whether no call reaches the VM, and no response this process.
    """

    def __init__(self, vm):
        self.report = vm.report
        self.is_cut = False
        self._vm = vm

    async def start(self, command):
        if self.is_cut:
            return vms.CommandResponse(vms.CommandOutcome.UNANSWERED)
        return await self._vm.start(command)

    async def stop(self, task, number, token):
        if self.is_cut:
            return vms.CommandResponse(vms.CommandOutcome.UNANSWERED)
        return await self._vm.stop(task, number, token)

    async def hold(self, token, acknowledged, lease_until_ms, wait_ms):
        if not self.is_cut:
            response = await self._vm.hold(
                token, acknowledged, lease_until_ms, wait_ms
            )
            if not self.is_cut:
                return response
        return vms.HoldResponse(vms.CommandOutcome.UNANSWERED)

    async def close(self):
        pass


class PoolOwnerTest(testtools.TestCase):
    def run_with(self, main):
        async def wrapped():
            self.store = fakes.FakeStore()
            self.clock = clock.SystemClock()
            self.vms = {}
            self.machines = None
            self.lost = []
            self.lease = leases.FakeLease(self.clock)
            self.store_unreachable = False
            self.job_memory = job_memory.without_limit()
            await asyncio.wait_for(main(), 15)

        asyncio.run(wrapped())

    def own_pool(self, epoch=1):
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
                job_memory=self.job_memory,
            ),
            _SETTINGS,
            lambda owner, reason: self.lost.append(reason),
            authority.Authority(self.lease),
            lambda: not self.store_unreachable,
        )
        owner.set_queues((jobs.queue(),))
        owner.set_reports({v.report.vm: v.report for v in self.vms.values()})
        return owner

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

    async def own_pool_with_run(self):
        """Return a VM that runs a job, and the pool's first owner."""
        vm = self.add_vm("vm-1")
        owner = self.own_pool()
        await self.submit(owner)
        await self.until(lambda: vm.running)
        return vm, owner

    async def job_state(self, owner, name="a"):
        request = messages.AskState(jobs.POOL, name * 16)
        return (await owner.answer(request)).state

    def test_refused_jobs_count_once_as_arrived_work(self):
        """Load pattern: a peak begins in a pool with few machines.

        Guards against machines that come late because callers are refused.
        """

        async def main():
            self.add_vm("vm-1")
            owner = self.own_pool()
            await self.until(lambda: owner.pool.vms.get("vm-1"))
            await owner.answer(messages.AskLoad(jobs.POOL, 0))
            step = jobs.step(8, cpu_millicores=16_000, estimate_ms=9_000)
            await self.submit(owner, "a", jobs.spec(step))
            for _ in range(2):
                refused = await self.submit(owner, "b")
                self.assertEqual(
                    admission.RefusalReason.OVERLOADED, refused.reason
                )
            load = await owner.answer(messages.AskLoad(jobs.POOL, 0))
            self.assertEqual(2, load.arrived_jobs)
            # The caller returns when there is room.
            await owner.answer(messages.AskLoad(jobs.POOL, 1_000_000))
            await self.submit(owner, "b")
            load = await owner.answer(messages.AskLoad(jobs.POOL, 0))
            self.assertEqual(2, load.arrived_jobs)

        self.run_with(main)

    def test_job_beyond_the_memory_is_refused_unless_it_is_stored(self):
        """Load pattern: many whole jobs of the largest legal size at once.

        Guards against an owner that ends for want of memory, and against a
        refusal of a job that an earlier attempt has stored.
        """

        async def main():
            self.add_vm("vm-1")
            self.job_memory = job_memory.JobMemory(100, tuple)
            owner = self.own_pool()
            answer = await self.submit(owner)
            self.assertEqual(admission.RefusalReason.NO_MEMORY, answer.reason)
            self.store.state.write(
                keys.job(jobs.POOL, "b" * 16),
                record.encode(jobs.job("b" * 16)),
                0,
                "",
            )
            answer = await self.submit(owner, "b")
            self.assertEqual(messages.Accepted(), answer)

        self.run_with(main)

    def test_job_of_another_organisation_is_not_visible(self):
        """Guards against members who see or cancel one another's orders."""

        async def main():
            owner = self.own_pool()
            await self.until(lambda: owner.ready)
            job = "a" * 16

            def submit(organisation):
                return owner.answer(
                    messages.Submit(
                        jobs.POOL, job, jobs.QUEUE, jobs.spec(), organisation
                    )
                )

            self.assertEqual(messages.Accepted(), await submit("press"))
            self.assertEqual(messages.Accepted(), await submit("press"))
            self.assertEqual(messages.IdInUse(), await submit("other"))
            ask = messages.AskState(jobs.POOL, job, "other")
            self.assertIsNone((await owner.answer(ask)).state)
            cancel = messages.Cancel(jobs.POOL, job, "other")
            self.assertEqual(messages.State(None), await owner.answer(cancel))
            cancel = messages.Cancel(jobs.POOL, job, "press")
            self.assertEqual(messages.Accepted(), await owner.answer(cancel))

        self.run_with(main)

    def test_organisation_runs_no_more_than_its_limit(self):
        """Guards against starts that ask no allocation."""

        async def main():
            vm = self.add_vm("vm-1")
            owner = self.own_pool()
            owner.set_organisations(limits.organisations(cores=3), 1)
            await self.until(lambda: owner.ready)

            async def submit(name, step):
                return await owner.answer(
                    messages.Submit(
                        jobs.POOL,
                        name * 16,
                        jobs.QUEUE,
                        jobs.spec(step),
                        limits.ORGANISATION,
                    )
                )

            accepted = await submit("a", jobs.step(6))
            self.assertEqual(messages.Accepted(), accepted)
            await self.until(lambda: len(vm.running) == 3)
            await asyncio.sleep(0.2)
            self.assertEqual(3, len(vm.running))
            refused = await submit("b", jobs.step(1, cpu_millicores=4_000))
            self.assertEqual("over_limit", refused.reason.value)
            for task in list(vm.running):
                vm.end(task, task_module.EndKind.DONE)
            await self.until(lambda: len(vm.running) == 3)

        self.run_with(main)

    def test_two_owners_keep_the_limit_of_an_organisation(self):
        """Guards against an allocation that two owners of a pool both use.

        A frontend has stored a job that the former owner reads first. What the
        pool is not allocated may be in use in other pools.
        """

        async def main():
            vm = fake_vms.FakeVm(fake_vms.report("vm-1"), self.clock)
            self.vms[vm.report.vm] = _Path(vm)
            first = self.own_pool()
            first.set_organisations(limits.organisations(cores=3), 1)
            spec = jobs.spec(jobs.step(3))

            def submit(owner, name):
                return owner.answer(
                    messages.Submit(
                        jobs.POOL,
                        name * 16,
                        jobs.QUEUE,
                        spec,
                        limits.ORGANISATION,
                    )
                )

            await self.until(lambda: first.ready)
            await submit(first, "a")
            await self.until(lambda: len(vm.running) == 3)
            for task in list(vm.running):
                vm.end(task, task_module.EndKind.DONE)
            await self.until(lambda: not vm.ended)
            path = _Path(vm)
            path.is_cut = True
            self.vms[vm.report.vm] = path
            other_vm = self.add_vm("vm-2")
            second = self.own_pool(2)
            second._job_mirror._pause_ms = 60_000
            second.set_organisations(limits.organisations(cores=3), 1)
            await self.until(lambda: second.ready)
            # No renewal shows that the former owner read the job as the owner.
            self.lease.current_age_ms = 1_000
            job = jobs.job("b" * 16, spec, epoch=0)
            job.organisation = limits.ORGANISATION
            self.store_as_frontend(job)
            await submit(second, "c")
            await self.until(lambda: other_vm.running)
            item = self.store.state.item(keys.job(jobs.POOL, job.id))
            first._on_jobs_change([item])
            await asyncio.sleep(0.5)
            running = len(vm.running) + len(other_vm.running)
            allowed = second.pool.allocations.allowed(limits.ORGANISATION)
            self.assertLessEqual(1_000 * running, allowed.cpu_millicores)
            await first.stop()
            await second.stop()

        self.run_with(main)

    def test_shrunken_capacity_counts_with_an_outdated_session(self):
        """Guards against starts by an old report while the store is silent.

        Starts are allowed until 6 s after the last renewal, reports were
        taken for 1.3 s only.
        """

        async def main():
            vm = self.add_vm("vm-1")
            owner = self.own_pool()
            await self.submit(owner)
            await self.until(lambda: vm.running)
            self.lease.current_age_ms = 2_000
            shrunken = msgspec.structs.replace(
                vm.report, capacity=vms.Resources(1_500, 131_072)
            )
            owner.set_reports({vm.report.vm: shrunken})
            self.assertEqual(500, owner.pool.vms["vm-1"].free_cpu)
            await self.submit(owner, "b")
            await asyncio.sleep(0.2)
            self.assertEqual(1, len(vm.running))
            owner.set_reports({vm.report.vm: vm.report})
            await asyncio.sleep(0.2)
            self.assertEqual(1, len(vm.running))
            self.lease.current_age_ms = 0
            await self.until(lambda: len(vm.running) == 2)

        self.run_with(main)

    def test_start_needs_recent_reports_of_vms_that_take_all(self):
        """Guards against starts by a report that may be 6 s old.

        The VMs may still reach a store that this process cannot.
        """

        async def main():
            vm = self.add_vm("vm-1")
            owner = self.own_pool()
            owner.set_guards_capacity(False)
            await self.until(lambda: owner.pool.vms.get("vm-1"))
            self.lease.current_age_ms = 4_000
            await self.submit(owner)
            await asyncio.sleep(0.3)
            self.assertEqual({}, vm.running)
            self.assertEqual(0, len(owner.pool.vms["vm-1"].runs))
            self.lease.current_age_ms = 3_000
            await self.until(lambda: vm.running)

        self.run_with(main)

    def test_starts_on_vms_that_guard_their_capacity_need_no_report(self):
        """Guards against tasks that wait for the store without need."""

        async def main():
            vm = self.add_vm("vm-1")
            owner = self.own_pool()
            owner.set_guards_capacity(True)
            await self.until(lambda: owner.pool.vms.get("vm-1"))
            self.lease.current_age_ms = 5_000
            await self.submit(owner)
            await self.until(lambda: vm.running)

        self.run_with(main)

    def test_load_has_the_capacity_that_a_vm_has_lost(self):
        """Guards against machines taken from a pool that lost capacity."""

        async def main():
            vm = self.add_vm("vm-1")
            owner = self.own_pool()
            await self.until(lambda: owner.pool.vms.get("vm-1"))
            known = owner.pool.vms["vm-1"]
            await self.until(lambda: known.open_for_starts(1 << 60))
            shrunken = msgspec.structs.replace(
                vm.report, capacity=vms.Resources(20_000, 131_072)
            )
            owner.set_reports({vm.report.vm: shrunken})
            load = await owner.answer(messages.AskLoad(jobs.POOL, 0))
            self.assertEqual(12_000, load.idle_millicores)

        self.run_with(main)

    def test_shrunken_capacity_counts_before_the_next_plan(self):
        """Guards against waiting starts that are sent by the old report."""

        async def main():
            vm = self.add_vm("vm-1")
            owner = self.own_pool()
            await self.until(lambda: "vm-1" in owner.pool.vms)
            shrunken = msgspec.structs.replace(
                vm.report, capacity=vms.Resources(4_000, 1_000, 0)
            )
            owner.set_reports({vm.report.vm: shrunken})
            self.assertEqual(4_000, owner.pool.vms["vm-1"].free_cpu)

        self.run_with(main)

    def test_stop_does_not_hang_on_simultaneous_wake_up(self):
        """A cancellation together with a wake-up must not be lost."""

        async def main():
            owner = self.own_pool()
            await self.until(lambda: owner.ready)
            await asyncio.sleep(0.05)
            owner._wake.set()
            await asyncio.wait_for(owner.stop(), 2)

        self.run_with(main)

    def test_completed_job_is_stored_and_reported(self):
        async def main():
            vm = self.add_vm("vm-1")
            owner = self.own_pool()
            self.assertEqual(messages.Accepted(), await self.submit(owner))
            await self.until(lambda: vm.running)
            vm.end(next(iter(vm.running)), task_module.EndKind.DONE)
            await self.until(
                lambda: (
                    owner.pool.entries["a" * 16].stored_state
                    is model.JobState.COMPLETED
                )
            )
            state = await self.job_state(owner)
            self.assertIs(model.JobState.COMPLETED, state)
            await owner.stop()

        self.run_with(main)

    def test_job_stored_during_takeover_is_found(self):
        """A frontend stored a job after the takeover's read was served.

        The owner's watch reported the job before the slow read had ended, and
        not again afterwards.
        """

        async def main():
            served = self.store.read
            read_served = asyncio.Event()

            async def slow_read(prefix):
                result = await served(prefix)
                if asyncio.current_task() is owner._tasks[0]:
                    read_served.set()
                    await asyncio.sleep(1.5)
                return result

            self.store.read = slow_read
            owner = self.own_pool()
            await read_served.wait()
            job = jobs.job("a" * 16, epoch=0)
            await asyncio.sleep(0.1)
            self.store.state.write(
                keys.job(jobs.POOL, job.id), record.encode(job), 0, ""
            )
            await self.until(lambda: owner.ready)
            await asyncio.sleep(1.5)
            self.assertIn(job.id, owner.pool.entries)
            await owner.stop()

        self.run_with(main)

    def test_job_stored_by_frontend_during_first_write_is_not_dropped(self):
        """The owner dropped a job that a frontend had stored.

        The store refused the owner's own write, which had taken too long for
        the frontend.
        """

        async def main():
            owner = self.own_pool()
            await self.until(lambda: owner.ready)
            commit_refused = asyncio.Event()
            commit = self.store.commit

            async def refuse_late(transaction):
                await commit_refused.wait()
                self.store.commit = commit
                return Error(errors.StoreUnavailable("status 503", False))

            self.store.commit = refuse_late
            submission = asyncio.create_task(self.submit(owner))
            await asyncio.sleep(0.1)
            job = jobs.job("a" * 16, epoch=0)
            self.store.state.write(
                keys.job(jobs.POOL, job.id), record.encode(job), 0, ""
            )
            await asyncio.sleep(1.5)
            commit_refused.set()
            self.assertEqual(messages.Accepted(), await submission)
            self.assertIn(job.id, owner.pool.entries)
            await owner.stop()

        self.run_with(main)

    def test_owner_with_expired_lease_sends_no_queued_start(self):
        """A paused owner sent the starts that waited for their turn.

        A new owner may own the pool by then.
        """

        async def main():
            vm = self.add_vm("vm-1")
            owner = self.own_pool()
            await self.until(lambda: owner.ready)
            link_slots = owner._start_gate.slots
            for _ in range(128):
                await link_slots.acquire()
            await self.submit(owner)
            await self.until(lambda: owner.pool.vms["vm-1"].runs)
            await asyncio.sleep(0.1)
            self.lease.current_age_ms = 7_000
            link_slots.release()
            await asyncio.sleep(0.3)
            self.assertEqual([], vm.starts)
            await owner.stop()

        self.run_with(main)

    def test_new_owner_adopts_runs(self):
        async def main():
            vm, first = await self.own_pool_with_run()
            second = self.own_pool(2)
            await self.until(lambda: second.ready)
            await self.until(lambda: not second.pool.unresolved)
            await asyncio.sleep(0.2)
            self.assertEqual(1, len(vm.starts))
            self.assertEqual(1, len(second.pool.vms["vm-1"].runs))
            await first.stop()
            await second.stop()

        self.run_with(main)

    def test_previous_owner_notices_loss(self):
        async def main():
            vm, first = await self.own_pool_with_run()
            second = self.own_pool(2)
            await self.until(lambda: self.lost)
            self.assertIn(self.lost[0], ("fenced", "store"))
            await first.stop()
            await second.stop()

        self.run_with(main)

    def test_new_owner_waits_for_unresponsive_member(self):
        async def main():
            vm, first = await self.own_pool_with_run()
            vm.unresponsive = True
            other_vm = self.add_vm("vm-2")
            second = self.own_pool(2)
            await self.until(lambda: second.ready)
            await self.submit(second, "b")
            await self.until(lambda: other_vm.running)
            started = {task.job[0] for task in other_vm.running}
            self.assertEqual({"b"}, started)
            await first.stop()
            await second.stop()

        self.run_with(main)

    def starts_elsewhere_after_takeover(self, vm_by_machine):
        """Return whether a task of an unresponsive VM soon starts elsewhere."""
        started = []

        async def main():
            vm, first = await self.own_pool_with_run()
            vm.unresponsive = True
            other_vm = self.add_vm("vm-2")
            self.machines = fakes.FakeMachines(vm_by_machine)
            second = self.own_pool(2)
            await self.until(lambda: second.ready)
            await asyncio.sleep(0.8)
            started.extend(other_vm.running)
            await first.stop()
            await second.stop()

        self.run_with(main)
        return bool(started)

    def test_new_owner_with_unreadable_members_waits_for_their_leases(self):
        """One malformed value stopped each new owner's process."""

        async def main():
            vm, first = await self.own_pool_with_run()
            await first.stop()
            key = keys.members(jobs.POOL)
            revision = self.store.state.item(key).revision
            self.store.state.write(key, b"\xff", revision, "")
            second = self.own_pool(2)
            await self.until(lambda: second.ready)
            self.assertEqual(1, len(second.pool.unresolved))
            self.assertGreater(
                min(second.pool.unresolved.values()),
                self.clock.monotonic_ms() + _SETTINGS.lease_ms,
            )
            await second.stop()

        self.run_with(main)

    def test_new_owner_waits_for_predecessor_that_has_just_renewed(self):
        """Guards against starts while a former owner still extends leases."""

        async def main():
            vm, first = await self.own_pool_with_run()
            vm.unresponsive = True
            taken_ms = self.clock.monotonic_ms()
            # The store has ended the lease of the first owner, whose latest
            # renewal it has just answered.
            second = self.own_pool(2)
            await self.until(lambda: second.ready)
            may_command_until_ms = taken_ms + _COMMAND_MS
            self.assertGreaterEqual(
                min(second.pool.unresolved.values()),
                may_command_until_ms + _SETTINGS.lease_ms,
            )
            await first.stop()
            await second.stop()

        self.run_with(main)

    def test_new_owner_waits_for_lease_set_by_an_old_clock_reading(self):
        """Guards against starts beside runs whose lease is not over.

        The former owner was paused. It takes the VM's clock, which is slow, for
        as fast as its own since the last reading.
        """

        async def main():
            vm, first = await self.own_pool_with_run()
            vm.unresponsive = True
            await first.stop()
            renewed_ms = self.clock.monotonic_ms()
            lease = vm_module.LeaseTracker()
            lease.update_clock(1, renewed_ms)
            lease.extend(renewed_ms + _COMMAND_MS, _SETTINGS.lease_ms)
            second = self.own_pool(2)
            await self.until(lambda: second.ready)
            self.assertGreaterEqual(
                min(second.pool.unresolved.values()), lease.expiry_ms()
            )
            await second.stop()

        self.run_with(main)

    def test_new_owner_waits_for_vm_that_returns_after_it_has_answered(self):
        """Guards against a start of a predecessor on a VM that was fenced.

        The VM has crashed since, and has seen no fencing token. It is back
        under its id, executes the start late, and the new owner does not reach
        it.
        """

        async def main():
            vm = fake_vms.FakeVm(fake_vms.report("vm-1"), self.clock)
            path = _Path(vm)
            self.vms[vm.report.vm] = path
            first = self.own_pool()
            await self.until(lambda: "vm-1" in first._members.stored)
            returned = fake_vms.FakeVm(
                fake_vms.report("vm-1", born_ms=2), self.clock
            )

            async def hold_up(command):
                path.is_cut = True
                returned.delayed_starts.append(command)
                return vms.CommandResponse(vms.CommandOutcome.UNANSWERED)

            path.start = hold_up
            step = jobs.step(cpu_millicores=16_000)
            await self.submit(first, spec=jobs.spec(step))
            await self.until(lambda: returned.delayed_starts)
            vm.report = msgspec.structs.replace(
                vm.report, capacity=vms.Resources(8_000, 131_072)
            )
            self.vms[vm.report.vm] = vm
            second = self.own_pool(2)
            await self.until(lambda: second.ready)
            self.assertIn("vm-1", second._members.stored)
            await self.until(lambda: not second.pool.unresolved)
            returned.execute_delayed_starts()
            self.assertEqual(1, len(returned.running))
            returned.unresponsive = True
            self.vms[vm.report.vm] = returned
            other_vm = self.add_vm("vm-2")
            second.set_reports(
                {v.report.vm: v.report for v in self.vms.values()}
            )
            await asyncio.sleep(0.5)
            self.assertEqual({}, other_vm.running)
            await first.stop()
            await second.stop()

        self.run_with(main)

    def test_new_owner_waits_while_machine_carries_unresponsive_vm(self):
        self.assertFalse(
            self.starts_elsewhere_after_takeover({"m-vm-1": "vm-1"})
        )

    def test_new_owner_does_not_wait_if_machine_carries_other_vm(self):
        self.assertTrue(
            self.starts_elsewhere_after_takeover({"m-vm-1": "vm-7"})
        )

    def test_new_owner_waits_for_vm_that_registers_during_the_reading(self):
        """A machine list read before the VM had joined ended it."""

        async def main():
            vm, first = await self.own_pool_with_run()
            vm.unresponsive = True
            other_vm = self.add_vm("vm-2")
            self.machines = fakes.FakeMachines({"m-vm-1": "vm-7"})
            list_machines = self.machines.list
            reading = asyncio.Event()
            registered = asyncio.Event()

            async def list_slowly():
                listed = await list_machines()
                reading.set()
                await registered.wait()
                self.machines.list = list_current
                return listed

            async def list_current():
                return await fakes.FakeMachines({"m-vm-1": "vm-1"}).list()

            self.machines.list = list_slowly
            second = self.own_pool(2)
            second.set_reports({other_vm.report.vm: other_vm.report})
            await reading.wait()
            second.set_reports(
                {v.report.vm: v.report for v in self.vms.values()}
            )
            await self.until(lambda: "vm-1" in second.pool.vms)
            registered.set()
            await asyncio.sleep(0.5)
            self.assertEqual({}, other_vm.running)
            await first.stop()
            await second.stop()

        self.run_with(main)

    def test_new_owner_waits_for_vm_with_unlisted_machine(self):
        self.assertFalse(self.starts_elsewhere_after_takeover({}))

    def refuse_job_writes(self):
        """Refuse writes of jobs; return a function that ends this."""
        commit = self.store.commit

        async def refuse(transaction):
            prefix = keys.jobs(jobs.POOL)
            if any(w.key.startswith(prefix) for w in transaction.writes):
                return Error(errors.StoreUnavailable("status 503", False))
            return await commit(transaction)

        def accept():
            self.store.commit = commit

        self.store.commit = refuse
        return accept

    def close_vm(self, owner, vm):
        """Let nothing start on a VM, as while it is being vacated."""
        owner.pool.vms[vm.report.vm].closed_until_ms = 1 << 60

    async def end_unstored(self, vm, owner):
        """End the VM's run as done; the owner reads but cannot store it."""
        vm.end(next(iter(vm.running)), task_module.EndKind.DONE)
        tracked = owner.pool.vms[vm.report.vm]
        await self.until(lambda: tracked.last_end_position == 1)

    async def starts_on_other_vm(self, vm):
        """Return the tasks that a new owner starts while a VM is silent."""
        vm.unresponsive = True
        other_vm = self.add_vm("vm-2")
        second = self.own_pool(2)
        await self.until(lambda: second.ready)
        await asyncio.sleep(0.5)
        started = list(other_vm.running)
        await second.stop()
        return started

    def test_new_owner_waits_for_closed_vm_whose_end_is_not_stored(self):
        """A VM left the member list before its end was stored.

        The new owner did not wait for the VM and started the task again.
        """

        async def main():
            vm, first = await self.own_pool_with_run()
            accept_writes = self.refuse_job_writes()
            self.close_vm(first, vm)
            await self.end_unstored(vm, first)
            await asyncio.sleep(1.0)
            claim_waits_for_vm = self.starts_on_other_vm(vm)
            accept_writes()
            self.assertEqual([], await claim_waits_for_vm)
            await first.stop()

        self.run_with(main)

    def test_vm_is_not_reported_empty_before_its_end_is_stored(self):
        """Its machine was moved, and only the owner knew of the end.

        If that owner ended before the write, the task was started again.
        """

        async def main():
            vm, owner = await self.own_pool_with_run()
            accept_writes = self.refuse_job_writes()
            await self.end_unstored(vm, owner)
            request = messages.Vacate(
                jobs.POOL, "vm-1", messages.VacateMode.MOVE_ALL
            )
            answer = await owner.answer(request)
            self.assertEqual(messages.Vacated(1), answer)
            accept_writes()
            known = owner.pool.vms["vm-1"]
            await self.until(lambda: not known.has_unstored_ends)
            answer = await owner.answer(request)
            self.assertEqual(messages.Vacated(0), answer)
            await owner.stop()

        self.run_with(main)

    def test_no_vm_is_reported_empty_while_ownership_is_not_certain(self):
        """Guards against machines moved under the runs of a new owner."""

        async def main():
            self.add_vm("vm-1")
            owner = self.own_pool()
            await self.until(lambda: "vm-1" in owner._members.stored)
            request = messages.Vacate(
                jobs.POOL, "vm-1", messages.VacateMode.MOVE_ALL
            )
            self.lease.current_age_ms = 2_100
            answer = await owner.answer(request)
            self.assertEqual(messages.NotOwner(), answer)
            self.lease.current_age_ms = 0
            answer = await owner.answer(request)
            self.assertEqual(messages.Vacated(0), answer)
            await owner.stop()

        self.run_with(main)

    async def answer_of_former_owner(self, listed_before):
        """Ask a former owner to vacate a VM that runs a task of its successor.

        The store has ended the lease of the former owner right after a
        renewal. The former owner does not reach the VM.

        Args:
            listed_before: Whether the VM had been listed before the takeover.
        """
        vm = fake_vms.FakeVm(fake_vms.report("vm-1"), self.clock)
        path = _Path(vm)
        if listed_before:
            self.vms[vm.report.vm] = path
        first = self.own_pool()
        await self.until(lambda: first.ready)
        if listed_before:
            await self.until(lambda: "vm-1" in first._members.stored)
        path.is_cut = True
        self.vms[vm.report.vm] = vm
        second = self.own_pool(2)
        await self.submit(second)
        await self.until(lambda: vm.running)
        self.assertEqual([], self.lost)
        self.lease.end()
        await asyncio.sleep(0.01)
        answer = await first.answer(
            messages.Vacate(jobs.POOL, "vm-1", messages.VacateMode.MOVE_ALL)
        )
        await first.stop()
        await second.stop()
        return answer

    def test_no_vm_is_reported_empty_after_an_early_end_of_the_lease(self):
        """Guards against machines moved under the runs of a successor."""

        async def main():
            answer = await self.answer_of_former_owner(listed_before=True)
            self.assertEqual(messages.NotOwner(), answer)

        self.run_with(main)

    def test_unknown_vm_is_not_reported_empty_after_the_lease_ended(self):
        """Guards against machines moved under the runs of a successor.

        The VM has registered after the takeover.
        """

        async def main():
            answer = await self.answer_of_former_owner(listed_before=False)
            self.assertEqual(messages.NotOwner(), answer)

        self.run_with(main)

    def test_new_owner_starts_nothing_on_vm_that_was_reported_empty(self):
        """Guards against a move that ends tasks around a planned hand-over.

        The machine manager orders it by the answer of the previous owner, which
        keeps the VM closed for 3 s.
        """

        async def main():
            vm = self.add_vm("vm-1")
            first = self.own_pool()
            await self.until(lambda: "vm-1" in first._members.stored)
            answer = await first.answer(
                messages.Vacate(jobs.POOL, "vm-1", messages.VacateMode.MOVE_ALL)
            )
            self.assertEqual(messages.Vacated(0), answer)
            await first.stop()
            second = self.own_pool(2)
            await self.submit(second)
            await asyncio.sleep(0.3)
            self.assertEqual({}, vm.running)
            await second.stop()

        self.run_with(main)

    def test_vm_leaves_member_list_once_its_end_is_stored(self):
        """A silent VM would otherwise delay each new owner."""

        async def main():
            vm, owner = await self.own_pool_with_run()
            accept_writes = self.refuse_job_writes()
            self.close_vm(owner, vm)
            await self.end_unstored(vm, owner)
            vm.unresponsive = True
            await asyncio.sleep(1.0)
            self.assertEqual({"vm-1"}, owner._members.stored)
            accept_writes()
            await self.until(lambda: not owner._members.stored)
            await owner.stop()

        self.run_with(main)

    def test_stopped_owner_keeps_vm_whose_end_it_could_not_store(self):
        """The last member list lacked a VM with an unstored end.

        The next owner did not wait for the VM and started the task again.
        """

        async def main():
            vm, first = await self.own_pool_with_run()
            accept_writes = self.refuse_job_writes()
            await self.end_unstored(vm, first)
            await first.stop()
            accept_writes()
            self.assertEqual([], await self.starts_on_other_vm(vm))

        self.run_with(main)

    def test_stopped_owner_keeps_vm_whose_run_ends_during_its_flush(self):
        """An end read after the last flush had begun was not stored.

        The next owner did not wait for the VM and started the task again.
        """

        async def main():
            vm, first = await self.own_pool_with_run()
            self.close_vm(first, vm)
            other_job_stored = asyncio.Event()
            commit = self.store.commit

            async def slow_commit(transaction):
                await other_job_stored.wait()
                return await commit(transaction)

            self.store.commit = slow_commit
            submission = asyncio.create_task(self.submit(first, "b"))
            await self.until(lambda: first._job_writer._committing)
            stop = asyncio.create_task(first.stop())
            await asyncio.sleep(0)
            await self.end_unstored(vm, first)
            other_job_stored.set()
            await stop
            await submission
            self.store.commit = commit
            self.assertEqual([], await self.starts_on_other_vm(vm))

        self.run_with(main)

    def test_stopped_owner_removes_vm_whose_end_it_stored(self):
        """The next owner would wait for a VM that has nothing to tell."""

        async def main():
            vm, owner = await self.own_pool_with_run()
            vm.end(next(iter(vm.running)), task_module.EndKind.DONE)
            await owner._links["vm-1"].hold(0)
            await owner.stop()
            item = self.store.state.item(keys.members(jobs.POOL))
            self.assertEqual(b"{}", item.value)

        self.run_with(main)

    def test_end_is_not_lost_by_an_error_in_what_is_learned_from_it(self):
        """An end was acknowledged although it had not been applied.

        An unexpected error had interrupted the handling of its listing.
        """

        async def main():
            vm, owner = await self.own_pool_with_run()

            def fail(*arguments):
                raise KeyError("unexpected")

            owner.pool.run_times.observe = fail
            vm.end(next(iter(vm.running)), task_module.EndKind.DONE)
            await self.until(lambda: not vm.ended)
            await asyncio.sleep(0.3)
            self.assertEqual(1, len(vm.starts))
            state = await self.job_state(owner)
            self.assertIs(model.JobState.COMPLETED, state)
            await owner.stop()

        self.run_with(main)

    def starts_of_job_known_to_previous_owner(self, ask_new_owner):
        """Return what the new owner starts of a job that a frontend stored.

        The previous owner, which has not noticed its loss, has started the job
        on a VM that does not answer the new owner.

        Args:
            ask_new_owner: Coroutine function that lets the new owner learn of
                the job by a request.
        """
        started = []

        async def main():
            vm, first = await self.own_pool_with_run()
            silent_vm = fake_vms.FakeVm(vm.report, self.clock)
            silent_vm.unresponsive = True
            self.vms[vm.report.vm] = silent_vm
            other_vm = self.add_vm("vm-2")
            second = self.own_pool(2)
            second._job_mirror._pause_ms = 60_000
            await self.until(lambda: second.ready)
            self.store_as_frontend(jobs.job("b" * 16, epoch=0))
            await self.until(lambda: len(vm.running) == 2)
            await ask_new_owner(second)
            await asyncio.sleep(0.5)
            started.extend(other_vm.running)
            await first.stop()
            await second.stop()

        self.run_with(main)
        return started

    def test_job_stored_by_frontend_waits_for_vms_if_it_is_submitted(self):
        """The new owner took the job for one that nobody had started.

        It had not read the job yet when it was sent to it again.
        """

        async def submit(owner):
            answer = await self.submit(owner, "b")
            self.assertEqual(messages.Accepted(), answer)

        self.assertEqual([], self.starts_of_job_known_to_previous_owner(submit))

    def test_job_stored_by_frontend_waits_for_vms_if_it_is_read_later(self):
        """The new owner took the job for one that nobody had started.

        It read the job while its own first write was delayed.
        """

        async def submit_and_read(owner):
            write_allowed = asyncio.Event()
            commit = self.store.commit

            async def slow_commit(transaction):
                await write_allowed.wait()
                return await commit(transaction)

            self.store.commit = slow_commit
            submission = asyncio.create_task(self.submit(owner, "b"))
            await self.until(lambda: owner._job_writer._committing)
            item = self.store.state.item(keys.job(jobs.POOL, "b" * 16))
            owner._on_jobs_change([item])
            self.store.commit = commit
            write_allowed.set()
            self.assertEqual(messages.Accepted(), await submission)

        self.assertEqual(
            [], self.starts_of_job_known_to_previous_owner(submit_and_read)
        )

    def test_end_of_job_that_the_owner_has_not_read_is_not_lost(self):
        """The end of an unknown job was acknowledged without a write.

        A frontend had stored the job, and the previous owner, which had not
        noticed its loss, had run it; the new owner read the job later.
        """

        async def main():
            vm, first = await self.own_pool_with_run()
            second = self.own_pool(2)
            second.set_reports({})
            second._job_mirror._pause_ms = 60_000
            await self.until(lambda: second.ready)
            self.store_as_frontend(jobs.job("b" * 16, epoch=0))
            await self.until(lambda: len(vm.running) == 2)
            task = next(task for task in vm.running if task.job[0] == "b")
            vm.end(task, task_module.EndKind.DONE)
            second.set_reports({vm.report.vm: vm.report})
            await self.until(lambda: not second.pool.unresolved)
            await asyncio.sleep(0.2)
            item = self.store.state.item(keys.job(jobs.POOL, task.job))
            second._on_jobs_change([item])
            await asyncio.sleep(0.3)
            starts = [c for c in vm.starts if c.task == task]
            self.assertEqual(1, len(starts))
            state = await self.job_state(second, "b")
            self.assertIs(model.JobState.COMPLETED, state)
            await first.stop()
            await second.stop()

        self.run_with(main)

    def test_end_of_unknown_job_waits_for_an_answer_of_the_store(self):
        """An end was lost if its job could not be looked up."""

        async def main():
            vm = self.add_vm("vm-1")
            task = model.TaskId(model.JobId("d" * 16), 0, 0, 0)
            vm.running[task] = fake_vms.FakeRun(1, 0)
            vm.end(task, task_module.EndKind.DONE)
            owner = self.own_pool()
            owner.set_reports({})
            await self.until(lambda: owner.ready)
            read_key = self.store.read_key

            async def fail(key):
                return Error(errors.StoreUnavailable("fault"))

            self.store.read_key = fail
            owner.set_reports({vm.report.vm: vm.report})
            await asyncio.sleep(0.5)
            self.assertEqual(1, len(vm.ended))
            self.assertLess(vm.holds, 8)
            self.store.read_key = read_key
            await self.until(lambda: not vm.ended)
            await owner.stop()

        self.run_with(main)

    def test_run_of_job_that_the_owner_has_not_read_is_adopted(self):
        """The run was to be stopped, and the job was then read.

        The task started on another VM although the stop was not answered.
        """

        async def main():
            vm, first = await self.own_pool_with_run()
            other_vm = self.add_vm("vm-2")
            second = self.own_pool(2)
            second.set_reports({})
            second._job_mirror._pause_ms = 60_000
            await self.until(lambda: second.ready)
            self.store_as_frontend(jobs.job("b" * 16, epoch=0))
            await self.until(lambda: len(vm.running) == 2)

            async def lose_stop(task, number, token):
                return vms.CommandResponse(vms.CommandOutcome.UNANSWERED)

            vm.stop = lose_stop
            second.set_reports(
                {v.report.vm: v.report for v in self.vms.values()}
            )
            await self.until(lambda: not second.pool.unresolved)
            item = self.store.state.item(keys.job(jobs.POOL, "b" * 16))
            second._on_jobs_change([item])
            await asyncio.sleep(0.5)
            self.assertEqual({}, other_vm.running)
            self.assertEqual(2, len(second.pool.vms["vm-1"].runs))
            await first.stop()
            await second.stop()

        self.run_with(main)

    def test_end_of_job_that_is_not_stored_is_acknowledged(self):
        """Otherwise a VM would list the end of a deleted job for ever."""

        async def main():
            vm = self.add_vm("vm-1")
            task = model.TaskId(model.JobId("d" * 16), 0, 0, 0)
            vm.running[task] = fake_vms.FakeRun(1, 0)
            vm.end(task, task_module.EndKind.DONE)
            owner = self.own_pool()
            await self.until(lambda: not vm.ended)
            await self.submit(owner)
            await self.until(lambda: vm.running)
            await owner.stop()

        self.run_with(main)

    def test_ended_run_is_acknowledged_only_after_it_is_stored(self):
        async def main():
            vm = self.add_vm("vm-1")
            owner = self.own_pool()
            await self.submit(owner, spec=jobs.spec(jobs.step(2)))
            await self.until(lambda: len(vm.running) == 2)
            self.store.refuse_commits = True
            vm.end(next(iter(vm.running)), task_module.EndKind.DONE)
            await asyncio.sleep(1.0)
            self.assertEqual(1, len(vm.ended))
            self.store.refuse_commits = False
            await self.until(lambda: not vm.ended)
            await owner.stop()

        self.run_with(main)

    def test_job_stored_by_frontend_is_found(self):
        async def main():
            vm = self.add_vm("vm-1")
            owner = self.own_pool()
            await self.until(lambda: owner.ready)
            job = jobs.job("c" * 16, epoch=0)
            key = keys.job(jobs.POOL, job.id)
            self.store.state.write(key, record.encode(job), 0, "")
            await self.until(lambda: vm.running)
            await owner.stop()

        self.run_with(main)

    def test_job_is_rejected_at_once_if_store_is_unreachable(self):
        async def main():
            owner = self.own_pool()
            await self.until(lambda: owner.ready)
            self.store_unreachable = True
            answer = await self.submit(owner)
            self.assertIsInstance(answer, messages.Rejected)

        self.run_with(main)

    def store_as_frontend(self, job):
        key = keys.job(jobs.POOL, job.id)
        self.store.state.write(key, record.encode(job), 0, "")

    def test_job_that_a_successor_has_cancelled_is_not_started(self):
        """UNASKED: a former owner started a job after it had been cancelled.

        It had read the cancellation by its successor, and ignored it.
        """

        async def main():
            vm = self.add_vm("vm-1")
            owner = self.own_pool()
            await self.until(lambda: "vm-1" in owner._members.stored)
            self.close_vm(owner, vm)
            await self.submit(owner)
            key = keys.job(jobs.POOL, "a" * 16)
            cancelled = self.stored_job()
            cancelled.cancel(1)
            revision = self.store.state.item(key).revision
            self.store.state.write(key, record.encode(cancelled), revision, "")
            owner._on_jobs_change([self.store.state.item(key)])
            owner.pool.vms["vm-1"].closed_until_ms = 0
            await asyncio.sleep(0.3)
            self.assertEqual([], vm.starts)

        self.run_with(main)

    def test_withdrawn_job_is_not_accepted(self):
        """Guards against a request that arrives after its job's cancelling."""

        async def main():
            vm = self.add_vm("vm-1")
            owner = self.own_pool()
            await self.until(lambda: owner.ready)
            withdrawn = job_module.withdrawn(
                "a" * 16, jobs.queue().address, 1_000_000, ""
            )
            self.store_as_frontend(withdrawn)
            # The owner learns of it by its first write, or before.
            first = await self.submit(owner)
            await asyncio.sleep(0.3)
            self.assertEqual([], vm.starts)
            self.assertIs(model.JobState.CANCELLED, self.stored_job().state)
            second = await self.submit(owner)
            self.assertEqual(first, second)
            await owner.stop()

        self.run_with(main)

    def test_withdrawn_job_is_neither_shown_nor_pending(self):
        async def main():
            owner = self.own_pool()
            await self.until(lambda: owner.ready)
            withdrawn = job_module.withdrawn(
                "a" * 16, jobs.queue().address, 1_000_000, ""
            )
            self.store_as_frontend(withdrawn)
            await self.until(lambda: withdrawn.id in owner.pool.entries)
            self.assertIsNone(await self.job_state(owner))
            pending = await owner.answer(
                messages.AskPending(jobs.POOL, jobs.QUEUE)
            )
            self.assertEqual(messages.Pending(0), pending)
            answer = await self.submit(owner)
            self.assertEqual(admission.RefusalReason.WITHDRAWN, answer.reason)
            retention_ms = owner.pool.clock.monotonic_ms() + 1_000_000
            entry = owner.pool.entries[withdrawn.id]
            entry.final_ms -= retention_ms
            expired = owner.pool.jobs.expired_jobs(1_000_000)
            self.assertEqual([withdrawn.id], expired)
            await owner.stop()

        self.run_with(main)

    def test_a_stored_job_is_not_refused_when_it_is_sent_again(self):
        """The answer of a frontend that had stored the job was lost."""

        async def main():
            self.add_vm("vm-1")
            owner = self.own_pool()
            await self.until(lambda: owner.ready and owner.pool.vms)
            spec = jobs.spec(jobs.step(cpu_millicores=900_000))
            refused = await self.submit(owner, spec=spec)
            self.assertIsInstance(refused, messages.Rejected)
            self.store_as_frontend(jobs.job("b" * 16, spec))
            answer = await self.submit(owner, "b", spec)
            self.assertEqual(messages.Accepted(), answer)
            self.assertIn("b" * 16, owner.pool.entries)
            await owner.stop()

        self.run_with(main)

    def test_a_job_is_not_refused_while_the_store_cannot_be_asked(self):
        async def main():
            self.add_vm("vm-1")
            owner = self.own_pool()
            await self.until(lambda: owner.ready and owner.pool.vms)

            async def fail(key):
                return Error(errors.StoreUnavailable("fault"))

            self.store.read_key = fail
            spec = jobs.spec(jobs.step(cpu_millicores=900_000))
            self.assertEqual(
                messages.Unsure(), await self.submit(owner, spec=spec)
            )
            await owner.stop()

        self.run_with(main)

    def test_job_of_abandoned_request_is_stored_and_started(self):
        """Guards against a submission that is lost when its asker gives up."""

        async def main():
            vm = self.add_vm("vm-1")
            owner = self.own_pool()
            await self.until(lambda: owner.ready)
            # A commit takes place after the batch delay of the writer.
            with testtools.ExpectedException(TimeoutError):
                async with asyncio.timeout(0.001):
                    await self.submit(owner)
            key = keys.job(jobs.POOL, "a" * 16)
            self.assertIsNone(self.store.state.item(key).value)
            await self.until(lambda: vm.running)
            self.assertIs(model.JobState.RUNNING, await self.job_state(owner))

        self.run_with(main)

    def test_planning_continues_during_member_write(self):
        """Jobs start on the stored member while a new VM is being stored."""

        async def main():
            vm, owner = await self.own_pool_with_run()
            await self.submit(owner, "b")
            commit = self.store.commit

            async def commit_with_slow_members(transaction):
                if keys.members(jobs.POOL) in transaction.expected:
                    await asyncio.sleep(30)
                return await commit(transaction)

            self.store.commit = commit_with_slow_members
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

    def test_used_vm_is_stored_as_member(self):
        async def main():
            vm, owner = await self.own_pool_with_run()
            item = self.store.state.item(keys.members(jobs.POOL))
            self.assertIn(b"vm-1", item.value)
            await owner.stop()

        self.run_with(main)

    def delay_member_writes(self):
        """Delay writes of the member list until the returned event is set."""
        writes_allowed = asyncio.Event()
        commit = self.store.commit
        key = keys.members(jobs.POOL)

        async def delayed_commit(transaction):
            if any(write.key == key for write in transaction.writes):
                await writes_allowed.wait()
            return await commit(transaction)

        self.store.commit = delayed_commit
        return writes_allowed

    def test_nothing_starts_on_vm_before_its_membership_is_stored(self):
        async def main():
            vm = self.add_vm("vm-1")
            writes_allowed = self.delay_member_writes()
            owner = self.own_pool()
            await self.submit(owner)
            await asyncio.sleep(0.5)
            self.assertEqual([], vm.starts)
            writes_allowed.set()
            await self.until(lambda: vm.running)
            await owner.stop()

        self.run_with(main)

    def test_vm_is_not_reported_empty_before_first_response(self):
        """Its runs are unknown until then, so it must not be maintained."""

        async def main():
            vm = self.add_vm("vm-1")
            vm.unresponsive = True
            owner = self.own_pool()
            await self.until(lambda: "vm-1" in owner.pool.vms)
            request = messages.Vacate(
                jobs.POOL, "vm-1", messages.VacateMode.MOVE_LONG_RUNNING
            )
            self.assertEqual(messages.NotOwner(), await owner.answer(request))
            vm.unresponsive = False
            await owner.stop()

        self.run_with(main)

    def test_a_vm_whose_move_is_cancelled_starts_tasks_at_once(self):
        """The pool needs the VM again before it has been vacated."""

        async def main():
            _, owner = await self.own_pool_with_run()
            request = messages.Vacate(
                jobs.POOL, "vm-1", messages.VacateMode.MOVE_ALL
            )
            await owner.answer(request)
            await owner.answer(messages.Reopen(jobs.POOL, "vm-1"))
            vm = owner.pool.vms["vm-1"]
            self.assertEqual(0, vm.closed_until_ms)
            self.assertEqual(0, vm.moves_long_running_until_ms)
            self.assertEqual(0, vm.moves_all_until_ms)
            await owner.stop()

        self.run_with(main)

    def test_new_vm_does_not_wait_for_delayed_member_removal(self):
        """A VM is added while the removal of another one is being delayed."""

        async def main():
            vm, owner = await self.own_pool_with_run()
            other_vm = self.add_vm("vm-2")
            reports = {v.report.vm: v.report for v in self.vms.values()}
            owner.set_reports(reports)
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
            self.assertEqual({}, other_vm.running)
            await owner.stop()

        self.run_with(main)

    def test_new_owner_reports_no_vm_empty_before_response(self):
        """The VM may run tasks of the previous owner, listed or not."""

        async def main():
            vm, first = await self.own_pool_with_run()
            vm.unresponsive = True
            second = self.own_pool(2)
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
            vm.unresponsive = False
            await self.until(lambda: not second.pool.unresolved)
            answer = await second.answer(request)
            self.assertEqual(messages.Vacated(1), answer)
            await first.stop()
            await second.stop()

        self.run_with(main)

    def replace_vm(self, owner, name):
        """Crash the VM on the machine and boot another one there."""
        for vm in self.vms.values():
            vm.unresponsive = True
        report = fake_vms.report(name, born_ms=len(self.vms) + 1)
        report = msgspec.structs.replace(report, machine="m-1")
        vm = fake_vms.FakeVm(report, self.clock)
        self.vms[report.vm] = vm
        owner.set_reports({report.vm: report})
        return vm

    def stored_job(self, name="a"):
        item = self.store.state.item(keys.job(jobs.POOL, name * 16))
        return record.decode(item.value).ok

    def test_job_that_crashes_its_vms_is_given_up(self):
        """A task that crashes its VMs was started again for ever."""

        async def main():
            owner = self.own_pool()
            await self.submit(owner)
            for number in range(3):
                vm = self.replace_vm(owner, f"vm-{number}")
                await self.until(lambda vm=vm: vm.running)
            vm = self.replace_vm(owner, "vm-3")
            await self.until(
                lambda: self.stored_job().state is model.JobState.FAILED
            )
            await self.until(lambda: vm.holds)
            await asyncio.sleep(0.3)
            self.assertEqual([], vm.starts)
            state = await self.job_state(owner)
            self.assertIs(model.JobState.FAILED, state)
            await owner.stop()

        self.run_with(main)

    def test_crash_is_stored_at_once(self):
        """Guards against a next owner that counts the crashes from zero."""

        async def main():
            owner = self.own_pool()
            await self.submit(owner)
            vm = self.replace_vm(owner, "vm-1")
            await self.until(lambda: vm.running)
            # No run ends, which would have the job stored as well.
            self.replace_vm(owner, "vm-2").unresponsive = True
            await self.until(lambda: list(self.stored_job().crashed_tasks()))
            await owner.stop()

        self.run_with(main)

    def test_vm_that_crashes_before_it_responds_counts(self):
        """Guards against a task that crashes each VM at its start."""

        async def main():
            owner = self.own_pool()
            await self.submit(owner, spec=jobs.spec(jobs.step(2)))
            vm = self.replace_vm(owner, "vm-1")
            vm.delay_starts = True
            await self.until(lambda: len(vm.delayed_starts) == 2)
            self.replace_vm(owner, "vm-2").unresponsive = True
            await self.until(
                lambda: len(list(self.stored_job().crashed_tasks())) == 2
            )
            await owner.stop()

        self.run_with(main)

    def test_lost_vm_that_is_vacated_has_not_crashed(self):
        """Guards against a maintained VM that was cut off from its owner."""

        async def main():
            owner = self.own_pool()
            await self.submit(owner)
            vm = self.replace_vm(owner, "vm-1")
            await self.until(lambda: vm.running)
            task = owner.pool.entries["a" * 16].job.steps(0)[0].tasks[0]
            vm.unresponsive = True
            owner.set_reports({})
            await self.until(lambda: task.lost_on)
            request = messages.Vacate(
                jobs.POOL, "vm-1", messages.VacateMode.MOVE_ALL
            )
            answer = await owner.answer(request)
            self.assertEqual(messages.Vacated(0), answer)
            vm = self.replace_vm(owner, "vm-2")
            await self.until(lambda: vm.running)
            self.assertEqual(set(), task.suspected_of())
            await owner.stop()

        self.run_with(main)
