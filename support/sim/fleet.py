"""Simulated machine service with its machines and their VMs."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from support.sim import loop as loop_module
from support.sim import nodes
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
# Commands under different epochs must not reach a machine within this time.
LEASE_MS = 3_000
_HEARTBEAT_TIMEOUT_MS = 2_300
_MAX_LEASE_MS = 6_000
# Time after which a machine is back whose VM a task has crashed.
_CRASH_RETURN_MS = 3_000


@dataclasses.dataclass
class SimMachine:
    """A machine and the VM that runs on it.

    Attributes:
        machine: Name of the machine.
        pool: Pool that the machine belongs to.
        rack: Rack label of the machine.
        state: State that the machine service reports.
        vm: VM on the machine; None while the machine is off.
        wave: Wave of the last maintenance; None before the first one.
        instance_count: Number of VM instances that the machine has had.
        command_epoch: Highest epoch of all commands so far.
        command_ms: When the last command arrived.
        counted_until_ms: Time up to which machine time has been counted.
        barriers: Predicates of the processes that cannot reach the machine.
    """

    machine: ids.MachineId
    pool: ids.PoolId
    rack: str
    state: machines.MachineState = machines.MachineState.UP
    vm: vms_module.SimVm | None = None
    wave: ids.WaveId | None = None
    instance_count: int = 0
    command_epoch: int = 0
    command_ms: int = 0
    counted_until_ms: int = 0
    barriers: list[vms_module.Barrier] = dataclasses.field(default_factory=list)


class Fleet:
    """All machines of the simulation.

    Args:
        clock: Clock of the platform.
        jobs: Jobs with their actual behaviour.
        oracle: Oracle that records events and violations.
        standby: Pool whose machines are off.
        capacity: Resources of each VM.

    Attributes:
        machines: Machines by name.
        waves: Maintenance waves by identifier.
        maintained: Machines whose maintenance has begun, by wave.
        registered: Reports of the registered VMs.
        down: Whether the machine service does not answer.
        partitioned: Processes, or names of their nodes, that can reach neither
            the machine service nor the registrations.
        moves: Number of machine moves.
        pooled_machine_ms: Machine time in pools other than standby.
        max_lease_ms: Longest lease that VMs grant.
        guards_capacity: Whether new VMs refuse starts that do not fit.
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
        self.partitioned: set[str] = set()
        self.moves = 0
        self.pooled_machine_ms = 0
        self.guards_capacity = True
        self.max_lease_ms = _MAX_LEASE_MS
        self._vms_by_id: dict[ids.VmId, vms_module.SimVm] = {}
        self._clock = clock
        self._jobs = jobs
        self._oracle = oracle
        self._standby = standby
        self._capacity = capacity

    def add(self, name: str, pool: ids.PoolId, rack: str) -> None:
        """Add a machine that is powered on."""
        machine = SimMachine(ids.MachineId(name), pool, rack)
        self.machines[machine.machine] = machine
        self._power_on(machine)

    def live_vms(self) -> list[vms_module.SimVm]:
        """Return the VMs that have not ended."""
        return [m.vm for m in self.machines.values() if m.vm is not None]

    def connect(
        self, report: vms.VmReport, process: str, rng: random.Random
    ) -> vms_module.SimVmClient:
        """Open a connection from a process to a VM.

        Args:
            report: Registration of the VM.
            process: Process that opens the connection.
            rng: Random source that decides which commands are delayed.
        """
        return vms_module.SimVmClient(
            lambda: self._vms_by_id.get(report.vm), process, rng
        )

    def crash(
        self,
        vm: vms_module.SimVm,
        restart_after_ms: int,
        keeps_id: bool = False,
        register_after_ms: int = 0,
        listens_late: bool = False,
    ) -> None:
        """Crash a VM; a new instance starts later.

        Args:
            vm: VM to crash; nothing happens if it has ended.
            restart_after_ms: Time until the new instance starts.
            keeps_id: Whether the new instance has the id of the VM.
            register_after_ms: Time from then on until it is registered.
            listens_late: Whether it listens no sooner than that.
        """
        machine = self.machines[ids.MachineId(vm.report.machine)]
        if machine.vm is not vm:
            return
        machine.state = machines.MachineState.DOWN
        self._power_off(machine, _HEARTBEAT_TIMEOUT_MS)
        vm_id = vm.report.vm if keeps_id else None
        loop_module.spawn(
            self._power_on_after(
                machine,
                restart_after_ms,
                vm_id,
                register_after_ms,
                listens_late,
            )
        )

    def report_capacity(self, vm: vms_module.SimVm, divisor: int = 1) -> None:
        """Let a VM report a part of its full capacity.

        Args:
            vm: VM that reports; nothing happens if it has ended.
            divisor: Number by which the full capacity is divided.
        """
        if vm.dead or vm.report.vm not in self.registered:
            return
        capacity = vms.Resources(
            self._capacity.cpu_millicores // divisor,
            self._capacity.memory_mb // divisor,
        )
        vm.report = msgspec.structs.replace(vm.report, capacity=capacity)
        self.registered[vm.report.vm] = vm.report
        self._oracle.record_capacity(vm)

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
        """Begin to move a machine to a pool; its VM ends at once."""
        machine = self.machines[name]
        refusal = self._check_command(machine, epoch)
        if refusal is not None:
            return refusal
        if machine.pool == pool:
            return machines.MachineOutcome.DONE
        self.moves += 1
        machine.state = machines.MachineState.MOVING
        self._power_off(machine, 0)
        machine.pool = pool
        loop_module.spawn(self._power_on_after(machine, MOVE_MS))
        return machines.MachineOutcome.DONE

    async def maintain(
        self, name: ids.MachineId, wave_id: ids.WaveId, epoch: int
    ) -> machines.MachineOutcome:
        """Begin the maintenance of a machine; its VM ends at once."""
        machine = self.machines[name]
        wave = self.waves[wave_id]
        maintained = self.maintained.setdefault(wave_id, set())
        if name in maintained:
            return machines.MachineOutcome.DONE
        refusal = self._check_command(machine, epoch)
        if refusal is not None:
            return refusal
        machines_out = sum(
            other.wave == wave_id
            and other.state is machines.MachineState.MAINTENANCE
            for other in self.machines.values()
        )
        if machines_out >= wave.max_out:
            self._oracle.violations.append(
                f"LIMIT {name} exceeds the wave's limit"
            )
        maintained.add(name)
        machine.wave = wave_id
        machine.state = machines.MachineState.MAINTENANCE
        self._power_off(machine, 0)
        loop_module.spawn(self._power_on_after(machine, MAINTENANCE_MS))
        return machines.MachineOutcome.DONE

    def update_machine_time(self) -> None:
        """Add the machine time until now to the total."""
        for machine in self.machines.values():
            self._update_machine_time(machine)

    def _check_command(
        self, machine: SimMachine, epoch: int
    ) -> machines.MachineOutcome | None:
        now_ms = self._clock.monotonic_ms()
        is_other_epoch = machine.command_epoch not in (0, epoch)
        if is_other_epoch and now_ms - machine.command_ms < LEASE_MS:
            self._oracle.violations.append(
                f"ONE {machine.machine} received commands under epochs"
                f" {machine.command_epoch} and {epoch}"
            )
        if epoch < machine.command_epoch:
            self._oracle.violations.append(
                f"ONE {machine.machine} received a command under epoch {epoch}"
                f" after {machine.command_epoch}"
            )
        machine.command_epoch = max(epoch, machine.command_epoch)
        machine.command_ms = now_ms
        if machine.state is not machines.MachineState.UP:
            return machines.MachineOutcome.BUSY
        return None

    def _power_on(
        self,
        machine: SimMachine,
        vm_id: ids.VmId | None = None,
        register_after_ms: int = 0,
        listens_late: bool = False,
    ) -> None:
        machine.state = machines.MachineState.UP
        machine.counted_until_ms = self._clock.monotonic_ms()
        if machine.pool == self._standby:
            return
        machine.instance_count += 1
        report = vms_module.vm_report(
            vm_id or f"{machine.machine}-{machine.instance_count}",
            machine.pool,
            machine.machine,
            self._clock.wall_ms(),
            machine.rack,
            self._capacity,
        )
        vm = vms_module.SimVm(
            report,
            self._clock,
            self._jobs,
            self._oracle,
            lambda vm: self.crash(vm, _CRASH_RETURN_MS),
            self.max_lease_ms,
        )
        vm.guards_capacity = self.guards_capacity
        vm.barriers = machine.barriers
        self._oracle.record_capacity(vm)
        machine.vm = vm
        self._vms_by_id[report.vm] = vm
        vm.listens = not listens_late
        if register_after_ms:
            loop_module.spawn(self._register_after(vm, register_after_ms))
        else:
            self.registered[report.vm] = report
        loop_module.spawn(vm.run())

    async def _register_after(
        self, vm: vms_module.SimVm, after_ms: int
    ) -> None:
        await asyncio.sleep(after_ms / 1_000)
        vm.listens = True
        if not vm.dead:
            self.registered[vm.report.vm] = vm.report

    def _power_off(self, machine: SimMachine, deregister_after_ms: int) -> None:
        self._update_machine_time(machine)
        vm = machine.vm
        machine.vm = None
        if vm is None:
            return
        if machine.state is machines.MachineState.DOWN:
            self._oracle.record_crash(vm)
        else:
            self._oracle.record_shutdown(vm)
        vm.power_off()
        loop_module.spawn(self._deregister(vm.report, deregister_after_ms))

    def _update_machine_time(self, machine: SimMachine) -> None:
        now_ms = self._clock.monotonic_ms()
        if machine.pool != self._standby:
            self.pooled_machine_ms += now_ms - machine.counted_until_ms
        machine.counted_until_ms = now_ms

    async def _deregister(self, report: vms.VmReport, after_ms: int) -> None:
        await asyncio.sleep(after_ms / 1_000)
        registered = self.registered.get(report.vm)
        # A later instance may have registered under the same id.
        if registered is not None and registered.born_ms == report.born_ms:
            del self.registered[report.vm]

    async def _power_on_after(
        self,
        machine: SimMachine,
        delay_ms: int,
        vm_id: ids.VmId | None = None,
        register_after_ms: int = 0,
        listens_late: bool = False,
    ) -> None:
        await asyncio.sleep(delay_ms / 1_000)
        self._update_machine_time(machine)
        self._power_on(machine, vm_id, register_after_ms, listens_late)


