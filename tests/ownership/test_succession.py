"""Tests of the decisions whether and to whom a shard is handed over."""

import msgspec
import testtools

from wagtailtiller import ids
from wagtailtiller.ownership import claims
from wagtailtiller.ownership import shard as shard_module
from wagtailtiller.ownership import succession

_SHARD = shard_module.PoolShard(ids.PoolId("renders"))
_STRONG = 4.3
_WEAK = 0.25
_LONG_MS = 60_000


def _node(name, shard_capacity=_STRONG, **flags):
    return claims.NodeRecord(
        ids.NodeId(name), f"{name}:1", name, "dc-1", shard_capacity, **flags
    )


def _view(own, others, owned=None, restarted=(), listed_ms=_LONG_MS):
    return succession.View(
        own,
        others,
        owned if owned is not None else {own.node: 1},
        {node.node: listed_ms for node in others},
        frozenset(restarted),
    )


def _successor(view, owned_for_ms=_LONG_MS):
    plan = succession.plan(_SHARD, view, owned_for_ms)
    if not isinstance(plan, succession.Plan) or plan.successor is None:
        return plan
    return plan.successor.node


class LateOwnerTest(testtools.TestCase):
    def test_slowed_owner_at_a_peak_gives_its_pool_to_an_equal_vm(self):
        """Guards against a pool that waits 5 s for its slowed owner."""
        own = _node("own", late=True)
        others = [_node("strong"), _node("late", late=True)]
        others += [_node(f"weak-{number}", _WEAK) for number in range(34)]
        plan = succession.plan(_SHARD, _view(own, others), _LONG_MS)
        self.assertEqual(succession.Reason.OWN_LATENESS, plan.reason)
        self.assertEqual("strong", plan.successor.node)

    def test_healthy_owner_keeps_its_pool(self):
        self.assertIsNone(_successor(_view(_node("own"), [_node("other")])))

    def test_most_vms_slow_and_nobody_hands_over(self):
        """Guards against ownership that flaps while all VMs are slow."""
        own = _node("own", late=True)
        others = [_node("a", late=True), _node("b", late=True), _node("c")]
        self.assertEqual(
            succession.Withheld(3, 2), _successor(_view(own, others))
        )

    def test_pool_does_not_go_to_a_weaker_vm(self):
        """Guards against a large pool behind a small link."""
        own = _node("own", late=True)
        others = [_node(f"weak-{number}", _WEAK) for number in range(34)]
        self.assertEqual(
            succession.Withheld(0, 0), _successor(_view(own, others))
        )

    def test_pool_stays_for_seconds_after_a_claim(self):
        """Guards against a pool that is handed over again and again."""
        view = _view(_node("own", late=True), [_node("other")])
        self.assertIsNone(_successor(view, owned_for_ms=4_500))
        self.assertEqual("other", _successor(view, owned_for_ms=5_500))

    def test_pool_does_not_go_to_a_loaded_vm(self):
        view = _view(
            _node("own", late=True),
            [_node("loaded")],
            {ids.NodeId("own"): 1, ids.NodeId("loaded"): 4},
        )
        self.assertEqual(succession.Withheld(1, 0), _successor(view))

    def test_weak_late_owner_gives_its_pool_to_a_weak_vm(self):
        own = _node("own", _WEAK, late=True)
        others = [_node(f"weak-{number}", _WEAK) for number in range(3)]
        self.assertIn("weak", _successor(_view(own, others)))

    def test_late_or_leaving_stronger_vm_gets_no_pool(self):
        own = _node("own", _WEAK)
        others = [_node("late", late=True), _node("leaving", leaving=True)]
        self.assertIsNone(_successor(_view(own, others)))

    def test_process_that_has_just_started_gets_no_pool(self):
        """Guards against a successor that has not read the declarations."""
        view = _view(_node("own", late=True), [_node("other")], listed_ms=500)
        self.assertEqual(succession.Withheld(1, 0), _successor(view))


class StopTest(testtools.TestCase):
    def successors(self, others, shards=("a", "b", "c"), **view):
        plans = succession.plan_stop(
            [shard_module.PoolShard(ids.PoolId(shard)) for shard in shards],
            _view(_node("own"), others, {}, **view),
        )
        return [
            plan.successor.node if plan.successor else None
            for plan in plans.values()
        ]

    def test_shards_of_a_stopping_process_are_spread(self):
        """Guards against all pools on one VM after a planned stop."""
        others = [_node(name) for name in "xyz"]
        self.assertEqual(["x", "y", "z"], sorted(self.successors(others)))

    def test_strong_vm_is_preferred_to_weak_ones(self):
        others = [_node("strong"), *(_node(f"w{n}", _WEAK) for n in range(9))]
        self.assertEqual(["strong"] * 3, self.successors(others))

    def test_leaving_process_gets_nothing(self):
        """Load pattern: all entry VMs are restarted in turn."""
        others = [_node("x", leaving=True), _node("y")]
        self.assertEqual(["y"], self.successors(others, ["a"]))

    def test_restarted_process_is_preferred(self):
        """Load pattern: all entry VMs are restarted in turn."""
        others = [_node(name) for name in "xyz"]
        for name in "xyz":
            found = self.successors(others, ["a"], restarted={ids.NodeId(name)})
            self.assertEqual([name], found)

    def test_restarted_process_does_not_get_everything(self):
        """Guards against all pools on the first VM that was restarted."""
        others = [_node(name) for name in "xyz"]
        found = self.successors(others, "abcde", restarted={ids.NodeId("x")})
        self.assertEqual(2, found.count("x"))

    def test_restarted_weak_vm_is_not_preferred_to_a_strong_one(self):
        """Guards against a large pool behind a small link."""
        others = [_node("strong"), _node("weak", _WEAK)]
        found = self.successors(others, ["a"], restarted={ids.NodeId("weak")})
        self.assertEqual(["strong"], found)

    def test_last_process_has_no_successor(self):
        self.assertEqual([None] * 3, self.successors([]))


class RankingTest(testtools.TestCase):
    def ranked_names(self, nodes, owned=None):
        ranking = claims.rank_candidates(_SHARD, nodes, owned or {})
        return [node.node for node in ranking]

    def test_late_process_ranks_last_among_equals(self):
        nodes = [_node("late", late=True), _node("busy"), _node("idle")]
        owned = {ids.NodeId("busy"): 9}
        self.assertEqual(
            ["idle", "busy", "late"], self.ranked_names(nodes, owned)
        )

    def test_late_strong_vm_ranks_before_weak_ones(self):
        """Guards against a large pool behind a small link for 5 s."""
        nodes = [_node("weak", _WEAK), _node("late", late=True)]
        self.assertEqual(["late", "weak"], self.ranked_names(nodes))

    def test_leaving_process_is_not_ranked(self):
        nodes = [_node("leaving", leaving=True), _node("other")]
        self.assertEqual(["other"], self.ranked_names(nodes))

    def test_record_of_an_older_build_is_decoded(self):
        """Guards against a mixed fleet during an upgrade."""
        text = (
            b'{"node":"a","address":"a:1","incarnation":"x",'
            b'"data_centre":"dc-1","shard_capacity":2.0}'
        )
        decoded = msgspec.json.decode(text, type=claims.NodeRecord)
        self.assertFalse(decoded.late or decoded.leaving)
