"""Runs seeded schedules for ``make fuzz``, for a time or up to a count.

For each failing schedule it prints the seed, the first violation and the
smallest number of steps that still fails.
"""

import argparse
import collections
from collections.abc import Iterator
from concurrent import futures
import dataclasses
import itertools
import time

from support.fuzz import schedules

_BATCH_SIZE = 50


@dataclasses.dataclass
class Batch:
    """Results of a batch of schedules.

    Attributes:
        schedules: Number of schedules.
        requests: Number of requests.
        runs: Number of runs.
        outcome_counts: Number of requests by outcome.
        violations: Seed and first violation of each failing schedule.
    """

    schedules: int = 0
    requests: int = 0
    runs: int = 0
    outcome_counts: "collections.Counter[str]" = dataclasses.field(
        default_factory=collections.Counter
    )
    violations: list[tuple[int, str]] = dataclasses.field(default_factory=list)


def run_batch(first_seed: int) -> Batch:
    """Run the schedules of a batch of consecutive seeds."""
    batch = Batch()
    for seed in range(first_seed, first_seed + _BATCH_SIZE):
        world = schedules.run_one(seed)
        batch.schedules += 1
        batch.requests += len(world.requests)
        batch.runs += len(world.oracle.runs)
        for outcome, count in world.oracle.outcome_counts.items():
            batch.outcome_counts[outcome.value] += count
        if world.oracle.violations:
            batch.violations.append((seed, world.oracle.violations[0]))
    return batch


def min_failing_steps(seed: int) -> int:
    """Return the smallest number of steps after which a schedule fails."""
    min_steps, max_steps = 1, schedules.STEPS
    while min_steps < max_steps:
        middle = (min_steps + max_steps) // 2
        if schedules.run_one(seed, middle).oracle.violations:
            max_steps = middle
        else:
            min_steps = middle + 1
    return min_steps


def _batches(
    first_seed: int, count: int, deadline_s: float, processes: int
) -> Iterator[Batch]:
    seeds = itertools.count(first_seed, _BATCH_SIZE)
    if count:
        seeds = itertools.islice(seeds, -(-count // _BATCH_SIZE))  # type: ignore[assignment]
    with futures.ProcessPoolExecutor(processes) as pool:
        pending_futures = {
            pool.submit(run_batch, seed)
            for seed in itertools.islice(seeds, processes * 2)
        }
        while pending_futures:
            done, pending_futures = futures.wait(
                pending_futures, return_when=futures.FIRST_COMPLETED
            )
            for each in done:
                yield each.result()
                if time.monotonic() < deadline_s:
                    pending_futures |= {
                        pool.submit(run_batch, seed)
                        for seed in itertools.islice(seeds, 1)
                    }


def main() -> int:
    """Run the schedules that the command line selects.

    Returns:
        Exit code; 1 if a schedule failed.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--schedules", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--processes", type=int, default=4)
    options = parser.parse_args()
    total = Batch()
    deadline_s = time.monotonic() + options.seconds
    for batch in _batches(
        options.seed * 1_000_000,
        options.schedules,
        deadline_s,
        options.processes,
    ):
        total.schedules += batch.schedules
        total.requests += batch.requests
        total.runs += batch.runs
        total.outcome_counts += batch.outcome_counts
        total.violations += batch.violations
    for seed, violation in sorted(total.violations):
        steps = min_failing_steps(seed)
        print(f"broken: seed={seed} steps={steps}: {violation}")
    counts = " ".join(
        f"{k}={v}" for k, v in sorted(total.outcome_counts.items())
    )
    print(
        f"fuzz: schedules={total.schedules} requests={total.requests}"
        f" runs={total.runs} {counts} broken={len(total.violations)}"
    )
    return 1 if total.violations else 0


if __name__ == "__main__":
    raise SystemExit(main())
