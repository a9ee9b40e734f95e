"""Claims of shards; a shard is one pool, or the control of all machines.

The key of a shard's owner is attached to the lease of the owning process. The
transaction that creates this key also raises the shard's epoch, so no two
owners share an epoch. Each later transaction of the owner has the unchanged
owner key as a precondition.
"""

from collections.abc import Callable
import dataclasses
import hashlib

import msgspec

from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller.ownership import shard as shard_module
from wagtailtiller.ports import store

# Epoch of the first owner that a shard has ever had.
FIRST_EPOCH = 1
# What the owner of a busy pool of a hundred VMs needs.
_SHARD_CPU_MILLICORES = 500
_SHARD_LINK_MBPS = 20.0
_MIN_SHARD_CAPACITY = 0.01
# VMs are of comparable capacity if one has at least this share of the other's.
COMPARABLE_SHARE = 0.5
# What an owner on a VM that is slowed five to seven times was seen to serve.
_LATE_CAPACITY_SHARE = 0.2
# A restarted process is preferred as long as its VM is loaded at most so far.
_RESTARTED_MAX_LOAD = 0.5


class NodeRecord(msgspec.Struct, frozen=True):
    """Store record of a live process.

    Attributes:
        node: Name of the process.
        address: Address on which it accepts requests of other processes, as
            ``ip:port``.
        incarnation: Id of this start of the process; differs after a restart.
        data_centre: Data centre in which it runs.
        shard_capacity: Number of shards that its VM can carry, as an estimate.
        late: Whether its event loop is late, so that it serves little.
        leaving: Whether it is about to stop and claims nothing any more.
    """

    node: ids.NodeId
    address: str
    incarnation: str
    data_centre: ids.DataCentreId
    shard_capacity: float = 1.0
    late: bool = False
    leaving: bool = False


class OwnerRecord(msgspec.Struct, frozen=True):
    """Store record of a shard's owner.

    Attributes:
        node: Name of the owning process.
        address: Address of that process, as ``ip:port``.
        incarnation: Id of that process's start.
        epoch: Epoch of the ownership.
    """

    node: ids.NodeId
    address: str
    incarnation: str
    epoch: int


class SuccessorRecord(msgspec.Struct, frozen=True):
    """Store record of the process that should claim a released shard.

    It only changes who tries first; the claim itself decides.

    Attributes:
        node: Name of the process.
        incarnation: Id of that process's start.
        epoch: Epoch of the ownership that was released; the record is outdated
            once the shard has had a later owner.
    """

    node: ids.NodeId
    incarnation: str
    epoch: int


@dataclasses.dataclass(frozen=True)
class Claim:
    """Ownership of a shard by this process.

    Attributes:
        shard: Id of the shard.
        epoch: Epoch of the ownership; each new owner has a higher one.
        revision: Revision of the owner key; it changes when ownership ends.
    """

    shard: shard_module.Shard
    epoch: int
    revision: ids.Revision

    def preconditions(self) -> dict[str, ids.Revision]:
        """Return the precondition of each transaction of the owner.

        Returns:
            The owner key and its expected revision, as a new dictionary.
        """
        return {keys.owner(self.shard): self.revision}


def rank_candidates(
    shard: shard_module.Shard,
    nodes: list[NodeRecord],
    owned: dict[ids.NodeId, int],
    restarted: frozenset[ids.NodeId] = frozenset(),
) -> list[NodeRecord]:
    """Rank processes as candidates for the ownership of a shard.

    Processes come first whose load with one more shard would be the smallest
    part of what their VM can carry; ties are broken by rendezvous hashing. A
    late process comes after all others if one of comparable capacity is not
    late. If there is none, it counts with a part of its capacity.

    Args:
        shard: Id of the shard.
        nodes: Live processes; those that are leaving are not ranked.
        owned: Number of shards that each process owns.
        restarted: Processes that have been restarted while restarts are under
            way. They come first as long as their VM is loaded little.

    Returns:
        The processes, best candidate first.
    """
    staying_nodes = [node for node in nodes if not node.leaving]
    highest_capacity = max(
        (node.shard_capacity for node in staying_nodes if not node.late),
        default=0.0,
    )

    def rank(node: NodeRecord) -> tuple[bool, bool, float, bytes]:
        load = load_with_shard(node, owned)
        replaceable = comparable(highest_capacity, node.shard_capacity)
        preferred = (
            node.node in restarted
            and not node.late
            and load <= _RESTARTED_MAX_LOAD
        )
        return (
            node.late and replaceable,
            not preferred,
            load,
            _rendezvous_hash(shard, node),
        )

    return sorted(staying_nodes, key=rank)


def comparable(capacity: float, other_capacity: float) -> bool:
    """Return whether a VM has at least comparable capacity to another.

    Args:
        capacity: Shards that the VM can carry.
        other_capacity: Shards that the other VM can carry.
    """
    return capacity >= COMPARABLE_SHARE * other_capacity


