"""Seeded request traces: bursty queues spread over gateways."""

from collections.abc import Sequence
import dataclasses
import math
import random

SLOTS = 8
VMS = 6
CYCLE_MS = 45_000
BURST_MS = 6_000
LULL_MS = 8_000
_BURST_FACTOR = 5.0
_LULL_FACTOR = 0.05
_SIGMA = 0.7


@dataclasses.dataclass(frozen=True)
class QueueShape:
    """What the requests of a queue are like.

    Attributes:
        name: The queue.
        mean_ms: Mean run time; log-normal.
        deadline_ms: Every request's deadline.
        share: Its part of the arrivals.
    """

    name: str
    mean_ms: float
    deadline_ms: int
    share: float


QUEUES = (
    QueueShape("short", 300, 2_000, 0.4),
    QueueShape("medium", 500, 5_000, 0.35),
    QueueShape("long", 900, 15_000, 0.25),
)


@dataclasses.dataclass(frozen=True)
class Request:
    """One request of a trace; times in milliseconds from its start."""

    number: int
    arrival_ms: float
    gateway: int
    queue: QueueShape
    team: str
    work_ms: float

    @property
    def deadline_ms(self) -> float:
        """When its caller gives up."""
        return self.arrival_ms + self.queue.deadline_ms


def burst_factor(now_ms: float) -> float:
    """Return the load at a time as a part of its mean over a cycle."""
    phase_ms = now_ms % CYCLE_MS
    if phase_ms < BURST_MS:
        return _BURST_FACTOR
    if phase_ms < BURST_MS + LULL_MS:
        return _LULL_FACTOR
    calm_ms = CYCLE_MS - BURST_MS - LULL_MS
    used_ms = _BURST_FACTOR * BURST_MS + _LULL_FACTOR * LULL_MS
    return (CYCLE_MS - used_ms) / calm_ms


def bursty(
    load: float,
    weights: Sequence[float],
    duration_ms: int,
    seed: int,
    queues: Sequence[QueueShape] = QUEUES,
    slots: int = SLOTS * VMS,
) -> list[Request]:
    """Make a trace whose mean load is a given part of the slots.

    Args:
        load: Mean load, such as 0.45.
        weights: How often each gateway is picked.
        duration_ms: How long requests arrive.
        seed: Seeds every choice.
        queues: What arrives.
        slots: The slots that the load refers to.
    """
    source = random.Random(seed)
    mean_ms = sum(queue.mean_ms * queue.share for queue in queues)
    base_per_ms = load * slots / mean_ms
    requests: list[Request] = []
    now_ms = 0.0
    while now_ms < duration_ms:
        now_ms += source.expovariate(base_per_ms * burst_factor(now_ms))
        queue = source.choices(queues, [q.share for q in queues])[0]
        location = math.log(queue.mean_ms) - _SIGMA**2 / 2
        requests.append(
            Request(
                number=len(requests),
                arrival_ms=now_ms,
                gateway=source.choices(range(len(weights)), weights)[0],
                queue=queue,
                team="team",
                work_ms=source.lognormvariate(location, _SIGMA),
            )
        )
    return requests


def even(gateways: int) -> list[float]:
    """Weights of an even balancer."""
    return [1.0] * gateways


def uneven(gateways: int, ratio: float = 4.5) -> list[float]:
    """Weights whose largest is a multiple of their smallest."""
    step = (ratio - 1) / (gateways - 1)
    return [1 + step * number for number in range(gateways)]
