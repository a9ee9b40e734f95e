"""Admission of jobs to a pool that may be overloaded."""

from collections.abc import Iterable
import dataclasses

from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.jobs import task as task_module
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import admission
from wagtailtiller.scheduling import cost
from wagtailtiller.scheduling import cost_order as cost_order_module
from wagtailtiller.scheduling import fair_share
from wagtailtiller.scheduling import ranking
from wagtailtiller.scheduling import refused_callers
from wagtailtiller.scheduling import state
from wagtailtiller.scheduling import vm as vm_module

# The work of a pool changes by little in this time, compared with the seconds
# in which jobs have value.
_BACKLOG_VALID_MS = 50


@dataclasses.dataclass
class _Backlog:
    """Work of a pool at one time.

    Attributes:
        at_ms: Time of the computation, on the owner's clock.
        running: Work that is left of the running tasks.
        waiting: Work of the waiting tasks of jobs that have value, by the
            priority of their queue.
        long_running: Capacity that long-running tasks use.
    """

    at_ms: int
    running: cost.Work
    waiting: dict[int, cost.Work]
    long_running: vms.Resources

    def ahead(self, priority: int) -> cost.Work:
        """Return the work ahead of a new job of a priority.

        Jobs of a lower priority give way to it, and jobs without value too.
        """
        total = self.running
        for other, work in self.waiting.items():
            if other <= priority:
                total = total.plus(work)
        return total


class CostAdmission:
    """Admits jobs to one pool by when they would end.

    Args:
        pool_state: State that the components of the pool share.
        cost_order: Order of the waiting jobs.
    """

    def __init__(
        self,
        pool_state: state.PoolState,
        cost_order: cost_order_module.CostOrder,
    ) -> None:
        self._state = pool_state
        self._cost_order = cost_order
        self._refused = refused_callers.RefusedCallers()
        self._rates = fair_share.JobRates()
        self._backlog: _Backlog | None = None

    def check(
        self,
        spec: model.JobSpec,
        queue: catalogue.Queue,
        job_id: model.JobId,
        organisation: ids.OrganisationId,
    ) -> admission.Refusal | None:
        """Return the refusal of a job, or None if the job is admitted.

        Args:
            spec: Definition of the job.
            queue: Queue that the job was submitted to.
            job_id: Id of the job.
            organisation: Organisation that submitted the job.
        """
        now_ms = self._state.clock.monotonic_ms()
        vm_list = list(self._state.vms.values())
        unfitting = admission.check_fit(spec, vm_list)
        if unfitting is not None:
            return unfitting
        if not vm_list or admission.is_exempt(spec):
            return None
        estimate = self._estimate(spec, queue, job_id, organisation, now_ms)
        open_vms = [
            vm
            for vm in vm_list
            if vm.open_for_starts(now_ms)
            and not self._state.health.ejected(vm.report.vm, now_ms)
        ]
        refusal = admission.check_cost(spec, estimate, open_vms, job_id)
        if refusal is not None:
            work = cost.spec_work(spec)
            self._refused.add(job_id, now_ms, refusal.retry_after_ms, work)
            if not estimate.returning:
                sizes = self._cost_order.sizes(queue.queue)
                size = sizes.size(estimate.work_ms)
                sizes.record_outcome(size, on_time=False)
        return refusal

    def add(self, entry: state.JobEntry) -> None:
        """Record a job that was accepted or inherited.

        Args:
            entry: Entry of the job.
        """
        now_ms = self._state.clock.monotonic_ms()
        self._cost_order.add(entry, now_ms)
        self._refused.remove(entry.job.id)
        terms = entry.job.terms
        if self._backlog is not None and terms is not None:
            waiting = self._backlog.waiting
            waiting[terms.priority] = waiting.get(
                terms.priority, cost.NO_WORK
            ).plus(cost.remaining_work(entry.job))
        organisation = self._state.organisations.get(entry.job.organisation)
        if organisation is not None and not entry.inherited:
            entry.beyond_weight = not self._rates.take(organisation, now_ms)

    def _estimate(
        self,
        spec: model.JobSpec,
        queue: catalogue.Queue,
        job_id: model.JobId,
        organisation: ids.OrganisationId,
        now_ms: int,
    ) -> admission.Estimate:
        backlog = self._current_backlog(now_ms)
        capacity = _without(
            self._cost_order.capacity(now_ms), backlog.long_running
        )
        path_ms = spec.critical_path_ms()
        returning = self._refused.is_known(job_id)
        expected = self._refused.expected_work(now_ms)
        declared = self._state.organisations.get(organisation)
        return admission.Estimate(
            admission.wait_ms(
                backlog.ahead(queue.priority),
                capacity,
                self._state.spare_millicores,
                _memory_per_core_mb(self._state.vms.values()),
            ),
            path_ms,
            ranking.target_duration_ms(path_ms, queue.terms),
            expected.pool_ms(capacity),
            cost.spec_work(spec).pool_ms(capacity),
            returning,
            self._rates.wait_ms(declared, now_ms) if declared else 0.0,
        )

    def _current_backlog(self, now_ms: int) -> _Backlog:
        if (
            self._backlog is None
            or now_ms - self._backlog.at_ms >= _BACKLOG_VALID_MS
        ):
            self._backlog = self._compute_backlog(now_ms)
        return self._backlog

    def _compute_backlog(self, now_ms: int) -> _Backlog:
        waiting: dict[int, cost.Work] = {}
        priorities: dict[model.JobId, int] = {}
        for entry in self._state.active.values():
            terms = entry.job.terms
            if terms is None or self._is_too_late(entry, terms, now_ms):
                continue
            if entry.job.long_running or entry.job.spec.repeat_count:
                # Their work is not known; their running tasks count below.
                continue
            priority = terms.priority
            priorities[entry.job.id] = priority
            waiting[priority] = waiting.get(priority, cost.NO_WORK).plus(
                cost.remaining_work(entry.job)
            )
        running = cost.NO_WORK
        long_running = vms.Resources()
        for vm in self._state.vms.values():
            for run in vm.runs.values():
                step = run.task.step
                if step.long_running:
                    long_running = _with(long_running, step)
                    continue
                work, left = _run_work(run, now_ms)
                running = running.plus(left)
                priority_of = priorities.get(run.task.id.job)
                if priority_of is not None and not run.task.done:
                    waiting[priority_of] = waiting[priority_of].plus(
                        cost.Work(-work.core_ms, -work.memory_ms)
                    )
        return _Backlog(now_ms, running, waiting, long_running)

    def _is_too_late(
        self, entry: state.JobEntry, terms: catalogue.QueueTerms, now_ms: int
    ) -> bool:
        rank = ranking.rank(entry.job, entry.accepted_ms, terms, now_ms)
        return rank.lateness is ranking.Lateness.TOO_LATE


