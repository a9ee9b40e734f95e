"""Keys of the system's own state in the platform's store.

Operators choose the names of pools and queues, which may hold any character. A
name at the end of a key stands there as it is. A name that something follows is
a segment, so that no name can be read as a part of another key.
"""

import functools
import hashlib
import urllib.parse

from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.ownership import shard as shard_module
from wagtailtiller.ports import catalogue

ROOT = "wagtail/"
JOBS_PREFIX = f"{ROOT}jobs/"
LIVE_PREFIX = f"{ROOT}live/"
NODE_PREFIX = f"{LIVE_PREFIX}nodes/"
OWNER_PREFIX = f"{LIVE_PREFIX}owners/"
SUCCESSOR_PREFIX = f"{LIVE_PREFIX}successors/"
QUEUE_PREFIX = f"{LIVE_PREFIX}queues/"
PATH_PREFIX = f"{LIVE_PREFIX}paths/"
# Lists the machines for which the machine manager is about to start an
# operation or has recently started one.
MACHINE_ORDERS = f"{ROOT}machine-orders"
# Holds what each pool may use for the organisations with a limit.
ALLOCATIONS = f"{ROOT}allocations"
# The learned season of the arrivals at all pools.
SEASON = f"{ROOT}season"
EPOCH_PREFIX = f"{ROOT}epochs/"
MEMBERS_PREFIX = f"{ROOT}members/"
WAVE_PREFIX = f"{ROOT}waves/"

# The platform's store takes no longer keys.
_MAX_KEY_BYTES = 200
_LONGEST_JOB_ID = model.JobId("f" * 16)


def segment(name: str) -> str:
    """Return a name in the form in which other parts of a key may follow it.

    Usual names are their own segments. A segment holds no ``/``, and each name
    has another one.
    """
    return name.replace("%", "%25").replace("/", "%2F")


def name(key_segment: str) -> str:
    """Return the name that a segment stands for."""
    return urllib.parse.unquote(key_segment)


def _bounded(prefix: str, long_name: str) -> str:
    """Return the key of a name that nobody reads back from it.

    The digest of a name stands for one that is too long for the store.
    """
    key = f"{prefix}{long_name}"
    if len(key.encode()) <= _MAX_KEY_BYTES:
        return key
    return f"{prefix}{hashlib.sha256(long_name.encode()).hexdigest()}"


def node(node_id: ids.NodeId) -> str:
    """Return the key of a process's record, attached to the process's lease."""
    return f"{NODE_PREFIX}{node_id}"


def owner(shard: shard_module.Shard) -> str:
    """Return the key of a shard's owner, attached to the owner's lease."""
    return f"{OWNER_PREFIX}{shard.key_name}"


def successor(shard: shard_module.Shard) -> str:
    """Return the key that names who should claim a released shard."""
    return f"{SUCCESSOR_PREFIX}{shard.key_name}"


def queue_pools(queue: ids.QueueId) -> str:
    """Return the key of the list of pools in which a queue has had jobs."""
    return _bounded(QUEUE_PREFIX, queue)


def path_pools(path: str) -> str:
    """Return the key of the list of pools in which a path has had jobs.

    Args:
        path: Path of a ``catalogue.QueueAddress``.
    """
    return _bounded(PATH_PREFIX, path)


def epoch(shard: shard_module.Shard) -> str:
    """Return the key of a shard's epoch, the number of its owners so far."""
    return f"{EPOCH_PREFIX}{shard.key_name}"


def jobs(pool: ids.PoolId) -> str:
    """Return the prefix of the keys of a pool's jobs."""
    return f"{JOBS_PREFIX}{segment(pool)}/"


def unescaped_jobs(pool: ids.PoolId) -> str:
    """Return the prefix under which earlier versions stored a pool's jobs."""
    return f"{JOBS_PREFIX}{pool}/"


def job(pool: ids.PoolId, job_id: model.JobId) -> str:
    """Return the key of a job."""
    return f"{jobs(pool)}{job_id}"


def read_job(key: str) -> tuple[ids.PoolId, model.JobId] | None:
    """Return the pool and the id that the key of a job holds.

    Args:
        key: Key under ``JOBS_PREFIX``.

    Returns:
        None if the key is not one of this version.
    """
    parts = key.removeprefix(JOBS_PREFIX).split("/")
    if len(parts) != 2:
        return None
    return ids.PoolId(name(parts[0])), model.JobId(parts[1])


def members(pool: ids.PoolId) -> str:
    """Return the key of the list of VMs on which a pool's tasks may run."""
    return f"{MEMBERS_PREFIX}{pool}"


def wave(wave_id: ids.WaveId) -> str:
    """Return the key of a wave's progress."""
    return f"{WAVE_PREFIX}{wave_id}"


@functools.lru_cache(maxsize=1_024)
def too_long(queue: catalogue.Queue) -> str:
    """Return why a queue's pool has keys that the store does not take.

    Args:
        queue: Queue as it is declared.

    Returns:
        The name of the pool with the length of a key; empty if the queue can be
        served.
    """
    pool_keys = (
        job(queue.pool, _LONGEST_JOB_ID),
        successor(shard_module.PoolShard(queue.pool)),
    )
    key_bytes = max(len(key.encode()) for key in pool_keys)
    if key_bytes <= _MAX_KEY_BYTES:
        return ""
    return (
        f"pool {queue.pool[:20]}... makes a key of {key_bytes} bytes,"
        f" at most {_MAX_KEY_BYTES} are possible"
    )
