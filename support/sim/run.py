"""Runs simulated days and prints their scores.

Run as ``python -m support.sim.run [--days N] [--seed N]``.
"""

import argparse
import time

from support.sim import credit
from support.sim import faults
from support.sim import scenarios
from support.sim import world as world_module

TROUBLES = {
    "none": [],
    "rolling-restart": faults.rolling_restart(9),
    "power-off": faults.process_outage(),
    "rack-dark": faults.rack_outage(),
    "cut-off": faults.partition(),
    "slow-vms": faults.slow_vms(),
}
SCENARIOS = {"pages": scenarios.pages, "signs": scenarios.signs}


def simulate(scenario: str, trouble: str, seed: int) -> world_module.World:
    """Run one day.

    Args:
        scenario: Name from ``SCENARIOS``.
        trouble: Name of a fault plan from ``TROUBLES``.
        seed: Seed of all random numbers.
    """
    injector = faults.schedule(TROUBLES[trouble])
    return world_module.simulate(SCENARIOS[scenario](seed), injector)


def evaluate(world: world_module.World) -> credit.Report:
    """Evaluate a completed day."""
    late_shares = {kind.name: kind.late_share for kind in world.scenario.kinds}
    return credit.evaluate(
        world.jobs,
        late_shares,
        world.fleet,
        world.oracle,
        world.scenario.prices,
    )


def main() -> int:
    """Run the days of consecutive seeds; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--days", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--scenario", choices=sorted(SCENARIOS))
    parser.add_argument("--trouble", choices=sorted(TROUBLES), default="none")
    options = parser.parse_args()
    scenario_names = (
        [options.scenario] if options.scenario else sorted(SCENARIOS)
    )
    for scenario in scenario_names:
        _run_and_print(
            scenario,
            options.trouble,
            range(options.seed, options.seed + options.days),
        )
    return 0


def _run_and_print(scenario: str, trouble: str, seeds: range) -> None:
    worths = []
    for seed in seeds:
        start_s = time.monotonic()
        world = simulate(scenario, trouble, seed)
        report = evaluate(world)
        print(
            f"{scenario} {seed}: worth {report.worth():.3f} served"
            f" {report.served:.3f} machines {report.machines:.3f} moves"
            f" {report.moves:.3f} ({report.move_count}) waste"
            f" {report.waste:.3f} refused {report.refused} late"
            f" {report.late} of {report.jobs};"
            f" {time.monotonic() - start_s:.0f} s"
        )
        shares = sorted(report.share_by_kind.items())
        print(
            "    " + ", ".join(f"{kind} {share:.3f}" for kind, share in shares)
        )
        for line in world.oracle.violations[:10]:
            print(f"    {line}")
        worths.append(report.worth())
    print(f"{scenario}: worth {sum(worths) / len(worths):.3f} on average")


if __name__ == "__main__":
    raise SystemExit(main())
