"""Slots of the VMs of a pool, and the choice of a VM for a request."""

import dataclasses
import random

from wagtailtiller import ids
from wagtailtiller import settings
from wagtailtiller.dispatch import health
from wagtailtiller.dispatch import messages

_BUSY_BACKOFF_MS = 250


@dataclasses.dataclass(frozen=True)
class VmView:
    """Settings and fleet state of a VM.

    Attributes:
        vm_settings: Settings of the VM.
        serving: Whether the VM may get new requests.
        generation: Generation of the VM's fleet state.
    """

    vm_settings: settings.VmSettings
    serving: bool
    generation: int


@dataclasses.dataclass(frozen=True)
class PoolView:
    """Settings and VM states of a pool, as given to its dispatcher.

    Attributes:
        pool: Settings of the pool.
        queues: Settings of the queues that the pool serves.
        vms: Settings and states of the pool's VMs.
    """

    pool: settings.PoolSettings
    queues: dict[ids.QueueId, settings.QueueSettings]
    vms: dict[ids.VmId, VmView]


class SlotTable:
    """Counts the slots in use on each VM and chooses VMs for requests.

    Args:
        view: Settings and VM states of the pool.
        rng: Random source that breaks ties.
    """

    def __init__(self, view: PoolView, rng: random.Random) -> None:
        self._view = view
        self._rng = rng
        self._health = health.Health()
        self._running: dict[ids.VmId, int] = {}
        self._busy_until_ms: dict[ids.VmId, int] = {}

    def reconfigure(self, view: PoolView) -> None:
        """Apply new settings or VM states."""
        for vm, old in self._view.vms.items():
            new = view.vms.get(vm)
            if new is None or new.generation != old.generation:
                self._health.remove_vm(vm)
        self._view = view

    def running_on(self, vm: ids.VmId) -> int:
        """Return the number of slots in use on a VM."""
        return self._running.get(vm, 0)

    def acquire(self, vm: ids.VmId) -> None:
        """Acquire a slot."""
        self._running[vm] = self.running_on(vm) + 1

    def release(self, vm: ids.VmId) -> None:
        """Release a slot."""
        self._running[vm] -= 1

    def serving_slots(self) -> int:
        """Return the number of slots of all serving VMs, free or not."""
        serving = sum(view.serving for view in self._view.vms.values())
        return serving * self._slots_per_vm()

    def missing_resource(self, queue: settings.QueueSettings) -> str:
        """Return the resource that no VM of the pool has enough of.

        Returns:
            Name of the resource. The string is empty if some VM can run the
            queue's requests or if the pool has no VMs.
        """
        vms = self._view.vms.values()
        missing = [
            insufficient_resource(queue, view.vm_settings) for view in vms
        ]
        if not missing or not all(missing):
            return ""
        return max(set(missing), key=missing.count)

    def any_free(self, now_ms: int) -> bool:
        """Return whether any VM has a free slot."""
        return any(self._free_slots(vm, now_ms) > 0 for vm in self._view.vms)

    def choose_vm(
        self,
        queue: settings.QueueSettings,
        avoid: tuple[ids.VmId, ...],
        now_ms: int,
    ) -> ids.VmId | None:
        """Choose the VM for a request.

        Args:
            queue: Settings of the request's queue.
            avoid: VMs on which the request failed. These VMs and the other
                VMs of their racks are chosen last.
            now_ms: Current time of the dispatcher's clock.

        Returns:
            The VM, or None if no suitable VM has a free slot.
        """
        vms = self._view.vms
        candidates = [
            vm
            for vm, view in vms.items()
            if self._free_slots(vm, now_ms) > 0
            and not insufficient_resource(queue, view.vm_settings)
        ]
        if not candidates:
            return None
        failed_racks = {vms[vm].vm_settings.rack for vm in avoid if vm in vms}
        return min(
            candidates,
            key=lambda vm: (
                vm in avoid,
                vms[vm].vm_settings.rack in failed_racks,
                self.running_on(vm),
                self._rng.random(),
            ),
        )

    def observe(
        self,
        vm: ids.VmId,
        queue: ids.QueueId,
        outcome: messages.RunOutcome,
        now_ms: int,
    ) -> None:
        """Record the outcome of a run, and eject the VM if it is at fault."""
        if outcome is messages.RunOutcome.BUSY:
            self._busy_until_ms[vm] = now_ms + _BUSY_BACKOFF_MS
        self._health.observe(vm, queue, outcome)
        others = [other for other in self._view.vms if other != vm]
        unavailable_count = sum(
            not view.serving for view in self._view.vms.values()
        )
        unavailable_count += self._health.ejected_count(others, now_ms)
        budget_left = self._view.pool.max_unavailable_vms - unavailable_count
        self._health.eject_if_due(vm, others, budget_left, now_ms)

    def _free_slots(self, vm: ids.VmId, now_ms: int) -> int:
        unavailable = (
            not self._view.vms[vm].serving
            or self._busy_until_ms.get(vm, 0) > now_ms
            or self._health.ejected(vm, now_ms)
        )
        if unavailable:
            return 0
        slot_limit = 1 if self._health.suspect(vm) else self._slots_per_vm()
        return slot_limit - self.running_on(vm)

    def _slots_per_vm(self) -> int:
        pool = self._view.pool
        return min(pool.slots_per_vm, pool.connections_per_vm)


def insufficient_resource(
    queue: settings.QueueSettings, vm_settings: settings.VmSettings
) -> str:
    """Return the resource that a VM has too little of, or an empty string."""
    if queue.needs_processors > vm_settings.processors:
        return "processors"
    if queue.needs_memory_gb > vm_settings.memory_gb:
        return "memory_gb"
    if queue.needs_accelerators > vm_settings.accelerators:
        return "accelerators"
    return ""
