"""The schema of the settings document that operators write."""

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
    """Values that a node may set; unset values are inherited from the parent.

    Attributes:
        max_unavailable_vms: VMs of a pool that may be out of service at the
            same time before planned work must wait.
        failure_reserve_vms: How many of ``max_unavailable_vms`` are reserved
            for failures during a maintenance wave.
        min_vms: Number of VMs that the pool keeps when it lends others.
        lends: Whether the pool lends VMs to pools that lack capacity.
        slots_per_vm: Requests that a VM runs concurrently.
        connections_per_vm: Connections that a VM accepts concurrently.
        roll_out_weight: Relative importance of a short wave for this pool.
        buffer_weight: Relative importance of idle capacity for this pool.
        priority: Scheduling class: urgent, normal or batch.
        idempotent: Whether a request may be sent again after a failure.
        deadline_ms: Deadline of a request whose caller sets none.
        run_limit_ms: Longest time that a request may run at an endpoint.
        expected_run_ms: Declared run time, which measured ones soon outweigh.
        queue_limit: Requests that may wait in the queue at the same time.
        resend_window_ms: How long an idempotency key is kept.
        max_body_bytes: Largest size of a request body.
        needs_processors: Processors that a VM must have to run a request.
        needs_memory_gb: Memory that a VM must have to run a request.
        needs_accelerators: Accelerators that a VM must have to run a request.
        owner: The only member that may use the queue; empty for all members.
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
    """A queue of requests.

    Attributes:
        values: Values set on this queue.
    """

    values: Values = Values()


class PoolNode(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A pool of VMs and the queues that it serves.

    Attributes:
        values: Values set on this pool and inherited by its queues.
        queues: Queues by name.
    """

    values: Values = Values()
    queues: dict[Name, QueueNode] = {}


class GroupNode(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A group of pools and nested groups.

    Attributes:
        values: Values set on this group and inherited by its children.
        groups: Nested groups by name.
        pools: Pools by name.
    """

    values: Values = Values()
    groups: dict[Name, "GroupNode"] = {}
    pools: dict[Name, PoolNode] = {}


class VmNode(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A VM with its location, its resources and its initial pool.

    Attributes:
        address: Address of its endpoint, as ``ip:port``.
        data_centre: Data centre that it runs in.
        rack: Rack that it runs in.
        pool: Pool that it starts in.
        processors: Number of its processors.
        memory_gb: Its memory in gigabytes.
        accelerators: Number of its accelerators.
    """

    address: Address
    data_centre: Name
    rack: Name
    pool: Name
    processors: PositiveCount
    memory_gb: PositiveCount
    accelerators: Count = 0


class DataCentreNode(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A data centre.

    Attributes:
        region: Region that it belongs to.
    """

    region: Name


class TeamNode(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A team of a member.

    Attributes:
        tokens_sha256: SHA-256 hashes of the team's tokens in hexadecimal;
            the tokens themselves are not stored.
        quota_percent: Weight of the team when teams share slots, in percent.
    """

    tokens_sha256: list[TokenHash] = []
    quota_percent: Percent = 100.0


class MemberNode(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A member, whose requests must not be visible to other members.

    Attributes:
        teams: The member's teams by name.
    """

    teams: dict[Name, TeamNode] = {}


class Document(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole settings document.

    Attributes:
        tree: Root of the tree of groups, pools and queues.
        vms: VMs by name.
        data_centres: Data centres by name.
        members: Members by name.
    """

    tree: GroupNode = GroupNode()
    vms: dict[Name, VmNode] = {}
    data_centres: dict[Name, DataCentreNode] = {}
    members: dict[Name, MemberNode] = {}
