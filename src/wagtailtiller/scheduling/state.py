"""State of a pool that the components of its scheduler share."""

import dataclasses
import math

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import model
from wagtailtiller.jobs import task as task_module
from wagtailtiller.ports import catalogue
from wagtailtiller.scheduling import cost as cost_module
from wagtailtiller.scheduling import run_times
from wagtailtiller.scheduling import tickets
from wagtailtiller.scheduling import vm as vm_module
from wagtailtiller.scheduling import vm_health


@dataclasses.dataclass(slots=True)
class JobEntry:
    """A job with the data that its owner keeps about it.

    Attributes:
        job: Job that the entry is about.
        accepted_ms: Time of acceptance, on the owner's clock.
        inherited: Whether a previous owner may have started tasks of the job.
        stored_state: State of the job in the store; None if the job is not
            stored yet.
        final_ms: Time at which the job became final, on the owner's clock; 0 if
            it has not.
        cost: What a delay of the job costs; None unless its pool orders jobs
            by that.
        beyond_weight: Whether the job was one more per second than its
            organisation's weight.
        outcome_known: Whether it is recorded if the job was on time.
        read_ms: Time, on the owner's clock, at which the job was found in the
            store; it starts once the pool was certainly owned later than that.
            0 if the owner has accepted it, or found it at the takeover.
        skip_logged: Whether it is logged that the job cannot be planned.
    """

    job: job_module.Job
    accepted_ms: int
    inherited: bool
    stored_state: model.JobState | None
    final_ms: int = 0
    cost: cost_module.JobCost | None = None
    beyond_weight: bool = False
    outcome_known: bool = False
    read_ms: int = 0
    skip_logged: bool = False


class PoolState:
    """The jobs and VMs of one pool.

    Attributes:
        pool: Id of the pool.
        epoch: Epoch of the owner.
        clock: Clock that supplies the current time.
        owned_until_ms: Time, on the owner's clock, until which the pool has
            certainly had no later owner. What holds for a sole owner only is
            concluded up to then.
        max_lease_ms: Longest lease that a VM grants, whatever is asked for, on
            its own clock.
        queues: Queues by id, as declared or as last declared.
        organisations: Declared organisations by name.
        overload_control: Whether jobs are ordered and admitted by what a delay
            or a refusal costs their callers.
        entries: All known jobs.
        active: Jobs that are not final.
        changed: Jobs whose state differs from the stored state.
        urgent: Changed jobs that are to be stored without waiting for other
            changes.
        vms: All known VMs.
        unresolved: VMs that the previous owner listed and that may still run
            inherited tasks, with the time on the owner's clock at which their
            leases expire.
        spare_millicores: Processor capacity that the machine manager could add
            to the pool; None if it has not reported any.
        no_room_until_ms: Time, on the owner's clock, until which a long-running
            task on a VM that is being vacated counts as having no room
            elsewhere.
        held_job_bytes: Estimated memory of all known jobs.
        tickets: Tickets of the placement policy.
        health: Ends of runs by step and VM, from which faulty VMs are
            identified.
        run_times: Learned ratios of run times to callers' estimates.
    """

    def __init__(
        self, pool: ids.PoolId, epoch: int, clock: clock_module.Clock
    ) -> None:
        self.pool = pool
        self.epoch = epoch
        self.clock = clock
        self.owned_until_ms = 0
        self.max_lease_ms = 0
        self.queues: dict[ids.QueueId, catalogue.Queue] = {}
        self.organisations: dict[
            ids.OrganisationId, catalogue.Organisation
        ] = {}
        self.overload_control = False
        self.entries: dict[model.JobId, JobEntry] = {}
        self.active: dict[model.JobId, JobEntry] = {}
        self.changed: set[model.JobId] = set()
        self.urgent: set[model.JobId] = set()
        self.vms: dict[ids.VmId, vm_module.Vm] = {}
        self.unresolved: dict[ids.VmId, int] = {}
        self.spare_millicores: int | None = None
        self.no_room_until_ms = 0
        self.held_job_bytes = 0
        self.tickets = tickets.Tickets()
        self.health = vm_health.VmHealth()
        self.run_times = run_times.RunTimes(pool, clock)

    def longest_lease_end_ms(self) -> int:
        """Return until when a lease lasts at most that a VM has granted by now.

        A call that was meant for an earlier instance carries a time on the
        clock of that one. Another instance, whose clock begins anew, grants the
        longest lease for it.

        Returns:
            Time on the owner's clock.
        """
        lease_ms = math.ceil(self.max_lease_ms / vm_module.MIN_CLOCK_RATE)
        return self.clock.monotonic_ms() + lease_ms

    def mark_changed(self, entry: JobEntry) -> None:
        """Record that a job differs from its stored state."""
        self.changed.add(entry.job.id)
        if entry.job.is_final():
            self.mark_final(entry)

    def mark_final(self, entry: JobEntry) -> None:
        """Remove a job that has become final from the active jobs."""
        self.active.pop(entry.job.id, None)
        entry.final_ms = self.clock.monotonic_ms()
        events.emit(
            events.Event.JOB_ENDED,
            job=entry.job.id,
            state=entry.job.state.value,
            age_ms=entry.final_ms - entry.accepted_ms,
        )
        self.changed.add(entry.job.id)

    def record_crash(
        self, run: task_module.Run, instance: task_module.VmInstance
    ) -> None:
        """Record that a VM instance has crashed under a run's task.

        Args:
            run: Run on the instance.
            instance: Instance that has crashed.
        """
        task = run.task
        entry = self.entries.get(task.id.job)
        if entry is None:
            return
        is_certain = run.confirmed_ms > 0
        if not entry.job.record_crash(task, instance, is_certain):
            return
        if entry.job.is_final():
            events.emit(
                events.Event.TASK_GIVEN_UP,
                job=task.id.job,
                task=task.id[1:],
                pool=self.pool,
                crashes=[vm for vm, _ in sorted(task.crashed_on)],
            )
        self.urgent.add(task.id.job)
        self.mark_changed(entry)

    def discard_runs(
        self, vm: vm_module.Vm, reason: str, **inputs: int
    ) -> None:
        """Discard all runs of a VM.

        Args:
            vm: VM whose runs are discarded.
            reason: Reason, as logged.
            **inputs: What the decision is based on, as logged.
        """
        now_ms = self.clock.monotonic_ms()
        silent_ms = 0
        if vm.unresponsive_since_ms is not None:
            silent_ms = now_ms - vm.unresponsive_since_ms
        vm.set_orphans([], has_unknown=False)
        for run in list(vm.runs.values()):
            events.emit(
                events.Event.RUN_LOST,
                job=run.task.id.job,
                task=run.task.id[1:],
                run=run.number,
                vm=vm.report.vm,
                reason=reason,
                epoch=self.epoch,
                silent_ms=silent_ms,
                **inputs,
            )
            self.remove_run(vm, run)

    def remove_run(self, vm: vm_module.Vm, run: task_module.Run) -> None:
        """Remove a run from its VM and from its task."""
        vm.remove(run)
        if run.task.run is not run:
            return
        entry = self.entries.get(run.task.id.job)
        if entry is None:
            run.task.run = None
        else:
            entry.job.clear_run(run.task)
