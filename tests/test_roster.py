"""Tests of the roster and of pool ownership."""

import testtools

from wagtailtiller import roster


def _session(name, incarnation="i", leaving=False):
    return roster.GatewaySession(name, incarnation, "r", "", "", leaving)


def _next_roster(current, *sessions, wall_ms=1, epoch=None):
    known_epoch = current.epoch if epoch is None else epoch
    session_records = [
        roster.SessionRecord(session, known_epoch) for session in sessions
    ]
    return roster.next_roster(current, session_records, wall_ms)


class RosterTest(testtools.TestCase):
    def test_epoch_increases_only_with_a_change(self):
        first = _next_roster(roster.EMPTY, _session("a"), wall_ms=1)
        self.assertIs(first, _next_roster(first, _session("a"), wall_ms=2))

    def test_member_without_a_session_is_recorded_as_lost(self):
        first = _next_roster(roster.EMPTY, _session("a"), wall_ms=1)
        self.assertEqual(7, _next_roster(first, wall_ms=7).last_loss_ms)

    def test_restarted_member_is_recorded_as_lost(self):
        first = _next_roster(roster.EMPTY, _session("a"), wall_ms=1)
        second = _next_roster(first, _session("a", "j"), wall_ms=7)
        self.assertEqual(7, second.last_loss_ms)

    def test_member_that_left_gracefully_is_not_lost(self):
        leaving = _session("a", leaving=True)
        first = _next_roster(roster.EMPTY, leaving, wall_ms=1)
        self.assertEqual(0, _next_roster(first, wall_ms=7).last_loss_ms)

    def test_leaving_member_owns_no_pool(self):
        members = [_session("a", leaving=True), _session("b")]
        current = _next_roster(roster.EMPTY, *members, wall_ms=1)
        owners = {roster.owner(current, f"p{n}").gateway for n in range(50)}
        self.assertEqual({"b"}, owners)

    def test_only_pools_of_the_lost_member_change_owner(self):
        members = [_session(name) for name in "abcd"]
        before = _next_roster(roster.EMPTY, *members, wall_ms=1)
        after = _next_roster(before, *members[:3], wall_ms=2)
        for number in range(100):
            pool = f"p{number}"
            old = roster.owner(before, pool).gateway
            if old != "d":
                self.assertEqual(old, roster.owner(after, pool).gateway)

    def test_lost_member_stays_in_the_electorate(self):
        sessions = [_session(name) for name in "abc"]
        first = _next_roster(roster.EMPTY, *sessions)
        second = _next_roster(first, sessions[0])
        self.assertEqual({"b": "i", "c": "i"}, second.unaccounted)
        self.assertEqual(2, second.quorum())

    def test_restart_under_the_same_name_accounts_for_the_old_process(self):
        first = _next_roster(roster.EMPTY, _session("a"), _session("b"))
        second = _next_roster(first, _session("a"))
        third = _next_roster(second, _session("a"), _session("b", "j"))
        self.assertEqual({}, third.unaccounted)

    def test_newcomer_waits_until_a_quorum_knows_the_epoch(self):
        first = _next_roster(roster.EMPTY, _session("a"), _session("b"))
        sessions = [_session("a"), _session("b"), _session("c")]
        self.assertIs(first, _next_roster(first, *sessions, epoch=0))
        self.assertIn("c", _next_roster(first, *sessions).members)

    def test_newcomers_join_one_at_a_time(self):
        first = _next_roster(roster.EMPTY, _session("a"))
        sessions = [_session(name) for name in "abc"]
        self.assertEqual(
            {"a", "b"}, set(_next_roster(first, *sessions).members)
        )

    def test_struck_off_member_leaves_the_electorate(self):
        first = _next_roster(roster.EMPTY, _session("a"), _session("b"))
        second = _next_roster(first, _session("a"))
        self.assertEqual(1, roster.strike_off(second, "b").quorum())
