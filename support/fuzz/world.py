"""One seeded schedule over the shipped decision code.

Gateways, their streams, the store and a controller are driven step by step
in virtual time; kills, freezes, cuts, outages and operator commands are drawn
from the seed. There is no model of a network or of processes.
"""

from collections.abc import Callable
import dataclasses
import functools
import random

import msgspec

from support import clocks
from support.fuzz import channels
from support.fuzz import oracle
from wagtailtiller import fleet
from wagtailtiller import ids
from wagtailtiller import roster
from wagtailtiller import settings
from wagtailtiller import statsd_metrics
from wagtailtiller import view_lease
from wagtailtiller.dispatch import messages
from wagtailtiller.fleet import model
from wagtailtiller.gateway import core
from wagtailtiller.gateway.granting import frontend
from wagtailtiller.ports import store
from wagtailtiller.settings import changes

REGION = ids.RegionId("region")
_SLOTS = 2
_SESSION_MS = 3_000
_GRACE_MS = 4_000
_RUN_LIMIT_MS = 2_000
_CALLER = settings.Caller(ids.MemberId("m"), ids.TeamId("m/t"), 100.0)

_SETTINGS = {
    "tree": {
        "values": {
            "slots_per_vm": _SLOTS,
            "run_limit_ms": _RUN_LIMIT_MS,
            "deadline_ms": 4_000,
            "expected_run_ms": 200,
            "resend_window_ms": 20_000,
        },
        "pools": {
            "one": {"queues": {"one-once": {}}},
            "two": {
                "queues": {
                    "two-once": {},
                    "two-often": {"values": {"idempotent": True}},
                }
            },
        },
    },
    "data_centres": {"dc": {"region": "region"}},
    "vms": {
        f"vm-{n}": {
            "address": f"10.0.0.{n + 1}:80",
            "data_centre": "dc",
            "rack": f"rack-{n // 2}",
            "pool": "one" if n < 3 else "two",
            "processors": 4,
            "memory_gb": 8,
        }
        for n in range(6)
    },
}


class FakeStore:
    """The shared state, without leases or transport."""

    def __init__(self) -> None:
        self.items: dict[str, store.Item] = {}
        self.revision = 0

    def write(self, key: str, value: object) -> None:
        """Write a key."""
        self.revision += 1
        encoded = msgspec.json.encode(value)
        revision = ids.Revision(self.revision)
        self.items[key] = store.Item(key, encoded, revision)

    def after(self, revision: int) -> list[store.Item]:
        """Return the items changed after a revision, in order."""
        newer = [i for i in self.items.values() if i.revision > revision]
        return sorted(newer, key=lambda item: item.revision)


@dataclasses.dataclass
class Request:
    """A caller's request."""

    number: int
    queue: settings.QueueSettings
    key: int
    first_used_ms: int
    sent_ms: int
    told: bool = False


