"""Tests of what the machine manager stores for its successor."""

import asyncio
import random

import testtools

from support import clocks
from support import fakes
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller.maintenance import manager_state
from wagtailtiller.ownership import claims
from wagtailtiller.ownership import shard as shard_module

_SHARD = shard_module.MachinesShard()
_ORDERED = ids.MachineId("m-1")
_OTHER = ids.MachineId("m-2")
_TRIM_DELAY_MS = 10_000


class ManagerStateTest(testtools.TestCase):
    def test_machine_is_not_ordered_after_a_write_that_may_have_removed_it(
        self,
    ):
        """Guards against orders of which a successor finds no trace."""

        async def main():
            store = fakes.FakeStore()
            clock = clocks.FakeClock()
            owner = store.state.write(keys.owner(_SHARD), b"1", 0, "")
            state = manager_state.ManagerState(
                store,
                claims.Claim(_SHARD, 1, owner.ok),
                None,
                clock,
                follower.Backoff(random.Random(1)),
                self.fail,
            )
            await state.save_orders({_ORDERED, _OTHER}, set())
            self.assertEqual({_ORDERED, _OTHER}, state.saved_orders)
            clock.advance(_TRIM_DELAY_MS)
            store.faults = [fakes.Fault.RESPONSE_LOST]
            await state.save_orders({_OTHER}, set())
            successor = manager_state.ManagerState(
                store,
                claims.Claim(_SHARD, 1, owner.ok),
                None,
                clock,
                follower.Backoff(random.Random(1)),
                self.fail,
            )
            self.assertLessEqual(
                state.saved_orders, await successor.read_orders()
            )

        asyncio.run(main())
