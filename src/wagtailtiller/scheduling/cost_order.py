"""Order of an overloaded pool's waiting jobs, kept while it is valid.

The order is soft state: a new owner builds it from the jobs that it inherits.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import cost
from wagtailtiller.scheduling import fair_share
from wagtailtiller.scheduling import ranking
from wagtailtiller.scheduling import state
from wagtailtiller.scheduling import vm as vm_module

# The order is computed again after this time, and after so much for each job in
# it, so that a long queue does not take more processor time. The latest starts
# of jobs lie hundreds of milliseconds ahead.
_REFRESH_MS = 25
_REFRESH_MS_PER_JOB = 0.2
# So many jobs may start before the one that has waited longest, although the
# delay of it costs least. Each such job takes capacity from others, so that the
# limit costs little of it while capacity is insufficient.
OVERTAKING_LIMIT = 256
# A job that waited longer is logged when it starts.
_LOGGED_WAIT_MS = 500
# Bounds the number of metrics by priority.
_MAX_COUNTED_PRIORITY = 9

OrderFunction = Callable[
    [Iterable[ranking.Contender], int, ranking.TakeTag | None],
    dict[model.JobId, ranking.Placing],
]


class Rank(NamedTuple):
    """Rank of a job in an overloaded pool; lower ranks start first.

    Attributes:
        group: Group of the job.
        share_level: How far the organisation of the job is above its share in
            the group ``ON_TIME``; 0 in other groups, where the position
            contains it.
        key: Deadline of the job in the group ``ON_TIME``, on the owner's clock;
            its position in other groups.
    """

    group: ranking.Group
    share_level: int
    key: int


class CostOrder:
    """Orders the jobs of one pool by what their delay costs.

    Args:
        pool_state: State that the components of the pool share.

    Attributes:
        order_function: Orders the contenders; measurements replace it.
        estimate_error: How far run times are off their estimates.
        share: Shares of the organisations.
    """

    def __init__(self, pool_state: state.PoolState) -> None:
        self._state = pool_state
        self.order_function: OrderFunction = ranking.order
        self.estimate_error = cost.EstimateError()
        self.share = fair_share.FairShare()
        self._sizes: dict[ids.QueueId, cost.QueueSizes] = {}
        self._placings: dict[model.JobId, ranking.Placing] = {}
        self._ranks: dict[model.JobId, Rank] = {}
        self._organisations: object = None
        self._refreshed_ms: int | None = None
        self._capacity = vms.Resources()
        self._starts_since_overdue = 0

    @property
    def enabled(self) -> bool:
        """Whether the pool orders its jobs by what their delay costs."""
        return self._state.overload_control

    def capacity(self, now_ms: int) -> vms.Resources:
        """Return the capacity of the VMs that take new tasks now or soon."""
        usable = [
            vm for vm in self._state.vms.values() if is_usable(vm, now_ms)
        ]
        return total_capacity(usable or list(self._state.vms.values()))

    def sizes(self, queue: ids.QueueId) -> cost.QueueSizes:
        """Return the sizes of the jobs of a queue."""
        sizes = self._sizes.get(queue)
        if sizes is None:
            sizes = self._sizes[queue] = cost.QueueSizes()
        return sizes

    def add(self, entry: state.JobEntry, now_ms: int) -> None:
        """Record a job that was accepted or inherited.

        Args:
            entry: Entry of the job.
            now_ms: Current time, on the owner's clock.
        """
        if entry.job.long_running or entry.job.spec.repeat_count:
            return
        work = cost.spec_work(entry.job.spec)
        pool_ms = work.pool_ms(self.capacity(now_ms))
        entry.cost = self.sizes(entry.job.queue).add(work, pool_ms)

    def record_end(self, entry: state.JobEntry) -> None:
        """Learn from a job that has become final.

        Args:
            entry: Entry of the job.
        """
        if not self.enabled:
            return
        self.estimate_error.observe(entry.job)
        terms = entry.job.terms
        if entry.job.state is model.JobState.COMPLETED and terms is not None:
            target_ms = ranking.target_duration_ms(
                entry.job.critical_path_ms, terms
            )
            age_ms = entry.final_ms - entry.accepted_ms
            self._record_outcome(entry, age_ms <= target_ms)

    def record_start(
        self, entry: state.JobEntry, step: model.Step, now_ms: int
    ) -> None:
        """Record that a task of a job starts.

        Args:
            entry: Entry of the job, before it is marked as started.
            step: Step of the task.
            now_ms: Current time, on the owner's clock.
        """
        if not self.enabled:
            return
        if self.share.active and not step.long_running:
            task_ms = step.estimate_ms
            work = cost.Work(
                task_ms * step.cpu_millicores / 1_000, task_ms * step.memory_mb
            )
            work_ms = work.pool_ms(self._capacity)
            self.share.charge(entry.job.organisation, work_ms, now_ms)
        if not entry.job.started:
            self._starts_since_overdue += 1
            self._log_wait(entry, now_ms)

    def rank(self, entry: state.JobEntry, terms: catalogue.QueueTerms) -> Rank:
        """Return the rank of a job.

        A job that the latest order did not contain counts as on time until the
        next one.

        Args:
            entry: Entry of the job.
            terms: Terms of the job.
        """
        rank = self._ranks.get(entry.job.id)
        if rank is None:
            level = ranking.BEYOND_WEIGHT_LEVEL if entry.beyond_weight else 0
            return Rank(ranking.Group.ON_TIME, level, deadline_ms(entry, terms))
        return rank

    def refresh(self, now_ms: int) -> None:
        """Order the waiting jobs again if the order may have changed.

        Args:
            now_ms: Current time, on the owner's clock.
        """
        if self._organisations is not self._state.organisations:
            self._organisations = self._state.organisations
            self.share.set_organisations(self._state.organisations)
        if self._refreshed_ms is not None and now_ms - self._refreshed_ms < max(
            _REFRESH_MS, _REFRESH_MS_PER_JOB * len(self._ranks)
        ):
            return
        self._refreshed_ms = now_ms
        self._capacity = self.capacity(now_ms)
        wall_ms = self._state.clock.wall_ms()
        contenders = []
        for entry in self._state.active.values():
            terms = entry.job.terms
            if terms is not None and entry.job.startable_steps(wall_ms):
                contender = self._contender(entry, terms, now_ms)
                contenders.append(contender)
        take_tag = None
        if self.share.active:
            waiting = {contender.organisation for contender in contenders}
            take_tag = self.share.begin(waiting, now_ms).take
        self._placings = self.order_function(contenders, now_ms, take_tag)
        self._ranks = {
            contender.job: _rank(contender, self._placings[contender.job])
            for contender in contenders
        }

    def overdue(self, ranked: list[state.JobEntry]) -> int | None:
        """Return which job goes next although the delay of others costs more.

        Once ``OVERTAKING_LIMIT`` jobs have started since the last such job, it
        is the one that was accepted first of those that are not planned to be
        on time. So a step of a job that ``n`` older ones wait beside starts
        after at most this limit times ``n + 1`` other jobs, and those of one
        plan.

        Args:
            ranked: Jobs with tasks to start.

        Returns:
            Index of the job; None if none goes before its turn.
        """
        if not self.enabled or self._starts_since_overdue < OVERTAKING_LIMIT:
            return None
        waiting = [
            (entry.accepted_ms, entry.job.id, index)
            for index, entry in enumerate(ranked)
            if self._is_deferred(entry.job)
        ]
        return min(waiting)[2] if waiting else None

    def mark_overdue_started(self) -> None:
        """Record that the tasks of the latest such job have started."""
        self._starts_since_overdue = 0

    def _is_deferred(self, job: job_module.Job) -> bool:
        rank = self._ranks.get(job.id)
        return rank is not None and rank.group is not ranking.Group.ON_TIME

    def _contender(
        self,
        entry: state.JobEntry,
        terms: catalogue.QueueTerms,
        now_ms: int,
    ) -> ranking.Contender:
        job = entry.job
        rank = ranking.rank(job, entry.accepted_ms, terms, now_ms)
        if rank.lateness is not ranking.Lateness.ON_TIME:
            self._record_outcome(entry, on_time=False)
        size = entry.cost.size if entry.cost else cost.Size.ORDINARY
        return ranking.Contender(
            job.id,
            rank.lateness,
            terms.priority,
            entry.accepted_ms,
            rank.deadline_ms - job.remaining_critical_path_ms(),
            rank.deadline_ms,
            cost.remaining_work(job).pool_ms(self._capacity),
            self._loss(entry, rank, now_ms),
            job.organisation,
            entry.beyond_weight,
            size is not cost.Size.ORDINARY
            and self.sizes(job.queue).is_protected(size),
        )

    def _loss(
        self, entry: state.JobEntry, rank: ranking.Rank, now_ms: int
    ) -> float:
        value = entry.cost.value if entry.cost else 1.0
        match rank.lateness:
            case ranking.Lateness.ON_TIME:
                probability = self.estimate_error.on_time_probability(
                    rank.deadline_ms - now_ms,
                    entry.job.remaining_critical_path_ms(),
                )
                return value * (1 - cost.LATE_VALUE_SHARE) * probability
            case ranking.Lateness.LATE:
                return value * cost.LATE_VALUE_SHARE
            case ranking.Lateness.TOO_LATE:
                return 0.0

    def _record_outcome(self, entry: state.JobEntry, on_time: bool) -> None:
        if entry.cost is not None and not entry.outcome_known:
            entry.outcome_known = True
            sizes = self.sizes(entry.job.queue)
            sizes.record_outcome(entry.cost.size, on_time)

    def _log_wait(self, entry: state.JobEntry, now_ms: int) -> None:
        waited_ms = now_ms - entry.accepted_ms
        placing = self._placings.get(entry.job.id)
        terms = entry.job.terms
        if waited_ms < _LOGGED_WAIT_MS or placing is None or terms is None:
            return
        work = cost.remaining_work(entry.job)
        events.emit(
            events.Event.JOB_WAITED,
            job=entry.job.id,
            queue=entry.job.queue,
            group=placing.group.name.lower(),
            position=placing.position,
            took_ms=waited_ms,
            outcome=f"priority_{min(terms.priority, _MAX_COUNTED_PRIORITY)}",
            latest_start_in_ms=latest_start_ms(entry, terms) - now_ms,
            work_ms=int(work.pool_ms(self._capacity)),
            value=round(entry.cost.value, 2) if entry.cost else 1.0,
            organisation=entry.job.organisation,
            share_level=placing.share_level,
            epoch=self._state.epoch,
        )


def _rank(contender: ranking.Contender, placing: ranking.Placing) -> Rank:
    if placing.group is ranking.Group.ON_TIME:
        return Rank(placing.group, placing.share_level, contender.deadline_ms)
    return Rank(placing.group, 0, placing.position)


def is_usable(vm: vm_module.Vm, now_ms: int) -> bool:
    """Return whether a VM takes new tasks now, or as soon as it has joined."""
    joining = vm.status is vm_module.VmStatus.JOINING
    if joining:
        return vm.registered and not vm.draining
    return vm.open_for_starts(now_ms) and not vm.is_slow(now_ms)


def total_capacity(vm_list: Iterable[vm_module.Vm]) -> vms.Resources:
    """Return the capacity of VMs together."""
    cpu_millicores = 0
    memory_mb = 0
    for vm in vm_list:
        cpu_millicores += vm.report.capacity.cpu_millicores
        memory_mb += vm.report.capacity.memory_mb
    return vms.Resources(cpu_millicores, memory_mb)


def deadline_ms(entry: state.JobEntry, terms: catalogue.QueueTerms) -> int:
    """Return when a job's target duration ends, on the owner's clock.

    A long-running job has none, and should start when it is accepted.

    Args:
        entry: Entry of the job.
        terms: Terms of the job.
    """
    job = entry.job
    if job.long_running:
        return entry.accepted_ms
    return entry.accepted_ms + ranking.target_duration_ms(
        job.critical_path_ms, terms
    )


def latest_start_ms(entry: state.JobEntry, terms: catalogue.QueueTerms) -> int:
    """Return when a job's remaining critical path must start to be on time.

    Args:
        entry: Entry of the job.
        terms: Terms of the job.
    """
    if entry.job.long_running:
        return entry.accepted_ms
    path_ms = entry.job.remaining_critical_path_ms()
    return deadline_ms(entry, terms) - path_ms
