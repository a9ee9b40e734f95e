"""Where the system's own state lies in the platform's store."""

from wagtailtiller import ids
from wagtailtiller.jobs import model

ROOT = "wagtail/"
JOBS_PREFIX = f"{ROOT}jobs/"
LIVE_PREFIX = f"{ROOT}live/"
NODE_PREFIX = f"{LIVE_PREFIX}nodes/"
OWNER_PREFIX = f"{LIVE_PREFIX}owners/"
# The machines that the keeper orders or has just ordered.
MACHINE_ORDERS = f"{ROOT}machine-orders"


def node(node_id: ids.NodeId) -> str:
    """A process, under its lease."""
    return f"{NODE_PREFIX}{node_id}"


def owner(shard: ids.ShardId) -> str:
    """Who owns a shard, under the owner's lease."""
    return f"{OWNER_PREFIX}{shard}"


def epoch(shard: ids.ShardId) -> str:
    """How many owners a shard has had."""
    return f"{ROOT}epochs/{shard}"


def jobs(pool: ids.PoolId) -> str:
    """The jobs of a pool."""
    return f"{JOBS_PREFIX}{pool}/"


def job(pool: ids.PoolId, job_id: model.JobId) -> str:
    """One job."""
    return f"{JOBS_PREFIX}{pool}/{job_id}"


def members(pool: ids.PoolId) -> str:
    """The VMs of a pool that may run something."""
    return f"{ROOT}members/{pool}"


def wave(wave_id: ids.WaveId) -> str:
    """What a wave has reached."""
    return f"{ROOT}waves/{wave_id}"
