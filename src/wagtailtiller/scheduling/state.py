"""What a pool's owner knows: the data that its decisions share."""

import dataclasses

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller.dispatch import health
from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue
from wagtailtiller.scheduling import tickets
from wagtailtiller.scheduling import vm as vm_module


@dataclasses.dataclass(slots=True)
class JobEntry:
    """A job and what the owner keeps beside it.

    Attributes:
        job: The job.
        accepted_ms: When it was accepted, on the owner's clock.
        inherited: A former owner may have started tasks of it.
        stored_state: The state that the store holds; None: not stored yet.
        final_ms: When it became final, on the owner's clock.
    """

    job: job_module.Job
    accepted_ms: int
    inherited: bool
    stored_state: model.JobState | None
    final_ms: int = 0


class PoolState:
    """The jobs and VMs of one pool.

    Attributes:
        pool: Its name.
        epoch: The owner's epoch.
        clock: The time.
        queues: The operators' queues, also removed ones.
        entries: All jobs that are known.
        active: The jobs that are not final.
        changed: Jobs that differ from what is stored.
        vms: All VMs that are known.
        unresolved: Former members that may still run what was inherited, and
            until when.
        spare_millicores: What the keeper of the machines could bring in;
            None: not said yet.
        no_room_until_ms: Until then, a lasting task on a VM that is being
            emptied has no room elsewhere.
        tickets: Where a placement policy lets steps run.
        health: Which VMs fail what does well elsewhere.
    """

    def __init__(
        self, pool: ids.PoolId, epoch: int, clock: clock_module.Clock
    ) -> None:
        self.pool = pool
        self.epoch = epoch
        self.clock = clock
        self.queues: dict[ids.QueueId, catalogue.Queue] = {}
        self.entries: dict[model.JobId, JobEntry] = {}
        self.active: dict[model.JobId, JobEntry] = {}
        self.changed: set[model.JobId] = set()
        self.vms: dict[ids.VmId, vm_module.Vm] = {}
        self.unresolved: dict[ids.VmId, int] = {}
        self.spare_millicores: int | None = None
        self.no_room_until_ms = 0
        self.tickets = tickets.Tickets()
        self.health = health.Health()

    def note_change(self, entry: JobEntry) -> None:
        """Note that a job differs from what is stored."""
        self.changed.add(entry.job.id)
        if entry.job.is_final():
            self.mark_final(entry)

    def mark_final(self, entry: JobEntry) -> None:
        """Take a job that has become final out of the active ones."""
        self.active.pop(entry.job.id, None)
        entry.final_ms = self.clock.monotonic_ms()
        events.emit(
            events.Event.JOB_ENDED,
            job=entry.job.id,
            state=entry.job.state.value,
            age_ms=entry.final_ms - entry.accepted_ms,
        )
        self.changed.add(entry.job.id)

    def discard_runs(self, vm: vm_module.Vm, reason: str) -> None:
        """Give up all runs of a VM."""
        for run in list(vm.runs.values()):
            events.emit(
                events.Event.RUN_LOST,
                job=run.task.id.job,
                task=run.task.id[1:],
                run=run.number,
                vm=vm.report.vm,
                reason=reason,
            )
            self.remove_run(vm, run)

    def remove_run(self, vm: vm_module.Vm, run: job_module.Run) -> None:
        """Forget a run."""
        vm.remove(run)
        if run.task.run is run:
            run.task.run = None
