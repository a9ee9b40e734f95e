"""Factories of organisations with limits, and pools that serve them."""

from support import clocks
from support import fake_vms
from support import jobs
from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.jobs import task as task_module
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import pool as pool_module
from wagtailtiller.scheduling import state

ORGANISATION = ids.OrganisationId("press")


def organisations(
    *names: str, cores: int = 0, memory_mb: int = 0
) -> dict[ids.OrganisationId, catalogue.Organisation]:
    """Return declared organisations that all have the same limit.

    Args:
        *names: Names of the organisations; ``ORGANISATION`` by default.
        cores: Limit of processor cores; 0 for none.
        memory_mb: Limit of memory in megabytes; 0 for none.
    """
    limit = vms.Resources(cores * 1_000, memory_mb)
    return {
        ids.OrganisationId(name): catalogue.Organisation(
            ids.OrganisationId(name), 1.0, limit
        )
        for name in names or (ORGANISATION,)
    }


class LimitedPool(pool_module.Pool):
    """Pool with one answering VM and no link to it.

    Args:
        name: Name of the pool.
        clock: Clock that supplies the current time.
        epoch: Epoch of the owner.
    """

    def __init__(
        self, name: str, clock: clocks.FakeClock, epoch: int = 1
    ) -> None:
        super().__init__(ids.PoolId(name), epoch, clock)
        self.jobs.set_queues([jobs.queue()])
        capacity = vms.Resources(1_000_000, 1_000_000)
        self.vm = self.vm_tracker.register(
            fake_vms.report(f"vm-{name}", capacity=capacity)
        )
        self._clock = clock

    def add_job(
        self,
        name: str,
        *steps: model.Step,
        organisation: str = ORGANISATION,
    ) -> state.JobEntry:
        """Add a stored job.

        Args:
            name: Id of the job.
            *steps: Steps of the job.
            organisation: Organisation of the job.
        """
        job = jobs.job(name, jobs.spec(*steps), self.epoch)
        job.organisation = ids.OrganisationId(organisation)
        return self.jobs.add(job, False, model.JobState.QUEUED)

    def list_runs(
        self,
        running: set[tuple[model.TaskId, int]] | None = None,
        ended: tuple[vms.ListedEnd, ...] = (),
    ) -> None:
        """Apply a listing of the VM.

        Args:
            running: Tasks and run numbers; None for those that are tracked.
            ended: Ended runs.
        """
        assert self.vm is not None
        self._clock.advance(1)
        now_ms = self._clock.now_ms
        self.vm_tracker.mark_responsive(self.vm, now_ms, now_ms)
        if running is None:
            running = {(r.task.id, r.number) for r in self.vm.runs.values()}
        listing = vms.Listing(
            now_ms,
            self.vm.report.born_ms,
            tuple(
                vms.ListedRun(task, number, "", 50, 0)
                for task, number in sorted(running)
            ),
            ended,
        )
        self.run_reconciler.apply_listing(
            self.vm, self.vm.token, now_ms, listing
        )

    def start_all(
        self, outcome: vms.CommandOutcome = vms.CommandOutcome.DONE
    ) -> list[task_module.Run]:
        """Plan, and apply one outcome to each start; return the runs."""
        assert self.vm is not None
        runs = [
            command.run
            for command in self.plan()
            if isinstance(command, commands.Start)
        ]
        for run in runs:
            self.run_reconciler.apply_start_outcome(self.vm, run, outcome)
        return runs
