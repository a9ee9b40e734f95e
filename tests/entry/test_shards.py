"""Tests of the claims of shards, in virtual time."""

import asyncio
import random

from expression import Error
from expression import Ok
import msgspec
import testtools

from support import fakes
from support.sim import loop as loop_module
from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller.entry import shards as shards_module
from wagtailtiller.ownership import claims
from wagtailtiller.ownership import shard as shard_module
from wagtailtiller.ownership import succession
from wagtailtiller.ports import store

_SHARD = shard_module.PoolShard(ids.PoolId("renders"))


class _Store(fakes.FakeStore):
    """Store whose lease renewals fail while ``renews`` is False."""

    renews = True

    async def renew_lease(self, lease):
        if not self.renews:
            return Error(errors.StoreUnavailable("no answer"))
        return await super().renew_lease(lease)

    async def watch(self, prefix, after, wait_ms):
        await asyncio.sleep(0.05)
        return await super().watch(prefix, after, wait_ms)


class _ShardsCase(testtools.TestCase):
    def run_with_shards(self, main, shard_capacity=1.0):
        async def wrapped():
            self.store = _Store()
            self.gained = []
            own_record = claims.NodeRecord(
                ids.NodeId("e-1"), "e-1:1", "x", "dc-1", shard_capacity
            )
            shards = shards_module.Shards(
                self.store,
                own_record,
                loop_module.VirtualClock(asyncio.get_running_loop()),
                self.gained.append,
                lambda claim, reason: None,
                random.Random(1),
            )
            shards_task = asyncio.create_task(shards.run())
            await main(shards)
            shards_task.cancel()

        loop_module.run(wrapped())

    async def register(self, name, shard_capacity, **flags):
        record = claims.NodeRecord(
            ids.NodeId(name), f"{name}:1", "y", "dc-1", shard_capacity, **flags
        )
        key = keys.node(record.node)
        revision = self.store.state.item(key).revision
        return self.store.state.write(
            key, claims.encode(record), revision, ""
        ).ok


class ShardsTest(_ShardsCase):
    def test_unowned_shard_is_claimed(self):
        async def main(shards):
            shards.set_shards({_SHARD})
            await asyncio.sleep(2)
            self.assertEqual([_SHARD], [claim.shard for claim in self.gained])

        self.run_with_shards(main)

    def test_a_weak_vm_leaves_time_to_strong_ones_after_an_outage(self):
        """Load pattern: all leases expire while the store is away."""

        async def main(shards):
            revision = await self.register("strong", 4.0)
            await asyncio.sleep(2)
            await self.store.delete(keys.node(ids.NodeId("strong")), revision)
            shards.set_shards({_SHARD})
            await asyncio.sleep(1)
            self.assertEqual([], self.gained)
            # One strong VM is listed, but does not claim yet.
            await self.register("strong", 4.0)
            await asyncio.sleep(0.6)
            self.assertEqual([], self.gained)

        self.run_with_shards(main)

    def test_a_weak_vm_takes_over_if_no_strong_one_returns(self):
        async def main(shards):
            revision = await self.register("strong", 4.0)
            await asyncio.sleep(2)
            await self.store.delete(keys.node(ids.NodeId("strong")), revision)
            shards.set_shards({_SHARD})
            await asyncio.sleep(3)
            self.assertEqual(1, len(self.gained))

        self.run_with_shards(main)

    def test_a_shard_goes_to_a_much_stronger_vm_that_returns(self):
        """Load pattern: all strong VMs were cut off for seconds."""

        async def main(shards):
            shards.set_shards({_SHARD})
            await asyncio.sleep(2)
            (claim,) = self.gained
            await self.register("equal", 1.0)
            await asyncio.sleep(3)
            self.assertIsNone(shards.plan_hand_over(claim))
            await self.register("strong", 4.0)
            await asyncio.sleep(1)
            self.assertIsNone(shards.plan_hand_over(claim))
            await asyncio.sleep(2)
            plan = shards.plan_hand_over(claim)
            self.assertEqual(succession.Reason.STRONGER_VM, plan.reason)
            self.assertEqual("strong", plan.successor.node)
            await shards.release(claim)
            await asyncio.sleep(1)
            self.assertEqual([claim], self.gained)

        self.run_with_shards(main)

    def test_a_shard_stays_if_the_strong_vm_is_as_loaded(self):
        async def main(shards):
            shards.set_shards({_SHARD})
            await asyncio.sleep(2)
            await self.register("strong", 4.0)
            for number in range(2):
                owner = claims.OwnerRecord(
                    ids.NodeId("strong"), "strong:1", "y", 1
                )
                key = keys.owner(
                    shard_module.PoolShard(ids.PoolId(f"other-{number}"))
                )
                self.store.state.write(key, claims.encode(owner), 0, "")
            await asyncio.sleep(4)
            self.assertIsNone(shards.plan_hand_over(self.gained[0]))

        self.run_with_shards(main)

    def test_no_shard_is_claimed_while_lease_is_not_renewed(self):
        async def main(shards):
            await asyncio.sleep(2)
            self.store.renews = False
            await asyncio.sleep(2)
            shards.set_shards({_SHARD})
            await asyncio.sleep(3)
            self.assertEqual([], self.gained)
            self.store.renews = True
            await asyncio.sleep(3)
            self.assertEqual(1, len(self.gained))

        self.run_with_shards(main)


