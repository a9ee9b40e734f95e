"""Network partitions around a pool's owner, with VMs on both sides.

The owner is cut off from a part of its pools' VMs, the other processes from the
rest, and the owner from the store, the other processes and the machine service,
or from some of these.
"""

import asyncio
import dataclasses
import enum
import random

from support.sim import fleet as fleet_module
from support.sim import nodes
from support.sim import process as process_module
from support.sim import revocations
from support.sim import world as world_module

World = world_module.World

# Ranges of times in seconds.
_LATE_HEAL_S = (0.3, 3.0)
_PROCESS_OUTAGE_S = (0.2, 1.0)
_VM_OUTAGE_S = (0.2, 1.5)
# A process may also be killed right after its partition.
_KILL_AFTER_HEAL_S = 0.5


class BusySide(enum.Enum):
    """Side on which the VMs with most runs are."""

    OWNER = "owner"
    OTHERS = "others"
    EITHER = "either"


class Service(enum.Enum):
    """What a process may be cut off from, beside VMs."""

    STORE = "store"
    PEERS = "peers"
    MACHINES = "machines"


class Links(enum.Enum):
    """Links that a partition interrupts.

    Attributes:
        SERVICES: Those of the owner to the services and the other processes.
        OWNER_VMS: Those of the other processes to the VMs on the owner's side.
        OTHER_VMS: Those of the owner to the other VMs of its pools.
    """

    SERVICES = "services"
    OWNER_VMS = "owner_vms"
    OTHER_VMS = "other_vms"


class Restart(enum.Enum):
    """What happens to the owner's process during the partition.

    Attributes:
        NONE: It runs on.
        KILLED: It is killed and started again on its node, which is cut off.
        REPLACED: Another process under its name, which is not cut off, is
            started while it runs on.
    """

    NONE = "none"
    KILLED = "killed"
    REPLACED = "replaced"


@dataclasses.dataclass(frozen=True)
class Partition:
    """Parameters of a partition.

    Attributes:
        busy_side: Side on which the VMs with most runs are.
        services: What the owner is cut off from, beside VMs.
        late_links: Links that are restored later than the others.
        revokes: Whether the store ends the owner's lease at the start, right
            after a renewal.
        holds_calls: Whether calls of the owner to the store that are under way
            arrive after the partition; otherwise they are lost.
        restart: What happens to the owner's process during the partition.
        restarts_vm: Whether a VM of the owner's pools restarts under its id.
    """

    busy_side: BusySide = BusySide.EITHER
    services: frozenset[Service] = frozenset(Service)
    late_links: frozenset[Links] = frozenset()
    revokes: bool = False
    holds_calls: bool = False
    restart: Restart = Restart.NONE
    restarts_vm: bool = False


_ALL_VMS = frozenset({Links.OWNER_VMS, Links.OTHER_VMS})

KINDS = {
    "split": Partition(),
    "split-busy-others": Partition(BusySide.OTHERS),
    "split-busy-owner": Partition(BusySide.OWNER),
    "split-store-last": Partition(late_links=frozenset({Links.SERVICES})),
    "split-vms-last": Partition(late_links=_ALL_VMS),
    "split-owner-vms-last": Partition(late_links=frozenset({Links.OWNER_VMS})),
    "split-revoked": Partition(revokes=True),
    "split-late-calls": Partition(
        late_links=frozenset({Links.OWNER_VMS}), holds_calls=True
    ),
    "split-killed": Partition(restart=Restart.KILLED),
    "split-replaced": Partition(restart=Restart.REPLACED),
    "split-from-store": Partition(services=frozenset({Service.STORE})),
    "split-vm-restarts": Partition(restarts_vm=True),
}
"""Partitions by the name of their kind of fault."""


def draw(rng: random.Random) -> Partition:
    """Draw a partition with any combination of parameters.

    Args:
        rng: Source of the random numbers.
    """
    return Partition(
        rng.choice(list(BusySide)),
        frozenset(each for each in Service if rng.random() < 0.8),
        frozenset(links for links in Links if rng.random() < 0.3),
        revokes=rng.random() < 0.3,
        holds_calls=rng.random() < 0.5,
        restart=rng.choice([Restart.NONE, *Restart]),
        restarts_vm=rng.random() < 0.3,
    )


async def inject_any(world: World, duration_s: float) -> None:
    """Inject a partition with parameters that the world's source draws."""
    await inject(draw(world.rng), world, duration_s)


async def inject(partition: Partition, world: World, duration_s: float) -> None:
    """Cut a pool's owner off, and split its VMs between it and the others.

    Args:
        partition: Parameters of the partition.
        world: World in which an owner is chosen at random; nothing happens if
            there is none.
        duration_s: Time until the first links are restored.
    """
    owners = revocations.pool_owners(world)
    if not owners:
        return
    owner = world.rng.choice(owners)
    if partition.revokes:
        await revocations.await_renewal(world, owner)
    sides = _split_machines(world, owner, partition.busy_side)
    cut = _Cut(world, owner, sides, partition)
    cut.begin()
    changes = [cut.heal(duration_s)]
    if partition.restart is Restart.KILLED:
        changes.append(_kill(world, owner, duration_s))
    if partition.restart is Restart.REPLACED:
        changes.append(_replace(world, owner, duration_s))
    if partition.restarts_vm:
        changes.append(_restart_vm(world, sides, duration_s))
    await asyncio.gather(*changes)


