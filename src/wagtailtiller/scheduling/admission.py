"""Job admission, decided when the job is submitted."""

from collections.abc import Iterable
import enum

import msgspec

from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue
from wagtailtiller.scheduling import ranking
from wagtailtiller.scheduling import vm as vm_module

# A job that fits on no VM may fit after the VMs of the pool have changed.
_FITS_NOWHERE_RETRY_MS = 10_000
_MIN_RETRY_MS = 500
# Time from the request to move a machine to the pool until its VM accepts
# tasks.
_MACHINE_START_MS = 2_500
# Multiple of the pool's capacity that is assumed to be available in addition
# until the machine manager has reported the spare capacity.
_ASSUMED_GROWTH_FACTOR = 3.0


class RefusalReason(enum.Enum):
    """Why a job is refused."""

    FITS_NOWHERE = "fits_nowhere"
    OVERLOADED = "overloaded"
    OVER_LIMIT = "over_limit"
    STORE_UNAVAILABLE = "store_unavailable"
    NO_CONFIGURATION = "no_configuration"
    NO_OWNER = "no_owner"


class Refusal(msgspec.Struct, frozen=True):
    """Refusal of a job that the caller may submit again later.

    Attributes:
        reason: Reason for the refusal.
        retry_after_ms: Time after which the caller may try again.
    """

    reason: RefusalReason
    retry_after_ms: int


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
    vms: Iterable[vm_module.Vm],
    backlog: Backlog,
) -> Refusal | None:
    """Decide whether to refuse a job.

    A job is refused if one of its steps fits on no VM, or if the job is
    estimated to end too late to have any value. Long-running and repeated jobs
    are not refused because of the backlog.

    Args:
        spec: Definition of the job.
        queue: Queue that the job was submitted to.
        vms: VMs of the pool.
        backlog: Work ahead of the job.

    Returns:
        The refusal, or None if the job is admitted.
    """
    vm_list = list(vms)
    if vm_list and not _fits_somewhere(spec, vm_list):
        return Refusal(RefusalReason.FITS_NOWHERE, _FITS_NOWHERE_RETRY_MS)
    if any(step.long_running for step in spec.steps) or spec.repeat_count:
        return None
    cores = sum(vm.report.capacity.cpu_millicores for vm in vm_list) / 1_000
    if not cores:
        return None
    wait_ms = _wait_ms(backlog, cores)
    path_ms = spec.critical_path_ms()
    limit_ms = ranking.ZERO_VALUE_FACTOR * ranking.target_duration_ms(
        path_ms, queue
    )
    excess_ms = wait_ms + path_ms - limit_ms
    if excess_ms <= 0:
        return None
    retry_ms = max(_MIN_RETRY_MS, int(excess_ms))
    return Refusal(RefusalReason.OVERLOADED, retry_ms)


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
        any(vm.fits_when_empty(step) for vm in vm_list) for step in spec.steps
    )
