"""What becomes of a caller's request."""

import dataclasses

from wagtailtiller.jobs import model
from wagtailtiller.scheduling import admission


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The job, or its cancel, is stored."""


@dataclasses.dataclass(frozen=True)
class Refused:
    """The job does not run by this request; it may be sent again."""

    reason: admission.RefusalReason
    retry_after_ms: int


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The caller's time ended before it was certain what happened."""


@dataclasses.dataclass(frozen=True)
class NoSuchQueue:
    """No queue is declared there."""


@dataclasses.dataclass(frozen=True)
class NoSuchJob:
    """No such job was accepted."""


@dataclasses.dataclass(frozen=True)
class JobStatus:
    """What a job has reached."""

    state: model.JobState


@dataclasses.dataclass(frozen=True)
class QueueStatus:
    """How many jobs of a queue have not started."""

    pending_count: int


Outcome = (
    Accepted
    | Refused
    | Unknown
    | NoSuchQueue
    | NoSuchJob
    | JobStatus
    | QueueStatus
)
