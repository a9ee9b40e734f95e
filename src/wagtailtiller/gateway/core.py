"""Decision logic of a gateway, without any input or output.

``GatewayCore`` connects the replica, the view lease, the frontend and the
dispatch host. Received messages are passed to its methods, and messages to
send are passed to a ``Transport``. The other modules do the input and output.
"""

from typing import Protocol

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller import replica
from wagtailtiller import statsd_metrics
from wagtailtiller import view_lease
from wagtailtiller.dispatch import messages
from wagtailtiller.gateway.granting import frontend
from wagtailtiller.gateway.granting import host

_HEARTBEAT_MS = 1_000
_IDLE_HEARTBEAT_MS = 10_000
_STORE_STALE_MS = 1_400
_PULL_INTERVAL_MS = 500


class Transport(Protocol):
    """Sends messages, in order per peer and direction."""

    def send_to_dispatcher(
        self, gateway: ids.GatewayId, message: messages.Message
    ) -> None:
        """Send a message of the frontend to a gateway's dispatchers.

        Args:
            gateway: Gateway that receives the message.
            message: The message.
        """

    def send_to_frontend(
        self, gateway: ids.GatewayId, message: messages.Message
    ) -> None:
        """Send a message of a dispatcher to a gateway's frontend.

        Args:
            gateway: Gateway that receives the message.
            message: The message.
        """


