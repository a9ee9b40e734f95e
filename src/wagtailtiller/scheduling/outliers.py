"""Tells VMs that fail from jobs that fail."""

from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller.dispatch import messages
from wagtailtiller.jobs import job as job_module
from wagtailtiller.scheduling import state
from wagtailtiller.scheduling import vm as vm_module


class OutlierDetector:
    """Learns how runs end on which VM.

    Args:
        pool_state: What the pool's owner knows.
    """

    def __init__(self, pool_state: state.PoolState) -> None:
        self._state = pool_state

    def observe(
        self,
        vm: vm_module.Vm,
        task: job_module.Task,
        outcome: messages.RunOutcome,
    ) -> None:
        """Learn from how a run ended, and eject a VM that is at fault."""
        # A job that does well elsewhere shows the VM's fault, one that fails
        # wherever it runs its own; so jobs take the place of queues here.
        kind = ids.QueueId(task.id.job)
        self._state.health.observe(vm.report.vm, kind, outcome)
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
