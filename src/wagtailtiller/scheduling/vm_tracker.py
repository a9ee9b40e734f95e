"""Tracking of a pool's VMs: registration, responses and leases."""

import msgspec

from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller.jobs import task as task_module
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import state
from wagtailtiller.scheduling import vm as vm_module

# Number of fencing tokens in one epoch. The owner raises the token of a VM to
# find out the outcome of commands without a response.
TOKENS_PER_EPOCH = 1 << 20


class VmTracker:
    """Tracks the VMs of one pool.

    Args:
        pool_state: State that the components of the pool share.
    """

    def __init__(self, pool_state: state.PoolState) -> None:
        self._state = pool_state
        self._removed_tokens: dict[tuple[ids.VmId, int], int] = {}

    def register(self, report: vms.VmReport) -> vm_module.Vm | None:
        """Record the registration of a VM.

        Args:
            report: Report with which the VM registered.

        Returns:
            The VM if this is a new instance, otherwise None.
        """
        known = self._state.vms.get(report.vm)
        if known is not None and known.report.born_ms == report.born_ms:
            known.update_report(report)
            known.registered = True
            return None
        self._state.unresolved.pop(report.vm, None)
        # A VM that was removed while it was not listed may return.
        token = self._removed_tokens.pop(
            (report.vm, report.born_ms), self._state.epoch * TOKENS_PER_EPOCH
        )
        new = vm_module.Vm(report, token)
        self._state.vms[report.vm] = new
        if known is not None:
            self._carry_over(known, new)
        return new

    def lower_capacity(self, report: vms.VmReport) -> None:
        """Apply the part of a newer report that takes capacity from a VM.

        Args:
            report: Report of a VM instance; ignored if it is not known.
        """
        known = self._state.vms.get(report.vm)
        if known is None or known.report.born_ms != report.born_ms:
            return
        before, reported = known.report.capacity, report.capacity
        lowered = vms.Resources(
            min(before.cpu_millicores, reported.cpu_millicores),
            min(before.memory_mb, reported.memory_mb),
            min(before.gpu_count, reported.gpu_count),
        )
        if lowered != before:
            known.report = msgspec.structs.replace(
                known.report, capacity=lowered
            )

    def _carry_over(self, old: vm_module.Vm, new: vm_module.Vm) -> None:
        # The new instance may have executed commands that were meant for the
        # old one; its first listing under a higher token shows which.
        new.token = old.token + 1
        new.lease.min_expiry_ms = old.lease.expiry_ms()
        new.set_orphans(old.orphan_tasks, old.has_unknown_runs)
        new.on_probation = old.on_probation
        new.progress_ends_probation = old.progress_ends_probation
        new.probation_since_ms = old.probation_since_ms
        new.probation_ends_ms = old.probation_ends_ms
        new.silent_at_ms = old.silent_at_ms
        for run in list(old.runs.values()):
            old.remove(run)
            run.phase = task_module.RunPhase.UNCERTAIN
            run.confirmed_ms = 0
            new.add(run)

    def mark_ended(self, vm: ids.VmId) -> None:
        """Record that an unresolved VM has ended and runs no more tasks."""
        if self._state.unresolved.pop(vm, None) is not None:
            events.emit(events.Event.VM_ENDED, vm=vm, pool=self._state.pool)

    def mark_unlisted(self, vm: ids.VmId) -> None:
        """Record that a VM is no longer in the platform's list."""
        known = self._state.vms.get(vm)
        if known is not None:
            known.registered = False

    def mark_responsive(
        self, vm: vm_module.Vm, clock_ms: int, received_ms: int
    ) -> None:
        """Record that a VM has responded.

        Args:
            vm: VM that responded.
            clock_ms: Reading of the VM's clock in the response.
            received_ms: Time at which the response arrived, on the owner's
                clock.
        """
        vm.lease.update_clock(clock_ms, received_ms)
        if vm.unresponsive_since_ms is not None:
            events.emit(
                events.Event.VM_ANSWERS,
                vm=vm.report.vm,
                silent_ms=received_ms - vm.unresponsive_since_ms,
            )
        vm.unresponsive_since_ms = None
        if vm.status is vm_module.VmStatus.UNRESPONSIVE:
            vm.status = vm_module.VmStatus.USABLE

    def mark_unresponsive(
        self, vm: vm_module.Vm, sent_ms: int | None = None
    ) -> None:
        """Record that a VM did not respond in time.

        Args:
            vm: VM that did not respond.
            sent_ms: Time at which the call was sent, on the owner's clock; now
                if it is not given.
        """
        now_ms = self._state.clock.monotonic_ms()
        if vm.unresponsive_since_ms is None:
            vm.unresponsive_since_ms = now_ms
            vm.failed_call_sent_ms = now_ms if sent_ms is None else sent_ms
        if vm.status is vm_module.VmStatus.USABLE:
            vm.status = vm_module.VmStatus.UNRESPONSIVE
            vm.silent_at_ms = (now_ms, *vm.silent_at_ms[:1])

    def expire_leases(self) -> list[vm_module.Vm]:
        """Discard the runs of unresponsive VMs whose leases have expired.

        Unresolved VMs whose leases have expired count as ended.

        Returns:
            The VMs that were removed because they are no longer registered.
        """
        now_ms = self._state.clock.monotonic_ms()
        for vm_id, until_ms in list(self._state.unresolved.items()):
            if now_ms >= until_ms:
                del self._state.unresolved[vm_id]
        removed = []
        for vm in list(self._state.vms.values()):
            unused = not vm.registered and not vm.runs
            if vm.unresponsive_since_ms is None:
                continue
            if now_ms < vm.lease.expiry_ms() and not unused:
                continue
            self._state.discard_runs(vm, "lease_over")
            if not vm.registered:
                del self._state.vms[vm.report.vm]
                self._state.health.remove_vm(vm.report.vm)
                instance = (vm.report.vm, vm.report.born_ms)
                self._removed_tokens[instance] = vm.token
                removed.append(vm)
        return removed

    def members(self) -> set[ids.VmId]:
        """Return the VMs that may run tasks now or after the next start."""
        now_ms = self._state.clock.monotonic_ms()
        present = {
            vm.report.vm
            for vm in self._state.vms.values()
            if vm.runs or vm.open_for_starts(now_ms)
        }
        return present | self._state.unresolved.keys()

    def raise_token(self, vm: vm_module.Vm) -> int:
        """Raise a VM's fencing token, so that it refuses older commands.

        Args:
            vm: VM whose token is raised.

        Returns:
            The new token.
        """
        vm.token += 1
        return vm.token