@dataclasses.dataclass(frozen=True)
class _Sides:
    """Machines of the owner's pools by side.

    Attributes:
        owner: Machines that only the owner reaches.
        others: Machines that all processes but the owner reach.
    """

    owner: list[fleet_module.SimMachine]
    others: list[fleet_module.SimMachine]


class _Cut:
    """The interruption of all links between the sides of a partition.

    Args:
        world: World of the owner.
        owner: Process that is cut off.
        sides: Machines by side.
        partition: Parameters of the partition.
    """

    def __init__(
        self,
        world: World,
        owner: process_module.Process,
        sides: _Sides,
        partition: Partition,
    ) -> None:
        self._world = world
        self._owner = owner
        self._sides = sides
        self._partition = partition
        # A restarted process is on the same node, a replacement on another.
        replaced = partition.restart is Restart.REPLACED
        self._cut_off = owner.process if replaced else owner.name
        partitioned_by_service = {
            Service.STORE: world.store_service.faults.partitioned,
            Service.PEERS: world.network.partitioned,
            Service.MACHINES: world.fleet.partitioned,
        }
        self._partitioned = [
            partitioned_by_service[service] for service in partition.services
        ]

    def begin(self) -> None:
        """Interrupt all links."""
        service = self._world.store_service
        service.faults.holds_calls = self._partition.holds_calls
        for partitioned in self._partitioned:
            partitioned.add(self._cut_off)
        for machine in self._sides.owner:
            machine.barriers.append(self._is_other)
        for machine in self._sides.others:
            machine.barriers.append(self._is_owner)
        if self._partition.revokes:
            service.revoke(self._owner.process)

    async def heal(self, duration_s: float) -> None:
        """Restore the links, some of them later than the others.

        Args:
            duration_s: Time until the first links are restored.
        """
        late = self._partition.late_links
        await asyncio.sleep(duration_s)
        for links in Links:
            if links not in late:
                self._restore(links)
        await asyncio.sleep(self._world.rng.uniform(*_LATE_HEAL_S))
        for links in late:
            self._restore(links)

    def _restore(self, links: Links) -> None:
        match links:
            case Links.SERVICES:
                for partitioned in self._partitioned:
                    partitioned.discard(self._cut_off)
            case Links.OWNER_VMS:
                for machine in self._sides.owner:
                    machine.barriers.remove(self._is_other)
            case Links.OTHER_VMS:
                for machine in self._sides.others:
                    machine.barriers.remove(self._is_owner)

    def _is_owner(self, process: str) -> bool:
        return nodes.is_partitioned(process, {self._cut_off})

    def _is_other(self, process: str) -> bool:
        return not self._is_owner(process)


def _split_machines(
    world: World, owner: process_module.Process, busy_side: BusySide
) -> _Sides:
    """Split each pool of an owner, with a machine or more on each side."""
    sides = _Sides([], [])
    for pool in owner.owned_pools():
        machines = [m for m in world.fleet.machines.values() if m.pool == pool]
        if len(machines) < 2:
            continue
        world.rng.shuffle(machines)
        if busy_side is not BusySide.EITHER:
            machines.sort(key=_run_count, reverse=busy_side is BusySide.OWNER)
        count = world.rng.randrange(1, len(machines))
        sides.owner.extend(machines[:count])
        sides.others.extend(machines[count:])
    return sides


def _run_count(machine: fleet_module.SimMachine) -> int:
    return len(machine.vm.running) if machine.vm is not None else 0


async def _kill(
    world: World, owner: process_module.Process, duration_s: float
) -> None:
    """Kill the owner's process and start it again on its node."""
    kill_s = world.rng.uniform(0, duration_s + _KILL_AFTER_HEAL_S)
    await asyncio.sleep(kill_s)
    if not owner.alive:
        return
    owner.kill()
    await asyncio.sleep(world.rng.uniform(*_PROCESS_OUTAGE_S))
    await world.start_process(owner.name)


async def _replace(
    world: World, owner: process_module.Process, duration_s: float
) -> None:
    """Start another process under the owner's name, and kill it at last."""
    start_s = world.rng.uniform(0, duration_s)
    await asyncio.sleep(start_s)
    if not owner.alive:
        return
    await world.start_process(owner.name)
    end_s = duration_s - start_s + world.rng.uniform(*_LATE_HEAL_S)
    await asyncio.sleep(end_s)
    owner.kill()


async def _restart_vm(world: World, sides: _Sides, duration_s: float) -> None:
    """Restart a VM of the owner's pools under its id."""
    if not sides.owner:
        return
    machine = world.rng.choice(sides.owner + sides.others)
    await asyncio.sleep(world.rng.uniform(0, duration_s))
    if machine.vm is not None:
        outage_ms = int(world.rng.uniform(*_VM_OUTAGE_S) * 1_000)
        world.fleet.crash(machine.vm, outage_ms, keeps_id=True)
