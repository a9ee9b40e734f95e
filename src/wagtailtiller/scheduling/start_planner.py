"""Planning of starts: which tasks start now, and on which VMs."""

from wagtailtiller import events
from wagtailtiller.jobs import task as task_module
from wagtailtiller.ports import catalogue
from wagtailtiller.scheduling import allocations as allocations_module
from wagtailtiller.scheduling import candidates
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import cost_order as cost_order_module
from wagtailtiller.scheduling import placement
from wagtailtiller.scheduling import ranking
from wagtailtiller.scheduling import state
from wagtailtiller.scheduling import suspects
from wagtailtiller.scheduling import vm as vm_module

# Limits the VMs in one policy query, because the service needs time for each.
_MAX_QUERIED_VMS = 30
_POLICY_MARGIN_MS = 2_000


class StartPlanner:
    """Plans the starts of one pool.

    Args:
        pool_state: State that the components of the pool share.
        allocations: What organisations with a limit may use in the pool.
        cost_order: Order of the jobs while capacity is insufficient.
    """

    def __init__(
        self,
        pool_state: state.PoolState,
        allocations: allocations_module.Allocations,
        cost_order: cost_order_module.CostOrder,
    ) -> None:
        self._state = pool_state
        self._allocations = allocations
        self._cost_order = cost_order
        self._isolation = suspects.Isolation()

    def plan(
        self, open_vms: list[vm_module.Vm], now_ms: int
    ) -> list[commands.Decision]:
        """Decide which runs to start now.

        Args:
            open_vms: VMs that accept new tasks.
            now_ms: Current time, on the owner's clock.

        Returns:
            Start commands and policy queries, in the order of the job ranks.
        """
        ranked = self._startable_by_rank(now_ms)
        self._allocations.begin_plan()
        if self._isolation.is_due(open_vms, len(ranked), now_ms):
            self._update_isolation(ranked, open_vms, now_ms)
        if not ranked:
            return []
        decisions: list[commands.Decision] = []
        open_candidates = candidates.Candidates(open_vms)
        overdue = self._cost_order.overdue([entry for entry, _ in ranked])
        if overdue is not None:
            ranked.insert(0, ranked.pop(overdue))
        is_isolating = self._isolation.is_active
        for number, (entry, step_runs) in enumerate(ranked):
            is_overdue = overdue is not None and number == 0
            for step_run in step_runs:
                if not open_candidates.is_misfit(step_run.step) or (
                    is_isolating and self._isolation.has_kept_vm(step_run)
                ):
                    decisions.extend(
                        self._start_step(entry, step_run, open_candidates)
                    )
            if is_overdue:
                self._keep_room(entry, step_runs, open_candidates)
        return decisions

    def _update_isolation(
        self,
        ranked: list[tuple[state.JobEntry, list[task_module.StepRun]]],
        open_vms: list[vm_module.Vm],
        now_ms: int,
    ) -> None:
        # A VM is of no use to tasks that a limit of their organisation blocks.
        units = [
            (entry.accepted_ms, tasks)
            for entry, step_runs in ranked
            for step_run in step_runs
            for tasks in suspects.waiting_units(step_run)
            if self._is_within_allocation(entry, step_run)
        ]
        self._isolation.update_groups(
            [
                task
                for entry, step_runs in ranked
                for step_run in step_runs
                for task in suspects.waiting_suspects(step_run)
            ],
            self._state.vms.values(),
            open_vms,
        )
        units.sort(key=lambda row: (row[0], row[1][0].id))
        self._isolation.update(
            [tasks for _, tasks in units],
            self._state.vms.values(),
            open_vms,
            now_ms,
        )

    def _keep_room(
        self,
        entry: state.JobEntry,
        step_runs: list[task_module.StepRun],
        open_candidates: candidates.Candidates,
    ) -> None:
        """Keep a VM free for a task of the job that has waited longest.

        Otherwise smaller tasks of other jobs would take each part of a VM that
        becomes free, and a task that needs most of a VM would never start.
        """
        # Isolation keeps a VM for each of its tasks in their turn.
        waiting = [
            step_run
            for step_run in step_runs
            if not all(
                suspects.needs_isolation(task)
                for task in step_run.waiting_tasks()
            )
        ]
        if not waiting:
            self._cost_order.mark_overdue_started()
            return
        for step_run in waiting:
            # Capacity does not help tasks that a limit of their organisation
            # blocks.
            if not self._is_within_allocation(entry, step_run):
                continue
            step = step_run.step
            if step.filler or open_candidates.keep_free(step):
                return
        # The job cannot start now. The next one that has waited long is not to
        # wait for it.
        self._cost_order.mark_overdue_started()

    def _startable_by_rank(
        self, now_ms: int
    ) -> list[tuple[state.JobEntry, list[task_module.StepRun]]]:
        """Return the jobs that have tasks to start, with these steps."""
        wall_ms = self._state.clock.wall_ms()
        by_cost = self._cost_order.enabled
        if by_cost:
            self._cost_order.refresh(now_ms)
        ranked: list[
            tuple[
                ranking.Rank | cost_order_module.Rank,
                str,
                state.JobEntry,
                list[task_module.StepRun],
            ]
        ] = []
        for entry in self._state.active.values():
            step_runs = entry.job.startable_steps(wall_ms)
            if not step_runs or not self._may_start(entry):
                continue
            terms = entry.job.terms
            if terms is None:
                self._log_skipped(entry)
                continue
            rank = (
                self._cost_order.rank(entry, terms)
                if by_cost
                else ranking.rank(entry.job, entry.accepted_ms, terms, now_ms)
            )
            ranked.append((rank, entry.job.id, entry, step_runs))
        ranked.sort(key=lambda row: row[:2])
        return [(entry, step_runs) for _, _, entry, step_runs in ranked]

    def _log_skipped(self, entry: state.JobEntry) -> None:
        """Log once that a job waits for its queue to be declared again."""
        if entry.skip_logged:
            return
        entry.skip_logged = True
        events.emit(
            events.Event.JOB_WITHOUT_TERMS,
            job=entry.job.id,
            queue=entry.job.queue,
            pool=self._state.pool,
            epoch=self._state.epoch,
        )

    def _may_start(self, entry: state.JobEntry) -> bool:
        if entry.stored_state is None:
            return False
        if entry.read_ms > self._state.owned_until_ms:
            # A later owner may be at work on it.
            return False
        return not (entry.inherited and self._state.unresolved)

    def _start_step(
        self,
        entry: state.JobEntry,
        step_run: task_module.StepRun,
        open_candidates: candidates.Candidates,
    ) -> list[commands.Decision]:
        if not self._is_within_allocation(entry, step_run):
            return []
        waiting = step_run.waiting_tasks()
        if self._isolation.has_kept_vm(step_run):
            waiting.sort(key=lambda task: not suspects.needs_isolation(task))
        terms = entry.job.terms
        policy = terms.policy if terms is not None else None
        if policy is None:
            return list(
                self._place_step(entry, step_run, waiting, open_candidates)
            )
        for tasks in self._asked_apart(step_run, waiting):
            query = self._policy_query(tasks, policy, open_candidates.available)
            if query is not None:
                return [query]
        allowed_vms = [
            vm
            for vm in open_candidates.available
            if self._ticket(waiting[0], vm) is not None
        ]
        started = self._place_step(
            entry, step_run, waiting, candidates.Candidates(allowed_vms)
        )
        if started:
            open_candidates.refresh()
        return list(started)

    def _asked_apart(
        self, step_run: task_module.StepRun, waiting: list[task_module.Task]
    ) -> list[list[task_module.Task]]:
        """Return groups of waiting tasks that need tickets of their own.

        A ticket for the VM that is kept for an isolated task is of no use to
        the others.
        """
        if step_run.step.gang or not self._isolation.has_kept_vm(step_run):
            return [waiting]
        isolated = [task for task in waiting if suspects.needs_isolation(task)]
        others = waiting[len(isolated) :]
        return [tasks for tasks in (isolated, others) if tasks]

    def _is_within_allocation(
        self, entry: state.JobEntry, step_run: task_module.StepRun
    ) -> bool:
        step = step_run.step
        count = len(step_run.tasks) if step.gang else 1
        return self._allocations.may_start(entry.job.organisation, step, count)

    def _place_step(
        self,
        entry: state.JobEntry,
        step_run: task_module.StepRun,
        waiting: list[task_module.Task],
        open_candidates: candidates.Candidates,
    ) -> list[commands.Start]:
        if step_run.step.gang:
            return self._place_gang(entry, step_run, waiting, open_candidates)
        started: list[commands.Start] = []
        spread = open_candidates.spread(step_run, self._state.vms)
        for task in waiting:
            if self._isolation.waits_for_turn(task):
                continue
            if not self._is_within_allocation(entry, step_run):
                break
            chosen = open_candidates.choose(task, spread=spread)
            if chosen is None:
                if suspects.is_suspect(task):
                    # Others have room where this one may not start.
                    continue
                break
            if spread is not None:
                spread.add(chosen.rack)
            number = entry.job.next_run_number(task, self._state.epoch)
            started.append(
                self._start(entry, task, chosen, number, open_candidates)
            )
        return started

    def _place_gang(
        self,
        entry: state.JobEntry,
        step_run: task_module.StepRun,
        waiting: list[task_module.Task],
        open_candidates: candidates.Candidates,
    ) -> list[commands.Start]:
        if len(waiting) < len(step_run.tasks):
            return []
        placements = (
            placement.choose_gang(waiting, open_candidates.available) or []
        )
        number = max(
            entry.job.next_run_number(task, self._state.epoch)
            for task in waiting
        )
        return [
            self._start(entry, task, vm, number, open_candidates)
            for task, vm in placements
        ]

    def _start(
        self,
        entry: state.JobEntry,
        task: task_module.Task,
        vm: vm_module.Vm,
        number: int,
        open_candidates: candidates.Candidates,
    ) -> commands.Start:
        run = task_module.Run(
            task,
            number,
            vm.report.vm,
            task_module.RunPhase.STARTING,
            self._state.clock.monotonic_ms(),
        )
        self._cost_order.record_start(
            entry, task.step, self._state.clock.monotonic_ms()
        )
        entry.job.assign_run(task, run)
        task.last_run = number
        open_candidates.add_run(vm, run)
        self._allocations.add_start(entry.job.organisation, task.step)
        entry.job.mark_started()
        ticket = self._ticket(task, vm) or ""
        return commands.Start(vm.report.vm, run, entry.job.spec.payload, ticket)

    def _ticket(self, task: task_module.Task, vm: vm_module.Vm) -> str | None:
        now_ms = self._state.clock.monotonic_ms()
        return self._state.tickets.ticket(task.id, vm.report.vm, now_ms)

    def _policy_query(
        self,
        tasks: list[task_module.Task],
        policy: catalogue.PlacementPolicy,
        open_vms: list[vm_module.Vm],
    ) -> commands.PolicyQuery | None:
        task = tasks[0]
        fitting = [
            vm
            for vm in open_vms
            if vm.fits(task.step)
            and any(suspects.accepts(vm, other) for other in tasks)
        ]
        if not fitting:
            return None
        if any(self._ticket(task, vm) is not None for vm in fitting):
            return None
        fitting.sort(key=lambda vm: -vm.free_cpu)
        vm_ids = [vm.report.vm for vm in fitting]
        queried_vms = self._state.tickets.begin_query(
            task.id, vm_ids, _MAX_QUERIED_VMS
        )
        if not queried_vms:
            return None
        timeout_ms = policy.decide_ms + policy.each_ms * len(queried_vms)
        return commands.PolicyQuery(
            task.id, queried_vms, 2 * timeout_ms + _POLICY_MARGIN_MS
        )
