"""Tests of the view lease, one for each weaker rule's counter-example."""

import testtools

from wagtailtiller import roster
from wagtailtiller import view_lease

_NOW = 100_000


def _roster(*names):
    members = {name: roster.Session(name, "i", "r", "", "") for name in names}
    return roster.Roster(1, members)


class ViewLeaseTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.lease = view_lease.ViewLease("a")
        self.roster = _roster("a", "b", "c")

    def confirmation(self, revision=5):
        return self.lease.confirmation(_NOW, revision, self.roster)

    def hear(self, peer, revision=5, age_ms=0, store_age_ms=10**9):
        said = view_lease.PeerView(_NOW - age_ms, revision, store_age_ms)
        self.lease.hear(peer, said)

    def test_fresh_store_confirms(self):
        self.lease.confirm_by_store(_NOW - view_lease.VIEW_LEASE_MS)
        self.assertIs(view_lease.Confirmation.STORE, self.confirmation())

    def test_nothing_confirms_after_the_lease(self):
        self.lease.confirm_by_store(_NOW - view_lease.VIEW_LEASE_MS - 1)
        self.assertIs(view_lease.Confirmation.NONE, self.confirmation())

    def test_peer_with_the_store_confirms(self):
        self.hear("b", store_age_ms=100)
        self.assertIs(view_lease.Confirmation.PEER, self.confirmation())

    def test_age_of_a_peers_confirmation_adds_to_the_answers(self):
        self.hear("b", age_ms=1_500, store_age_ms=1_500)
        self.roster = _roster("a", "b", "c", "d")
        self.assertIs(view_lease.Confirmation.NONE, self.confirmation())

    def test_peer_that_knows_more_withdraws_the_view(self):
        self.hear("b", revision=6, store_age_ms=100)
        self.hear("c", store_age_ms=100)
        self.assertIs(view_lease.Confirmation.NONE, self.confirmation())

    def test_majority_confirms_in_an_outage(self):
        self.hear("b")
        self.assertIs(view_lease.Confirmation.MAJORITY, self.confirmation())

    def test_half_of_the_roster_does_not_confirm(self):
        self.roster = _roster("a", "b", "c", "d")
        self.hear("b")
        self.assertIs(view_lease.Confirmation.NONE, self.confirmation())

    def test_gateway_outside_the_roster_counts_for_nothing(self):
        self.hear("x")
        self.assertIs(view_lease.Confirmation.NONE, self.confirmation())
