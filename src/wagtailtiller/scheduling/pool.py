"""One pool: its jobs, its VMs, and what each piece of news means.

The owner's process feeds news in and carries out the commands that come out.
No I/O; the clock is passed in.
"""

from wagtailtiller import clock as clock_module
from wagtailtiller import ids
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import jobs
from wagtailtiller.scheduling import listings
from wagtailtiller.scheduling import outliers
from wagtailtiller.scheduling import start_planner
from wagtailtiller.scheduling import state
from wagtailtiller.scheduling import stopping
from wagtailtiller.scheduling import vm_tracker


class Pool(state.PoolState):
    """A pool under one owner.

    Args:
        pool: Its name.
        epoch: The owner's epoch.
        clock: The time.

    Attributes:
        jobs: Its jobs.
        vm_tracker: Its VMs.
        listings: Takes the answers of VMs in.
    """

    def __init__(
        self, pool: ids.PoolId, epoch: int, clock: clock_module.Clock
    ) -> None:
        super().__init__(pool, epoch, clock)
        outlier_detector = outliers.OutlierDetector(self)
        self.jobs = jobs.Jobs(self)
        self.vm_tracker = vm_tracker.VmTracker(self)
        self.listings = listings.Listings(self, outlier_detector)
        self._start_planner = start_planner.StartPlanner(self)
        self._stop_planner = stopping.Stopping(self, outlier_detector)

    def plan(
        self, members: set[ids.VmId] | None = None
    ) -> list[commands.Decision]:
        """Decide what to start and stop now.

        Args:
            members: VMs that a successor knows of, where starts may go; None
                for all.
        """
        now_ms = self.clock.monotonic_ms()
        decisions: list[commands.Decision] = list(
            self._stop_planner.plan(now_ms)
        )
        open_vms = [
            vm
            for vm in self.vms.values()
            if vm.open_for_starts(now_ms)
            and (members is None or vm.report.vm in members)
            and not self.health.ejected(vm.report.vm, now_ms)
        ]
        if open_vms:
            decisions.extend(self._start_planner.plan(open_vms, now_ms))
        return decisions
