"""Section A: work finished in time, against baselines and the bound."""

from support.measure import dispatched
from support.measure import local
from support.measure import results
from support.measure import shared_queue
from support.measure import tables
from support.measure import trace

_GATEWAYS = 8
_DURATION_MS = 180_000
_CASES = (
    ("even, 45%", 0.45, trace.even(_GATEWAYS)),
    ("uneven 1:4.5, 45%", 0.45, trace.uneven(_GATEWAYS)),
    ("even, 70%", 0.70, trace.even(_GATEWAYS)),
    ("uneven 1:4.5, 70%", 0.70, trace.uneven(_GATEWAYS)),
)


def measure(seed: int) -> str:
    """Run every case and return the table."""
    rows = []
    for name, load, weights in _CASES:
        requests = trace.bursty(load, weights, _DURATION_MS, seed)
        rows += _case(name, requests, seed)
    return tables.table(
        "A. Placement: work finished in time, as a part of the bound",
        (
            "case",
            "rule",
            "work/bound",
            "requests/bound",
            "late %",
            "wait p99 ms",
            "B/s a gateway",
        ),
        rows,
    )


def _case(
    name: str, requests: list[trace.Request], seed: int
) -> list[tuple[object, ...]]:
    slots = trace.SLOTS * trace.VMS
    bounds = shared_queue.bound(requests, slots)
    best_work_ms, best_count = shared_queue.best(bounds)
    runs: dict[str, results.Results] = {
        f"shared, {order.value}": result for order, result in bounds.items()
    }
    for rule in local.Rule:
        gateways = local.LocalGateways(rule, _GATEWAYS, seed)
        runs[rule.value] = gateways.run(requests)
    view = dispatched.pool_view(trace.QUEUES)
    runs["dispatcher (ours)"] = dispatched.Dispatched(
        _GATEWAYS, seed, view
    ).run(requests)
    return [
        (
            name,
            rule,
            f"{run.work_on_time_ms / best_work_ms:.3f}",
            f"{run.on_time / best_count:.3f}",
            f"{100 * run.late_share():.2f}",
            f"{run.wait_ms(0.99):.0f}",
            f"{run.message_bytes / _DURATION_MS * 1_000 / _GATEWAYS:.0f}",
        )
        for rule, run in runs.items()
    ]
