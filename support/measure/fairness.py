"""Section A, continued: quotas of 51 teams and start times of urgent work."""

import dataclasses
import random

from support.measure import dispatcher_simulation
from support.measure import tables
from support.measure import trace
from wagtailtiller import ids

_GATEWAYS = 8
_TEAMS = 51
_TRACE_MS = 180_000
_WARM_UP_MS = 20_000
_OVERLOAD = 1.6
_FLOOD_FACTOR = 10.0
_URGENT = trace.QueueShape("urgent", 300, 5_000, 0.3)
_NORMAL = trace.QueueShape("normal", 600, 15_000, 0.7)
_URGENT_START_LIMIT_MS = 1_500


def measure(seed: int) -> str:
    """Measure quotas and urgent work and return both tables."""
    return _measure_quotas(seed) + "\n" + _measure_urgent(seed)


def _measure_quotas(seed: int) -> str:
    """Overload a pool; one team sends ten times as much as its share."""
    rng = random.Random(seed)
    quotas = {f"team-{n:02d}": float(1 + n % 4) for n in range(_TEAMS)}
    queue = trace.QueueShape("work", 400, 10_000, 1.0)
    requests = _steady_trace(_OVERLOAD, queue, seed)
    names = list(quotas)
    weights = [quotas[name] for name in names]
    weights[0] *= _FLOOD_FACTOR
    requests = [
        dataclasses.replace(request, team=rng.choices(names, weights)[0])
        for request in requests
    ]
    view = dispatcher_simulation.pool_view([queue])
    run = dispatcher_simulation.DispatcherSimulation(
        _GATEWAYS, seed, view, quotas, _WARM_UP_MS
    )
    work_ms = run.run(requests).team_work_ms
    sum_ms = sum(work_ms.values())
    quota_sum = sum(quotas.values())
    ratios = sorted(
        work_ms.get(name, 0.0) / sum_ms * quota_sum / quota
        for name, quota in quotas.items()
    )
    rows = [
        ("teams", _TEAMS, ""),
        ("lowest share of quota", f"{ratios[0]:.3f}", ">= 0.900"),
        ("highest share of quota", f"{ratios[-1]:.3f}", "<= 1.100"),
        (
            "share of the flooding team",
            f"{work_ms[names[0]] / sum_ms * quota_sum / quotas[names[0]]:.3f}",
            "<= 1.100",
        ),
    ]
    title = "A. Quotas: slot time by team, as a part of its quota"
    return tables.table(title, ("what", "measured", "target"), rows)


def _steady_trace(
    load: float, queue: trace.QueueShape, seed: int
) -> list[trace.Request]:
    rng = random.Random(seed)
    arrivals_per_ms = load * trace.SLOTS * trace.VMS / queue.mean_ms
    requests: list[trace.Request] = []
    now_ms = 0.0
    while now_ms < _TRACE_MS:
        now_ms += rng.expovariate(arrivals_per_ms)
        requests.append(
            trace.Request(
                number=len(requests),
                arrival_ms=now_ms,
                gateway=rng.randrange(_GATEWAYS),
                queue=queue,
                team="",
                work_ms=rng.lognormvariate(5.75, 0.7),
            )
        )
    return requests


def _measure_urgent(seed: int) -> str:
    rows = []
    for load in (0.45, 0.70):
        requests = trace.bursty(
            load,
            trace.uneven(_GATEWAYS),
            _TRACE_MS,
            seed,
            (_URGENT, _NORMAL),
        )
        view = dispatcher_simulation.pool_view(
            (_URGENT, _NORMAL),
            priorities={"urgent": ids.Priority.URGENT},
        )
        run = dispatcher_simulation.DispatcherSimulation(_GATEWAYS, seed, view)
        result = run.run(requests)
        waits = result.waits_by_queue_ms["urgent"]
        waits.sort()
        late_count = sum(wait > _URGENT_START_LIMIT_MS for wait in waits)
        sent = sum(request.queue is _URGENT for request in requests)
        rows.append(
            (
                f"{load:.0%}, bursts of 5x",
                sent,
                len(waits),
                f"{waits[len(waits) * 99 // 100]:.0f}",
                f"{waits[-1]:.0f}",
                late_count,
            )
        )
    headings = (
        "case",
        "sent",
        "started",
        "start p99 ms",
        "start max ms",
        "over 1500 ms",
    )
    return tables.table("A. Urgent work: time to start", headings, rows)
