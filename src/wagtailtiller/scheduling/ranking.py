"""Ranking of jobs, which determines the order in which their tasks start.

``rank`` compares two jobs by themselves. ``order`` looks at all waiting jobs of
an overloaded pool, and decides which of them are late so that the others are
not.
"""

from collections.abc import Callable
from collections.abc import Iterable
import enum
import heapq
from typing import NamedTuple

import msgspec

from wagtailtiller import ids
from wagtailtiller.jobs import job
from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue
from wagtailtiller.scheduling import cost

# A job that takes longer than this multiple of its target duration has no
# value.
ZERO_VALUE_FACTOR = cost.ZERO_VALUE_FACTOR
# Start tags of organisations that differ by less than this part of a pool's
# time are equal, so that among them the value by capacity decides.
_SHARE_QUANTUM_MS = 100.0
# Jobs beyond the weight of their organisation come after all that are within
# theirs: this is more than the share levels of a minute of a pool's time.
BEYOND_WEIGHT_LEVEL = 1_000
_MIN_WORK_MS = 1e-6


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


def target_duration_ms(
    critical_path_ms: int, terms: catalogue.QueueTerms
) -> int:
    """Return how long a job may take and still be on time.

    Args:
        critical_path_ms: Estimated duration of the job's critical path.
        terms: Terms of the job.
    """
    return int(terms.stretch * critical_path_ms) + terms.slack_ms


def rank(
    waiting_job: job.Job,
    accepted_ms: int,
    terms: catalogue.QueueTerms,
    now_ms: int,
) -> Rank:
    """Return the rank of a job.

    Args:
        waiting_job: Job to rank.
        accepted_ms: Time of acceptance, on the owner's clock.
        terms: Terms of the job.
        now_ms: Current time, on the owner's clock.
    """
    if waiting_job.long_running or waiting_job.spec.repeat_count:
        # The age of a repeated job says nothing about its latest occurrence.
        return Rank(Lateness.ON_TIME, terms.priority, accepted_ms)
    limit_ms = target_duration_ms(waiting_job.critical_path_ms, terms)
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
    return Rank(lateness, terms.priority, accepted_ms + limit_ms)


class Group(enum.IntEnum):
    """Group of a job in the order of an overloaded pool.

    ``ON_TIME`` jobs are planned to be on time. ``DEFERRED`` ones could be, but
    only instead of jobs whose delay costs more. ``LATE`` ones can only be late,
    and ``TOO_LATE`` ones have no value.
    """

    ON_TIME = 0
    DEFERRED = 1
    LATE = 2
    TOO_LATE = 3


class Contender(msgspec.Struct, frozen=True):
    """Waiting job of an overloaded pool.

    Attributes:
        job: Id of the job.
        lateness: Lateness at its earliest possible end.
        priority: Priority of its queue; 0 is the highest.
        accepted_ms: Time of acceptance, on the owner's clock.
        latest_start_ms: Time at which its remaining critical path must start
            for it to be on time, on the owner's clock.
        deadline_ms: Time at which its target duration ends, on the owner's
            clock; for a long-running job, the time of its acceptance.
        work_ms: Time for which its remaining work occupies the whole pool.
        loss: Value that is expected to be lost if it waits and becomes late; if
            it is late, the value that it still has.
        organisation: Organisation that submitted it.
        beyond_weight: Whether it was one more per second than its
            organisation's weight.
        protected: Whether jobs of its size are on time much less often than
            the other jobs of its queue.
    """

    job: model.JobId
    lateness: Lateness
    priority: int
    accepted_ms: int
    latest_start_ms: int
    deadline_ms: int
    work_ms: float
    loss: float
    organisation: ids.OrganisationId = catalogue.NO_ORGANISATION
    beyond_weight: bool = False
    protected: bool = False


class Placing(NamedTuple):
    """Place of a job in the order of an overloaded pool.

    Attributes:
        group: Group of the job.
        position: Position within the group, from 0.
        share_level: How far its organisation is above its share when the job's
            turn comes; 0 if it is not.
    """

    group: Group
    position: int
    share_level: int


TakeTag = Callable[[ids.OrganisationId, float], float]


