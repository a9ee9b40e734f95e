"""``make fuzz``: runs seeded schedules for a time or up to a count.

A failing schedule prints its seed, what broke, and the shortest number of
steps that still breaks it.
"""

import argparse
import collections
from collections.abc import Iterator
from concurrent import futures
import dataclasses
import itertools
import time

from support.fuzz import schedules

_BATCH = 50


@dataclasses.dataclass
class Batch:
    """What a batch of schedules came to."""

    schedules: int = 0
    requests: int = 0
    runs: int = 0
    told: "collections.Counter[str]" = dataclasses.field(
        default_factory=collections.Counter
    )
    broken: list[tuple[int, str]] = dataclasses.field(default_factory=list)


def run_batch(first_seed: int) -> Batch:
    """Run a batch of consecutive seeds."""
    batch = Batch()
    for seed in range(first_seed, first_seed + _BATCH):
        world = schedules.run_one(seed)
        batch.schedules += 1
        batch.requests += len(world.requests)
        batch.runs += len(world.oracle.runs)
        for told, count in world.oracle.told.items():
            batch.told[told.value] += count
        if world.oracle.broken:
            batch.broken.append((seed, world.oracle.broken[0]))
    return batch


def shortest_steps(seed: int) -> int:
    """Return the fewest steps after which a schedule is still broken."""
    low, high = 1, schedules.STEPS
    while low < high:
        middle = (low + high) // 2
        if schedules.run_one(seed, middle).oracle.broken:
            high = middle
        else:
            low = middle + 1
    return low


def _batches(
    first_seed: int, count: int, until_s: float, processes: int
) -> Iterator[Batch]:
    seeds = itertools.count(first_seed, _BATCH)
    if count:
        seeds = itertools.islice(seeds, -(-count // _BATCH))  # type: ignore[assignment]
    with futures.ProcessPoolExecutor(processes) as pool:
        waiting = {
            pool.submit(run_batch, seed)
            for seed in itertools.islice(seeds, processes * 2)
        }
        while waiting:
            done, waiting = futures.wait(
                waiting, return_when=futures.FIRST_COMPLETED
            )
            for each in done:
                yield each.result()
                if time.monotonic() < until_s:
                    waiting |= {
                        pool.submit(run_batch, seed)
                        for seed in itertools.islice(seeds, 1)
                    }


def main() -> int:
    """Fuzz as the command line says; not 0 when anything broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--schedules", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--processes", type=int, default=4)
    options = parser.parse_args()
    total = Batch()
    until_s = time.monotonic() + options.seconds
    for batch in _batches(
        options.seed * 1_000_000,
        options.schedules,
        until_s,
        options.processes,
    ):
        total.schedules += batch.schedules
        total.requests += batch.requests
        total.runs += batch.runs
        total.told += batch.told
        total.broken += batch.broken
    for seed, what in sorted(total.broken):
        steps = shortest_steps(seed)
        print(f"broken: seed={seed} steps={steps}: {what}")
    told = " ".join(f"{k}={v}" for k, v in sorted(total.told.items()))
    print(
        f"fuzz: schedules={total.schedules} requests={total.requests}"
        f" runs={total.runs} {told} broken={len(total.broken)}"
    )
    return 1 if total.broken else 0


if __name__ == "__main__":
    raise SystemExit(main())
