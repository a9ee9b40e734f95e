"""Detection of slow VMs by the progress of their runs.

Estimates of run times come from callers and may be far off, but the tasks of
one step take similar times. A run whose progress lies far behind that of the
same step's runs on other VMs is a straggler, and its VM is slow.
"""

import statistics

from wagtailtiller import events
from wagtailtiller.jobs import model
from wagtailtiller.jobs import task as task_module
from wagtailtiller.scheduling import probation as probation_module
from wagtailtiller.scheduling import run_times
from wagtailtiller.scheduling import state
from wagtailtiller.scheduling import vm as vm_module

_INTERVAL_MS = 200
# Shorter observations of a run are dominated by rounding of its progress.
_MIN_OBSERVED_MS = 300
_MIN_PROGRESS_PERCENT = 5
_MIN_PEER_VMS = 2

_StepKey = tuple[model.JobId, int, int]


class StragglerDetector:
    """Marks stragglers and slow VMs of one pool.

    Args:
        pool_state: State that the components of the pool share.
        probation: Limits how many VMs are slow at a time.
    """

    def __init__(
        self,
        pool_state: state.PoolState,
        probation: probation_module.Probation,
    ) -> None:
        self._state = pool_state
        self._probation = probation
        self._updated_ms = 0

    def update(self, now_ms: int) -> None:
        """Compare the runs of each step, at most once an interval.

        Args:
            now_ms: Current time, on the owner's clock.
        """
        if now_ms - self._updated_ms < _INTERVAL_MS:
            return
        self._updated_ms = now_ms
        for key, runs in self._observed_runs().items():
            self._compare(key, runs, now_ms)

    def _observed_runs(self) -> dict[_StepKey, list[task_module.Run]]:
        runs_by_step: dict[_StepKey, list[task_module.Run]] = {}
        for vm in self._state.vms.values():
            for run in vm.runs.values():
                if run.observed_ms() >= _MIN_OBSERVED_MS and _is_short(run):
                    key = run.task.id[:3]
                    runs_by_step.setdefault(key, []).append(run)
        return runs_by_step

    def _compare(
        self, key: _StepKey, runs: list[task_module.Run], now_ms: int
    ) -> None:
        entry = self._state.entries.get(key[0])
        if entry is None:
            return
        step_run = entry.job.steps(key[1])[key[2]]
        times = list(step_run.run_times)
        share = float(len(times))
        for run in runs:
            if run.observed_percent() >= _MIN_PROGRESS_PERCENT:
                times.append((run.vm, run.projected_ms()))
                share += run.observed_percent() / 100
        self._state.run_times.observe(
            entry.job.queue,
            key,
            step_run.step,
            run_times.Progress(
                [run_ms for _, run_ms in times[-run_times.MAX_RUNS :]],
                share / len(step_run.tasks),
            ),
        )
        for run in runs:
            peers = {vm: run_ms for vm, run_ms in times if vm != run.vm}
            if len(peers) < _MIN_PEER_VMS:
                continue
            expected_ms = statistics.median(peers.values())
            run.peer_run_ms = int(expected_ms)
            vm = self._state.vms[run.vm]
            slow_ms = probation_module.SLOW_FACTOR * expected_ms
            if run.projected_ms() > slow_ms:
                self._mark_slow(vm, run, now_ms)
            elif run.observed_percent() >= _MIN_PROGRESS_PERCENT:
                self._probation.record_progress(run)

    def _mark_slow(
        self, vm: vm_module.Vm, run: task_module.Run, now_ms: int
    ) -> None:
        vm.straggles_until_ms = now_ms + probation_module.SLOW_MS
        if not vm.is_slow(now_ms):
            if not self._probation.may_restrict(
                vm, probation_module.Reason.SLOW, now_ms
            ):
                return
            events.emit(
                events.Event.VM_SLOW,
                vm=vm.report.vm,
                pool=self._state.pool,
                task=run.task.id[1:],
                job=run.task.id.job,
                percent=run.percent,
                observed_ms=run.observed_ms(),
                peer_run_ms=run.peer_run_ms,
            )
        vm.slow_until_ms = now_ms + probation_module.SLOW_MS
        self._probation.begin(
            vm, probation_module.Reason.SLOW, vm.slow_until_ms
        )


def _is_short(run: task_module.Run) -> bool:
    return run.phase is task_module.RunPhase.RUNNING and vm_module.is_short(
        run.task.step
    )
