"""Reconciliation of the runs that the owner tracks with what VMs report."""

from wagtailtiller import events
from wagtailtiller.jobs import model
from wagtailtiller.jobs import task as task_module
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import crashes
from wagtailtiller.scheduling import outliers
from wagtailtiller.scheduling import probation as probation_module
from wagtailtiller.scheduling import run_times
from wagtailtiller.scheduling import state
from wagtailtiller.scheduling import vm as vm_module

# Time for which nothing starts on a VM after it refused a start because it was
# full or unhealthy.
_REFUSAL_PAUSE_MS = 200


class RunReconciler:
    """Applies the responses of a pool's VMs to the runs that the owner tracks.

    Args:
        pool_state: State that the components of the pool share.
        outlier_detector: Detector that receives the outcomes of runs.
        probation: Receives the run times of VMs on probation.
    """

    def __init__(
        self,
        pool_state: state.PoolState,
        outlier_detector: outliers.OutlierDetector,
        probation: probation_module.Probation,
    ) -> None:
        self._state = pool_state
        self._outlier_detector = outlier_detector
        self._probation = probation

    def apply_start_outcome(
        self,
        vm: vm_module.Vm,
        run: task_module.Run,
        outcome: vms.CommandOutcome,
    ) -> bool:
        """Apply the outcome of a start command.

        Args:
            vm: VM that the command was sent to.
            run: Run that was to be started.
            outcome: Outcome of the command.

        Returns:
            Whether the outcome is unknown, so that a hold request under a
            higher fencing token is needed to resolve it.
        """
        if vm.runs.get(run.task.id) is not run:
            return False
        match outcome:
            case vms.CommandOutcome.DONE:
                if run.phase is task_module.RunPhase.STARTING:
                    run.phase = task_module.RunPhase.RUNNING
                run.confirmed_ms = self._state.clock.monotonic_ms()
                return False
            case vms.CommandOutcome.UNANSWERED:
                if run.phase is task_module.RunPhase.STARTING:
                    run.phase = task_module.RunPhase.UNCERTAIN
                return True
            case vms.CommandOutcome.BAD_TICKET:
                self._state.tickets.discard(run.task.id, vm.report.vm)
                self._state.remove_run(vm, run)
            case vms.CommandOutcome.OLD_RUN:
                # The VM may list this run as ended; the next start of the task
                # uses a higher run number.
                self._state.remove_run(vm, run)
            case vms.CommandOutcome.NO_ROOM | vms.CommandOutcome.UNHEALTHY:
                vm.avoid_until_ms = (
                    self._state.clock.monotonic_ms() + _REFUSAL_PAUSE_MS
                )
                self._state.remove_run(vm, run)
            case _:
                self._state.remove_run(vm, run)
        return False

    def apply_unsent_start(
        self, vm: vm_module.Vm, run: task_module.Run
    ) -> None:
        """Remove a run whose start command was never sent.

        Args:
            vm: VM that the command was meant for.
            run: Run that was to be started.
        """
        if vm.runs.get(run.task.id) is not run:
            # Another instance of the VM has taken the run over.
            return
        # A stop may have told the VM this number.
        if run.task.last_run == run.number and not run.stop_sent_ms:
            run.task.last_run -= 1
        self._state.remove_run(vm, run)

    def apply_listing(
        self,
        vm: vm_module.Vm,
        token: int,
        sent_ms: int,
        listing: vms.Listing,
    ) -> list[commands.Command]:
        """Apply a VM's listing of its runs.

        Args:
            vm: VM that sent the listing.
            token: Fencing token that the request carried.
            sent_ms: Reading of the owner's clock before the request was sent.
            listing: Listing of current and ended runs.

        Returns:
            Commands that stop orphan runs or set the speed of fillers.
        """
        vm.record_answer(sent_ms, self._state.clock.monotonic_ms())
        if listing.clock_ms < vm.listed_clock_ms:
            # A newer listing has arrived before this one.
            return []
        vm.listed_clock_ms = listing.clock_ms
        issued: list[commands.Command] = []
        self._record_ends(vm, listing)
        is_truncated = len(listing.ended) >= vms.MAX_LISTED_ENDS
        vm.has_more_ends = is_truncated or bool(vm.unread_jobs)
        running = {
            (listed_run.task, listed_run.number)
            for listed_run in listing.running
        }
        for listed_run in listing.running:
            issued.extend(self._reconcile_run(vm, listed_run))
        orphan_tasks = self._orphan_tasks(issued)
        # Each command so far stops one orphan run.
        has_unknown = len(orphan_tasks) < len(issued) or any(
            listed_run.task.job in vm.unread_jobs
            for listed_run in listing.running
        )
        vm.set_orphans(orphan_tasks, has_unknown)
        if listing.is_complete and not vm.has_more_ends:
            self._remove_unlisted(vm, token, sent_ms, running)
        issued.extend(self._set_speeds(vm))
        self._update_status(vm, token, listing)
        return issued

    def _update_status(
        self, vm: vm_module.Vm, token: int, listing: vms.Listing
    ) -> None:
        if vm.has_more_ends:
            # The other ends may be those of inherited tasks.
            return
        # A late listing of a replaced instance tells nothing about the new one.
        is_current = self._state.vms.get(vm.report.vm) is vm
        if listing.is_complete and is_current:
            self._state.unresolved.pop(vm.report.vm, None)
        if vm.status is vm_module.VmStatus.JOINING:
            vm.status = vm_module.VmStatus.USABLE
            if vm.follows_other_life:
                # From now on the VM refuses the calls that were meant for
                # another life. Those before it may have set its lease.
                vm.lease.cover(self._state.longest_lease_end_ms())
            events.emit(
                events.Event.VM_JOINED,
                vm=vm.report.vm,
                pool=self._state.pool,
                token=token,
                running=len(listing.running),
                born_ms=vm.report.born_ms,
                follows_other_life=vm.follows_other_life,
            )

    def _orphan_tasks(
        self, issued: list[commands.Command]
    ) -> list[task_module.Task]:
        """Return the tasks of the orphan runs whose jobs are known."""
        tasks = []
        for command in issued:
            if not isinstance(command, commands.StopOrphan):
                continue
            task_id = command.run.task.id
            entry = self._state.entries.get(task_id.job)
            task = entry.job.task(task_id) if entry is not None else None
            if task is not None:
                tasks.append(task)
        return tasks

    def _set_speeds(self, vm: vm_module.Vm) -> list[commands.Command]:
        fillers = [
            run
            for run in vm.runs.values()
            if run.task.step.filler
            and run.phase is task_module.RunPhase.RUNNING
        ]
        if not fillers:
            return []
        worst_latency_share = max(
            (
                run.usage / run.task.step.tail_target_ms
                for run in vm.runs.values()
                if run.task.step.tail_target_ms
            ),
            default=0.0,
        )
        percent = vm.throttle.adapt(
            worst_latency_share, self._state.clock.monotonic_ms()
        )
        issued: list[commands.Command] = []
        for run in fillers:
            if run.speed_percent != percent:
                run.speed_percent = percent
                issued.append(commands.SetSpeed(vm.report.vm, run, percent))
        return issued

    def _record_ends(self, vm: vm_module.Vm, listing: vms.Listing) -> None:
        ends = [
            end for end in listing.ended if end.position > vm.last_end_position
        ]
        listed_jobs = {end.task.job for end in ends}
        listed_jobs.update(run.task.job for run in listing.running)
        vm.absent_jobs &= listed_jobs
        vm.unread_jobs = {
            job
            for job in listed_jobs
            if job not in self._state.entries and job not in vm.absent_jobs
        }
        for end in ends:
            if end.task.job in vm.unread_jobs:
                return
            self._record_end(vm, end)

    def _record_end(self, vm: vm_module.Vm, end: vms.ListedEnd) -> None:
        entry = self._state.entries.get(end.task.job)
        task = entry.job.task(end.task) if entry is not None else None
        if entry is None or task is None:
            vm.last_end_position = end.position
            return
        events.emit(
            events.Event.RUN_ENDED,
            job=end.task.job,
            task=end.task[1:],
            run=end.number,
            vm=vm.report.vm,
            how=end.kind.value,
            position=end.position,
        )
        task.last_run = max(task.last_run, end.number)
        known = vm.runs.get(end.task)
        if known is not None and known.number != end.number:
            known = None
        if known is not None:
            self._state.remove_run(vm, known)
        try:
            self._learn_from_end(vm, entry, task, end, known)
        finally:
            # An error in what is only learned from the end must not lose it.
            self._apply_end(vm, entry, task, end)
            vm.last_end_position = end.position

    def _learn_from_end(
        self,
        vm: vm_module.Vm,
        entry: state.JobEntry,
        task: task_module.Task,
        end: vms.ListedEnd,
        known: task_module.Run | None,
    ) -> None:
        started_ms = 0 if known is None else known.started_ms
        if known is not None and end.kind is task_module.EndKind.DONE:
            self._record_run_time(entry, known)
        if task.done:
            return
        match end.kind:
            case task_module.EndKind.DONE:
                self._outlier_detector.record_success(vm, task, started_ms)
            case task_module.EndKind.FAILED:
                self._outlier_detector.record_failure(vm, task, started_ms)
            case _:
                pass

    def _apply_end(
        self,
        vm: vm_module.Vm,
        entry: state.JobEntry,
        task: task_module.Task,
        end: vms.ListedEnd,
    ) -> None:
        if task.done:
            return
        if end.checkpoint and end.number >= task.last_run:
            task.checkpoint = end.checkpoint
        match end.kind:
            case task_module.EndKind.DONE:
                entry.job.mark_done(task)
                self._state.mark_changed(entry)
                if task.id.occurrence in entry.job.finished:
                    self._state.tickets.remove_occurrence(
                        entry.job.id, task.id.occurrence
                    )
            case task_module.EndKind.FAILED:
                task.failed_vms.add(vm.report.vm)
                terms = entry.job.terms
                attempts = terms.max_attempts if terms is not None else 1
                entry.job.record_failure(task, end.number, attempts)
                self._state.mark_changed(entry)
            case _:
                pass

    def _record_run_time(
        self, entry: state.JobEntry, run: task_module.Run
    ) -> None:
        if run.task.checkpoint or run.adopted:
            # The run has done only a part of the task, or began unseen.
            return
        step_run = entry.job.steps(run.task.id.occurrence)[run.task.id.step]
        run_ms = self._state.clock.monotonic_ms() - run.started_ms
        self._probation.record_run_time(run, run_ms, step_run)
        step_run.run_times.append((run.vm, run_ms))
        self._state.run_times.observe(
            entry.job.queue,
            run.task.id[:3],
            step_run.step,
            run_times.Progress(
                [ms for _, ms in step_run.run_times[-run_times.MAX_RUNS :]],
                len(step_run.run_times) / len(step_run.tasks),
            ),
        )

    def _reconcile_run(
        self, vm: vm_module.Vm, listed_run: vms.ListedRun
    ) -> list[commands.Command]:
        known = vm.runs.get(listed_run.task)
        if known is not None and known.number == listed_run.number:
            if known.phase is not task_module.RunPhase.STOPPING:
                known.phase = task_module.RunPhase.RUNNING
            known.confirmed_ms = self._state.clock.monotonic_ms()
            if listed_run.checkpoint:
                known.task.checkpoint = listed_run.checkpoint
            known.listed_ms = vm.listed_clock_ms
            if not known.first_listed_ms:
                known.first_listed_ms = vm.listed_clock_ms
                known.first_percent = listed_run.percent
            if listed_run.percent != known.percent or not known.progress_ms:
                known.progress_ms = vm.listed_clock_ms
            known.percent = listed_run.percent
            known.usage = listed_run.usage
            # This instance has executed the start command, so that the one
            # before it has not.
            known.doubtful_crash = None
            self._clear_crashes(known)
            return []
        if listed_run.task.job in vm.unread_jobs:
            return []
        entry = self._state.entries.get(listed_run.task.job)
        task = entry.job.task(listed_run.task) if entry is not None else None
        if entry is not None and task is not None:
            task.last_run = max(task.last_run, listed_run.number)
            wanted = not task.done and not entry.job.is_final()
            if wanted and task.run is None:
                self._adopt(entry, vm, task, listed_run)
                return []
        orphan_task = task_module.Task(listed_run.task, model.Step(1))
        now_ms = self._state.clock.monotonic_ms()
        run = task_module.Run(
            orphan_task,
            listed_run.number,
            vm.report.vm,
            task_module.RunPhase.STOPPING,
            now_ms,
        )
        return [commands.StopOrphan(vm.report.vm, run)]

    def _clear_crashes(self, run: task_module.Run) -> None:
        if not run.task.suspected_of() or not crashes.has_run_well(run):
            return
        entry = self._state.entries.get(run.task.id.job)
        if run.task.clear_crashes() and entry is not None:
            self._state.changed.add(entry.job.id)

    def _adopt(
        self,
        entry: state.JobEntry,
        vm: vm_module.Vm,
        task: task_module.Task,
        listed_run: vms.ListedRun,
    ) -> None:
        now_ms = self._state.clock.monotonic_ms()
        run = task_module.Run(
            task,
            listed_run.number,
            vm.report.vm,
            task_module.RunPhase.RUNNING,
            now_ms,
            confirmed_ms=now_ms,
            adopted=True,
        )
        entry.job.assign_run(task, run)
        task.checkpoint = listed_run.checkpoint or task.checkpoint
        vm.add(run)
        entry.job.mark_started()
        events.emit(
            events.Event.RUN_ADOPTED,
            job=task.id.job,
            task=task.id[1:],
            run=run.number,
            vm=run.vm,
            epoch=self._state.epoch,
        )

    def _remove_unlisted(
        self,
        vm: vm_module.Vm,
        token: int,
        sent_ms: int,
        running: set[tuple[model.TaskId, int]],
    ) -> None:
        for run in list(vm.runs.values()):
            if (run.task.id, run.number) in running:
                continue
            never_started = run.phase is task_module.RunPhase.UNCERTAIN and (
                token >= vm.token
            )
            ended = 0 < run.confirmed_ms < sent_ms
            if never_started or ended:
                self._state.remove_run(vm, run)
            if never_started and run.doubtful_crash is not None:
                self._state.record_crash(run, run.doubtful_crash)
