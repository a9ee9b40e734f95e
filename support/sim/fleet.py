"""The machine service and the VMs on its machines, in virtual time."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result

from support.sim import loop as loop_module
from support.sim import oracle as oracle_module
from support.sim import truth as truth_module
from support.sim import vms as vms_module
from wagtailtiller import clock as clock_module
from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.ports import machines
from wagtailtiller.ports import vms

_T = TypeVar("_T")
_ONE_WAY_DELAY_MS = 2.0
_CALL_TIMEOUT_MS = 800
MOVE_MS = 1_500
MAINTENANCE_MS = 2_000
# Two holders must not take turns at one machine within this time.
LEASE_MS = 3_000
_HEARTBEAT_TIMEOUT_MS = 2_300


@dataclasses.dataclass
class SimMachine:
    """A machine and the VM that stands on it.

    Attributes:
        machine: Its name.
        pool: The pool that it belongs to.
        rack: Where it stands.
        state: What it does.
        vm: Its VM, unless it is off.
        wave: The wave that it was last out for.
        life: How many VMs have stood on it.
        order_epoch: The epoch of the last order.
        order_ms: When that came.
        pooled_ms: Since when it is in a pool that is not standby.
    """

    machine: ids.MachineId
    pool: ids.PoolId
    rack: str
    state: machines.MachineState = machines.MachineState.UP
    vm: vms_module.SimVm | None = None
    wave: ids.WaveId | None = None
    life: int = 0
    order_epoch: int = 0
    order_ms: int = 0
    pooled_ms: int = 0


class Fleet:
    """All machines.

    Args:
        clock: The platform's clock.
        jobs: How tasks really behave.
        oracle: Judges the day.
        standby: The pool whose machines are off.
        capacity: What a VM offers.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        jobs: truth_module.Jobs,
        oracle: oracle_module.Oracle,
        standby: ids.PoolId,
        capacity: vms.Resources,
    ) -> None:
        self.machines: dict[ids.MachineId, SimMachine] = {}
        self.waves: dict[ids.WaveId, machines.Wave] = {}
        self.maintained: dict[ids.WaveId, set[ids.MachineId]] = {}
        self.registered: dict[ids.VmId, vms.VmReport] = {}
        self.down = False
        self.moves = 0
        self.pooled_machine_ms = 0
        self._by_id: dict[ids.VmId, vms_module.SimVm] = {}
        self._clock = clock
        self._jobs = jobs
        self._oracle = oracle
        self._standby = standby
        self._capacity = capacity

    def add(self, name: str, pool: ids.PoolId, rack: str) -> None:
        """Add a machine that is up."""
        machine = SimMachine(ids.MachineId(name), pool, rack)
        self.machines[machine.machine] = machine
        self._power_on(machine)

    def live_vms(self) -> list[vms_module.SimVm]:
        """Return the VMs that live."""
        return [m.vm for m in self.machines.values() if m.vm is not None]

    def connect(
        self, report: vms.VmReport, process: str, rng: random.Random
    ) -> vms_module.SimVmClient:
        """Open a process's connection to a VM."""
        vm = self._by_id.get(report.vm)
        return vms_module.SimVmClient(vm, process, rng)

    def crash(self, vm: vms_module.SimVm, back_ms: int) -> None:
        """End a VM without a word; another life of it comes back."""
        machine = self.machines[ids.MachineId(vm.report.machine)]
        if machine.vm is not vm:
            return
        machine.state = machines.MachineState.DOWN
        self._power_off(machine, _HEARTBEAT_TIMEOUT_MS)
        loop_module.spawn(self._come_back(machine, back_ms))

    async def list(self) -> list[machines.Machine]:
        """List the machines."""
        return [
            machines.Machine(
                machine.machine,
                machine.pool,
                machine.state,
                ids.DataCentreId("dc-1"),
                ("a", machine.rack),
                self._capacity,
                machine.vm.report.vm if machine.vm else ids.VmId(""),
            )
            for machine in self.machines.values()
        ]

    async def move(
        self, name: ids.MachineId, pool: ids.PoolId, epoch: int
    ) -> machines.MachineOutcome:
        """Begin to move a machine."""
        machine = self.machines[name]
        refused = self._refuse(machine, epoch)
        if refused is not None:
            return refused
        if machine.pool == pool:
            return machines.MachineOutcome.DONE
        self.moves += 1
        machine.state = machines.MachineState.MOVING
        self._power_off(machine, 0)
        machine.pool = pool
        loop_module.spawn(self._come_back(machine, MOVE_MS))
        return machines.MachineOutcome.DONE

    async def maintain(
        self, name: ids.MachineId, wave_id: ids.WaveId, epoch: int
    ) -> machines.MachineOutcome:
        """Begin a machine's upkeep."""
        machine = self.machines[name]
        wave = self.waves[wave_id]
        done = self.maintained.setdefault(wave_id, set())
        if name in done:
            return machines.MachineOutcome.DONE
        refused = self._refuse(machine, epoch)
        if refused is not None:
            return refused
        out = sum(
            other.wave == wave_id
            and other.state is machines.MachineState.UPKEEP
            for other in self.machines.values()
        )
        if out >= wave.max_out:
            self._oracle.broken.append(f"LIMIT {name} is one too many")
        done.add(name)
        machine.wave = wave_id
        machine.state = machines.MachineState.UPKEEP
        self._power_off(machine, 0)
        loop_module.spawn(self._come_back(machine, MAINTENANCE_MS))
        return machines.MachineOutcome.DONE

    def count_machine_time(self) -> None:
        """Take in the time until now of machines in pools."""
        for machine in self.machines.values():
            self._count(machine)

    def _refuse(
        self, machine: SimMachine, epoch: int
    ) -> machines.MachineOutcome | None:
        now_ms = self._clock.monotonic_ms()
        other = machine.order_epoch not in (0, epoch)
        if other and now_ms - machine.order_ms < LEASE_MS:
            self._oracle.broken.append(
                f"ONE {machine.machine} ordered under epochs"
                f" {machine.order_epoch} and {epoch}"
            )
        if epoch < machine.order_epoch:
            self._oracle.broken.append(
                f"ONE {machine.machine} ordered under epoch {epoch}"
                f" after {machine.order_epoch}"
            )
        machine.order_epoch = max(epoch, machine.order_epoch)
        machine.order_ms = now_ms
        if machine.state is not machines.MachineState.UP:
            return machines.MachineOutcome.BUSY
        return None

    def _power_on(self, machine: SimMachine) -> None:
        machine.state = machines.MachineState.UP
        machine.pooled_ms = self._clock.monotonic_ms()
        if machine.pool == self._standby:
            return
        machine.life += 1
        report = vms_module.vm_report(
            f"{machine.machine}-{machine.life}",
            machine.pool,
            machine.machine,
            self._clock.wall_ms(),
            machine.rack,
            self._capacity,
        )
        vm = vms_module.SimVm(report, self._clock, self._jobs, self._oracle)
        machine.vm = vm
        self._by_id[report.vm] = vm
        self.registered[report.vm] = report
        loop_module.spawn(vm.run())

    def _power_off(self, machine: SimMachine, unlisted_after_ms: int) -> None:
        self._count(machine)
        vm = machine.vm
        machine.vm = None
        if vm is None:
            return
        if machine.state is not machines.MachineState.DOWN:
            self._oracle.taken_away(vm)
        vm.power_off()
        loop_module.spawn(self._unlist(vm.report.vm, unlisted_after_ms))

    def _count(self, machine: SimMachine) -> None:
        now_ms = self._clock.monotonic_ms()
        if machine.pool != self._standby:
            self.pooled_machine_ms += now_ms - machine.pooled_ms
        machine.pooled_ms = now_ms

    async def _unlist(self, vm: ids.VmId, after_ms: int) -> None:
        await asyncio.sleep(after_ms / 1_000)
        self.registered.pop(vm, None)

    async def _come_back(self, machine: SimMachine, after_ms: int) -> None:
        await asyncio.sleep(after_ms / 1_000)
        self._count(machine)
        self._power_on(machine)


