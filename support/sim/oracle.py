"""Test oracle that checks what the VMs have executed.

It shares no logic with the product. Each violated guarantee is recorded as one
line of text that begins with the name of its rule.
"""

import collections
from collections.abc import Callable
import dataclasses
from typing import Protocol

from support.sim import truth as truth_module
from wagtailtiller.jobs import model
from wagtailtiller.jobs import task as task_module
from wagtailtiller.ports import vms

# Runs of a cancelled job may still start for this time after the
# acknowledgement, plus the command delay, as VMs may execute commands late.
_CANCEL_GRACE_MS = 3_000
_MAX_COMMAND_DELAY_MS = 12_500
# Time after the acknowledgement by which all runs of a cancelled job have
# ended.
_CANCEL_COMPLETE_MS = 16_000
# A long-running task without a run counts as unavailable after this time,
# whatever the cause.
_UNAVAILABLE_AFTER_MS = 4_500
# Longest time without a run while a long-running task moves to another VM.
_MAX_PAUSE_MS = 6_000
# A crashing task may be started this many times more after so many VMs have
# crashed under it.
_CRASHES_BEFORE_LIMIT = 3
_STARTS_AFTER_CRASHES = 2
# A job may fail once so many VMs have crashed under one of its tasks.
_CRASHES_BEFORE_FAILURE = 2
# A capacity that has shrunk counts this long after its report: 3 s and one
# report interval of 1.5 s.
_SHRINK_GRACE_MS = 4_500

# Marks violations by starts that a VM executed before it answered any call: no
# fencing token can make it refuse them.
BEFORE_FIRST_ANSWER = "a start before the VM's first answer"


class VmView(Protocol):
    """View of a VM that the oracle uses.

    Attributes:
        report: Registration of the VM.
        dead: Whether the VM instance has ended.
        guards_capacity: Whether the VM refuses starts that do not fit.
        has_answered: Whether the instance has answered any call.
    """

    report: vms.VmReport
    dead: bool
    guards_capacity: bool
    has_answered: bool


@dataclasses.dataclass
class Run:
    """One run as its VM has executed it.

    Attributes:
        task: Task of the run.
        number: Number of the run.
        vm: VM of the run.
        started_ms: When the run started.
        before_first_answer: Whether its VM had answered no call at its start.
        ended_ms: When the run ended; None while it is under way.
        kind: How the run ended; None while it is under way.
        crashed_ms: When the VM crashed under the run; None if it has not.
        acknowledged_ms: When the product acknowledged the end; None if it has
            not.
        lapsed_ms: When the VM's lease expired after the end and before its
            acknowledgement; None if it has not.
    """

    task: model.TaskId
    number: int
    vm: VmView
    started_ms: int
    before_first_answer: bool = False
    ended_ms: int | None = None
    kind: task_module.EndKind | None = None
    crashed_ms: int | None = None
    acknowledged_ms: int | None = None
    lapsed_ms: int | None = None

    def counts_for(self, later: "Run") -> bool:
        """Return whether the product had to know this end at a later start.

        The task may be started again if the lease expires between the end of
        the run and the acknowledgement. VMs may execute such a start late.
        """
        if self.acknowledged_ms is None or self.ended_ms is None:
            return False
        if self.ended_ms >= later.started_ms:
            return False
        excused = (
            self.lapsed_ms is not None
            and self.lapsed_ms
            <= later.started_ms
            <= self.acknowledged_ms + _MAX_COMMAND_DELAY_MS
        )
        return not excused


@dataclasses.dataclass
class _Availability:
    """Availability of a long-running task.

    Attributes:
        unavailable_since_ms: When the last run ended; None while a run is
            under way.
        stopped_by_command: Whether a command ended the last run.
    """

    unavailable_since_ms: int | None
    stopped_by_command: bool = False


