"""Simulated VMs that execute tasks in virtual time."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
import random
from typing import TypeVar

import msgspec

from support import fake_vms
from support.sim import loop as loop_module
from support.sim import oracle as oracle_module
from support.sim import truth as truth_module
from wagtailtiller import clock as clock_module
from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.jobs import task as task_module
from wagtailtiller.ports import vms

_T = TypeVar("_T")
# Returns whether a process cannot reach a machine.
Barrier = Callable[[str], bool]
_ONE_WAY_DELAY_MS = 0.6
_COMMAND_TIMEOUT_MS = 800
_HOLD_TIMEOUT_MS = 600
_EXPIRY_CHECK_S = 0.05
_CHECKPOINT_INTERVAL_MS = 500
_RESTORE_MS = 100
_LATE_DELAY_MS = (2_000, 12_000)
# A caller resets the connection of a call after this time, so that the next
# instance does not get it any more.
_HELD_CALL_MS = 700
_HELD_CALL_CHECK_MS = 20
# Time after which a crashing task ends its VM.
_CRASH_DELAY_S = 0.01


class Health(enum.Enum):
    """Health of a VM: whether its tasks end normally, fail or hang."""

    HEALTHY = "sound"
    FAILS = "fails"
    HANGS = "hangs"


@dataclasses.dataclass
class _Execution:
    started_ms: int
    checkpoint_ms: int
    total_ms: int
    timer: asyncio.TimerHandle | None


class CallKind(enum.Enum):
    """Kinds of calls that a fault may hold back."""

    START = "start"
    ACKNOWLEDGEMENT = "acknowledgement"


class HeldCalls:
    """Holds back one call of each kind to a VM, until a fault releases it.

    The instance that has the VM's id by then executes it.

    Attributes:
        all_held: Set once a call of each kind is held back and its caller still
            waits for the answer.
    """

    def __init__(self) -> None:
        self._released: dict[CallKind, asyncio.Event] = {}
        self._first_held_s = 0.0
        self.all_held = asyncio.Event()

    def take(self, kind: CallKind) -> asyncio.Event | None:
        """Hold back a call, unless one of its kind is held back.

        Returns:
            The event that releases the call; None if it is not held back.
        """
        now_s = asyncio.get_running_loop().time()
        if not self._released:
            self._first_held_s = now_s
        is_late = now_s - self._first_held_s > _COMMAND_TIMEOUT_MS / 1_000
        if kind in self._released or is_late:
            return None
        self._released[kind] = asyncio.Event()
        if len(self._released) == len(CallKind):
            self.all_held.set()
        return self._released[kind]

    def release(self, kind: CallKind) -> None:
        """Let the call of a kind be executed."""
        self._released[kind].set()


class SimVm(fake_vms.FakeVm):
    """One instance of a VM.

    Args:
        vm_report: Registration of the VM.
        clock: Clock of the VM.
        jobs: Jobs with their actual behaviour.
        oracle: Oracle that records all starts and ends.
        crash: Crashes the VM; called when it has started a crashing task.
        max_lease_ms: Longest lease that the VM grants.

    Attributes:
        health: Whether tasks end normally, fail or hang.
        slowdown_factor: Factor on the run time of all tasks.
        partitioned: Processes that cannot reach the VM.
        barriers: Predicates of the processes that cannot reach the machine.
        late_share: Share of commands that are delayed.
        late_hold_share: Share of hold requests that are delayed.
        listens: Whether the VM executes other calls than late ones.
        held_calls: Holds back calls to the VM; None if nothing does.
        has_answered: Whether the instance has answered any call.
        dead: Whether the instance has ended.
        guards_capacity: Whether the VM refuses starts that do not fit.
    """

    def __init__(
        self,
        vm_report: vms.VmReport,
        clock: clock_module.Clock,
        jobs: truth_module.Jobs,
        oracle: "oracle_module.Oracle",
        crash: Callable[["SimVm"], None],
        max_lease_ms: int,
    ) -> None:
        self._platform_clock = clock
        # The steady clock of an instance begins anew.
        super().__init__(
            vm_report,
            loop_module.InstanceClock(clock),
            max_lease_ms=max_lease_ms,
        )
        self._crash = crash
        self.health = Health.HEALTHY
        self.slowdown_factor = 1.0
        self.partitioned: set[str] = set()
        self.barriers: list[Barrier] = []
        self.late_share = 0.0
        self.late_hold_share = 0.0
        self.listens = True
        self.held_calls: HeldCalls | None = None
        self.has_answered = False
        self.dead = False
        self._lapsed_lease_ms = 0
        self._read_position = 0
        self.guards_capacity = True
        self._jobs = jobs
        self._oracle = oracle
        self._executions: dict[model.TaskId, _Execution] = {}
        self._ends_changed = asyncio.Event()

    async def run(self) -> None:
        """Check the lease at regular intervals until the VM ends."""
        while not self.dead:
            await asyncio.sleep(_EXPIRY_CHECK_S)
            self.expire()

    def expire(self) -> None:
        """End all runs if the lease has expired."""
        lease_ms = self.lease_until_ms
        lapsed = self._clock.monotonic_ms() >= lease_ms
        if lapsed and lease_ms != self._lapsed_lease_ms:
            self._lapsed_lease_ms = lease_ms
            lapsed_for_ms = self._clock.monotonic_ms() - lease_ms
            self._oracle.record_lapse(
                self, self._platform_clock.monotonic_ms() - lapsed_for_ms
            )
        super().expire()

    def power_off(self) -> None:
        """End the instance and all runs without listing their ends."""
        self.dead = True
        for task, run in list(self.running.items()):
            self._remove_execution(task)
            self._oracle.record_end(
                self, task, run.number, task_module.EndKind.LOST
            )
        self.running.clear()
        self._ends_changed.set()

    def end(self, task: model.TaskId, kind: task_module.EndKind) -> None:
        """End a run and list its end with the last checkpoint."""
        number = self.running[task].number
        checkpoint = self._checkpoint(task)
        self._remove_execution(task)
        super().end(task, kind)
        if checkpoint and kind is not task_module.EndKind.DONE:
            listed_end = self.ended[-1]
            self.ended[-1] = vms.ListedEnd(
                listed_end.position, task, number, kind, checkpoint
            )
        self._oracle.record_end(self, task, number, kind)
        self._ends_changed.set()

    def reachable_from(self, process: str) -> bool:
        """Return whether requests and answers of a process get through."""
        return not (
            self.dead
            or not self.listens
            or process in self.partitioned
            or any(is_cut_off(process) for is_cut_off in self.barriers)
        )

    def rack_label(self) -> str:
        """Return the label of the VM's rack."""
        return self.report.labels[1]

    def free_millicores(self) -> int:
        """Return the processor capacity that no task uses.

        Filler tasks do not count.
        """
        used_millicores = sum(
            step.cpu_millicores
            for step in map(self._jobs.step, self.running)
            if step is not None and not step.filler
        )
        return self.report.capacity.cpu_millicores - used_millicores

    def _has_room(self, command: vms.StartCommand) -> bool:
        step = self._jobs.step(command.task)
        if step is None or not self.guards_capacity:
            return True
        memory_mb = sum(
            other.memory_mb
            for other in map(self._jobs.step, self.running)
            if other is not None
        )
        return (
            step.filler or step.cpu_millicores <= self.free_millicores()
        ) and memory_mb + step.memory_mb <= self.report.capacity.memory_mb

    def _start(self, command: vms.StartCommand) -> vms.CommandOutcome:
        already_running = command.task in self.running
        outcome = super()._start(command)
        if outcome is vms.CommandOutcome.DONE and not already_running:
            self._oracle.record_start(self, command)
            self._execute(command)
        return outcome

    def _execute(self, command: vms.StartCommand) -> None:
        task = command.task
        sim_job = self._jobs.get(task.job)
        step = self._jobs.step(task)
        if sim_job is None or step is None:
            return
        now_ms = self._clock.monotonic_ms()
        total_ms = sim_job.run_ms[task.step][task.position]
        checkpoint_ms = int(command.checkpoint) if command.checkpoint else 0
        execution = _Execution(now_ms, checkpoint_ms, total_ms, None)
        self._executions[task] = execution
        if (task.step, task.position) in sim_job.crashing:
            execution.timer = asyncio.get_running_loop().call_later(
                _CRASH_DELAY_S,
                self._crash,
                self,
                context=loop_module.context(""),
            )
            return
        if step.long_running or self.health is Health.HANGS:
            return
        kind = task_module.EndKind.DONE
        if sim_job.fails or self.health is Health.FAILS:
            kind = task_module.EndKind.FAILED
        restore_ms = _RESTORE_MS if checkpoint_ms else 0
        remaining_ms = (
            total_ms - checkpoint_ms
        ) * self.slowdown_factor + restore_ms
        execution.timer = asyncio.get_running_loop().call_later(
            remaining_ms / 1_000,
            self._finish,
            task,
            kind,
            context=loop_module.context(""),
        )

    def _finish(self, task: model.TaskId, kind: task_module.EndKind) -> None:
        if task in self.running:
            self.end(task, kind)

    def _checkpoint(self, task: model.TaskId) -> str:
        step = self._jobs.step(task)
        execution = self._executions.get(task)
        if step is None or execution is None or not step.checkpointing:
            return ""
        progress_ms = self._progress_ms(execution)
        return (
            str(progress_ms - progress_ms % _CHECKPOINT_INTERVAL_MS)
            if progress_ms
            else ""
        )

    def _progress_ms(self, execution: _Execution) -> int:
        if self.health is Health.HANGS:
            return execution.checkpoint_ms
        executed_ms = (
            self._clock.monotonic_ms() - execution.started_ms
        ) / self.slowdown_factor
        return min(
            execution.total_ms, execution.checkpoint_ms + int(executed_ms)
        )

    def _list_run(
        self, task: model.TaskId, run: fake_vms.FakeRun
    ) -> vms.ListedRun:
        execution = self._executions[task]
        percent = (
            100 * self._progress_ms(execution) // max(1, execution.total_ms)
        )
        return vms.ListedRun(
            task, run.number, self._checkpoint(task), percent, 0
        )

    def _remove_execution(self, task: model.TaskId) -> None:
        execution = self._executions.pop(task, None)
        if execution is not None and execution.timer is not None:
            execution.timer.cancel()

    def record_read(self, listing: vms.Listing) -> None:
        """Record that a caller has got a listing."""
        for end in listing.ended:
            self._read_position = max(self._read_position, end.position)

    def _discard_ends(self, acknowledged: int) -> None:
        for end in self.ended:
            if end.position <= acknowledged:
                is_read = end.position <= self._read_position
                self._oracle.record_acknowledgement(self, end, is_read)
        super()._discard_ends(acknowledged)

    async def _wait_for_end(self, wait_ms: int) -> None:
        if not wait_ms or self.ended:
            return
        self._ends_changed.clear()
        changed = asyncio.ensure_future(self._ends_changed.wait())
        await asyncio.wait({changed}, timeout=wait_ms / 1_000)
        changed.cancel()


