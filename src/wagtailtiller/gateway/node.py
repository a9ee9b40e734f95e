"""A whole gateway: its tasks, and the messages between them."""

import asyncio
import random
import uuid

import msgspec

from wagtailtiller import clock
from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller import metrics
from wagtailtiller import process
from wagtailtiller import replica
from wagtailtiller import roster
from wagtailtiller import view
from wagtailtiller.dispatch import messages
from wagtailtiller.gateway import callers
from wagtailtiller.gateway import endpoints
from wagtailtiller.gateway import front
from wagtailtiller.gateway import host
from wagtailtiller.gateway import peers
from wagtailtiller.gateway import service
from wagtailtiller.gateway import session
from wagtailtiller.ports import store

_TICK_MS = 50
_PULL_EVERY_MS = 500


class GatewayNode:
    """Wires the parts of a gateway together.

    Args:
        own: The process settings.
        source: The platform's store.
        time: The clock.
        meter: Where metrics go.
    """

    def __init__(
        self,
        own: process.GatewaySettings,
        source: store.Store,
        time: clock.Clock,
        meter: metrics.Meter,
    ) -> None:
        self._own = own
        self._clock = time
        self._meter = meter
        self._incarnation = uuid.uuid4().hex[:8]
        self._random = random.Random(self._incarnation)
        self._replica = replica.Replica(own.region)
        self._lease = view.ViewLease(own.gateway)
        self._confirmation = view.Confirmation.NONE
        self._links: dict[ids.GatewayId, peers.PeerLink] = {}
        self._peer_stamps: dict[ids.GatewayId, int] = {}
        self._last_pull_ms = 0
        self._server = peers.PeerServer(
            own.peer_address, self._from_front, self._answer_drain, meter
        )
        self._front = front.Front(
            time, self._replica, self._to_dispatcher, self.view_valid
        )
        self._host = host.DispatchHost(
            own=own.gateway,
            incarnation=self._incarnation,
            time=time,
            shared=self._replica,
            send=self._to_front,
            meter=meter,
        )
        self._endpoints = endpoints.EndpointClient(time)
        self._service = service.RequestService(
            time, self._replica, self._front, self._endpoints, meter
        )
        self._callers = callers.CallerServer(
            own,
            self._incarnation,
            time,
            self._replica,
            self._service,
            self.view_valid,
            meter,
        )
        self._follower = follower.StoreFollower(
            source,
            self._replica,
            time,
            self._lease.confirm_by_store,
            self._view_changed,
            self._random,
        )
        described = roster.Session(
            gateway=own.gateway,
            incarnation=self._incarnation,
            region=own.region,
            peer_address=own.peer_address,
            caller_address=own.caller_address,
        )
        self._session = session.SessionKeeper(
            source, described, own.session_ttl_ms, self._random
        )
        self._tasks: list[asyncio.Task[None]] = []

    def view_valid(self) -> bool:
        """Whether this gateway may act on its view now."""
        return self._confirm() is not view.Confirmation.NONE

    async def start(self) -> None:
        """Start every task."""
        await self._server.start()
        self._tasks = [
            asyncio.create_task(self._follower.run()),
            asyncio.create_task(self._session.run()),
            asyncio.create_task(self._tick()),
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

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_MS / 1_000)
            self._confirm()
            self._host.receive(self._own.gateway, self._beat(self._own.gateway))
            self._host.tick()
            self._front.tick()

    def _confirm(self) -> view.Confirmation:
        now_ms = self._clock.monotonic_ms()
        confirmation = self._lease.confirmation(
            now_ms, self._replica.revision, self._replica.roster
        )
        if confirmation is not self._confirmation:
            self._confirmation = confirmation
            events.emit(
                events.Event.VIEW_CONFIRMATION_CHANGED,
                confirmation=confirmation.value,
            )
            self._host.set_open(confirmation is not view.Confirmation.NONE)
        return confirmation

    def _view_changed(self) -> None:
        self._match_links()
        self._host.view_changed()
        self._front.view_changed()
        events.emit(
            events.Event.SETTINGS_IN_FORCE,
            settings_revision=self._replica.settings.revision,
            store_revision=self._replica.revision,
            epoch=self._replica.roster.epoch,
        )

    def _match_links(self) -> None:
        members = self._replica.roster.members
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
            connected=self._front.peer_connected,
            make_beat=self._beat,
            time=self._clock,
            meter=self._meter,
        )

    def _beat(self, peer: ids.GatewayId) -> messages.Beat:
        now_ms = self._clock.monotonic_ms()
        return messages.Beat(
            stamp_ms=now_ms,
            echo_ms=self._peer_stamps.get(peer, 0),
            epoch=self._replica.roster.epoch,
            revision=self._replica.revision,
            store_age_ms=self._lease.store_age_ms(now_ms),
        )

    def _to_dispatcher(
        self, gateway: ids.GatewayId, message: messages.Message
    ) -> None:
        if gateway == self._own.gateway:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._host.receive, gateway, message)
        elif gateway in self._links:
            self._links[gateway].send(message)

    def _to_front(
        self, gateway: ids.GatewayId, message: messages.Message
    ) -> None:
        if gateway == self._own.gateway:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._front.receive, gateway, message)
        else:
            self._server.send(gateway, message)

    def _from_front(
        self, gateway: ids.GatewayId, message: messages.Message
    ) -> None:
        match message:
            case messages.Beat():
                self._peer_stamps[gateway] = message.stamp_ms
                self._host.receive(gateway, message)
                self._server.send(gateway, self._beat(gateway))
            case messages.Pull():
                if self._replica.revision > message.after:
                    items = self._replica.export()
                    push = messages.Push(self._replica.revision, items)
                    self._server.send(gateway, push)
            case _:
                self._host.receive(gateway, message)

    def _from_dispatcher(
        self, gateway: ids.GatewayId, message: messages.Message
    ) -> None:
        match message:
            case messages.Beat():
                self._hear(gateway, message)
            case messages.Push():
                if self._replica.load_export(message.items, message.revision):
                    self._view_changed()
            case _:
                self._front.receive(gateway, message)

    def _hear(self, peer: ids.GatewayId, beat: messages.Beat) -> None:
        said = view.PeerView(beat.echo_ms, beat.revision, beat.store_age_ms)
        self._lease.hear(peer, said)
        now_ms = self._clock.monotonic_ms()
        if beat.revision <= self._replica.revision:
            return
        if now_ms - self._last_pull_ms >= _PULL_EVERY_MS:
            self._last_pull_ms = now_ms
            pull = messages.Pull(self._replica.revision)
            self._to_dispatcher(peer, pull)

    async def _answer_drain(self, request: bytes) -> bytes:
        question = msgspec.msgpack.decode(request, type=messages.DrainQuestion)
        found = self._host.drain_state(question.vm)
        if found is None or not self.view_valid():
            found = messages.DrainAnswer(owner=False)
        return msgspec.msgpack.encode(found)


def _address(member: roster.Session) -> tuple[str, str]:
    return (member.incarnation, member.peer_address)
