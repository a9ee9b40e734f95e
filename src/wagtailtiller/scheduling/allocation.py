"""Allocations of organisations with a limit, and how owners change them.

One document in the store holds what each pool may use for each organisation
with a limit. The owner of a pool changes only its own entries. The module does
no I/O and reads no clock. ``docs/design/LIMITS.md`` explains the rules.
"""

from collections.abc import Iterable
import dataclasses
from typing import NamedTuple

import msgspec

from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import fair_shares

# An owner takes this part of what is free at a time. Five changes within two
# seconds take 97% of the limit; four owners that start at once still find a
# half, a quarter, an eighth and a sixteenth.
_FREE_DIVISOR = 2
# An owner raises its allocation before its demand reaches it, so that new jobs
# need not wait for the store: at three quarters, to twice the demand.
_RAISE_AT_NUMERATOR, _RAISE_AT_DENOMINATOR = 3, 4
_HEADROOM_FACTOR = 2
# An owner releases what is above the headroom when its allocation is so many
# times its demand, so that a pool whose peak begins finds it free.
_RELEASE_FACTOR = 4
# Each pool keeps at least this part of the limit: four pools half of it. Its
# first tasks then need not wait for the store.
_KEPT_DIVISOR = 8
# A changed demand is stored when it differs by this part.
_DEMAND_CHANGE_DIVISOR = 4


class Amounts(NamedTuple):
    """Amounts of the resources that a limit covers.

    Attributes:
        cpu_millicores: Processor capacity in thousandths of a core.
        memory_mb: Memory in megabytes.
        gpu_count: Number of GPUs.
    """

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpu_count: int = 0

    def plus(self, other: "Amounts", count: int = 1) -> "Amounts":
        """Return the sum with ``count`` times other amounts."""
        return Amounts(
            self.cpu_millicores + count * other.cpu_millicores,
            self.memory_mb + count * other.memory_mb,
            self.gpu_count + count * other.gpu_count,
        )

    def lowest(self, other: "Amounts") -> "Amounts":
        """Return the lower amount of each resource."""
        return Amounts(*map(min, self, other))

    def highest(self, other: "Amounts") -> "Amounts":
        """Return the higher amount of each resource."""
        return Amounts(*map(max, self, other))


NOTHING = Amounts()


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """What one pool has and asks for, for one organisation.

    Attributes:
        allocation: Amounts that the pool may use.
        demand: Amounts that run and wait in the pool, at most the limit.
        unit: Amounts of the largest waiting task or gang.
    """

    allocation: Amounts
    demand: Amounts = NOTHING
    unit: Amounts = NOTHING


class Limit(msgspec.Struct, frozen=True, array_like=True):
    """Limit of an organisation, as it is declared.

    Attributes:
        version: Version of the declarations.
        amounts: Amounts that may be in use in all pools; 0 for no limit.
        since: Earliest version from which the owner knows that each version
            declared the same limit.
    """

    version: int
    amounts: Amounts
    since: int = 0

    def must_replace(self, other: "Limit") -> bool:
        """Return whether starts under a stored limit are no longer safe.

        That is so if this limit is newer and allows less of any resource, or
        if a version between the two, which the owner does not know, may have
        allowed more.

        Args:
            other: Limit in the document.
        """
        if self.version <= other.version:
            return False
        return self.since > other.version + 1 or any(
            mine and (not theirs or mine < theirs)
            for mine, theirs in zip(self.amounts, other.amounts, strict=True)
        )


