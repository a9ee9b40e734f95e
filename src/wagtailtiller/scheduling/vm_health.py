"""Health of VMs, determined separately from the health of jobs.

A VM is faulty if it fails runs of steps that succeed on other VMs. A step that
fails on all VMs says nothing about them.
"""

import dataclasses
import enum

from wagtailtiller import ids
from wagtailtiller.jobs import model

_EJECT_AFTER_BURSTS = 3
_DOUBTFUL_AFTER_BURSTS = 2
# A faulty VM fails whatever it starts, a healthy one fails two jobs at once
# only by chance.
_EJECT_AFTER_JOBS_IN_BURST = 2
_FIRST_EJECTION_MS = 2_000
_MAX_EJECTION_MS = 60_000
_FAILING_STEP_SHARE = 0.5
# At the highest planned rates, this many steps begin in about 10 s. Outcomes
# that are older are not compared any more.
_MAX_STEPS = 512

StepId = tuple[model.JobId, int, int]


class EjectionCause(enum.Enum):
    """Why a VM is ejected.

    ``CONSECUTIVE`` means several bursts of failures in a row, ``BURST`` failed
    runs of several jobs at once, and ``PROBE`` a failure on probation.
    """

    CONSECUTIVE = "consecutive"
    BURST = "burst"
    PROBE = "probe"


@dataclasses.dataclass(slots=True)
class _VmRecord:
    """Failures of a VM since its last success.

    Attributes:
        good_started_ms: Latest start of a run that has succeeded.
        first_started_ms: Earliest start of the failed runs.
        last_started_ms: Latest start of the failed runs.
        burst_count: Number of bursts. Runs that fail belong to one burst if
            they were started before its first failure.
        burst_began_ms: Time of the first failure of the latest burst.
        burst_steps: Steps of the failed runs of the latest burst.
        failed_steps: Steps of all failed runs.
        ejected_ms: Time of the last ejection; ends of runs that were started
            before it do not count.
        ejected_until_ms: Time until which the VM is ejected.
        ejection_ms: Duration of the next ejection.
    """

    good_started_ms: int = -1
    first_started_ms: int = 0
    last_started_ms: int = -1
    burst_count: int = 0
    burst_began_ms: int = 0
    burst_steps: set[StepId] = dataclasses.field(default_factory=set)
    failed_steps: set[StepId] = dataclasses.field(default_factory=set)
    ejected_ms: int = -1
    ejected_until_ms: int = 0
    ejection_ms: int = _FIRST_EJECTION_MS


@dataclasses.dataclass(slots=True)
class _Outcomes:
    succeeded: int = 0
    failed: int = 0

    def failed_share(self) -> float:
        return self.failed / (self.succeeded + self.failed)


