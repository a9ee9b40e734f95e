"""Racks as a unit of failure: holds back VMs of a rack that is failing.

Each VM of a rack that has lost power or its network is noticed only after its
own call has timed out. Until then, tasks that start there wait for the end of
their leases. When some VMs of a rack become unresponsive while other racks
answer, the rest of the rack therefore gets no tasks until it has answered.
"""

from collections.abc import Callable
import dataclasses

from wagtailtiller import events
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import state
from wagtailtiller.scheduling import vm as vm_module

# VMs of a rack that fails at once are noticed within this time of each other:
# their calls were sent at different times.
_WINDOW_MS = 1_000
_MIN_SILENT_VMS = 2
_MIN_SILENT_SHARE = 1 / 2
# If more VMs of other racks are unresponsive as well, the owner or its network
# is the likely cause.
_MAX_SILENT_SHARE_ELSEWHERE = 1 / 3
_HELD_DIVISOR = 3
# Longer than the timeout of a call to a VM that is not known to be slow.
_HOLD_BACK_MS = 2_000
# Plans are at most about 100 ms apart unless the event loop is late.
_LATE_PLAN_MS = 400
# If more of a pool is unresponsive, replacing it is not possible, or the cause
# is not the VMs.
_MAX_REPLACED_SHARE = 1 / 2
# A VM that becomes unresponsive this soon after a request to vacate it was
# moved or maintained as planned.
_PLANNED_END_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Evidence:
    """What is known about a group of VMs.

    Attributes:
        silent: VMs that became unresponsive within the window.
        answered: VMs that have answered since the last failed call was sent.
    """

    silent: int
    answered: int

    @property
    def asked(self) -> int:
        """Number of VMs whose state is known."""
        return self.silent + self.answered

    @property
    def silent_share(self) -> float:
        """Share of these that are unresponsive."""
        return self.silent / self.asked if self.asked else 0.0


class RackMonitor:
    """Identifies failing racks of one pool.

    Args:
        pool_state: State that the components of the pool share.
    """

    def __init__(self, pool_state: state.PoolState) -> None:
        self._state = pool_state
        self._suspect_since_ms: dict[str, int] = {}
        self._planned_ms: int | None = None
        self._late_ms: int | None = None

    def update(self, now_ms: int) -> list[commands.Probe]:
        """Identify failing racks and hold back their other VMs.

        Args:
            now_ms: Current time, on the owner's clock.

        Returns:
            Probes of the VMs that are held back.
        """
        self._record_plan(now_ms)
        for rack, since_ms in list(self._suspect_since_ms.items()):
            if now_ms - since_ms >= _HOLD_BACK_MS:
                del self._suspect_since_ms[rack]
        if self.owner_is_late(now_ms):
            return []
        racks = {
            vm.rack
            for vm in self._state.vms.values()
            if vm.unresponsive_since_ms is not None
            and _became_silent(vm, now_ms)
            and vm.rack
        }
        probes: list[commands.Probe] = []
        for rack in sorted(racks - self._suspect_since_ms.keys()):
            probes.extend(self._check(rack, now_ms))
        return probes

    def owner_is_late(self, now_ms: int) -> bool:
        """Return whether this process was late within the last second.

        Calls that have timed out since then prove nothing about the VMs.

        Args:
            now_ms: Current time, on the owner's clock.
        """
        return self._late_ms is not None and (
            now_ms - self._late_ms < _WINDOW_MS
        )

    def unresponsive_millicores(self, now_ms: int) -> int:
        """Return the capacity of VMs that became unresponsive unplanned.

        The machine manager counts their machines as available, so that the
        pool's demand must include it to be replaced.

        Args:
            now_ms: Current time, on the owner's clock.
        """
        present = [vm for vm in self._state.vms.values() if _is_present(vm)]
        silent = [
            vm
            for vm in present
            if vm.status is vm_module.VmStatus.UNRESPONSIVE
            and not _was_vacated(vm, now_ms)
        ]
        if self.owner_is_late(now_ms):
            return 0
        if len(silent) > _MAX_REPLACED_SHARE * len(present):
            return 0
        return sum(vm.full_capacity.cpu_millicores for vm in silent)

    def _record_plan(self, now_ms: int) -> None:
        if (
            self._planned_ms is not None
            and now_ms - self._planned_ms > _LATE_PLAN_MS
        ):
            self._late_ms = now_ms
        self._planned_ms = now_ms

    def _check(self, rack: str, now_ms: int) -> list[commands.Probe]:
        silent = [
            vm
            for vm in self._state.vms.values()
            if vm.rack == rack and _became_silent(vm, now_ms)
        ]
        if len(silent) < _MIN_SILENT_VMS:
            return []
        since_ms = max(vm.failed_call_sent_ms for vm in silent)
        inside = self._evidence(lambda vm: vm.rack == rack, since_ms, now_ms)
        outside = self._evidence(lambda vm: vm.rack != rack, since_ms, now_ms)
        if (
            inside.silent_share < _MIN_SILENT_SHARE
            or not outside.answered
            or outside.silent_share > _MAX_SILENT_SHARE_ELSEWHERE
        ):
            return []
        held = self._hold_back(rack, now_ms)
        self._suspect_since_ms[rack] = now_ms
        events.emit(
            events.Event.RACK_SUSPECT,
            rack=rack,
            pool=self._state.pool,
            silent=inside.silent,
            asked=inside.asked,
            other_silent=outside.silent,
            other_asked=outside.asked,
            held=len(held),
        )
        return [commands.Probe(vm.report.vm) for vm in held]

    def _evidence(
        self,
        belongs: Callable[[vm_module.Vm], bool],
        since_ms: int,
        now_ms: int,
    ) -> _Evidence:
        group = [
            vm
            for vm in self._state.vms.values()
            if _is_present(vm) and belongs(vm)
        ]
        return _Evidence(
            sum(_became_silent(vm, now_ms) for vm in group),
            sum(
                vm.status is vm_module.VmStatus.USABLE
                and vm.answered_ms > since_ms
                for vm in group
            ),
        )

    def _hold_back(self, rack: str, now_ms: int) -> list[vm_module.Vm]:
        """Hold back the responsive VMs of a rack, as far as is permitted."""
        usable = [
            vm
            for vm in self._state.vms.values()
            if _is_present(vm) and vm.status is vm_module.VmStatus.USABLE
        ]
        already_held = sum(vm.is_held_back(now_ms) for vm in usable)
        present = sum(_is_present(vm) for vm in self._state.vms.values())
        budget = present // _HELD_DIVISOR - already_held
        members = sorted(
            (vm for vm in usable if vm.rack == rack),
            key=lambda vm: (vm.answered_ms, vm.report.vm),
        )
        held = members[: max(0, budget)]
        for vm in held:
            vm.hold_back(now_ms, now_ms + _HOLD_BACK_MS)
        return held


def _is_present(vm: vm_module.Vm) -> bool:
    return (
        vm.registered
        and not vm.draining
        and vm.status is not vm_module.VmStatus.JOINING
    )


def _became_silent(vm: vm_module.Vm, now_ms: int) -> bool:
    since_ms = vm.unresponsive_since_ms
    return (
        since_ms is not None
        and vm.status is vm_module.VmStatus.UNRESPONSIVE
        and _is_present(vm)
        and now_ms - since_ms <= _WINDOW_MS
        and not _was_vacated(vm, now_ms)
    )


def _was_vacated(vm: vm_module.Vm, now_ms: int) -> bool:
    return bool(vm.closed_until_ms) and (
        now_ms < vm.closed_until_ms + _PLANNED_END_MS
    )
