"""Section A, continued: quotas of 51 teams, and starts of urgent work."""

import dataclasses
import random

from support.measure import dispatched
from support.measure import tables
from support.measure import trace
from wagtailtiller import ids

_GATEWAYS = 8
_TEAMS = 51
_DURATION_MS = 180_000
_WARM_UP_MS = 20_000
_OVERLOAD = 1.6
_FLOOD_FACTOR = 10.0
_URGENT = trace.QueueShape("urgent", 300, 5_000, 0.3)
_NORMAL = trace.QueueShape("normal", 600, 15_000, 0.7)
_URGENT_LIMIT_MS = 1_500


def measure(seed: int) -> str:
    """Run both parts and return their tables."""
    return _quotas(seed) + "\n" + _urgent(seed)


def _quotas(seed: int) -> str:
    """Flood a pool: every team wants more than its quota, one ten times."""
    source = random.Random(seed)
    quotas = {f"team-{n:02d}": float(1 + n % 4) for n in range(_TEAMS)}
    queue = trace.QueueShape("work", 400, 10_000, 1.0)
    requests = _steady(_OVERLOAD, queue, seed)
    names = list(quotas)
    demand = [quotas[name] for name in names]
    demand[0] *= _FLOOD_FACTOR
    requests = [
        dataclasses.replace(each, team=source.choices(names, demand)[0])
        for each in requests
    ]
    view = dispatched.pool_view([queue])
    run = dispatched.Dispatched(_GATEWAYS, seed, view, quotas, _WARM_UP_MS)
    done = run.run(requests).team_work_ms
    total_ms = sum(done.values())
    whole = sum(quotas.values())
    ratios = sorted(
        done.get(name, 0.0) / total_ms * whole / quota
        for name, quota in quotas.items()
    )
    rows = [
        ("teams", _TEAMS, ""),
        ("lowest share of quota", f"{ratios[0]:.3f}", ">= 0.900"),
        ("highest share of quota", f"{ratios[-1]:.3f}", "<= 1.100"),
        (
            "share of the flooding team",
            f"{done[names[0]] / total_ms * whole / quotas[names[0]]:.3f}",
            "<= 1.100",
        ),
    ]
    title = "A. Quotas: slot time by team, as a part of its quota"
    return tables.table(title, ("what", "measured", "target"), rows)


def _steady(
    load: float, queue: trace.QueueShape, seed: int
) -> list[trace.Request]:
    source = random.Random(seed)
    per_ms = load * trace.SLOTS * trace.VMS / queue.mean_ms
    requests: list[trace.Request] = []
    now_ms = 0.0
    while now_ms < _DURATION_MS:
        now_ms += source.expovariate(per_ms)
        requests.append(
            trace.Request(
                number=len(requests),
                arrival_ms=now_ms,
                gateway=source.randrange(_GATEWAYS),
                queue=queue,
                team="",
                work_ms=source.lognormvariate(5.75, 0.7),
            )
        )
    return requests


def _urgent(seed: int) -> str:
    rows = []
    for load in (0.45, 0.70):
        requests = trace.bursty(
            load,
            trace.uneven(_GATEWAYS),
            _DURATION_MS,
            seed,
            (_URGENT, _NORMAL),
        )
        view = dispatched.pool_view(
            (_URGENT, _NORMAL),
            priorities={"urgent": ids.Priority.URGENT},
        )
        run = dispatched.Dispatched(_GATEWAYS, seed, view)
        result = run.run(requests)
        waits = result.waits_by_queue_ms["urgent"]
        waits.sort()
        over = sum(wait > _URGENT_LIMIT_MS for wait in waits)
        sent = sum(each.queue is _URGENT for each in requests)
        rows.append(
            (
                f"{load:.0%}, bursts of 5x",
                sent,
                len(waits),
                f"{waits[len(waits) * 99 // 100]:.0f}",
                f"{waits[-1]:.0f}",
                over,
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
