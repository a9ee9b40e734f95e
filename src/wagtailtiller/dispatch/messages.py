"""Messages that gateways exchange over a bidirectional stream.

The frontend is the gateway that holds the caller's connection. The dispatcher
is the gateway that owns the pool in the current roster epoch. All times are
in milliseconds. A ``stamp_ms`` is a reading of the frontend's clock that the
dispatcher sends back, so that readings of different clocks are never compared.
"""

import enum

import msgspec

from wagtailtiller import ids


class RunOutcome(enum.IntEnum):
    """Outcome of a granted request at its endpoint.

    With ``NOT_RUN``, ``BUSY`` and ``UNUSED`` the request has certainly not
    run: the endpoint could not be reached, the endpoint refused the request
    because it had no free slot, or the frontend dropped the grant before it
    sent anything.
    """

    ANSWERED = 0
    SERVER_ERROR = 1
    NOT_RUN = 2
    BROKEN = 3
    TIMED_OUT = 4
    UNUSED = 5
    BUSY = 6


class RefusalReason(enum.IntEnum):
    """Reason why a request was not granted a slot."""

    OVERLOADED = 0
    TOO_LATE = 1
    QUEUE_FULL = 2
    NO_CAPABLE_VM = 3
    DUPLICATE = 4
    MAY_HAVE_RUN = 5
    NOT_DISPATCHER = 6
    ISOLATED = 7
    NO_VM = 8


class SlotRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A frontend's request for a slot.

    Attributes:
        seq: Sequence number of the request at the frontend.
        stamp_ms: Reading of the frontend's clock when the message was sent.
        queue: Queue of the request.
        team: Team to which the slot time is charged.
        quota_percent: Quota of that team, in percent.
        deadline_in_ms: Time left until the caller's deadline.
        key: Hash of the caller's idempotency key; 0 if there is none.
        key_age_ms: Time since the caller first used the key.
        avoid: VMs on which the request failed before.
    """

    seq: int
    stamp_ms: int
    queue: ids.QueueId
    team: ids.TeamId
    quota_percent: float
    deadline_in_ms: int
    key: int = 0
    key_age_ms: int = 0
    avoid: tuple[ids.VmId, ...] = ()


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Withdraws a request whose caller is gone or whose deadline has passed.

    Attributes:
        seq: Sequence number of the request at the frontend.
        queue: Queue of the request.
    """

    seq: int
    queue: ids.QueueId


class Done(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Reports that a granted request has ended and its slot is free.

    Attributes:
        seq: Sequence number of the request at the frontend.
        queue: Queue of the request.
        outcome: Outcome of the request.
        run_ms: Run time of the request.
    """

    seq: int
    queue: ids.QueueId
    outcome: RunOutcome
    run_ms: int


class Running(msgspec.Struct, frozen=True, array_like=True):
    """A running request of a frontend.

    Attributes:
        seq: Sequence number of the request at the frontend.
        queue: Queue of the request.
        vm: VM on which the request runs.
        team: Team to which the slot time is charged.
        key: Hash of the caller's idempotency key; 0 if there is none.
        age_ms: Time since the frontend received the grant.
    """

    seq: int
    queue: ids.QueueId
    vm: ids.VmId
    team: ids.TeamId
    key: int
    age_ms: int


class UsedKey(msgspec.Struct, frozen=True, array_like=True):
    """An idempotency key that a frontend has used.

    Attributes:
        queue: Queue in which the key was used.
        key: Hash of the idempotency key.
        age_ms: Time since the frontend used the key.
    """

    queue: ids.QueueId
    key: int
    age_ms: int


class Report(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Running requests of a frontend in a pool, for the pool's new owner.

    After the report, the frontend accepts grants for the pool only from the
    reported epoch.

    Attributes:
        pool: Pool whose requests are reported.
        epoch: Roster epoch of the frontend when it sends the report.
        running: Running requests of the frontend.
        keys: Idempotency keys that the frontend has used.
    """

    pool: ids.PoolId
    epoch: ids.Epoch
    running: tuple[Running, ...]
    keys: tuple[UsedKey, ...]


class Grant(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Grants a slot to a request.

    Attributes:
        seq: Sequence number of the request at the frontend.
        epoch: Roster epoch in which the dispatcher owns the pool.
        stamp_ms: Newest stamp that the dispatcher has of this frontend.
        vm: VM on which to run the request.
    """

    seq: int
    epoch: ids.Epoch
    stamp_ms: int
    vm: ids.VmId


class Refuse(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Refuses a request, which has not run and will not run.

    Attributes:
        seq: Sequence number of the request at the frontend.
        reason: Reason for the refusal.
        retry_after_ms: Delay after which a retry makes sense.
        detail: Name of the missing resource for ``NO_CAPABLE_VM``.
    """

    seq: int
    reason: RefusalReason
    retry_after_ms: int
    detail: str = ""


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Heartbeat with a gateway's view, sent to each peer at intervals.

    Attributes:
        stamp_ms: Reading of the sender's clock.
        echo_ms: Newest stamp that the sender has of the receiver.
        epoch: Roster epoch of the sender.
        revision: Store revision of the sender's view.
        store_age_ms: Time since the store last confirmed that view.
    """

    stamp_ms: int
    echo_ms: int
    epoch: ids.Epoch
    revision: ids.Revision
    store_age_ms: int


class Pull(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Requests a peer's view of the store.

    Attributes:
        after: Store revision of the sender's view; only a newer one is sent.
    """

    after: ids.Revision


class Push(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """A peer's complete view of the store.

    Attributes:
        revision: Store revision of the view.
        items: Encoded items of the view.
    """

    revision: ids.Revision
    items: bytes


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """First message of a stream, which identifies the gateway that opened it.

    Attributes:
        gateway: Gateway that opened the stream.
        incarnation: Incarnation of its process.
    """

    gateway: ids.GatewayId
    incarnation: str


class DrainRequest(msgspec.Struct, frozen=True, array_like=True):
    """A controller's query whether a VM is free of work.

    Attributes:
        vm: The VM.
    """

    vm: ids.VmId


class DrainResponse(msgspec.Struct, frozen=True, array_like=True):
    """A gateway's response to a ``DrainRequest``.

    Attributes:
        owner: Whether the gateway owns the VM's pool and its view is valid.
        idle: Whether nothing runs on the VM and nothing will be placed there.
        generation: Generation of the VM's state to which the response applies.
        running: Number of requests that run on the VM.
        blocked_ms: Time until requests of lost gateways must have ended.
    """

    owner: bool
    idle: bool = False
    generation: int = 0
    running: int = 0
    blocked_ms: int = 0


Message = (
    SlotRequest
    | Cancel
    | Done
    | Report
    | Grant
    | Refuse
    | Heartbeat
    | Pull
    | Push
    | Hello
)
Batch = list[Message]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Batch)


def encode(batch: Batch) -> bytes:
    """Encode a batch of messages."""
    return _encoder.encode(batch)


def decode(payload: bytes) -> Batch:
    """Decode a batch of messages."""
    return _decoder.decode(payload)