class SimVmClient:
    """Connection of one process to a VM.

    Args:
        find_vm: Returns the VM that listens at the address now, or None.
        process: Process that owns the connection.
        rng: Random source that decides which commands are delayed.
    """

    def __init__(
        self,
        find_vm: Callable[[], SimVm | None],
        process: str,
        rng: random.Random,
    ) -> None:
        self._find_vm = find_vm
        self._process = process
        self._rng = rng

    async def start(self, command: vms.StartCommand) -> vms.CommandResponse:
        """Start a task."""
        held = self._held_back(CallKind.START)
        return await self._send_command(lambda vm: vm.start(command), held)

    async def stop(
        self, task: model.TaskId, number: int, token: int
    ) -> vms.CommandResponse:
        """Stop a run."""
        return await self._send_command(lambda vm: vm.stop(task, number, token))

    async def set_speed(
        self, task: model.TaskId, number: int, percent: int, token: int
    ) -> vms.CommandResponse:
        """Set the speed of a run in percent."""
        return await self._send_command(
            lambda vm: vm.set_speed(task, number, percent, token)
        )

    async def hold(
        self,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> vms.HoldResponse:
        """Extend the lease and list the runs.

        Args:
            token: Fencing token.
            acknowledged: Position up to which the VM may discard ended runs.
            lease_until_ms: Time on the VM's clock at which the lease expires;
                None to leave the lease unchanged.
            wait_ms: Longest time that the VM waits for a run to end before it
                responds.
        """
        vm = self._find_vm()
        late_share = vm.late_hold_share if vm is not None else 0.0
        held = (
            self._held_back(CallKind.ACKNOWLEDGEMENT) if acknowledged else None
        )
        call = self._deliver(
            lambda vm: vm.hold(token, acknowledged, lease_until_ms, wait_ms),
            # Days without such requests draw no number for them.
            late=late_share > 0 and self._rng.random() < late_share,
            held=held,
        )
        answer = await loop_module.call_remote(call, wait_ms + _HOLD_TIMEOUT_MS)
        return answer or vms.HoldResponse(vms.CommandOutcome.UNANSWERED)

    async def close(self) -> None:
        """Do nothing, as there is no transport."""

    def _held_back(self, kind: CallKind) -> asyncio.Event | None:
        vm = self._find_vm()
        if vm is None or vm.held_calls is None:
            return None
        return vm.held_calls.take(kind)

    async def _send_command(
        self,
        operation: Callable[[SimVm], Awaitable[vms.CommandResponse]],
        held: asyncio.Event | None = None,
    ) -> vms.CommandResponse:
        vm = self._find_vm()
        late_share = vm.late_share if vm is not None else 0.0
        late = self._rng.random() < late_share
        answer = await loop_module.call_remote(
            self._deliver(operation, late, held), _COMMAND_TIMEOUT_MS
        )
        return answer or vms.CommandResponse(vms.CommandOutcome.UNANSWERED)

    async def _deliver(
        self,
        operation: Callable[[SimVm], Awaitable[_T]],
        late: bool,
        held: asyncio.Event | None,
    ) -> _T:
        await asyncio.sleep(_ONE_WAY_DELAY_MS / 1_000)
        vm = await self._arrive()
        if held is not None:
            await held.wait()
        elif late:
            await asyncio.sleep(self._rng.uniform(*_LATE_DELAY_MS) / 1_000)
        if late or held is not None:
            vm = await self._present_instance()
        answer = await operation(vm)
        await asyncio.sleep(_ONE_WAY_DELAY_MS / 1_000)
        is_answered = not late and held is None
        if not is_answered or not vm.reachable_from(self._process):
            await loop_module.wait_forever()
        vm.has_answered = True
        if isinstance(answer, vms.HoldResponse) and answer.listing is not None:
            vm.record_read(answer.listing)
        return answer

    async def _present_instance(self) -> SimVm:
        """Return the VM that executes a late call, never if there is none."""
        vm = self._find_vm()
        if vm is None or vm.dead:
            return await loop_module.wait_forever()
        return vm

    async def _arrive(self) -> SimVm:
        """Return the VM that executes a call, never if there is none.

        An instance that starts under the id of one that has ended executes the
        calls that were meant for it.
        """
        for _ in range(_HELD_CALL_MS // _HELD_CALL_CHECK_MS):
            vm = self._find_vm()
            if vm is not None and vm.reachable_from(self._process):
                return vm
            if vm is None or (vm.listens and not vm.dead):
                break
            await asyncio.sleep(_HELD_CALL_CHECK_MS / 1_000)
        return await loop_module.wait_forever()


def vm_report(
    name: str,
    pool: ids.PoolId,
    machine: str,
    born_ms: int,
    rack: str,
    capacity: vms.Resources,
) -> vms.VmReport:
    """Return the registration of a simulated VM.

    Args:
        name: Name of the VM instance.
        pool: Pool that the VM belongs to.
        machine: Name of the machine that the VM runs on.
        born_ms: Wall-clock time at which the instance started.
        rack: Rack label of the machine.
        capacity: Resources of the VM.
    """
    report = fake_vms.report(
        name, pool, born_ms, labels=("a", rack), capacity=capacity
    )
    return msgspec.structs.replace(report, machine=ids.MachineId(machine))