class Document(msgspec.Struct, frozen=True):
    """Content of the document in the store.

    Attributes:
        limits: Newest limit that any owner knew at its last change.
        entries: Entries by organisation and pool.
    """

    limits: dict[ids.OrganisationId, Limit] = {}
    entries: dict[ids.OrganisationId, dict[ids.PoolId, Entry]] = {}

    def allocated(self, organisation: ids.OrganisationId) -> Amounts:
        """Return the sum of the allocations of an organisation."""
        return total(
            entry.allocation
            for entry in self.entries.get(organisation, {}).values()
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """What an organisation uses and asks for in one pool.

    Attributes:
        used: Amounts of the known runs, including starts without a response
            and runs that are being stopped.
        possible: Amounts that may be in use, including runs that a previous
            owner may have started.
        demand: Amounts that run and wait, at most the limit.
        unit: Amounts of the largest waiting task or gang.
    """

    used: Amounts = NOTHING
    possible: Amounts = NOTHING
    demand: Amounts = NOTHING
    unit: Amounts = NOTHING


def total(amounts: Iterable[Amounts]) -> Amounts:
    """Return the sum of amounts."""
    result = NOTHING
    for summand in amounts:
        result = result.plus(summand)
    return result


def from_resources(resources: vms.Resources) -> Amounts:
    """Return the amounts of declared resources."""
    return Amounts(
        resources.cpu_millicores, resources.memory_mb, resources.gpu_count
    )


def needed_by(step: model.Step) -> Amounts:
    """Return the amounts that one task of a step uses.

    Fillers count in full, although they take no processor capacity of a VM
    from other tasks.
    """
    return Amounts(step.cpu_millicores, step.memory_mb, step.gpu_count)


def encode(document: Document) -> bytes:
    """Encode the document as JSON for the store."""
    return msgspec.json.encode(document)


def decode(value: bytes) -> Document:
    """Decode the document.

    Raises:
        msgspec.MsgspecError: The value is not a valid document.
    """
    return msgspec.json.decode(value, type=Document)


def usable(
    document: Document, declared: Limit, organisation: ids.OrganisationId
) -> bool:
    """Return whether the pools may start tasks within their allocations.

    They may not while the document lacks a lower limit, because other owners
    may have raised their allocations under an earlier one, nor while the sum of
    the allocations is above the limit, because what other pools hold may be in
    use.

    Args:
        document: Copy of the document.
        declared: Limit that the owner knows.
        organisation: Organisation of the tasks.
    """
    stored = document.limits.get(organisation)
    if stored is None:
        return False
    if declared.must_replace(stored):
        return False
    allocated = document.allocated(organisation)
    return all(
        not limit or held <= limit
        for held, limit in zip(allocated, stored.amounts, strict=True)
    )


def newest_limit(stored: Limit | None, declared: Limit) -> Limit:
    """Return the limit with the higher version of the declarations."""
    if stored is None or declared.version > stored.version:
        return declared
    return stored


def next_entry(
    pool: ids.PoolId,
    limit: Amounts,
    entries: dict[ids.PoolId, Entry],
    need: Need,
    turn: int,
) -> Entry:
    """Return the entry that the owner of a pool should store.

    Args:
        pool: Pool of the owner.
        limit: Limit of the organisation.
        entries: Entries of all pools for the organisation.
        need: What the organisation uses and asks for in the pool.
        turn: Number of the current period of ``fair_shares``.

    Returns:
        The new entry. Only its demand may differ from the present one.
    """
    own = entries.get(pool, Entry(NOTHING))
    others = {name: entry for name, entry in entries.items() if name != pool}
    amounts = [
        _next_amount(number, pool, own, others, need, limit, turn)
        if limit[number]
        else 0
        for number in range(len(limit))
    ]
    return Entry(Amounts(*amounts), need.demand, need.unit)


def shares(
    number: int,
    limit: Amounts,
    entries: dict[ids.PoolId, Entry],
    turn: int,
) -> dict[ids.PoolId, int]:
    """Return the fair shares of one resource by pool.

    Args:
        number: Index of the resource in ``Amounts``.
        limit: Limit of the organisation.
        entries: Entries of all pools for the organisation.
        turn: Number of the current period.
    """
    claims = {
        name: fair_shares.Claim(entry.demand[number], entry.unit[number])
        for name, entry in entries.items()
    }
    return fair_shares.fair_shares(limit[number], claims, turn)


def _next_amount(
    number: int,
    pool: ids.PoolId,
    own: Entry,
    others: dict[ids.PoolId, Entry],
    need: Need,
    limit: Amounts,
    turn: int,
) -> int:
    demand = need.demand[number]
    # Runs that began before the organisation had a limit are recorded even
    # above the limit, so that no other pool takes their part.
    held = max(own.allocation[number], need.used[number])
    free = limit[number] - held
    others_short = 0
    for entry in others.values():
        free -= entry.allocation[number]
        others_short += max(0, entry.demand[number] - entry.allocation[number])
    everyone = {**others, pool: Entry(NOTHING, need.demand, need.unit)}
    share = shares(number, limit, everyone, turn)[pool]
    if free < 0 or (others_short > free and held > share):
        floor = min(held, need.possible[number])
        return max(floor, min(held, share))
    wanted = min(limit[number], _HEADROOM_FACTOR * demand)
    if _RELEASE_FACTOR * demand < held:
        kept = max(wanted, limit[number] // _KEPT_DIVISOR)
        return min(held, max(need.possible[number], kept))
    if demand * _RAISE_AT_DENOMINATOR <= held * _RAISE_AT_NUMERATOR:
        return held
    step = max(free // _FREE_DIVISOR, min(need.unit[number], free))
    if not others_short:
        # Demand that begins to rise usually rises further, and what is not
        # used is released again.
        return held + step
    # The shares take all known demands into account. Only the first change of a
    # pool leaves a part to pools that have not asked yet.
    step = free if held else step
    return max(held, min(held + step, wanted, share))


def is_material(
    old: Entry, new: Entry, others: Iterable[Entry], limit: Amounts
) -> bool:
    """Return whether a changed entry is worth a write.

    A changed demand matters only while a pool has less than it asks for.

    Args:
        old: Entry in the document.
        new: Entry that would replace it.
        others: Entries of the other pools for the organisation.
        limit: Limit of the organisation.
    """
    if old.allocation != new.allocation:
        return True
    asked = total(entry.demand for entry in others)
    return any(
        limit[number]
        and _is_material_demand(number, old, new, asked, limit[number])
        for number in range(len(limit))
    )


def _is_material_demand(
    number: int, old: Entry, new: Entry, asked: Amounts, limit: int
) -> bool:
    held = new.allocation[number]
    before = old.demand[number]
    now = new.demand[number]
    is_short = now > held
    if is_short != (before > held):
        return True
    contested = asked[number] + max(before, now) > limit
    if not (is_short or contested):
        return False
    changed = abs(now - before) * _DEMAND_CHANGE_DIVISOR > max(now, before)
    outgrown = is_short and new.unit[number] > old.unit[number]
    return changed or outgrown
