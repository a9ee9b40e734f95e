"""The view lease: until when a gateway may act on what it knows.

A view is confirmed by the store; or by a peer that the store confirmed and
that knows nothing newer; or, when no member in contact has reached the store,
by a majority of the electorate none of which knows anything newer. All times
are this process's own clock, counted from before the question was sent.
"""

import dataclasses
import enum

from wagtailtiller import ids
from wagtailtiller import roster

VIEW_LEASE_MS = 2_500


class Confirmation(enum.Enum):
    """What a view rests on."""

    STORE = "store"
    PEER = "peer"
    MAJORITY = "majority"
    NONE = "none"


@dataclasses.dataclass(frozen=True)
class PeerView:
    """What a peer last said.

    Attributes:
        asked_ms: This process's clock when it asked.
        revision: The peer's revision.
        store_age_ms: How long before its answer the store confirmed it.
    """

    asked_ms: int
    revision: ids.Revision
    store_age_ms: int


class ViewLease:
    """Tracks the confirmations of this process's view."""

    def __init__(self, own: ids.GatewayId) -> None:
        self._own = own
        self._store_ms: int | None = None
        self._peers: dict[ids.GatewayId, PeerView] = {}

    def confirm_by_store(self, asked_ms: int) -> None:
        """Note that the store confirmed the view."""
        self._store_ms = max(asked_ms, self._store_ms or asked_ms)

    def hear(self, peer: ids.GatewayId, said: PeerView) -> None:
        """Note what a peer said."""
        self._peers[peer] = said

    def store_age_ms(self, now_ms: int) -> int:
        """Return how long ago the store confirmed the view, if ever."""
        if self._store_ms is None:
            return 1 << 40
        return now_ms - self._store_ms

    def confirmation(
        self, now_ms: int, revision: ids.Revision, members: roster.Roster
    ) -> Confirmation:
        """Say what the view rests on now.

        Args:
            now_ms: This process's clock.
            revision: The revision of its view.
            members: The roster that it knows.
        """
        if self.store_age_ms(now_ms) <= VIEW_LEASE_MS:
            return Confirmation.STORE
        heard = {
            peer: said
            for peer, said in self._peers.items()
            if now_ms - said.asked_ms <= VIEW_LEASE_MS
            and peer in members.members
        }
        if any(said.revision > revision for said in heard.values()):
            return Confirmation.NONE
        for said in heard.values():
            if now_ms - said.asked_ms + said.store_age_ms <= VIEW_LEASE_MS:
                return Confirmation.PEER
        contacts = set(heard) | {self._own}
        if len(contacts & set(members.members)) >= members.quorum():
            return Confirmation.MAJORITY
        return Confirmation.NONE
