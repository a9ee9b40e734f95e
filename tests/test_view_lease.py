"""Tests of the view lease.

The tests that expect no confirmation guard against confirmation rules that are
too weak.
"""

import testtools

from wagtailtiller import roster
from wagtailtiller import view_lease

_NOW_MS = 100_000


def _roster(*names):
    members = {
        name: roster.GatewaySession(name, "i", "r", "", "") for name in names
    }
    return roster.Roster(1, members)


class ViewLeaseTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.lease = view_lease.ViewLease("a")
        self.roster = _roster("a", "b", "c")

    def confirmation(self, revision=5):
        return self.lease.confirmation(_NOW_MS, revision, self.roster)

    def record_peer_view(self, peer, revision=5, age_ms=0, store_age_ms=10**9):
        peer_view = view_lease.PeerView(
            _NOW_MS - age_ms, revision, store_age_ms
        )
        self.lease.record_peer_view(peer, peer_view)

    def test_recent_answer_of_the_store_confirms(self):
        self.lease.record_store_confirmation(_NOW_MS - view_lease.VIEW_LEASE_MS)
        self.assertIs(view_lease.Confirmation.STORE, self.confirmation())

    def test_expired_confirmation_of_the_store_is_ignored(self):
        self.lease.record_store_confirmation(
            _NOW_MS - view_lease.VIEW_LEASE_MS - 1
        )
        self.assertIs(view_lease.Confirmation.NONE, self.confirmation())

    def test_peer_that_the_store_has_confirmed_confirms(self):
        self.record_peer_view("b", store_age_ms=100)
        self.assertIs(view_lease.Confirmation.PEER, self.confirmation())

    def test_age_of_a_peers_answer_adds_to_its_store_age(self):
        self.record_peer_view("b", age_ms=1_500, store_age_ms=1_500)
        self.roster = _roster("a", "b", "c", "d")
        self.assertIs(view_lease.Confirmation.NONE, self.confirmation())

    def test_peer_with_a_newer_revision_invalidates_the_view(self):
        self.record_peer_view("b", revision=6, store_age_ms=100)
        self.record_peer_view("c", store_age_ms=100)
        self.assertIs(view_lease.Confirmation.NONE, self.confirmation())

    def test_majority_confirms_in_a_store_outage(self):
        self.record_peer_view("b")
        self.assertIs(view_lease.Confirmation.MAJORITY, self.confirmation())

    def test_half_of_the_roster_does_not_confirm(self):
        self.roster = _roster("a", "b", "c", "d")
        self.record_peer_view("b")
        self.assertIs(view_lease.Confirmation.NONE, self.confirmation())

    def test_gateway_outside_the_roster_is_ignored(self):
        self.record_peer_view("x")
        self.assertIs(view_lease.Confirmation.NONE, self.confirmation())