def order(
    contenders: Iterable[Contender],
    now_ms: int,
    take_tag: TakeTag | None = None,
) -> dict[model.JobId, Placing]:
    """Order the waiting jobs of an overloaded pool.

    The jobs that can still be on time are looked at by their latest starts. If
    those looked at so far need more capacity than there is until the latest
    start of the next one, the one whose delay costs least is deferred: of the
    lowest priority, then of the organisation that is furthest above its share,
    then the one that loses the least value by the capacity that it needs. So a
    job gives way to another one that is more urgent, also to one of a lower
    priority, exactly as long as it is on time itself.

    Args:
        contenders: Waiting jobs.
        now_ms: Current time, on the owner's clock.
        take_tag: Returns the start tag of the next job of an organisation, by
            the time for which it occupies the pool; None if the pool is not
            shared.

    Returns:
        Place of each job.
    """
    by_lateness: dict[Lateness, list[Contender]] = {
        lateness: [] for lateness in Lateness
    }
    for contender in contenders:
        by_lateness[contender.lateness].append(contender)
    punctual = sorted(by_lateness[Lateness.ON_TIME], key=_by_deadline)
    levels = _share_levels(punctual, take_tag)
    on_time, deferred = _select(punctual, levels, now_ms)
    late = sorted(by_lateness[Lateness.LATE], key=_by_acceptance)
    levels.update(_share_levels(late, take_tag))
    groups = (
        on_time,
        sorted(deferred, key=lambda c: _delay_key(c, levels[c.job])),
        sorted(late, key=lambda c: _delay_key(c, levels[c.job])),
        sorted(by_lateness[Lateness.TOO_LATE], key=_by_acceptance),
    )
    return {
        contender.job: Placing(group, position, levels.get(contender.job, 0))
        for group, members in zip(Group, groups, strict=True)
        for position, contender in enumerate(members)
    }


_DelayKey = tuple[int, int, bool, float, str]


def _select(
    punctual: list[Contender], levels: dict[model.JobId, int], now_ms: int
) -> tuple[list[Contender], list[Contender]]:
    """Divide jobs into those planned to be on time and those deferred."""
    deferred: dict[model.JobId, Contender] = {}
    # The jobs selected so far; the one whose delay costs least comes first.
    selected: list[tuple[_DelayKey, Contender]] = []
    total_ms = 0.0
    for contender in punctual:
        if not contender.work_ms:
            # Long-running and repeated jobs have no deadline to be compared by.
            continue
        key = _delay_key(contender, levels[contender.job])
        heapq.heappush(selected, (_reversed(key), contender))
        total_ms += contender.work_ms
        left_ms = contender.latest_start_ms - now_ms
        while total_ms - contender.work_ms > left_ms:
            _, victim = heapq.heappop(selected)
            deferred[victim.job] = victim
            total_ms -= victim.work_ms
            if victim is contender:
                break
    on_time = [c for c in punctual if c.job not in deferred]
    return on_time, list(deferred.values())


def _delay_key(contender: Contender, share_level: int) -> _DelayKey:
    """Return a key that is lower the more the delay of a job costs."""
    return (
        contender.priority,
        share_level,
        not contender.protected,
        -contender.loss / max(_MIN_WORK_MS, contender.work_ms),
        contender.job,
    )


def _reversed(key: _DelayKey) -> _DelayKey:
    priority, share_level, unprotected, density, job_id = key
    return -priority, -share_level, not unprotected, -density, job_id


def _share_levels(
    contenders: list[Contender], take_tag: TakeTag | None
) -> dict[model.JobId, int]:
    """Return by how many quanta each job is above its organisation's share."""
    if take_tag is None:
        return dict.fromkeys((c.job for c in contenders), 0)
    tags = {c.job: take_tag(c.organisation, c.work_ms) for c in contenders}
    lowest = min(tags.values(), default=0.0)
    return {
        c.job: int((tags[c.job] - lowest) / _SHARE_QUANTUM_MS)
        + (BEYOND_WEIGHT_LEVEL if c.beyond_weight else 0)
        for c in contenders
    }


def _by_deadline(contender: Contender) -> tuple[int, model.JobId]:
    return contender.deadline_ms, contender.job


def _by_acceptance(contender: Contender) -> tuple[int, model.JobId]:
    return contender.accepted_ms, contender.job