def _run_work(run: task_module.Run, now_ms: int) -> tuple[cost.Work, cost.Work]:
    """Return the work of a run's whole task, and what is left of it."""
    step = run.task.step
    left_ms = max(0, step.estimate_ms - (now_ms - run.started_ms))
    cores = step.cpu_millicores / 1_000
    whole = cost.Work(
        cores * step.estimate_ms, float(step.memory_mb * step.estimate_ms)
    )
    return whole, cost.Work(cores * left_ms, float(step.memory_mb * left_ms))


def _with(resources: vms.Resources, step: model.Step) -> vms.Resources:
    cpu = 0 if step.filler else step.cpu_millicores
    return vms.Resources(
        resources.cpu_millicores + cpu, resources.memory_mb + step.memory_mb
    )


def _without(capacity: vms.Resources, used: vms.Resources) -> vms.Resources:
    return vms.Resources(
        max(0, capacity.cpu_millicores - used.cpu_millicores),
        max(0, capacity.memory_mb - used.memory_mb),
    )


def _memory_per_core_mb(vm_list: Iterable[vm_module.Vm]) -> float:
    # The largest of the VMs' ratios, so that a further VM never lowers it.
    return max(
        (
            1_000 * capacity.memory_mb / capacity.cpu_millicores
            for capacity in (vm.report.capacity for vm in vm_list)
            if capacity.cpu_millicores
        ),
        default=0.0,
    )
