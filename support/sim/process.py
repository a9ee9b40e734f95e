"""One entry process of the simulation: the real node between fake outsides."""

import asyncio
from collections.abc import Callable
import random

from support.sim import fleet as fleet_module
from support.sim import loop as loop_module
from support.sim import store as store_module
from wagtailtiller import ids
from wagtailtiller.entry import node as node_module
from wagtailtiller.entry import peers
from wagtailtiller.entry import settings as settings_module
from wagtailtiller.owner import messages
from wagtailtiller.ports import catalogue as catalogue_module
from wagtailtiller.ports import vms

_VM_LEASE_MS = 6_000
_JOB_KEPT_MS = 120_000
_STOP_WITHIN_MS = 6_000
_ONE_WAY_DELAY_MS = 0.5
_REGISTRY_LAG_MS = 150


class Network:
    """Carries the calls between the processes."""

    def __init__(self) -> None:
        self.handlers: dict[str, tuple[str, peers.Handle]] = {}
        self.partitioned: set[str] = set()

    async def send(
        self, source: str, address: str, request: messages.Request
    ) -> messages.Answer:
        """Carry one request there and its answer back."""
        await asyncio.sleep(_ONE_WAY_DELAY_MS / 1_000)
        target, handle = self.handlers[address]
        if source in self.partitioned or target in self.partitioned:
            await loop_module.wait_forever()
        answer = await loop_module.spawn(_answer(handle, request), target)
        await asyncio.sleep(_ONE_WAY_DELAY_MS / 1_000)
        if source in self.partitioned or target in self.partitioned:
            await loop_module.wait_forever()
        return answer


class _Peers:
    def __init__(self, network: Network, process: str) -> None:
        self._network = network
        self._process = process

    async def serve(self, address: str, handle: peers.Handle) -> None:
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
    """What one process knows of operators and VMs, a little late.

    Args:
        catalogue: What the operators have declared.
        fleet: Where VMs register.
    """

    def __init__(
        self, catalogue: catalogue_module.Catalogue, fleet: fleet_module.Fleet
    ) -> None:
        self.catalogue: catalogue_module.Catalogue | None = catalogue
        self.vms: dict[ids.VmId, vms.VmReport] = {}
        self.waves = fleet.waves
        self._fleet = fleet
        self._changed: list[Callable[[], None]] = []

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call back after each change."""
        self._changed.append(changed)

    def wave_status_key(self, wave: ids.WaveId) -> str:
        """Return where the operators read about a wave."""
        return f"status/{wave}"

    def wave_status(self, wave: ids.WaveId, completed: bool) -> bytes:
        """Encode what the operators read about a wave."""
        return b"completed" if completed else b"open"

    async def run(self) -> None:
        """Follow the operators, who change nothing."""
        self._notify()
        await loop_module.wait_forever()

    async def run_vms(self) -> None:
        """Follow the VMs for ever."""
        while True:
            if self.vms != self._fleet.registered:
                self.vms = dict(self._fleet.registered)
                self._notify()
            await asyncio.sleep(_REGISTRY_LAG_MS / 1_000)

    def _notify(self) -> None:
        for changed in self._changed:
            changed()


class Process:
    """One life of an entry process.

    Args:
        name: The VM's name.
        life: Which life.
        store_service: The key-value service.
        fleet: The machine service and the VMs.
        network: Reaches the other processes.
        catalogue: What the operators have declared.
        rng: Decides what fails.
    """

    def __init__(
        self,
        name: str,
        life: int,
        store_service: store_module.StoreService,
        fleet: fleet_module.Fleet,
        network: Network,
        catalogue: catalogue_module.Catalogue,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.process = f"{name}#{life}"
        self.alive = True
        loop = asyncio.get_running_loop()
        assert isinstance(loop, loop_module.VirtualLoop)
        self._loop = loop
        self.clock = loop_module.VirtualClock(loop)
        settings = _settings(name)
        adapters = node_module.Adapters(
            store_module.SimStore(store_service, self.process),
            SimDeclarations(catalogue, fleet),
            lambda report: fleet.connect(report, self.process, rng),
            fleet_module.SimMachines(fleet),
            peers=_Peers(network, self.process),
        )
        self.node = loop_module.context(self.process).run(
            node_module.Node,
            settings,
            adapters,
            self.clock,
            random.Random(rng.random()),
        )
        self._network = network

    async def start(self) -> None:
        """Start the node."""
        await loop_module.spawn(self.node.start(), self.process)

    def freeze(self) -> None:
        """Let nothing of it run until it is thawed."""
        self._loop.pause(self.process)

    def thaw(self) -> None:
        """Let it go on."""
        if self.alive:
            self._loop.resume(self.process)

    def kill(self) -> None:
        """End it without a word."""
        self.alive = False
        self._loop.pause(self.process)
        handlers = self._network.handlers
        for address, (process, _) in list(handlers.items()):
            if process == self.process:
                del handlers[address]

    async def terminate(self) -> None:
        """Stop it in an orderly way."""
        # It may be killed, or not come to an end, meanwhile.
        await loop_module.call_remote(
            self._stop(), _STOP_WITHIN_MS, self.process
        )
        self.kill()

    async def _stop(self) -> None:
        await self.node.hand_over()
        await self.node.stop()


async def _answer(
    handle: peers.Handle, request: messages.Request
) -> messages.Answer:
    return await handle(request)


def _settings(name: str) -> settings_module.EntrySettings:
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
        vm_lease_ms=_VM_LEASE_MS,
        machine_lease_ms=fleet_module.LEASE_MS,
        move_ms=fleet_module.MOVE_MS,
        upkeep_ms=fleet_module.MAINTENANCE_MS,
        stop_run_ms=1_000,
        away_ms=4_500,
        job_kept_ms=_JOB_KEPT_MS,
        stop_within_ms=_STOP_WITHIN_MS,
    )
