"""Admission of jobs whose organisation has a limit."""

from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue
from wagtailtiller.scheduling import admission
from wagtailtiller.scheduling import allocation
from wagtailtiller.scheduling import allocations as allocations_module
from wagtailtiller.scheduling import organisation_usage
from wagtailtiller.scheduling import ranking
from wagtailtiller.scheduling import state

_MIN_RETRY_MS = 500
# A job that the limit never allows may be allowed after a change of the limit,
# which nobody can foresee.
_NEVER_RETRY_MS = 10_000


class LimitAdmission:
    """Refuses jobs that cannot end in time within their organisation's limit.

    Args:
        pool_state: State of the pool.
        allocations: What organisations with a limit may use in the pool.
    """

    def __init__(
        self,
        pool_state: state.PoolState,
        allocations: allocations_module.Allocations,
    ) -> None:
        self._state = pool_state
        self._allocations = allocations

    def check(
        self,
        spec: model.JobSpec,
        queue: catalogue.Queue,
        organisation: ids.OrganisationId,
        job: model.JobId,
    ) -> admission.Refusal | None:
        """Decide whether to refuse a job because of its organisation's limit.

        Long-running and repeated jobs are refused only if the limit does not
        allow one of their tasks or gangs at all.

        Args:
            spec: Definition of the job.
            queue: Queue that the job was submitted to.
            organisation: Organisation of the caller.
            job: Id of the job, for the log.

        Returns:
            The refusal, or None if the limit is no reason to refuse the job.
        """
        if organisation not in self._allocations.limits:
            return None
        limit = self._allocations.limit(organisation)
        retry_ms = self._retry_after_ms(spec, queue, organisation, limit)
        if retry_ms is None:
            return None
        self._log(job, queue, organisation, retry_ms)
        return admission.Refusal(admission.RefusalReason.OVER_LIMIT, retry_ms)

    def _retry_after_ms(
        self,
        spec: model.JobSpec,
        queue: catalogue.Queue,
        organisation: ids.OrganisationId,
        limit: allocation.Amounts,
    ) -> int | None:
        """Return when a job could be admitted; None if it is admitted now."""
        if any(_exceeds(step, limit) for step in spec.steps):
            return _NEVER_RETRY_MS
        if spec.repeat_count or any(step.long_running for step in spec.steps):
            return None
        waits_ms = self._waits_ms(spec, queue, organisation, limit)
        if waits_ms is None:
            return _NEVER_RETRY_MS
        wait_ms, own_ms = waits_ms
        path_ms = spec.critical_path_ms()
        bound_ms = ranking.ZERO_VALUE_FACTOR * ranking.target_duration_ms(
            path_ms, queue.terms
        )
        excess_ms = int(wait_ms + max(path_ms, own_ms) - bound_ms)
        if excess_ms <= 0:
            return None
        # The waiting work shrinks by one millisecond per millisecond.
        return max(_MIN_RETRY_MS, excess_ms)

    def _waits_ms(
        self,
        spec: model.JobSpec,
        queue: catalogue.Queue,
        organisation: ids.OrganisationId,
        limit: allocation.Amounts,
    ) -> tuple[float, float] | None:
        """Return how long the work ahead of a job and its own work take.

        Returns:
            Milliseconds of both at the pool's fair share; None if long-running
            tasks use the whole share.
        """
        share = self._allocations.fair_share(organisation)
        work = organisation_usage.remaining_work(
            self._state, organisation, queue.priority
        )
        own = allocation.total(
            allocation.NOTHING.plus(
                allocation.needed_by(step), step.task_count * step.estimate_ms
            )
            for step in spec.steps
        )
        lasting = organisation_usage.long_running_usage(
            self._state, organisation
        )
        wait_ms = own_ms = 0.0
        for number, amount in enumerate(limit):
            if not amount or not own[number]:
                continue
            left = share[number] - lasting[number]
            if left <= 0:
                return None
            wait_ms = max(wait_ms, work[number] / left)
            own_ms = max(own_ms, own[number] / left)
        return wait_ms, own_ms

    def _log(
        self,
        job: model.JobId,
        queue: catalogue.Queue,
        organisation: ids.OrganisationId,
        retry_after_ms: int,
    ) -> None:
        events.emit(
            events.Event.JOB_OVER_LIMIT,
            job=job,
            organisation=organisation,
            pool=self._state.pool,
            queue=queue.queue,
            limit=self._allocations.limit(organisation),
            share=self._allocations.fair_share(organisation),
            remaining_work=organisation_usage.remaining_work(
                self._state, organisation, queue.priority
            ),
            retry_after_ms=retry_after_ms,
        )


def _exceeds(step: model.Step, limit: allocation.Amounts) -> bool:
    count = step.task_count if step.gang else 1
    return any(
        amount and count * needed > amount
        for needed, amount in zip(
            allocation.needed_by(step), limit, strict=True
        )
    )
