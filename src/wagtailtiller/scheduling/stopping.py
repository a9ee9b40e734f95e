"""Which runs are stopped, and why."""

from wagtailtiller.dispatch import messages
from wagtailtiller.jobs import job as job_module
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import outliers
from wagtailtiller.scheduling import placement
from wagtailtiller.scheduling import state
from wagtailtiller.scheduling import vm as vm_module

# A stop that has not led to an end is ordered again.
_STOP_AGAIN_MS = 1_000
# A task whose progress has not changed for so long stands still.
_STALLED_MS = 2_500
# A VM that is this many times slower than estimated still makes a percent
# of progress in an estimated run time's tenth.
_PERCENT_SLOWNESS = 10
# How long another VM is asked for after a task found no room to move to.
_CROWDED_MS = 500
# A task that lasts is at work when it has started up.
_AT_WORK_PERCENT = 100


class Stopping:
    """Decides on stops in one pool.

    Args:
        shared: What the pool's owner knows.
        judge: Learns of stalled runs.
    """

    def __init__(self, shared: state.PoolState, judge: outliers.Judge) -> None:
        self._state = shared
        self._judge = judge

    def plan(self, now_ms: int) -> list[commands.Command]:
        """Decide which runs to stop now."""
        orders: list[commands.Command] = []
        for vm in self._state.vms.values():
            for run in list(vm.runs.values()):
                reason = self._stop_reason(vm, run, now_ms)
                if not reason or now_ms - run.stop_sent_ms < _STOP_AGAIN_MS:
                    continue
                run.stop_sent_ms = now_ms
                if reason == "stalled":
                    run.task.failed_on.add(vm.report.vm)
                    self._judge.observe(
                        vm, run.task, messages.RunOutcome.TIMED_OUT
                    )
                if run.phase is job_module.RunPhase.RUNNING:
                    run.phase = job_module.RunPhase.STOPPING
                orders.append(commands.Stop(vm.report.vm, run, reason))
        return orders

    def _stop_reason(
        self, vm: vm_module.Vm, run: job_module.Run, now_ms: int
    ) -> str:
        entry = self._state.entries.get(run.task.id.job)
        if entry is None or entry.job.is_final():
            return "job_final"
        if run.task.done:
            return "task_done"
        if vm.draining and run.task.step.long_running:
            return "vm_draining"
        if self._stalled(run):
            return "stalled"
        if self._moves(vm, run, now_ms) and self._may_take_away(entry, run):
            return "vm_vacated"
        if run.task.step.gang and self._gang_broken(entry.job, run):
            return "gang_broken"
        return ""

    def _stalled(self, run: job_module.Run) -> bool:
        step = run.task.step
        if step.long_running or step.filler or step.gang:
            return False
        if run.phase is not job_module.RunPhase.RUNNING:
            return False
        # Progress is told in whole percents: a long task changes slowly.
        patience_ms = _STALLED_MS + step.estimate_ms // _PERCENT_SLOWNESS
        # On the VM's clock, so that neither its silence nor a pause of this
        # process counts.
        return run.listed_ms - run.progress_ms > patience_ms

    def _moves(
        self, vm: vm_module.Vm, run: job_module.Run, now_ms: int
    ) -> bool:
        if run.phase is not job_module.RunPhase.RUNNING:
            return False
        if vm.moves_all_until_ms > now_ms:
            return True
        if not run.task.step.long_running:
            return False
        if vm.moves_long_running_until_ms <= now_ms:
            return False
        return self._has_room_elsewhere(vm, run.task, now_ms)

    def _has_room_elsewhere(
        self, vm: vm_module.Vm, task: job_module.Task, now_ms: int
    ) -> bool:
        others = [
            other
            for other in self._state.vms.values()
            if other is not vm and other.open_for_starts(now_ms)
        ]
        if placement.choose(task, others) is not None:
            return True
        self._state.crowded_until_ms = now_ms + _CROWDED_MS
        return False

    def _may_take_away(self, entry: state.Entry, run: job_module.Run) -> bool:
        limit = run.task.step.max_unavailable
        if limit is None or not run.task.step.long_running:
            return True
        members = entry.job.steps(run.task.id.occurrence)[run.task.id.step]
        away = sum(
            1
            for member in members.tasks
            if member.run is not run and not self._at_work(member)
        )
        return away < limit

    def _at_work(self, task: job_module.Task) -> bool:
        run = task.run
        if run is None or run.phase is not job_module.RunPhase.RUNNING:
            return False
        vm = self._state.vms.get(run.vm)
        answers = vm is not None and vm.status is vm_module.VmStatus.USABLE
        return answers and run.percent >= _AT_WORK_PERCENT

    def _gang_broken(self, job: job_module.Job, run: job_module.Run) -> bool:
        members = job.steps(run.task.id.occurrence)[run.task.id.step].tasks
        return any(member.run is None for member in members)
