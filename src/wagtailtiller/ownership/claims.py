"""Claims of shards: a pool, or the machines, has one owner at a time.

An owner's key lives under its process's lease. Whoever creates the key also
raises the shard's epoch, in one transaction, so that no two owners ever share
an epoch. All of an owner's later transactions expect its key unchanged.
"""

import dataclasses
import hashlib

import msgspec

from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller.owner import keys
from wagtailtiller.ports import store


class NodeRecord(msgspec.Struct, frozen=True):
    """A process that is alive.

    Attributes:
        node: Its name.
        address: Where it listens for other processes, as ``ip:port``.
        incarnation: Tells one start of it from another.
        data_centre: Where it runs.
    """

    node: ids.NodeId
    address: str
    incarnation: str
    data_centre: ids.DataCentreId


class OwnerRecord(msgspec.Struct, frozen=True):
    """Who owns a shard."""

    node: ids.NodeId
    address: str
    incarnation: str
    epoch: int


@dataclasses.dataclass(frozen=True)
class Claim:
    """A shard that this process owns.

    Attributes:
        shard: Which.
        epoch: Rises with each owner.
        revision: The owner key's revision; it changes when ownership ends.
    """

    shard: ids.ShardId
    epoch: int
    revision: ids.Revision

    def expectation(self) -> dict[str, ids.Revision]:
        """Return what every transaction of the owner must expect."""
        return {keys.owner(self.shard): self.revision}


def preference(
    shard: ids.ShardId, nodes: list[NodeRecord], owned: dict[ids.NodeId, int]
) -> list[NodeRecord]:
    """Order the processes by who should own a shard.

    Those that own least go first; ties are broken by rendezvous hashing.

    Args:
        shard: The shard.
        nodes: The processes that are alive.
        owned: How many shards each owns already.
    """
    return sorted(
        nodes,
        key=lambda node: (owned.get(node.node, 0), _score(shard, node)),
    )


async def claim(
    store_client: store.Store, shard: ids.ShardId, own: NodeRecord, lease: str
) -> Claim | None:
    """Try to become the owner of a shard; None if that failed.

    Args:
        store_client: The store.
        shard: What to own.
        own: This process.
        lease: Its lease.
    """
    epoch_key = keys.epoch(shard)
    answer = await store_client.read_key(epoch_key)
    if answer.is_error():
        return None
    found = answer.ok
    epoch = 1
    revision = store.ABSENT
    if found is not None and found.value is not None:
        epoch = int(found.value) + 1
        revision = found.revision
    record = OwnerRecord(own.node, own.address, own.incarnation, epoch)
    transaction = store.Transaction(
        {keys.owner(shard): store.ABSENT, epoch_key: revision},
        (
            store.Write(keys.owner(shard), encode(record), lease),
            store.Write(epoch_key, str(epoch).encode()),
        ),
    )
    committed = await store_client.commit(transaction)
    if committed.is_ok():
        return Claim(shard, epoch, committed.ok)
    settled = await _settle(store_client, shard, record)
    if settled is None:
        events.emit(
            events.Event.CLAIM_FAILED,
            shard=shard,
            reason=type(committed.error).__name__,
        )
    return settled


async def release(store_client: store.Store, held_claim: Claim) -> None:
    """Give a shard up, so that another process can claim it at once."""
    await store_client.commit(
        store.Transaction(
            held_claim.expectation(), deletes=(keys.owner(held_claim.shard),)
        )
    )


def encode(record: NodeRecord | OwnerRecord) -> bytes:
    """Encode a record for the store."""
    return msgspec.json.encode(record)


async def _settle(
    store_client: store.Store, shard: ids.ShardId, record: OwnerRecord
) -> Claim | None:
    # The transaction may have been carried out all the same.
    answer = await store_client.read_key(keys.owner(shard))
    if answer.is_error() or answer.ok is None:
        return None
    if answer.ok.value != encode(record):
        return None
    return Claim(shard, record.epoch, answer.ok.revision)


def _score(shard: ids.ShardId, node: NodeRecord) -> bytes:
    text = f"{shard}/{node.node}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
