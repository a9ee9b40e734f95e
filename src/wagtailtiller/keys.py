"""Keys of the system's own state in the platform's store."""

from wagtailtiller import ids
from wagtailtiller.jobs import model

ROOT = "wagtail/"
JOBS_PREFIX = f"{ROOT}jobs/"
LIVE_PREFIX = f"{ROOT}live/"
NODE_PREFIX = f"{LIVE_PREFIX}nodes/"
OWNER_PREFIX = f"{LIVE_PREFIX}owners/"
SUCCESSOR_PREFIX = f"{LIVE_PREFIX}successors/"
QUEUE_PREFIX = f"{LIVE_PREFIX}queues/"
# Lists the machines for which the machine manager is about to start an
# operation or has recently started one.
MACHINE_ORDERS = f"{ROOT}machine-orders"
# Holds what each pool may use for the organisations with a limit.
ALLOCATIONS = f"{ROOT}allocations"
# The learned season of the arrivals at all pools.
SEASON = f"{ROOT}season"


def node(node_id: ids.NodeId) -> str:
    """Return the key of a process's record, attached to the process's lease."""
    return f"{NODE_PREFIX}{node_id}"


def owner(shard: ids.ShardId) -> str:
    """Return the key of a shard's owner, attached to the owner's lease."""
    return f"{OWNER_PREFIX}{shard}"


def successor(shard: ids.ShardId) -> str:
    """Return the key that names who should claim a released shard."""
    return f"{SUCCESSOR_PREFIX}{shard}"


def queue_pools(queue: ids.QueueId) -> str:
    """Return the key of the list of pools in which a queue has had jobs."""
    return f"{QUEUE_PREFIX}{queue}"


def epoch(shard: ids.ShardId) -> str:
    """Return the key of a shard's epoch, the number of its owners so far."""
    return f"{ROOT}epochs/{shard}"


def jobs(pool: ids.PoolId) -> str:
    """Return the prefix of the keys of a pool's jobs."""
    return f"{JOBS_PREFIX}{pool}/"


def job(pool: ids.PoolId, job_id: model.JobId) -> str:
    """Return the key of a job."""
    return f"{JOBS_PREFIX}{pool}/{job_id}"


def members(pool: ids.PoolId) -> str:
    """Return the key of the list of VMs on which a pool's tasks may run."""
    return f"{ROOT}members/{pool}"


def wave(wave_id: ids.WaveId) -> str:
    """Return the key of a wave's progress."""
    return f"{ROOT}waves/{wave_id}"
