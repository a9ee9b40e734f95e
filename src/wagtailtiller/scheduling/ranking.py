"""Who goes first: the rank of a job among those that wait."""

import enum
from typing import NamedTuple

from wagtailtiller.jobs import job
from wagtailtiller.ports import catalogue

# A job that ends later than this many times its objective earns nothing.
ZERO_VALUE_FACTOR = 3.0


class Lateness(enum.IntEnum):
    """What a job can still reach."""

    ON_TIME = 0
    LATE = 1
    TOO_LATE = 2


class Rank(NamedTuple):
    """Lower ranks go first."""

    lateness: Lateness
    priority: int
    deadline_ms: int


def objective_ms(critical_path_ms: int, queue: catalogue.Queue) -> int:
    """Return how long a job may take and still count as on time."""
    return int(queue.stretch * critical_path_ms) + queue.slack_ms


def rank(
    waiting_job: job.Job, accepted_ms: int, queue: catalogue.Queue, now_ms: int
) -> Rank:
    """Rank a job.

    Args:
        waiting_job: The job.
        accepted_ms: When it was accepted, on the owner's clock.
        queue: Its queue.
        now_ms: The owner's clock.
    """
    if waiting_job.long_running:
        return Rank(Lateness.ON_TIME, queue.priority, accepted_ms)
    path_ms = waiting_job.spec.critical_path_ms()
    limit_ms = objective_ms(path_ms, queue)
    # The earliest end that the job can still reach.
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
