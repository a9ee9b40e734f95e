"""Plain planner of starts, which looks at every VM for every waiting task.

The planner of the product must decide the same, at a lower cost.
"""

from wagtailtiller.jobs import model
from wagtailtiller.jobs import task as task_module
from wagtailtiller.scheduling import pool as pool_module
from wagtailtiller.scheduling import ranking
from wagtailtiller.scheduling import vm as vm_module

Placement = tuple[model.TaskId, str]


def plan(pool: pool_module.Pool, now_ms: int) -> list[Placement]:
    """Return the tasks that start now and their VMs, without starting them.

    Queues with a placement policy and gangs are not supported.

    Args:
        pool: Pool whose jobs and VMs are planned; it is not changed.
        now_ms: Current time, on the pool's clock.
    """
    vms = [vm for vm in pool.vms.values() if vm.open_for_starts(now_ms)]
    usage = {vm.report.vm: _Usage(vm) for vm in vms}
    placements: list[Placement] = []
    for entry in _by_rank(pool, now_ms):
        for step_run in entry.job.ready_steps(pool.clock.wall_ms()):
            racks = [
                pool.vms[task.run.vm].rack
                for task in step_run.tasks
                if task.run is not None
            ]
            for task in step_run.tasks:
                if task.done or task.run is not None:
                    continue
                best = min(
                    (u for u in usage.values() if u.has_room(task)),
                    key=lambda u: u.rank(task, racks),
                    default=None,
                )
                if best is None:
                    break
                best.add(task)
                racks.append(best.vm.rack)
                placements.append((task.id, best.vm.report.vm))
    return placements


def _by_rank(pool: pool_module.Pool, now_ms: int) -> list:
    rows = []
    for entry in pool.active.values():
        if entry.stored_state is None:
            continue
        terms = pool.queues[entry.job.queue].terms
        rank = ranking.rank(entry.job, entry.accepted_ms, terms, now_ms)
        rows.append((rank, entry.job.id, entry))
    return [entry for _, _, entry in sorted(rows, key=lambda row: row[:2])]


class _Usage:
    """Free capacity of a VM while a plan is made.

    Args:
        vm: VM with its current runs.
    """

    def __init__(self, vm: vm_module.Vm) -> None:
        self.vm = vm
        self._tasks: list[task_module.Task] = [
            run.task for run in vm.runs.values()
        ]

    def add(self, task: task_module.Task) -> None:
        self._tasks.append(task)

    def has_room(self, task: task_module.Task) -> bool:
        step = task.step
        capacity = self.vm.report.capacity
        label = step.required_label
        same_step = sum(task.id[:3] == other.id[:3] for other in self._tasks)
        memory_mb = sum(other.step.memory_mb for other in self._tasks)
        gpu_count = sum(other.step.gpu_count for other in self._tasks)
        cpu = 0 if step.filler else step.cpu_millicores
        return (
            (not label or label in self.vm.report.labels)
            and (not self.vm.on_probation or self._accepts_probe(step))
            and (not step.max_per_vm or same_step < step.max_per_vm)
            and (not cpu or cpu <= self._free_cpu())
            and (
                not step.memory_mb
                or memory_mb + step.memory_mb <= capacity.memory_mb
            )
            and (
                not step.gpu_count
                or gpu_count + step.gpu_count <= capacity.gpu_count
            )
        )

    def _accepts_probe(self, step: model.Step) -> bool:
        return vm_module.is_short(step) and not any(
            vm_module.is_short(other.step) for other in self._tasks
        )

    def rank(
        self, task: task_module.Task, racks: list[str]
    ) -> tuple[bool, bool, int, bool, int]:
        """Return the rank of the VM for a task; the lowest is chosen.

        Args:
            task: Task to start.
            racks: Racks of the running tasks of the same step.
        """
        near_rack = task.step.near_rack
        free_cpu = self._free_cpu()
        return (
            self.vm.report.vm in task.failed_vms,
            bool(near_rack) and near_rack != self.vm.rack,
            -free_cpu if task.step.filler else free_cpu,
            not self._tasks,
            racks.count(self.vm.rack),
        )

    def _free_cpu(self) -> int:
        used = sum(
            other.step.cpu_millicores
            for other in self._tasks
            if not other.step.filler
        )
        return self.vm.report.capacity.cpu_millicores - used
