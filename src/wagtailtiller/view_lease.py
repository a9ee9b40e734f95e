"""The view lease: how long a gateway may act on its view of the shared state.

These sources can confirm a view, in this order:

- the store;
- a peer whose own view the store has recently confirmed;
- a majority of the electorate, counting this gateway.

Peers do not confirm the view while one of them reports a newer revision. A
confirmation dates from the time before the request was sent, as read from this
process's clock.
"""

import dataclasses
import enum

from wagtailtiller import ids
from wagtailtiller import roster

VIEW_LEASE_MS = 2_500


class Confirmation(enum.Enum):
    """Source that currently confirms a view."""

    STORE = "store"
    PEER = "peer"
    MAJORITY = "majority"
    NONE = "none"


@dataclasses.dataclass(frozen=True)
class PeerView:
    """View that a peer last reported.

    Attributes:
        sent_ms: Reading of this process's clock before the request was sent.
        revision: Revision of the peer's view.
        store_age_ms: Time between the store's last confirmation of the peer's
            view and the peer's response.
    """

    sent_ms: int
    revision: ids.Revision
    store_age_ms: int


class ViewLease:
    """Tracks the confirmations of this process's view.

    Args:
        own_gateway: Name of this process's gateway.
    """

    def __init__(self, own_gateway: ids.GatewayId) -> None:
        self._own_gateway = own_gateway
        self._store_confirmed_ms: int | None = None
        self._peer_views: dict[ids.GatewayId, PeerView] = {}

    def record_store_confirmation(self, sent_ms: int) -> None:
        """Record that the store confirmed the view.

        Args:
            sent_ms: Reading of this process's clock before the request was
                sent.
        """
        self._store_confirmed_ms = max(
            sent_ms, self._store_confirmed_ms or sent_ms
        )

    def record_peer_view(
        self, peer: ids.GatewayId, peer_view: PeerView
    ) -> None:
        """Record the view that a peer reported.

        Args:
            peer: Name of the peer.
            peer_view: View that the peer reported.
        """
        self._peer_views[peer] = peer_view

    def store_age_ms(self, now_ms: int) -> int:
        """Return the time since the store last confirmed the view.

        Args:
            now_ms: Current reading of this process's clock.

        Returns:
            The time in milliseconds; a very large number (2**40) if the store
            has never confirmed the view.
        """
        if self._store_confirmed_ms is None:
            return 1 << 40
        return now_ms - self._store_confirmed_ms

    def confirmation(
        self, now_ms: int, revision: ids.Revision, known_roster: roster.Roster
    ) -> Confirmation:
        """Return the source that currently confirms the view.

        Args:
            now_ms: Current reading of this process's clock.
            revision: Revision of this process's view.
            known_roster: Roster in this process's view.
        """
        if self.store_age_ms(now_ms) <= VIEW_LEASE_MS:
            return Confirmation.STORE
        recent_views = {
            peer: peer_view
            for peer, peer_view in self._peer_views.items()
            if now_ms - peer_view.sent_ms <= VIEW_LEASE_MS
            and peer in known_roster.members
        }
        if any(
            peer_view.revision > revision for peer_view in recent_views.values()
        ):
            return Confirmation.NONE
        for peer_view in recent_views.values():
            if (
                now_ms - peer_view.sent_ms + peer_view.store_age_ms
                <= VIEW_LEASE_MS
            ):
                return Confirmation.PEER
        contacts = set(recent_views) | {self._own_gateway}
        if len(contacts & set(known_roster.members)) >= known_roster.quorum():
            return Confirmation.MAJORITY
        return Confirmation.NONE
