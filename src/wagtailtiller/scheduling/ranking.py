"""Ranking of jobs, which determines the order in which their tasks start."""

import enum
from typing import NamedTuple

from wagtailtiller.jobs import job
from wagtailtiller.ports import catalogue

# A job that takes longer than this multiple of its target duration has no
# value.
ZERO_VALUE_FACTOR = 3.0


class Lateness(enum.IntEnum):
    """How a job's earliest possible end compares with its target duration.

    ``TOO_LATE`` means that the job no longer has any value.
    """

    ON_TIME = 0
    LATE = 1
    TOO_LATE = 2


class Rank(NamedTuple):
    """Rank of a job; lower ranks start first.

    Attributes:
        lateness: Lateness at the earliest possible end.
        priority: Priority of the queue; 0 is the highest.
        deadline_ms: Time at which the target duration ends, on the owner's
            clock; for a long-running job, the time of its acceptance.
    """

    lateness: Lateness
    priority: int
    deadline_ms: int


def target_duration_ms(critical_path_ms: int, queue: catalogue.Queue) -> int:
    """Return how long a job may take and still be on time.

    Args:
        critical_path_ms: Estimated duration of the job's critical path.
        queue: Queue of the job.
    """
    return int(queue.stretch * critical_path_ms) + queue.slack_ms


def rank(
    waiting_job: job.Job, accepted_ms: int, queue: catalogue.Queue, now_ms: int
) -> Rank:
    """Return the rank of a job.

    Args:
        waiting_job: Job to rank.
        accepted_ms: Time of acceptance, on the owner's clock.
        queue: Queue of the job.
        now_ms: Current time, on the owner's clock.
    """
    if waiting_job.long_running:
        return Rank(Lateness.ON_TIME, queue.priority, accepted_ms)
    limit_ms = target_duration_ms(waiting_job.critical_path_ms, queue)
    # Age of the job at its earliest possible end.
    earliest_age_ms = (
        now_ms - accepted_ms + waiting_job.remaining_critical_path_ms()
    )
    if earliest_age_ms > ZERO_VALUE_FACTOR * limit_ms:
        lateness = Lateness.TOO_LATE
    elif earliest_age_ms > limit_ms:
        lateness = Lateness.LATE
    else:
        lateness = Lateness.ON_TIME
    return Rank(lateness, queue.priority, accepted_ms + limit_ms)
