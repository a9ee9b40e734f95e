"""Memory of refused callers who were told when to return.

It is lost at a takeover: the callers then count as new.
"""

from typing import NamedTuple

from wagtailtiller.jobs import model
from wagtailtiller.scheduling import cost

# At 100 refusals a second, callers are remembered for 10 s, which is longer
# than a refused job keeps its value.
_MAX_CALLERS = 1_024
# A caller who has not returned this long after the promised time is not
# expected any more. Times are sent in whole seconds.
_RETURN_GRACE_MS = 2_000


class _Refused(NamedTuple):
    returns_ms: int
    work: cost.Work


class RefusedCallers:
    """Callers of one pool who were refused, by job id."""

    def __init__(self) -> None:
        self._by_job: dict[model.JobId, _Refused] = {}

    def is_known(self, job: model.JobId) -> bool:
        """Return whether the caller of a job was refused before."""
        return job in self._by_job

    def add(
        self,
        job: model.JobId,
        now_ms: int,
        retry_after_ms: int,
        work: cost.Work,
    ) -> None:
        """Record a refusal.

        Args:
            job: Id of the refused job.
            now_ms: Current time, on the owner's clock.
            retry_after_ms: Time after which the caller may return.
            work: Work of the job.
        """
        self._by_job.pop(job, None)
        self._by_job[job] = _Refused(now_ms + retry_after_ms, work)
        if len(self._by_job) > _MAX_CALLERS:
            del self._by_job[next(iter(self._by_job))]

    def remove(self, job: model.JobId) -> None:
        """Forget a caller whose job was accepted."""
        self._by_job.pop(job, None)

    def expected_work(self, now_ms: int) -> cost.Work:
        """Return the work of the callers who are expected to return.

        Args:
            now_ms: Current time, on the owner's clock.
        """
        for job, refused in list(self._by_job.items()):
            if now_ms > refused.returns_ms + _RETURN_GRACE_MS:
                del self._by_job[job]
        return cost.Work(
            sum(refused.work.core_ms for refused in self._by_job.values()),
            sum(refused.work.memory_ms for refused in self._by_job.values()),
        )