class Oracle:
    """Records the events of a simulated day and checks them.

    Args:
        jobs: Jobs with their actual behaviour.
        now_ms: Returns the current time.

    Attributes:
        violations: Texts of the violated guarantees.
        waste_core_ms: Processor time of discarded work in core-ms.
    """

    def __init__(
        self, jobs: truth_module.Jobs, now_ms: Callable[[], int]
    ) -> None:
        self.violations: list[str] = []
        self.waste_core_ms = 0.0
        self._jobs = jobs
        self._now_ms = now_ms
        self._runs: dict[model.TaskId, list[Run]] = collections.defaultdict(
            list
        )
        self._long_running: dict[model.TaskId, _Availability] = {}
        # Reported capacities of each VM with the times of the reports.
        self._capacities: dict[VmView, list[tuple[int, vms.Resources]]] = {}
        self._running: dict[VmView, list[Run]] = collections.defaultdict(list)

    def runs(self, task: model.TaskId) -> list[Run]:
        """Return all runs of a task."""
        return self._runs.get(task, [])

    def record_capacity(self, vm: VmView) -> None:
        """Record that a VM has reported its present capacity."""
        self._capacities.setdefault(vm, []).append(
            (self._now_ms(), vm.report.capacity)
        )

    def record_start(self, vm: VmView, command: vms.StartCommand) -> None:
        """Record and check that a VM has started a run."""
        task = command.task
        now_ms = self._now_ms()
        run = Run(task, command.number, vm, now_ms, not vm.has_answered)
        earlier_runs = self._runs[task]
        sim_job = self._jobs.get(task.job)
        if sim_job is None or command.payload != sim_job.spec.payload:
            self._record_violation(
                "UNASKED", run, "no caller has sent this job"
            )
        else:
            self._check_start(run, earlier_runs, sim_job)
        earlier_runs.append(run)
        self._running[vm].append(run)
        if not vm.guards_capacity:
            self._check_capacity(run)
        if sim_job is not None and sim_job.spec.steps[task.step].long_running:
            self._long_running[task] = _Availability(None)

    def record_end(
        self,
        vm: VmView,
        task: model.TaskId,
        number: int,
        kind: task_module.EndKind,
    ) -> None:
        """Record and check that a run has ended.

        Args:
            vm: VM of the run.
            task: Task of the run.
            number: Number of the run.
            kind: How the run ended.
        """
        for run in self._runs[task]:
            if run.number == number and run.vm is vm and run.ended_ms is None:
                run.ended_ms = self._now_ms()
                run.kind = kind
                self._running[vm].remove(run)
                self._process_end(run)

    def record_shutdown(self, vm: VmView) -> None:
        """Record that a command to the machine is about to end a VM."""
        for runs in self._runs.values():
            for run in runs:
                if run.vm is vm and run.ended_ms is None:
                    self._check_availability(run)
                    self._mark_stopped_by_command(run.task)

    def record_crash(self, vm: VmView) -> None:
        """Record that a VM is about to end without a command."""
        for runs in self._runs.values():
            for run in runs:
                if run.vm is vm and run.ended_ms is None:
                    run.crashed_ms = self._now_ms()

    def record_acknowledgement(
        self, vm: VmView, end: vms.ListedEnd, is_read: bool
    ) -> None:
        """Record and check that the product has acknowledged the end of a run.

        Args:
            vm: VM that discards the end.
            end: The end.
            is_read: Whether any process has got a listing with the end.
        """
        for run in self._runs[end.task]:
            if run.vm is vm and run.number == end.number:
                run.acknowledged_ms = self._now_ms()
                if not is_read:
                    self.violations.append(
                        f"UNREAD {run.task} run {run.number} on"
                        f" {vm.report.vm}: its end was acknowledged unread"
                    )
                self._check_later_starts(run)

    def record_lapse(self, vm: VmView, lapsed_ms: int) -> None:
        """Record that the lease of a VM has expired.

        Args:
            vm: VM whose lease has expired, with or without runs.
            lapsed_ms: When it expired.
        """
        for runs in self._runs.values():
            for run in runs:
                open_end = run.ended_ms is not None and not run.acknowledged_ms
                if run.vm is vm and open_end and run.lapsed_ms is None:
                    run.lapsed_ms = lapsed_ms

    def record_final_state(
        self, sim_job: truth_module.SimJob, state: model.JobState
    ) -> None:
        """Record and check that the store contains a job's final state."""
        if state is model.JobState.COMPLETED:
            for task in self._tasks(sim_job):
                if not self._is_done(task):
                    self.violations.append(
                        f"MIXED {task} is not done, but its job is completed"
                    )
        if state is model.JobState.FAILED and not self._has_exhausted_attempts(
            sim_job
        ):
            self.violations.append(
                f"LOST {sim_job.job} failed although attempts were left"
            )

    def availability(self, sim_job: truth_module.SimJob) -> float:
        """Return the share of a long-running job's tasks that are available.

        A task is available if a run of it has completed its start-up.
        """
        tasks = self._tasks(sim_job)
        available = sum(self._is_available(sim_job, task) for task in tasks)
        return available / len(tasks)

    def check_final_state(self) -> None:
        """Check the guarantees that can only be checked at the end of a day."""
        for sim_job in self._jobs.all():
            has_run = any(self._runs.get(task) for task in self._tasks(sim_job))
            if sim_job.rejected and not sim_job.accepted_ms and has_run:
                self.violations.append(
                    f"REFUSED {sim_job.job} has run although it was rejected"
                )
            if sim_job.is_open():
                self.violations.append(f"LOST {sim_job.job} has not ended")
            self._check_cancelled_job(sim_job)
            if (
                sim_job.long_running
                and sim_job.accepted_ms
                and sim_job.final_state is None
            ):
                self._check_long_running_job(sim_job)

    def _check_start(
        self, run: Run, earlier_runs: list[Run], sim_job: truth_module.SimJob
    ) -> None:
        for other in earlier_runs:
            if other.ended_ms is None and not other.vm.dead:
                detail = f"also runs on {other.vm.report.vm}"
                self._record_violation("TWICE", run, detail, other)
        self._check_step_order(run, sim_job)
        cancelled_ms = sim_job.cancel_acked_ms
        late_ms = run.started_ms - cancelled_ms - _CANCEL_GRACE_MS
        if cancelled_ms and late_ms > _MAX_COMMAND_DELAY_MS:
            self._record_violation(
                "UNASKED",
                run,
                f"starts {late_ms} ms after the cancellation grace period",
            )
        self._check_crashes(run, earlier_runs, sim_job)
        if earlier_runs:
            all_runs = [*earlier_runs, run]
            self._check_run_sequence(run.task, all_runs)

    def _check_crashes(
        self, run: Run, earlier_runs: list[Run], sim_job: truth_module.SimJob
    ) -> None:
        if (run.task.step, run.task.position) not in sim_job.crashing:
            return
        crashes_ms = [
            earlier.crashed_ms
            for earlier in earlier_runs
            if earlier.crashed_ms is not None
        ]
        if len(crashes_ms) < _CRASHES_BEFORE_LIMIT:
            return
        limited_from_ms = sorted(crashes_ms)[_CRASHES_BEFORE_LIMIT - 1]
        starts = 1 + sum(
            earlier.started_ms >= limited_from_ms for earlier in earlier_runs
        )
        if starts > _STARTS_AFTER_CRASHES:
            self._record_violation(
                "BUDGET",
                run,
                f"start {starts} after {_CRASHES_BEFORE_LIMIT} crashed VMs",
            )

    def _check_capacity(self, run: Run) -> None:
        """Check that a start does not bring its VM over its capacity."""
        needs = [self._needs(other) for other in self._running[run.vm]]
        limits = self._allowed_capacity(run.vm)
        for number, resource in enumerate(("cpu", "memory", "GPUs")):
            used = sum(need[number] for need in needs)
            if self._needs(run)[number] and used > limits[number]:
                self._record_violation(
                    "ROOM", run, f"{resource} {used} of {limits[number]}"
                )

    def _needs(self, run: Run) -> tuple[int, int, int]:
        sim_job = self._jobs.get(run.task.job)
        if sim_job is None:
            return 0, 0, 0
        step = sim_job.spec.steps[run.task.step]
        cpu_millicores = 0 if step.filler else step.cpu_millicores
        return cpu_millicores, step.memory_mb, step.gpu_count

    def _allowed_capacity(self, vm: VmView) -> tuple[int, int, int]:
        """Return the most of each resource reported in the grace period."""
        since_ms = self._now_ms() - _SHRINK_GRACE_MS
        reports = self._capacities[vm]
        # A report holds until the next one.
        ends_ms = [at_ms for at_ms, _ in reports[1:]] + [self._now_ms()]
        allowed = [
            capacity
            for (_, capacity), end_ms in zip(reports, ends_ms, strict=True)
            if end_ms >= since_ms
        ]
        return (
            max(capacity.cpu_millicores for capacity in allowed),
            max(capacity.memory_mb for capacity in allowed),
            max(capacity.gpu_count for capacity in allowed),
        )

    def _check_step_order(self, run: Run, sim_job: truth_module.SimJob) -> None:
        step = sim_job.spec.steps[run.task.step]
        for required_step in step.after:
            for position in range(sim_job.spec.steps[required_step].task_count):
                task = run.task._replace(step=required_step, position=position)
                if not self._is_done(task):
                    self._record_violation("ORDER", run, f"{task} is not done")

    def _check_later_starts(self, ended: Run) -> None:
        runs = self._runs[ended.task]
        for index, run in enumerate(runs):
            if run.started_ms > (ended.ended_ms or 0):
                self._check_run_sequence(ended.task, runs[: index + 1])

    def _check_run_sequence(self, task: model.TaskId, runs: list[Run]) -> None:
        sim_job = self._jobs.get(task.job)
        if sim_job is None or sim_job.long_running:
            return
        latest = runs[-1]
        ended_runs = [
            run for run in runs if run is not latest and run.counts_for(latest)
        ]
        done = [
            run for run in ended_runs if run.kind is task_module.EndKind.DONE
        ]
        if done:
            detail = "an earlier run has completed the task"
            self._record_violation("TWICE", latest, detail, *done)
        failed = [
            run for run in ended_runs if run.kind is task_module.EndKind.FAILED
        ]
        if len(failed) >= sim_job.queue.max_attempts:
            self._record_violation(
                "BUDGET", latest, f"failed {len(failed)} times"
            )

    def _process_end(self, run: Run) -> None:
        sim_job = self._jobs.get(run.task.job)
        if sim_job is None:
            return
        step = sim_job.spec.steps[run.task.step]
        if step.long_running:
            if run.kind is task_module.EndKind.STOPPED:
                self._check_availability(run)
                self._mark_stopped_by_command(run.task)
            availability = self._long_running[run.task]
            if availability.unavailable_since_ms is None:
                availability.unavailable_since_ms = run.ended_ms
            return
        if run.kind is not task_module.EndKind.DONE and not step.checkpointing:
            executed_ms = (run.ended_ms or 0) - run.started_ms
            self.waste_core_ms += executed_ms * step.cpu_millicores / 1_000

    def _mark_stopped_by_command(self, task: model.TaskId) -> None:
        availability = self._long_running.get(task)
        if availability is not None:
            availability.unavailable_since_ms = self._now_ms()
            availability.stopped_by_command = True

    def _check_availability(self, run: Run) -> None:
        sim_job = self._jobs.get(run.task.job)
        if (
            sim_job is None
            or sim_job.cancel_sent_ms
            or not sim_job.long_running
        ):
            return
        step = sim_job.spec.steps[run.task.step]
        if step.max_unavailable is None:
            return
        now_ms = self._now_ms()
        unavailable_others = 0
        for position in range(step.task_count):
            other = self._long_running.get(run.task._replace(position=position))
            if position == run.task.position or other is None:
                continue
            if other.unavailable_since_ms is None:
                continue
            long_unavailable = (
                now_ms - other.unavailable_since_ms >= _UNAVAILABLE_AFTER_MS
            )
            unavailable_others += other.stopped_by_command or long_unavailable
        if unavailable_others >= step.max_unavailable:
            self._record_violation(
                "AVAIL",
                run,
                f"{unavailable_others} other tasks are unavailable",
            )

    def _is_available(
        self, sim_job: truth_module.SimJob, task: model.TaskId
    ) -> bool:
        startup_ms = sim_job.run_ms[task.step][task.position]
        return any(
            run.ended_ms is None
            and self._now_ms() - run.started_ms >= startup_ms
            for run in self._runs.get(task, [])
        )

    def _check_cancelled_job(self, sim_job: truth_module.SimJob) -> None:
        elapsed_ms = self._now_ms() - sim_job.cancel_acked_ms
        if not sim_job.cancel_acked_ms or elapsed_ms < _CANCEL_COMPLETE_MS:
            return
        for task in self._tasks(sim_job):
            for run in self._runs.get(task, []):
                if run.ended_ms is None and not run.vm.dead:
                    self._record_violation(
                        "UNASKED", run, "still runs after the cancellation"
                    )

    def _check_long_running_job(self, sim_job: truth_module.SimJob) -> None:
        for task in self._tasks(sim_job):
            runs = self._runs.get(task, [])
            if any(run.ended_ms is None for run in runs):
                continue
            last_end_ms = max((run.ended_ms or 0 for run in runs), default=0)
            if self._now_ms() - last_end_ms > _MAX_PAUSE_MS:
                self.violations.append(
                    f"LOST {task} does not run at the end of the day"
                )

    def _tasks(self, sim_job: truth_module.SimJob) -> list[model.TaskId]:
        return [
            model.TaskId(sim_job.job, 0, number, position)
            for number, step in enumerate(sim_job.spec.steps)
            for position in range(step.task_count)
        ]

    def _is_done(self, task: model.TaskId) -> bool:
        return any(
            run.kind is task_module.EndKind.DONE
            for run in self._runs.get(task, [])
        )

    def _has_exhausted_attempts(self, sim_job: truth_module.SimJob) -> bool:
        return any(
            sum(
                run.kind is task_module.EndKind.FAILED
                for run in self._runs.get(task, [])
            )
            >= sim_job.queue.max_attempts
            for task in self._tasks(sim_job)
        ) or any(
            self._crash_count(sim_job, task.step, task.position)
            >= _CRASHES_BEFORE_FAILURE
            for task in self._tasks(sim_job)
        )

    def _crash_count(
        self, sim_job: truth_module.SimJob, step: int, position: int
    ) -> int:
        task = model.TaskId(sim_job.job, 0, step, position)
        return sum(
            run.crashed_ms is not None for run in self._runs.get(task, [])
        )

    def _record_violation(
        self, rule: str, run: Run, detail: str, *others: Run
    ) -> None:
        if any(each.before_first_answer for each in (run, *others)):
            detail += f" ({BEFORE_FIRST_ANSWER})"
        self.violations.append(
            f"{rule} {run.task} run {run.number} on {run.vm.report.vm}"
            f" at {run.started_ms}: {detail}"
        )
