"""Tests of ownership across simulated entry processes, in virtual time."""

import asyncio
import random
from unittest import mock

from support import jobs
from support.sim import loop as loop_module
from tests.entry import node_case
from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller.entry import node as node_module
from wagtailtiller.jobs import model
from wagtailtiller.owner import messages
from wagtailtiller.ownership import succession

_MACHINES = node_module.MACHINES_SHARD.key_name


class LateOwnerTest(node_case.NodeCase):
    def test_slowed_owner_hands_all_its_shards_over(self):
        """Guards against a pool that waits 5 s for its slowed owner."""

        async def main():
            before = self.owners()
            name = before[_MACHINES]
            slowed = self.world.processes[name]
            await self.slow_down(slowed, 5)
            after = self.owners()
            self.assertEqual(before.keys(), after.keys())
            self.assertNotIn(name, after.values())
            # The other owners keep their shards.
            for shard, owner in before.items():
                if owner != name:
                    self.assertEqual(owner, after[shard])

        self.run_world(main)

    def test_ownership_does_not_flap_after_a_slowdown(self):
        async def main():
            before = self.epochs()
            slowed = self.world.processes[self.owners()["proofs"]]
            for _ in range(3):
                await self.slow_down(slowed, 4)
                await asyncio.sleep(4)
            after = self.epochs()
            changes = sum(after.values()) - sum(before.values())
            self.assertLessEqual(changes, 2)

        self.run_world(main)

    def test_all_vms_slow_and_nobody_hands_over(self):
        """Guards against ownership that flaps while all VMs are slow."""

        async def main():
            before = self.epochs()
            rng = random.Random(1)

            async def slow_down(process):
                await asyncio.sleep(rng.uniform(0, 0.1))
                await self.slow_down(process, 8)

            await asyncio.gather(*map(slow_down, self.world.live_processes()))
            self.assertEqual(before, self.epochs())

        self.run_world(main)

    def test_strong_vm_that_is_slowed_gives_to_a_strong_vm(self):
        async def main():
            slowed = self.world.processes[self.owners()["proofs"]]
            self.assertIn(slowed.name, ("e0", "e1"))
            await self.slow_down(slowed, 5)
            self.assertIn(self.owners()["proofs"], ("e0", "e1"))
            self.assertNotEqual(slowed.name, self.owners()["proofs"])

        self.run_world(main, strong_processes=2)


class SilentStoreTest(node_case.NodeCase):
    """Load pattern: a process is cut off from the store only, for long."""

    def test_process_gives_all_its_shards_up(self):
        """Guards against managers and owners that last as long as the cut."""

        async def main():
            process = self.world.processes["e0"]
            self.assertIn(
                node_module.MACHINES_SHARD, process.node.owned_shards()
            )
            manager = process.node._machine_manager
            self.world.store_service.faults.partitioned.add(process.process)
            with mock.patch.object(events, "emit") as emit:
                await asyncio.sleep(8)
            self.assertEqual([], process.node.owned_shards())
            self.assertTrue(manager._main_task.done())
            lost = {
                call.kwargs["shard"]: call.kwargs["reason"]
                for call in emit.mock_calls
                if call.args == (events.Event.SHARD_LOST,)
            }
            self.assertEqual(dict.fromkeys(lost, "store_silent"), lost)
            self.assertIn(_MACHINES, lost)

        self.run_world(main, processes=1)


class EpochTest(node_case.NodeCase):
    def test_submission_for_an_earlier_epoch_has_no_effect(self):
        """Guards against a late request whose job was refused meanwhile."""

        async def main():
            process = self.world.processes[self.owners()["proofs"]]
            epoch = self.epochs()["wagtail/epochs/proofs"]
            request = messages.Submit(
                ids.PoolId("proofs"),
                model.JobId("a" * 16),
                ids.QueueId("proof-page"),
                jobs.spec(),
                epoch=epoch + 1,
            )
            answer = await process.node.ask_local(request)
            self.assertEqual(
                messages.NotOwner(f"{process.name}:1", epoch), answer
            )

        self.run_world(main)


