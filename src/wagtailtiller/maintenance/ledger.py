"""What a keeper of the machines keeps in the store for its successor."""

import msgspec

from wagtailtiller import clock as clock_module
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller.owner import keys
from wagtailtiller.ownership import claims
from wagtailtiller.ports import declarations
from wagtailtiller.ports import store

# A successor waits for each machine that is named, so those that need no more
# orders are dropped; in one write a while later.
_TRIM_AFTER_MS = 700


class WaveProgress(msgspec.Struct, frozen=True):
    """How far a wave has come.

    Attributes:
        done: The machines that have been maintained.
        completed: All have, or are gone.
    """

    done: list[ids.MachineId]
    completed: bool


class _Orders(msgspec.Struct, frozen=True):
    machines: list[ids.MachineId]


class Ledger:
    """Reads what a former keeper has left, and writes under the ownership.

    Args:
        store_client: The store.
        claim: The ownership of the machines.
        declared: Where operators read about waves.
        clock: The time.
        backoff: The delays between failed calls.

    Attributes:
        announced: The machines for which orders may be sent; a successor
            finds them named.
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
        self.announced: set[ids.MachineId] = set()
        self._store = store_client
        self._claim = claim
        self._declared = declared
        self._backoff = backoff
        self._revisions: dict[str, ids.Revision] = {}
        self._waves: dict[ids.WaveId, WaveProgress] = {}
        self._announced_ms = 0

    async def read_orders(self) -> set[ids.MachineId]:
        """Return the machines that a former keeper may just have ordered."""
        while True:
            answer = await self._store.read_key(keys.MACHINE_ORDERS)
            if answer.is_ok():
                break
            await self._backoff.wait()
        self._backoff.reset()
        item = answer.ok
        if item is None or not item.value:
            return set()
        self._revisions[item.key] = item.revision
        return set(msgspec.msgpack.decode(item.value, type=_Orders).machines)

    async def announce(
        self, needed: set[ids.MachineId], recent: set[ids.MachineId]
    ) -> None:
        """Name the machines that are going to be ordered, before they are.

        Args:
            needed: Those with orders to come.
            recent: Those that were ordered so recently that a successor must
                not order them yet.
        """
        machines = needed | recent
        now_ms = self._clock.monotonic_ms()
        stale = self.announced - machines
        trims = stale and now_ms - self._announced_ms >= _TRIM_AFTER_MS
        if needed <= self.announced and not trims:
            return
        value = msgspec.msgpack.encode(_Orders(sorted(machines)))
        if await self._write(keys.MACHINE_ORDERS, value):
            self.announced = machines
            self._announced_ms = now_ms

    async def read_wave(self, wave: ids.WaveId) -> WaveProgress | None:
        """Return a wave's progress; None if the store does not answer."""
        answer = await self._store.read_key(keys.wave(wave))
        if answer.is_error():
            return None
        item = answer.ok
        if item is None or not item.value:
            return WaveProgress([], False)
        progress = msgspec.msgpack.decode(item.value, type=WaveProgress)
        self._revisions[item.key] = item.revision
        self._waves[wave] = progress
        return progress

    async def save_wave(self, wave: ids.WaveId, progress: WaveProgress) -> bool:
        """Write a wave's progress; return whether it is news and stored."""
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
        self, key: str, value: bytes, *beside: store.Write
    ) -> bool:
        # The key's own revision keeps a write that is carried out late from
        # undoing a newer one.
        expected = self._claim.preconditions()
        expected[key] = self._revisions.get(key, store.ABSENT)
        writes = (store.Write(key, value), *beside)
        answer = await self._store.commit(store.Transaction(expected, writes))
        if answer.is_ok():
            self._revisions[key] = answer.ok
            self._backoff.reset()
            return True
        if isinstance(answer.error, store.PreconditionFailed):
            for item in answer.error.items:
                if item.key == key:
                    self._revisions[key] = item.revision
        await self._backoff.wait()
        return False
