"""Days at the size of the two sites, and small ones for tests."""

from support.sim import load
from support.sim import world
from wagtailtiller import ids

_POOL_NAMES = ("proofs", "colours", "letters", "covers")
_POOLS = [ids.PoolId(name) for name in _POOL_NAMES]


def _small(
    name: str, pool: ids.PoolId, per_s: float, **fields: object
) -> load.Kind:
    plain: dict[str, object] = {
        "worth": 0.5,
        "late_share": 0.07,
        "steps": load.Spread(1.6, 0.4, 4),
        "width": load.Spread(6, 0.6, 24),
        "run_ms": load.Spread(640, 0.5, 1_600),
        "cpu_millicores": load.Spread(1_800, 0.45, 5_300),
        "memory_mb": load.Spread(3_600, 0.6, 11_000),
    }
    return load.Kind(name, pool, per_s=per_s, **{**plain, **fields})  # type: ignore


def _large(
    name: str, pool: ids.PoolId, per_s: float, **fields: object
) -> load.Kind:
    plain: dict[str, object] = {
        "worth": 3.6,
        "late_share": 0.07,
        "steps": load.Spread(2.0, 0.4, 5),
        "width": load.Spread(8, 0.6, 32),
        "run_ms": load.Spread(1_300, 0.5, 3_300),
        "cpu_millicores": load.Spread(3_800, 0.45, 11_000),
        "memory_mb": load.Spread(11_000, 0.6, 33_000),
        "uneven": 0.15,
        "estimate_off": 0.9,
        "checkpointing": 0.8,
        "max_attempts": 4,
        "priority": 1,
    }
    return load.Kind(name, pool, per_s=per_s, **{**plain, **fields})  # type: ignore


def _lasting(
    name: str, pool: ids.PoolId, per_s: float, most_tasks: int = 8
) -> load.Kind:
    return load.Kind(
        name,
        pool,
        worth=1.0,
        late_share=0.2,
        per_s=per_s,
        steps=load.Spread(1, 0.01, 1),
        width=load.Spread(5, 0.25, most_tasks),
        run_ms=load.Spread(500, 0.3, 1_000),
        cpu_millicores=load.Spread(2_600, 0.2, 3_900),
        memory_mb=load.Spread(17_000, 0.6, 52_000),
        lasting=True,
        stay_ms=load.Spread(90_000, 0.5, 270_000),
        apart=True,
        may_miss=0.2,
        stretch=2.2,
        slack_ms=2_500,
    )


def turning(seed: int = 1) -> world.Scenario:
    """Four pools whose demand turns, at the size of the smaller site."""
    proofs, colours, letters, covers = _POOLS
    kinds = [
        _small("proof-page", proofs, 5.4, poison=0.01),
        _large("spread-render", colours, 0.85),
        _small("letter-preview", letters, 6.8, poison=0.01),
        _large("cover-render", covers, 1.04),
        *(_lasting(f"lasting-{pool}", pool, 0.06) for pool in _POOLS),
    ]
    return world.Scenario(
        kinds,
        load.Turns(5_000, 4, 4.0),
        34_000,
        {**dict.fromkeys(_POOLS, 6), world.STANDBY: 6},
        processes=3,
        seed=seed,
    )


def small(seed: int = 1, length_ms: int = 8_000) -> world.Scenario:
    """Two pools under light load, for days with faults."""
    proofs, colours = _POOLS[:2]
    kinds = [
        _small("proof-page", proofs, 2.0, poison=0.05),
        _large("spread-render", colours, 0.5),
        _lasting("index", proofs, 0.2, most_tasks=3),
        _lasting("print", colours, 0.2, most_tasks=3),
    ]
    return world.Scenario(
        kinds,
        load.Turns(2_500, 2, 2.0),
        length_ms,
        {proofs: 4, colours: 4, world.STANDBY: 3},
        processes=3,
        seed=seed,
    )
