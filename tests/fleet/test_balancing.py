"""Tests of the moves of VMs between pools."""

import testtools

from tests import examples
from wagtailtiller import fleet
from wagtailtiller.fleet import balancing


class BalancerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.catalogue = examples.catalogue(vms=8)
        self.fleet = examples.enrolled(self.catalogue)
        self.balancer = balancing.Balancer()

    def load(self, pool, running, slots, at_s, waiting_ms=0.0):
        observed = balancing.PoolLoad(pool, running, waiting_ms, slots)
        self.balancer.observe(observed, at_s * 1_000)

    def moves(self, at_s):
        return self.balancer.moves(self.fleet, self.catalogue, at_s * 1_000)

    def run_overloaded(self, seconds):
        for second in range(seconds):
            self.load(examples.POOL, 48, 48, second)
            self.load(examples.SPARE, 0, 16, second)

    def test_persistent_shortage_borrows_from_the_pool_that_lends(self):
        self.run_overloaded(60)
        move = self.moves(60)[0]
        self.assertEqual(fleet.Move(examples.POOL), move.goal)
        self.assertEqual(examples.SPARE, self.fleet.vms[move.vm].pool)

    def test_short_burst_moves_nothing(self):
        self.load(examples.POOL, 10, 48, 0)
        self.load(examples.SPARE, 0, 16, 0)
        for second in range(1, 7):
            self.load(examples.POOL, 48, 48, second, waiting_ms=50_000.0)
        self.assertEqual([], self.moves(7))

    def test_one_move_at_a_time(self):
        self.run_overloaded(60)
        command = self.moves(60)[0]
        self.fleet = fleet.apply(self.fleet, command, self.catalogue, 0).ok
        self.assertEqual([], self.moves(61))

    def test_borrowed_vm_is_returned_when_it_is_no_longer_needed(self):
        self.run_overloaded(60)
        command = self.moves(60)[0]
        for each in (command, fleet.Drained(command.vm, 2)):
            outcome = fleet.apply(self.fleet, each, self.catalogue, 0)
            self.fleet = outcome.ok
        for second in range(60, 400):
            self.load(examples.POOL, 5, 56, second)
            self.load(examples.SPARE, 0, 8, second)
        move = self.moves(400)[0]
        self.assertEqual(command.vm, move.vm)
        self.assertEqual(fleet.Move(examples.SPARE), move.goal)

    def test_weights_set_how_long_an_imbalance_must_persist(self):
        slow = examples.catalogue(roll_out_weight=3.0, buffer_weight=1.0)
        fast = examples.catalogue(roll_out_weight=1.0, buffer_weight=3.0)
        self.assertGreater(
            balancing.sustain_ms(slow.pools[examples.POOL]),
            balancing.sustain_ms(fast.pools[examples.POOL]),
        )
