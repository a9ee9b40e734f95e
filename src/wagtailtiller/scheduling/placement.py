"""Choice of the VM on which a task starts."""

from collections.abc import Iterable

from wagtailtiller.jobs import task as task_module
from wagtailtiller.scheduling import vm as vm_module

_BEST_RANK = (False, False)
# Compares higher than the rank of any VM.
_WORST_RANK = (True, True, True)


def choose(
    task: task_module.Task, candidates: Iterable[vm_module.Vm]
) -> vm_module.Vm | None:
    """Return the VM on which to start a task; None if it fits nowhere.

    Placement is best fit: the VM with the least free processor capacity wins,
    so that whole VMs stay free for large tasks and the machines of idle VMs can
    be moved to other pools. A filler uses the idle processor time of a VM, so
    it goes to the VM that has the most. VMs off the task's preferred rack rank
    behind those on it, and VMs on which the task has failed rank behind all
    others.

    Args:
        task: Task to start.
        candidates: VMs that accept new tasks, those with the best fit first.
    """
    best: vm_module.Vm | None = None
    best_rank: tuple[bool, ...] = _WORST_RANK
    for candidate in candidates:
        rank = _rank(task, candidate)
        if rank >= best_rank or not candidate.fits(task.step):
            continue
        if not _below_vm_limit(task, candidate):
            continue
        best, best_rank = candidate, rank
        if rank == _BEST_RANK:
            break
    return best


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
    for candidate in ordered:
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
