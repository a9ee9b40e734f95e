"""Who goes first: the rank of a job among those that wait."""

import enum
from typing import NamedTuple

from wagtailtiller.jobs import job
from wagtailtiller.ports import catalogue

# A job that ends later than this many times its objective earns nothing.
WORTHLESS_AFTER = 3.0


class Lateness(enum.IntEnum):
    """What a job can still reach."""

    ON_TIME = 0
    LATE = 1
    LOST = 2


class Rank(NamedTuple):
    """Lower ranks go first."""

    lateness: Lateness
    priority: int
    deadline_ms: int


def objective_ms(spec_chain_ms: int, queue: catalogue.Queue) -> int:
    """Return how long a job may take and still count as on time."""
    return int(queue.stretch * spec_chain_ms) + queue.slack_ms


def rank(
    waiting: job.Job, accepted_ms: int, queue: catalogue.Queue, now_ms: int
) -> Rank:
    """Rank a job.

    Args:
        waiting: The job.
        accepted_ms: When it was accepted, on the owner's clock.
        queue: Its queue.
        now_ms: The owner's clock.
    """
    if waiting.long_running:
        return Rank(Lateness.ON_TIME, queue.priority, accepted_ms)
    chain_ms = waiting.spec.longest_chain_ms()
    limit_ms = objective_ms(chain_ms, queue)
    # The earliest end that the job can still reach.
    reach_ms = now_ms - accepted_ms + waiting.remaining_chain_ms()
    if reach_ms > WORTHLESS_AFTER * limit_ms:
        lateness = Lateness.LOST
    elif reach_ms > limit_ms:
        lateness = Lateness.LATE
    else:
        lateness = Lateness.ON_TIME
    return Rank(lateness, queue.priority, accepted_ms + limit_ms)
