"""Tests of claims: one owner an epoch, whatever the store does."""

import asyncio

import testtools

from support import fakes
from wagtailtiller import ids
from wagtailtiller.owner import keys
from wagtailtiller.ownership import claims
from wagtailtiller.ports import store

_SHARD = ids.ShardId("renders")


def _node(name):
    return claims.NodeRecord(ids.NodeId(name), f"{name}:1", name, "dc-1")


class ClaimTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = fakes.FakeStore()

    def claim(self, name="a"):
        lease = self.store.state.grant(2_000, 0.0)
        return asyncio.run(claims.claim(self.store, _SHARD, _node(name), lease))

    def test_the_first_claim_has_epoch_one(self):
        claim = self.claim()
        self.assertEqual(1, claim.epoch)
        key = keys.owner(_SHARD)
        self.assertEqual(self.store.state.item(key).revision, claim.revision)

    def test_a_second_claim_fails_while_there_is_an_owner(self):
        self.claim("a")
        self.assertIsNone(self.claim("b"))

    def test_each_owner_has_a_higher_epoch(self):
        for epoch in (1, 2, 3):
            claim = self.claim()
            self.assertEqual(epoch, claim.epoch)
            asyncio.run(claims.release(self.store, claim))

    def test_a_claim_whose_answer_was_lost_is_recognised(self):
        self.store.faults = [fakes.Fault.NONE, fakes.Fault.AFTER]
        claim = self.claim()
        self.assertEqual(1, claim.epoch)

    def test_a_claim_that_may_come_late_is_not_taken_for_granted(self):
        self.store.faults = [fakes.Fault.NONE, fakes.Fault.LATE]
        self.assertIsNone(self.claim("a"))
        claim = self.claim("b")
        self.store.apply_late()
        found = self.store.state.item(keys.owner(_SHARD))
        self.assertEqual(claim.revision, found.revision)

    def test_a_lapsed_lease_claims_nothing(self):
        lease = self.store.state.grant(2_000, 0.0)
        self.store.state.end(lease)
        claim = asyncio.run(claims.claim(self.store, _SHARD, _node("a"), lease))
        self.assertIsNone(claim)

    def test_a_release_by_a_former_owner_changes_nothing(self):
        former = self.claim("a")
        asyncio.run(claims.release(self.store, former))
        claim = self.claim("b")
        asyncio.run(claims.release(self.store, former))
        found = self.store.state.item(keys.owner(_SHARD))
        self.assertEqual(claim.revision, found.revision)
        self.assertNotEqual(store.ABSENT, found.revision)


class PreferenceTest(testtools.TestCase):
    def order(self, owned):
        nodes = [_node(name) for name in "abc"]
        found = claims.preference(_SHARD, nodes, owned)
        return [node.node for node in found]

    def test_who_owns_least_goes_first(self):
        first = self.order({})[0]
        self.assertNotEqual(first, self.order({first: 1})[0])

    def test_all_processes_agree(self):
        self.assertEqual(self.order({}), self.order({}))
        self.assertEqual(["a", "b", "c"], sorted(self.order({})))