class Gateway:
    """A gateway process of the schedule."""

    def __init__(self, name: str, incarnation: str, world: "World") -> None:
        self.name = ids.GatewayId(name)
        self.session = roster.Session(
            self.name, incarnation, REGION, f"{name}:{incarnation}", ""
        )
        self._world = world
        self.paused = False
        self.reaches_store = True
        self.renewed_ms = world.clock.now_ms
        self.known_epoch = ids.Epoch(0)
        self.due: list[tuple[int, Callable[[], None]]] = []
        self.core = core.GatewayCore(
            own=self.name,
            incarnation=incarnation,
            region=REGION,
            time=world.clock,
            transport=self,
            metrics_client=statsd_metrics.NullMetricsClient(),
        )

    def send_to_dispatcher(
        self, gateway: ids.GatewayId, message: messages.Message
    ) -> None:
        """Send as a front."""
        self._world.send(self.name, gateway, True, message)

    def send_to_frontend(
        self, gateway: ids.GatewayId, message: messages.Message
    ) -> None:
        """Send as a dispatcher."""
        self._world.send(gateway, self.name, False, message)

    def later(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Do something in this process after a delay, unless it dies."""
        self.due.append((self._world.clock.now_ms + delay_ms, action))

    def work(self, now_ms: int) -> None:
        """Do what is due."""
        ready = [each for each in self.due if each[0] <= now_ms]
        self.due = [each for each in self.due if each[0] > now_ms]
        for _, action in ready:
            action()
        self.core.tick()


class World:
    """All that takes part in one schedule.

    Args:
        seed: Draws the schedule.
        gateways: How many gateways.
    """

    def __init__(self, seed: int, gateways: int = 3) -> None:
        self.clock = clocks.FakeClock()
        self.random = random.Random(seed)
        self._starts = 0
        self._store = FakeStore()
        self._store_up_since_ms: int | None = 0
        self._current = changes.validate_and_resolve(
            ids.Revision(1), _SETTINGS
        ).ok
        self.catalogue = self._current.catalogue
        self.fleet = fleet.Fleet()
        self.roster = roster.EMPTY
        self.gateways: dict[ids.GatewayId, Gateway] = {}
        self._streams: dict[
            tuple[ids.GatewayId, ids.GatewayId], channels.Stream
        ] = {}
        self.requests: list[Request] = []
        self._drain_answers: list[
            tuple[int, ids.VmId, messages.DrainResponse]
        ] = []
        self._runs_due: list[tuple[int, Callable[[], None]]] = []
        budgets = {"one": 1, "two": 1}
        self.oracle = oracle.Oracle(_SLOTS, budgets)
        self._set_up(gateways)

    def _set_up(self, gateways: int) -> None:
        change = changes.Change(
            revision=ids.Revision(1),
            change=ids.ChangeId("first"),
            who="",
            why="",
            at_ms=0,
            patch=_SETTINGS,
        )
        self._store.write(changes.log_key(ids.Revision(1)), change)
        for vm, declared in self.catalogue.vms.items():
            self.command(fleet.Enrol(vm, declared.pool, 1))
            self.oracle.serve(vm, declared.pool)
        for number in range(gateways):
            self.start_gateway(f"gw-{number}")

    def start_gateway(self, name: str) -> None:
        """Start a gateway process."""
        self._starts += 1
        gateway = Gateway(name, f"i{self._starts}", self)
        self.gateways[gateway.name] = gateway
        for stream in self._streams.values():
            if name in (stream.frontend, stream.peer):
                stream.cut()

    def kill_gateway(self, name: ids.GatewayId) -> None:
        """End a process at once."""
        del self.gateways[name]
        for stream in self._streams.values():
            if name in (stream.frontend, stream.peer):
                stream.cut()

    def command(self, command: fleet.Command) -> bool:
        """Apply a fleet command; False when it is refused."""
        applied = fleet.apply(
            self.fleet, command, self.catalogue, self.clock.now_ms
        )
        if applied.is_error():
            return False
        self.fleet = applied.ok
        self._store.write(model.key(REGION), self.fleet)
        return True

    def send(
        self,
        opener: ids.GatewayId,
        peer: ids.GatewayId,
        outwards: bool,
        message: messages.Message,
    ) -> None:
        """Carry a message over the stream that a front opened."""
        stream = self._streams.get((opener, peer))
        if opener == peer and stream is None:
            stream = channels.Stream(opener, peer)
            self._streams[(opener, peer)] = stream
        if stream is not None:
            stream.put(outwards, message, self.clock.now_ms, self.random)

    def step(self, delta_ms: int) -> None:
        """Let time pass for everybody."""
        self.clock.advance(delta_ms)
        self._end_runs()
        self._keep_roster()
        for gateway in list(self.gateways.values()):
            if not gateway.paused:
                self._live(gateway)
        self._control()

    def set_store(self, up: bool) -> None:
        """Let the store fail or come back."""
        if up and self._store_up_since_ms is None:
            self._store_up_since_ms = self.clock.now_ms
        if not up:
            self._store_up_since_ms = None

    @property
    def store_up(self) -> bool:
        """Whether the store answers."""
        return self._store_up_since_ms is not None

    def begin_request(
        self, gateway: Gateway, request: Request, deadline_ms: int
    ) -> None:
        """Let a caller send a request through a gateway."""
        if not gateway.core.view_valid():
            told = oracle.Told.NOT_RUN
            self._tell(request, self._unvouched(request, told))
            return
        want = frontend.AdmittedRequest(
            queue=request.queue,
            caller=_CALLER,
            deadline_ms=self.clock.now_ms + deadline_ms,
            key=request.key,
            key_first_used_ms=request.first_used_ms,
        )
        seq = gateway.core.frontend.request_slot(
            want, lambda reply: self._replied(gateway, request, reply)
        )
        gateway.later(
            deadline_ms, lambda: self._deadline(gateway, request, seq)
        )

    def break_stream(self) -> None:
        """Break a random stream."""
        open_streams = [
            stream
            for stream in self._streams.values()
            if stream.open and stream.frontend != stream.peer
        ]
        if open_streams:
            self.random.choice(open_streams).cut()

    def ask_drain(self) -> None:
        """Ask a random gateway about a leaving VM, as a controller might."""
        leaving = [
            vm
            for vm, record in self.fleet.vms.items()
            if record.state is fleet.VmState.LEAVING
        ]
        awake = [g for g in self.gateways.values() if not g.paused]
        if leaving and awake:
            vm = self.random.choice(leaving)
            gateway = self.random.choice(awake)
            answer = gateway.core.drain_state(vm)
            due_ms = self.clock.now_ms + self.random.randrange(3_000)
            self._drain_answers.append((due_ms, vm, answer))

    def _live(self, gateway: Gateway) -> None:
        now_ms = self.clock.now_ms
        if self.store_up and gateway.reaches_store:
            self._follow(gateway)
        self._connect(gateway)
        self._deliver(gateway)
        gateway.work(now_ms)

    def _follow(self, gateway: Gateway) -> None:
        gateway.renewed_ms = self.clock.now_ms
        gateway.known_epoch = gateway.core.replica.roster.epoch
        if self.random.random() < 0.3:
            return
        asked_ms = self.clock.now_ms - self.random.randrange(20)
        newer = self._store.after(gateway.core.replica.revision)
        changed = gateway.core.replica.update(newer)
        gateway.core.lease.record_store_confirmation(asked_ms)
        if changed:
            gateway.core.on_view_change()

    def _connect(self, gateway: Gateway) -> None:
        members = gateway.core.replica.roster.members
        for name, member in members.items():
            peer = self.gateways.get(name)
            if name == gateway.name or peer is None:
                continue
            if peer.session.incarnation != member.incarnation:
                continue
            stream = self._streams.get((gateway.name, name))
            if stream is None or not stream.open:
                if self.random.random() < 0.5:
                    continue
                created = channels.Stream(gateway.name, name)
                self._streams[(gateway.name, name)] = created
                hello = messages.Hello(
                    gateway.name, gateway.session.incarnation
                )
                gateway.send_to_dispatcher(name, hello)
                gateway.core.frontend.on_peer_connected(name)

    def _deliver(self, gateway: Gateway) -> None:
        now_ms = self.clock.now_ms
        for (opener, peer), stream in list(self._streams.items()):
            if peer == gateway.name:
                take = functools.partial(
                    gateway.core.receive_from_frontend, opener
                )
                stream.deliver(True, now_ms, take)
            if opener == gateway.name:
                take = functools.partial(self._to_front, gateway, peer)
                stream.deliver(False, now_ms, take)

    def _to_front(
        self, gateway: Gateway, peer: ids.GatewayId, message: messages.Message
    ) -> None:
        if gateway.core.receive_from_dispatcher(peer, message):
            gateway.core.on_view_change()

    def _replied(
        self,
        gateway: Gateway,
        request: Request,
        reply: frontend.GrantedSlot | messages.Refuse,
    ) -> None:
        match reply:
            case messages.Refuse():
                self._tell(request, self._refused(request, reply))
            case frontend.GrantedSlot():
                delay_ms = self.random.choice((0, 0, 0, 5, 400))
                gateway.later(
                    delay_ms, lambda: self._run(gateway, request, reply)
                )

    def _run(
        self, gateway: Gateway, request: Request, granted: frontend.GrantedSlot
    ) -> None:
        desk = gateway.core.frontend
        if request.told:
            desk.release(granted.seq, messages.RunOutcome.UNUSED, 0)
            return
        if not desk.usable(granted, request.queue.pool):
            desk.release(granted.seq, messages.RunOutcome.UNUSED, 0)
            self._tell(request, oracle.Told.NOT_RUN)
            return
        vm = granted.vm
        if self.oracle.running(vm) >= _SLOTS:
            desk.release(granted.seq, messages.RunOutcome.BUSY, 0)
            self._tell(request, oracle.Told.NOT_RUN)
            return
        key = 0 if request.queue.idempotent else request.key
        confirmed_by = gateway.core.update_confirmation()
        run = self.oracle.started(
            request=request.number,
            key=key,
            vm=vm,
            pool=request.queue.pool,
            now_ms=self.clock.now_ms,
            outage=confirmed_by is view_lease.Confirmation.MAJORITY,
        )
        work_ms = self.random.choice((20, 100, 300, 1_500))
        due_ms = self.clock.now_ms + work_ms

        def ended() -> None:
            run.running = False
            if self.gateways.get(gateway.name) is gateway:
                gateway.later(
                    0, lambda: self._answered(gateway, request, granted.seq)
                )

        self._runs_due.append((due_ms, ended))

    def _answered(self, gateway: Gateway, request: Request, seq: int) -> None:
        outcome = messages.RunOutcome.ANSWERED
        gateway.core.frontend.release(seq, outcome, 100)
        self._tell(request, oracle.Told.ANSWER)

    def _deadline(self, gateway: Gateway, request: Request, seq: int) -> None:
        if request.told:
            return
        gateway.core.frontend.abandon(seq)
        started = any(run.request == request.number for run in self.oracle.runs)
        told = oracle.Told.UNKNOWN if started else oracle.Told.NOT_RUN
        self._tell(request, self._unvouched(request, told))

    def _refused(
        self, request: Request, refuse: messages.Refuse
    ) -> oracle.Told:
        match refuse.reason:
            case messages.Refusal.DUPLICATE | messages.Refusal.MAY_HAVE_RUN:
                return oracle.Told.UNKNOWN
            case messages.Refusal.ISOLATED:
                return self._unvouched(request, oracle.Told.NOT_RUN)
        return oracle.Told.NOT_RUN

    def _unvouched(self, request: Request, told: oracle.Told) -> oracle.Told:
        keyed = request.key and not request.queue.idempotent
        return oracle.Told.UNKNOWN if keyed else told

    def _tell(self, request: Request, told: oracle.Told) -> None:
        if request.told:
            return
        request.told = True
        key = 0 if request.queue.idempotent else request.key
        self.oracle.tell(request.number, key, told, request.sent_ms)

    def _end_runs(self) -> None:
        now_ms = self.clock.now_ms
        ready = [each for each in self._runs_due if each[0] <= now_ms]
        self._runs_due = [e for e in self._runs_due if e[0] > now_ms]
        for _, ended in ready:
            ended()

    def _keep_roster(self) -> None:
        if not self.store_up:
            return
        now_ms = self.clock.now_ms
        since_ms = self._store_up_since_ms or 0
        may_remove = now_ms - since_ms >= _GRACE_MS
        present = [
            roster.SessionRecord(gateway.session, gateway.known_epoch)
            for gateway in self.gateways.values()
            if now_ms - gateway.renewed_ms < _SESSION_MS
        ]
        if not may_remove:
            names = {each.session.gateway for each in present}
            present += [
                roster.SessionRecord(member, ids.Epoch(0))
                for name, member in self.roster.members.items()
                if name not in names
            ]
        new = roster.next_roster(self.roster, present, now_ms)
        if new != self.roster:
            self.roster = new
            self._store.write(roster.key(REGION), new)

    def _control(self) -> None:
        if not self.store_up:
            return
        now_ms = self.clock.now_ms
        ready = [each for each in self._drain_answers if each[0] <= now_ms]
        self._drain_answers = [e for e in self._drain_answers if e[0] > now_ms]
        for _, vm, answer in ready:
            if answer.owner and answer.idle:
                self._drained(vm, answer.generation)

    def _drained(self, vm: ids.VmId, generation: int) -> None:
        if not self.command(fleet.Drained(vm, generation)):
            return
        record = self.fleet.vms[vm]
        if record.state is fleet.VmState.STOPPED:
            self.oracle.planned_stop(vm)
        else:
            if self.oracle.running(vm):
                self.oracle.broken.append(f"{vm} moved with work on it")
            self.oracle.serve(vm, record.pool)
