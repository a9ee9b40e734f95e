"""Index of the VMs on which a plan may start runs.

A plan looks up a VM for each waiting task. The index keeps the VMs ordered by
free processor capacity, and remembers the requirements that fitted nowhere, so
that the cost of a plan does not grow with VMs times waiting tasks.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import functools

from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.jobs import task as task_module
from wagtailtiller.scheduling import placement
from wagtailtiller.scheduling import suspects
from wagtailtiller.scheduling import vm as vm_module

# Limits the time that each lookup spends on remembered requirements.
_MAX_MISFITS_PER_LABEL = 16


class Candidates:
    """VMs that accept new tasks, valid while no run is removed from them.

    Args:
        vms: VMs that accept new tasks, in the order of preference among equals.

    Attributes:
        vms: The same VMs.
    """

    def __init__(self, vms: Iterable[vm_module.Vm]) -> None:
        self.vms = list(vms)
        self._positions = {
            vm.report.vm: position for position, vm in enumerate(self.vms)
        }
        self._kept: set[int] = set()
        self._by_free_cpu = self._ordered()
        self._misfits: dict[str, list[_Requirement]] = {}

    def spread(
        self,
        step_run: task_module.StepRun,
        vms: Mapping[ids.VmId, vm_module.Vm],
    ) -> placement.RackSpread | None:
        """Return the numbers of a step's running tasks by rack.

        Args:
            step_run: Step whose tasks start.
            vms: All VMs of the pool by id.

        Returns:
            The numbers; None if there is only one rack.
        """
        if len(self._racks) < 2:
            return None
        return placement.RackSpread(step_run, vms, self._racks)

    @functools.cached_property
    def _racks(self) -> frozenset[str]:
        return frozenset(vm.rack for vm in self.vms)

    @property
    def available(self) -> list[vm_module.Vm]:
        """VMs that are not kept free."""
        return [
            vm
            for position, vm in enumerate(self.vms)
            if position not in self._kept
        ]

    def choose(
        self,
        task: task_module.Task,
        excluded: vm_module.Vm | None = None,
        spread: placement.RackSpread | None = None,
    ) -> vm_module.Vm | None:
        """Return the VM on which to start a task; None if it fits nowhere.

        Args:
            task: Task to start.
            excluded: VM that is not chosen.
            spread: Running tasks of the step by rack; None to choose the first
                of VMs that are equal otherwise.
        """
        step = task.step
        # The VM that is kept for an isolated task has no room for others.
        if self.is_misfit(step) and not suspects.needs_isolation(task):
            return None
        vms = self._with_room(step)
        is_excluding = (
            excluded is not None and excluded.report.vm in self._positions
        )
        if is_excluding:
            vms = (vm for vm in vms if vm is not excluded)
        chosen = placement.choose(task, vms, spread)
        if (
            chosen is None
            and not is_excluding
            and not suspects.is_suspect(task)
            and self._is_general(step)
        ):
            self._remember_misfit(step)
        return chosen

    def _is_general(self, step: model.Step) -> bool:
        """Return whether what fits not for a step fits not for larger ones.

        VMs on probation accept short tasks that need more.
        """
        return not step.max_per_vm and (
            vm_module.is_short(step) or not self._has_probation
        )

    @functools.cached_property
    def _has_probation(self) -> bool:
        return any(vm.on_probation for vm in self.vms)

    def add_run(self, vm: vm_module.Vm, run: task_module.Run) -> None:
        """Add a run to a VM and keep the index up to date."""
        position = self._positions[vm.report.vm]
        row = _row(vm, position)
        del self._by_free_cpu[bisect.bisect_left(self._by_free_cpu, row)]
        vm.add(run)
        bisect.insort(self._by_free_cpu, _row(vm, position))

    def keep_free(self, step: model.Step) -> bool:
        """Exclude the VM that has room for a task of a step first.

        That is the one with the most free processor capacity. It stays the same
        one from plan to plan, because nothing else starts on it.

        Args:
            step: Step with a waiting task that fits on no VM now.

        Returns:
            Whether there is such a VM.
        """
        for number in range(len(self._by_free_cpu) - 1, -1, -1):
            position = self._by_free_cpu[number][-1]
            vm = self.vms[position]
            if (
                vm.fits_when_empty(step)
                and not vm.on_probation
                and vm.isolates is None
            ):
                del self._by_free_cpu[number]
                self._kept.add(position)
                return True
        return False

    def refresh(self) -> None:
        """Order the VMs again after runs were added to them elsewhere."""
        self._by_free_cpu = self._ordered()

    def _ordered(self) -> list["_Row"]:
        return sorted(
            _row(vm, position)
            for position, vm in enumerate(self.vms)
            if position not in self._kept
        )

    def _with_room(self, step: model.Step) -> Iterator[vm_module.Vm]:
        """Yield the VMs with enough free processor capacity, least first.

        A filler needs none; for it, VMs with the most come first.
        """
        if step.filler:
            # Equal VMs keep their order of preference.
            rows = sorted(self._by_free_cpu, key=lambda row: -row[0])
            for _, _, position in rows:
                yield self.vms[position]
            return
        first = 0
        if step.cpu_millicores:
            row = (step.cpu_millicores, False, 0)
            first = bisect.bisect_left(self._by_free_cpu, row)
        for number in range(first, len(self._by_free_cpu)):
            yield self.vms[self._by_free_cpu[number][2]]

    def is_misfit(self, step: model.Step) -> bool:
        """Return whether tasks of a step are known to fit on no VM."""
        if not self._misfits:
            return False
        return self._exceeds_misfit(step, "") or (
            bool(step.required_label)
            and self._exceeds_misfit(step, step.required_label)
        )

    def _exceeds_misfit(self, step: model.Step, label: str) -> bool:
        cpu_millicores, memory_mb, gpu_count = _requirement(step)
        for misfit in self._misfits.get(label, ()):
            if (
                cpu_millicores >= misfit[0]
                and memory_mb >= misfit[1]
                and gpu_count >= misfit[2]
            ):
                return True
        return False

    def _remember_misfit(self, step: model.Step) -> None:
        misfits = self._misfits.setdefault(step.required_label, [])
        if len(misfits) < _MAX_MISFITS_PER_LABEL:
            misfits.append(_requirement(step))


_Requirement = tuple[int, int, int]
# Free processor capacity in millicores, whether the VM is idle, its position.
_Row = tuple[int, bool, int]


def _row(vm: vm_module.Vm, position: int) -> _Row:
    return vm.free_cpu, not vm.runs, position


def _requirement(step: model.Step) -> _Requirement:
    cpu_millicores = 0 if step.filler else step.cpu_millicores
    return cpu_millicores, step.memory_mb, step.gpu_count
