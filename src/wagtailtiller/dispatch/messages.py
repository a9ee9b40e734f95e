"""Messages between gateways, in both directions of one stream.

A front is the gateway that holds the caller's connection; the dispatcher is
the gateway that owns the pool at the current roster epoch. All times are
milliseconds; a ``stamp_ms`` is a reading of the front's own clock that the
dispatcher hands back, so that no two clocks are ever compared.
"""

import enum

import msgspec

from wagtailtiller import ids


class RunOutcome(enum.IntEnum):
    """How a granted request ended at its endpoint.

    ``NOT_RUN`` and ``BUSY`` are certain: the endpoint could not be reached,
    or refused for want of a slot. ``UNUSED`` says that the front dropped the
    grant before it sent anything.
    """

    ANSWERED = 0
    SERVER_ERROR = 1
    NOT_RUN = 2
    BROKEN = 3
    TIMED_OUT = 4
    UNUSED = 5
    BUSY = 6


class Refusal(enum.IntEnum):
    """Why a request was not granted a slot."""

    OVERLOADED = 0
    TOO_LATE = 1
    QUEUE_FULL = 2
    NO_CAPABLE_VM = 3
    DUPLICATE = 4
    MAYBE_RUN = 5
    NOT_DISPATCHER = 6
    ISOLATED = 7
    NO_VM = 8


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A front asks for a slot.

    Attributes:
        seq: The front's number for the request.
        stamp_ms: The front's clock when it asked.
        queue: The queue.
        team: The team that the quota counts against.
        quota_percent: That team's share.
        deadline_in_ms: Time left until the caller's deadline.
        key: A hash of the caller's idempotency key; 0 when there is none.
        key_age_ms: How long ago the caller first used the key.
        avoid: VMs that the request failed on before.
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
    """The caller has gone, or its deadline has passed."""

    seq: int
    queue: ids.QueueId


class Done(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A grant has ended; the slot is free."""

    seq: int
    queue: ids.QueueId
    outcome: RunOutcome
    run_ms: int


class Running(msgspec.Struct, frozen=True, array_like=True):
    """One request that a front has in flight."""

    seq: int
    queue: ids.QueueId
    vm: ids.VmId
    team: ids.TeamId
    key: int
    age_ms: int


class SpentKey(msgspec.Struct, frozen=True, array_like=True):
    """An idempotency key that a front has used."""

    queue: ids.QueueId
    key: int
    age_ms: int


class Report(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """What a front has in flight in a pool, sent to the pool's new owner.

    From here on the front takes grants for the pool from that epoch only.
    """

    pool: ids.PoolId
    epoch: ids.Epoch
    running: tuple[Running, ...]
    keys: tuple[SpentKey, ...]


class Grant(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A slot for a request.

    Attributes:
        seq: The front's number for the request.
        epoch: The roster epoch that the dispatcher owns the pool in.
        stamp_ms: The newest stamp of this front that the dispatcher had.
        vm: Where to run it.
    """

    seq: int
    epoch: ids.Epoch
    stamp_ms: int
    vm: ids.VmId


class Refuse(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """No slot: the request has not run and will not.

    Attributes:
        seq: The front's number for the request.
        reason: Why.
        retry_after_ms: When to come back.
        detail: For people.
    """

    seq: int
    reason: Refusal
    retry_after_ms: int
    detail: str = ""


class Beat(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A gateway's view, sent to each peer about once a second.

    Attributes:
        stamp_ms: The sender's clock.
        echo_ms: The receiver's newest stamp, as the sender has it.
        epoch: The sender's roster epoch.
        revision: The store revision of the sender's view.
        store_age_ms: How long ago the store last confirmed that view.
    """

    stamp_ms: int
    echo_ms: int
    epoch: ids.Epoch
    revision: ids.Revision
    store_age_ms: int


class Pull(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Ask a peer for its view of the store."""

    after: ids.Revision


class Push(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """A peer's whole view of the store, as encoded items."""

    revision: ids.Revision
    items: bytes


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """The first message of a stream: who opened it."""

    gateway: ids.GatewayId
    incarnation: str


class DrainQuestion(msgspec.Struct, frozen=True, array_like=True):
    """A controller asks whether a VM is free of work."""

    vm: ids.VmId


class DrainAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The answer of the pool's owner.

    Attributes:
        owner: Whether the gateway owns the VM's pool and its view holds.
        idle: Nothing runs on the VM, and nothing will be placed there.
        generation: The state of the VM that this is about.
        running: Requests that run there.
        blocked_ms: How long until requests of vanished gateways have ended.
    """

    owner: bool
    idle: bool = False
    generation: int = 0
    running: int = 0
    blocked_ms: int = 0


Message = (
    Ask | Cancel | Done | Report | Grant | Refuse | Beat | Pull | Push | Hello
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
