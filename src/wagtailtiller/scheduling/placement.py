"""Which VM a task starts on."""

from collections.abc import Iterable

from wagtailtiller.jobs import job
from wagtailtiller.scheduling import vm as vm_module


def choose(
    task: job.Task, candidates: Iterable[vm_module.Vm]
) -> vm_module.Vm | None:
    """Return the VM on which to start a task; None if it fits nowhere.

    Tasks go where the least room is left over, near their data first, so
    that wide tasks find whole VMs and idle VMs can be given back.

    Args:
        task: What to start.
        candidates: VMs that take new work.
    """
    best: vm_module.Vm | None = None
    best_rank: tuple[bool, bool, int] | None = None
    for candidate in candidates:
        if not candidate.fits(task.step) or not _apart(task, candidate):
            continue
        room = candidate.free_cpu
        # A filler lives on what is left over, so it goes where most is.
        rank = (
            candidate.report.vm in task.failed_on,
            _far(task, candidate),
            -room if task.step.filler else room,
        )
        if best_rank is None or rank < best_rank:
            best, best_rank = candidate, rank
    return best


def choose_gang(
    tasks: list[job.Task], candidates: list[vm_module.Vm]
) -> list[tuple[job.Task, vm_module.Vm]] | None:
    """Place all tasks of a gang at once; None if they don't all fit.

    Args:
        tasks: The members, all of one step.
        candidates: VMs that take new work.
    """
    step = tasks[0].step
    if step.same_rack:
        racks = sorted({vm.rack for vm in candidates})
        groups = [[vm for vm in candidates if vm.rack == r] for r in racks]
        for group in groups:
            placed = _fill(tasks, group)
            if placed is not None:
                return placed
    return _fill(tasks, candidates)


def _fill(
    tasks: list[job.Task], candidates: list[vm_module.Vm]
) -> list[tuple[job.Task, vm_module.Vm]] | None:
    step = tasks[0].step
    placed: list[tuple[job.Task, vm_module.Vm]] = []
    waiting = list(tasks)
    ordered = sorted(
        candidates, key=lambda vm: (_far(tasks[0], vm), -vm.free_cpu)
    )
    for candidate in ordered:
        count = 0
        limit = step.max_per_vm or len(tasks)
        while waiting and count < limit and candidate.fits(step, count + 1):
            placed.append((waiting.pop(), candidate))
            count += 1
    return None if waiting else placed


def _far(task: job.Task, candidate: vm_module.Vm) -> bool:
    near = task.step.near_rack
    return bool(near) and candidate.rack != near


def _apart(task: job.Task, candidate: vm_module.Vm) -> bool:
    limit = task.step.max_per_vm
    return not limit or candidate.count_of(task.id) < limit
