"""Jobs that earlier versions stored under keys that are no longer used.

They put the name of a pool into the keys of its jobs as it is. Only names with
``/`` or ``%`` have other keys now.
"""

from collections.abc import Iterator
import itertools

from expression import Error
from expression import Ok
from expression import Result

from wagtailtiller import errors
from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller.jobs import model
from wagtailtiller.ownership import claims
from wagtailtiller.ports import store

# A job takes two preconditions, a write and a deletion.
_BATCH_JOBS = (store.MAX_TRANSACTION_ENTRIES - 1) // 4


async def move_jobs(
    store_client: store.Store, claim: claims.Claim, pool: ids.PoolId
) -> Result[None, errors.StoreUnavailable]:
    """Move the jobs of a pool to the keys of this version.

    Args:
        store_client: Client of the store.
        claim: Claim of the pool's shard.
        pool: Id of the pool.

    Returns:
        The error if the store does not respond, or has other jobs than it has
        just returned; what was moved so far stays so.
    """
    earlier_prefix = keys.unescaped_jobs(pool)
    if earlier_prefix == keys.jobs(pool):
        return Ok(None)
    found = await store_client.read(earlier_prefix)
    if found.is_error():
        return Error(found.error)
    items = [
        item
        for item in found.ok.items
        if "/" not in item.key.removeprefix(earlier_prefix)
    ]
    for batch in _batches(items):
        result = await store_client.commit(
            _move(batch, claim, pool, earlier_prefix)
        )
        if result.is_error():
            return Error(errors.StoreUnavailable(type(result.error).__name__))
    if items:
        events.emit(
            events.Event.JOBS_MOVED,
            pool=pool,
            epoch=claim.epoch,
            count=len(items),
        )
    return Ok(None)


def _batches(items: list[store.Item]) -> Iterator[list[store.Item]]:
    iterator = iter(items)
    while batch := list(itertools.islice(iterator, _BATCH_JOBS)):
        yield batch


def _move(
    items: list[store.Item],
    claim: claims.Claim,
    pool: ids.PoolId,
    earlier_prefix: str,
) -> store.Transaction:
    expected = claim.preconditions()
    writes = []
    for item in items:
        job = model.JobId(item.key.removeprefix(earlier_prefix))
        expected[item.key] = item.revision
        expected[keys.job(pool, job)] = store.ABSENT
        writes.append(store.Write(keys.job(pool, job), item.value or b""))
    return store.Transaction(
        expected, tuple(writes), tuple(item.key for item in items)
    )
