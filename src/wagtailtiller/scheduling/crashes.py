"""Decides which VM instances have crashed, and under which runs.

An instance has ended once the platform lists a later one on its machine or
under its id. A VM that does not answer may only be cut off. The module does no
I/O and reads no clock.
"""

import dataclasses

from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.jobs import task as task_module
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import vm as vm_module

# A task that runs until it is stopped and has run this long is not the cause of
# a crash. A task that crashes its VM does so within seconds of its start.
PROVEN_MS = 10_000
# A run that its VM still confirms this long after its start has most likely not
# the task that crashes VMs, which does so when it starts. Its task stays a
# suspect: a later crash still counts.
SETTLED_MS = 1_000
# VMs answer a start command within this time. Commands that were sent later
# than that after one without an answer have found the VM ended.
_RESPONSE_MS = 300
# Bounds of the memory of lost instances. The machine of a crashed VM is back
# after some seconds; a whole site that is cut off fits in.
_MAX_LOST = 1_000
_LOST_KEPT_MS = 600_000


def instance_of(report: vms.VmReport) -> task_module.VmInstance:
    """Return the instance that a report is about."""
    return task_module.VmInstance(report.vm, report.born_ms)


def is_replaced(old: vms.VmReport, new: vms.VmReport) -> bool:
    """Return whether a report proves that another instance has ended.

    Args:
        old: Report of the instance that may have ended.
        new: Report of any instance.
    """
    same_machine = bool(old.machine) and old.machine == new.machine
    return new.born_ms > old.born_ms and (old.vm == new.vm or same_machine)


def ends_by_plan(vm: vm_module.Vm) -> bool:
    """Return whether the end of a VM is not a crash.

    A VM drains, or is being vacated for an order, before it ends by plan. One
    that has answered after the time for which it was closed is used again.
    """
    return vm.draining or vm.closed_until_ms > vm.answered_ms


def has_crashed(vm: vm_module.Vm, report: vms.VmReport) -> bool:
    """Return whether a report proves that a VM instance has crashed.

    Args:
        vm: VM instance as last known.
        report: Report of another instance.
    """
    return is_replaced(vm.report, report) and not ends_by_plan(vm)


def has_run_well(run: task_module.Run) -> bool:
    """Return whether a run proves that its task does not crash VMs.

    Only tasks that run until they are stopped prove it by running; the others
    by succeeding.
    """
    return is_lasting(run.task.step) and run.observed_ms() >= PROVEN_MS


def has_settled(run: task_module.Run) -> bool:
    """Return whether a VM has survived the start of a run's task."""
    return run.confirmed_ms - run.started_ms >= SETTLED_MS


def suspects(vm: vm_module.Vm) -> list[task_module.Run]:
    """Return the runs that may be the cause if a VM has crashed."""
    sent_until_ms = _latest_executed_start_ms(vm)
    return [
        run
        for run in vm.runs.values()
        if (run.confirmed_ms or 0 < run.sent_ms <= sent_until_ms)
        and not _was_proven(vm, run)
    ]


def _latest_executed_start_ms(vm: vm_module.Vm) -> int:
    """Return until when the VM may have executed a start without an answer."""
    # The answer to a call that was sent before may have been on its way.
    since_ms = vm.answered_ms - _RESPONSE_MS
    unanswered_ms = [
        run.sent_ms
        for run in vm.runs.values()
        if not run.confirmed_ms and run.sent_ms > since_ms
    ]
    return min(unanswered_ms, default=vm.answered_ms) + _RESPONSE_MS


def _was_proven(vm: vm_module.Vm, run: task_module.Run) -> bool:
    """Return whether a run was already proven when the VM last answered."""
    if not is_lasting(run.task.step):
        return False
    # A previous owner may have started an adopted run long before.
    return run.adopted or vm.answered_ms - run.started_ms >= PROVEN_MS


def is_lasting(step: model.Step) -> bool:
    """Return whether tasks of a step may have no end that proves them good."""
    return step.long_running or step.filler


@dataclasses.dataclass(frozen=True, slots=True)
class _Loss:
    report: vms.VmReport
    runs: list[task_module.Run]
    lost_ms: int


class LostInstances:
    """VM instances that were lost with runs, until it is known why.

    While an instance is remembered, the tasks of its runs name it in their
    ``lost_on``.
    """

    def __init__(self) -> None:
        # In the order of their loss.
        self._losses: dict[task_module.VmInstance, _Loss] = {}

    def add(self, vm: vm_module.Vm, now_ms: int) -> None:
        """Remember a VM that does not answer, unless its end was planned.

        Args:
            vm: VM whose runs are about to be discarded.
            now_ms: Current time, on the owner's clock.
        """
        runs = suspects(vm)
        if not runs or ends_by_plan(vm):
            return
        instance = instance_of(vm.report)
        self.forget(instance)
        for run in runs:
            run.task.lost_on.add(instance)
        self._losses[instance] = _Loss(vm.report, runs, now_ms)
        if len(self._losses) > _MAX_LOST:
            self.forget(next(iter(self._losses)))

    def forget(self, instance: task_module.VmInstance) -> None:
        """Forget an instance that has not crashed, or is not known to have."""
        loss = self._losses.pop(instance, None)
        if loss is not None:
            for run in loss.runs:
                run.task.lost_on.discard(instance)

    def forget_vm(self, vm: ids.VmId) -> None:
        """Forget all instances of a VM."""
        for instance in [i for i in self._losses if i.vm == vm]:
            self.forget(instance)

    def forget_old(self, now_ms: int) -> None:
        """Forget the instances whose loss was long ago.

        Args:
            now_ms: Current time, on the owner's clock.
        """
        while self._losses:
            instance, loss = next(iter(self._losses.items()))
            if now_ms - loss.lost_ms < _LOST_KEPT_MS:
                return
            self.forget(instance)

    def take_replaced(
        self, report: vms.VmReport
    ) -> list[tuple[task_module.VmInstance, list[task_module.Run]]]:
        """Remove and return the instances that have crashed.

        Args:
            report: Report of a new instance.

        Returns:
            The crashed instances with their runs.
        """
        replaced = [
            (instance, loss)
            for instance, loss in self._losses.items()
            if is_replaced(loss.report, report)
        ]
        for instance, _ in replaced:
            del self._losses[instance]
        return [(instance, loss.runs) for instance, loss in replaced]
