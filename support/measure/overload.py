"""Compares orders of starts and the admission of an overloaded pool."""

from collections.abc import Iterable

from support import overload_lab
from support.measure import tables
from wagtailtiller.jobs import model
from wagtailtiller.scheduling import ranking

_VMS = 8
_CYCLES = 5
# Bursts of 1.6 to 2.5 times the rate may coincide with a peak.
_BURST = 1.6
_PERIOD_MS = 20_000
_PEAK_MS = 5_000
# Rates of the fullest queues of the first deployment, for 8 of 43 VMs.
_SHORT_PER_S = 13.7 * _VMS / 43
_LARGE_PER_S = 3.5 * _VMS / 43
_Order = dict[model.JobId, ranking.Placing]


def _sorted_order(
    contenders: Iterable[ranking.Contender],
    key: object,
) -> _Order:
    groups: dict[ranking.Group, list[ranking.Contender]] = {}
    for contender in contenders:
        # Groups other than ON_TIME are ordered by position.
        group = {0: 1, 1: 2, 2: 3}[int(contender.lateness)]
        groups.setdefault(ranking.Group(group), []).append(contender)
    return {
        contender.job: ranking.Placing(group, position, 0)
        for group, members in groups.items()
        for position, contender in enumerate(sorted(members, key=key))  # type: ignore
    }


def _deadline_order(
    contenders: Iterable[ranking.Contender], now_ms: int, take_tag: object
) -> _Order:
    del now_ms, take_tag
    return _sorted_order(
        contenders, lambda c: (c.priority, c.deadline_ms, c.job)
    )


def _density_order(
    contenders: Iterable[ranking.Contender], now_ms: int, take_tag: object
) -> _Order:
    del now_ms, take_tag
    return _sorted_order(
        contenders,
        lambda c: (c.priority, -c.loss / max(1e-6, c.work_ms), c.job),
    )


def _feasible_order(
    contenders: Iterable[ranking.Contender], now_ms: int, take_tag: object
) -> _Order:
    """Earliest deadline first; a job that does not fit is deferred itself."""
    del take_tag
    punctual = sorted(contenders, key=lambda c: (c.priority, c.deadline_ms))
    total_ms = 0.0
    fitting = set()
    for contender in punctual:
        if total_ms <= contender.latest_start_ms - now_ms:
            total_ms += contender.work_ms
            fitting.add(contender.job)
    return _sorted_order(
        punctual,
        lambda c: (c.job not in fitting, c.priority, c.deadline_ms, c.job),
    )


def _equal_density_order(
    contenders: Iterable[ranking.Contender], now_ms: int, take_tag: object
) -> _Order:
    """Moore-Hodgson: the job that needs most capacity is deferred."""
    del take_tag
    changed = [_replace(c, loss=1.0, protected=False) for c in contenders]
    return ranking.order(changed, now_ms)


def _unprotected_order(
    contenders: Iterable[ranking.Contender], now_ms: int, take_tag: object
) -> _Order:
    del take_tag
    return ranking.order(
        [_replace(c, protected=False) for c in contenders], now_ms
    )


def _one_class_order(
    contenders: Iterable[ranking.Contender], now_ms: int, take_tag: object
) -> _Order:
    """The mixture, with priority as a factor of the value."""
    del take_tag
    changed = [
        _replace(c, priority=0, loss=c.loss * (1.0 if c.priority else 2.0))
        for c in contenders
    ]
    return ranking.order(changed, now_ms)


def _replace(
    contender: ranking.Contender, **changes: object
) -> ranking.Contender:
    fields = {
        name: getattr(contender, name) for name in contender.__struct_fields__
    }
    return ranking.Contender(**{**fields, **changes})  # type: ignore


ORDERS: dict[str, object] = {
    "today": None,
    "deadline, feasible": _feasible_order,
    "deadline": _deadline_order,
    "value density": _density_order,
    "Moore-Hodgson": _equal_density_order,
    "mixture, no protection": _unprotected_order,
    "mixture, one class": _one_class_order,
    "mixture": ranking.order,
}


def day(
    name: str, kinds: dict[overload_lab.Kind, float], seed: int
) -> overload_lab.Lab:
    """Run two periods of peaks under one order.

    Args:
        name: Name of the order.
        kinds: Mean number of jobs per second of each kind.
        seed: Seed of all random numbers.
    """
    function = ORDERS[name]
    lab = overload_lab.Lab(_VMS, list(kinds), function is not None, seed=seed)
    if function is not None:
        lab.pool.cost_order.order_function = function  # type: ignore
    for cycle in range(_CYCLES):
        start_ms = cycle * _PERIOD_MS
        for kind, per_s in kinds.items():
            lab.arrive(kind, start_ms, start_ms + _PEAK_MS, 4 * _BURST * per_s)
            lab.arrive(
                kind, start_ms + _PEAK_MS, start_ms + _PERIOD_MS, per_s / 20
            )
    lab.run(_CYCLES * _PERIOD_MS)
    lab.drain()
    return lab


def measure(seed: int) -> str:
    """Measure the orders on one queue of each kind and on both together.

    Args:
        seed: Seed of the arrivals.

    Returns:
        Table of what the callers got.
    """
    loads = {
        "short": {overload_lab.SHORT: _SHORT_PER_S},
        "large": {overload_lab.LARGE: _LARGE_PER_S},
        "both": {
            overload_lab.SHORT: 0.5 * _SHORT_PER_S,
            overload_lab.LARGE: 0.5 * _LARGE_PER_S,
        },
        "urgent": {
            overload_lab.SHORT: 1.2 * _SHORT_PER_S,
            overload_lab.LARGE: 0.3 * _LARGE_PER_S,
        },
    }
    rows = [
        _row(load_name, name, day(name, kinds, seed), list(kinds))
        for load_name, kinds in loads.items()
        for name in ORDERS
    ]
    headings = (
        "load",
        "order",
        "jobs",
        "value",
        "queue: on time, fifth, tenth, refused",
    )
    return tables.table("overload", headings, rows)


def _row(
    load_name: str,
    name: str,
    lab: overload_lab.Lab,
    kinds: list[overload_lab.Kind],
) -> tuple[object, ...]:
    got = 0.0
    possible = 0.0
    details = []
    for kind in kinds:
        jobs = [j for j in lab.jobs.values() if j.kind == kind]
        result = overload_lab.score(jobs)
        worth = kind.worth * len(jobs)
        got += worth * result.value
        possible += worth
        details.append(
            f"{kind.name} {result.on_time:.2f} {result.upper:.2f}"
            f" {result.top:.2f} {result.refused:.2f}"
        )
    return (
        load_name,
        name,
        len(lab.jobs),
        f"{got / possible:.3f}",
        ", ".join(details),
    )


if __name__ == "__main__":
    print(measure(1))
