"""Job admission, decided when the job is submitted."""

from collections.abc import Iterable
import enum
import zlib

import msgspec

from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import cost
from wagtailtiller.scheduling import ranking
from wagtailtiller.scheduling import vm as vm_module

# A job that fits on no VM may fit after the VMs of the pool have changed.
_FITS_NOWHERE_RETRY_MS = 10_000
_MIN_RETRY_MS = 500
# Jobs are kept for some time after their end.
_NO_MEMORY_RETRY_MS = 5_000
# The caller has cancelled the job, so that a retry is of no use.
WITHDRAWN_RETRY_MS = 30_000
# Time from the request to move a machine to the pool until its VM accepts
# tasks.
_MACHINE_START_MS = 2_500
# Multiple of the pool's capacity that is assumed to be available in addition
# until the machine manager has reported the spare capacity.
_ASSUMED_GROWTH_FACTOR = 3.0
# Largest part of the time in which a job has value that is kept for callers who
# were refused before. It bounds how many more callers are refused for them.
_MAX_KEPT_SHARE = 0.25
# A pool without capacity has no time at which it will have room.
_MAX_RETRY_MS = 30_000
# Returns of refused callers are spread over at least this time.
_MIN_SPREAD_MS = 500


class RefusalReason(enum.Enum):
    """Why a job is refused."""

    FITS_NOWHERE = "fits_nowhere"
    OVERLOADED = "overloaded"
    OVER_LIMIT = "over_limit"
    STORE_UNAVAILABLE = "store_unavailable"
    NO_CONFIGURATION = "no_configuration"
    NO_OWNER = "no_owner"
    OVER_SHARE = "over_share"
    CUT_OFF = "cut_off"
    NAME_TOO_LONG = "name_too_long"
    NO_MEMORY = "no_memory"
    WITHDRAWN = "withdrawn"


class Estimate(msgspec.Struct, frozen=True):
    """Inputs that decide whether a job is admitted to an overloaded pool.

    Attributes:
        wait_ms: Time until the work ahead of the job has been started, with the
            machines that can still be added.
        path_ms: Duration of the critical path of the job.
        target_ms: Target duration of the job.
        promised_ms: Time of the pool that is kept for callers who were refused
            before and are expected to return.
        work_ms: Time for which the job occupies the whole pool.
        returning: Whether the caller was refused before.
        share_wait_ms: Time until the organisation of the job has another job
            within its weight; 0 if it has one now.
    """

    wait_ms: float
    path_ms: int
    target_ms: int
    promised_ms: float = 0.0
    work_ms: float = 0.0
    returning: bool = False
    share_wait_ms: float = 0.0

    @property
    def is_full(self) -> bool:
        """Whether the pool is too full for the job to be on time."""
        return self.wait_ms + self.path_ms > self.target_ms

    @property
    def excess_ms(self) -> float:
        """Time by which the job would end too late to have any value."""
        limit_ms = ranking.ZERO_VALUE_FACTOR * self.target_ms
        kept_ms = 0.0
        if not self.returning:
            kept_ms = min(self.promised_ms, _MAX_KEPT_SHARE * limit_ms)
        return self.wait_ms + self.path_ms + kept_ms - limit_ms


class Refusal(msgspec.Struct, frozen=True):
    """Refusal of a job that the caller may submit again later.

    Attributes:
        reason: Reason for the refusal.
        retry_after_ms: Time after which the caller may try again.
        estimate: Inputs of the decision; None where they have not been
            computed.
    """

    reason: RefusalReason
    retry_after_ms: int
    estimate: Estimate | None = None

    def inputs(self) -> dict[str, int | bool]:
        """Return the inputs of the decision, as fields of a log entry."""
        if self.estimate is None:
            return {}
        return {
            "wait_ms": int(self.estimate.wait_ms),
            "path_ms": self.estimate.path_ms,
            "target_ms": self.estimate.target_ms,
            "work_ms": int(self.estimate.work_ms),
            "promised_ms": int(self.estimate.promised_ms),
            "returning": self.estimate.returning,
            "share_wait_ms": int(self.estimate.share_wait_ms),
        }


