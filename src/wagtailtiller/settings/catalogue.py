"""Resolved settings: pools and queues with their inherited values filled in.

``resolve`` turns the operators' document into a ``Catalogue``; ``explain``
returns, for each value of one node, which ancestor set it.
"""

import dataclasses
from typing import Any

import msgspec

from wagtailtiller import ids
from wagtailtiller.settings import schema

DEFAULTS: dict[str, Any] = {
    "max_unavailable_vms": 1,
    "failure_reserve_vms": 0,
    "min_vms": 1,
    "lends": False,
    "slots_per_vm": 8,
    "connections_per_vm": 64,
    "roll_out_weight": 1.0,
    "buffer_weight": 1.0,
    "priority": "normal",
    "idempotent": False,
    "deadline_ms": 30_000,
    "run_limit_ms": 30_000,
    "expected_run_ms": 500,
    "queue_limit": 1_000,
    "resend_window_ms": 60_000,
    "max_body_bytes": 64 * 1024 * 1024,
    "needs_processors": 0,
    "needs_memory_gb": 0,
    "needs_accelerators": 0,
    "owner": "",
}


class PoolSettings(msgspec.Struct, frozen=True):
    """A pool with its resolved values, which ``schema.Values`` describes.

    Attributes:
        pool: The pool's name.
        path: Path of its node in the document, such as ``/tree/pools/a``.
    """

    pool: ids.PoolId
    path: str
    max_unavailable_vms: int
    failure_reserve_vms: int
    min_vms: int
    lends: bool
    slots_per_vm: int
    connections_per_vm: int
    roll_out_weight: float
    buffer_weight: float


class QueueSettings(msgspec.Struct, frozen=True):
    """A queue with its resolved values, which ``schema.Values`` describes.

    Attributes:
        queue: The queue's name.
        pool: The pool that serves it.
        path: Path of its node in the document.
        priority: Scheduling class.
    """

    queue: ids.QueueId
    pool: ids.PoolId
    path: str
    priority: ids.Priority
    idempotent: bool
    deadline_ms: int
    run_limit_ms: int
    expected_run_ms: int
    queue_limit: int
    resend_window_ms: int
    max_body_bytes: int
    needs_processors: int
    needs_memory_gb: int
    needs_accelerators: int
    owner: str


class VmSettings(msgspec.Struct, frozen=True):
    """A VM as the settings describe it.

    Attributes:
        vm: The VM's name.
        host: IP address of its endpoint.
        port: TCP port of its endpoint.
        region: Region of its data centre.
        data_centre: Data centre that the VM runs in.
        rack: Rack that the VM runs in.
        pool: Pool that the VM starts in.
        processors: Number of its processors.
        memory_gb: Its memory in gigabytes.
        accelerators: Number of its accelerators.
    """

    vm: ids.VmId
    host: str
    port: int
    region: ids.RegionId
    data_centre: ids.DataCentreId
    rack: ids.RackId
    pool: ids.PoolId
    processors: int
    memory_gb: int
    accelerators: int


class Caller(msgspec.Struct, frozen=True):
    """The member and team that a token belongs to.

    Attributes:
        member: The member's name.
        team: The team, as ``member/team``.
        quota_percent: Weight of the team when teams share slots, in percent.
    """

    member: ids.MemberId
    team: ids.TeamId
    quota_percent: float


class Catalogue(msgspec.Struct, frozen=True):
    """All resolved settings of one document.

    Attributes:
        pools: Pools by name.
        queues: Queues by name.
        vms: VMs by name.
        callers: Callers by the SHA-256 of their token in hexadecimal.
    """

    pools: dict[ids.PoolId, PoolSettings]
    queues: dict[ids.QueueId, QueueSettings]
    vms: dict[ids.VmId, VmSettings]
    callers: dict[str, Caller]


EMPTY = Catalogue({}, {}, {}, {})


@dataclasses.dataclass(frozen=True)
class Explanation:
    """The source of one value of a node.

    Attributes:
        field: The name of the value.
        value: The value in force.
        source: The path of the node that set it, or ``default``.
    """

    field: str
    value: Any
    source: str


@dataclasses.dataclass(frozen=True)
class _Scope:
    path: str
    values: dict[str, Any]
    sources: dict[str, str]

    def child(self, path: str, values: schema.Values) -> "_Scope":
        overrides = {
            name: getattr(values, name)
            for name in DEFAULTS
            if getattr(values, name) is not msgspec.UNSET
        }
        sources = dict.fromkeys(overrides, path)
        return _Scope(path, self.values | overrides, self.sources | sources)


