"""The pools in which the jobs of each queue are stored.

A queue can be sent to another pool while jobs of it are stored in the previous
one, and processes learn of the change at different moments. The store lists all
pools that a queue has had, in one key for each queue. A transaction that
creates a job has this key as a precondition, and the absence of the job in the
other pools. Therefore a job exists in one pool at most.
"""

from collections.abc import Iterable

import msgspec

from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller import stored_state
from wagtailtiller.jobs import model
from wagtailtiller.ports import store

_decoder = msgspec.json.Decoder(tuple[ids.PoolId, ...])


class QueuePools:
    """Copy of the stored lists of pools.

    Attributes:
        listed: Whether all lists have been read.
    """

    def __init__(self) -> None:
        self.listed = False
        self._items: dict[ids.QueueId, store.Item] = {}
        self._pools: dict[ids.QueueId, tuple[ids.PoolId, ...]] = {}

    def update(self, item: store.Item) -> bool:
        """Apply a list as the store has returned it.

        Args:
            item: The list of one queue; an older one than the known is ignored.

        Returns:
            Whether the copy has changed.
        """
        queue = ids.QueueId(item.key.removeprefix(keys.QUEUE_PREFIX))
        if item.value is None or item.revision <= self.revision(queue):
            # Lists are never deleted.
            return False
        pools = stored_state.decode_or_log(
            item.key, item.value, _decoder.decode
        )
        self._items[queue] = item
        self._pools[queue] = pools or ()
        return True

    def revision(self, queue: ids.QueueId) -> ids.Revision:
        """Return the revision of a queue's list, or ``ABSENT``."""
        item = self._items.get(queue)
        return item.revision if item is not None else store.ABSENT

    def pools(self, queue: ids.QueueId) -> tuple[ids.PoolId, ...]:
        """Return the pools in which a queue may have jobs, oldest first."""
        return self._pools.get(queue, ())

    def other_pools(
        self, queue: ids.QueueId, pool: ids.PoolId
    ) -> tuple[ids.PoolId, ...]:
        """Return the pools other than one in which a queue may have jobs."""
        return tuple(other for other in self.pools(queue) if other != pool)

    def all_pools(self) -> set[ids.PoolId]:
        """Return the pools in which any queue may have jobs."""
        return {pool for pools in self._pools.values() for pool in pools}

    def preconditions(
        self, queue: ids.QueueId, pool: ids.PoolId, job: model.JobId
    ) -> dict[str, ids.Revision]:
        """Return what must hold when a job is created in a pool.

        Args:
            queue: Queue of the job.
            pool: Pool in which it is created.
            job: Id of the job.

        Returns:
            Expected revisions by key, as a new dictionary.
        """
        expected = {keys.queue_pools(queue): self.revision(queue)}
        for other in self.other_pools(queue, pool):
            expected[keys.job(other, job)] = store.ABSENT
        return expected

    def writes(
        self, queue: ids.QueueId, pool: ids.PoolId
    ) -> tuple[store.Write, ...]:
        """Return the write that adds a pool to a queue's list, if it is new."""
        pools = self.pools(queue)
        if pool in pools:
            return ()
        value = msgspec.json.encode((*pools, pool))
        return (store.Write(keys.queue_pools(queue), value),)

    def find_elsewhere(
        self,
        items: Iterable[store.Item],
        queue: ids.QueueId,
        pool: ids.PoolId,
        job: model.JobId,
    ) -> store.Item | None:
        """Return a job that a refused creation has found in another pool.

        Args:
            items: Items that the refused precondition returned; newer lists
                among them are taken over.
            queue: Queue of the job.
            pool: Pool in which it was to be created.
            job: Id of the job.
        """
        other_keys = {
            keys.job(other, job) for other in self.other_pools(queue, pool)
        }
        found = None
        for item in items:
            if item.key == keys.queue_pools(queue):
                self.update(item)
            elif item.key in other_keys and item.value is not None:
                found = item
        return found
