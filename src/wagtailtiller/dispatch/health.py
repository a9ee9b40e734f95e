"""Health of VMs, determined separately from the health of queues.

A VM is ejected if it fails several requests in a row and the same queues
succeed on other VMs. A queue that fails on all VMs causes no ejection.
"""

import dataclasses

from wagtailtiller import ids
from wagtailtiller.dispatch import messages

_EJECT_AFTER_FAILURES = 3
_FIRST_EJECTION_MS = 2_000
_MAX_EJECTION_MS = 60_000
_RATE_SMOOTHING = 0.1
_FAILING_QUEUE_RATE = 0.5

_FAILURE_OUTCOMES = (
    messages.RunOutcome.SERVER_ERROR,
    messages.RunOutcome.BROKEN,
    messages.RunOutcome.TIMED_OUT,
    messages.RunOutcome.NOT_RUN,
)

_NEUTRAL_OUTCOMES = (messages.RunOutcome.UNUSED, messages.RunOutcome.BUSY)


@dataclasses.dataclass
class _VmHealth:
    consecutive_failures: int = 0
    failed_queues: set[ids.QueueId] = dataclasses.field(default_factory=set)
    ejected_until_ms: int = 0
    ejection_ms: int = _FIRST_EJECTION_MS


@dataclasses.dataclass
class _QueueHealth:
    failure_rate: dict[ids.VmId, float] = dataclasses.field(
        default_factory=dict
    )


class Health:
    """Health of the VMs of a pool, learned from the outcomes of runs."""

    def __init__(self) -> None:
        self._vms: dict[ids.VmId, _VmHealth] = {}
        self._queues: dict[ids.QueueId, _QueueHealth] = {}

    def observe(
        self,
        vm: ids.VmId,
        queue: ids.QueueId,
        outcome: messages.RunOutcome,
    ) -> None:
        """Record the outcome of a granted request."""
        if outcome in _NEUTRAL_OUTCOMES:
            return
        failed = outcome in _FAILURE_OUTCOMES
        rates = self._queues.setdefault(queue, _QueueHealth()).failure_rate
        rate = rates.get(vm, float(failed))
        rates[vm] = rate + _RATE_SMOOTHING * (failed - rate)
        health = self._vms.setdefault(vm, _VmHealth())
        if failed:
            health.consecutive_failures += 1
            health.failed_queues.add(queue)
            return
        self._vms[vm] = _VmHealth()

    def ejected(self, vm: ids.VmId, now_ms: int) -> bool:
        """Return whether a VM currently gets no requests."""
        health = self._vms.get(vm)
        return health is not None and health.ejected_until_ms > now_ms

    def suspect(self, vm: ids.VmId) -> bool:
        """Return whether the latest request on a VM failed.

        Such a VM gets one request at a time.
        """
        health = self._vms.get(vm)
        return health is not None and health.consecutive_failures > 0

    def eject_if_due(
        self,
        vm: ids.VmId,
        others: list[ids.VmId],
        budget_left: int,
        now_ms: int,
    ) -> bool:
        """Eject a VM if it is at fault and the budget permits it.

        Args:
            vm: VM on which a request just failed.
            others: Other VMs of the pool, for comparison.
            budget_left: Number of further VMs that the availability budget
                lets go out of service.
            now_ms: Current time of the caller's clock.

        Returns:
            Whether the VM was ejected.
        """
        health = self._vms.get(vm)
        if health is None or budget_left <= 0 or self.ejected(vm, now_ms):
            return False
        if health.consecutive_failures < _EJECT_AFTER_FAILURES:
            return False
        if not any(
            self._succeeds_elsewhere(queue, others)
            for queue in health.failed_queues
        ):
            return False
        health.ejected_until_ms = now_ms + health.ejection_ms
        health.ejection_ms = min(2 * health.ejection_ms, _MAX_EJECTION_MS)
        return True

    def ejected_count(self, vms: list[ids.VmId], now_ms: int) -> int:
        """Return how many of the given VMs are ejected."""
        return sum(self.ejected(vm, now_ms) for vm in vms)

    def remove_queue(self, queue: ids.QueueId) -> None:
        """Remove the statistics of a queue that no longer exists."""
        self._queues.pop(queue, None)

    def remove_vm(self, vm: ids.VmId) -> None:
        """Remove the statistics of a VM, after a restart or a move."""
        self._vms.pop(vm, None)

    def _succeeds_elsewhere(
        self, queue: ids.QueueId, others: list[ids.VmId]
    ) -> bool:
        rates = self._queues.get(queue, _QueueHealth()).failure_rate
        other_rates = [rates[vm] for vm in others if vm in rates]
        return (
            bool(other_rates)
            and sum(other_rates) / len(other_rates) < _FAILING_QUEUE_RATE
        )
