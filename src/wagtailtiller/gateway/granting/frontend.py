"""Requests of one gateway, from requesting a slot until its release.

The frontend is the authority on the requests that this gateway has in flight.
In each new roster epoch it reports them to the owner of each pool and repeats
the slot requests that still wait. From then on it ignores grants of earlier
epochs, which fences off an owner that has been replaced but does not know it
yet.
"""

from collections.abc import Callable
import dataclasses
import itertools

from wagtailtiller import clock as clock_module
from wagtailtiller import fleet
from wagtailtiller import ids
from wagtailtiller import replica
from wagtailtiller import roster
from wagtailtiller import settings
from wagtailtiller.dispatch import dispatcher
from wagtailtiller.dispatch import grants
from wagtailtiller.dispatch import messages

_RETRY_DELAY_MS = 50

SendMessage = Callable[[ids.GatewayId, messages.Message], None]
ReplyHandler = Callable[["GrantedSlot | messages.Refuse"], None]


@dataclasses.dataclass(frozen=True)
class AdmittedRequest:
    """An admitted request, which needs a slot.

    Attributes:
        queue: Settings of the request's queue.
        caller: Caller that sent the request.
        deadline_ms: Deadline, as a reading of the monotonic clock.
        key: Hash of the idempotency key; 0 if there is none.
        key_first_used_ms: Reading of the monotonic clock when the caller
            first used the key.
        avoid: VMs on which the request failed before.
    """

    queue: settings.QueueSettings
    caller: settings.Caller
    deadline_ms: int
    key: int
    key_first_used_ms: int
    avoid: tuple[ids.VmId, ...] = ()


@dataclasses.dataclass(frozen=True)
class GrantedSlot:
    """A slot that this gateway holds until it calls ``Frontend.release``.

    Attributes:
        seq: Sequence number of the request at this frontend.
        vm: VM on which the slot is.
        stamp_ms: Reading of this process's monotonic clock, sent back by the
            dispatcher, from which the age of the grant counts.
    """

    seq: int
    vm: ids.VmId
    stamp_ms: int


@dataclasses.dataclass
class _Pending:
    request: AdmittedRequest
    on_reply: ReplyHandler
    retry_at_ms: int | None = None


@dataclasses.dataclass
class _Running:
    request: AdmittedRequest
    vm: ids.VmId
    started_ms: int


@dataclasses.dataclass(frozen=True)
class _UsedKey:
    pool: ids.PoolId
    queue: ids.QueueId
    key: int
    at_ms: int
    window_ms: int


