"""Decides whether a shard is handed over, and to which process."""

import dataclasses
import enum

from wagtailtiller import ids
from wagtailtiller.ownership import claims
from wagtailtiller.ownership import shard as shard_module

# A shard is kept at least this long, so that it does not go back and forth, and
# is only given to a stronger VM that has been listed for this long.
_MIN_OWNED_MS = 2_000
# A shard changes its owner for lateness at most this often: a pool that makes
# each of its owners late would otherwise have none for much of the time.
_MIN_OWNED_WHILE_LATE_MS = 5_000
# A process that has just been listed may not have read the declarations yet.
_MIN_LISTED_MS = 1_000
# More late candidates than this share, and nothing is gained by a hand-over.
_MAX_LATE_SHARE = 0.5
# How much more loaded than the late owner its successor may be.
_MAX_LOAD_FACTOR = 2.0
_FULL_LOAD = 1.0


class Reason(enum.Enum):
    """Why a shard is handed over."""

    STRONGER_VM = "handed_over"
    OWN_LATENESS = "late"
    STOPPING = "stopping"


@dataclasses.dataclass(frozen=True)
class View:
    """What a process knows about itself and the others.

    Attributes:
        own: Record of this process.
        others: Records of the other live processes.
        owned: Number of shards that each process owns.
        listed_ms: How long each process has been listed, in ms.
        restarted: Processes that have been restarted in the current series.
    """

    own: claims.NodeRecord
    others: list[claims.NodeRecord]
    owned: dict[ids.NodeId, int]
    listed_ms: dict[ids.NodeId, int]
    restarted: frozenset[ids.NodeId] = frozenset()

    def own_load(self) -> float:
        """Return the load of this process's VM; 1 is what it can carry."""
        return self.owned.get(self.own.node, 0) / self.own.shard_capacity


@dataclasses.dataclass(frozen=True)
class Plan:
    """A shard that is to be handed over.

    Attributes:
        reason: Why.
        successor: Process that should claim it; None if there is no other.
    """

    reason: Reason
    successor: claims.NodeRecord | None


@dataclasses.dataclass(frozen=True)
class Withheld:
    """A late owner keeps its shard.

    Attributes:
        comparable_count: Number of other processes of comparable capacity.
        late_count: How many of them are late.
    """

    comparable_count: int
    late_count: int


def plan(
    shard: shard_module.Shard, view: View, owned_for_ms: int
) -> Plan | Withheld | None:
    """Decide whether another process should have a shard of this one.

    Args:
        shard: Id of the shard.
        view: What this process knows.
        owned_for_ms: How long this process has owned the shard.

    Returns:
        The plan; ``Withheld`` if this process is late, but no other one would
        serve the shard better; None if there is no reason.
    """
    stronger = _stronger(shard, view)
    if stronger is not None and owned_for_ms >= _MIN_OWNED_MS:
        return Plan(Reason.STRONGER_VM, stronger)
    if not view.own.late or owned_for_ms < _MIN_OWNED_WHILE_LATE_MS:
        return None
    return _plan_while_late(shard, view)


def plan_stop(
    shards: list[shard_module.Shard], view: View
) -> dict[shard_module.Shard, Plan]:
    """Choose the successors of a process that is about to stop.

    Args:
        shards: Shards that the process owns.
        view: What the process knows.

    Returns:
        A plan for each shard.
    """
    ready = [
        node
        for node in view.others
        if view.listed_ms.get(node.node, 0) >= _MIN_LISTED_MS
    ]
    owned = dict(view.owned)
    plans = {}
    for shard in shards:
        ranking = claims.rank_candidates(shard, ready, owned, view.restarted)
        successor = ranking[0] if ranking else None
        if successor is not None:
            owned[successor.node] = owned.get(successor.node, 0) + 1
        plans[shard] = Plan(Reason.STOPPING, successor)
    return plans


def _stronger(
    shard: shard_module.Shard, view: View
) -> claims.NodeRecord | None:
    """Return a much stronger VM that would carry the shard with half the load.

    Args:
        shard: Id of the shard.
        view: What this process knows.
    """
    max_load = view.own_load() * claims.COMPARABLE_SHARE
    stronger_nodes = [
        node
        for node in view.others
        if not node.late
        and not claims.comparable(view.own.shard_capacity, node.shard_capacity)
        and view.listed_ms.get(node.node, 0) >= _MIN_OWNED_MS
        and claims.load_with_shard(node, view.owned) <= max_load
    ]
    return _best(shard, stronger_nodes, view)


def _plan_while_late(shard: shard_module.Shard, view: View) -> Plan | Withheld:
    comparable_nodes = [
        node
        for node in view.others
        if not node.leaving
        and claims.comparable(node.shard_capacity, view.own.shard_capacity)
    ]
    late_count = sum(1 for node in comparable_nodes if node.late)
    withheld = Withheld(len(comparable_nodes), late_count)
    if late_count > _MAX_LATE_SHARE * len(comparable_nodes):
        return withheld
    max_load = max(_FULL_LOAD, _MAX_LOAD_FACTOR * view.own_load())
    eligible_nodes = [
        node
        for node in comparable_nodes
        if not node.late
        and view.listed_ms.get(node.node, 0) >= _MIN_LISTED_MS
        and claims.load_with_shard(node, view.owned) <= max_load
    ]
    successor = _best(shard, eligible_nodes, view)
    if successor is None:
        return withheld
    return Plan(Reason.OWN_LATENESS, successor)


def _best(
    shard: shard_module.Shard, nodes: list[claims.NodeRecord], view: View
) -> claims.NodeRecord | None:
    ranking = claims.rank_candidates(shard, nodes, view.owned, view.restarted)
    return ranking[0] if ranking else None
