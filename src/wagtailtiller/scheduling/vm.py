"""State of a VM as its owner tracks it: capacity, runs and lease."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum

from wagtailtiller.jobs import model
from wagtailtiller.jobs import task as task_module
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import throttling

# Lowest rate of a VM's monotonic clock, relative to the owner's clock.
MIN_CLOCK_RATE = 0.98
# VMs execute calls that they leave unanswered at most this long after they were
# sent.
LATEST_EXECUTION_MS = 15_000


class VmStatus(enum.Enum):
    """Whether an owner may use a VM.

    ``JOINING`` VMs have not yet responded under this owner's fencing token, and
    ``UNRESPONSIVE`` VMs no longer respond.
    """

    JOINING = "joining"
    USABLE = "usable"
    UNRESPONSIVE = "silent"


@dataclasses.dataclass(slots=True)
class LeaseTracker:
    """Tracks when the lease of a VM's runs has certainly expired.

    Attributes:
        vm_clock_ms: Latest known reading of the VM's clock.
        clock_received_ms: Time at which that reading arrived, on the owner's
            clock.
        latest_end_vm_ms: Latest lease end that was sent, on the VM's clock.
        min_expiry_ms: Earliest expiry, on the owner's clock, to cover leases
            from a previous owner or of a previous VM instance.
    """

    vm_clock_ms: int = 0
    clock_received_ms: int = 0
    latest_end_vm_ms: int = 0
    min_expiry_ms: int = 0

    def update_clock(self, vm_clock_ms: int, received_ms: int) -> None:
        """Record a reading of the VM's clock, unless a later one is known.

        Args:
            vm_clock_ms: Reading of the VM's clock.
            received_ms: Time at which the reading arrived, on the owner's
                clock.
        """
        if vm_clock_ms > self.vm_clock_ms:
            self.vm_clock_ms = vm_clock_ms
            self.clock_received_ms = received_ms

    def extend(self, now_ms: int, lease_ms: int) -> int:
        """Extend the lease and return its end, on the VM's clock.

        Args:
            now_ms: Current time, on the owner's clock.
            lease_ms: Duration of the lease.
        """
        # On a VM with the slowest clock the lease lasts no longer than that,
        # however old the reading is.
        elapsed_ms = int((now_ms - self.clock_received_ms) * MIN_CLOCK_RATE)
        until_ms = self.vm_clock_ms + elapsed_ms + lease_ms
        self.latest_end_vm_ms = max(self.latest_end_vm_ms, until_ms)
        return until_ms

    def cover(self, until_ms: int) -> None:
        """Record that a lease may last until a time at least.

        Args:
            until_ms: Time on the owner's clock.
        """
        self.min_expiry_ms = max(self.min_expiry_ms, until_ms)

    def expiry_ms(self) -> int:
        """Return when all leases have expired, on the owner's clock."""
        left_ms = max(0, self.latest_end_vm_ms - self.vm_clock_ms)
        return max(
            self.min_expiry_ms,
            self.clock_received_ms + int(left_ms / MIN_CLOCK_RATE),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Reservation:
    task: task_module.Task
    until_ms: int


def is_short(step: model.Step) -> bool:
    """Return whether tasks of a step end by themselves, each on its own."""
    return not (step.long_running or step.filler or step.gang)


def _waits_for_start(run: task_module.Run) -> bool:
    return run.phase is task_module.RunPhase.STARTING and not run.sent_ms


class Vm:
    """A VM instance, as the owner of its pool tracks it.

    Times are on the owner's clock unless stated otherwise.

    Attributes:
        report: Latest report of the VM; its capacity may be less than before.
        full_capacity: Most of each resource that this instance has reported.
        token: Fencing token of the commands sent to the VM.
        status: Whether the VM may be used.
        runs: Tracked runs on the VM by task.
        lease: Tracker of the lease of the runs.
        last_end_position: Position of the last ended run that was applied, in
            the VM's list of ended runs.
        stored_end_position: Position up to which the jobs of the applied ended
            runs are stored, so that the VM may discard these runs.
        unread_jobs: Jobs of listed runs that the owner does not know. They may
            be stored; later ends are applied, and runs stopped, once this is
            known.
        absent_jobs: Those of them that are not stored.
        acknowledged_token: Highest fencing token of the requests that have
            acknowledged ended runs; 0 if there was none.
        has_more_ends: Whether listed runs belong to unread jobs, or further
            ended runs are to be listed.
        follows_other_life: Whether another instance had the id of the VM, so
            that this one may have executed calls that were meant for that one.
        unresponsive_since_ms: Time at which the VM stopped responding; None if
            it responds.
        closed_until_ms: Time until which nothing starts on the VM because it is
            being vacated.
        moves_long_running_until_ms: Time until which long-running tasks are
            moved to other VMs.
        moves_all_until_ms: Time until which all tasks are moved to other VMs.
        avoid_until_ms: Time until which nothing starts on the VM because it has
            refused a start.
        slow_until_ms: Time until which the VM gets no tasks because it is slow.
        straggles_until_ms: Time until which runs on the VM count as stragglers,
            be it used or not.
        answered_ms: Time of the last response; 0 if there was none.
        failed_call_sent_ms: Time at which the call was sent whose timeout made
            the VM unresponsive.
        on_probation: Whether the VM gets one short task at a time until one has
            ended well.
        progress_ends_probation: Whether the progress of a task is enough to end
            probation, since the VM was only slow.
        probation_since_ms: Time at which probation began.
        probation_ends_ms: Time at which probation ends in any case.
        silent_at_ms: Latest times at which the VM stopped responding after it
            had been usable, the last one first.
        listed_clock_ms: Reading of the VM's clock in the latest listing that
            was applied.
        throttle: Throttle of the fillers on the VM.
        registered: Whether the VM is in the platform's list.
        orphan_tasks: Tasks of the orphan runs in the latest listing, which
            count like runs.
        has_unknown_runs: Whether the latest listing has runs of unknown jobs.
            Nothing starts beside them, since their needs are not known.
        isolates: Task, or first task of the gang, that runs alone on the VM or
            for which it is kept free; None if the VM is used as others are.
    """

    def __init__(self, report: vms.VmReport, token: int) -> None:
        self.report = report
        self.full_capacity = report.capacity
        self.token = token
        self.status = VmStatus.JOINING
        self.runs: dict[model.TaskId, task_module.Run] = {}
        self.lease = LeaseTracker()
        self.last_end_position = 0
        self.stored_end_position = 0
        self.acknowledged_token = 0
        self.unread_jobs: set[model.JobId] = set()
        self.absent_jobs: set[model.JobId] = set()
        self.has_more_ends = False
        self.unresponsive_since_ms: int | None = None
        self.closed_until_ms = 0
        self.moves_long_running_until_ms = 0
        self.moves_all_until_ms = 0
        self.avoid_until_ms = 0
        self.slow_until_ms = 0
        self.straggles_until_ms = 0
        self.answered_ms = 0
        self.follows_other_life = False
        self.failed_call_sent_ms = 0
        self.on_probation = False
        self.progress_ends_probation = False
        self.probation_since_ms = 0
        self.probation_ends_ms = 0
        self.silent_at_ms: tuple[int, ...] = ()
        self.listed_clock_ms = 0
        self.throttle = throttling.FillerThrottle()
        self.registered = True
        self.orphan_tasks: list[task_module.Task] = []
        self.isolates: model.TaskId | None = None
        self.has_unknown_runs = False
        self._held_since_ms = 0
        self._held_until_ms = 0
        self._reservations: dict[model.TaskId, _Reservation] = {}
        self._cpu_used = 0
        self._memory_used_mb = 0
        self._gpu_used = 0

    @property
    def rack(self) -> str:
        """Rack of the VM; its labels are the kind and then the rack."""
        labels = self.report.labels
        return labels[1] if len(labels) > 1 else ""

    @property
    def free_cpu(self) -> int:
        """Free processor capacity, in millicores."""
        return self.report.capacity.cpu_millicores - self._cpu_used

    @property
    def has_unstored_ends(self) -> bool:
        """Whether ended runs were applied whose jobs are not stored yet."""
        return self.last_end_position > self.stored_end_position

    @property
    def lost_millicores(self) -> int:
        """Processor capacity that the VM has reported before, but not now."""
        return (
            self.full_capacity.cpu_millicores
            - self.report.capacity.cpu_millicores
        )

    @property
    def draining(self) -> bool:
        """Whether the VM has announced that it will leave."""
        return self.report.phase is vms.VmPhase.DRAINING

    def update_report(self, report: vms.VmReport) -> None:
        """Apply a newer report of this instance."""
        self.report = report
        known, reported = self.full_capacity, report.capacity
        self.full_capacity = vms.Resources(
            max(known.cpu_millicores, reported.cpu_millicores),
            max(known.memory_mb, reported.memory_mb),
            max(known.gpu_count, reported.gpu_count),
        )

    def may_execute_late_start(self, now_ms: int) -> bool:
        """Return whether a start without an answer may still be executed.

        Args:
            now_ms: Current time, on the owner's clock.
        """
        since_ms = now_ms - LATEST_EXECUTION_MS
        return any(
            run.sent_ms > since_ms and not run.confirmed_ms
            for run in self.runs.values()
            if run.sent_ms
        )

    def open_for_starts(self, now_ms: int) -> bool:
        """Return whether new runs may start on the VM."""
        return (
            self.status is VmStatus.USABLE
            and self.registered
            and not self.draining
            and not self.has_unknown_runs
            and now_ms >= self.closed_until_ms
            and now_ms >= self.avoid_until_ms
        )

    def is_slow(self, now_ms: int) -> bool:
        """Return whether the VM gets no tasks because it is slow."""
        return now_ms < self.slow_until_ms

    def has_stragglers(self, now_ms: int) -> bool:
        """Return whether runs on the VM take much longer than on others."""
        return now_ms < self.straggles_until_ms

    def hold_back(self, since_ms: int, until_ms: int) -> None:
        """Start nothing on the VM until it has answered a later call.

        Args:
            since_ms: Current time; an earlier call does not count.
            until_ms: Time at which the VM is used again in any case.
        """
        self._held_since_ms = since_ms
        self._held_until_ms = until_ms

    def is_held_back(self, now_ms: int) -> bool:
        """Return whether the VM gets no tasks because its rack is failing."""
        return now_ms < self._held_until_ms

    def record_answer(self, sent_ms: int, received_ms: int) -> None:
        """Record that the VM has answered a call.

        Args:
            sent_ms: Time at which the call was sent.
            received_ms: Time at which the response arrived.
        """
        self.answered_ms = max(self.answered_ms, received_ms)
        if sent_ms >= self._held_since_ms:
            self._held_until_ms = 0

    def fits_when_empty(self, step: model.Step) -> bool:
        """Return whether a task of a step fits on the VM when it is empty."""
        return self._is_within(step, self.report.capacity)

    def fits_at_full_capacity(self, step: model.Step) -> bool:
        """Return whether a task fits on the VM empty, once it has grown."""
        return self._is_within(step, self.full_capacity)

    def fits(self, step: model.Step, count: int = 1) -> bool:
        """Return whether tasks of a step fit beside the current runs.

        Args:
            step: Step of the tasks.
            count: Number of tasks.
        """
        capacity = self.report.capacity
        cpu = 0 if step.filler else step.cpu_millicores
        memory_mb = step.memory_mb
        gpu_count = step.gpu_count
        # The free amount is negative while the runs need more than a capacity
        # that has shrunk; a task that needs none of it adds nothing to that.
        return (
            (not cpu or cpu * count <= capacity.cpu_millicores - self._cpu_used)
            and (not self.on_probation or self._accepts_probe(step, count))
            and (
                not memory_mb
                or memory_mb * count
                <= capacity.memory_mb - self._memory_used_mb
            )
            and (
                not gpu_count
                or gpu_count * count <= capacity.gpu_count - self._gpu_used
            )
            and self._has_label(step)
        )

    def room(self, step: model.Step, limit: int) -> int:
        """Return how many tasks of a step fit beside the current runs.

        A VM that is kept for one task has no room for others.

        Args:
            step: Step of the tasks.
            limit: Largest number that is of interest.
        """
        if self.isolates is not None:
            return 0
        return self._room(
            step, limit, self._cpu_used, self._memory_used_mb, self._gpu_used
        )

    def room_beside(
        self, step: model.Step, limit: int, others: Iterable[model.Step]
    ) -> int:
        """Return how many tasks of a step fit beside some runs only.

        Args:
            step: Step of the tasks.
            limit: Largest number that is of interest.
            others: Step of each of these runs.
        """
        cpu_used = memory_used_mb = gpu_used = 0
        for other in others:
            cpu_used += 0 if other.filler else other.cpu_millicores
            memory_used_mb += other.memory_mb
            gpu_used += other.gpu_count
        return self._room(step, limit, cpu_used, memory_used_mb, gpu_used)

    def _room(
        self,
        step: model.Step,
        limit: int,
        cpu_used: int,
        memory_used_mb: int,
        gpu_used: int,
    ) -> int:
        if not self._has_label(step):
            return 0
        if step.max_per_vm:
            limit = min(limit, step.max_per_vm)
        capacity = self.report.capacity
        needs = (
            (
                0 if step.filler else step.cpu_millicores,
                capacity.cpu_millicores - cpu_used,
            ),
            (step.memory_mb, capacity.memory_mb - memory_used_mb),
            (step.gpu_count, capacity.gpu_count - gpu_used),
        )
        for need, free in needs:
            if need:
                limit = min(limit, free // need)
        return max(0, limit)

    def still_fits(self, run: task_module.Run) -> bool:
        """Return whether a run that waits for its start fits at the moment.

        The report may have changed since the run was planned. Other runs that
        wait for their starts do not count, nor do reservations, so that starts
        give way in the reverse order of their turns.

        Args:
            run: Run on the VM whose start command has not been sent.
        """
        capacity = self.report.capacity
        if (
            self._cpu_used <= capacity.cpu_millicores
            and self._memory_used_mb <= capacity.memory_mb
            and self._gpu_used <= capacity.gpu_count
        ):
            return True
        steps = [
            other.task.step
            for other in self.runs.values()
            if other is run or not _waits_for_start(other)
        ]
        steps.extend(task.step for task in self.orphan_tasks)
        step = run.task.step
        cpu = sum(each.cpu_millicores for each in steps if not each.filler)
        memory_mb = sum(each.memory_mb for each in steps)
        gpu_count = sum(each.gpu_count for each in steps)
        needs_cpu = step.cpu_millicores and not step.filler
        return (
            (not needs_cpu or cpu <= capacity.cpu_millicores)
            and (not step.memory_mb or memory_mb <= capacity.memory_mb)
            and (not step.gpu_count or gpu_count <= capacity.gpu_count)
        )

    def add(self, run: task_module.Run) -> None:
        """Add a run and reserve its resources."""
        self.runs[run.task.id] = run
        self._adjust_usage(run.task.step, 1)

    def remove(self, run: task_module.Run) -> None:
        """Remove a run and release its resources."""
        if self.runs.get(run.task.id) is run:
            del self.runs[run.task.id]
            self._adjust_usage(run.task.step, -1)

    def set_orphans(
        self, tasks: list[task_module.Task], has_unknown: bool
    ) -> None:
        """Replace the orphan runs that take room on the VM.

        Args:
            tasks: Tasks of the orphan runs whose jobs are known.
            has_unknown: Whether there are runs of unknown jobs.
        """
        for task in self.orphan_tasks:
            self._adjust_usage(task.step, -1)
        for task in tasks:
            self._adjust_usage(task.step, 1)
        self.orphan_tasks = tasks
        self.has_unknown_runs = has_unknown

    def reserve(self, task: task_module.Task, until_ms: int) -> None:
        """Keep room for a task that is being stopped on another VM.

        Args:
            task: Task that is to start here.
            until_ms: Time at which the room is released, if it is not before.
        """
        if task.id not in self._reservations:
            self._adjust_usage(task.step, 1)
        self._reservations[task.id] = _Reservation(task, until_ms)

    def reserved_tasks(self) -> Iterator[task_module.Task]:
        """Yield the tasks for which room is kept."""
        for reservation in self._reservations.values():
            yield reservation.task

    def release_reservations(self, now_ms: int) -> None:
        """Release the room of tasks that have stopped, or not stopped in time.

        Args:
            now_ms: Current time, on the owner's clock.
        """
        for task_id, reservation in list(self._reservations.items()):
            if reservation.task.run is None or now_ms >= reservation.until_ms:
                del self._reservations[task_id]
                self._adjust_usage(reservation.task.step, -1)

    def step_task_count(self, task: model.TaskId) -> int:
        """Return how many tasks of a step run or have room on the VM.

        Args:
            task: Id of any task of the step.
        """
        return sum(
            1
            for other in (*self.runs, *self._reservations)
            if other.job == task.job
            and other.occurrence == task.occurrence
            and other.step == task.step
        )

    def _accepts_probe(self, step: model.Step, count: int) -> bool:
        """Return whether a task may start on the VM while on probation.

        Long-running tasks stay where they are, and tell nothing soon.
        """
        return (
            count == 1
            and is_short(step)
            and not any(is_short(run.task.step) for run in self.runs.values())
        )

    def _is_within(self, step: model.Step, capacity: vms.Resources) -> bool:
        return (
            (step.filler or step.cpu_millicores <= capacity.cpu_millicores)
            and step.memory_mb <= capacity.memory_mb
            and step.gpu_count <= capacity.gpu_count
            and self._has_label(step)
        )

    def _has_label(self, step: model.Step) -> bool:
        wanted = step.required_label
        return not wanted or wanted in self.report.labels

    def _adjust_usage(self, step: model.Step, sign: int) -> None:
        if not step.filler:
            self._cpu_used += sign * step.cpu_millicores
        self._memory_used_mb += sign * step.memory_mb
        self._gpu_used += sign * step.gpu_count