class Frontend:
    """Requests of this gateway that wait for a slot or hold one.

    Args:
        clock: Clock that supplies the current time.
        state_replica: This process's copy of the shared state.
        send: Function that sends a message to a gateway, which may be this
            one.
        view_valid: Function that returns whether the view lease is valid.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        state_replica: replica.Replica,
        send: SendMessage,
        view_valid: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._replica = state_replica
        self._send = send
        self._view_valid = view_valid
        self._seqs = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._running: dict[int, _Running] = {}
        self._used_keys: dict[int, _UsedKey] = {}
        self._epoch = ids.Epoch(0)
        self._owners: dict[ids.PoolId, roster.GatewaySession | None] = {}

    def awaited_owners(self) -> set[ids.GatewayId]:
        """Return the owners whose reply a request of this gateway awaits."""
        pools = {
            pending.request.queue.pool for pending in self._pending.values()
        }
        owners = [self._owners.get(pool) for pool in pools]
        return {owner.gateway for owner in owners if owner is not None}

    def request_slot(
        self, request: AdmittedRequest, on_reply: ReplyHandler
    ) -> int:
        """Request a slot.

        Args:
            request: Request that needs the slot.
            on_reply: Called once, with a slot or a refusal, unless the request
                is abandoned first.

        Returns:
            Sequence number of the request.
        """
        seq = next(self._seqs)
        self._pending[seq] = _Pending(request, on_reply)
        self._send_slot_request(seq)
        return seq

    def abandon(self, seq: int) -> None:
        """Withdraw a slot request; a later grant is returned unused.

        Args:
            seq: Sequence number of the request.
        """
        pending = self._pending.pop(seq, None)
        if pending is not None:
            queue = pending.request.queue
            cancel = messages.Cancel(seq, queue.queue)
            self._send_to_owner(queue.pool, cancel)

    def tick(self) -> None:
        """Repeat the slot requests whose retry is due."""
        now_ms = self._clock.monotonic_ms()
        for seq, pending in list(self._pending.items()):
            retry_at_ms = pending.retry_at_ms
            if retry_at_ms is not None and retry_at_ms <= now_ms:
                self._send_slot_request(seq)

    def usable(self, granted: GrantedSlot, pool: ids.PoolId) -> bool:
        """Return whether a granted slot may still be used to start a run.

        The frontend checks its own view as well, so that a dispatcher with an
        older view cannot place work on a VM that is leaving.

        Args:
            granted: The granted slot.
            pool: Pool of the request.
        """
        age_ms = self._clock.monotonic_ms() - granted.stamp_ms
        record = self._replica.fleet.vms.get(granted.vm)
        return (
            age_ms < grants.GRANT_VALID_MS
            and self._view_valid()
            and record is not None
            and record.pool == pool
            and record.state is fleet.VmState.SERVING
        )

    def release(
        self, seq: int, outcome: messages.RunOutcome, run_ms: int
    ) -> None:
        """Release a slot.

        Args:
            seq: Sequence number of the request that holds the slot.
            outcome: Outcome of the run.
            run_ms: Duration of the run.
        """
        run = self._running.pop(seq, None)
        if run is None:
            return
        if outcome in dispatcher.NOT_RUN_OUTCOMES:
            self._used_keys.pop(seq, None)
        done = messages.Done(seq, run.request.queue.queue, outcome, run_ms)
        self._send_to_owner(run.request.queue.pool, done)

    def receive(self, sender: ids.GatewayId, message: messages.Message) -> None:
        """Handle a message from a dispatcher.

        Args:
            sender: Gateway of the dispatcher.
            message: The message; kinds other than grants and refusals are
                ignored.
        """
        match message:
            case messages.Grant():
                self._handle_grant(sender, message)
            case messages.Refuse():
                self._handle_refusal(message)

    def on_view_change(self) -> None:
        """Apply a new roster or a new set of pools."""
        current = self._replica.roster
        pools_unchanged = self._owners.keys() == self._pools().keys()
        if current.epoch == self._epoch and pools_unchanged:
            return
        self._epoch = current.epoch
        self._owners = {
            pool: roster.owner(current, pool) for pool in self._pools()
        }
        for pool in self._owners:
            self._synchronise_owner(pool)

    def on_peer_connected(self, peer: ids.GatewayId) -> None:
        """Report to a peer again after a new stream to it has been opened.

        The previous stream may have lost messages.

        Args:
            peer: Gateway at the other end of the stream.
        """
        for pool, owner in self._owners.items():
            if owner is not None and owner.gateway == peer:
                self._synchronise_owner(pool)

    def _pools(self) -> dict[ids.PoolId, settings.PoolSettings]:
        return self._replica.settings.catalogue.pools

    def _synchronise_owner(self, pool: ids.PoolId) -> None:
        self._send_to_owner(pool, self._create_report(pool))
        for seq, pending in list(self._pending.items()):
            if pending.request.queue.pool == pool:
                self._send_slot_request(seq)

    def _create_report(self, pool: ids.PoolId) -> messages.Report:
        now_ms = self._clock.monotonic_ms()
        running = tuple(
            messages.Running(
                seq=seq,
                queue=run.request.queue.queue,
                vm=run.vm,
                team=run.request.caller.team,
                key=run.request.key,
                age_ms=now_ms - run.started_ms,
            )
            for seq, run in self._running.items()
            if run.request.queue.pool == pool
        )
        keys = tuple(
            messages.UsedKey(
                used_key.queue, used_key.key, now_ms - used_key.at_ms
            )
            for used_key in self._used_keys.values()
            if used_key.pool == pool
        )
        return messages.Report(pool, self._epoch, running, keys)

    def _send_slot_request(self, seq: int) -> None:
        pending = self._pending.get(seq)
        if pending is None:
            return
        pending.retry_at_ms = None
        request = pending.request
        now_ms = self._clock.monotonic_ms()
        slot_request = messages.SlotRequest(
            seq=seq,
            stamp_ms=now_ms,
            queue=request.queue.queue,
            team=request.caller.team,
            quota_percent=request.caller.quota_percent,
            deadline_in_ms=max(0, request.deadline_ms - now_ms),
            key=request.key,
            key_age_ms=max(0, now_ms - request.key_first_used_ms),
            avoid=request.avoid,
        )
        self._send_to_owner(request.queue.pool, slot_request)

    def _handle_grant(
        self, sender: ids.GatewayId, grant: messages.Grant
    ) -> None:
        if grant.epoch < self._epoch:
            return
        pending = self._pending.get(grant.seq)
        if pending is None:
            self._return_unused(sender, grant)
            return
        granted = GrantedSlot(grant.seq, grant.vm, grant.stamp_ms)
        if not self.usable(granted, pending.request.queue.pool):
            self._return_unused(sender, grant)
            self._schedule_retry(pending)
            return
        del self._pending[grant.seq]
        request = pending.request
        now_ms = self._clock.monotonic_ms()
        self._running[grant.seq] = _Running(request, grant.vm, now_ms)
        self._record_used_key(grant.seq, request, now_ms)
        pending.on_reply(granted)

    def _return_unused(
        self, sender: ids.GatewayId, grant: messages.Grant
    ) -> None:
        outcome = messages.RunOutcome.UNUSED
        done = messages.Done(grant.seq, ids.QueueId(""), outcome, 0)
        self._send(sender, done)

    def _handle_refusal(self, refuse: messages.Refuse) -> None:
        pending = self._pending.get(refuse.seq)
        if pending is None:
            return
        if refuse.reason is messages.RefusalReason.NOT_DISPATCHER:
            self._schedule_retry(pending)
            return
        del self._pending[refuse.seq]
        pending.on_reply(refuse)

    def _schedule_retry(self, pending: _Pending) -> None:
        now_ms = self._clock.monotonic_ms()
        pending.retry_at_ms = now_ms + _RETRY_DELAY_MS

    def _send_to_owner(
        self, pool: ids.PoolId, message: messages.Message
    ) -> None:
        owner = self._owners.get(pool)
        if owner is not None:
            self._send(owner.gateway, message)

    def _record_used_key(
        self, seq: int, request: AdmittedRequest, now_ms: int
    ) -> None:
        if request.key and not request.queue.idempotent:
            self._used_keys[seq] = _UsedKey(
                pool=request.queue.pool,
                queue=request.queue.queue,
                key=request.key,
                at_ms=now_ms,
                window_ms=request.queue.resend_window_ms,
            )
        for expired_seq, used_key in list(
            itertools.islice(self._used_keys.items(), 2)
        ):
            if used_key.at_ms + used_key.window_ms < now_ms:
                del self._used_keys[expired_seq]
