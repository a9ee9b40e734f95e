"""Tests of the process that orders machines, in virtual time."""

import asyncio
import random

from expression import Ok
import testtools

from support import fakes
from support.sim import loop as loop_module
from wagtailtiller import ids
from wagtailtiller.maintenance import machine_manager as machine_manager_module
from wagtailtiller.owner import keys
from wagtailtiller.owner import messages
from wagtailtiller.ownership import claims
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import machines

_RENDERS = ids.PoolId("renders")
_SPARE = ids.PoolId("spare")
_SHARD = ids.ShardId("machines")
_LEASE_MS = 3_000
_CORES = 32_000


class _Machines:
    """Machines that are in their new pool at once."""

    def __init__(self, names):
        self.pools = dict.fromkeys(names, _SPARE)
        self.orders = []

    async def list(self):
        rows = self.pools.items()
        return Ok([fakes.machine(name, "", pool) for name, pool in rows])

    async def move(self, machine, pool, epoch):
        now_ms = asyncio.get_running_loop().time() * 1_000
        self.orders.append((machine, epoch, now_ms))
        self.pools[machine] = pool
        return machines.MachineOutcome.DONE


class _Declared:
    def __init__(self):
        queue = catalogue.Queue(
            ids.QueueId("q"), "host", "/q/", _RENDERS, 0, 3, 1.6, 600
        )
        pools = (
            catalogue.Pool(_RENDERS, True, False),
            catalogue.Pool(_SPARE, True, True),
        )
        self.catalogue = catalogue.Catalogue(1, (queue,), pools, 1_000)
        self.waves = {}


class MachineManagerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = fakes.FakeStore()
        self.service = _Machines("abcdef")
        self.needed = 0

    async def ask(self, pool, request):
        millicores = self.needed * _CORES
        return messages.Load(0.0, 0, 0.0, 0, millicores, 0, ())

    def keep(self, epoch):
        key = keys.owner(_SHARD)
        revision = self.store.state.item(key).revision
        written = self.store.state.write(key, b"%d" % epoch, revision, "")
        return machine_manager_module.MachineManager(
            claims.Claim(_SHARD, epoch, written.ok),
            self.store,
            self.service,
            _Declared(),
            self.ask,
            loop_module.VirtualClock(asyncio.get_running_loop()),
            _LEASE_MS,
            lambda: True,
            random.Random(1),
        )

    def orders(self, epoch):
        return [row for row in self.service.orders if row[1] == epoch]

    def test_a_successor_orders_at_once_what_nobody_has_just_ordered(self):
        async def main():
            self.needed = 1
            first = self.keep(1)
            await asyncio.sleep(1)
            await first.stop()
            self.needed = 4
            second = self.keep(2)
            await asyncio.sleep(1)
            await second.stop()

        loop_module.run(main())
        self.assertEqual(1, len(self.orders(1)))
        self.assertEqual(3, len(self.orders(2)))

    def test_a_machine_that_was_just_ordered_waits_for_the_lease(self):
        async def main():
            self.needed = 6
            first = self.keep(1)
            await asyncio.sleep(1)
            await first.stop()
            for name in "abc":
                self.service.pools[name] = _SPARE
            second = self.keep(2)
            await asyncio.sleep(6)
            await second.stop()

        loop_module.run(main())
        last_ms = {m: at for m, _, at in self.orders(1)}
        again_ms = {m: at for m, _, at in self.orders(2)}
        self.assertEqual({"a", "b", "c"}, set(again_ms))
        for machine, at_ms in again_ms.items():
            self.assertGreaterEqual(at_ms - last_ms[machine], _LEASE_MS)

    def test_a_manager_of_a_moment_hands_on_what_waits_for_the_lease(self):
        async def main():
            self.needed = 3
            first = self.keep(1)
            await asyncio.sleep(1)
            await first.stop()
            self.needed = 4
            second = self.keep(2)
            await asyncio.sleep(0.5)
            await second.stop()
            self.needed = 6
            for name in "abc":
                self.service.pools[name] = _SPARE
            third = self.keep(3)
            await asyncio.sleep(6)
            await third.stop()

        loop_module.run(main())
        first_ms = {m: at for m, _, at in self.orders(1)}
        self.assertEqual(1, len(self.orders(2)))
        again = [row for row in self.orders(3) if row[0] in first_ms]
        self.assertEqual(3, len(again))
        for machine, _, at_ms in again:
            self.assertGreaterEqual(at_ms - first_ms[machine], _LEASE_MS)

    def test_nothing_is_ordered_that_a_successor_would_not_find(self):
        async def main():
            self.needed = 3
            self.store.refuse_commits = True
            first = self.keep(1)
            await asyncio.sleep(2)
            self.assertEqual([], self.service.orders)
            self.store.refuse_commits = False
            await asyncio.sleep(8)
            await first.stop()

        loop_module.run(main())
        self.assertEqual(3, len(self.orders(1)))
