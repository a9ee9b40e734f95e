"""Probation of VMs that were faulty, slow or unresponsive.

Such a VM may still be so. It gets one task at a time until one has ended well,
so that a VM that has not recovered spoils one task instead of many.
"""

import enum
import statistics

from wagtailtiller import events
from wagtailtiller.jobs import task as task_module
from wagtailtiller.scheduling import state
from wagtailtiller.scheduling import vm as vm_module

# Tasks of one step differ by less than this factor.
SLOW_FACTOR = 2.5
# Time for which a VM counts as slow after its last straggler.
SLOW_MS = 4_000
# The tasks of the pool need the capacity of the others.
_RESTRICTED_DIVISOR = 3
# A VM that becomes unresponsive twice in this time will do so again.
_FLAPPING_MS = 5_000
# A pool without short tasks would never prove that a VM has recovered.
_MAX_PROBATION_MS = 10_000
# A task that fails at once would otherwise be followed by the next one.
_RETRY_PAUSE_MS = 500
_MIN_LOG_INTERVAL_MS = 1_000


class Reason(enum.Enum):
    """Why a VM is restricted."""

    FAILING = "failing"
    EJECTED = "ejected"
    SLOW = "slow"
    FLAPPING = "flapping"


class Probation:
    """Decides which VMs of one pool get one task at a time.

    Args:
        pool_state: State that the components of the pool share.
    """

    def __init__(self, pool_state: state.PoolState) -> None:
        self._state = pool_state
        self._logged_ms = 0

    def update(self, now_ms: int, owner_is_late: bool) -> None:
        """Put VMs that come and go on probation, and end what has lapsed.

        Args:
            now_ms: Current time, on the owner's clock.
            owner_is_late: Whether this process was late recently, so that VMs
                seemed to be unresponsive.
        """
        for vm in self._state.vms.values():
            if vm.on_probation:
                if now_ms >= vm.probation_ends_ms:
                    self._end(vm, "lapsed", 0, 0)
            elif len(vm.silent_at_ms) > 1:
                self._check_flapping(vm, now_ms, owner_is_late)

    def may_restrict(
        self, vm: vm_module.Vm, reason: Reason, now_ms: int
    ) -> bool:
        """Return whether a VM may be ejected, slow or on probation.

        Args:
            vm: VM that seems to be faulty or slow.
            reason: What it seems to be, as logged.
            now_ms: Current time, on the owner's clock.
        """
        if self._is_restricted(vm, now_ms):
            return True
        restricted, limit = self._restricted_count(now_ms), self._limit()
        if restricted < limit:
            return True
        if now_ms - self._logged_ms >= _MIN_LOG_INTERVAL_MS:
            self._logged_ms = now_ms
            events.emit(
                events.Event.VM_NOT_RESTRICTED,
                vm=vm.report.vm,
                pool=self._state.pool,
                reason=reason.value,
                restricted=restricted,
                limit=limit,
            )
        return False

    def begin(self, vm: vm_module.Vm, reason: Reason, open_ms: int) -> None:
        """Put a VM on probation.

        Args:
            vm: VM to put on probation.
            reason: Why the VM is put on probation, as logged.
            open_ms: Time from which the VM gets tasks again, on the owner's
                clock.
        """
        vm.probation_ends_ms = open_ms + _MAX_PROBATION_MS
        if vm.on_probation:
            vm.progress_ends_probation &= reason is Reason.SLOW
            return
        now_ms = self._state.clock.monotonic_ms()
        vm.on_probation = True
        vm.progress_ends_probation = reason is Reason.SLOW
        vm.probation_since_ms = now_ms
        events.emit(
            events.Event.VM_ON_PROBATION,
            vm=vm.report.vm,
            pool=self._state.pool,
            reason=reason.value,
            for_ms=open_ms - now_ms,
            restricted=self._restricted_count(now_ms),
            limit=self._limit(),
        )

    def record_failure(self, vm: vm_module.Vm) -> None:
        """Try a VM on probation again only after a pause."""
        if vm.on_probation:
            now_ms = self._state.clock.monotonic_ms()
            vm.avoid_until_ms = max(vm.avoid_until_ms, now_ms + _RETRY_PAUSE_MS)

    def record_run_time(
        self,
        run: task_module.Run,
        run_ms: int,
        step_run: task_module.StepRun,
    ) -> None:
        """End probation if a run has ended within its peers' time.

        Args:
            run: Run that has succeeded.
            run_ms: Its run time.
            step_run: Step of the run, with the run times of its other tasks.
        """
        vm = self._state.vms.get(run.vm)
        if vm is None or not vm.on_probation:
            return
        now_ms = self._state.clock.monotonic_ms()
        is_earlier = run.started_ms < vm.probation_since_ms
        if is_earlier or not vm_module.is_short(step_run.step):
            return
        peer_ms = self._peer_run_ms(run, step_run)
        if run_ms <= SLOW_FACTOR * peer_ms:
            self._end(vm, "passed", run_ms, peer_ms)
        else:
            vm.straggles_until_ms = vm.slow_until_ms = now_ms + SLOW_MS
            vm.probation_ends_ms = vm.slow_until_ms + _MAX_PROBATION_MS

    def record_progress(self, run: task_module.Run) -> None:
        """End the probation of a slow VM if a run is as fast as its peers.

        A VM counts as slow because of the progress of a run, so that it does
        not have to wait for the end of one that takes long.

        Args:
            run: Run whose progress and peers are known.
        """
        vm = self._state.vms[run.vm]
        if not vm.on_probation or not vm.progress_ends_probation:
            return
        if run.started_ms < vm.probation_since_ms:
            return
        if run.projected_ms() <= SLOW_FACTOR * run.peer_run_ms:
            self._end(vm, "passed", run.projected_ms(), run.peer_run_ms)

    def _peer_run_ms(
        self, run: task_module.Run, step_run: task_module.StepRun
    ) -> int:
        peers = [ms for vm, ms in step_run.run_times if vm != run.vm]
        if peers:
            return int(statistics.median(peers))
        if run.peer_run_ms:
            return run.peer_run_ms
        entry = self._state.entries[run.task.id.job]
        return self._state.run_times.expected_ms(
            entry.job.queue, step_run.step.estimate_ms
        )

    def _check_flapping(
        self, vm: vm_module.Vm, now_ms: int, owner_is_late: bool
    ) -> None:
        latest_ms, previous_ms = vm.silent_at_ms
        vm.silent_at_ms = (latest_ms,)
        is_flapping = latest_ms - previous_ms <= _FLAPPING_MS
        if not is_flapping or owner_is_late:
            return
        if self.may_restrict(vm, Reason.FLAPPING, now_ms):
            self.begin(vm, Reason.FLAPPING, now_ms)

    def _end(
        self, vm: vm_module.Vm, reason: str, run_ms: int, peer_run_ms: int
    ) -> None:
        vm.on_probation = False
        events.emit(
            events.Event.VM_PROBATION_ENDED,
            vm=vm.report.vm,
            pool=self._state.pool,
            reason=reason,
            run_ms=run_ms,
            peer_run_ms=peer_run_ms,
        )

    def _limit(self) -> int:
        present = sum(
            vm.registered and not vm.draining for vm in self._state.vms.values()
        )
        if present < 2:
            return 0
        return max(1, present // _RESTRICTED_DIVISOR)

    def _restricted_count(self, now_ms: int) -> int:
        return sum(
            vm.registered
            and not vm.draining
            and self._is_restricted(vm, now_ms)
            for vm in self._state.vms.values()
        )

    def _is_restricted(self, vm: vm_module.Vm, now_ms: int) -> bool:
        return (
            vm.on_probation
            or vm.is_slow(now_ms)
            or self._state.health.ejected(vm.report.vm, now_ms)
        )
