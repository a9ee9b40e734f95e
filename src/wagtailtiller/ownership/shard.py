"""Shards: what has one owner among the processes at a time."""

import dataclasses

from wagtailtiller import ids

_MACHINES_KEY_NAME = "machines"


@dataclasses.dataclass(frozen=True)
class MachinesShard:
    """The control of all machines."""

    @property
    def key_name(self) -> str:
        """Name of the shard in keys and logs."""
        return _MACHINES_KEY_NAME


@dataclasses.dataclass(frozen=True)
class PoolShard:
    """One pool.

    Attributes:
        pool: Id of the pool.
    """

    pool: ids.PoolId

    @property
    def key_name(self) -> str:
        """Name of the shard in keys and logs.

        A pool whose name would stand for the machines has a ``/`` more.
        """
        if self.pool.rstrip("/") == _MACHINES_KEY_NAME:
            return f"{self.pool}/"
        return self.pool


Shard = PoolShard | MachinesShard


def read(key_name: str) -> Shard:
    """Return the shard with a name in keys.

    Args:
        key_name: ``key_name`` of the shard.
    """
    if key_name == _MACHINES_KEY_NAME:
        return MachinesShard()
    if key_name.rstrip("/") == _MACHINES_KEY_NAME:
        return PoolShard(ids.PoolId(key_name[:-1]))
    return PoolShard(ids.PoolId(key_name))


def by_key_name(shard: Shard) -> str:
    """Return what shards are sorted by."""
    return shard.key_name
