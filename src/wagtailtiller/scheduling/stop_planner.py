"""Planning of stops: which runs are stopped, and why."""

from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import task as task_module
from wagtailtiller.scheduling import candidates
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import outliers
from wagtailtiller.scheduling import state
from wagtailtiller.scheduling import suspects
from wagtailtiller.scheduling import vm as vm_module

# Interval at which the stop command for a run that has not ended is repeated.
_STOP_RETRY_MS = 1_000
# A run whose progress has not changed for this time, plus a share of its
# estimated run time, is stalled.
_STALLED_MS = 2_500
# A VM that runs a task ten times slower than estimated still makes one percent
# of progress in a tenth of the estimated run time.
_STALL_ESTIMATE_DIVISOR = 10
# Time for which demand for another VM is reported after a task found no room to
# move to.
_NO_ROOM_MS = 500
# Time to stop a run, to learn of its end and to start it elsewhere.
_RESTART_MARGIN_MS = 600
# Longest time for which room is kept for a task that is being stopped.
_RESERVATION_MS = 2_000
_MOVING_REASONS = ("vm_vacated", "straggler")
# A long-running task is available once its start-up is complete.
_AVAILABLE_PERCENT = 100


class StopPlanner:
    """Plans the stops of one pool.

    Args:
        pool_state: State that the components of the pool share.
        outlier_detector: Detector that receives stalled runs as timeouts.
    """

    def __init__(
        self,
        pool_state: state.PoolState,
        outlier_detector: outliers.OutlierDetector,
    ) -> None:
        self._state = pool_state
        self._outlier_detector = outlier_detector
        self._open_candidates: candidates.Candidates | None = None

    def plan(self, now_ms: int) -> list[commands.Command]:
        """Decide which runs to stop now.

        Args:
            now_ms: Current time, on the owner's clock.
        """
        issued: list[commands.Command] = []
        self._open_candidates = None
        for vm in self._state.vms.values():
            for run in vm.runs.values():
                if now_ms - run.stop_sent_ms < _STOP_RETRY_MS:
                    continue
                reason = self._stop_reason(vm, run, now_ms)
                if not reason:
                    continue
                run.stop_sent_ms = now_ms
                if reason == "stalled":
                    run.task.failed_vms.add(vm.report.vm)
                    self._outlier_detector.record_failure(
                        vm, run.task, run.started_ms
                    )
                if reason in _MOVING_REASONS:
                    self._reserve_room(vm, run.task, now_ms)
                if run.phase is task_module.RunPhase.RUNNING:
                    run.phase = task_module.RunPhase.STOPPING
                issued.append(commands.Stop(vm.report.vm, run, reason))
        return issued

    def _reserve_room(
        self, vm: vm_module.Vm, task: task_module.Task, now_ms: int
    ) -> None:
        # Otherwise other tasks take the room before this one has stopped.
        other = self._find_other_vm(vm, task, now_ms)
        if other is not None and self._open_candidates is not None:
            other.reserve(task, now_ms + _RESERVATION_MS)
            suspects.mark_reserved(other, task)
            self._open_candidates.refresh()

    def _stop_reason(
        self, vm: vm_module.Vm, run: task_module.Run, now_ms: int
    ) -> str:
        entry = self._state.entries.get(run.task.id.job)
        if entry is None or entry.job.is_final():
            return "job_final"
        if run.task.done:
            return "task_done"
        if vm.draining and run.task.step.long_running:
            return "vm_draining"
        if self._is_stalled(run):
            return "stalled"
        if vm.has_stragglers(now_ms) and self._is_faster_elsewhere(run, now_ms):
            return "straggler"
        if self._must_move(vm, run, now_ms) and self._within_disruption_budget(
            entry, run
        ):
            return "vm_vacated"
        if run.task.step.gang and self._is_gang_broken(entry.job, run):
            return "gang_broken"
        return ""

    def _is_stalled(self, run: task_module.Run) -> bool:
        # The times are on the VM's clock, so that neither an unresponsive VM
        # nor a pause of this process counts as a stall.
        unchanged_ms = run.listed_ms - run.progress_ms
        if unchanged_ms <= _STALLED_MS:
            return False
        step = run.task.step
        if step.long_running or step.filler or step.gang:
            return False
        if run.phase is not task_module.RunPhase.RUNNING:
            return False
        # VMs report progress in whole percents, so that the progress of a long
        # task changes rarely.
        timeout_ms = _STALLED_MS + step.estimate_ms // _STALL_ESTIMATE_DIVISOR
        return unchanged_ms > timeout_ms

    def _must_move(
        self, vm: vm_module.Vm, run: task_module.Run, now_ms: int
    ) -> bool:
        if run.phase is not task_module.RunPhase.RUNNING:
            return False
        if vm.moves_all_until_ms > now_ms:
            return True
        if not run.task.step.long_running:
            return False
        if vm.moves_long_running_until_ms <= now_ms:
            return False
        return self._has_room_elsewhere(vm, run.task, now_ms)

    def _has_room_elsewhere(
        self, vm: vm_module.Vm, task: task_module.Task, now_ms: int
    ) -> bool:
        if self._find_other_vm(vm, task, now_ms) is not None:
            return True
        self._state.no_room_until_ms = now_ms + _NO_ROOM_MS
        return False

    def _find_other_vm(
        self, vm: vm_module.Vm, task: task_module.Task, now_ms: int
    ) -> vm_module.Vm | None:
        if self._open_candidates is None:
            self._open_candidates = candidates.Candidates(
                other
                for other in self._state.vms.values()
                if other.open_for_starts(now_ms)
                and not other.is_held_back(now_ms)
            )
        return self._open_candidates.choose(task, excluded=vm)

    def _is_faster_elsewhere(self, run: task_module.Run, now_ms: int) -> bool:
        """Return whether a straggler ends earlier on another VM."""
        if run.phase is not task_module.RunPhase.RUNNING or not run.peer_run_ms:
            return False
        restarted_ms = run.peer_run_ms
        if run.task.step.checkpointing:
            restarted_ms = run.peer_run_ms * (100 - run.percent) // 100
        if run.time_left_ms() < restarted_ms + _RESTART_MARGIN_MS:
            return False
        vm = self._state.vms[run.vm]
        other = self._find_other_vm(vm, run.task, now_ms)
        return other is not None and not other.has_stragglers(now_ms)

    def _within_disruption_budget(
        self, entry: state.JobEntry, run: task_module.Run
    ) -> bool:
        limit = run.task.step.max_unavailable
        if limit is None or not run.task.step.long_running:
            return True
        step_run = entry.job.steps(run.task.id.occurrence)[run.task.id.step]
        unavailable_count = sum(
            1
            for task in step_run.tasks
            if task.run is not run and not self._is_available(task)
        )
        return unavailable_count < limit

    def _is_available(self, task: task_module.Task) -> bool:
        run = task.run
        if run is None or run.phase is not task_module.RunPhase.RUNNING:
            return False
        vm = self._state.vms.get(run.vm)
        is_responsive = (
            vm is not None and vm.status is vm_module.VmStatus.USABLE
        )
        return is_responsive and run.percent >= _AVAILABLE_PERCENT

    def _is_gang_broken(
        self, job: job_module.Job, run: task_module.Run
    ) -> bool:
        members = job.steps(run.task.id.occurrence)[run.task.id.step].tasks
        return any(member.run is None for member in members)
