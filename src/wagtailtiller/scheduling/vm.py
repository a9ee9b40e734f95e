"""What a pool's owner knows of one VM: its room, its runs and its lease."""

import dataclasses
import enum

from wagtailtiller.jobs import job
from wagtailtiller.jobs import model
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import throttling

# A VM's steady clock may be this much slower than ours.
SLOWEST_CLOCK = 0.98


class VmStatus(enum.Enum):
    """Whether an owner may use a VM.

    ``JOINING`` VMs have not yet answered under this owner's token, ``UNRESPONSIVE``
    ones no longer answer.
    """

    JOINING = "joining"
    USABLE = "usable"
    UNRESPONSIVE = "silent"


@dataclasses.dataclass(slots=True)
class LeaseTracker:
    """When the lease of what runs on a VM has surely ended.

    Attributes:
        vm_clock_ms: The VM's clock when it last told it.
        clock_received_ms: Our clock when that answer arrived.
        latest_end_vm_ms: The latest end that was ever sent, on the VM's clock.
        floor_ms: On our clock, not before this; covers a former owner.
    """

    vm_clock_ms: int = 0
    clock_received_ms: int = 0
    latest_end_vm_ms: int = 0
    floor_ms: int = 0

    def update_clock(self, vm_clock_ms: int, received_ms: int) -> None:
        """Take note of the VM's clock."""
        if vm_clock_ms > self.vm_clock_ms:
            self.vm_clock_ms = vm_clock_ms
            self.clock_received_ms = received_ms

    def extend(self, now_ms: int, lease_ms: int) -> int:
        """Return the end of a new lease on the VM's clock."""
        until_ms = (
            self.vm_clock_ms + (now_ms - self.clock_received_ms) + lease_ms
        )
        self.latest_end_vm_ms = max(self.latest_end_vm_ms, until_ms)
        return until_ms

    def over_ms(self) -> int:
        """Return when, on our clock, every lease sent has ended."""
        left_ms = max(0, self.latest_end_vm_ms - self.vm_clock_ms)
        return max(
            self.floor_ms, self.clock_received_ms + int(left_ms / SLOWEST_CLOCK)
        )


class Vm:
    """One life of a VM in the eyes of its pool's owner.

    Attributes:
        report: What it registered.
        token: The fencing token of the orders that it gets.
        status: Whether it may be used.
        runs: What runs there by the owner's knowledge.
        lease: When its leases end.
        seen_end: The last end that was taken in.
        silent_since_ms: When it stopped answering.
        closed_until_ms: No starts before, since it is being emptied.
        moves_long_running_until_ms: Until then, tasks that last are moved away.
        moves_all_until_ms: Until then, all tasks are moved away.
        avoid_until_ms: It has just refused a start.
        listed_clock_ms: The VM's clock at its latest answer taken in.
        throttle: How fast fillers may work there.
        registered: It is in the platform's list.
    """

    def __init__(self, report: vms.VmReport, token: int) -> None:
        self.report = report
        self.token = token
        self.status = VmStatus.JOINING
        self.runs: dict[model.TaskId, job.Run] = {}
        self.lease = LeaseTracker()
        self.seen_end = 0
        self.silent_since_ms: int | None = None
        self.closed_until_ms = 0
        self.moves_long_running_until_ms = 0
        self.moves_all_until_ms = 0
        self.avoid_until_ms = 0
        self.listed_clock_ms = 0
        self.throttle = throttling.FillerThrottle()
        self.registered = True
        self._cpu_used = 0
        self._memory_used_mb = 0
        self._gpu_used = 0

    @property
    def rack(self) -> str:
        """The rack label; labels are the kind and then the rack."""
        labels = self.report.labels
        return labels[1] if len(labels) > 1 else ""

    @property
    def free_cpu(self) -> int:
        """Processor share that is not taken, in thousandths of a core."""
        return self.report.capacity.cpu_millicores - self._cpu_used

    @property
    def draining(self) -> bool:
        """Whether it has said that it will leave."""
        return self.report.phase is vms.VmPhase.DRAINING

    def open_for_starts(self, now_ms: int) -> bool:
        """Return whether new work may go there."""
        return (
            self.status is VmStatus.USABLE
            and self.registered
            and not self.draining
            and now_ms >= self.closed_until_ms
            and now_ms >= self.avoid_until_ms
        )

    def fits_when_empty(self, step: model.Step) -> bool:
        """Return whether a task of a step fits when nothing else runs."""
        capacity = self.report.capacity
        return (
            (step.filler or step.cpu_millicores <= capacity.cpu_millicores)
            and step.memory_mb <= capacity.memory_mb
            and step.gpu_count <= capacity.gpu_count
            and self._has_label(step)
        )

    def fits(self, step: model.Step, count: int = 1) -> bool:
        """Return whether so many tasks of a step fit beside what runs."""
        capacity = self.report.capacity
        cpu = 0 if step.filler else step.cpu_millicores
        cpu_fits = cpu * count <= capacity.cpu_millicores - self._cpu_used
        return (
            (cpu_fits or not cpu)
            and step.memory_mb * count
            <= capacity.memory_mb - self._memory_used_mb
            and step.gpu_count * count <= capacity.gpu_count - self._gpu_used
            and self._has_label(step)
        )

    def add(self, run: job.Run) -> None:
        """Book a run."""
        self.runs[run.task.id] = run
        self._adjust_usage(run.task.step, 1)

    def remove(self, run: job.Run) -> None:
        """Free what a run has taken."""
        if self.runs.get(run.task.id) is run:
            del self.runs[run.task.id]
            self._adjust_usage(run.task.step, -1)

    def step_task_count(self, task: model.TaskId) -> int:
        """Return how many tasks of the same step run there."""
        return sum(
            1
            for other in self.runs
            if other.job == task.job
            and other.occurrence == task.occurrence
            and other.step == task.step
        )

    def _has_label(self, step: model.Step) -> bool:
        wanted = step.required_label
        return not wanted or wanted in self.report.labels

    def _adjust_usage(self, step: model.Step, sign: int) -> None:
        if not step.filler:
            self._cpu_used += sign * step.cpu_millicores
        self._memory_used_mb += sign * step.memory_mb
        self._gpu_used += sign * step.gpu_count
