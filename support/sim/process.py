"""Simulated entry process: the real node with simulated adapters."""

import asyncio
from collections.abc import Callable
import random

from support.sim import fleet as fleet_module
from support.sim import loop as loop_module
from support.sim import nodes
from support.sim import store as store_module
from wagtailtiller import ids
from wagtailtiller.entry import node as node_module
from wagtailtiller.entry import peers
from wagtailtiller.entry import settings as settings_module
from wagtailtiller.owner import messages
from wagtailtiller.ownership import shard as shard_module
from wagtailtiller.ports import catalogue as catalogue_module
from wagtailtiller.ports import vms

_JOB_KEPT_MS = 120_000
_STOP_WITHIN_MS = 6_000
_ONE_WAY_DELAY_MS = 0.5
_REGISTRY_DELAY_MS = 150


class Network:
    """Network between the entry processes.

    Attributes:
        handlers: Process and request handler for each address.
        partitioned: Processes, or names of their nodes, that cannot exchange
            requests with others.
    """

    def __init__(self) -> None:
        self.handlers: dict[str, tuple[str, peers.Handler]] = {}
        self.partitioned: set[str] = set()

    async def send(
        self, sender: str, address: str, request: messages.Request
    ) -> messages.Answer:
        """Send a request and return its answer.

        The call never returns if the request or the answer is lost.

        Args:
            sender: Process that sends the request.
            address: Address that the request is sent to.
            request: Request to send.
        """
        await asyncio.sleep(_ONE_WAY_DELAY_MS / 1_000)
        if address not in self.handlers:
            # The receiver has ended while the request was under way.
            await loop_module.wait_forever()
        receiver, handle = self.handlers[address]
        await self._wait_if_partitioned(sender, receiver)
        answer = await loop_module.spawn(
            _answer_request(handle, request), receiver
        )
        await asyncio.sleep(_ONE_WAY_DELAY_MS / 1_000)
        await self._wait_if_partitioned(sender, receiver)
        return answer

    async def _wait_if_partitioned(self, sender: str, receiver: str) -> None:
        """Never return if one of two processes is cut off from the others."""
        for process in (sender, receiver):
            if nodes.is_partitioned(process, self.partitioned):
                await loop_module.wait_forever()


class _SimPeers:
    def __init__(self, network: Network, process: str) -> None:
        self._network = network
        self._process = process

    async def serve(self, address: str, handle: peers.Handler) -> None:
        self._network.handlers[address] = (self._process, handle)

    async def ask(
        self, address: str, request: messages.Request, timeout_ms: int
    ) -> messages.Answer | None:
        if address not in self._network.handlers:
            return None
        call = self._network.send(self._process, address, request)
        return await loop_module.call_remote(call, timeout_ms)

    async def close(self) -> None:
        handlers = self._network.handlers
        for address, (process, _) in list(handlers.items()):
            if process == self._process:
                del handlers[address]


class SimDeclarations:
    """View of the declarations and registrations in one process.

    Registrations of VMs appear with a delay.

    Args:
        catalogue: Catalogue that the operators have declared.
        fleet: Fleet whose VMs register.
        process: Process that follows the registrations.

    Attributes:
        catalogue: Catalogue that the operators have declared.
        vms: Reports of the VMs that are known to be registered.
        waves: Maintenance waves by identifier.
    """

    def __init__(
        self,
        catalogue: catalogue_module.Catalogue,
        fleet: fleet_module.Fleet,
        process: str,
    ) -> None:
        self.catalogue: catalogue_module.Catalogue | None = catalogue
        self.vms: dict[ids.VmId, vms.VmReport] = {}
        self.waves = fleet.waves
        self._fleet = fleet
        self._process = process
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Register a callback for all later changes."""
        self._subscribers.append(on_change)

    def wave_status_key(self, wave: ids.WaveId) -> str:
        """Return the key under which operators find a wave's status."""
        return f"status/{wave}"

    def wave_status(self, wave: ids.WaveId, completed: bool) -> bytes:
        """Encode a wave's status for the operators."""
        return b"completed" if completed else b"open"

    async def run(self) -> None:
        """Report the catalogue at the start."""
        self._notify()
        await loop_module.wait_forever()

    def declare(self, catalogue: catalogue_module.Catalogue) -> None:
        """Let the process learn of a later version of the catalogue."""
        self.catalogue = catalogue
        self._notify()

    async def follow_vms(self) -> None:
        """Follow the registrations of VMs until cancelled."""
        while True:
            cut_off = nodes.is_partitioned(
                self._process, self._fleet.partitioned
            )
            if not cut_off and self.vms != self._fleet.registered:
                self.vms = dict(self._fleet.registered)
                self._notify()
            await asyncio.sleep(_REGISTRY_DELAY_MS / 1_000)

    def _notify(self) -> None:
        for on_change in self._subscribers:
            on_change()


