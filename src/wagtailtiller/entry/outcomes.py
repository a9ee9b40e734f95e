"""The possible outcomes of a caller's request."""

import dataclasses

from wagtailtiller.jobs import model
from wagtailtiller.scheduling import admission


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The job or its cancellation is stored."""


@dataclasses.dataclass(frozen=True)
class Refused:
    """The request does not start the job; the caller may send it again.

    Attributes:
        reason: Why the job was refused.
        retry_after_ms: How long the caller should wait before a retry.
    """

    reason: admission.RefusalReason
    retry_after_ms: int


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The caller's timeout ended while the outcome was unknown."""


@dataclasses.dataclass(frozen=True)
class NoSuchQueue:
    """No queue is declared for the host and path."""


@dataclasses.dataclass(frozen=True)
class Unauthenticated:
    """The request needs an API key, and carries none or an unknown one."""


@dataclasses.dataclass(frozen=True)
class IdInUse:
    """Another organisation has a job with this id; nothing was changed."""


@dataclasses.dataclass(frozen=True)
class NoSuchJob:
    """No job with this id is stored: it was not accepted, or ended long ago."""


@dataclasses.dataclass(frozen=True)
class JobStatus:
    """The state of a job.

    Attributes:
        state: The state as last stored or as the owner reports it.
    """

    state: model.JobState


@dataclasses.dataclass(frozen=True)
class QueueStatus:
    """The backlog of a queue.

    Attributes:
        pending_count: How many jobs of the queue have not started.
    """

    pending_count: int


Outcome = (
    Accepted
    | Refused
    | Unknown
    | NoSuchQueue
    | Unauthenticated
    | IdInUse
    | NoSuchJob
    | JobStatus
    | QueueStatus
)
