"""The decisions of a gateway, without any input or output.

Wires the replica, the view lease, the front and the dispatch host together.
Messages come in through ``from_front`` and ``from_dispatcher`` and leave
through a ``Transport``; the rest of the gateway only moves bytes.
"""

from typing import Protocol

from wagtailtiller import clock
from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller import replica
from wagtailtiller import statsd_metrics
from wagtailtiller import view_lease
from wagtailtiller.dispatch import messages
from wagtailtiller.gateway.granting import front
from wagtailtiller.gateway.granting import host

_BEAT_MS = 1_000
_QUIET_BEAT_MS = 10_000
_STORE_LATE_MS = 1_400
_PULL_EVERY_MS = 500


class Transport(Protocol):
    """Carries messages; those of one direction to one peer stay in order."""

    def to_dispatcher(
        self, gateway: ids.GatewayId, message: messages.Message
    ) -> None:
        """Send as a front, to the dispatchers of a gateway."""

    def to_front(
        self, gateway: ids.GatewayId, message: messages.Message
    ) -> None:
        """Send as a dispatcher, to the front of a gateway."""


class GatewayCore:
    """One gateway's decisions.

    Args:
        own: Its name.
        incarnation: This process.
        region: The region that it serves.
        time: The clock.
        transport: Carries its messages.
        metrics_client: Where metrics go.
    """

    def __init__(
        self,
        own: ids.GatewayId,
        incarnation: str,
        region: ids.RegionId,
        time: clock.Clock,
        transport: Transport,
        metrics_client: statsd_metrics.MetricsClient,
    ) -> None:
        self._own = own
        self._clock = time
        self._transport = transport
        self._confirmation = view_lease.Confirmation.NONE
        self._peer_stamps: dict[ids.GatewayId, int] = {}
        self._beats_ms: dict[ids.GatewayId, int] = {}
        self._last_pull_ms = 0
        self.replica = replica.Replica(region)
        self.lease = view_lease.ViewLease(own)
        self.front = front.Front(
            time, self.replica, transport.to_dispatcher, self.view_valid
        )
        self.host = host.DispatchHost(
            own=own,
            incarnation=incarnation,
            time=time,
            shared=self.replica,
            send=transport.to_front,
            metrics_client=metrics_client,
        )

    def view_valid(self) -> bool:
        """Whether this gateway may act on its view now."""
        return self.confirm() is not view_lease.Confirmation.NONE

    def confirm(self) -> view_lease.Confirmation:
        """Say what the view rests on, and open or close the dispatchers."""
        now_ms = self._clock.monotonic_ms()
        confirmation = self.lease.confirmation(
            now_ms, self.replica.revision, self.replica.roster
        )
        if confirmation is not self._confirmation:
            self._confirmation = confirmation
            events.emit(
                events.Event.VIEW_CONFIRMATION_CHANGED,
                confirmation=confirmation.value,
            )
            self.host.set_open(confirmation is not view_lease.Confirmation.NONE)
        return confirmation

    def tick(self) -> None:
        """Let time pass."""
        self.confirm()
        self.host.receive(self._own, self.beat(self._own))
        self.host.tick()
        self.front.tick()
        self._beat_peers()

    def view_changed(self) -> None:
        """Follow a change of the replica."""
        self.host.view_changed()
        self.front.view_changed()
        events.emit(
            events.Event.SETTINGS_IN_FORCE,
            settings_revision=self.replica.settings.revision,
            store_revision=self.replica.revision,
            epoch=self.replica.roster.epoch,
        )

    def beat(self, peer: ids.GatewayId) -> messages.Heartbeat:
        """Make the sign of life for a peer."""
        now_ms = self._clock.monotonic_ms()
        return messages.Heartbeat(
            stamp_ms=now_ms,
            echo_ms=self._peer_stamps.get(peer, 0),
            epoch=self.replica.roster.epoch,
            revision=self.replica.revision,
            store_age_ms=self.lease.store_age_ms(now_ms),
        )

    def from_front(
        self, gateway: ids.GatewayId, message: messages.Message
    ) -> None:
        """Take a message that a front sent to the dispatchers here."""
        match message:
            case messages.Heartbeat():
                self._peer_stamps[gateway] = message.stamp_ms
                self.host.receive(gateway, message)
                self._hear(gateway, message)
                self._beat_if_older_than(gateway, _BEAT_MS // 2)
            case messages.Pull():
                if self.replica.revision > message.after:
                    items = self.replica.export()
                    push = messages.Push(self.replica.revision, items)
                    self._transport.to_front(gateway, push)
            case _:
                self.host.receive(gateway, message)

    def from_dispatcher(
        self, gateway: ids.GatewayId, message: messages.Message
    ) -> bool:
        """Take a message that a dispatcher sent to the front here.

        Returns:
            Whether the replica has changed; ``view_changed`` is then due.
        """
        if isinstance(message, messages.Push):
            items, revision = message.items, message.revision
            return self.replica.load_export(items, revision)
        self.front.receive(gateway, message)
        return False

    def drain_answer(self, vm: ids.VmId) -> messages.DrainResponse:
        """Say whether a VM is free of work and stays so."""
        found = self.host.drain_state(vm)
        if found is None or not self.view_valid():
            return messages.DrainResponse(owner=False)
        return found

    def _beat_peers(self) -> None:
        """Send beats, seldom to peers that nothing depends on now.

        Beats carry the stamps that grants need while requests wait at a
        peer, and confirm views when the store does not.
        """
        now_ms = self._clock.monotonic_ms()
        store_late = self.lease.store_age_ms(now_ms) > _STORE_LATE_MS
        waiting_at = self.front.waiting_at()
        for peer in self.replica.roster.members:
            needed = store_late or peer in waiting_at
            period_ms = _BEAT_MS if needed else _QUIET_BEAT_MS
            self._beat_if_older_than(peer, period_ms)

    def _beat_if_older_than(self, peer: ids.GatewayId, age_ms: int) -> None:
        """Send a beat, unless one was sent lately.

        The one whose time comes first sends, the other answers with its own,
        so that each pair exchanges two messages a period.
        """
        now_ms = self._clock.monotonic_ms()
        last_ms = self._beats_ms.get(peer, -_QUIET_BEAT_MS)
        if peer != self._own and now_ms - last_ms >= age_ms:
            self._beats_ms[peer] = now_ms
            self._transport.to_dispatcher(peer, self.beat(peer))

    def _hear(self, peer: ids.GatewayId, beat: messages.Heartbeat) -> None:
        said = view_lease.PeerView(
            sent_ms=beat.echo_ms,
            revision=beat.revision,
            store_age_ms=beat.store_age_ms,
        )
        self.lease.record_peer_view(peer, said)
        now_ms = self._clock.monotonic_ms()
        if beat.revision <= self.replica.revision:
            return
        if now_ms - self._last_pull_ms >= _PULL_EVERY_MS:
            self._last_pull_ms = now_ms
            pull = messages.Pull(self.replica.revision)
            self._transport.to_dispatcher(peer, pull)
