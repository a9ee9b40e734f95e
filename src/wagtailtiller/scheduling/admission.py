"""Whether a job is taken in, decided at once."""

from collections.abc import Iterable
import enum

import msgspec

from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue
from wagtailtiller.scheduling import order
from wagtailtiller.scheduling import vm as vm_module

# A job that fits nowhere may fit after the pool's VMs have changed.
_NOWHERE_RETRY_MS = 10_000
_SHORTEST_RETRY_MS = 500


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


def judge(
    spec: model.JobSpec,
    queue: catalogue.Queue,
    members: Iterable[vm_module.Vm],
    waiting_core_ms: float,
) -> Refusal | None:
    """Refuse a job that cannot be served; None takes it in.

    Args:
        spec: The job.
        queue: Its queue.
        members: The pool's VMs.
        waiting_core_ms: Processor work that waits or runs in the pool.
    """
    present = list(members)
    if present and not _fits_somewhere(spec, present):
        return Refusal(RefusalReason.FITS_NOWHERE, _NOWHERE_RETRY_MS)
    if any(step.long_running for step in spec.steps) or spec.repeat_count:
        return None
    cores = sum(vm.report.capacity.cpu_millicores for vm in present) / 1_000
    if not cores:
        return None
    wait_ms = waiting_core_ms / cores
    chain_ms = spec.longest_chain_ms()
    limit_ms = order.WORTHLESS_AFTER * order.objective_ms(chain_ms, queue)
    excess_ms = wait_ms + chain_ms - limit_ms
    if excess_ms <= 0:
        return None
    retry_ms = max(_SHORTEST_RETRY_MS, int(excess_ms))
    return Refusal(RefusalReason.OVERLOADED, retry_ms)


def _fits_somewhere(spec: model.JobSpec, present: list[vm_module.Vm]) -> bool:
    return all(
        any(vm.could_hold(step) for vm in present) for step in spec.steps
    )
