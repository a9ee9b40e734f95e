"""The pools in which the jobs of each queue are stored.

A queue can be sent to another pool, or get another name, while jobs of it are
stored, and processes learn of the change at different moments. The store lists
all pools that have had jobs of a path under which callers reach a queue, and
all that have had jobs of a queue's name. A transaction that creates a job has
the list of its path as a precondition, and the absence of the job in the other
pools of both lists. Therefore a job exists in one pool at most, and is found as
long as its path or its queue's name stays.
"""

from collections.abc import Iterable

import msgspec

from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller import stored_state
from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import store

_LIST_PREFIXES = (keys.QUEUE_PREFIX, keys.PATH_PREFIX)

_Pools = tuple[ids.PoolId, ...]
_decoder = msgspec.json.Decoder(_Pools)


def is_list(key: str) -> bool:
    """Return whether a key is that of a list of pools."""
    return key.startswith(_LIST_PREFIXES)


class QueuePools:
    """Copy of the stored lists of pools.

    Attributes:
        listed: Whether all lists have been read.
    """

    def __init__(self) -> None:
        self.listed = False
        self._revisions: dict[str, ids.Revision] = {}
        self._pools: dict[str, _Pools] = {}

    def update(self, item: store.Item) -> bool:
        """Apply a list as the store has returned it.

        Args:
            item: A list; an older one than the known is ignored.

        Returns:
            Whether the copy has changed.
        """
        if item.value is None:
            # Nobody deletes lists. The jobs that it told of may still exist,
            # so that the pools stay known until the list is written again.
            return self._revisions.pop(item.key, None) is not None
        if item.revision <= self._revisions.get(item.key, store.ABSENT):
            return False
        pools = stored_state.decode_or_log(
            item.key, item.value, _decoder.decode
        )
        if pools is None:
            # Not an empty list: no job is created until it can be read.
            return False
        self._revisions[item.key] = item.revision
        self._pools[item.key] = pools
        return True

    def pools(self, address: catalogue.QueueAddress) -> _Pools:
        """Return the pools in which a queue may have jobs, oldest first."""
        listed = [
            pool
            for key in (_path_key(address), _name_key(address))
            for pool in self._pools.get(key, ())
        ]
        return tuple(dict.fromkeys(listed))

    def other_pools(
        self, address: catalogue.QueueAddress, pool: ids.PoolId
    ) -> _Pools:
        """Return the pools other than one in which a queue may have jobs."""
        return tuple(other for other in self.pools(address) if other != pool)

    def all_pools(self) -> set[ids.PoolId]:
        """Return the pools in which any queue may have jobs."""
        return {pool for pools in self._pools.values() for pool in pools}

    def preconditions(
        self,
        address: catalogue.QueueAddress,
        pool: ids.PoolId,
        job: model.JobId,
    ) -> dict[str, ids.Revision]:
        """Return what must hold when a job is created in a pool.

        Args:
            address: Address of the job's queue.
            pool: Pool in which it is created.
            job: Id of the job.

        Returns:
            Expected revisions by key, as a new dictionary.
        """
        checked = {_path_key(address)}
        checked.update(write.key for write in self.writes(address, pool))
        expected = {
            key: self._revisions.get(key, store.ABSENT) for key in checked
        }
        for other in self.other_pools(address, pool):
            expected[keys.job(other, job)] = store.ABSENT
        return expected

    def writes(
        self, address: catalogue.QueueAddress, pool: ids.PoolId
    ) -> tuple[store.Write, ...]:
        """Return the writes that add a pool to a queue's lists, if it is new.

        Args:
            address: Address of the queue.
            pool: Pool in which a job is created.
        """
        writes = []
        for key in dict.fromkeys((_path_key(address), _name_key(address))):
            pools = self._pools.get(key, ())
            if pool in pools and key in self._revisions:
                continue
            merged = dict.fromkeys((*pools, *self.pools(address), pool))
            value = msgspec.json.encode(tuple(merged))
            writes.append(store.Write(key, value))
        return tuple(writes)

    def find_elsewhere(
        self,
        items: Iterable[store.Item],
        address: catalogue.QueueAddress,
        pool: ids.PoolId,
        job: model.JobId,
    ) -> store.Item | None:
        """Return a job that a refused creation has found in another pool.

        Args:
            items: Items that the refused precondition returned; newer lists
                among them are taken over.
            address: Address of the job's queue.
            pool: Pool in which it was to be created.
            job: Id of the job.
        """
        other_keys = {
            keys.job(other, job) for other in self.other_pools(address, pool)
        }
        found = None
        for item in items:
            if is_list(item.key):
                self.update(item)
            elif item.key in other_keys and item.value is not None:
                found = item
        return found


def _path_key(address: catalogue.QueueAddress) -> str:
    if not address.path:
        return _name_key(address)
    return keys.path_pools(address.path)


def _name_key(address: catalogue.QueueAddress) -> str:
    return keys.queue_pools(address.queue)
