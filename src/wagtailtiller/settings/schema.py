"""The shape of the settings document, as operators write it."""

from typing import Annotated

import msgspec
from msgspec import UNSET
from msgspec import UnsetType

MS_PER_DAY = 86_400_000
_MAX_BODY_LIMIT_BYTES = 1 << 30

Count = Annotated[int, msgspec.Meta(ge=0, le=100_000)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
DurationMs = Annotated[int, msgspec.Meta(ge=1, le=MS_PER_DAY)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=1_000)]
Percent = Annotated[float, msgspec.Meta(gt=0, le=100)]
Size = Annotated[int, msgspec.Meta(ge=0, le=_MAX_BODY_LIMIT_BYTES)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9_-]{0,62}$")]
Address = Annotated[
    str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
]
TokenHash = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
Priority = Annotated[str, msgspec.Meta(pattern=r"^(urgent|normal|batch)$")]


class Values(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Values that a node may set; a child inherits what it leaves out.

    Attributes:
        max_unavailable_vms: VMs of a pool that may be out of service at once
            before planned work must wait.
        failure_reserve_vms: The part of that number kept back for failures
            during a maintenance wave.
        min_vms: A pool never lends below this many VMs.
        lends: Whether the pool gives VMs to pools that run short.
        slots_per_vm: Requests that a VM runs at once.
        connections_per_vm: Connections that a VM accepts at once.
        roll_out_weight: How much the time of a wave matters to this pool.
        buffer_weight: How much idle capacity matters to this pool.
        priority: Scheduling class: urgent, normal or batch.
        idempotent: Whether a request may be sent again after a failure.
        deadline_ms: How long a caller waits when it names no deadline.
        run_limit_ms: The longest that a request may run at an endpoint.
        expected_run_ms: The declared run time, used until one is learned.
        queue_limit: Requests that may wait at once.
        resend_window_ms: How long an idempotency key is remembered.
        max_body_bytes: The largest request body.
        needs_processors: Processors that a VM must have to run a request.
        needs_memory_gb: Memory that a VM must have to run a request.
        needs_accelerators: Accelerators that a VM must have.
        owner: The only member that may use the queue; empty for all.
    """

    max_unavailable_vms: PositiveCount | UnsetType = UNSET
    failure_reserve_vms: Count | UnsetType = UNSET
    min_vms: Count | UnsetType = UNSET
    lends: bool | UnsetType = UNSET
    slots_per_vm: PositiveCount | UnsetType = UNSET
    connections_per_vm: PositiveCount | UnsetType = UNSET
    roll_out_weight: Weight | UnsetType = UNSET
    buffer_weight: Weight | UnsetType = UNSET
    priority: Priority | UnsetType = UNSET
    idempotent: bool | UnsetType = UNSET
    deadline_ms: DurationMs | UnsetType = UNSET
    run_limit_ms: DurationMs | UnsetType = UNSET
    expected_run_ms: DurationMs | UnsetType = UNSET
    queue_limit: PositiveCount | UnsetType = UNSET
    resend_window_ms: DurationMs | UnsetType = UNSET
    max_body_bytes: Size | UnsetType = UNSET
    needs_processors: Count | UnsetType = UNSET
    needs_memory_gb: Count | UnsetType = UNSET
    needs_accelerators: Count | UnsetType = UNSET
    owner: str | UnsetType = UNSET


class QueueNode(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A queue of requests."""

    values: Values = Values()


class PoolNode(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A pool of VMs and the queues that it serves."""

    values: Values = Values()
    queues: dict[Name, QueueNode] = {}


class GroupNode(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A folder of pools and further groups."""

    values: Values = Values()
    groups: dict[Name, "GroupNode"] = {}
    pools: dict[Name, PoolNode] = {}


class VmNode(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A VM: where it is, what it has, and the pool that it starts in."""

    address: Address
    data_centre: Name
    rack: Name
    pool: Name
    processors: PositiveCount
    memory_gb: PositiveCount
    accelerators: Count = 0


class DataCentreNode(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A data centre."""

    region: Name


class TeamNode(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A team of a member; its tokens are stored as SHA-256 only."""

    tokens_sha256: list[TokenHash] = []
    quota_percent: Percent = 100.0


class MemberNode(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A member: callers whose requests others must never see."""

    teams: dict[Name, TeamNode] = {}


class Document(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole settings document."""

    tree: GroupNode = GroupNode()
    vms: dict[Name, VmNode] = {}
    data_centres: dict[Name, DataCentreNode] = {}
    members: dict[Name, MemberNode] = {}
