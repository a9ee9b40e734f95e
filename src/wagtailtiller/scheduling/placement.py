"""Choice of the VM on which a task starts."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import functools

from wagtailtiller import ids
from wagtailtiller.jobs import task as task_module
from wagtailtiller.scheduling import suspects
from wagtailtiller.scheduling import vm as vm_module

_BEST_RANK = (False, False)


class RackSpread:
    """Numbers of the running tasks of one step by rack.

    They are counted when VMs that are equal otherwise are first compared.

    Args:
        step_run: Step whose tasks are spread over racks.
        vms: All VMs of the pool by id.
        racks: Racks of the VMs that accept new tasks.
    """

    def __init__(
        self,
        step_run: task_module.StepRun,
        vms: Mapping[ids.VmId, vm_module.Vm],
        racks: frozenset[str],
    ) -> None:
        self._step_run = step_run
        self._vms = vms
        self._racks = racks
        self._least: int | None = None

    def add(self, rack: str) -> None:
        """Count a task that starts on a rack."""
        if "_counts" in self.__dict__:
            self._counts[rack] += 1
            self._least = None

    def count(self, rack: str) -> int:
        """Return the number of the step's tasks that run on a rack."""
        return self._counts[rack]

    def is_least_used(self, rack: str) -> bool:
        """Return whether no rack runs fewer of the step's tasks."""
        counts = self._counts
        if self._least is None:
            self._least = min(counts[other] for other in self._racks)
        return counts[rack] <= self._least

    @functools.cached_property
    def _counts(self) -> collections.Counter[str]:
        counts: collections.Counter[str] = collections.Counter()
        for task in self._step_run.tasks:
            vm = self._vms.get(task.run.vm) if task.run is not None else None
            if vm is not None:
                counts[vm.rack] += 1
        return counts


def choose(
    task: task_module.Task,
    candidates: Iterable[vm_module.Vm],
    spread: RackSpread | None = None,
) -> vm_module.Vm | None:
    """Return the VM on which to start a task; None if it fits nowhere.

    Placement is best fit: the VM with the least free processor capacity wins,
    so that whole VMs stay free for large tasks and the machines of idle VMs can
    be moved to other pools. A filler uses the idle processor time of a VM, so
    it goes to the VM that has the most. VMs off the task's preferred rack rank
    behind those on it, and VMs on which the task has failed rank behind all
    others. VMs that are equal in all of this are chosen by the number of the
    step's tasks on their racks.

    Args:
        task: Task to start.
        candidates: VMs that accept new tasks, those with the best fit first,
            and among equal ones those that run tasks first.
        spread: Running tasks of the step by rack; None to choose the first of
            the equal VMs.
    """
    best: vm_module.Vm | None = None
    best_rank = (True, True)
    for candidate in candidates:
        if best is not None and best_rank == _BEST_RANK:
            # All later candidates are a worse fit, or equal at best.
            if not _may_spread(spread, candidate, best):
                break
            if not _is_less_used(spread, candidate, best):
                continue
        rank = _rank(task, candidate)
        if best is not None and rank >= best_rank:
            if rank > best_rank or spread is None:
                continue
            if not _has_equal_room(candidate, best):
                continue
            if not _is_less_used(spread, candidate, best):
                continue
        if (
            candidate.fits(task.step)
            and _below_vm_limit(task, candidate)
            and suspects.accepts(candidate, task)
        ):
            best, best_rank = candidate, rank
    return best


def _may_spread(
    spread: RackSpread | None, candidate: vm_module.Vm, best: vm_module.Vm
) -> bool:
    """Return whether a VM of equal rank may be on a less used rack."""
    return (
        spread is not None
        and _has_equal_room(candidate, best)
        and not spread.is_least_used(best.rack)
    )


def _is_less_used(
    spread: RackSpread | None, candidate: vm_module.Vm, best: vm_module.Vm
) -> bool:
    return spread is not None and (
        spread.count(candidate.rack) < spread.count(best.rack)
    )


def _has_equal_room(one: vm_module.Vm, other: vm_module.Vm) -> bool:
    return one.free_cpu == other.free_cpu and bool(one.runs) == bool(other.runs)


def choose_gang(
    tasks: list[task_module.Task], candidates: list[vm_module.Vm]
) -> list[tuple[task_module.Task, vm_module.Vm]] | None:
    """Place all tasks of a gang at once.

    Tasks of a ``same_rack`` step are placed on a single rack if they fit there.

    Args:
        tasks: Tasks of the gang, all of one step.
        candidates: VMs that accept new tasks.

    Returns:
        A VM for each task, or None if they do not all fit.
    """
    step = tasks[0].step
    if step.same_rack:
        racks = sorted({vm.rack for vm in candidates})
        groups = [[vm for vm in candidates if vm.rack == r] for r in racks]
        for group in groups:
            placements = _pack(tasks, group)
            if placements is not None:
                return placements
    return _pack(tasks, candidates)


def _pack(
    tasks: list[task_module.Task], candidates: list[vm_module.Vm]
) -> list[tuple[task_module.Task, vm_module.Vm]] | None:
    step = tasks[0].step
    placements: list[tuple[task_module.Task, vm_module.Vm]] = []
    waiting = list(tasks)
    ordered = sorted(
        candidates,
        key=lambda vm: (_off_preferred_rack(tasks[0], vm), -vm.free_cpu),
    )
    has_suspects = any(suspects.is_suspect(task) for task in tasks)
    for candidate in ordered:
        if not suspects.accepts_gang(candidate, tasks, has_suspects):
            continue
        count = 0
        limit = step.max_per_vm or len(tasks)
        while waiting and count < limit and candidate.fits(step, count + 1):
            placements.append((waiting.pop(), candidate))
            count += 1
    return None if waiting else placements


def _rank(task: task_module.Task, candidate: vm_module.Vm) -> tuple[bool, bool]:
    has_failed = candidate.report.vm in task.failed_vms
    return has_failed, _off_preferred_rack(task, candidate)


def _off_preferred_rack(
    task: task_module.Task, candidate: vm_module.Vm
) -> bool:
    preferred_rack = task.step.near_rack
    return bool(preferred_rack) and candidate.rack != preferred_rack


def _below_vm_limit(task: task_module.Task, candidate: vm_module.Vm) -> bool:
    limit = task.step.max_per_vm
    return not limit or candidate.step_task_count(task.id) < limit
