"""Simulated days of the entry processes, by fault scenario."""

from support.measure import tables
from support.sim import run

_SEED_COUNT = 4


def measure(seed: int) -> str:
    """Simulate days of each scenario with each kind of trouble.

    Args:
        seed: Seed of the first day; the following days use the next seeds.

    Returns:
        Table of means over the days. ``worth``, ``served`` and ``machines`` are
        relative to the credit owed, the value of all jobs if each is on time.
    """
    rows = []
    for scenario in sorted(run.SCENARIOS):
        for trouble in run.TROUBLES:
            rows.append(_row(scenario, trouble, seed))
    headings = ("scenario", "trouble", "worth", "served", "machines", "moves")
    return tables.table("days", headings, rows)


def _row(scenario: str, trouble: str, seed: int) -> tuple[object, ...]:
    reports = [
        run.evaluate(run.simulate(scenario, trouble, seed + number))
        for number in range(_SEED_COUNT)
    ]
    values = [(r.worth(), r.served, r.machines, r.move_count) for r in reports]
    means = [sum(column) / _SEED_COUNT for column in zip(*values, strict=True)]
    *shares, moves = means
    formatted_shares = [f"{share:.3f}" for share in shares]
    return (scenario, trouble, *formatted_shares, f"{moves:.0f}")
