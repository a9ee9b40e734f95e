"""A pool with its jobs and VMs, as its owner schedules it.

The process that owns the pool reports events to it and executes the commands
that it returns. The module does no I/O, and the clock is an argument.
"""

from wagtailtiller import clock as clock_module
from wagtailtiller import ids
from wagtailtiller.scheduling import allocations
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import cost_order
from wagtailtiller.scheduling import jobs
from wagtailtiller.scheduling import outliers
from wagtailtiller.scheduling import probation
from wagtailtiller.scheduling import racks
from wagtailtiller.scheduling import reconciler
from wagtailtiller.scheduling import start_planner
from wagtailtiller.scheduling import state
from wagtailtiller.scheduling import stop_planner
from wagtailtiller.scheduling import stragglers
from wagtailtiller.scheduling import vm as vm_module
from wagtailtiller.scheduling import vm_tracker


class Pool(state.PoolState):
    """A pool under one owner.

    Args:
        pool: Id of the pool.
        epoch: Epoch of the owner.
        clock: Clock that supplies the current time.

    Attributes:
        allocations: What organisations with a limit may use in the pool.
        jobs: Jobs of the pool.
        cost_order: Order of the waiting jobs while capacity is insufficient.
        vm_tracker: Tracker of the VMs and their leases.
        run_reconciler: Applies the responses of VMs to the tracked runs.
        rack_monitor: Identifies failing racks.
    """

    def __init__(
        self, pool: ids.PoolId, epoch: int, clock: clock_module.Clock
    ) -> None:
        super().__init__(pool, epoch, clock)
        self._probation = probation.Probation(self)
        outlier_detector = outliers.OutlierDetector(self, self._probation)
        self.allocations = allocations.Allocations(self)
        self.cost_order = cost_order.CostOrder(self)
        self.jobs = jobs.Jobs(self, self.allocations, self.cost_order)
        self.vm_tracker = vm_tracker.VmTracker(self)
        self.run_reconciler = reconciler.RunReconciler(
            self, outlier_detector, self._probation
        )
        self.rack_monitor = racks.RackMonitor(self)
        self._straggler_detector = stragglers.StragglerDetector(
            self, self._probation
        )
        self._start_planner = start_planner.StartPlanner(
            self, self.allocations, self.cost_order
        )
        self._stop_planner = stop_planner.StopPlanner(self, outlier_detector)

    def mark_final(self, entry: state.JobEntry) -> None:
        """Remove a job that has become final from the active jobs."""
        super().mark_final(entry)
        self.cost_order.record_end(entry)

    def plan(
        self, members: set[ids.VmId] | None = None
    ) -> list[commands.Decision]:
        """Decide which runs to start and stop now.

        Args:
            members: VMs in the stored member list, on which a new owner would
                look for runs. Runs start only on these; None allows all VMs.

        Returns:
            Commands and policy queries to execute, stops first.
        """
        now_ms = self.clock.monotonic_ms()
        self.jobs.share_open_tasks()
        for vm in self.vms.values():
            # Their tasks start in this plan, or have waited too long.
            vm.release_reservations(now_ms)
        probes = self.rack_monitor.update(now_ms)
        self._probation.update(now_ms, self.rack_monitor.owner_is_late(now_ms))
        self._straggler_detector.update(now_ms)
        decisions: list[commands.Decision] = list(
            self._stop_planner.plan(now_ms)
        )
        decisions.extend(probes)
        open_vms = self._open_vms(members, now_ms)
        if open_vms:
            decisions.extend(self._start_planner.plan(open_vms, now_ms))
        return decisions

    def lost_millicores(self) -> int:
        """Return the processor capacity that usable VMs have lost for now.

        The machine manager knows the full capacity of machines only, so that
        the pool's demand must include the loss.
        """
        return sum(
            vm.lost_millicores
            for vm in self.vms.values()
            if vm.status is vm_module.VmStatus.USABLE
            and vm.registered
            and not vm.draining
        )

    def _open_vms(
        self, members: set[ids.VmId] | None, now_ms: int
    ) -> list[vm_module.Vm]:
        usable_vms = [
            vm
            for vm in self.vms.values()
            if vm.open_for_starts(now_ms)
            and (members is None or vm.report.vm in members)
        ]
        open_vms = [
            vm
            for vm in usable_vms
            if not self.health.ejected(vm.report.vm, now_ms)
            and not vm.is_held_back(now_ms)
        ]
        if not open_vms:
            # Ejected VMs are on probation, so that they get one task each.
            return usable_vms
        normal_vms = [vm for vm in open_vms if not vm.is_slow(now_ms)]
        if 2 * len(normal_vms) < len(open_vms):
            # Too many to do without them.
            return open_vms
        return normal_vms