NO_MEMORY = Refusal(RefusalReason.NO_MEMORY, _NO_MEMORY_RETRY_MS)


class Backlog(msgspec.Struct, frozen=True):
    """Work ahead of a new job, and the capacity that could be added for it.

    Attributes:
        core_ms: Estimated processor work that waits or runs in the pool, in
            core milliseconds.
        spare_millicores: Processor capacity that could be added to the pool;
            None if it is unknown.
    """

    core_ms: float
    spare_millicores: int | None = None


def check(
    spec: model.JobSpec,
    queue: catalogue.Queue,
    pool_vms: Iterable[vm_module.Vm],
    backlog: Backlog,
) -> Refusal | None:
    """Decide whether to refuse a job.

    A job is refused if one of its steps fits on no VM, or if the job is
    estimated to end too late to have any value. Long-running and repeated jobs
    are not refused because of the backlog.

    Args:
        spec: Definition of the job.
        queue: Queue that the job was submitted to.
        pool_vms: VMs of the pool.
        backlog: Work ahead of the job.

    Returns:
        The refusal, or None if the job is admitted.
    """
    vm_list = list(pool_vms)
    unfitting = check_fit(spec, vm_list)
    if unfitting is not None:
        return unfitting
    if is_exempt(spec):
        return None
    cores = sum(vm.report.capacity.cpu_millicores for vm in vm_list) / 1_000
    if not cores:
        return None
    wait_ms = _wait_ms(backlog, cores)
    path_ms = spec.critical_path_ms()
    limit_ms = ranking.ZERO_VALUE_FACTOR * ranking.target_duration_ms(
        path_ms, queue.terms
    )
    excess_ms = wait_ms + path_ms - limit_ms
    if excess_ms <= 0:
        return None
    retry_ms = max(_MIN_RETRY_MS, int(excess_ms))
    return Refusal(RefusalReason.OVERLOADED, retry_ms)


def check_fit(
    spec: model.JobSpec, vm_list: list[vm_module.Vm]
) -> Refusal | None:
    """Refuse a job if one of its steps fits on no VM.

    VMs count with their full capacity. While one has less, which lasts some
    seconds, a job that waits starts as soon as it has grown, and its demand
    brings another machine. A refused caller would return later than that.

    Args:
        spec: Definition of the job.
        vm_list: VMs of the pool; a job is not refused while there are none.
    """
    if vm_list and not _fits_somewhere(spec, vm_list):
        return Refusal(RefusalReason.FITS_NOWHERE, _FITS_NOWHERE_RETRY_MS)
    return None


def is_exempt(spec: model.JobSpec) -> bool:
    """Return whether a job is admitted regardless of the backlog.

    Long-running and repeated jobs are.
    """
    return any(s.long_running for s in spec.steps) or bool(spec.repeat_count)


def check_cost(
    spec: model.JobSpec,
    estimate: Estimate,
    vm_list: list[vm_module.Vm],
    job_id: model.JobId,
) -> Refusal | None:
    """Decide whether an overloaded pool refuses a job.

    A job is refused if it is estimated to end too late to have any value, or if
    the pool is full and the job is beyond the weight of its organisation. It is
    never refused while the pool has room for it now.

    Args:
        spec: Definition of the job.
        estimate: When the job would end.
        vm_list: VMs that accept new tasks.
        job_id: Id of the job, by which the returns of callers are spread.

    Returns:
        The refusal, or None if the job is admitted.
    """
    over_share = estimate.is_full and estimate.share_wait_ms > 0
    if estimate.excess_ms <= 0 and not over_share:
        return None
    if has_room(spec, vm_list):
        return None
    reason = RefusalReason.OVERLOADED
    ready_ms = estimate.excess_ms
    if over_share:
        reason = RefusalReason.OVER_SHARE
        full_ms = estimate.wait_ms + estimate.path_ms - estimate.target_ms
        ready_ms = max(ready_ms, min(estimate.share_wait_ms, full_ms))
    # The refused callers need the pool for as long as their work takes.
    spread_ms = max(_MIN_SPREAD_MS, estimate.promised_ms + estimate.work_ms)
    retry_ms = max(_MIN_RETRY_MS, ready_ms) + spread_ms * _fraction(job_id)
    return Refusal(reason, int(min(_MAX_RETRY_MS, retry_ms)), estimate)