class Process:
    """One instance of an entry process.

    Args:
        name: Name of the node that the process runs on.
        instance: Number that distinguishes the instances of a day.
        store_service: Key-value service.
        fleet: Machine service with its VMs.
        network: Network to the other processes.
        catalogue: Catalogue that the operators have declared.
        rng: Random source of the node and its connections.
        capacity: What the VM of the process offers.

    Attributes:
        name: Name of the node that the process runs on.
        process: Name of this instance of the process.
        alive: Whether the instance has neither been killed nor stopped.
        clock: Clock of the process.
        declared: What the process knows of the declarations.
        node: Node that runs in the process.
    """

    def __init__(
        self,
        name: str,
        instance: int,
        store_service: store_module.StoreService,
        fleet: fleet_module.Fleet,
        network: Network,
        catalogue: catalogue_module.Catalogue,
        rng: random.Random,
        capacity: settings_module.Capacity,
    ) -> None:
        self.name = name
        self.process = f"{name}#{instance}"
        self.alive = True
        loop = asyncio.get_running_loop()
        assert isinstance(loop, loop_module.VirtualLoop)
        self._loop = loop
        self.clock = loop_module.VirtualClock(loop)
        settings = _settings(name, capacity, fleet.max_lease_ms)
        self.declared = SimDeclarations(catalogue, fleet, self.process)
        adapters = node_module.Adapters(
            store_module.SimStore(store_service, self.process),
            self.declared,
            lambda report: fleet.connect(report, self.process, rng),
            fleet_module.SimMachines(fleet, self.process),
            peers=_SimPeers(network, self.process),
        )
        self.node = loop_module.context(self.process).run(
            node_module.EntryNode,
            settings,
            adapters,
            self.clock,
            random.Random(rng.random()),
        )
        self._network = network

    def owned_pools(self) -> list[ids.PoolId]:
        """Return the pools that the process owns, in order."""
        return [
            shard.pool
            for shard in self.node.owned_shards()
            if isinstance(shard, shard_module.PoolShard)
        ]

    async def start(self) -> None:
        """Start the node."""
        await loop_module.spawn(self.node.start(), self.process)

    def pause(self) -> None:
        """Pause the process until it is resumed."""
        self._loop.pause(self.process)

    def resume(self) -> None:
        """Resume the process unless it has been killed."""
        if self.alive:
            self._loop.resume(self.process)

    def kill(self) -> None:
        """Kill the process without a graceful shutdown."""
        self.alive = False
        self._loop.pause(self.process)
        handlers = self._network.handlers
        for address, (process, _) in list(handlers.items()):
            if process == self.process:
                del handlers[address]

    async def terminate(self) -> None:
        """Shut the process down gracefully; kill it if that takes too long."""
        # A fault may kill the process during its shutdown, or the shutdown may
        # hang; the timeout covers both.
        await loop_module.call_remote(
            self._stop(), _STOP_WITHIN_MS, self.process
        )
        self.kill()

    async def _stop(self) -> None:
        await self.node.hand_over()
        await self.node.stop()


async def _answer_request(
    handle: peers.Handler, request: messages.Request
) -> messages.Answer:
    return await handle(request)


def _settings(
    name: str, capacity: settings_module.Capacity, vm_lease_ms: int
) -> settings_module.EntrySettings:
    return settings_module.EntrySettings(
        node=ids.NodeId(name),
        data_centre=ids.DataCentreId("dc-1"),
        caller_address="",
        ready_address="",
        peer_address=f"{name}:1",
        metrics_address="",
        store_address="",
        machines_address="",
        policy_address="",
        vm_lease_ms=vm_lease_ms,
        machine_lease_ms=fleet_module.LEASE_MS,
        job_kept_ms=_JOB_KEPT_MS,
        stop_within_ms=_STOP_WITHIN_MS,
        capacity=capacity,
    )