class SimMachines:
    """Client of the machine service in one process.

    Args:
        fleet: Fleet that the service manages.
        process: Process that owns the client.
    """

    def __init__(self, fleet: Fleet, process: str) -> None:
        self._fleet = fleet
        self._process = process

    async def list(
        self,
    ) -> Result[list[machines.Machine], errors.PlatformUnavailable]:
        """List all machines."""
        answer = await self._call(self._fleet.list)
        if answer is None:
            return Error(errors.PlatformUnavailable("no answer in time"))
        return Ok(answer)

    async def move(
        self,
        machine: ids.MachineId,
        pool: ids.PoolId,
        epoch: int,
        may_send: machines.MaySend,
    ) -> machines.MachineOutcome:
        """Move a machine to a pool; its VM ends at once."""
        if not may_send():
            return machines.MachineOutcome.NOT_SENT
        answer = await self._call(
            lambda: self._fleet.move(machine, pool, epoch)
        )
        return answer or machines.MachineOutcome.UNANSWERED

    async def maintain(
        self,
        machine: ids.MachineId,
        wave: ids.WaveId,
        epoch: int,
        may_send: machines.MaySend,
    ) -> machines.MachineOutcome:
        """Begin the maintenance of a machine; its VM ends at once."""
        if not may_send():
            return machines.MachineOutcome.NOT_SENT
        answer = await self._call(
            lambda: self._fleet.maintain(machine, wave, epoch)
        )
        return answer or machines.MachineOutcome.UNANSWERED

    async def _call(self, operation: Callable[[], Awaitable[_T]]) -> _T | None:
        return await loop_module.call_remote(
            self._deliver(operation), _CALL_TIMEOUT_MS
        )

    async def _deliver(self, operation: Callable[[], Awaitable[_T]]) -> _T:
        await asyncio.sleep(_ONE_WAY_DELAY_MS / 1_000)
        partitioned = self._fleet.partitioned
        if self._fleet.down or nodes.is_partitioned(self._process, partitioned):
            await loop_module.wait_forever()
        answer = await operation()
        await asyncio.sleep(_ONE_WAY_DELAY_MS / 1_000)
        return answer
