"""Outlier detection: distinguishes faulty VMs from faulty jobs."""

from wagtailtiller import events
from wagtailtiller.jobs import task as task_module
from wagtailtiller.scheduling import probation as probation_module
from wagtailtiller.scheduling import state
from wagtailtiller.scheduling import vm as vm_module


class OutlierDetector:
    """Ejects VMs that fail runs of steps that succeed on other VMs.

    Args:
        pool_state: State that the components of the pool share.
        probation: Limits how many VMs are ejected at a time.
    """

    def __init__(
        self,
        pool_state: state.PoolState,
        probation: probation_module.Probation,
    ) -> None:
        self._state = pool_state
        self._probation = probation

    def record_success(
        self, vm: vm_module.Vm, task: task_module.Task, started_ms: int
    ) -> None:
        """Record that a run has succeeded.

        VMs on which the same step has failed may turn out to be faulty.

        Args:
            vm: VM that executed the run.
            task: Task of the run.
            started_ms: Time of the start, on the owner's clock; 0 if it is not
                known.
        """
        step = task.id[:3]
        health = self._state.health
        health.record_success(vm.report.vm, step, started_ms)
        for failing in health.failing_vms(step):
            other = self._state.vms.get(failing)
            if other is not None and other is not vm:
                self._eject_if_due(other)

    def record_failure(
        self, vm: vm_module.Vm, task: task_module.Task, started_ms: int
    ) -> None:
        """Record that a run has failed and eject the VM if it is an outlier.

        Args:
            vm: VM that executed the run.
            task: Task of the run.
            started_ms: Time of the start, on the owner's clock; 0 if it is not
                known.
        """
        now_ms = self._state.clock.monotonic_ms()
        health = self._state.health
        health.record_failure(vm.report.vm, task.id[:3], started_ms, now_ms)
        self._probation.record_failure(vm)
        # Whether the same steps succeed elsewhere is known only later.
        is_doubtful = health.is_doubtful(vm.report.vm)
        if is_doubtful and self._probation.may_restrict(
            vm, probation_module.Reason.FAILING, now_ms
        ):
            self._probation.begin(vm, probation_module.Reason.FAILING, now_ms)
        self._eject_if_due(vm)

    def _eject_if_due(self, vm: vm_module.Vm) -> None:
        now_ms = self._state.clock.monotonic_ms()
        health = self._state.health
        if not health.has_failures(vm.report.vm):
            return
        if health.ejected(vm.report.vm, now_ms):
            return
        others = {
            other.report.vm
            for other in self._state.vms.values()
            if other is not vm
            and other.status is vm_module.VmStatus.USABLE
            and not other.draining
        }
        cause = health.ejection_cause(
            vm.report.vm,
            others,
            vm.probation_since_ms if vm.on_probation else None,
        )
        if cause is None:
            return
        if not self._probation.may_restrict(
            vm, probation_module.Reason.EJECTED, now_ms
        ):
            return
        until_ms = health.eject(vm.report.vm, now_ms)
        events.emit(
            events.Event.VM_EJECTED,
            vm=vm.report.vm,
            pool=self._state.pool,
            cause=cause.value,
            others=len(others),
        )
        self._probation.begin(vm, probation_module.Reason.EJECTED, until_ms)
