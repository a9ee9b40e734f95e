"""Where a task that may have crashed its VM starts again.

Two rules hold for such a task, which is called a suspect. Tasks that were lost
with the same VM start in small groups on different VMs, so that the next crash
tells them apart. A task with several suspicions is isolated: it starts on a VM
that was kept free for it, alone, so that one more crash takes nothing with it.
Both rules look at starts only. A task that crashes VMs does so when it starts;
once its VM has survived that, the next one may start there.

``accepts`` is the only check of both rules; ``Isolation`` decides which VMs are
kept, and how large the groups are. The module does no I/O and reads no clock.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import math

from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.jobs import task as task_module
from wagtailtiller.scheduling import crashes
from wagtailtiller.scheduling import vm as vm_module

# One suspicion is shared by all tasks that were lost with a VM, nearly all of
# which are innocent.
_ISOLATED_FROM = 2
# Within so many rounds of starts all tasks that were lost with one VM have
# started again. On a single VM, each crash halves the group.
_GROUP_ROUNDS = 2
_KEPT_DIVISOR = 4
# The search for suspects looks at all waiting and running tasks. While it finds
# none, it is repeated after this time, or after so much for each waiting job,
# so that a long queue does not take more processor time. A crash is noticed
# sooner, because the open VMs change.
_SEARCH_MS = 25
_SEARCH_MS_PER_JOB = 0.2
# A task that does not start on a VM that is free for it will not do so soon: a
# placement policy may have denied the VM.
_MAX_FREE_MS = 3_000
_RETRY_MS = 5_000


def is_suspect(task: task_module.Task) -> bool:
    """Return whether a task may have crashed a VM."""
    return bool(task.crashed_on or task.lost_on)


def needs_isolation(task: task_module.Task) -> bool:
    """Return whether a task may have crashed so many VMs that it runs alone."""
    return is_suspect(task) and len(task.suspected_of()) >= _ISOLATED_FROM


def accepts(vm: vm_module.Vm, task: task_module.Task) -> bool:
    """Return whether a task may start on a VM, as far as suspects matter.

    Args:
        vm: VM that has room for the task.
        task: Task to start there, or to move there if it runs elsewhere.
    """
    if vm.isolates is None and not is_suspect(task):
        return True
    unit = isolated_unit(task)
    is_moving = task.run is not None
    if vm.isolates is not None:
        if vm.isolates != unit:
            return False
    elif needs_isolation(task):
        # No VM is kept for a task that runs. One that is moved starts on a VM
        # that is free already.
        if not is_moving:
            return False
    else:
        return _is_apart(vm, task, unit)
    return not _blockers(vm, unit)


def accepts_gang(
    vm: vm_module.Vm, tasks: Sequence[task_module.Task], has_suspects: bool
) -> bool:
    """Return whether the tasks of a gang may start on a VM.

    Args:
        vm: VM that has room for a task of the gang.
        tasks: All tasks of the gang.
        has_suspects: Whether any of them is a suspect.
    """
    if not has_suspects:
        return accepts(vm, tasks[0])
    return all(accepts(vm, task) for task in tasks)


def mark_reserved(vm: vm_module.Vm, task: task_module.Task) -> None:
    """Keep a VM free for an isolated task that is being moved to it."""
    if needs_isolation(task):
        vm.isolates = isolated_unit(task)


def isolated_unit(task: task_module.Task) -> model.TaskId:
    """Return the id under which a task is isolated.

    The tasks of a gang share that of the first one.
    """
    return task.id._replace(position=0) if task.step.gang else task.id


def waiting_suspects(step_run: task_module.StepRun) -> list[task_module.Task]:
    """Return the waiting tasks of a step that may have crashed a VM."""
    return [
        task
        for task in step_run.tasks
        if (task.crashed_on or task.lost_on)
        and task.run is None
        and not task.done
    ]


def waiting_units(
    step_run: task_module.StepRun,
) -> list[list[task_module.Task]]:
    """Return the waiting tasks of a step that need isolation.

    Each is a list of its own; the tasks of a gang are returned together, once
    all of them wait.
    """
    suspects = [t for t in step_run.tasks if t.crashed_on or t.lost_on]
    if not suspects:
        return []
    isolated = [
        task
        for task in suspects
        if task.run is None and not task.done and needs_isolation(task)
    ]
    if not step_run.step.gang:
        return [[task] for task in isolated]
    if isolated and len(step_run.waiting_tasks()) == len(step_run.tasks):
        return [step_run.tasks]
    return []


@dataclasses.dataclass(slots=True)
class _Attempt:
    """Attempts to start one unit.

    Attributes:
        last_run: Highest run number when the attempts began.
        free_since_ms: Time from which the kept VMs have been free for it; None
            if they are not.
        retry_ms: Time until which no VM is kept for it.
        tried: VMs on which it did not start although they were free.
    """

    last_run: int
    free_since_ms: int | None = None
    retry_ms: int = 0
    tried: set[ids.VmId] = dataclasses.field(default_factory=set)


class Isolation:
    """Decides which VMs of one pool are kept for tasks that run alone.

    The decision is stored in ``Vm.isolates``. It is soft state: a new owner
    makes it again from the suspicions of its tasks and the runs on its VMs.
    """

    def __init__(self) -> None:
        self._is_active = False
        self._searched_ms: int | None = None
        self._open_vms: list[vm_module.Vm] = []
        self._kept_units: set[model.TaskId] = set()
        self._kept_steps: set[tuple[model.JobId, int, int]] = set()
        self._attempts: dict[model.TaskId, _Attempt] = {}
        # The most tasks that were seen to be suspects of one crash.
        self._crash_sizes: dict[task_module.VmInstance, int] = {}

    def is_due(
        self, open_vms: list[vm_module.Vm], job_count: int, now_ms: int
    ) -> bool:
        """Return whether this plan has to look for suspects.

        Args:
            open_vms: VMs that accept new tasks.
            job_count: Number of jobs with tasks to start.
            now_ms: Current time, on the owner's clock.
        """
        if self._is_active or self._searched_ms is None:
            return True
        interval_ms = max(_SEARCH_MS, _SEARCH_MS_PER_JOB * job_count)
        return (
            now_ms - self._searched_ms >= interval_ms
            or open_vms != self._open_vms
        )

    @property
    def is_active(self) -> bool:
        """Whether a task is isolated, or is to be."""
        return self._is_active

    def has_kept_vm(self, step_run: task_module.StepRun) -> bool:
        """Return whether a VM is kept for a waiting task of a step."""
        return self._is_active and (
            step_run.tasks[0].id[:3] in self._kept_steps
        )

    def waits_for_turn(self, task: task_module.Task) -> bool:
        """Return whether no VM is kept for a waiting task that needs one."""
        return (
            self._is_active
            and needs_isolation(task)
            and isolated_unit(task) not in self._kept_units
        )

    def update(
        self,
        waiting: list[list[task_module.Task]],
        vms: Collection[vm_module.Vm],
        open_vms: list[vm_module.Vm],
        now_ms: int,
    ) -> None:
        """Decide again which VMs are kept.

        Args:
            waiting: Units from ``waiting_units`` that may start, those of the
                oldest job first.
            vms: All VMs of the pool.
            open_vms: VMs that accept new tasks.
            now_ms: Current time, on the owner's clock.
        """
        self._searched_ms = now_ms
        self._open_vms = open_vms
        units = {isolated_unit(tasks[0]): tasks for tasks in waiting}
        self._release(units, vms, open_vms)
        self._attempts = {
            unit: self._attempt(unit, tasks[0].last_run)
            for unit, tasks in units.items()
        }
        self._keep_in_turn(units, vms, open_vms, now_ms)
        kept = {vm.isolates for vm in vms if vm.isolates is not None}
        self._kept_units = kept & units.keys()
        self._kept_steps = {unit[:3] for unit in self._kept_units}
        self._is_active = bool(kept or units)

    def update_groups(
        self,
        waiting: list[task_module.Task],
        vms: Collection[vm_module.Vm],
        open_vms: list[vm_module.Vm],
    ) -> None:
        """Decide again how many suspects of one crash may share a VM.

        Args:
            waiting: Tasks from ``waiting_suspects`` that may start.
            vms: All VMs of the pool.
            open_vms: VMs that accept new tasks.
        """
        sizes = collections.Counter(
            instance for task in waiting for instance in task.suspected_of()
        )
        for vm in vms:
            for run in vm.runs.values():
                if is_suspect(run.task):
                    sizes.update(run.task.suspected_of())
        self._crash_sizes = {
            instance: max(size, self._crash_sizes.get(instance, 0))
            for instance, size in sizes.items()
        }
        shared = sum(vm.isolates is None for vm in open_vms)
        starts = _GROUP_ROUNDS * max(1, shared)
        for task in waiting:
            size = max(self._crash_sizes[i] for i in task.suspected_of())
            task.crash_group = math.ceil(size / starts)

    def _keep_in_turn(
        self,
        units: dict[model.TaskId, list[task_module.Task]],
        vms: Collection[vm_module.Vm],
        open_vms: list[vm_module.Vm],
        now_ms: int,
    ) -> None:
        limit = max(1, len(open_vms) // _KEPT_DIVISOR)
        used = {vm.report.vm: vm.isolates for vm in vms if _is_used(vm)}
        has_turn = True
        for unit, tasks in units.items():
            if now_ms < self._attempts[unit].retry_ms:
                continue
            own = [vm for vm in open_vms if vm.isolates == unit]
            if not own and not has_turn:
                continue
            others = sum(other != unit for other in used.values())
            if not own and others >= limit:
                has_turn = False
                continue
            chosen = self._choose(unit, tasks, own, open_vms, now_ms)
            # A gang that needs more VMs than the limit starts once no other
            # unit has one, and those after it wait until then.
            if others and len(chosen) + others > limit:
                chosen = []
                has_turn = False
            self._keep(unit, own, chosen, now_ms)
            used = {vm.report.vm: vm.isolates for vm in vms if _is_used(vm)}

    def _attempt(self, unit: model.TaskId, last_run: int) -> _Attempt:
        """Return the attempts of a unit since its last start."""
        known = self._attempts.get(unit)
        if known is None or known.last_run != last_run:
            return _Attempt(last_run)
        return known

    def _release(
        self,
        units: Collection[model.TaskId],
        vms: Collection[vm_module.Vm],
        open_vms: list[vm_module.Vm],
    ) -> None:
        """Release VMs whose task has ended; mark VMs that run one unmarked."""
        open_ids = {vm.report.vm for vm in open_vms}
        for vm in vms:
            if vm.isolates is not None:
                is_waiting = vm.isolates in units and vm.report.vm in open_ids
                if is_waiting or any(
                    isolated_unit(task) == vm.isolates
                    for task in _unsettled(vm)
                ):
                    continue
                vm.isolates = None
            suspects = [
                run
                for run in vm.runs.values()
                if run.task.crashed_on or run.task.lost_on
            ]
            for run in suspects:
                if needs_isolation(run.task) and not crashes.has_run_well(run):
                    vm.isolates = isolated_unit(run.task)
                    break

    def _keep(
        self,
        unit: model.TaskId,
        own: list[vm_module.Vm],
        chosen: list[vm_module.Vm],
        now_ms: int,
    ) -> None:
        """Keep the chosen VMs for a unit instead of its own ones.

        They are released again if the unit does not start although they are
        free.
        """
        for vm in own:
            if vm not in chosen:
                vm.isolates = None
        for vm in chosen:
            vm.isolates = unit
        attempt = self._attempts[unit]
        if not chosen or any(_blockers(vm, unit) for vm in chosen):
            attempt.free_since_ms = None
        elif attempt.free_since_ms is None:
            attempt.free_since_ms = now_ms
        elif now_ms - attempt.free_since_ms >= _MAX_FREE_MS:
            attempt.free_since_ms = None
            attempt.retry_ms = now_ms + _RETRY_MS
            for vm in chosen:
                vm.isolates = None
                attempt.tried.add(vm.report.vm)

    def _choose(
        self,
        unit: model.TaskId,
        tasks: list[task_module.Task],
        own: list[vm_module.Vm],
        open_vms: list[vm_module.Vm],
        now_ms: int,
    ) -> list[vm_module.Vm]:
        """Return VMs that together have room for a unit; empty if none have."""
        chosen: list[vm_module.Vm] = []
        missing = len(tasks)
        for vm in own:
            room = _room_alone(vm, tasks[0], missing)
            if room and missing:
                chosen.append(vm)
                missing -= room
        if not missing:
            return chosen
        tried = self._attempts[unit].tried
        others = sorted(
            (
                vm
                for vm in open_vms
                if vm.isolates is None and _room_alone(vm, tasks[0], 1)
            ),
            key=lambda vm: (
                vm.report.vm in tried,
                vm.on_probation,
                vm.report.vm in tasks[0].failed_vms,
                _staying_count(vm),
                _free_ms(vm, unit, now_ms),
            ),
        )
        for vm in others:
            chosen.append(vm)
            missing -= _room_alone(vm, tasks[0], missing)
            if not missing:
                return chosen
        return []


def _staying_count(vm: vm_module.Vm) -> int:
    staying = sum(crashes.is_lasting(run.task.step) for run in vm.runs.values())
    return staying + sum(1 for _ in vm.reserved_tasks())


def _is_used(vm: vm_module.Vm) -> bool:
    """Return whether isolation takes a VM that others could use.

    The runs of a VM that has crashed are known until their leases expire.
    """
    return (
        vm.isolates is not None
        and vm.status is not vm_module.VmStatus.UNRESPONSIVE
    )


def _unsettled(vm: vm_module.Vm) -> Iterator[task_module.Task]:
    """Yield the tasks that run or have room on a VM and may yet crash it."""
    for run in vm.runs.values():
        if not crashes.has_run_well(run):
            yield run.task
    yield from vm.reserved_tasks()


def _starting(vm: vm_module.Vm) -> Iterator[task_module.Task]:
    """Yield the tasks whose start on a VM may yet crash it."""
    for run in vm.runs.values():
        if not crashes.has_settled(run):
            yield run.task
    yield from vm.reserved_tasks()


def _is_apart(
    vm: vm_module.Vm, task: task_module.Task, unit: model.TaskId
) -> bool:
    """Return whether the group of a task has room for it on a VM.

    The group are the tasks that were lost with the same VM as this one.
    """
    suspected_of = task.suspected_of()
    group_size = sum(
        is_suspect(other)
        and isolated_unit(other) != unit
        and not suspected_of.isdisjoint(other.suspected_of())
        for other in _starting(vm)
    )
    return group_size < task.crash_group


def _blockers(vm: vm_module.Vm, unit: model.TaskId) -> list[task_module.Task]:
    """Return the tasks on a VM beside which a unit does not start."""
    return [
        task
        for task in _unsettled(vm)
        if (not crashes.is_lasting(task.step) or is_suspect(task))
        and isolated_unit(task) != unit
    ]


def _free_ms(vm: vm_module.Vm, unit: model.TaskId, now_ms: int) -> int:
    """Return when a VM is expected to be free for a unit."""
    free_ms = now_ms
    for task in _blockers(vm, unit):
        run = vm.runs.get(task.id)
        started_ms = now_ms if run is None else run.started_ms
        duration_ms = task.step.estimate_ms
        if crashes.is_lasting(task.step):
            duration_ms = crashes.PROVEN_MS
        free_ms = max(free_ms, started_ms + duration_ms)
    return free_ms


def _room_alone(vm: vm_module.Vm, task: task_module.Task, limit: int) -> int:
    """Return how many tasks of a step fit beside the runs that stay on a VM.

    Args:
        vm: VM that is to be kept free.
        task: Any of the tasks.
        limit: Largest number that is of interest.
    """
    step = task.step
    if vm.on_probation and not vm_module.is_short(step):
        return 0
    staying = [
        run for run in vm.runs.values() if crashes.is_lasting(run.task.step)
    ]
    if step.max_per_vm:
        same = sum(run.task.id[:3] == task.id[:3] for run in staying)
        limit = min(limit, max(0, step.max_per_vm - same))
    return vm.room_beside(step, limit, (run.task.step for run in staying))