class SimMachines:
    """One process's client of the machine service.

    Args:
        fleet: The service.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    async def list(
        self,
    ) -> Result[list[machines.Machine], errors.PlatformUnavailable]:
        """List all machines."""
        answer = await self._call(self._fleet.list)
        if answer is None:
            return Error(errors.PlatformUnavailable("no answer in time"))
        return Ok(answer)

    async def move(
        self, machine: ids.MachineId, pool: ids.PoolId, epoch: int
    ) -> machines.MachineOutcome:
        """Move a machine."""
        answer = await self._call(
            lambda: self._fleet.move(machine, pool, epoch)
        )
        return answer or machines.MachineOutcome.UNANSWERED

    async def maintain(
        self, machine: ids.MachineId, wave: ids.WaveId, epoch: int
    ) -> machines.MachineOutcome:
        """Begin a machine's upkeep."""
        answer = await self._call(
            lambda: self._fleet.maintain(machine, wave, epoch)
        )
        return answer or machines.MachineOutcome.UNANSWERED

    async def _call(self, operation: Callable[[], Awaitable[_T]]) -> _T | None:
        return await loop_module.call_remote(
            self._carry(operation), _CALL_TIMEOUT_MS
        )

    async def _carry(self, operation: Callable[[], Awaitable[_T]]) -> _T:
        await asyncio.sleep(_ONE_WAY_DELAY_MS / 1_000)
        if self._fleet.down:
            await loop_module.wait_forever()
        answer = await operation()
        await asyncio.sleep(_ONE_WAY_DELAY_MS / 1_000)
        return answer