class RestartTest(_ShardsCase):
    """Load pattern: all entry VMs restart at once in a peak."""

    def add_owner(self, name, incarnation):
        """Store the owner key of a process whose lease has not expired."""
        owner = claims.OwnerRecord(
            ids.NodeId(name), f"{name}:1", incarnation, 1
        )
        key = keys.owner(_SHARD)
        self.store.state.write(key, claims.encode(owner), 0, "")
        self.store.state.write(keys.epoch(_SHARD), b"1", 0, "")

    def test_restarted_process_does_not_wait_for_its_previous_lease(self):
        """Guards against pools that nobody serves until a lease expires."""

        async def main(shards):
            self.add_owner("e-1", "previous")
            shards.set_shards({_SHARD})
            await asyncio.sleep(0.4)
            self.assertEqual([2], [claim.epoch for claim in self.gained])

        self.run_with_shards(main)

    def test_shards_of_other_processes_are_left_to_them(self):
        async def main(shards):
            self.add_owner("e-2", "previous")
            shards.set_shards({_SHARD})
            await asyncio.sleep(5)
            self.assertEqual([], self.gained)

        self.run_with_shards(main)

    def test_shard_of_a_later_start_is_left_to_it(self):
        """Guards against a suspended process that takes its successor's."""

        async def main(shards):
            await asyncio.sleep(2)
            self.add_owner("e-1", "later")
            shards.set_shards({_SHARD})
            await asyncio.sleep(5)
            self.assertEqual([], self.gained)

        self.run_with_shards(main)


class LateAnswerTest(_ShardsCase):
    """Load pattern: the store is slow, and ends a lease before its time."""

    def answer_commits_late(self, delay_s):
        commit = self.store.commit

        async def late_commit(transaction):
            result = await commit(transaction)
            await asyncio.sleep(delay_s)
            return result

        self.store.commit = late_commit

    def test_claim_under_a_lease_that_has_ended_is_not_kept(self):
        """Guards against renewals of a new lease that prove an old claim."""

        async def main(shards):
            await asyncio.sleep(2)
            ended_lease = shards._session.lease
            self.answer_commits_late(1.4)
            shards.set_shards({_SHARD})
            await asyncio.sleep(0.3)
            owner = self.store.state.item(keys.owner(_SHARD))
            self.assertIsNotNone(owner.value)
            self.store.state.end(ended_lease)
            await asyncio.sleep(1)
            # The claim is not answered yet, and the session is renewed.
            self.assertEqual([], self.gained)
            self.assertNotIn(shards._session.lease, ("", ended_lease))
            await asyncio.sleep(0.6)
            owner = self.store.state.item(keys.owner(_SHARD))
            self.assertIsNone(owner.value)
            self.assertEqual({}, shards.claims_by_shard)

        self.run_with_shards(main)


class OutdatedCopyTest(_ShardsCase):
    """Tests of processes whose copy of the owner keys is not what is stored."""

    def change_next_answer(self, change):
        """Change the items of the next answer to a watch that has some."""
        watch = self.store.watch

        async def changed_watch(prefix, after, wait_ms):
            result = await watch(prefix, after, wait_ms)
            items = change(result.ok.items)
            if items != result.ok.items:
                self.store.watch = watch
            return Ok(store.Snapshot(items, result.ok.revision))

        self.store.watch = changed_watch

    def test_shard_is_claimed_when_its_owner_key_does_not_exist(self):
        """Guards against shards that nobody claims after outages."""

        async def main(shards):
            await asyncio.sleep(2)
            owner = claims.OwnerRecord(ids.NodeId("e-1"), "e-1:1", "x", 1)
            ended = store.Item(
                keys.owner(_SHARD),
                claims.encode(owner),
                self.store.state.revision,
            )
            self.change_next_answer(lambda items: [*items, ended])
            await asyncio.sleep(0.2)
            shards.set_shards({_SHARD})
            await asyncio.sleep(2)
            self.assertEqual([_SHARD], [claim.shard for claim in self.gained])

        self.run_with_shards(main)

    def test_unknown_owner_is_known_after_a_refused_claim(self):
        """Guards against callers that find no owner of an owned shard."""

        async def main(shards):
            await asyncio.sleep(2)
            self.change_next_answer(lambda items: [])
            # Until the watch that is under way has ended.
            await asyncio.sleep(0.1)
            owner = claims.OwnerRecord(ids.NodeId("e-2"), "e-2:1", "y", 1)
            key = keys.owner(_SHARD)
            self.store.state.write(key, claims.encode(owner), 0, "")
            await asyncio.sleep(0.2)
            self.assertIsNone(shards.owner(_SHARD))
            shards.set_shards({_SHARD})
            await asyncio.sleep(2)
            self.assertEqual(owner, shards.owner(_SHARD))

        self.run_with_shards(main)


