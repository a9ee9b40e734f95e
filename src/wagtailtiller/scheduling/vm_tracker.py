"""Tracking of a pool's VMs: registration, responses and leases."""

import msgspec

from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller.jobs import task as task_module
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import crashes
from wagtailtiller.scheduling import state
from wagtailtiller.scheduling import vm as vm_module

# Number of fencing tokens in one epoch. The owner raises the token of a VM to
# find out the outcome of commands without a response.
TOKENS_PER_EPOCH = 1 << 20
# Tokens that are left when the owner asks for another epoch; more than a pool
# uses until its next plan.
_TOKEN_RESERVE = 10_000
# Calls to a VM that was removed are no longer under way after this time.
_REMOVED_KEPT_MS = 60_000


def _first_token(epoch: int) -> int:
    return epoch * TOKENS_PER_EPOCH


class VmTracker:
    """Tracks the VMs of one pool.

    Args:
        pool_state: State that the components of the pool share.
    """

    def __init__(self, pool_state: state.PoolState) -> None:
        self._state = pool_state
        # Highest token of all VMs in this epoch, of removed ones too. A VM gets
        # a higher one when it registers, so that it refuses the calls that were
        # meant for another life under its id once it has answered.
        self._highest_token = _first_token(pool_state.epoch) - 1
        self._lost_instances = crashes.LostInstances()
        # When VMs were removed; calls to them may still be under way.
        self._removed_ms: dict[ids.VmId, int] = {}
        # Latest known instance on each machine.
        self._vm_by_machine: dict[ids.MachineId, vm_module.Vm] = {}

    def register(self, report: vms.VmReport) -> vm_module.Vm | None:
        """Record the registration of a VM.

        Args:
            report: Report with which the VM registered.

        Returns:
            The VM if this is a new instance, otherwise None.
        """
        known = self._state.vms.get(report.vm)
        if report.phase is vms.VmPhase.DRAINING:
            self._lost_instances.forget(crashes.instance_of(report))
        if known is not None and known.report.born_ms == report.born_ms:
            known.update_report(report)
            known.registered = True
            return None
        self._state.unresolved.pop(report.vm, None)
        new = vm_module.Vm(report, self._take_token())
        new.follows_other_life = (
            known is not None or report.vm in self._removed_ms
        )
        self._record_crashes(report)
        self._state.vms[report.vm] = new
        if known is not None:
            self._carry_over(known, new)
        self._end_replaced(new)
        return new

    def replaces_instance(self, report: vms.VmReport) -> bool:
        """Return whether a report shows that a known instance has ended.

        Args:
            report: Report of an instance, which is not registered yet.
        """
        known = (
            self._state.vms.get(report.vm),
            self._vm_by_machine.get(report.machine),
        )
        return any(
            vm is not None and crashes.is_replaced(vm.report, report)
            for vm in known
        )

    def _record_crashes(self, report: vms.VmReport) -> None:
        """Record the crashes that the report of a new instance proves."""
        for instance, runs in self._lost_instances.take_replaced(report):
            for run in runs:
                # The task may have run well since.
                if instance in run.task.lost_on:
                    self._state.record_crash(run, instance)
        known = self._state.vms.get(report.vm)
        if known is None or not crashes.has_crashed(known, report):
            return
        instance = crashes.instance_of(known.report)
        for run in crashes.suspects(known):
            if run.confirmed_ms:
                self._state.record_crash(run, instance)
            else:
                # The new instance may have executed the start command instead;
                # its first listing shows it.
                run.doubtful_crash = instance

    def _end_replaced(self, new: vm_module.Vm) -> None:
        """Discard the runs of the instance that a new one has replaced.

        VMs refuse commands for another id, so that the new instance cannot
        have executed those for the old one.
        """
        machine = new.report.machine
        old = self._vm_by_machine.get(machine)
        if old is not None and new.report.born_ms < old.report.born_ms:
            return
        if machine:
            self._vm_by_machine[machine] = new
        if old is None or self._state.vms.get(old.report.vm) is not old:
            return
        if not crashes.is_replaced(old.report, new.report):
            return
        reason = "vm_ended"
        if crashes.has_crashed(old, new.report):
            reason = "vm_crashed"
            for run in crashes.suspects(old):
                self._state.record_crash(run, crashes.instance_of(old.report))
        self._discard_runs(old, reason)
        # Otherwise tasks start on it until a call has timed out.
        self.mark_unresponsive(old)

    def _discard_runs(
        self, vm: vm_module.Vm, reason: str, **inputs: int
    ) -> None:
        for run in vm.runs.values():
            if run.doubtful_crash is not None:
                # No listing will show any more who executed the start command.
                self._state.record_crash(run, run.doubtful_crash)
        self._state.discard_runs(vm, reason, **inputs)

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
        # old one; its first listing under its higher token shows which.
        new.lease.cover(old.lease.expiry_ms())
        new.lease.cover(self._state.longest_lease_end_ms())
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
            run.sent_ms = 0
            new.add(run)
        events.emit(
            events.Event.VM_RESTARTED,
            vm=new.report.vm,
            born_ms=new.report.born_ms,
            former_born_ms=old.report.born_ms,
            runs=len(new.runs),
            token=new.token,
            former_lease_left_ms=old.lease.expiry_ms()
            - self._state.clock.monotonic_ms(),
        )

    def mark_ended(self, vm: ids.VmId) -> None:
        """Record that an unresolved VM has ended and runs no more tasks.

        The wait for it is over once the pool was certainly owned until now: a
        later owner may have read how its runs ended.
        """
        now_ms = self._state.clock.monotonic_ms()
        if self._state.unresolved.get(vm, 0) > now_ms:
            self._state.unresolved[vm] = now_ms
            events.emit(events.Event.VM_ENDED, vm=vm, pool=self._state.pool)

    def mark_vacated(self, vm: ids.VmId) -> None:
        """Record that a VM is to be vacated, so that its end is planned."""
        self._lost_instances.forget_vm(vm)

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
        self._lost_instances.forget(crashes.instance_of(vm.report))
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

        Unresolved VMs whose leases have expired count as ended. Leases that
        were still valid at ``owned_until_ms`` of the pool may have been renewed
        by a later owner.

        Returns:
            The VMs that were removed because they are no longer registered.
        """
        now_ms = self._state.clock.monotonic_ms()
        owned_until_ms = self._state.owned_until_ms
        self._lost_instances.forget_old(now_ms)
        self._forget_removed(now_ms)
        for vm_id, until_ms in list(self._state.unresolved.items()):
            if owned_until_ms < until_ms:
                continue
            if self._may_list_more_ends(vm_id):
                continue
            self._end_wait(vm_id, now_ms - owned_until_ms)
        removed = []
        for vm in list(self._state.vms.values()):
            removable = not vm.registered and not vm.has_unstored_ends
            unused = removable and not vm.runs
            if vm.unresponsive_since_ms is None:
                continue
            if owned_until_ms < vm.lease.expiry_ms() and not unused:
                continue
            self._lost_instances.add(vm, now_ms)
            self._discard_runs(
                vm,
                "lease_over",
                over_ms=now_ms - vm.lease.expiry_ms(),
                lease_age_ms=now_ms - owned_until_ms,
            )
            if removable:
                del self._state.vms[vm.report.vm]
                self._state.health.remove_vm(vm.report.vm)
                self._removed_ms.pop(vm.report.vm, None)
                self._removed_ms[vm.report.vm] = now_ms
                removed.append(vm)
        return removed

    def _forget_removed(self, now_ms: int) -> None:
        """Forget the VMs that were removed long ago."""
        while self._removed_ms:
            vm_id, removed_ms = next(iter(self._removed_ms.items()))
            if now_ms - removed_ms < _REMOVED_KEPT_MS:
                return
            del self._removed_ms[vm_id]

    def has_unproven_expiry(self) -> bool:
        """Return whether leases have expired that may have been renewed."""
        now_ms = self._state.clock.monotonic_ms()
        expiries_ms = [
            vm.lease.expiry_ms()
            for vm in self._state.vms.values()
            if vm.unresponsive_since_ms is not None and vm.runs
        ]
        expiries_ms += self._state.unresolved.values()
        return any(
            self._state.owned_until_ms < expiry_ms <= now_ms
            for expiry_ms in expiries_ms
        )

    def _may_list_more_ends(self, vm_id: ids.VmId) -> bool:
        """Return whether a VM is expected to list further ended runs.

        Their tasks must not start again. The VM has its lease from this owner,
        so that it may outlast those from the previous one.
        """
        vm = self._state.vms.get(vm_id)
        if vm is None or not vm.has_more_ends:
            return False
        is_responsive = vm.unresponsive_since_ms is None
        return is_responsive or (
            self._state.owned_until_ms < vm.lease.expiry_ms()
        )

    def _end_wait(self, vm_id: ids.VmId, lease_age_ms: int) -> None:
        """Stop waiting for an unresolved VM whose leases have expired."""
        del self._state.unresolved[vm_id]
        vm = self._state.vms.get(vm_id)
        events.emit(
            events.Event.VM_WAIT_OVER,
            vm=vm_id,
            pool=self._state.pool,
            listed=vm is not None and vm.registered,
            epoch=self._state.epoch,
            lease_age_ms=lease_age_ms,
        )

    def members(self) -> set[ids.VmId]:
        """Return the VMs on which a new owner must look for runs.

        These are the VMs that may run tasks now or after the next start, and
        those that list ended runs which are not stored yet.
        """
        now_ms = self._state.clock.monotonic_ms()
        present = {
            vm.report.vm
            for vm in self._state.vms.values()
            if vm.runs or vm.has_unstored_ends or vm.open_for_starts(now_ms)
        }
        return present | self._state.unresolved.keys()

    def token_before_registration(self, report: vms.VmReport) -> int:
        """Return a fencing token for an instance that is not registered yet.

        It is higher than all that were used before. The known instance under
        the same id uses it from now on, so that a refusal of its calls is not
        taken for the sign of a new owner.

        Args:
            report: Report of the instance.
        """
        token = self._take_token()
        known = self._state.vms.get(report.vm)
        if known is not None:
            known.token = token
        return token

    def _take_token(self) -> int:
        self._highest_token += 1
        return self._highest_token

    def raise_token(self, vm: vm_module.Vm) -> int:
        """Raise a VM's fencing token, so that it refuses older commands.

        Args:
            vm: VM whose token is raised; one that another life has replaced
                keeps its token, since the next one may be that of the new life.

        Returns:
            The new token.
        """
        if self._state.vms.get(vm.report.vm) is vm:
            vm.token += 1
            self._highest_token = max(self._highest_token, vm.token)
        return vm.token

    def has_tokens_left(self) -> bool:
        """Return whether the epoch has enough tokens for a while.

        Those of the next epoch belong to the next owner.
        """
        used = self._highest_token - _first_token(self._state.epoch)
        return used < TOKENS_PER_EPOCH - _TOKEN_RESERVE
