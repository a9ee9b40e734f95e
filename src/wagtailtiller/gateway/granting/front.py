"""The front: a gateway's own requests, from asking for a slot to its release.

The front owns the truth about what this gateway has in flight. At every
roster epoch it reports that to each pool's owner and asks again for what
still waits; from then on it takes grants of that epoch or later only, which
fences off an owner that has been replaced without knowing it.
"""

from collections.abc import Callable
import dataclasses
import itertools

from wagtailtiller import clock
from wagtailtiller import fleet
from wagtailtiller import ids
from wagtailtiller import replica
from wagtailtiller import roster
from wagtailtiller import settings
from wagtailtiller.dispatch import dispatcher
from wagtailtiller.dispatch import grants
from wagtailtiller.dispatch import messages

_REASK_MS = 50

SendMessage = Callable[[ids.GatewayId, messages.Message], None]
Reply = Callable[["Granted | messages.Refuse"], None]


@dataclasses.dataclass(frozen=True)
class Want:
    """A request that wants a slot.

    Attributes:
        queue: Its queue.
        caller: Who sent it.
        deadline_ms: On this process's clock.
        key: The hash of its idempotency key; 0 for none.
        key_first_used_ms: When the caller first used the key, on this
            process's clock.
        avoid: VMs that it failed on before.
    """

    queue: settings.QueueSettings
    caller: settings.Caller
    deadline_ms: int
    key: int
    key_first_used_ms: int
    avoid: tuple[ids.VmId, ...] = ()


@dataclasses.dataclass(frozen=True)
class Granted:
    """A slot that this gateway holds until it calls ``Front.release``."""

    seq: int
    vm: ids.VmId
    stamp_ms: int


@dataclasses.dataclass
class _Pending:
    want: Want
    reply: Reply
    ask_again_ms: int | None = None


@dataclasses.dataclass
class _Running:
    want: Want
    vm: ids.VmId
    since_ms: int


@dataclasses.dataclass(frozen=True)
class _Spent:
    pool: ids.PoolId
    queue: ids.QueueId
    key: int
    at_ms: int
    window_ms: int


