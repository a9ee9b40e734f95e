"""Tests of claims: each epoch has one owner, also after store faults."""

import asyncio

import testtools

from support import fakes
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller.ownership import claims
from wagtailtiller.ownership import shard as shard_module
from wagtailtiller.ports import store

_SHARD = shard_module.PoolShard(ids.PoolId("renders"))


def _node(name, shard_capacity=1.0):
    return claims.NodeRecord(
        ids.NodeId(name), f"{name}:1", name, "dc-1", shard_capacity
    )


class ClaimTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = fakes.FakeStore()

    def claim(self, name="a"):
        lease = self.store.state.grant(2_000, 0.0)
        return asyncio.run(claims.claim(self.store, _SHARD, _node(name), lease))

    def test_first_claim_has_epoch_one(self):
        claim = self.claim()
        self.assertEqual(1, claim.epoch)
        key = keys.owner(_SHARD)
        self.assertEqual(self.store.state.item(key).revision, claim.revision)

    def test_claim_fails_while_shard_has_owner(self):
        self.claim("a")
        self.assertIsNone(self.claim("b"))

    def test_each_owner_has_higher_epoch(self):
        for epoch in (1, 2, 3):
            claim = self.claim()
            self.assertEqual(epoch, claim.epoch)
            asyncio.run(claims.release(self.store, claim))

    def test_no_claim_without_a_lease(self):
        """Guards against an owner key that stays when its owner has died."""
        claim = asyncio.run(claims.claim(self.store, _SHARD, _node("a"), ""))
        self.assertIsNone(claim)
        self.assertIsNone(self.store.state.item(keys.owner(_SHARD)).value)

    def test_release_of_a_shard_that_is_gone_is_complete(self):
        """Guards against a planned stop that ends its session too early."""
        claim = self.claim()
        asyncio.run(claims.release(self.store, claim))
        self.assertTrue(asyncio.run(claims.release(self.store, claim)))

    def test_claim_with_lost_response_is_read_back(self):
        """The store applies the commit, but its response does not arrive."""
        self.store.faults = [fakes.Fault.NONE, fakes.Fault.RESPONSE_LOST]
        claim = self.claim()
        self.assertEqual(1, claim.epoch)

    def test_claim_with_unknown_outcome_is_not_assumed(self):
        """The store handles the commit only after another claim."""
        self.store.faults = [fakes.Fault.NONE, fakes.Fault.DELAYED]
        self.assertIsNone(self.claim("a"))
        claim = self.claim("b")
        self.store.apply_delayed()
        found = self.store.state.item(keys.owner(_SHARD))
        self.assertEqual(claim.revision, found.revision)

    def test_unreadable_epoch_prevents_the_claim_without_an_error(self):
        self.store.state.write(keys.epoch(_SHARD), b"many", 0, "")
        self.assertIsNone(self.claim())

    def test_claim_under_expired_lease_fails(self):
        lease = self.store.state.grant(2_000, 0.0)
        self.store.state.end(lease)
        claim = asyncio.run(claims.claim(self.store, _SHARD, _node("a"), lease))
        self.assertIsNone(claim)

    def test_release_by_previous_owner_has_no_effect(self):
        previous = self.claim("a")
        asyncio.run(claims.release(self.store, previous))
        claim = self.claim("b")
        asyncio.run(claims.release(self.store, previous))
        found = self.store.state.item(keys.owner(_SHARD))
        self.assertEqual(claim.revision, found.revision)
        self.assertNotEqual(store.ABSENT, found.revision)


class RankingTest(testtools.TestCase):
    def ranked_names(self, owned):
        nodes = [_node(name) for name in "abc"]
        ranking = claims.rank_candidates(_SHARD, nodes, owned)
        return [node.node for node in ranking]

    def test_process_with_fewest_shards_ranks_first(self):
        first = self.ranked_names({})[0]
        self.assertNotEqual(first, self.ranked_names({first: 1})[0])

    def test_ranking_is_deterministic_and_complete(self):
        self.assertEqual(self.ranked_names({}), self.ranked_names({}))
        self.assertEqual(["a", "b", "c"], sorted(self.ranked_names({})))

    def test_weak_vm_takes_no_pool_while_strong_one_can_carry_it(self):
        """TWICE: a pool of a hundred VMs went to a link of 10 Mbit/s."""
        weak = claims.shard_capacity(516, 10)
        strong = claims.shard_capacity(2_151, 200)
        nodes = [_node("strong", strong)]
        nodes += [_node(f"weak-{number}", weak) for number in range(34)]
        for owned in range(4):
            ranking = claims.rank_candidates(
                _SHARD, nodes, {ids.NodeId("strong"): owned}
            )
            self.assertEqual("strong", ranking[0].node)

    def test_equal_vms_share_the_pools(self):
        capacity = claims.shard_capacity(1_070, 1_000)
        nodes = [_node(name, capacity) for name in "abc"]
        ranking = claims.rank_candidates(
            _SHARD, nodes, {ids.NodeId("a"): 1, ids.NodeId("b"): 1}
        )
        self.assertEqual("c", ranking[0].node)
