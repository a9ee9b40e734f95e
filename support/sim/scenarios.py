"""Scenarios with the load of a press and of an order desk, and a small one."""

import dataclasses

from support.sim import credit
from support.sim import load
from support.sim import world
from wagtailtiller import ids

_POOL_NAMES = ("proofs", "colours", "letters", "covers")
_POOLS = [ids.PoolId(name) for name in _POOL_NAMES]
_PEAK_FACTOR = 4.0
_SMALL_QUEUE = "proof-page"

_SMALL = load.JobKind(
    "",
    _POOLS[0],
    worth=0.5,
    late_share=0.07,
    per_s=1.0,
    steps=load.CappedLogNormal(1.6, 0.4, 4),
    width=load.CappedLogNormal(6, 0.6, 24),
    run_ms=load.CappedLogNormal(640, 0.5, 1_600),
    cpu_millicores=load.CappedLogNormal(1_800, 0.45, 5_300),
    memory_mb=load.CappedLogNormal(3_600, 0.6, 11_000),
)
_LARGE = dataclasses.replace(
    _SMALL,
    worth=3.6,
    steps=load.CappedLogNormal(2, 0.4, 5),
    width=load.CappedLogNormal(8, 0.6, 32),
    run_ms=load.CappedLogNormal(1_300, 0.5, 3_300),
    cpu_millicores=load.CappedLogNormal(3_800, 0.45, 11_000),
    memory_mb=load.CappedLogNormal(11_000, 0.6, 33_000),
    run_ms_sigma=0.15,
    estimate_sigma=0.9,
    checkpointing_share=0.8,
    max_attempts=4,
    priority=1,
)
_LONG_RUNNING = dataclasses.replace(
    _SMALL,
    worth=1.0,
    late_share=0.2,
    count=1,
    steps=load.CappedLogNormal(1, 0.01, 1),
    width=load.CappedLogNormal(5, 0.25, 8),
    run_ms=load.CappedLogNormal(500, 0.3, 1_000),
    cpu_millicores=load.CappedLogNormal(2_600, 0.2, 3_900),
    memory_mb=load.CappedLogNormal(17_000, 0.6, 52_000),
    long_running=True,
    lifetime_ms=load.CappedLogNormal(90_000, 0.5, 270_000),
    max_per_vm=2,
    max_unavailable_share=0.2,
    stretch=2.2,
    slack_ms=2_500,
)
_HEAVY_SMALL = dataclasses.replace(
    _SMALL,
    run_ms=load.CappedLogNormal(1_000, 0.5, 2_500),
    cpu_millicores=load.CappedLogNormal(4_600, 0.45, 14_000),
    memory_mb=load.CappedLogNormal(13_000, 0.6, 39_000),
)
_HEAVY_LARGE = dataclasses.replace(
    _LARGE,
    worth=3.9,
    run_ms=load.CappedLogNormal(2_100, 0.5, 5_200),
    cpu_millicores=load.CappedLogNormal(9_900, 0.45, 30_000),
    memory_mb=load.CappedLogNormal(28_000, 0.6, 85_000),
    run_ms_sigma=0.3,
    estimate_sigma=0.2,
    failing_share=0.03,
)
_HEAVY_LONG_RUNNING = dataclasses.replace(
    _LONG_RUNNING,
    worth=0.6,
    cpu_millicores=load.CappedLogNormal(6_000, 0.2, 9_000),
    memory_mb=load.CappedLogNormal(35_000, 0.6, 110_000),
)


def pages(seed: int = 1) -> world.Scenario:
    """Return a day of a press with a demand peak in each of four pools.

    Callers' estimates of large jobs' run times are inaccurate.

    Args:
        seed: Seed of all random numbers.
    """
    small_jobs = dataclasses.replace(_SMALL, failing_share=0.01)
    batch_kinds = [
        _make_kind(small_jobs, "proof-page", 0, 4.8),
        _make_kind(_LARGE, "spread-render", 1, 0.75),
        _make_kind(small_jobs, "letter-preview", 2, 6.0),
        _make_kind(_LARGE, "cover-render", 3, 0.92),
    ]
    long_running = [
        _make_kind(_LONG_RUNNING, f"l{n}", n, 0) for n in range(len(_POOLS))
    ]
    return world.Scenario(
        [*batch_kinds, *long_running],
        load.DemandCycle(5_000, len(_POOLS), _PEAK_FACTOR),
        34_000,
        {**dict.fromkeys(_POOLS, 6), world.STANDBY: 6},
        processes=6,
        seed=seed,
    )


