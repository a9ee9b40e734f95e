"""A complete gateway: its tasks, its streams and its decision logic."""

import asyncio
import random
import uuid

import msgspec

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller import process_settings
from wagtailtiller import roster
from wagtailtiller import runtime
from wagtailtiller import statsd_metrics
from wagtailtiller.dispatch import messages
from wagtailtiller.gateway import core
from wagtailtiller.gateway import endpoints
from wagtailtiller.gateway import peers
from wagtailtiller.gateway import session
from wagtailtiller.gateway.serving import callers
from wagtailtiller.gateway.serving import service
from wagtailtiller.ports import store

_TICK_MS = 100
_WATCH_WAIT_MS = 600


class GatewayNode:
    """Creates, connects and runs the components of a gateway.

    Args:
        own_settings: Settings of this process.
        store_client: Client of the platform's store.
        clock: Clock that supplies the current time.
        metrics_client: Client that receives the gateway's metrics.
    """

    def __init__(
        self,
        own_settings: process_settings.GatewaySettings,
        store_client: store.Store,
        clock: clock_module.Clock,
        metrics_client: statsd_metrics.MetricsClient,
    ) -> None:
        self._own_settings = own_settings
        self._clock = clock
        self._metrics_client = metrics_client
        self._incarnation = uuid.uuid4().hex[:8]
        self._links: dict[ids.GatewayId, peers.PeerLink] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._core = core.GatewayCore(
            own_gateway=own_settings.gateway,
            incarnation=self._incarnation,
            region=own_settings.region,
            clock=clock,
            transport=self,
            metrics_client=metrics_client,
        )
        self._server = peers.PeerServer(
            address=own_settings.peer_address,
            on_message=self._core.receive_from_frontend,
            answer_drain=self._answer_drain,
            answer_loads=self._answer_loads,
            metrics_client=metrics_client,
        )
        self._endpoints = endpoints.EndpointClient(clock)
        request_service = service.RequestService(
            clock,
            self._core.replica,
            self._core.frontend,
            self._endpoints,
            metrics_client,
        )
        self._callers = callers.CallerServer(
            own_settings=own_settings,
            incarnation=self._incarnation,
            clock=clock,
            state_replica=self._core.replica,
            request_service=request_service,
            view_valid=self._core.view_valid,
            metrics_client=metrics_client,
        )
        rng = random.Random(self._incarnation)
        self._follower = follower.StoreFollower(
            store_client=store_client,
            state_replica=self._core.replica,
            clock=clock,
            on_confirmed=self._core.lease.record_store_confirmation,
            on_change=self._on_view_change,
            rng=rng,
            wait_ms=_WATCH_WAIT_MS,
        )
        self._session = session.SessionRenewer(
            store_client,
            self._create_session(),
            own_settings.session_ttl_ms,
            rng,
        )

    async def start(self) -> None:
        """Start the servers and all tasks."""
        await self._server.start()
        self._tasks = [
            runtime.spawn(self._follower.run()),
            runtime.spawn(self._session.run()),
            runtime.spawn(self._tick_periodically()),
        ]
        await self._callers.start()
        events.emit(
            events.Event.GATEWAY_STARTED,
            gateway=self._own_settings.gateway,
            incarnation=self._incarnation,
        )

    async def stop(self) -> None:
        """Shut down gracefully after the requests in flight have ended."""
        events.emit(
            events.Event.GATEWAY_STOPPING, gateway=self._own_settings.gateway
        )
        await self._session.announce_leaving()
        await self._callers.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._session.close()
        for link in list(self._links.values()):
            await link.close()
        await self._server.stop()
        await self._endpoints.close()
        events.emit(
            events.Event.GATEWAY_STOPPED, gateway=self._own_settings.gateway
        )

    def send_to_dispatcher(
        self, gateway: ids.GatewayId, message: messages.Message
    ) -> None:
        """Send a message of the frontend; see ``core.Transport``."""
        if gateway == self._own_settings.gateway:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._core.receive_from_frontend, gateway, message)
        elif gateway in self._links:
            self._links[gateway].send(message)

    def send_to_frontend(
        self, gateway: ids.GatewayId, message: messages.Message
    ) -> None:
        """Send a message of a dispatcher; see ``core.Transport``."""
        if gateway == self._own_settings.gateway:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._receive_from_dispatcher, gateway, message)
        else:
            self._server.send(gateway, message)

    async def _tick_periodically(self) -> None:
        while True:
            await asyncio.sleep(_TICK_MS / 1_000)
            self._core.tick()

    def _on_view_change(self) -> None:
        self._update_links()
        self._core.on_view_change()
        self._session.acknowledge(self._core.replica.roster.epoch)

    def _receive_from_dispatcher(
        self, gateway: ids.GatewayId, message: messages.Message
    ) -> None:
        if self._core.receive_from_dispatcher(gateway, message):
            self._on_view_change()

    def _create_session(self) -> roster.GatewaySession:
        return roster.GatewaySession(
            gateway=self._own_settings.gateway,
            incarnation=self._incarnation,
            region=self._own_settings.region,
            peer_address=self._own_settings.peer_address,
            caller_address=self._own_settings.caller_address,
        )

    def _update_links(self) -> None:
        members = self._core.replica.roster.members
        for name, link in list(self._links.items()):
            member = members.get(name)
            if member is None or _link_identity(member) != _link_identity(
                link.peer
            ):
                del self._links[name]
                task = asyncio.create_task(link.close())
                self._tasks.append(task)
        for name, member in members.items():
            if name != self._own_settings.gateway and name not in self._links:
                self._links[name] = self._open_link(member)

    def _open_link(self, member: roster.GatewaySession) -> peers.PeerLink:
        return peers.PeerLink(
            hello=messages.Hello(self._own_settings.gateway, self._incarnation),
            peer=member,
            on_message=self._receive_from_dispatcher,
            on_connected=self._core.frontend.on_peer_connected,
            metrics_client=self._metrics_client,
        )

    def _answer_drain(self, payload: bytes) -> bytes:
        request = msgspec.msgpack.decode(payload, type=messages.DrainRequest)
        return msgspec.msgpack.encode(self._core.drain_state(request.vm))

    def _answer_loads(self) -> bytes:
        return msgspec.msgpack.encode(self._core.host.loads())


def _link_identity(member: roster.GatewaySession) -> tuple[str, str]:
    return (member.incarnation, member.peer_address)
