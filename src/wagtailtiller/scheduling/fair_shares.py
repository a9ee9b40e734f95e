"""Max-min fair shares of one resource of an organisation's limit."""

import dataclasses

from wagtailtiller import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """What a pool asks for, in the unit of the resource.

    Attributes:
        demand: Amount that the pool could use now.
        unit: Amount of its largest waiting task; a smaller share is of no use.
    """

    demand: int
    unit: int = 0


def fair_shares(
    limit: int, claims: dict[ids.PoolId, Claim], turn: int
) -> dict[ids.PoolId, int]:
    """Divide a limit between pools, max-min fair by demand.

    What no pool demands is divided equally between the pools with a demand.
    While shares are too small for a task, pools without a usable share leave
    theirs to the others; which pools do so depends on the turn.

    Args:
        limit: Amount to divide.
        claims: Claims by pool.
        turn: Number of the current period; all owners use the same.

    Returns:
        Shares by pool, whose sum is at most the limit.
    """
    shares = dict.fromkeys(claims, 0)
    order = sorted(pool for pool, claim in claims.items() if claim.demand > 0)
    if order:
        first = turn % len(order)
        order = order[first:] + order[:first]
    while order:
        filled = _fill(limit, {pool: claims[pool].demand for pool in order})
        unusable = [
            pool
            for pool in order
            if filled[pool] < min(claims[pool].unit, claims[pool].demand)
        ]
        if not unusable or len(order) == 1:
            shares.update(filled)
            break
        order.remove(unusable[-1])
    return shares


def _fill(limit: int, demands: dict[ids.PoolId, int]) -> dict[ids.PoolId, int]:
    shares = {}
    left = limit
    by_demand = sorted(demands, key=lambda pool: (demands[pool], pool))
    for number, pool in enumerate(by_demand):
        equal = left // (len(by_demand) - number)
        shares[pool] = min(demands[pool], equal)
        left -= shares[pool]
    surplus = left // len(by_demand)
    return {pool: share + surplus for pool, share in shares.items()}
