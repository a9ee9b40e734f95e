"""The jobs of a pool: which there are, and how much they ask for."""

from collections.abc import Iterable

from wagtailtiller import ids
from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue
from wagtailtiller.scheduling import admission
from wagtailtiller.scheduling import state

# A task that lasts starts at once where there is room.
_LONG_RUNNING_START_MS = 500
# Work that waits is to be done within this time.
_BACKLOG_TARGET_MS = 1_200


class Jobs:
    """The jobs of one pool.

    Args:
        pool_state: What the pool's owner knows.
    """

    def __init__(self, pool_state: state.PoolState) -> None:
        self._state = pool_state

    def set_queues(self, queues: Iterable[catalogue.Queue]) -> None:
        """Take the operators' queues; unknown jobs keep their old one."""
        for queue in queues:
            self._state.queues[queue.queue] = queue

    def queue(self, queue: ids.QueueId) -> catalogue.Queue | None:
        """Return a queue by its name, also after it was removed."""
        return self._state.queues.get(queue)

    def admit(
        self, spec: model.JobSpec, queue: catalogue.Queue
    ) -> admission.Refusal | None:
        """Refuse a job that cannot be served; None takes it in."""
        return admission.check(
            spec, queue, self._state.vms.values(), self._backlog()
        )

    def _backlog(self) -> admission.Backlog:
        return admission.Backlog(
            self.waiting_core_ms(), self._state.spare_millicores
        )

    def add(
        self,
        job: job_module.Job,
        inherited: bool,
        stored_state: model.JobState | None = None,
    ) -> state.JobEntry:
        """Take a job in."""
        age_ms = max(0, self._state.clock.wall_ms() - job.accepted_wall_ms)
        accepted_ms = self._state.clock.monotonic_ms() - (
            age_ms if inherited else 0
        )
        entry = state.JobEntry(job, accepted_ms, inherited, stored_state)
        self._state.entries[job.id] = entry
        if job.is_final():
            entry.final_ms = self._state.clock.monotonic_ms()
        else:
            self._state.active[job.id] = entry
        return entry

    def drop(self, job: model.JobId) -> None:
        """Forget a job that never was accepted, or was final long ago."""
        self._state.entries.pop(job, None)
        self._state.active.pop(job, None)
        self._state.changed.discard(job)
        self._state.health.forget_queue(ids.QueueId(job))
        self._state.tickets.drop(job)

    def cancel(self, job: model.JobId) -> None:
        """Cancel a job; its runs are stopped with the next plan."""
        entry = self._state.entries.get(job)
        if entry is None or entry.job.is_final():
            return
        entry.job.cancel(self._state.clock.monotonic_ms())
        self._state.mark_final(entry)

    def pending_count(self, queue: ids.QueueId) -> int:
        """Return how many of a queue's jobs have not started."""
        return sum(
            1
            for entry in self._state.active.values()
            if entry.job.queue == queue and not entry.job.started
        )

    def waiting_core_ms(self) -> float:
        """Return the processor work that is left in jobs that end."""
        total = 0.0
        for entry in self._state.active.values():
            if entry.job.long_running or entry.job.spec.repeat_count:
                continue
            for step_run in entry.job.steps(0):
                step = step_run.step
                total += (
                    step_run.open_count
                    * step.cpu_millicores
                    * step.estimate_ms
                    / 1_000
                )
        return total

    def demand(self) -> tuple[int, int]:
        """Return what tasks that could start and what lasting tasks take.

        A task that is shorter than the time in which a backlog is to be gone
        counts for the part of that time that it runs.

        Returns:
            Thousandths of a core each.
        """
        idle = 0.0
        long_running = 0
        wall_ms = self._state.clock.wall_ms()
        for entry in self._state.active.values():
            for step_run in entry.job.ready_steps(wall_ms):
                step = step_run.step
                if step.long_running:
                    if not step.filler:
                        long_running += step.cpu_millicores * len(
                            step_run.tasks
                        )
                    continue
                part = min(1.0, step.estimate_ms / _BACKLOG_TARGET_MS)
                count = len(step_run.idle_tasks())
                idle += count * step.cpu_millicores * part
        return int(idle), long_running

    def expired_jobs(self, retention_ms: int) -> list[model.JobId]:
        """Return the jobs that ended longer ago than they must be known."""
        now_ms = self._state.clock.monotonic_ms()
        return [
            entry.job.id
            for entry in self._state.entries.values()
            if entry.stored_state in model.FINAL_STATES
            and entry.final_ms
            and now_ms - entry.final_ms > retention_ms
        ]

    def long_running_waiting(self) -> int:
        """Return how many tasks that last have found no room for a while."""
        now_ms = self._state.clock.monotonic_ms()
        no_room = now_ms < self._state.no_room_until_ms
        wall_ms = self._state.clock.wall_ms()
        count = int(no_room)
        for entry in self._state.active.values():
            if not entry.job.long_running:
                continue
            if now_ms - entry.accepted_ms < _LONG_RUNNING_START_MS:
                continue
            for step_run in entry.job.ready_steps(wall_ms):
                if step_run.step.long_running:
                    count += len(step_run.idle_tasks())
        return count

    def next_due_in_ms(self) -> int | None:
        """Return how long until the next occurrence of any job is due."""
        wall_ms = self._state.clock.wall_ms()
        waits = []
        for entry in self._state.active.values():
            due_ms = entry.job.next_due_ms(wall_ms)
            if due_ms is not None:
                waits.append(due_ms - wall_ms)
        return min(waits, default=None)