class SuccessorTest(_ShardsCase):
    """Tests of shards that are released by an owner that names a successor."""

    async def add_owner(self, epoch=1):
        """Make another process the owner of the shard."""
        owner = claims.OwnerRecord(ids.NodeId("old"), "old:1", "y", epoch)
        key = keys.owner(_SHARD)
        revision = self.store.state.write(key, claims.encode(owner), 0, "").ok
        self.store.state.write(keys.epoch(_SHARD), str(epoch).encode(), 0, "")
        return claims.Claim(_SHARD, epoch, revision)

    async def release(self, claim, name, incarnation):
        successor = claims.NodeRecord(
            ids.NodeId(name), f"{name}:1", incarnation, "dc-1"
        )
        await claims.release(self.store, claim, successor)

    async def time_to_claim_ms(self):
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while not self.gained and loop.time() < started_s + 8:
            await asyncio.sleep(0.005)
        return int((loop.time() - started_s) * 1_000)

    def test_named_successor_claims_at_once(self):
        """Guards against callers that wait for the candidates' delays."""

        async def main(shards):
            await self.register("strong", 4.0)
            for number in range(5):
                await self.register(f"other-{number}", 0.25)
            shards.set_shards({_SHARD})
            claim = await self.add_owner()
            await asyncio.sleep(2)
            await self.release(claim, "e-1", "x")
            self.assertLess(await self.time_to_claim_ms(), 100)

        self.run_with_shards(main, shard_capacity=0.25)

    def test_successor_that_does_not_claim_is_replaced(self):
        """Guards against a shard that waits for a successor that has died."""

        async def main(shards):
            await self.register("other", 1.0)
            shards.set_shards({_SHARD})
            claim = await self.add_owner()
            await asyncio.sleep(2)
            await self.release(claim, "other", "y")
            took_ms = await self.time_to_claim_ms()
            self.assertGreaterEqual(took_ms, 200)
            self.assertLess(took_ms, 500)

        self.run_with_shards(main)

    def test_successor_that_dies_after_the_hint_is_forgotten(self):
        async def main(shards):
            revision = await self.register("other", 1.0)
            shards.set_shards({_SHARD})
            claim = await self.add_owner()
            await asyncio.sleep(2)
            await self.release(claim, "other", "y")
            await self.store.delete(keys.node(ids.NodeId("other")), revision)
            self.assertLess(await self.time_to_claim_ms(), 200)

        self.run_with_shards(main)

    def test_hint_of_an_earlier_release_is_ignored(self):
        """Guards against a hint that outlives the ownership it belongs to."""

        async def main(shards):
            await self.register("strong", 4.0)
            shards.set_shards({_SHARD})
            claim = await self.add_owner(epoch=1)
            await self.release(claim, "e-1", "x")
            claim = await self.add_owner(epoch=2)
            await asyncio.sleep(2)
            self.assertEqual([], self.gained)
            await claims.release(self.store, claim)
            self.assertGreater(await self.time_to_claim_ms(), 1_500)

        self.run_with_shards(main)

    def test_changed_hint_does_not_prevent_the_release(self):
        async def main(shards):
            shards.set_shards({_SHARD})
            await asyncio.sleep(2)
            (claim,) = self.gained
            self.store.state.write(keys.successor(_SHARD), b"?", 0, "")
            await self.register("other", 1.0)
            successor = claims.NodeRecord(
                ids.NodeId("other"), "other:1", "y", "dc-1"
            )
            self.assertTrue(await shards.release(claim, successor))
            owner = self.store.state.item(keys.owner(_SHARD))
            self.assertIsNone(owner.value)

        self.run_with_shards(main)

    def test_claim_loop_does_not_interfere_with_a_release(self):
        """Guards against a shard that is freed without its successor's name."""

        async def main(shards):
            shards.set_shards({_SHARD})
            await asyncio.sleep(2)
            (claim,) = self.gained
            await self.register("other", 1.0)
            successor = claims.NodeRecord(
                ids.NodeId("other"), "other:1", "y", "dc-1"
            )
            commit = self.store.commit

            async def slow_commit(transaction):
                await asyncio.sleep(0.3)
                return await commit(transaction)

            self.store.commit = slow_commit
            self.assertTrue(await shards.release(claim, successor))
            hint = self.store.state.item(keys.successor(_SHARD))
            self.assertIsNotNone(hint.value)

        self.run_with_shards(main)

    def test_release_without_an_answer_is_repeated(self):
        """Guards against a shard that a live process neither serves nor frees.

        The store is away during the hand-over.
        """

        async def main(shards):
            shards.set_shards({_SHARD})
            await asyncio.sleep(2)
            (claim,) = self.gained
            strong = claims.NodeRecord(
                ids.NodeId("strong"), "strong:1", "y", "dc-1", 4.0
            )
            await self.register("strong", 4.0)
            self.store.faults = [fakes.Fault.REQUEST_LOST]
            self.assertFalse(await shards.release(claim, strong))
            await asyncio.sleep(0.3)
            owner = self.store.state.item(keys.owner(_SHARD))
            self.assertIsNone(owner.value)

        self.run_with_shards(main)


