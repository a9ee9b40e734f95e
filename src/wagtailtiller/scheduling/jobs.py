"""The jobs of a pool and their demand for capacity."""

from collections.abc import Iterable

from wagtailtiller import ids
from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue
from wagtailtiller.scheduling import admission
from wagtailtiller.scheduling import allocations as allocations_module
from wagtailtiller.scheduling import cost_admission
from wagtailtiller.scheduling import cost_order as cost_order_module
from wagtailtiller.scheduling import job_memory
from wagtailtiller.scheduling import limit_admission
from wagtailtiller.scheduling import limited_backlog
from wagtailtiller.scheduling import state

# A long-running task normally starts at once; one that still waits after this
# time has found no room.
_LONG_RUNNING_START_MS = 500
# Time in which the pool should work off its backlog.
_BACKLOG_TARGET_MS = 1_200
# Tasks of all repeated jobs that are held at once.
_MAX_OPEN_TASKS = 10_000
_NO_JOB_ID = model.JobId("")


class Jobs:
    """The jobs of one pool.

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
        self._limit_admission = limit_admission.LimitAdmission(
            pool_state, allocations
        )
        self._cost_order = cost_order
        self._cost_admission = cost_admission.CostAdmission(
            pool_state, cost_order
        )

    def set_queues(self, queues: Iterable[catalogue.Queue]) -> None:
        """Add or update queues, and the terms of the jobs in them.

        Args:
            queues: Queues that the operators have declared.
        """
        changed = {
            queue.queue: queue
            for queue in queues
            if self._state.queues.get(queue.queue) != queue
        }
        if not changed:
            return
        self._state.queues.update(changed)
        for entry in self._state.active.values():
            if entry.job.queue in changed:
                self._update_terms(entry)

    def _update_terms(self, entry: state.JobEntry) -> None:
        """Give a job the terms of its queue as that is declared now.

        They are stored, because the next owner may not find the queue.
        """
        job = entry.job
        queue = self._state.queues.get(job.queue)
        if queue is None or job.terms == queue.terms:
            return
        job.terms = queue.terms
        if entry.stored_state is not None:
            self._state.urgent.add(job.id)
            self._state.mark_changed(entry)

    def queue(self, queue: ids.QueueId) -> catalogue.Queue | None:
        """Return a queue by its name, even if it has been removed."""
        return self._state.queues.get(queue)

    def admit(
        self,
        spec: model.JobSpec,
        queue: catalogue.Queue,
        organisation: ids.OrganisationId = catalogue.NO_ORGANISATION,
        job: model.JobId = _NO_JOB_ID,
    ) -> admission.Refusal | None:
        """Return the refusal of a job, or None if the job is admitted.

        Args:
            spec: Definition of the job.
            queue: Queue that the job was submitted to.
            organisation: Organisation of the caller.
            job: Id of the job.
        """
        refusal = self._limit_admission.check(spec, queue, organisation, job)
        if refusal is not None:
            return refusal
        if self._cost_order.enabled:
            return self._cost_admission.check(spec, queue, job, organisation)
        return admission.check(
            spec, queue, self._state.vms.values(), self._backlog()
        )

    def _backlog(self) -> admission.Backlog:
        core_ms = self.waiting_core_ms()
        if self._allocations.limits:
            core_ms = limited_backlog.core_ms(
                self._state, self._allocations, core_ms
            )
        return admission.Backlog(core_ms, self._state.spare_millicores)

    def add(
        self,
        job: job_module.Job,
        inherited: bool,
        stored_state: model.JobState | None = None,
    ) -> state.JobEntry:
        """Add a job to the pool.

        Args:
            job: Job to add.
            inherited: Whether a previous owner may have started tasks of it.
            stored_state: State of the job in the store; None if the job is not
                stored yet.
        """
        age_ms = max(0, self._state.clock.wall_ms() - job.accepted_wall_ms)
        accepted_ms = self._state.clock.monotonic_ms() - (
            age_ms if inherited else 0
        )
        entry = state.JobEntry(job, accepted_ms, inherited, stored_state)
        self._drop(job.id)
        self._state.entries[job.id] = entry
        self._state.held_job_bytes += job_memory.estimated_bytes(job.spec)
        if job.is_final():
            entry.final_ms = self._state.clock.monotonic_ms()
        else:
            self._state.active[job.id] = entry
            self._update_terms(entry)
            if self._cost_order.enabled:
                self._cost_admission.add(entry)
        return entry

    def share_open_tasks(self) -> None:
        """Divide the open tasks that may be held among the repeated jobs."""
        repeated_jobs = [
            entry.job
            for entry in self._state.active.values()
            if entry.job.spec.repeat_count
        ]
        for job in repeated_jobs:
            job.max_open_tasks = min(
                job_module.MAX_OPEN_TASKS, _MAX_OPEN_TASKS // len(repeated_jobs)
            )

    def remove(self, job: model.JobId) -> None:
        """Remove a job that was not stored or whose retention has ended."""
        self._drop(job)
        self._state.active.pop(job, None)
        self._state.changed.discard(job)
        self._state.tickets.remove_job(job)

    def _drop(self, job: model.JobId) -> None:
        entry = self._state.entries.pop(job, None)
        if entry is not None:
            spec = entry.job.spec
            self._state.held_job_bytes -= job_memory.estimated_bytes(spec)

    def cancel(self, job: model.JobId) -> None:
        """Cancel a job; the next plan stops its runs."""
        entry = self._state.entries.get(job)
        if entry is None or entry.job.is_final():
            return
        entry.job.cancel(self._state.clock.monotonic_ms())
        self._state.mark_final(entry)

    def pending_count(self, queue: ids.QueueId) -> int:
        """Return the number of jobs in a queue that have not started."""
        return sum(
            1
            for entry in self._state.active.values()
            if entry.job.queue == queue and not entry.job.started
        )

    def waiting_core_ms(self) -> float:
        """Return the remaining processor work, in core milliseconds.

        The callers' estimates are corrected by what was learned about their
        queues. Long-running and repeated jobs are left out.
        """
        ratio = self._state.run_times.ratio
        ratios = {queue: ratio(queue) for queue in self._state.queues}
        core_ms = 0.0
        for entry in self._state.active.values():
            job = entry.job
            core_ms += job.remaining_core_ms() * ratios.get(job.queue, 1.0)
        return core_ms

    def demand(self) -> tuple[int, int]:
        """Return the processor demand of waiting and of long-running tasks.

        A waiting task that runs for only a part of the time in which the
        backlog should be worked off counts with that part of its demand.
        Long-running fillers and tasks that their organisation's allocation
        does not allow are left out.

        Returns:
            The demand of tasks that are ready to start and the demand of
            long-running tasks, both in millicores.
        """
        startable_millicores = 0.0
        long_running_millicores = 0
        self.share_open_tasks()
        wall_ms = self._state.clock.wall_ms()
        headroom = self._allocations.headroom()
        for entry in self._state.active.values():
            organisation = entry.job.organisation
            for step_run in entry.job.ready_steps(wall_ms):
                step = step_run.step
                waiting = len(step_run.waiting_tasks())
                count = headroom.take_fitting(organisation, step, waiting)
                if step.long_running:
                    if not step.filler:
                        blocked = waiting - count
                        long_running_millicores += step.cpu_millicores * (
                            len(step_run.tasks) - blocked
                        )
                    continue
                expected_ms = self._state.run_times.expected_ms(
                    entry.job.queue, step.estimate_ms
                )
                share = min(1.0, expected_ms / _BACKLOG_TARGET_MS)
                startable_millicores += count * step.cpu_millicores * share
        return int(startable_millicores), long_running_millicores

    def expired_jobs(self, retention_ms: int) -> list[model.JobId]:
        """Return the jobs whose retention time has passed.

        Args:
            retention_ms: Time for which a job is kept after its end.
        """
        now_ms = self._state.clock.monotonic_ms()
        return [
            entry.job.id
            for entry in self._state.entries.values()
            if entry.stored_state in model.FINAL_STATES
            and entry.final_ms
            and now_ms - entry.final_ms > retention_ms
        ]

    def long_running_waiting(self) -> int:
        """Return the number of long-running tasks that have found no room.

        One more is counted while a task on a VM that is being vacated has no
        room elsewhere.
        """
        now_ms = self._state.clock.monotonic_ms()
        no_room = now_ms < self._state.no_room_until_ms
        wall_ms = self._state.clock.wall_ms()
        count = int(no_room)
        headroom = self._allocations.headroom()
        for entry in self._state.active.values():
            if not entry.job.long_running:
                continue
            if now_ms - entry.accepted_ms < _LONG_RUNNING_START_MS:
                continue
            for step_run in entry.job.ready_steps(wall_ms):
                if step_run.step.long_running:
                    count += headroom.take_fitting(
                        entry.job.organisation,
                        step_run.step,
                        len(step_run.waiting_tasks()),
                    )
        return count

    def next_due_in_ms(self) -> int | None:
        """Return the time until the next occurrence of any job is due.

        Returns:
            Milliseconds; None if no occurrence lies ahead.
        """
        wall_ms = self._state.clock.wall_ms()
        waits = []
        for entry in self._state.active.values():
            if not entry.job.spec.repeat_count:
                continue
            due_ms = entry.job.next_due_ms(wall_ms)
            if due_ms is not None:
                waits.append(due_ms - wall_ms)
        return min(waits, default=None)
