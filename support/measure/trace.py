"""Request traces of bursty queues, spread over gateways."""

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
    """Distribution of the requests of a queue.

    Attributes:
        name: Name of the queue.
        mean_ms: Mean of the log-normal run time.
        deadline_ms: Deadline of each request, relative to its arrival.
        share: Share of the arrivals.
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
    """Request of a trace.

    Attributes:
        number: Number of the request, starting at 0.
        arrival_ms: Time of arrival since the start of the trace.
        gateway: Number of the gateway that receives the request.
        queue: Queue of the request.
        team: Team of the caller.
        work_ms: Run time.
    """

    number: int
    arrival_ms: float
    gateway: int
    queue: QueueShape
    team: str
    work_ms: float

    @property
    def deadline_ms(self) -> float:
        """Time of the deadline since the start of the trace."""
        return self.arrival_ms + self.queue.deadline_ms


def burst_factor(now_ms: float) -> float:
    """Return the load at a time as a multiple of its mean over a cycle."""
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
    """Return a bursty trace with a given mean load.

    Args:
        load: Mean load as a share of the slots, such as 0.45.
        weights: Relative load of each gateway.
        duration_ms: Time during which requests arrive.
        seed: Seed of all random choices.
        queues: Distributions of the requests.
        slots: Number of slots that the load refers to.
    """
    rng = random.Random(seed)
    mean_ms = sum(queue.mean_ms * queue.share for queue in queues)
    mean_arrivals_per_ms = load * slots / mean_ms
    requests: list[Request] = []
    now_ms = 0.0
    while now_ms < duration_ms:
        now_ms += rng.expovariate(mean_arrivals_per_ms * burst_factor(now_ms))
        queue = rng.choices(queues, [q.share for q in queues])[0]
        location = math.log(queue.mean_ms) - _SIGMA**2 / 2
        requests.append(
            Request(
                number=len(requests),
                arrival_ms=now_ms,
                gateway=rng.choices(range(len(weights)), weights)[0],
                queue=queue,
                team="team",
                work_ms=rng.lognormvariate(location, _SIGMA),
            )
        )
    return requests


def even(gateways: int) -> list[float]:
    """Return equal weights for all gateways."""
    return [1.0] * gateways


def uneven(gateways: int, ratio: float = 4.5) -> list[float]:
    """Return evenly spaced weights from 1 to ``ratio``."""
    step = (ratio - 1) / (gateways - 1)
    return [1 + step * number for number in range(gateways)]
