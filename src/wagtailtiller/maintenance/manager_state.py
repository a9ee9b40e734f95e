"""Persistent state that a machine manager leaves to its successor."""

from typing import TypeVar

import msgspec

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller.ownership import claims
from wagtailtiller.ports import declarations
from wagtailtiller.ports import store

# A successor applies a cooldown to each machine in the saved orders, so
# machines that are neither planned nor recently ordered are removed. The delay
# combines several removals into one write.
_TRIM_DELAY_MS = 700


_T = TypeVar("_T")


class WaveProgress(msgspec.Struct, frozen=True):
    """Progress of a wave.

    Attributes:
        done: The machines that need no more maintenance: they have been
            maintained, were permanently refused by the platform or no longer
            exist.
        completed: Whether no machine of the wave needs more maintenance.
    """

    done: list[ids.MachineId]
    completed: bool


class _Orders(msgspec.Struct, frozen=True):
    machines: list[ids.MachineId]


def _decode(item: store.Item, value_type: type[_T]) -> _T | None:
    try:
        return msgspec.msgpack.decode(item.value or b"", type=value_type)
    except msgspec.MsgspecError as error:
        events.emit(
            events.Event.STATE_UNREADABLE, key=item.key, reason=str(error)
        )
        return None


class ManagerState:
    """Reads what the previous machine manager stored, and stores new state.

    Every write has the ownership of the machines as a precondition.

    Args:
        store_client: Client of the store.
        claim: Claim of the shard of the machines.
        declared: Declarations of the operators and VMs; they encode the wave
            status for operators.
        clock: Clock that supplies the current time.
        backoff: Delays after failed store calls.

    Attributes:
        saved_orders: The machines that may be ordered, because the store
            lists them for a successor.
    """

    def __init__(
        self,
        store_client: store.Store,
        claim: claims.Claim,
        declared: declarations.Declarations,
        clock: clock_module.Clock,
        backoff: follower.Backoff,
    ) -> None:
        self._clock = clock
        self.saved_orders: set[ids.MachineId] = set()
        self._store = store_client
        self._claim = claim
        self._declared = declared
        self._backoff = backoff
        self._revisions: dict[str, ids.Revision] = {}
        self._waves: dict[ids.WaveId, WaveProgress] = {}
        self._orders_saved_ms = 0

    async def read_orders(self) -> set[ids.MachineId] | None:
        """Return the machines that a previous manager may have ordered.

        Retries until the store responds.

        Returns:
            The machines; None if the stored list is unreadable, so that it may
            have been any.
        """
        while True:
            result = await self._store.read_key(keys.MACHINE_ORDERS)
            if result.is_ok():
                break
            await self._backoff.wait()
        self._backoff.reset()
        item = result.ok
        if item is None or not item.value:
            return set()
        self._revisions[item.key] = item.revision
        orders = _decode(item, _Orders)
        return set(orders.machines) if orders is not None else None

    async def save_orders(
        self, planned: set[ids.MachineId], recent: set[ids.MachineId]
    ) -> None:
        """Store which machines may be ordered, before they are ordered.

        Args:
            planned: Machines that are to be ordered.
            recent: Machines whose last order is so recent that a successor
                must not order them yet.
        """
        machines = planned | recent
        now_ms = self._clock.monotonic_ms()
        obsolete = self.saved_orders - machines
        trim_due = obsolete and now_ms - self._orders_saved_ms >= _TRIM_DELAY_MS
        if planned <= self.saved_orders and not trim_due:
            return
        value = msgspec.msgpack.encode(_Orders(sorted(machines)))
        if await self._write(keys.MACHINE_ORDERS, value):
            self.saved_orders = machines
            self._orders_saved_ms = now_ms

    async def read_wave(self, wave: ids.WaveId) -> WaveProgress | None:
        """Return the progress of a wave; None if the store is unavailable."""
        result = await self._store.read_key(keys.wave(wave))
        if result.is_error():
            return None
        item = result.ok
        if item is None or not item.value:
            return WaveProgress([], False)
        self._revisions[item.key] = item.revision
        progress = _decode(item, WaveProgress)
        if progress is None:
            # The platform answers the repeated maintenance of a machine like
            # the first.
            return WaveProgress([], False)
        self._waves[wave] = progress
        return progress

    async def save_wave(self, wave: ids.WaveId, progress: WaveProgress) -> bool:
        """Store the progress of a wave and its status for operators.

        Args:
            wave: Id of the wave.
            progress: The progress to store.

        Returns:
            Whether the progress has changed and the change is stored.
        """
        if self._waves.get(wave) == progress:
            return False
        status = store.Write(
            self._declared.wave_status_key(wave),
            self._declared.wave_status(wave, progress.completed),
        )
        value = msgspec.msgpack.encode(progress)
        if not await self._write(keys.wave(wave), value, status):
            return False
        self._waves[wave] = progress
        return True

    async def _write(
        self, key: str, value: bytes, *other_writes: store.Write
    ) -> bool:
        # The expected revision of the key itself prevents a delayed write from
        # overwriting a newer one.
        expected = self._claim.preconditions()
        expected[key] = self._revisions.get(key, store.ABSENT)
        writes = (store.Write(key, value), *other_writes)
        result = await self._store.commit(store.Transaction(expected, writes))
        if result.is_ok():
            self._revisions[key] = result.ok
            self._backoff.reset()
            return True
        if isinstance(result.error, store.PreconditionFailed):
            for item in result.error.items:
                if item.key == key:
                    self._revisions[key] = item.revision
        await self._backoff.wait()
        return False
