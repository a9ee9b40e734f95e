"""Tests of the claims of shards, in virtual time."""

import asyncio
import random

from expression import Error
import testtools

from support import fakes
from support.sim import loop as loop_module
from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller.entry import shards as shards_module
from wagtailtiller.ownership import claims

_SHARD = ids.ShardId("renders")


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


class ShardsTest(testtools.TestCase):
    def run_with_shards(self, main):
        async def wrapped():
            self.store = _Store()
            self.gained = []
            own_record = claims.NodeRecord(
                ids.NodeId("e-1"), "e-1:1", "x", "dc-1"
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

    def test_unowned_shard_is_claimed(self):
        async def main(shards):
            shards.set_shards({_SHARD})
            await asyncio.sleep(2)
            self.assertEqual([_SHARD], [claim.shard for claim in self.gained])

        self.run_with_shards(main)

    async def register(self, name, shard_capacity):
        record = claims.NodeRecord(
            ids.NodeId(name), f"{name}:1", "y", "dc-1", shard_capacity
        )
        key = keys.node(record.node)
        revision = self.store.state.item(key).revision
        return self.store.state.write(
            key, claims.encode(record), revision, ""
        ).ok

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
            self.assertFalse(shards.should_hand_over(claim))
            await self.register("strong", 4.0)
            await asyncio.sleep(1)
            self.assertFalse(shards.should_hand_over(claim))
            await asyncio.sleep(2)
            self.assertTrue(shards.should_hand_over(claim))
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
                key = keys.owner(ids.ShardId(f"other-{number}"))
                self.store.state.write(key, claims.encode(owner), 0, "")
            await asyncio.sleep(4)
            self.assertFalse(shards.should_hand_over(self.gained[0]))

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