class Front:
    """All requests of this gateway that wait for a slot or hold one.

    Args:
        time: The clock.
        shared: This process's copy of the shared state.
        send: Sends a message to a gateway, this one included.
        view_valid: Whether the view lease holds now.
    """

    def __init__(
        self,
        time: clock.Clock,
        shared: replica.Replica,
        send: SendMessage,
        view_valid: Callable[[], bool],
    ) -> None:
        self._clock = time
        self._replica = shared
        self._send = send
        self._view_valid = view_valid
        self._seqs = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._running: dict[int, _Running] = {}
        self._spent: dict[int, _Spent] = {}
        self._epoch = ids.Epoch(0)
        self._owners: dict[ids.PoolId, roster.Session | None] = {}

    def waiting_at(self) -> set[ids.GatewayId]:
        """Return the owners that requests of this gateway wait at."""
        pools = {each.want.queue.pool for each in self._pending.values()}
        owners = [self._owners.get(pool) for pool in pools]
        return {owner.gateway for owner in owners if owner is not None}

    def begin(self, want: Want, reply: Reply) -> int:
        """Ask for a slot.

        Args:
            want: What for.
            reply: Called once, with a grant or a refusal, unless the request
                is abandoned before.

        Returns:
            The request's number.
        """
        seq = next(self._seqs)
        self._pending[seq] = _Pending(want, reply)
        self._ask(seq)
        return seq

    def abandon(self, seq: int) -> None:
        """Ask no more; a grant that comes later is returned unused."""
        pending = self._pending.pop(seq, None)
        if pending is not None:
            queue = pending.want.queue
            cancel = messages.Cancel(seq, queue.queue)
            self._send_to_owner(queue.pool, cancel)

    def tick(self) -> None:
        """Ask again for what was sent to a gateway that no longer owns."""
        now_ms = self._clock.monotonic_ms()
        for seq, pending in list(self._pending.items()):
            due_ms = pending.ask_again_ms
            if due_ms is not None and due_ms <= now_ms:
                self._ask(seq)

    def usable(self, granted: Granted, pool: ids.PoolId) -> bool:
        """Whether a grant may still be used to begin a run.

        The front looks at its own view as well, so that a dispatcher whose
        view is older cannot place work on a VM that is leaving.

        Args:
            granted: The grant.
            pool: The pool that it is for.
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
        """Give a slot back.

        Args:
            seq: The grant.
            outcome: How the run ended.
            run_ms: How long it took.
        """
        run = self._running.pop(seq, None)
        if run is None:
            return
        if outcome in dispatcher.NOT_RUN_OUTCOMES:
            self._spent.pop(seq, None)
        done = messages.Done(seq, run.want.queue.queue, outcome, run_ms)
        self._send_to_owner(run.want.queue.pool, done)

    def receive(self, sender: ids.GatewayId, message: messages.Message) -> None:
        """Take a message from a dispatcher."""
        match message:
            case messages.Grant():
                self._take_grant(sender, message)
            case messages.Refuse():
                self._take_refusal(message)

    def view_changed(self) -> None:
        """Follow a new roster or new pools."""
        current = self._replica.roster
        known = self._owners.keys() == self._pools().keys()
        if current.epoch == self._epoch and known:
            return
        self._epoch = current.epoch
        self._owners = {
            pool: roster.owner(current, pool) for pool in self._pools()
        }
        for pool in self._owners:
            self._synchronise(pool)

    def peer_connected(self, peer: ids.GatewayId) -> None:
        """Report afresh over a new stream; the old one may have lost some."""
        for pool, owner in self._owners.items():
            if owner is not None and owner.gateway == peer:
                self._synchronise(pool)

    def _pools(self) -> dict[ids.PoolId, settings.PoolSettings]:
        return self._replica.settings.catalogue.pools

    def _synchronise(self, pool: ids.PoolId) -> None:
        self._send_to_owner(pool, self._report(pool))
        for seq, pending in list(self._pending.items()):
            if pending.want.queue.pool == pool:
                self._ask(seq)

    def _report(self, pool: ids.PoolId) -> messages.Report:
        now_ms = self._clock.monotonic_ms()
        running = tuple(
            messages.Running(
                seq=seq,
                queue=run.want.queue.queue,
                vm=run.vm,
                team=run.want.caller.team,
                key=run.want.key,
                age_ms=now_ms - run.since_ms,
            )
            for seq, run in self._running.items()
            if run.want.queue.pool == pool
        )
        keys = tuple(
            messages.UsedKey(spent.queue, spent.key, now_ms - spent.at_ms)
            for spent in self._spent.values()
            if spent.pool == pool
        )
        return messages.Report(pool, self._epoch, running, keys)

    def _ask(self, seq: int) -> None:
        pending = self._pending.get(seq)
        if pending is None:
            return
        pending.ask_again_ms = None
        want = pending.want
        now_ms = self._clock.monotonic_ms()
        ask = messages.SlotRequest(
            seq=seq,
            stamp_ms=now_ms,
            queue=want.queue.queue,
            team=want.caller.team,
            quota_percent=want.caller.quota_percent,
            deadline_in_ms=max(0, want.deadline_ms - now_ms),
            key=want.key,
            key_age_ms=max(0, now_ms - want.key_first_used_ms),
            avoid=want.avoid,
        )
        self._send_to_owner(want.queue.pool, ask)

    def _take_grant(self, sender: ids.GatewayId, grant: messages.Grant) -> None:
        if grant.epoch < self._epoch:
            return
        pending = self._pending.get(grant.seq)
        if pending is None:
            self._return_unused(sender, grant)
            return
        granted = Granted(grant.seq, grant.vm, grant.stamp_ms)
        if not self.usable(granted, pending.want.queue.pool):
            self._return_unused(sender, grant)
            self._ask_later(pending)
            return
        del self._pending[grant.seq]
        want = pending.want
        now_ms = self._clock.monotonic_ms()
        self._running[grant.seq] = _Running(want, grant.vm, now_ms)
        self._remember_key(grant.seq, want, now_ms)
        pending.reply(granted)

    def _return_unused(
        self, sender: ids.GatewayId, grant: messages.Grant
    ) -> None:
        outcome = messages.RunOutcome.UNUSED
        done = messages.Done(grant.seq, ids.QueueId(""), outcome, 0)
        self._send(sender, done)

    def _take_refusal(self, refuse: messages.Refuse) -> None:
        pending = self._pending.get(refuse.seq)
        if pending is None:
            return
        if refuse.reason is messages.Refusal.NOT_DISPATCHER:
            self._ask_later(pending)
            return
        del self._pending[refuse.seq]
        pending.reply(refuse)

    def _ask_later(self, pending: _Pending) -> None:
        now_ms = self._clock.monotonic_ms()
        pending.ask_again_ms = now_ms + _REASK_MS

    def _send_to_owner(
        self, pool: ids.PoolId, message: messages.Message
    ) -> None:
        owner = self._owners.get(pool)
        if owner is not None:
            self._send(owner.gateway, message)

    def _remember_key(self, seq: int, want: Want, now_ms: int) -> None:
        if want.key and not want.queue.idempotent:
            self._spent[seq] = _Spent(
                pool=want.queue.pool,
                queue=want.queue.queue,
                key=want.key,
                at_ms=now_ms,
                window_ms=want.queue.resend_window_ms,
            )
        for old, spent in list(itertools.islice(self._spent.items(), 2)):
            if spent.at_ms + spent.window_ms < now_ms:
                del self._spent[old]
