"""The queues and pools that the operators have declared, at one version."""

import msgspec

from wagtailtiller import ids


class PlacementPolicy(msgspec.Struct, frozen=True):
    """A queue whose tasks may only run where a policy service allows.

    Attributes:
        decide_ms: What one question costs the service.
        each_ms: What each VM named in it costs besides.
        valid_ms: How long its permission holds.
    """

    decide_ms: int
    each_ms: int
    valid_ms: int


class Queue(msgspec.Struct, frozen=True):
    """Where callers send jobs of one kind.

    Attributes:
        queue: Its name.
        host: The host that callers name, lower case.
        prefix: How the paths begin.
        pool: Whose VMs run the tasks.
        priority: 0 goes first.
        max_attempts: A task that failed so often fails its job.
        stretch: The objective is this times the longest chain of steps...
        slack_ms: ...and this much more.
        policy: Its placement policy, if any.
    """

    queue: ids.QueueId
    host: str
    prefix: str
    pool: ids.PoolId
    priority: int
    max_attempts: int
    stretch: float
    slack_ms: int
    policy: PlacementPolicy | None = None


class Pool(msgspec.Struct, frozen=True):
    """VMs that serve the same queues.

    Attributes:
        pool: Its name.
        guards_capacity: Its VMs refuse what does not fit.
        standby: Its machines are off until they are moved elsewhere.
    """

    pool: ids.PoolId
    guards_capacity: bool
    standby: bool


class Catalogue(msgspec.Struct, frozen=True):
    """Everything that the operators have declared.

    Attributes:
        version: Rises with each change.
        queues: In no order.
        pools: In no order.
        max_body_bytes: The largest body that a caller may send.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[Pool, ...]
    max_body_bytes: int

    def route(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix that a path begins with.

        Args:
            host: As the caller sent it, with or without a port.
            path: The request's path.
        """
        name = host.partition(":")[0].lower()
        best: Queue | None = None
        for queue in self.queues:
            if queue.host != name or not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best

    def queue(self, queue: ids.QueueId) -> Queue | None:
        """Return the queue of a name, if there is one."""
        return next((q for q in self.queues if q.queue == queue), None)
