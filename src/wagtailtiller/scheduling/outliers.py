"""Outlier detection: distinguishes faulty VMs from faulty jobs."""

from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller.dispatch import messages
from wagtailtiller.jobs import task as task_module
from wagtailtiller.scheduling import state
from wagtailtiller.scheduling import vm as vm_module


class OutlierDetector:
    """Ejects VMs that fail runs of jobs that succeed on other VMs.

    Args:
        pool_state: State that the components of the pool share.
    """

    def __init__(self, pool_state: state.PoolState) -> None:
        self._state = pool_state

    def observe(
        self,
        vm: vm_module.Vm,
        task: task_module.Task,
        outcome: messages.RunOutcome,
    ) -> None:
        """Record the outcome of a run and eject the VM if it is an outlier.

        Args:
            vm: VM that executed the run.
            task: Task of the run.
            outcome: Outcome of the run.
        """
        # A job that fails here but succeeds on other VMs points to a faulty VM,
        # and a job that fails everywhere is faulty itself. Failure rates are
        # therefore kept by job instead of by queue.
        job_as_queue = ids.QueueId(task.id.job)
        self._state.health.observe(vm.report.vm, job_as_queue, outcome)
        if outcome is messages.RunOutcome.ANSWERED:
            return
        now_ms = self._state.clock.monotonic_ms()
        others = [
            other.report.vm
            for other in self._state.vms.values()
            if other is not vm
            and other.status is vm_module.VmStatus.USABLE
            and not other.draining
        ]
        if self._state.health.eject_if_due(
            vm.report.vm, others, len(others), now_ms
        ):
            events.emit(
                events.Event.VM_EJECTED,
                vm=vm.report.vm,
                pool=self._state.pool,
                others=len(others),
            )
