"""Whole days of the entry processes in virtual time, by trouble."""

from support.measure import tables
from support.sim import run

_SEEDS = 4


def measure(seed: int) -> str:
    """Play days of both scenarios under each trouble.

    Args:
        seed: The first of the days' seeds.

    Returns:
        A table; shares are of the credit that was owed, means over the days.
    """
    rows = []
    for scenario in sorted(run.SCENARIOS):
        for trouble in run.TROUBLES:
            rows.append(_row(scenario, trouble, seed))
    heads = ("scenario", "trouble", "worth", "served", "machines", "moves")
    return tables.table("days", heads, rows)


def _row(scenario: str, trouble: str, seed: int) -> tuple[object, ...]:
    reports = [
        run.evaluate(run.simulate(scenario, trouble, seed + number))
        for number in range(_SEEDS)
    ]
    figures = [(r.worth(), r.served, r.machines, r.move_count) for r in reports]
    means = [sum(column) / _SEEDS for column in zip(*figures, strict=True)]
    *shares, moves = means
    texts = [f"{share:.3f}" for share in shares]
    return (scenario, trouble, *texts, f"{moves:.0f}")