class VmHealth:
    """Health of the VMs of a pool, learned from the ends of runs."""

    def __init__(self) -> None:
        self._vms: dict[ids.VmId, _VmRecord] = {}
        self._steps: dict[StepId, dict[ids.VmId, _Outcomes]] = {}

    def record_success(
        self, vm: ids.VmId, step: StepId, started_ms: int
    ) -> None:
        """Record that a run has succeeded.

        A success clears the failures of a VM unless the run was started before
        them: a VM may fail only what it has started from some moment on.

        Args:
            vm: VM that executed the run.
            step: Step of the run.
            started_ms: Time of the start, on the owner's clock.
        """
        self._outcomes(step, vm).succeeded += 1
        record = self._vms.setdefault(vm, _VmRecord())
        record.good_started_ms = max(record.good_started_ms, started_ms)
        is_earlier = started_ms <= record.ejected_ms or (
            record.burst_count and started_ms < record.first_started_ms
        )
        if not is_earlier:
            self._vms[vm] = _VmRecord(record.good_started_ms)

    def record_failure(
        self, vm: ids.VmId, step: StepId, started_ms: int, now_ms: int
    ) -> None:
        """Record that a run has failed.

        Args:
            vm: VM that executed the run.
            step: Step of the run.
            started_ms: Time of the start, on the owner's clock.
            now_ms: Current time, on the owner's clock.
        """
        self._outcomes(step, vm).failed += 1
        record = self._vms.setdefault(vm, _VmRecord())
        if started_ms < record.good_started_ms:
            # A run that was started later has succeeded.
            return
        if started_ms <= record.ejected_ms:
            return
        if not record.burst_count:
            record.first_started_ms = started_ms
        record.first_started_ms = min(record.first_started_ms, started_ms)
        record.last_started_ms = max(record.last_started_ms, started_ms)
        if not record.burst_count or started_ms >= record.burst_began_ms:
            record.burst_count += 1
            record.burst_began_ms = now_ms
            record.burst_steps = set()
        record.burst_steps.add(step)
        record.failed_steps.add(step)

    def has_failures(self, vm: ids.VmId) -> bool:
        """Return whether a VM has failed runs since its last success."""
        record = self._vms.get(vm)
        return record is not None and record.burst_count > 0

    def is_doubtful(self, vm: ids.VmId) -> bool:
        """Return whether a VM fails what it starts, be it at fault or not."""
        record = self._vms.get(vm)
        if record is None:
            return False
        jobs_in_burst = {step[0] for step in record.burst_steps}
        return (
            record.burst_count >= _DOUBTFUL_AFTER_BURSTS
            or len(jobs_in_burst) >= _EJECT_AFTER_JOBS_IN_BURST
        )

    def ejection_cause(
        self,
        vm: ids.VmId,
        others: set[ids.VmId],
        probation_since_ms: int | None,
    ) -> EjectionCause | None:
        """Return why a VM is to be ejected; None if it is not.

        Args:
            vm: VM on which runs have failed.
            others: Other VMs of the pool, for comparison.
            probation_since_ms: Time from which the VM has been on probation;
                None if it is not.
        """
        record = self._vms.get(vm)
        if record is None or not record.burst_count:
            return None
        refuted = {
            step[0]
            for step in record.burst_steps
            if self._succeeds_elsewhere(step, others)
        }
        if len(refuted) >= _EJECT_AFTER_JOBS_IN_BURST:
            return EjectionCause.BURST
        has_failed_probe = (
            probation_since_ms is not None
            and record.last_started_ms >= probation_since_ms
        )
        if refuted and has_failed_probe:
            return EjectionCause.PROBE
        if record.burst_count >= _EJECT_AFTER_BURSTS and any(
            self._succeeds_elsewhere(step, others)
            for step in record.failed_steps
        ):
            return EjectionCause.CONSECUTIVE
        return None

    def eject(self, vm: ids.VmId, now_ms: int) -> int:
        """Eject a VM, for longer each time until it succeeds.

        Args:
            vm: VM to eject.
            now_ms: Current time, on the owner's clock.

        Returns:
            Time until which the VM is ejected, on the owner's clock.
        """
        record = self._vms.setdefault(vm, _VmRecord())
        record.ejected_ms = now_ms
        record.ejected_until_ms = now_ms + record.ejection_ms
        record.ejection_ms = min(2 * record.ejection_ms, _MAX_EJECTION_MS)
        # Failures that have led to an ejection do not lead to another one.
        record.burst_steps = set()
        record.failed_steps = set()
        record.burst_count = 0
        return record.ejected_until_ms

    def ejected(self, vm: ids.VmId, now_ms: int) -> bool:
        """Return whether a VM currently gets no tasks."""
        record = self._vms.get(vm)
        return record is not None and record.ejected_until_ms > now_ms

    def failing_vms(self, step: StepId) -> list[ids.VmId]:
        """Return the VMs on which runs of a step have failed."""
        outcomes = self._steps.get(step, {})
        return [vm for vm, seen in outcomes.items() if seen.failed]

    def remove_vm(self, vm: ids.VmId) -> None:
        """Remove what is known about a VM that has left the pool."""
        self._vms.pop(vm, None)

    def _outcomes(self, step: StepId, vm: ids.VmId) -> _Outcomes:
        if step not in self._steps and len(self._steps) >= _MAX_STEPS:
            del self._steps[next(iter(self._steps))]
        return self._steps.setdefault(step, {}).setdefault(vm, _Outcomes())

    def _succeeds_elsewhere(self, step: StepId, others: set[ids.VmId]) -> bool:
        shares = [
            seen.failed_share()
            for vm, seen in self._steps.get(step, {}).items()
            if vm in others
        ]
        return bool(shares) and sum(shares) / len(shares) < _FAILING_STEP_SHARE
