"""In-memory VM that follows the rules of the platform's worker interface."""

import asyncio
import dataclasses

import msgspec

from wagtailtiller import clock as clock_module
from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.jobs import task as task_module
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import pool as pool_module
from wagtailtiller.scheduling import vm as vm_module

_HOLD_WAIT_S = 0.02
_MAX_LEASE_MS = 60_000
DEFAULT_CAPACITY = vms.Resources(cpu_millicores=32_000, memory_mb=131_072)


def report(
    vm: str,
    pool: str = "renders",
    born_ms: int = 1,
    labels: tuple[str, ...] = ("a", "r1"),
    phase: vms.VmPhase = vms.VmPhase.READY,
    capacity: vms.Resources = DEFAULT_CAPACITY,
) -> vms.VmReport:
    """Return the registration of a VM, with defaults for its fields."""
    return vms.VmReport(
        vm=ids.VmId(vm),
        pool=ids.PoolId(pool),
        address=f"{vm}:1",
        data_centre=ids.DataCentreId("dc-1"),
        phase=phase,
        capacity=capacity,
        labels=labels,
        born_ms=born_ms,
        machine=ids.MachineId(f"m-{vm}"),
    )


def on_machine(vm_report: vms.VmReport, machine: str) -> vms.VmReport:
    """Return the registration of a VM on another machine."""
    return msgspec.structs.replace(vm_report, machine=ids.MachineId(machine))


def expire_leases(pool: pool_module.Pool) -> list[vm_module.Vm]:
    """Discard the runs of VMs whose leases are over, as the sole owner does.

    Args:
        pool: Pool of the VMs.

    Returns:
        The VMs that were removed.
    """
    pool.owned_until_ms = pool.clock.monotonic_ms()
    return pool.vm_tracker.expire_leases()


@dataclasses.dataclass
class FakeRun:
    """Run that is in progress.

    Attributes:
        number: Number of the run.
        lease_until_ms: Lease expiry time that the start command set.
    """

    number: int
    lease_until_ms: int


