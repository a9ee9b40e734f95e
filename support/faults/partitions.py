"""Partitions that cut entry processes and VMs of a site off from the rest."""

import dataclasses
import enum
import random
import time

from support.demo import entry_site
from support.demo import site_links

# A former owner may command VMs until 6 s after the last renewal of its lease.
_MIN_CUT_S = 4.5
_MAX_CUT_S = 7.5
_RESTORE_PAUSE_S = 1.5
# Share of the partitions in which all VMs of the owner's side are idle.
_IDLE_SHARE = 0.75
_MAX_MACHINES = 3
# Longest lease of a VM, measured by a clock that is 2% slow.
_VM_LEASE_S = 5.1


class RestoreOrder(enum.Enum):
    """What is restored first when a partition ends.

    Attributes:
        ALL: All links at once.
        STORE: The links to the store.
        MACHINES: The links to the VMs.
    """

    ALL = "all"
    STORE = "store"
    MACHINES = "machines"


@dataclasses.dataclass(frozen=True)
class Partition:
    """One side of a partition of a site; the rest is the other side.

    Attributes:
        entries: Entry processes of this side.
        machines: Machines of this side.
        order: What is restored first.
        cut_s: Time until the first links are restored, in seconds.
        far_busy_machines: Number of machines of the owner's pool on the other
            side whose VMs run tasks.
    """

    entries: tuple[str, ...]
    machines: tuple[str, ...]
    order: RestoreOrder
    cut_s: float
    far_busy_machines: int

    def outlasts_vm_leases(self) -> bool:
        """Return whether the owner computes the end of leases of busy VMs."""
        return self.far_busy_machines > 0 and self.cut_s > _VM_LEASE_S


def draw(
    site: entry_site.EntrySite, pool: str, rng: random.Random
) -> Partition:
    """Draw a partition that has VMs of a pool on both sides.

    Args:
        site: Site with an owner of the pool.
        pool: Pool whose owner is cut off with some of its VMs.
        rng: Source of all random choices.
    """
    owner = site.wait_for_owner(pool)
    others = [name for name in site.addresses if name != owner]
    idle = site.idle_machines(pool)
    candidates = site.machines(pool)
    if idle and rng.random() < _IDLE_SHARE:
        candidates = idle
    count = rng.randint(1, min(len(candidates), _MAX_MACHINES))
    machines = rng.sample(candidates, count)
    return Partition(
        entries=(owner, *rng.sample(others, rng.randint(0, 1))),
        machines=tuple(machines),
        order=rng.choice(list(RestoreOrder)),
        cut_s=rng.uniform(_MIN_CUT_S, _MAX_CUT_S),
        far_busy_machines=len({*site.machines(pool)} - {*idle} - {*machines}),
    )


def restore(site: entry_site.EntrySite, order: RestoreOrder) -> None:
    """End the partition of a site.

    Args:
        site: Site with a partition.
        order: What is restored first.
    """
    match order:
        case RestoreOrder.STORE:
            site.restore([site_links.STORE])
            time.sleep(_RESTORE_PAUSE_S)
        case RestoreOrder.MACHINES:
            site.restore(site.machines())
            time.sleep(_RESTORE_PAUSE_S)
        case RestoreOrder.ALL:
            pass
    site.restore()
