"""Queues, pools and organisations that the operators have declared."""

import hashlib
from typing import NamedTuple
from typing import NewType

import msgspec

from wagtailtiller import ids
from wagtailtiller.ports import vms

ApiKeyDigest = NewType("ApiKeyDigest", str)

# The organisation of jobs whose callers need no API key.
NO_ORGANISATION = ids.OrganisationId("")


def digest(api_key: str) -> ApiKeyDigest:
    """Return the digest by which an API key is looked up and logged.

    Args:
        api_key: Key as the caller sent it.

    Returns:
        The SHA-256 digest, in hexadecimal digits.
    """
    return ApiKeyDigest(hashlib.sha256(api_key.encode()).hexdigest())


class Organisation(msgspec.Struct, frozen=True):
    """Organisation whose callers share the pools with others.

    Attributes:
        organisation: Name of the organisation.
        weight: Share of the organisation in a full pool, relative to the
            weights of the others; also the number of its jobs per second that
            must be served.
        limit: What its running tasks may use on all VMs together; 0 for a
            resource without a limit.
    """

    organisation: ids.OrganisationId
    weight: float
    limit: vms.Resources


class PlacementPolicy(msgspec.Struct, frozen=True):
    """Placement policy of a queue: a service decides which VMs may run tasks.

    Attributes:
        decide_ms: Time that the service needs for one request.
        each_ms: Additional time for each VM in the request.
        valid_ms: Time for which a permission is valid.
    """

    decide_ms: int
    each_ms: int
    valid_ms: int


class QueueAddress(NamedTuple):
    """How callers and operators name a queue.

    Attributes:
        queue: Name of the queue.
        path: Host and prefix under which callers reach it; empty if a request
            of an earlier version does not tell them.
    """

    queue: ids.QueueId
    path: str = ""


class QueueTerms(msgspec.Struct, frozen=True, array_like=True):
    """What the jobs of a queue are entitled to.

    The target duration of a job is ``stretch`` times the duration of its
    critical path, plus ``slack_ms``.

    Attributes:
        priority: Priority; 0 is served first.
        max_attempts: Number of failed attempts of a task after which its job
            fails.
        stretch: Factor of the target duration.
        slack_ms: Constant part of the target duration.
        policy: Placement policy; None if every VM of the pool is allowed.
    """

    priority: int
    max_attempts: int
    stretch: float
    slack_ms: int
    policy: PlacementPolicy | None = None


class Queue(msgspec.Struct, frozen=True):
    """Queue to which callers send jobs.

    The target duration of a job is ``stretch`` times the duration of its
    critical path, plus ``slack_ms``.

    Attributes:
        queue: Name of the queue.
        host: Host name that callers use, in lower case.
        prefix: Prefix of the request paths.
        pool: Pool whose VMs run the tasks.
        priority: Priority; 0 is served first.
        max_attempts: Number of failed attempts of a task after which its job
            fails.
        stretch: Factor of the target duration.
        slack_ms: Constant part of the target duration.
        policy: Placement policy; None if every VM of the pool is allowed.
        public: Whether callers need no API key.
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
    public: bool = False

    @property
    def address(self) -> QueueAddress:
        """How callers and operators name the queue."""
        return QueueAddress(self.queue, f"{self.host} {self.prefix}")

    @property
    def terms(self) -> QueueTerms:
        """What the jobs of the queue are entitled to, as a new object."""
        return QueueTerms(
            self.priority,
            self.max_attempts,
            self.stretch,
            self.slack_ms,
            self.policy,
        )


class Pool(msgspec.Struct, frozen=True):
    """Group of VMs that serve the same queues.

    Attributes:
        pool: Name of the pool.
        guards_capacity: Whether its VMs refuse tasks that do not fit.
        standby: Whether its machines are off until they are moved to another
            pool.
    """

    pool: ids.PoolId
    guards_capacity: bool
    standby: bool


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits of one request, which operators declare.

    Attributes:
        max_header_bytes: Largest head, with the request line.
        max_body_bytes: Largest body.
        header_timeout_ms: Longest time from the first to the last byte of a
            head.
        idle_timeout_ms: Longest time without a byte between requests and in a
            body.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Catalogue(msgspec.Struct, frozen=True):
    """Declarations of the operators at one version.

    Attributes:
        version: Number that increases with each change.
        queues: Queues, in no particular order.
        pools: Pools, in no particular order.
        organisations: Organisations by name; None if callers need no API keys.
        organisations_by_key: Organisation that each API key belongs to.
        limits: Limits of the requests of callers.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[Pool, ...]
    organisations: dict[ids.OrganisationId, Organisation] | None = None
    organisations_by_key: dict[ApiKeyDigest, ids.OrganisationId] = {}
    limits: RequestLimits = RequestLimits()

    def authenticate(
        self, queue: Queue, api_key: str | None
    ) -> ids.OrganisationId | None:
        """Return the organisation of a caller.

        Args:
            queue: Queue that the request is about.
            api_key: Key that the caller sent; None if it sent none.

        Returns:
            The organisation, ``NO_ORGANISATION`` if the queue needs no key, or
            None if the key is missing or unknown.
        """
        if self.organisations is None or queue.public:
            return NO_ORGANISATION
        if api_key is None:
            return None
        return self.organisations_by_key.get(digest(api_key))

    def route(self, host: str, path: str) -> Queue | None:
        """Return the queue whose prefix is the longest match for a path.

        Args:
            host: Host header of the request, with or without a port.
            path: Path of the request.

        Returns:
            The queue; None if none matches.
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
        """Return the queue with a given name.

        Args:
            queue: Name of the queue.

        Returns:
            The queue; None if it is not declared.
        """
        return next((q for q in self.queues if q.queue == queue), None)