_ROOT = _Scope("", DEFAULTS, dict.fromkeys(DEFAULTS, "default"))


def resolve(document: schema.Document) -> Catalogue:
    """Fill in every inherited value of a validated document.

    Args:
        document: A validated document.

    Returns:
        All pools, queues, VMs and callers of the document.
    """
    pools: dict[ids.PoolId, PoolSettings] = {}
    queues: dict[ids.QueueId, QueueSettings] = {}
    for scope, node in _walk(document):
        match node:
            case schema.PoolNode():
                pool = _pool_settings(scope)
                pools[pool.pool] = pool
            case schema.QueueNode():
                queue = _queue_settings(scope)
                queues[queue.queue] = queue
    vms = {
        ids.VmId(name): _vm_settings(ids.VmId(name), node, document)
        for name, node in document.vms.items()
    }
    return Catalogue(pools, queues, vms, _callers(document))


def explain(document: schema.Document, path: str) -> list[Explanation]:
    """Find out which ancestor set each value of a node.

    Args:
        document: A validated document.
        path: The node's path, or the name of a pool, queue or group.

    Returns:
        One entry for each value, or an empty list if no node matches.
    """
    for scope, _ in _walk(document):
        if path in (scope.path, _last_part(scope.path)):
            return [
                Explanation(name, scope.values[name], scope.sources[name])
                for name in DEFAULTS
            ]
    return []


_Node = schema.GroupNode | schema.PoolNode | schema.QueueNode


def _walk(document: schema.Document) -> list[tuple[_Scope, _Node]]:
    visited: list[tuple[_Scope, _Node]] = []
    root = _ROOT.child("/tree", document.tree.values)
    _walk_group(root, document.tree, visited)
    return visited


def _walk_group(
    scope: _Scope,
    group: schema.GroupNode,
    visited: list[tuple[_Scope, _Node]],
) -> None:
    visited.append((scope, group))
    for name, pool in group.pools.items():
        pool_scope = scope.child(f"{scope.path}/pools/{name}", pool.values)
        visited.append((pool_scope, pool))
        for queue_name, queue in pool.queues.items():
            path = f"{pool_scope.path}/queues/{queue_name}"
            visited.append((pool_scope.child(path, queue.values), queue))
    for name, child in group.groups.items():
        path = f"{scope.path}/groups/{name}"
        _walk_group(scope.child(path, child.values), child, visited)


def _pool_settings(scope: _Scope) -> PoolSettings:
    values = _field_values(scope, PoolSettings)
    name = ids.PoolId(_last_part(scope.path))
    return PoolSettings(pool=name, path=scope.path, **values)


def _queue_settings(scope: _Scope) -> QueueSettings:
    values = _field_values(scope, QueueSettings)
    values["priority"] = ids.Priority[values["priority"].upper()]
    return QueueSettings(
        queue=ids.QueueId(_last_part(scope.path)),
        pool=ids.PoolId(scope.path.split("/")[-3]),
        path=scope.path,
        **values,
    )


def _field_values(scope: _Scope, kind: type[msgspec.Struct]) -> dict[str, Any]:
    names = kind.__struct_fields__
    return {n: scope.values[n] for n in names if n in scope.values}


def _last_part(path: str) -> str:
    return path.rsplit("/", 1)[-1]


def _vm_settings(
    vm: ids.VmId, node: schema.VmNode, document: schema.Document
) -> VmSettings:
    host, port = node.address.split(":")
    region = document.data_centres[node.data_centre].region
    return VmSettings(
        vm=vm,
        host=host,
        port=int(port),
        region=ids.RegionId(region),
        data_centre=ids.DataCentreId(node.data_centre),
        rack=ids.RackId(node.rack),
        pool=ids.PoolId(node.pool),
        processors=node.processors,
        memory_gb=node.memory_gb,
        accelerators=node.accelerators,
    )


def _callers(document: schema.Document) -> dict[str, Caller]:
    callers = {}
    for member, node in document.members.items():
        for team, team_node in node.teams.items():
            caller = Caller(
                ids.MemberId(member),
                ids.TeamId(f"{member}/{team}"),
                team_node.quota_percent,
            )
            callers.update(dict.fromkeys(team_node.tokens_sha256, caller))
    return callers
