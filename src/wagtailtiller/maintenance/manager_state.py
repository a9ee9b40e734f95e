"""Persistent state that a machine manager leaves to its successor."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
from typing import TypeVar

import msgspec

from wagtailtiller import clock as clock_module
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller import stored_state
from wagtailtiller.maintenance import season as season_module
from wagtailtiller.ownership import claims
from wagtailtiller.ports import declarations
from wagtailtiller.ports import store

# A successor applies a cooldown to each machine in the saved orders, so
# machines that are neither planned nor recently ordered are removed. The delay
# combines several removals into one write.
_TRIM_DELAY_MS = 700
# Shortest time between two writes of the season.
_SEASON_INTERVAL_MS = 4_000
# A planned stop waits at most this long for the store. A successor that does
# not find the state waits for machines that it need not wait for.
_STOP_TIMEOUT_S = 0.5
# The first write of a stop may find that an interrupted one was applied.
_STOP_ATTEMPTS = 2


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
    decoder = msgspec.msgpack.Decoder(value_type)
    return stored_state.decode_or_log(
        item.key, item.value or b"", decoder.decode
    )


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
        on_ownership_lost: Called when a write shows that another process owns
            the machines.

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
        on_ownership_lost: Callable[[], None],
    ) -> None:
        self._clock = clock
        self.saved_orders: set[ids.MachineId] = set()
        self._store = store_client
        self._claim = claim
        self._declared = declared
        self._backoff = backoff
        self._on_ownership_lost = on_ownership_lost
        self._revisions: dict[str, ids.Revision] = {}
        self._waves: dict[ids.WaveId, WaveProgress] = {}
        self._orders_saved_ms = 0
        self._season: season_module.Season | None = None
        self._season_tried_ms: int | None = None

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
        # A write without a response may be applied, so the machines that it
        # removes count as no longer stored.
        self.saved_orders &= machines
        if await self._write(keys.MACHINE_ORDERS, value):
            self.saved_orders = machines
            self._orders_saved_ms = now_ms

    async def save_at_stop(
        self,
        ordered: set[ids.MachineId],
        season: season_module.Season | None,
    ) -> bool:
        """Store at a planned stop what a successor has to know.

        Args:
            ordered: Machines whose last order is so recent that a successor
                must not order them yet; no other machine was ordered.
            season: The learned season; None if there is none.

        Returns:
            Whether the store has confirmed it.
        """
        orders = store.Write(
            keys.MACHINE_ORDERS,
            msgspec.msgpack.encode(_Orders(sorted(ordered))),
        )
        writes = [orders]
        if season is not None:
            value = msgspec.msgpack.encode(season)
            writes.append(store.Write(keys.SEASON, value))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                for _ in range(_STOP_ATTEMPTS):
                    if await self._commit(writes):
                        return True
        return False

    async def read_season(self) -> season_module.Season | None:
        """Return the stored season; None if there is none that is readable.

        Retries until the store responds.
        """
        while True:
            result = await self._store.read_key(keys.SEASON)
            if result.is_ok():
                break
            await self._backoff.wait()
        item = result.ok
        if item is None or not item.value:
            return None
        self._revisions[item.key] = item.revision
        self._season = _decode(item, season_module.Season)
        return self._season

    def is_season_due(self) -> bool:
        """Return whether the last write of the season is long enough ago."""
        tried_ms = self._season_tried_ms
        now_ms = self._clock.monotonic_ms()
        return tried_ms is None or now_ms - tried_ms >= _SEASON_INTERVAL_MS

    async def save_season(self, season: season_module.Season) -> bool:
        """Store a season if it has changed materially.

        A failed write is repeated after the interval between two writes, since
        nothing waits for it.

        Args:
            season: The learned season.

        Returns:
            Whether the season has been stored now.
        """
        self._season_tried_ms = self._clock.monotonic_ms()
        if not season_module.differs_materially(season, self._season):
            return False
        value = msgspec.msgpack.encode(season)
        if not await self._commit([store.Write(keys.SEASON, value)]):
            return False
        self._season = season
        return True

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
        self, key: str, value: bytes, *status: store.Write
    ) -> bool:
        if await self._commit([store.Write(key, value)], status):
            self._backoff.reset()
            return True
        await self._backoff.wait()
        return False

    async def _commit(
        self, writes: list[store.Write], others: Iterable[store.Write] = ()
    ) -> bool:
        """Write keys that only machine managers write, and others.

        Args:
            writes: Writes of the former.
            others: Writes of the latter.

        Returns:
            Whether the store has confirmed the transaction.
        """
        # The expected revisions of the keys themselves prevent a delayed write
        # from overwriting a newer one.
        expected = self._claim.preconditions()
        own_keys = {write.key for write in writes}
        for key in own_keys:
            expected[key] = self._revisions.get(key, store.ABSENT)
        result = await self._store.commit(
            store.Transaction(expected, (*writes, *others))
        )
        if result.is_ok():
            self._revisions.update(dict.fromkeys(own_keys, result.ok))
            return True
        if isinstance(result.error, store.PreconditionFailed):
            for item in result.error.items:
                if item.key in own_keys:
                    self._revisions[item.key] = item.revision
                elif item.revision != self._claim.revision:
                    self._on_ownership_lost()
        return False