class RestartTest(node_case.NodeCase):
    async def restart(self, process):
        await process.terminate()
        await asyncio.sleep(0.6)
        await self.world.start_process(process.name)

    async def restart_all(self):
        restarts = []
        for process in self.world.live_processes():
            restarts.append(asyncio.create_task(self.restart(process)))
            await asyncio.sleep(2)
        await asyncio.gather(*restarts)

    def test_all_entry_vms_are_restarted_in_turn(self):
        """Guards against pools that move with each restart."""

        async def main():
            before = self.epochs()
            await self.restart_all()
            await asyncio.sleep(1)
            after = self.epochs()
            moves = [after[key] - before[key] for key in after]
            self.assertLessEqual(max(moves), 3)
            self.assertEqual(3, len(self.owners()))

        self.run_world(main, processes=10, strong_processes=4)

    def test_pools_stay_on_strong_vms_while_one_is_up(self):
        """Guards against a large pool behind a small link."""

        async def main():
            strong = {f"e{number}" for number in range(3)}
            restarting = asyncio.create_task(self.restart_all())
            while not restarting.done():
                await asyncio.sleep(0.1)
                self.assertLessEqual(set(self.owners().values()), strong)

        self.run_world(main, processes=10, strong_processes=3)

    def test_planned_stop_leaves_pool_without_owner_for_a_moment_only(self):
        """Guards against callers that wait for the candidates' delays."""

        async def main():
            process = self.world.processes[self.owners()["proofs"]]
            stop = asyncio.create_task(process.node.hand_over())
            await asyncio.sleep(0.3)
            owner = self.owners().get("proofs")
            self.assertNotIn(owner, (None, process.name))
            await stop

        self.run_world(main, processes=10, strong_processes=3)

    def test_stop_without_the_store_ends_in_time(self):
        """Guards against a process that is killed with requests open."""

        async def main():
            process = self.world.processes[self.owners()["proofs"]]
            self.world.store_service.faults.partitioned.add(process.process)
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            await process.node.hand_over()
            await process.node.stop()
            self.assertLess(loop.time() - started_s, 3)
            await asyncio.sleep(4)
            process.kill()
            self.assertEqual(3, len(self.owners()))

        self.run_world(main)

    def test_hand_over_that_hangs_does_not_hide_a_lost_session(self):
        """Guards against commands of an owner that is cut off for too long."""

        async def main():
            (process,) = self.world.live_processes()
            node = process.node
            owner = node._owners[ids.PoolId("proofs")]
            owner.stop = loop_module.wait_forever
            plan = succession.Plan(succession.Reason.STRONGER_VM, None)
            node._shards.plan_hand_over = lambda claim, *lateness: (
                plan if claim == owner.claim else None
            )
            self.world.store_service.faults.partitioned.add(process.process)
            await asyncio.sleep(1)
            self.assertEqual({"colours"}, node._owners.keys())
            await asyncio.sleep(6)
            self.assertEqual({}, node._owners)

        self.run_world(main, processes=1)


class DeclarationsTest(node_case.NodeCase):
    def test_owners_learn_whether_vms_guard_their_capacity(self):
        """Guards against owners that trust VMs to refuse what doesn't fit."""
        for guards_capacity in (False, True):

            async def main(expected=guards_capacity):
                learned = [
                    owner._guards_capacity
                    for process in self.world.live_processes()
                    for owner in process.node._owners.values()
                ]
                self.assertEqual([expected] * len(learned), learned)
                self.assertGreater(len(learned), 0)

            self.run_world(main, processes=2, guards_capacity=guards_capacity)


class VacatedVmTest(node_case.NodeCase):
    """Load pattern: owners hand their pools over while machines move."""

    def test_new_owner_starts_nothing_on_a_vm_reported_empty(self):
        """Guards against runs that the order for the machine ends.

        The machine manager orders within 400 ms of the report.
        """

        async def main():
            pool = ids.PoolId("proofs")
            process = self.world.processes[self.owners()[pool]]
            vm = next(
                vm
                for vm in self.world.fleet.live_vms()
                if vm.report.pool == pool
            )
            vacate = messages.Vacate(
                pool, vm.report.vm, messages.VacateMode.MOVE_ALL
            )
            answer = await process.node.ask_local(vacate)
            self.assertEqual(messages.Vacated(0), answer)
            reported_ms = self.world.clock.monotonic_ms()
            stopping = asyncio.create_task(process.node.hand_over())
            step = jobs.step(12, cpu_millicores=8_000)
            submitting = asyncio.create_task(self.submit(pool, jobs.spec(step)))
            while self.world.clock.monotonic_ms() < reported_ms + 400:
                self.assertEqual([], list(vm.running))
                await asyncio.sleep(0.01)
            await stopping
            await submitting

        self.run_world(main, processes=10, strong_processes=3)

    async def submit(self, pool, spec):
        """Submit a job by the pool's next owner as soon as it answers."""
        request = messages.Submit(
            pool, model.JobId("a" * 16), ids.QueueId("proof-page"), spec
        )
        while True:
            await asyncio.sleep(0.01)
            owner = self.owners().get(pool)
            if owner is None:
                continue
            node = self.world.processes[owner].node
            answer = await node.ask_local(request)
            if isinstance(answer, messages.Accepted):
                return
