"""Tests of the roster and of pool ownership."""

import testtools

from wagtailtiller import roster


def _session(name, incarnation="i", leaving=False):
    return roster.Session(name, incarnation, "r", "", "", leaving)


class RosterTest(testtools.TestCase):
    def test_epoch_rises_only_with_a_change(self):
        first = roster.succeed(roster.EMPTY, [_session("a")], 1)
        self.assertIs(first, roster.succeed(first, [_session("a")], 2))

    def test_vanished_member_is_noted_as_lost(self):
        first = roster.succeed(roster.EMPTY, [_session("a")], 1)
        self.assertEqual(7, roster.succeed(first, [], 7).last_loss_ms)

    def test_restarted_member_is_noted_as_lost(self):
        first = roster.succeed(roster.EMPTY, [_session("a")], 1)
        second = roster.succeed(first, [_session("a", "j")], 7)
        self.assertEqual(7, second.last_loss_ms)

    def test_member_that_left_gracefully_is_not_lost(self):
        leaving = _session("a", leaving=True)
        first = roster.succeed(roster.EMPTY, [leaving], 1)
        self.assertEqual(0, roster.succeed(first, [], 7).last_loss_ms)

    def test_leaving_member_owns_no_pool(self):
        members = [_session("a", leaving=True), _session("b")]
        current = roster.succeed(roster.EMPTY, members, 1)
        owners = {roster.owner(current, f"p{n}").gateway for n in range(50)}
        self.assertEqual({"b"}, owners)

    def test_only_pools_of_the_lost_member_change_owner(self):
        members = [_session(name) for name in "abcd"]
        before = roster.succeed(roster.EMPTY, members, 1)
        after = roster.succeed(before, members[:3], 2)
        for number in range(100):
            pool = f"p{number}"
            old = roster.owner(before, pool).gateway
            if old != "d":
                self.assertEqual(old, roster.owner(after, pool).gateway)