class FakeVm:
    """In-memory VM whose commands can be lost or executed late.

    It implements ``vms.VmClient``. Its method ``connect`` replaces the function
    that opens a client for a VM.

    Args:
        vm_report: Registration of the VM.
        clock: Clock of the VM.
        capacity_tasks: Largest number of concurrent tasks; None for no limit.
        max_lease_ms: Longest lease that the VM grants.

    Attributes:
        report: Registration of the VM.
        running: Current run of each task.
        ended: Ended runs that have not been acknowledged.
        token: Highest fencing token seen.
        unresponsive: Whether the VM leaves all commands unanswered.
        delay_starts: Whether start commands are stored, unanswered, until
            ``execute_delayed_starts`` is called.
        delayed_starts: Stored start commands.
        starts: Start commands that started a run.
        lease_until_ms: Time at which the lease of all runs expires.
        holds: Number of hold requests.
    """

    def __init__(
        self,
        vm_report: vms.VmReport,
        clock: clock_module.Clock,
        capacity_tasks: int | None = None,
        max_lease_ms: int = _MAX_LEASE_MS,
    ) -> None:
        self.report = vm_report
        self.running: dict[model.TaskId, FakeRun] = {}
        self.ended: list[vms.ListedEnd] = []
        self.token = 0
        self.unresponsive = False
        self.delay_starts = False
        self.delayed_starts: list[vms.StartCommand] = []
        self.starts: list[vms.StartCommand] = []
        self._clock = clock
        self._last_position = 0
        self._highest_number: dict[model.TaskId, int] = {}
        self._capacity_tasks = capacity_tasks
        self._max_lease_ms = max_lease_ms
        self.lease_until_ms = 0
        self.holds = 0

    def connect(self, vm_report: vms.VmReport) -> "FakeVm":
        """Return the client for this VM, which is the VM itself."""
        return self

    def expire(self) -> None:
        """End all runs if the lease has expired."""
        if self._clock.monotonic_ms() >= self.lease_until_ms:
            for task in list(self.running):
                self.end(task, task_module.EndKind.LEASE_EXPIRED)

    def end(self, task: model.TaskId, kind: task_module.EndKind) -> None:
        """End a run and list it as ended."""
        run = self.running.pop(task)
        self._last_position += 1
        self.ended.append(
            vms.ListedEnd(self._last_position, task, run.number, kind, "")
        )

    def execute_delayed_starts(self) -> None:
        """Execute the stored start commands."""
        delayed, self.delayed_starts = self.delayed_starts, []
        for command in delayed:
            self._start(command)

    async def start(self, command: vms.StartCommand) -> vms.CommandResponse:
        """Start a run of a task."""
        if self.unresponsive:
            return vms.CommandResponse(vms.CommandOutcome.UNANSWERED)
        if self.delay_starts:
            self.delayed_starts.append(command)
            return vms.CommandResponse(vms.CommandOutcome.UNANSWERED)
        return vms.CommandResponse(
            self._start(command), self._clock.monotonic_ms()
        )

    async def stop(
        self, task: model.TaskId, number: int, token: int
    ) -> vms.CommandResponse:
        """Stop a run."""
        if self.unresponsive:
            return vms.CommandResponse(vms.CommandOutcome.UNANSWERED)
        if not self._accept_token(token):
            return vms.CommandResponse(vms.CommandOutcome.FENCED)
        self._highest_number[task] = max(
            self._highest_number.get(task, 0), number
        )
        run = self.running.get(task)
        if run is not None and run.number == number:
            self.end(task, task_module.EndKind.STOPPED)
        return vms.CommandResponse(vms.CommandOutcome.DONE)

    async def set_speed(
        self, task: model.TaskId, number: int, percent: int, token: int
    ) -> vms.CommandResponse:
        """Accept any speed and ignore it."""
        return vms.CommandResponse(vms.CommandOutcome.DONE)

    async def hold(
        self,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> vms.HoldResponse:
        """Extend the lease, wait briefly if asked to, and list the runs."""
        self.holds += 1
        if self.unresponsive:
            await asyncio.sleep(0)
            return vms.HoldResponse(vms.CommandOutcome.UNANSWERED)
        if not self._accept_token(token):
            return vms.HoldResponse(vms.CommandOutcome.FENCED)
        self.expire()
        if lease_until_ms is not None:
            self._extend_lease(lease_until_ms)
        self._discard_ends(acknowledged)
        await self._wait_for_end(wait_ms)
        if self.unresponsive:
            return vms.HoldResponse(vms.CommandOutcome.UNANSWERED)
        running = tuple(
            self._list_run(task, run) for task, run in self.running.items()
        )
        listing = vms.Listing(
            self._clock.monotonic_ms(),
            self.report.born_ms,
            running,
            tuple(self.ended),
        )
        return vms.HoldResponse(vms.CommandOutcome.DONE, listing)

    async def close(self) -> None:
        """Close nothing, since there is no connection."""

    def _discard_ends(self, acknowledged: int) -> None:
        self.ended = [e for e in self.ended if e.position > acknowledged]

    async def _wait_for_end(self, wait_ms: int) -> None:
        await asyncio.sleep(_HOLD_WAIT_S if wait_ms else 0)

    def _list_run(self, task: model.TaskId, run: FakeRun) -> vms.ListedRun:
        return vms.ListedRun(task, run.number, "", 100, 0)

    def _has_room(self, command: vms.StartCommand) -> bool:
        limit = self._capacity_tasks
        return limit is None or len(self.running) < limit

    def _extend_lease(self, until_ms: int) -> None:
        longest_ms = self._clock.monotonic_ms() + self._max_lease_ms
        self.lease_until_ms = max(
            self.lease_until_ms, min(until_ms, longest_ms)
        )

    def _accept_token(self, token: int) -> bool:
        if token < self.token:
            return False
        self.token = token
        return True

    def _start(self, command: vms.StartCommand) -> vms.CommandOutcome:
        if not self._accept_token(command.token):
            return vms.CommandOutcome.FENCED
        if self._clock.monotonic_ms() >= command.lease_until_ms:
            return vms.CommandOutcome.LATE
        running = self.running.get(command.task)
        if running is not None and running.number == command.number:
            return vms.CommandOutcome.DONE
        if command.number <= self._highest_number.get(command.task, 0):
            return vms.CommandOutcome.OLD_RUN
        if not self._has_room(command):
            return vms.CommandOutcome.NO_ROOM
        self._highest_number[command.task] = command.number
        self._extend_lease(command.lease_until_ms)
        self.running[command.task] = FakeRun(
            command.number, command.lease_until_ms
        )
        self.starts.append(command)
        return vms.CommandOutcome.DONE