def wait_ms(
    ahead: cost.Work,
    capacity: vms.Resources,
    spare_millicores: int | None,
    memory_per_core_mb: float,
) -> float:
    """Return how long a pool needs until the work ahead of a job has started.

    Args:
        ahead: Work ahead of the job.
        capacity: Capacity of the pool.
        spare_millicores: Processor capacity that could be added to the pool;
            None if it is unknown.
        memory_per_core_mb: Memory by core of the machines that could be added.
    """
    if spare_millicores is None:
        spare_millicores = int(_ASSUMED_GROWTH_FACTOR * capacity.cpu_millicores)
    unchanged_ms = ahead.pool_ms(capacity)
    grown = vms.Resources(
        capacity.cpu_millicores + spare_millicores,
        capacity.memory_mb + int(spare_millicores / 1_000 * memory_per_core_mb),
    )
    remaining = cost.Work(
        max(
            0.0,
            ahead.core_ms - capacity.cpu_millicores / 1_000 * _MACHINE_START_MS,
        ),
        max(0.0, ahead.memory_ms - capacity.memory_mb * _MACHINE_START_MS),
    )
    return min(unchanged_ms, _MACHINE_START_MS + remaining.pool_ms(grown))


def has_room(spec: model.JobSpec, vm_list: list[vm_module.Vm]) -> bool:
    """Return whether the first tasks of a job all fit on VMs now.

    Steps that start together count as one with the largest needs of each.
    Otherwise more free capacity could mean that tasks of one step take the room
    of another, and that the job is refused.

    Args:
        spec: Definition of the job.
        vm_list: VMs that accept new tasks.
    """
    first = [step for step in spec.steps if not step.after]
    labels = {step.required_label for step in first} - {""}
    limits = [step.max_per_vm for step in first if step.max_per_vm]
    if len(labels) > 1:
        return False
    largest = model.Step(
        sum(step.task_count for step in first),
        cpu_millicores=max(
            0 if step.filler else step.cpu_millicores for step in first
        ),
        memory_mb=max(step.memory_mb for step in first),
        gpu_count=max(step.gpu_count for step in first),
        required_label="".join(labels),
        max_per_vm=min(limits, default=0),
    )
    missing = largest.task_count
    for vm in vm_list:
        missing -= vm.room(largest, missing)
        if missing <= 0:
            return True
    return False


def _fraction(job_id: model.JobId) -> float:
    """Return a number from 0 to 1 that differs by job."""
    return zlib.crc32(job_id.encode()) / 2**32


def _wait_ms(backlog: Backlog, cores: float) -> float:
    """Return the shorter of the wait times with and without new machines."""
    spare = backlog.spare_millicores
    spare_cores = (
        _ASSUMED_GROWTH_FACTOR * cores if spare is None else spare / 1_000
    )
    unchanged_ms = backlog.core_ms / cores
    done_core_ms = cores * _MACHINE_START_MS
    remaining_core_ms = max(0.0, backlog.core_ms - done_core_ms)
    grown_ms = _MACHINE_START_MS + remaining_core_ms / (cores + spare_cores)
    return min(unchanged_ms, grown_ms)


def _fits_somewhere(spec: model.JobSpec, vm_list: list[vm_module.Vm]) -> bool:
    return all(
        any(vm.fits_at_full_capacity(step) for vm in vm_list)
        for step in spec.steps
    )
