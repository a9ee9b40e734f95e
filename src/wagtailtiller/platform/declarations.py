"""Follows the declarations that operators and VMs write to the store."""

from collections.abc import Callable
import random

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller.ownership import mirror
from wagtailtiller.platform import documents
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import machines
from wagtailtiller.ports import store
from wagtailtiller.ports import vms

_WATCH_WAIT_MS = 1_000
# Bounds the number of calls: VMs write at each heartbeat, and each change ends
# a watch.
_VM_WATCH_PAUSE_MS = 200


class PlatformDeclarations:
    """The ``Declarations`` protocol on top of the platform's store.

    Args:
        store_client: Client of the store.
        clock: Clock that supplies the current time.

    Attributes:
        catalogue: Declared queues and pools; None until they have been read.
        vms: The reports of all registered VMs, while ``follow_vms`` runs.
        waves: All waves that the operators have requested.
    """

    def __init__(
        self, store_client: store.Store, clock: clock_module.Clock
    ) -> None:
        self.catalogue: catalogue.Catalogue | None = None
        self.vms: dict[ids.VmId, vms.VmReport] = {}
        self.waves: dict[ids.WaveId, machines.Wave] = {}
        self._subscribers: list[Callable[[], None]] = []
        rng = random.Random()
        self._operator_mirror = mirror.Mirror(
            store_client,
            documents.CONFIG_PREFIX,
            _WATCH_WAIT_MS,
            clock,
            follower.Backoff(rng),
            self._on_operator_items_change,
        )
        self._store_client = store_client
        self._clock = clock
        self._vm_mirror: mirror.Mirror | None = None

    def wave_status_key(self, wave: ids.WaveId) -> str:
        """Return the store key at which operators read a wave's status."""
        return f"{documents.STATUS_WAVE_PREFIX}{wave}"

    def wave_status(self, wave: ids.WaveId, completed: bool) -> bytes:
        """Encode the status of a wave for the operators.

        Args:
            wave: Id of the wave.
            completed: Whether the wave is completed.

        Returns:
            The value to store at ``wave_status_key``.
        """
        return documents.encode_wave_status(wave, completed)

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Register a callback.

        Args:
            on_change: Called after each change of the declarations.
        """
        self._subscribers.append(on_change)

    async def run(self) -> None:
        """Follow the operators' declarations until cancelled."""
        await self._operator_mirror.run()

    async def follow_vms(self) -> None:
        """Follow the VMs' reports until cancelled, then discard them."""
        # Reports that an earlier call has left are not in the new copy.
        self.vms.clear()
        vm_mirror = mirror.Mirror(
            self._store_client,
            documents.VM_PREFIX,
            _WATCH_WAIT_MS,
            self._clock,
            follower.Backoff(random.Random()),
            self._on_vm_items_change,
            pause_ms=_VM_WATCH_PAUSE_MS,
        )
        self._vm_mirror = vm_mirror
        try:
            await vm_mirror.run()
        finally:
            # A later call may have started before this one ended.
            if self._vm_mirror is vm_mirror:
                self.vms.clear()

    def _on_operator_items_change(self, items: list[store.Item]) -> None:
        for item in items:
            if item.key == documents.CONFIG_KEY:
                self._apply_config(item)
            elif item.key.startswith(documents.WAVE_PREFIX):
                self._apply_wave(item)
        self._notify()

    def _apply_config(self, item: store.Item) -> None:
        decoded = documents.decode_config(item.value or b"")
        if decoded is None:
            events.emit(
                events.Event.STATE_UNREADABLE, key=item.key, reason="config"
            )
            return
        current = self.catalogue
        if current is not None and decoded.version < current.version:
            return
        self.catalogue = decoded
        events.emit(
            events.Event.CONFIGURATION_IN_FORCE,
            version=decoded.version,
            revision=item.revision,
            queues=len(decoded.queues),
        )

    def _apply_wave(self, item: store.Item) -> None:
        decoded = documents.decode_wave(item.value or b"")
        if decoded is None:
            events.emit(
                events.Event.STATE_UNREADABLE, key=item.key, reason="wave"
            )
            return
        self.waves[decoded.wave] = decoded

    def _on_vm_items_change(self, items: list[store.Item]) -> None:
        for item in items:
            vm = ids.VmId(item.key[len(documents.VM_PREFIX) :])
            if item.value is None:
                self.vms.pop(vm, None)
                continue
            report = documents.decode_worker(vm, item.value)
            if report is None:
                events.emit(
                    events.Event.ENTRY_SKIPPED,
                    source=item.key,
                    entry=repr(item.value[:200]),
                )
                self.vms.pop(vm, None)
            else:
                self.vms[vm] = report
        self._notify()

    def _notify(self) -> None:
        for on_change in self._subscribers:
            on_change()
