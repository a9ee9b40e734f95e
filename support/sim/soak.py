"""Runs many small days with random faults and prints the violations.

Run as ``python -m support.sim.soak [--days N] [--seed N]
[--scenario NAME]``.
"""

import argparse
import time

from support.sim import faults
from support.sim import scenarios
from support.sim import world as world_module

_MAX_FAULTS = 6


SCENARIOS = {
    "small": scenarios.small,
    "two-sizes": scenarios.two_sizes,
    "shrinking": scenarios.shrinking,
    "partitions": scenarios.split,
    "returning": scenarios.returning,
    "late-calls": scenarios.returning,
    "late-acknowledgements": scenarios.returning,
}
_SHRINKING_FAULTS = 8
_MAX_PARTITIONS = 3
_MAX_RETURNS = 4
# Many other faults would leave no owner that a partition could cut off.
_MAX_FAULTS_WITH_PARTITIONS = 3


def simulate(
    seed: int, scenario_name: str = "small"
) -> tuple[list[faults.Fault], world_module.World]:
    """Run the day of a seed.

    Args:
        seed: Seed of the day and of its faults.
        scenario_name: Name from ``SCENARIOS``.

    Returns:
        The injected faults and the final state of the day.
    """
    scenario = SCENARIOS[scenario_name](seed)
    drawn_faults = _draw_faults(seed, scenario_name, scenario.length_ms)
    return drawn_faults, world_module.simulate(
        scenario, faults.schedule(drawn_faults)
    )


def _draw_faults(
    seed: int, scenario_name: str, length_ms: int
) -> list[faults.Fault]:
    match scenario_name:
        case "shrinking":
            return faults.draw(
                seed, 1 + seed % _MAX_FAULTS, length_ms
            ) + faults.shrinking_vms(seed, _SHRINKING_FAULTS, length_ms)
        case "partitions":
            return faults.draw(
                seed, seed % _MAX_FAULTS_WITH_PARTITIONS, length_ms
            ) + faults.split_pools(
                seed,
                1 + seed // _MAX_FAULTS_WITH_PARTITIONS % _MAX_PARTITIONS,
                length_ms,
            )
        case "returning":
            return faults.returning_vms(
                seed, 1 + seed % _MAX_RETURNS, length_ms
            )
        case "late-calls":
            return faults.late_calls_to_former_lives(
                seed, 1 + seed % _MAX_RETURNS, length_ms
            )
        case "late-acknowledgements":
            return faults.late_acknowledgements(
                seed, 1 + seed % _MAX_RETURNS, length_ms
            )
        case _:
            return faults.draw(seed, 1 + seed % _MAX_FAULTS, length_ms)


def main() -> int:
    """Run the days of consecutive seeds.

    Returns:
        Exit code; 1 if any guarantee was violated.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--days", type=int, default=50)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--scenario", choices=SCENARIOS, default="small")
    options = parser.parse_args()
    start_s = time.monotonic()
    violating_days = 0
    for seed in range(options.seed, options.seed + options.days):
        drawn_faults, world = simulate(seed, options.scenario)
        print(f"{seed}", end=" ", flush=True)
        if not world.oracle.violations:
            continue
        violating_days += 1
        print(f"seed {seed}: {', '.join(str(fault) for fault in drawn_faults)}")
        for line in world.oracle.violations[:4]:
            print(f"    {line}")
    print(
        f"{options.days} days, {violating_days} with violations,"
        f" {time.monotonic() - start_s:.0f} s"
    )
    return 1 if violating_days else 0


if __name__ == "__main__":
    raise SystemExit(main())