class GatewayCore:
    """Decision logic of one gateway.

    Args:
        own_gateway: Name of this gateway.
        incarnation: Identifier of this process, new at each start.
        region: Region that the gateway serves.
        clock: Clock that supplies the current time.
        transport: Transport that sends the gateway's messages.
        metrics_client: Client that receives the gateway's metrics.

    Attributes:
        replica: This process's copy of the shared state.
        lease: View lease, which tracks when the view was last confirmed.
        frontend: Frontend, which requests slots for the callers' requests.
        host: Host of the dispatchers of the pools that this gateway owns.
    """

    def __init__(
        self,
        own_gateway: ids.GatewayId,
        incarnation: str,
        region: ids.RegionId,
        clock: clock_module.Clock,
        transport: Transport,
        metrics_client: statsd_metrics.MetricsClient,
    ) -> None:
        self._own_gateway = own_gateway
        self._clock = clock
        self._transport = transport
        self._confirmation = view_lease.Confirmation.NONE
        self._peer_stamps_ms: dict[ids.GatewayId, int] = {}
        self._last_heartbeats_ms: dict[ids.GatewayId, int] = {}
        self._last_pull_ms = 0
        self.replica = replica.Replica(region)
        self.lease = view_lease.ViewLease(own_gateway)
        self.frontend = frontend.Frontend(
            clock, self.replica, transport.send_to_dispatcher, self.view_valid
        )
        self.host = host.DispatchHost(
            own_gateway=own_gateway,
            incarnation=incarnation,
            clock=clock,
            state_replica=self.replica,
            send=transport.send_to_frontend,
            metrics_client=metrics_client,
        )

    def view_valid(self) -> bool:
        """Return whether this gateway may act on its view now."""
        return self.update_confirmation() is not view_lease.Confirmation.NONE

    def update_confirmation(self) -> view_lease.Confirmation:
        """Update the view's confirmation, and enable or disable granting.

        Returns:
            The source that confirms the view now.
        """
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
            self.host.set_granting_enabled(
                confirmation is not view_lease.Confirmation.NONE
            )
        return confirmation

    def tick(self) -> None:
        """Perform the work that is due at the current time."""
        self.update_confirmation()
        self.host.receive(self._own_gateway, self.heartbeat(self._own_gateway))
        self.host.tick()
        self.frontend.tick()
        self._send_heartbeats()

    def on_view_change(self) -> None:
        """Apply a change of the replica to the frontend and the host."""
        self.host.on_view_change()
        self.frontend.on_view_change()
        events.emit(
            events.Event.SETTINGS_IN_FORCE,
            settings_revision=self.replica.settings.revision,
            store_revision=self.replica.revision,
            epoch=self.replica.roster.epoch,
        )

    def heartbeat(self, peer: ids.GatewayId) -> messages.Heartbeat:
        """Return the heartbeat for a peer.

        Args:
            peer: Gateway that receives the heartbeat.
        """
        now_ms = self._clock.monotonic_ms()
        return messages.Heartbeat(
            stamp_ms=now_ms,
            echo_ms=self._peer_stamps_ms.get(peer, 0),
            epoch=self.replica.roster.epoch,
            revision=self.replica.revision,
            store_age_ms=self.lease.store_age_ms(now_ms),
        )

    def receive_from_frontend(
        self, gateway: ids.GatewayId, message: messages.Message
    ) -> None:
        """Handle a message that a frontend sent to the dispatchers here.

        Args:
            gateway: Gateway of the frontend.
            message: The message.
        """
        match message:
            case messages.Heartbeat():
                self._peer_stamps_ms[gateway] = message.stamp_ms
                self.host.receive(gateway, message)
                self._record_peer_view(gateway, message)
                self._send_heartbeat_if_due(gateway, _HEARTBEAT_MS // 2)
            case messages.Pull():
                if self.replica.revision > message.after:
                    items = self.replica.export()
                    push = messages.Push(self.replica.revision, items)
                    self._transport.send_to_frontend(gateway, push)
            case _:
                self.host.receive(gateway, message)

    def receive_from_dispatcher(
        self, gateway: ids.GatewayId, message: messages.Message
    ) -> bool:
        """Handle a message that a dispatcher sent to the frontend here.

        Args:
            gateway: Gateway of the dispatcher.
            message: The message.

        Returns:
            Whether the replica has changed and ``on_view_change`` must be
            called.
        """
        if isinstance(message, messages.Push):
            items, revision = message.items, message.revision
            return self.replica.load_export(items, revision)
        self.frontend.receive(gateway, message)
        return False

    def drain_state(self, vm: ids.VmId) -> messages.DrainResponse:
        """Return whether a VM is free of work and will stay free of work.

        Args:
            vm: The VM.

        Returns:
            The drain state. It has ``owner=False`` if this gateway does not
            own the VM's pool or its view is not valid.
        """
        response = self.host.drain_state(vm)
        if response is None or not self.view_valid():
            return messages.DrainResponse(owner=False)
        return response

    def _send_heartbeats(self) -> None:
        """Send heartbeats, less often to peers that do not need them now.

        A peer at which requests wait needs the time stamps in the heartbeats
        for its grants. While the store does not respond, the heartbeats
        confirm the views.
        """
        now_ms = self._clock.monotonic_ms()
        store_stale = self.lease.store_age_ms(now_ms) > _STORE_STALE_MS
        awaited_owners = self.frontend.awaited_owners()
        for peer in self.replica.roster.members:
            needed = store_stale or peer in awaited_owners
            interval_ms = _HEARTBEAT_MS if needed else _IDLE_HEARTBEAT_MS
            self._send_heartbeat_if_due(peer, interval_ms)

    def _send_heartbeat_if_due(
        self, peer: ids.GatewayId, interval_ms: int
    ) -> None:
        """Send a heartbeat unless one was sent within the interval.

        The gateway whose heartbeat is due first sends it, and the other one
        answers with its own, so that each pair of gateways exchanges two
        messages per interval.
        """
        now_ms = self._clock.monotonic_ms()
        last_ms = self._last_heartbeats_ms.get(peer, -_IDLE_HEARTBEAT_MS)
        if peer != self._own_gateway and now_ms - last_ms >= interval_ms:
            self._last_heartbeats_ms[peer] = now_ms
            self._transport.send_to_dispatcher(peer, self.heartbeat(peer))

    def _record_peer_view(
        self, peer: ids.GatewayId, heartbeat: messages.Heartbeat
    ) -> None:
        peer_view = view_lease.PeerView(
            sent_ms=heartbeat.echo_ms,
            revision=heartbeat.revision,
            store_age_ms=heartbeat.store_age_ms,
        )
        self.lease.record_peer_view(peer, peer_view)
        now_ms = self._clock.monotonic_ms()
        if heartbeat.revision <= self.replica.revision:
            return
        if now_ms - self._last_pull_ms >= _PULL_INTERVAL_MS:
            self._last_pull_ms = now_ms
            pull = messages.Pull(self.replica.revision)
            self._transport.send_to_dispatcher(peer, pull)