class RecordTest(_ShardsCase):
    """Tests of what a process tells the others about itself."""

    def stored(self):
        value = self.store.state.item(keys.node(ids.NodeId("e-1"))).value
        return msgspec.json.decode(value, type=claims.NodeRecord)

    def test_lateness_is_published_with_few_writes(self):
        """Guards against a slow process that floods the store."""

        async def main(shards):
            await asyncio.sleep(2)
            writes = self.store.writes
            for number in range(40):
                shards.set_late(number % 2 == 0)
                await asyncio.sleep(0.1)
            self.assertLessEqual(self.store.writes - writes, 5)
            shards.set_late(True)
            await asyncio.sleep(1.5)
            self.assertTrue(self.stored().late)

        self.run_with_shards(main)

    def test_small_vm_without_shards_does_not_publish_its_lateness(self):
        """Guards against a change to all processes for each slow frontend."""

        async def main(shards):
            await self.register("strong", 4.0)
            await asyncio.sleep(2)
            writes = self.store.writes
            shards.set_late(True)
            await asyncio.sleep(2)
            self.assertEqual(writes, self.store.writes)
            await self.add_owned_shard(shards)
            self.assertTrue(self.stored().late)

        self.run_with_shards(main)

    async def add_owned_shard(self, shards):
        shards.set_shards({_SHARD})
        await asyncio.sleep(5)
        self.assertEqual(1, len(self.gained))

    def test_late_process_keeps_its_shard_until_the_others_know(self):
        async def main(shards):
            shards.set_shards({_SHARD})
            await self.register("other", 1.0)
            await asyncio.sleep(7)
            (claim,) = self.gained
            shards.set_late(True)
            self.assertIsNone(shards.plan_hand_over(claim, late_now=True))
            await asyncio.sleep(1)
            plan = shards.plan_hand_over(claim, late_now=True)
            self.assertEqual(succession.Reason.OWN_LATENESS, plan.reason)

        self.run_with_shards(main)

    def test_process_that_is_about_to_recover_keeps_its_shard(self):
        """Guards against a second hand-over after a takeover made it late."""

        async def main(shards):
            shards.set_shards({_SHARD})
            await self.register("other", 1.0)
            await asyncio.sleep(7)
            (claim,) = self.gained
            shards.set_late(True)
            await asyncio.sleep(1)
            self.assertIsNone(shards.plan_hand_over(claim, late_now=False))

        self.run_with_shards(main)

    def test_leaving_process_claims_nothing(self):
        """Load pattern: all entry VMs are restarted in turn."""

        async def main(shards):
            await asyncio.sleep(2)
            await shards.announce_leaving()
            self.assertTrue(self.stored().leaving)
            shards.set_shards({_SHARD})
            await asyncio.sleep(4)
            self.assertEqual([], self.gained)

        self.run_with_shards(main)

    def test_claim_won_during_the_stop_is_released(self):
        """Guards against a pool whose new owner is about to exit."""

        async def main(shards):
            await asyncio.sleep(2)
            commit = self.store.commit

            async def slow_commit(transaction):
                await asyncio.sleep(0.2)
                return await commit(transaction)

            self.store.commit = slow_commit
            shards.set_shards({_SHARD})
            await asyncio.sleep(0.15)
            await shards.announce_leaving()
            await asyncio.sleep(1)
            self.assertEqual([], self.gained)
            owner = self.store.state.item(keys.owner(_SHARD))
            self.assertIsNone(owner.value)

        self.run_with_shards(main)