def load_with_shard(node: NodeRecord, owned: dict[ids.NodeId, int]) -> float:
    """Return a process's load with one more shard; 1 is what it can carry.

    Args:
        node: Record of the process.
        owned: Number of shards that each process owns.
    """
    capacity = node.shard_capacity
    if node.late:
        capacity *= _LATE_CAPACITY_SHARE
    return (owned.get(node.node, 0) + 1) / capacity


def shard_capacity(cpu_millicores: int, link_mbps: float) -> float:
    """Estimate how many shards the VM of a process can carry.

    Args:
        cpu_millicores: Processor capacity of the VM.
        link_mbps: Bandwidth of the VM's network link.

    Returns:
        The number of shards, above 0.
    """
    carried = min(
        cpu_millicores / _SHARD_CPU_MILLICORES, link_mbps / _SHARD_LINK_MBPS
    )
    return max(carried, _MIN_SHARD_CAPACITY)


async def claim(
    store_client: store.Store,
    shard: shard_module.Shard,
    claimant: NodeRecord,
    lease: str,
    replaced: ids.Revision = store.ABSENT,
    on_refused: Callable[[store.Item], None] = lambda item: None,
) -> Claim | None:
    """Try to become the owner of a shard.

    Args:
        store_client: Client of the store that holds the owner keys.
        shard: Id of the shard to claim.
        claimant: Record of this process.
        lease: Id of this process's lease.
        replaced: Revision of an owner key whose process is known to have ended;
            ``store.ABSENT`` if the shard has no owner.
        on_refused: Called with the owner key as the store has it, if that
            is not as expected.

    Returns:
        The claim, or None if it failed or its outcome is unknown.
    """
    if not lease:
        # The owner key would stay after this process has ended.
        return None
    epoch_key = keys.epoch(shard)
    result = await store_client.read_key(epoch_key)
    if result.is_error():
        return None
    epoch_item = result.ok
    epoch = FIRST_EPOCH
    revision = store.ABSENT
    if epoch_item is not None and epoch_item.value is not None:
        if not epoch_item.value.isdigit():
            events.emit(
                events.Event.STATE_UNREADABLE, key=epoch_key, reason="epoch"
            )
            return None
        epoch = int(epoch_item.value) + 1
        revision = epoch_item.revision
    record = OwnerRecord(
        claimant.node, claimant.address, claimant.incarnation, epoch
    )
    transaction = store.Transaction(
        {keys.owner(shard): replaced, epoch_key: revision},
        (
            store.Write(keys.owner(shard), encode(record), lease),
            store.Write(epoch_key, str(epoch).encode()),
        ),
    )
    committed = await store_client.commit(transaction)
    if committed.is_ok():
        return Claim(shard, epoch, committed.ok)
    if isinstance(committed.error, store.PreconditionFailed):
        for item in committed.error.items:
            if item.key == keys.owner(shard) and item.revision != replaced:
                on_refused(item)
    confirmed = await _read_back(store_client, shard, record)
    if confirmed is None:
        events.emit(
            events.Event.CLAIM_FAILED,
            shard=shard.key_name,
            reason=type(committed.error).__name__,
        )
    return confirmed


async def release(
    store_client: store.Store,
    claim: Claim,
    successor: NodeRecord | None = None,
    hint_revision: ids.Revision = store.ABSENT,
) -> bool:
    """Delete the owner key, so that another process can claim the shard.

    Args:
        store_client: Client of the store that holds the owner keys.
        claim: Claim to release; if it is outdated, nothing is deleted.
        successor: Process that should claim the shard at once; None if there
            is no better one than the candidates' order gives.
        hint_revision: Last known revision of the shard's successor key.

    Returns:
        Whether this process is known not to own the shard any more.
    """
    owner_key = keys.owner(claim.shard)
    if successor is not None:
        hint_key = keys.successor(claim.shard)
        hint = SuccessorRecord(
            successor.node, successor.incarnation, claim.epoch
        )
        result = await store_client.commit(
            store.Transaction(
                {**claim.preconditions(), hint_key: hint_revision},
                (store.Write(hint_key, encode(hint)),),
                (owner_key,),
            )
        )
        if result.is_ok():
            return True
        if not isinstance(result.error, store.PreconditionFailed):
            return False
        # The successor key may have another revision than the known one.
    result = await store_client.commit(
        store.Transaction(claim.preconditions(), deletes=(owner_key,))
    )
    if result.is_error():
        # The key is gone, or another process owns the shard.
        return isinstance(result.error, store.PreconditionFailed)
    return True


def encode(record: NodeRecord | OwnerRecord | SuccessorRecord) -> bytes:
    """Encode a record as JSON for the store."""
    return msgspec.json.encode(record)


async def _read_back(
    store_client: store.Store, shard: shard_module.Shard, record: OwnerRecord
) -> Claim | None:
    # A commit that returned an error may have been applied nevertheless.
    result = await store_client.read_key(keys.owner(shard))
    if result.is_error() or result.ok is None:
        return None
    if result.ok.value != encode(record):
        return None
    return Claim(shard, record.epoch, result.ok.revision)


def _rendezvous_hash(shard: shard_module.Shard, node: NodeRecord) -> bytes:
    text = f"{shard.key_name}/{node.node}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
