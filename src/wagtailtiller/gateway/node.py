"""A whole gateway: its tasks, its streams, and the decisions they feed."""

import asyncio
import random
import uuid

import msgspec

from wagtailtiller import clock
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
    """Wires the parts of a gateway together.

    Args:
        own: The process settings.
        store_client: The platform's store.
        time: The clock.
        metrics_client: Where metrics go.
    """

    def __init__(
        self,
        own: process_settings.GatewaySettings,
        store_client: store.Store,
        time: clock.Clock,
        metrics_client: statsd_metrics.MetricsClient,
    ) -> None:
        self._own = own
        self._clock = time
        self._metrics_client = metrics_client
        self._incarnation = uuid.uuid4().hex[:8]
        self._links: dict[ids.GatewayId, peers.PeerLink] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._core = core.GatewayCore(
            own=own.gateway,
            incarnation=self._incarnation,
            region=own.region,
            time=time,
            transport=self,
            metrics_client=metrics_client,
        )
        self._server = peers.PeerServer(
            address=own.peer_address,
            receive=self._core.from_front,
            answer_drain=self._answer_drain,
            answer_loads=self._answer_loads,
            metrics_client=metrics_client,
        )
        self._endpoints = endpoints.EndpointClient(time)
        requests = service.RequestService(
            time,
            self._core.replica,
            self._core.front,
            self._endpoints,
            metrics_client,
        )
        self._callers = callers.CallerServer(
            own=own,
            incarnation=self._incarnation,
            time=time,
            shared=self._core.replica,
            requests=requests,
            view_valid=self._core.view_valid,
            metrics_client=metrics_client,
        )
        randomness = random.Random(self._incarnation)
        self._follower = follower.StoreFollower(
            store_client=store_client,
            shared=self._core.replica,
            time=time,
            on_confirmed=self._core.lease.record_store_confirmation,
            on_change=self._view_changed,
            rng=randomness,
            wait_ms=_WATCH_WAIT_MS,
        )
        self._session = session.SessionKeeper(
            store_client, self._describe(), own.session_ttl_ms, randomness
        )

    async def start(self) -> None:
        """Start every task."""
        await self._server.start()
        self._tasks = [
            runtime.spawn(self._follower.run()),
            runtime.spawn(self._session.run()),
            runtime.spawn(self._tick()),
        ]
        await self._callers.start()
        events.emit(
            events.Event.GATEWAY_STARTED,
            gateway=self._own.gateway,
            incarnation=self._incarnation,
        )

    async def stop(self) -> None:
        """Stop gracefully: nothing in flight is cut off."""
        events.emit(events.Event.GATEWAY_STOPPING, gateway=self._own.gateway)
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
        events.emit(events.Event.GATEWAY_STOPPED, gateway=self._own.gateway)

    def to_dispatcher(
        self, gateway: ids.GatewayId, message: messages.Message
    ) -> None:
        """Send as a front; see ``core.Transport``."""
        if gateway == self._own.gateway:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._core.from_front, gateway, message)
        elif gateway in self._links:
            self._links[gateway].send(message)

    def to_front(
        self, gateway: ids.GatewayId, message: messages.Message
    ) -> None:
        """Send as a dispatcher; see ``core.Transport``."""
        if gateway == self._own.gateway:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._from_dispatcher, gateway, message)
        else:
            self._server.send(gateway, message)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_MS / 1_000)
            self._core.tick()

    def _view_changed(self) -> None:
        self._match_links()
        self._core.view_changed()
        self._session.acknowledge(self._core.replica.roster.epoch)

    def _from_dispatcher(
        self, gateway: ids.GatewayId, message: messages.Message
    ) -> None:
        if self._core.from_dispatcher(gateway, message):
            self._view_changed()

    def _describe(self) -> roster.Session:
        return roster.Session(
            gateway=self._own.gateway,
            incarnation=self._incarnation,
            region=self._own.region,
            peer_address=self._own.peer_address,
            caller_address=self._own.caller_address,
        )

    def _match_links(self) -> None:
        members = self._core.replica.roster.members
        for name, link in list(self._links.items()):
            member = members.get(name)
            if member is None or _address(member) != _address(link.peer):
                del self._links[name]
                task = asyncio.create_task(link.close())
                self._tasks.append(task)
        for name, member in members.items():
            if name != self._own.gateway and name not in self._links:
                self._links[name] = self._open_link(member)

    def _open_link(self, member: roster.Session) -> peers.PeerLink:
        return peers.PeerLink(
            own=messages.Hello(self._own.gateway, self._incarnation),
            peer=member,
            receive=self._from_dispatcher,
            connected=self._core.front.peer_connected,
            metrics_client=self._metrics_client,
        )

    def _answer_drain(self, request: bytes) -> bytes:
        question = msgspec.msgpack.decode(request, type=messages.DrainRequest)
        return msgspec.msgpack.encode(self._core.drain_answer(question.vm))

    def _answer_loads(self) -> bytes:
        return msgspec.msgpack.encode(self._core.host.loads())


def _address(member: roster.Session) -> tuple[str, str]:
    return (member.incarnation, member.peer_address)