def signs(seed: int = 1) -> world.Scenario:
    """Return a day of a shared order desk with few jobs that have large tasks.

    Args:
        seed: Seed of all random numbers.
    """
    batch_kinds = [
        _make_kind(_HEAVY_SMALL, "quote", 0, 2.4),
        _make_kind(_HEAVY_LARGE, "nest-cut", 1, 0.36),
        _make_kind(_HEAVY_SMALL, "tender", 2, 3.0),
        _make_kind(_HEAVY_LARGE, "print-sep", 3, 0.44),
    ]
    long_running = [
        _make_kind(_HEAVY_LONG_RUNNING, f"l{n}", n, 0)
        for n in range(len(_POOLS))
    ]
    return world.Scenario(
        [*batch_kinds, *long_running],
        load.DemandCycle(4_000, len(_POOLS), _PEAK_FACTOR),
        34_000,
        {**dict.fromkeys(_POOLS, 8), world.STANDBY: 8},
        processes=6,
        millicores=64_000,
        memory_mb=262_144,
        prices=credit.Prices(0.049, 0.056, 0.0025, worst_kind=0.3),
        seed=seed,
    )


def two_sizes(seed: int = 1) -> world.Scenario:
    """Return the small day with one much stronger entry VM of three.

    Pools are handed over to it when it returns.

    Args:
        seed: Seed of all random numbers.
    """
    return dataclasses.replace(small(seed), strong_processes=1)


def crashing(seed: int = 1) -> world.Scenario:
    """Return the small day, for 10 s, with tasks that crash their VMs.

    One task of a tenth of the small jobs crashes each VM that starts it.

    Args:
        seed: Seed of all random numbers.
    """
    scenario = small(seed, length_ms=10_000)
    return dataclasses.replace(
        scenario,
        kinds=[
            dataclasses.replace(kind, crashing_share=0.1)
            if kind.name == _SMALL_QUEUE
            else kind
            for kind in scenario.kinds
        ],
    )


def shrinking(seed: int = 1) -> world.Scenario:
    """Return a busier small day whose VMs start whatever they are told to.

    Args:
        seed: Seed of all random numbers.
    """
    scenario = small(seed, length_ms=12_000)
    kinds = [
        dataclasses.replace(kind, per_s=3 * kind.per_s)
        for kind in scenario.kinds
    ]
    return dataclasses.replace(scenario, kinds=kinds, guards_capacity=False)


def split(seed: int = 1) -> world.Scenario:
    """Return the small day, for 14 s, during which pools are split.

    Args:
        seed: Seed of all random numbers.
    """
    return small(seed, length_ms=14_000)


def returning(seed: int = 1) -> world.Scenario:
    """Return the small day, for 14 s, with VMs that grant long leases.

    Args:
        seed: Seed of all random numbers.
    """
    scenario = small(seed, length_ms=14_000)
    return dataclasses.replace(scenario, max_lease_ms=10_000)


def small(seed: int = 1, length_ms: int = 8_000) -> world.Scenario:
    """Return a day of two pools under light load, for tests with faults.

    Args:
        seed: Seed of all random numbers.
        length_ms: Time during which jobs are sent.
    """
    long_running = dataclasses.replace(
        _LONG_RUNNING,
        width=load.CappedLogNormal(3, 0.2, 3),
        max_per_vm=1,
        count=2,
    )
    short_lived = dataclasses.replace(
        long_running, lifetime_ms=load.CappedLogNormal(5_000, 0.5, 12_000)
    )
    kinds = [
        _make_kind(
            dataclasses.replace(_SMALL, failing_share=0.05),
            _SMALL_QUEUE,
            0,
            2.0,
        ),
        _make_kind(_LARGE, "spread-render", 1, 0.5),
        _make_kind(long_running, "index", 0, 0),
        _make_kind(short_lived, "print", 1, 0),
    ]
    return world.Scenario(
        kinds,
        load.DemandCycle(2_500, 2, 2.0),
        length_ms,
        {_POOLS[0]: 4, _POOLS[1]: 4, world.STANDBY: 3},
        seed=seed,
    )


def _make_kind(
    kind: load.JobKind, name: str, pool_index: int, per_s: float
) -> load.JobKind:
    return dataclasses.replace(
        kind, name=name, pool=_POOLS[pool_index], per_s=per_s
    )
