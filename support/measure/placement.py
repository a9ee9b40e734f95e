"""Section A: work finished in time, compared to baselines and the bound."""

from support.measure import dispatcher_simulation
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
    """Run every case and return the table.

    Args:
        seed: Seed of the traces and of the placement.
    """
    rows = []
    for name, load, weights in _CASES:
        requests = trace.bursty(load, weights, _DURATION_MS, seed)
        rows += _measure_case(name, requests, seed)
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


def _measure_case(
    name: str, requests: list[trace.Request], seed: int
) -> list[tuple[object, ...]]:
    slots = trace.SLOTS * trace.VMS
    shared_results = shared_queue.run_all_orders(requests, slots)
    best_work_ms, best_count = shared_queue.best_on_time(shared_results)
    result_by_rule: dict[str, results.Results] = {
        f"shared, {order.value}": result
        for order, result in shared_results.items()
    }
    for rule in local.Rule:
        placement = local.LocalPlacement(rule, _GATEWAYS, seed)
        result_by_rule[rule.value] = placement.run(requests)
    view = dispatcher_simulation.pool_view(trace.QUEUES)
    result_by_rule["dispatcher (ours)"] = (
        dispatcher_simulation.DispatcherSimulation(_GATEWAYS, seed, view).run(
            requests
        )
    )
    return [
        (
            name,
            rule,
            f"{result.work_on_time_ms / best_work_ms:.3f}",
            f"{result.on_time / best_count:.3f}",
            f"{100 * result.late_share():.2f}",
            f"{result.wait_ms(0.99):.0f}",
            f"{result.message_bytes / _DURATION_MS * 1_000 / _GATEWAYS:.0f}",
        )
        for rule, result in result_by_rule.items()
    ]
