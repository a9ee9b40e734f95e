"""The slots of a pool's VMs: which are free, and which VM to pick."""

import dataclasses
import random

from wagtailtiller import ids
from wagtailtiller import settings
from wagtailtiller.dispatch import health
from wagtailtiller.dispatch import messages

_BUSY_BACKOFF_MS = 250


@dataclasses.dataclass(frozen=True)
class VmView:
    """A VM of the pool as the fleet has it.

    Attributes:
        shape: What the settings declare of it.
        serving: Whether it may get new work.
        generation: The generation of that state.
    """

    shape: settings.VmSettings
    serving: bool
    generation: int


@dataclasses.dataclass(frozen=True)
class PoolView:
    """All that a dispatcher is told of its pool.

    Attributes:
        pool: The pool's settings.
        queues: The queues that the pool serves.
        vms: The pool's VMs.
    """

    pool: settings.PoolSettings
    queues: dict[ids.QueueId, settings.QueueSettings]
    vms: dict[ids.VmId, VmView]


class SlotTable:
    """Counts the slots in use on each VM and picks VMs for requests.

    Args:
        view: The pool.
        random_source: Breaks ties.
    """

    def __init__(self, view: PoolView, random_source: random.Random) -> None:
        self._view = view
        self._random = random_source
        self._health = health.Health()
        self._running: dict[ids.VmId, int] = {}
        self._busy_until_ms: dict[ids.VmId, int] = {}

    def reconfigure(self, view: PoolView) -> None:
        """Take over new settings or VM states."""
        for vm, old in self._view.vms.items():
            new = view.vms.get(vm)
            if new is None or new.generation != old.generation:
                self._health.forget_vm(vm)
        self._view = view

    def running_on(self, vm: ids.VmId) -> int:
        """Return the slots in use on a VM."""
        return self._running.get(vm, 0)

    def hold(self, vm: ids.VmId) -> None:
        """Take a slot."""
        self._running[vm] = self.running_on(vm) + 1

    def free(self, vm: ids.VmId) -> None:
        """Give a slot back."""
        self._running[vm] -= 1

    def serving_slots(self) -> int:
        """Return all slots of VMs in service, free or not."""
        serving = sum(view.serving for view in self._view.vms.values())
        return serving * self._slots_per_vm()

    def missing_resource(self, queue: settings.QueueSettings) -> str:
        """Name the resource that no VM of the pool has enough of.

        Returns:
            The resource, or an empty string when some VM can run the
            queue's requests or there are no VMs at all.
        """
        vms = self._view.vms.values()
        missing = [insufficient_resource(queue, view.shape) for view in vms]
        if not missing or not all(missing):
            return ""
        return max(set(missing), key=missing.count)

    def any_free(self, now_ms: int) -> bool:
        """Whether any request could be placed now."""
        return any(self._free_slots(vm, now_ms) > 0 for vm in self._view.vms)

    def choose_vm(
        self,
        queue: settings.QueueSettings,
        avoid: tuple[ids.VmId, ...],
        now_ms: int,
    ) -> ids.VmId | None:
        """Pick the VM for a request; None when none has room for it.

        Args:
            queue: The request's queue.
            avoid: VMs that it failed on; they and their racks come last.
            now_ms: The clock.
        """
        vms = self._view.vms
        free = [
            vm
            for vm, view in vms.items()
            if self._free_slots(vm, now_ms) > 0
            and not insufficient_resource(queue, view.shape)
        ]
        if not free:
            return None
        racks = {vms[vm].shape.rack for vm in avoid if vm in vms}
        return min(
            free,
            key=lambda vm: (
                vm in avoid,
                vms[vm].shape.rack in racks,
                self.running_on(vm),
                self._random.random(),
            ),
        )

    def observe(
        self,
        vm: ids.VmId,
        queue: ids.QueueId,
        outcome: messages.RunOutcome,
        now_ms: int,
    ) -> None:
        """Learn from how a run ended, and eject the VM if it is at fault."""
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
        slots = 1 if self._health.suspect(vm) else self._slots_per_vm()
        return slots - self.running_on(vm)

    def _slots_per_vm(self) -> int:
        pool = self._view.pool
        return min(pool.slots_per_vm, pool.connections_per_vm)


def insufficient_resource(
    queue: settings.QueueSettings, shape: settings.VmSettings
) -> str:
    """Name the resource that a VM has too little of; empty for none."""
    if queue.needs_processors > shape.processors:
        return "processors"
    if queue.needs_memory_gb > shape.memory_gb:
        return "memory_gb"
    if queue.needs_accelerators > shape.accelerators:
        return "accelerators"
    return ""
