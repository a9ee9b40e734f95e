"""Simulated site of a seeded schedule that runs the shipped decision code.

Gateways, their streams, the store and a controller advance step by step in
virtual time. Kills, freezes, broken streams, outages and operator commands are
drawn from the seed. No sockets and no operating system processes are involved.
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
_REMOVAL_GRACE_MS = 4_000
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


class ItemStore:
    """In-memory store without leases or a transport.

    Attributes:
        items: Items by key.
        revision: Revision of the last write.
    """

    def __init__(self) -> None:
        self.items: dict[str, store.Item] = {}
        self.revision = 0

    def write(self, key: str, value: object) -> None:
        """Write a key; the value is encoded as JSON."""
        self.revision += 1
        encoded = msgspec.json.encode(value)
        revision = ids.Revision(self.revision)
        self.items[key] = store.Item(key, encoded, revision)

    def after(self, revision: int) -> list[store.Item]:
        """Return the items changed after a revision, in order of revision."""
        items = [i for i in self.items.values() if i.revision > revision]
        return sorted(items, key=lambda item: item.revision)


@dataclasses.dataclass
class Request:
    """Request of a caller.

    Attributes:
        number: Number of the request.
        queue: Settings of the queue.
        key: Idempotency key; 0 for none.
        first_used_ms: Time at which the key was first used.
        sent_ms: Time at which the caller sent the request.
        has_outcome: Whether the caller has received an outcome.
    """

    number: int
    queue: settings.QueueSettings
    key: int
    first_used_ms: int
    sent_ms: int
    has_outcome: bool = False


class Gateway:
    """Gateway process of the schedule.

    It implements ``core.Transport``.

    Args:
        name: Id of the gateway.
        incarnation: Id of the process.
        world: World that the gateway belongs to.

    Attributes:
        name: Id of the gateway.
        session: Session of the process.
        paused: Whether the process is frozen.
        reaches_store: Whether the process can reach the store.
        renewed_ms: Time at which the session was last renewed.
        known_epoch: Epoch that the session last reported.
        due_actions: Pending actions with their due times.
        core: Decision code of the gateway.
    """

    def __init__(self, name: str, incarnation: str, world: "World") -> None:
        self.name = ids.GatewayId(name)
        self.session = roster.GatewaySession(
            self.name, incarnation, REGION, f"{name}:{incarnation}", ""
        )
        self._world = world
        self.paused = False
        self.reaches_store = True
        self.renewed_ms = world.clock.now_ms
        self.known_epoch = ids.Epoch(0)
        self.due_actions: list[tuple[int, Callable[[], None]]] = []
        self.core = core.GatewayCore(
            own_gateway=self.name,
            incarnation=incarnation,
            region=REGION,
            clock=world.clock,
            transport=self,
            metrics_client=statsd_metrics.NullMetricsClient(),
        )

    def send_to_dispatcher(
        self, gateway: ids.GatewayId, message: messages.Message
    ) -> None:
        """Send a message from this frontend to a gateway's dispatchers."""
        self._world.send(self.name, gateway, True, message)

    def send_to_frontend(
        self, gateway: ids.GatewayId, message: messages.Message
    ) -> None:
        """Send a message from these dispatchers to a gateway's frontend."""
        self._world.send(gateway, self.name, False, message)

    def call_later(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in ms, unless the process ends."""
        self.due_actions.append((self._world.clock.now_ms + delay_ms, action))

    def run_due(self, now_ms: int) -> None:
        """Run the actions that are due, and a tick of the decision code."""
        due_now = [entry for entry in self.due_actions if entry[0] <= now_ms]
        self.due_actions = [
            entry for entry in self.due_actions if entry[0] > now_ms
        ]
        for _, action in due_now:
            action()
        self.core.tick()


class World:
    """All components of one schedule.

    Args:
        seed: Seed of all random choices.
        gateways: Number of gateways at the start.

    Attributes:
        clock: Virtual clock.
        rng: Random source of the schedule.
        catalogue: Settings of the site.
        fleet: State of the fleet.
        roster: Current roster.
        gateways: Running gateways.
        requests: All requests in the order of sending.
        oracle: Oracle that checks the schedule.
    """

    def __init__(self, seed: int, gateways: int = 3) -> None:
        self.clock = clocks.FakeClock()
        self.rng = random.Random(seed)
        self._start_count = 0
        self._store = ItemStore()
        self._store_up_since_ms: int | None = 0
        self._settings_version = changes.validate_and_resolve(
            ids.Revision(1), _SETTINGS
        ).ok
        self.catalogue = self._settings_version.catalogue
        self.fleet = fleet.Fleet()
        self.roster = roster.EMPTY
        self.gateways: dict[ids.GatewayId, Gateway] = {}
        self._streams: dict[
            tuple[ids.GatewayId, ids.GatewayId], channels.Stream
        ] = {}
        self.requests: list[Request] = []
        self._drain_responses: list[
            tuple[int, ids.VmId, messages.DrainResponse]
        ] = []
        self._run_ends: list[tuple[int, Callable[[], None]]] = []
        budgets = {"one": 1, "two": 1}
        self.oracle = oracle.Oracle(_SLOTS, budgets)
        self._create_site(gateways)

    def _create_site(self, gateways: int) -> None:
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
            self.oracle.record_serving(vm, declared.pool)
        for number in range(gateways):
            self.start_gateway(f"gw-{number}")

    def start_gateway(self, name: str) -> None:
        """Start a gateway process, which breaks the streams of the name."""
        self._start_count += 1
        gateway = Gateway(name, f"i{self._start_count}", self)
        self.gateways[gateway.name] = gateway
        for stream in self._streams.values():
            if name in (stream.opener, stream.peer):
                stream.close()

    def kill_gateway(self, name: ids.GatewayId) -> None:
        """End a gateway process immediately and break its streams."""
        del self.gateways[name]
        for stream in self._streams.values():
            if name in (stream.opener, stream.peer):
                stream.close()

    def command(self, command: fleet.Command) -> bool:
        """Apply a fleet command; returns False if it is refused."""
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
        to_dispatcher: bool,
        message: messages.Message,
    ) -> None:
        """Send a message over a stream; it is lost if there is no stream.

        Args:
            opener: Gateway whose frontend opened the stream.
            peer: Gateway at the other end.
            to_dispatcher: Whether the message goes to the peer's dispatchers,
                as opposed to the opener's frontend.
            message: Message to send.
        """
        stream = self._streams.get((opener, peer))
        if opener == peer and stream is None:
            stream = channels.Stream(opener, peer)
            self._streams[(opener, peer)] = stream
        if stream is not None:
            stream.send(to_dispatcher, message, self.clock.now_ms, self.rng)

    def step(self, delta_ms: int) -> None:
        """Advance the time, then all gateways and the controller."""
        self.clock.advance(delta_ms)
        self._finish_due_runs()
        self._update_roster()
        for gateway in list(self.gateways.values()):
            if not gateway.paused:
                self._step_gateway(gateway)
        self._apply_drain_responses()

    def set_store(self, up: bool) -> None:
        """Start or end an outage of the store."""
        if up and self._store_up_since_ms is None:
            self._store_up_since_ms = self.clock.now_ms
        if not up:
            self._store_up_since_ms = None

    @property
    def store_up(self) -> bool:
        """Whether the store is available."""
        return self._store_up_since_ms is not None

    def begin_request(
        self, gateway: Gateway, request: Request, deadline_ms: int
    ) -> None:
        """Send a caller's request through a gateway.

        Args:
            gateway: Gateway that receives the request.
            request: Request to send.
            deadline_ms: Deadline in milliseconds from now.
        """
        if not gateway.core.view_valid():
            outcome = oracle.CallerOutcome.NOT_RUN
            self._report_outcome(
                request, self._unconfirmed_outcome(request, outcome)
            )
            return
        admitted = frontend.AdmittedRequest(
            queue=request.queue,
            caller=_CALLER,
            deadline_ms=self.clock.now_ms + deadline_ms,
            key=request.key,
            key_first_used_ms=request.first_used_ms,
        )
        seq = gateway.core.frontend.request_slot(
            admitted, lambda reply: self._on_reply(gateway, request, reply)
        )
        gateway.call_later(
            deadline_ms, lambda: self._on_deadline(gateway, request, seq)
        )

    def break_stream(self) -> None:
        """Break a random stream between two gateways."""
        open_streams = [
            stream
            for stream in self._streams.values()
            if stream.open and stream.opener != stream.peer
        ]
        if open_streams:
            self.rng.choice(open_streams).close()

    def request_drain_state(self) -> None:
        """Ask a random gateway, as a controller does, whether a VM has drained.

        The VM is a random one that is leaving. The controller receives the
        response after a delay of up to 3 s.
        """
        leaving = [
            vm
            for vm, record in self.fleet.vms.items()
            if record.state is fleet.VmState.LEAVING
        ]
        running_gateways = [g for g in self.gateways.values() if not g.paused]
        if leaving and running_gateways:
            vm = self.rng.choice(leaving)
            gateway = self.rng.choice(running_gateways)
            response = gateway.core.drain_state(vm)
            due_ms = self.clock.now_ms + self.rng.randrange(3_000)
            self._drain_responses.append((due_ms, vm, response))

    def _step_gateway(self, gateway: Gateway) -> None:
        now_ms = self.clock.now_ms
        if self.store_up and gateway.reaches_store:
            self._follow_store(gateway)
        self._open_streams(gateway)
        self._deliver_messages(gateway)
        gateway.run_due(now_ms)

    def _follow_store(self, gateway: Gateway) -> None:
        gateway.renewed_ms = self.clock.now_ms
        gateway.known_epoch = gateway.core.replica.roster.epoch
        if self.rng.random() < 0.3:
            return
        sent_ms = self.clock.now_ms - self.rng.randrange(20)
        items = self._store.after(gateway.core.replica.revision)
        changed = gateway.core.replica.update(items)
        gateway.core.lease.record_store_confirmation(sent_ms)
        if changed:
            gateway.core.on_view_change()

    def _open_streams(self, gateway: Gateway) -> None:
        members = gateway.core.replica.roster.members
        for name, member in members.items():
            peer = self.gateways.get(name)
            if name == gateway.name or peer is None:
                continue
            if peer.session.incarnation != member.incarnation:
                continue
            stream = self._streams.get((gateway.name, name))
            if stream is None or not stream.open:
                if self.rng.random() < 0.5:
                    continue
                created = channels.Stream(gateway.name, name)
                self._streams[(gateway.name, name)] = created
                hello = messages.Hello(
                    gateway.name, gateway.session.incarnation
                )
                gateway.send_to_dispatcher(name, hello)
                gateway.core.frontend.on_peer_connected(name)

    def _deliver_messages(self, gateway: Gateway) -> None:
        now_ms = self.clock.now_ms
        for (opener, peer), stream in list(self._streams.items()):
            if peer == gateway.name:
                handle = functools.partial(
                    gateway.core.receive_from_frontend, opener
                )
                stream.deliver(True, now_ms, handle)
            if opener == gateway.name:
                handle = functools.partial(
                    self._deliver_to_frontend, gateway, peer
                )
                stream.deliver(False, now_ms, handle)

    def _deliver_to_frontend(
        self, gateway: Gateway, peer: ids.GatewayId, message: messages.Message
    ) -> None:
        if gateway.core.receive_from_dispatcher(peer, message):
            gateway.core.on_view_change()

    def _on_reply(
        self,
        gateway: Gateway,
        request: Request,
        reply: frontend.GrantedSlot | messages.Refuse,
    ) -> None:
        match reply:
            case messages.Refuse():
                self._report_outcome(
                    request, self._refusal_outcome(request, reply)
                )
            case frontend.GrantedSlot():
                delay_ms = self.rng.choice((0, 0, 0, 5, 400))
                gateway.call_later(
                    delay_ms, lambda: self._start_run(gateway, request, reply)
                )

    def _start_run(
        self, gateway: Gateway, request: Request, granted: frontend.GrantedSlot
    ) -> None:
        frontend = gateway.core.frontend
        if request.has_outcome:
            frontend.release(granted.seq, messages.RunOutcome.UNUSED, 0)
            return
        if not frontend.usable(granted, request.queue.pool):
            frontend.release(granted.seq, messages.RunOutcome.UNUSED, 0)
            self._report_outcome(request, oracle.CallerOutcome.NOT_RUN)
            return
        vm = granted.vm
        if self.oracle.running(vm) >= _SLOTS:
            frontend.release(granted.seq, messages.RunOutcome.BUSY, 0)
            self._report_outcome(request, oracle.CallerOutcome.NOT_RUN)
            return
        key = 0 if request.queue.idempotent else request.key
        confirmed_by = gateway.core.update_confirmation()
        run = self.oracle.record_start(
            request=request.number,
            key=key,
            vm=vm,
            pool=request.queue.pool,
            now_ms=self.clock.now_ms,
            outage=confirmed_by is view_lease.Confirmation.MAJORITY,
        )
        work_ms = self.rng.choice((20, 100, 300, 1_500))
        due_ms = self.clock.now_ms + work_ms

        def finish_run() -> None:
            run.running = False
            if self.gateways.get(gateway.name) is gateway:
                gateway.call_later(
                    0, lambda: self._on_response(gateway, request, granted.seq)
                )

        self._run_ends.append((due_ms, finish_run))

    def _on_response(
        self, gateway: Gateway, request: Request, seq: int
    ) -> None:
        outcome = messages.RunOutcome.ANSWERED
        gateway.core.frontend.release(seq, outcome, 100)
        self._report_outcome(request, oracle.CallerOutcome.ANSWER)

    def _on_deadline(
        self, gateway: Gateway, request: Request, seq: int
    ) -> None:
        if request.has_outcome:
            return
        gateway.core.frontend.abandon(seq)
        started = any(run.request == request.number for run in self.oracle.runs)
        outcome = (
            oracle.CallerOutcome.UNKNOWN
            if started
            else oracle.CallerOutcome.NOT_RUN
        )
        self._report_outcome(
            request, self._unconfirmed_outcome(request, outcome)
        )

    def _refusal_outcome(
        self, request: Request, refuse: messages.Refuse
    ) -> oracle.CallerOutcome:
        match refuse.reason:
            case (
                messages.RefusalReason.DUPLICATE
                | messages.RefusalReason.MAY_HAVE_RUN
            ):
                return oracle.CallerOutcome.UNKNOWN
            case messages.RefusalReason.ISOLATED:
                return self._unconfirmed_outcome(
                    request, oracle.CallerOutcome.NOT_RUN
                )
        return oracle.CallerOutcome.NOT_RUN

    def _unconfirmed_outcome(
        self, request: Request, outcome: oracle.CallerOutcome
    ) -> oracle.CallerOutcome:
        has_key = request.key and not request.queue.idempotent
        return oracle.CallerOutcome.UNKNOWN if has_key else outcome

    def _report_outcome(
        self, request: Request, outcome: oracle.CallerOutcome
    ) -> None:
        if request.has_outcome:
            return
        request.has_outcome = True
        key = 0 if request.queue.idempotent else request.key
        self.oracle.record_outcome(
            request.number, key, outcome, request.sent_ms
        )

    def _finish_due_runs(self) -> None:
        now_ms = self.clock.now_ms
        due_now = [entry for entry in self._run_ends if entry[0] <= now_ms]
        self._run_ends = [e for e in self._run_ends if e[0] > now_ms]
        for _, finish_run in due_now:
            finish_run()

    def _update_roster(self) -> None:
        if not self.store_up:
            return
        now_ms = self.clock.now_ms
        since_ms = self._store_up_since_ms or 0
        removal_allowed = now_ms - since_ms >= _REMOVAL_GRACE_MS
        sessions = [
            roster.SessionRecord(gateway.session, gateway.known_epoch)
            for gateway in self.gateways.values()
            if now_ms - gateway.renewed_ms < _SESSION_MS
        ]
        if not removal_allowed:
            names = {entry.session.gateway for entry in sessions}
            sessions += [
                roster.SessionRecord(member, ids.Epoch(0))
                for name, member in self.roster.members.items()
                if name not in names
            ]
        new_roster = roster.next_roster(self.roster, sessions, now_ms)
        if new_roster != self.roster:
            self.roster = new_roster
            self._store.write(roster.key(REGION), new_roster)

    def _apply_drain_responses(self) -> None:
        if not self.store_up:
            return
        now_ms = self.clock.now_ms
        due_now = [
            entry for entry in self._drain_responses if entry[0] <= now_ms
        ]
        self._drain_responses = [
            e for e in self._drain_responses if e[0] > now_ms
        ]
        for _, vm, response in due_now:
            if response.owner and response.idle:
                self._apply_drained(vm, response.generation)

    def _apply_drained(self, vm: ids.VmId, generation: int) -> None:
        if not self.command(fleet.Drained(vm, generation)):
            return
        record = self.fleet.vms[vm]
        if record.state is fleet.VmState.STOPPED:
            self.oracle.record_planned_stop(vm)
        else:
            if self.oracle.running(vm):
                self.oracle.violations.append(f"{vm} moved with work on it")
            self.oracle.record_serving(vm, record.pool)
