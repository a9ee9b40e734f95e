"""Whether a job is taken in, decided at once."""

from collections.abc import Iterable
import enum

import msgspec

from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue
from wagtailtiller.scheduling import ranking
from wagtailtiller.scheduling import vm as vm_module

# A job that fits nowhere may fit after the pool's VMs have changed.
_FITS_NOWHERE_RETRY_MS = 10_000
_MIN_RETRY_MS = 500
# How long it takes until a machine that is brought in takes work.
_MACHINE_START_MS = 2_500
# Until the keeper has said what could come: this many times what is there.
_ASSUMED_GROWTH_FACTOR = 3.0


class RefusalReason(enum.Enum):
    """Why a job is not taken in."""

    FITS_NOWHERE = "fits_nowhere"
    OVERLOADED = "overloaded"
    STORE_UNAVAILABLE = "store_unavailable"
    NO_CONFIGURATION = "no_configuration"
    NO_OWNER = "no_owner"


class Refusal(msgspec.Struct, frozen=True):
    """A job is not taken in; the caller may come back later."""

    reason: RefusalReason
    retry_after_ms: int


class Backlog(msgspec.Struct, frozen=True):
    """What stands before a new job.

    Attributes:
        core_ms: Processor work that waits or runs in the pool.
        spare_millicores: What could be brought into the pool; None: unknown.
    """

    core_ms: float
    spare_millicores: int | None = None


def check(
    spec: model.JobSpec,
    queue: catalogue.Queue,
    vms: Iterable[vm_module.Vm],
    backlog: Backlog,
) -> Refusal | None:
    """Refuse a job that cannot be served; None takes it in.

    Args:
        spec: The job.
        queue: Its queue.
        vms: The pool's VMs.
        backlog: What stands before it.
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
    limit_ms = ranking.ZERO_VALUE_FACTOR * ranking.objective_ms(path_ms, queue)
    excess_ms = wait_ms + path_ms - limit_ms
    if excess_ms <= 0:
        return None
    retry_ms = max(_MIN_RETRY_MS, int(excess_ms))
    return Refusal(RefusalReason.OVERLOADED, retry_ms)


def _wait_ms(backlog: Backlog, cores: float) -> float:
    """Return how long the backlog takes, with machines brought in or not."""
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
