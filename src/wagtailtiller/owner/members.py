"""Which VMs of a pool may run something, kept in the store.

A successor must know of a VM before anything can run there, and should not
wait for one where nothing does any more.
"""

import asyncio
from collections.abc import Callable

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from wagtailtiller import clock as clock_module
from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.owner import keys
from wagtailtiller.ownership import claims
from wagtailtiller.ports import store
from wagtailtiller.scheduling import pool as pool_module

# Former members are dropped in one write a while later.
_TRIM_AFTER_MS = 700
_RETRY_MS = 50


class Members:
    """Stores the members of one pool.

    Args:
        store_client: The store.
        pool: The pool.
        claim: The ownership under which it writes.
        clock: The time.
        stored_news: Called when more members are stored.
        deposed: Called when the ownership turns out to be lost.

    Attributes:
        stored: The members that a successor would surely find.
        machines: The machines on which they stand, as far as known.
    """

    def __init__(
        self,
        store_client: store.Store,
        pool: pool_module.Pool,
        claim: claims.Claim,
        clock: clock_module.Clock,
        stored_news: Callable[[], None],
        deposed: Callable[[], None],
    ) -> None:
        self.stored: set[ids.VmId] = set()
        self.machines: dict[ids.VmId, ids.MachineId] = {}
        self._store = store_client
        self._pool = pool
        self._claim = claim
        self._clock = clock
        self._stored_news = stored_news
        self._deposed = deposed
        self._revision = store.ABSENT
        self._due = asyncio.Event()

    async def read(self) -> Result[None, errors.StoreUnavailable]:
        """Read what a former owner has left."""
        answer = await self._store.read_key(keys.members(self._pool.pool))
        if answer.is_error():
            return Error(answer.error)
        item = answer.ok
        if item is not None and item.value:
            self._revision = item.revision
            self.machines = msgspec.json.decode(
                item.value, type=dict[ids.VmId, ids.MachineId]
            )
            self.stored = set(self.machines)
        return Ok(None)

    def compare(self) -> None:
        """Store the present members soon if they have changed."""
        if self._pool.vm_tracker.members() != self.stored:
            self._due.set()

    async def run(self) -> None:
        """Store changes for ever."""
        # Planning goes on meanwhile with the members that are stored.
        while True:
            await self._due.wait()
            self._due.clear()
            wanted = self._pool.vm_tracker.members()
            if wanted <= self.stored:
                wanted = await self._later()
            if wanted == self.stored:
                continue
            if await self._write(wanted):
                self._stored_news()
            else:
                self._due.set()
                await asyncio.sleep(_RETRY_MS / 1_000)

    async def _later(self) -> set[ids.VmId]:
        # Dropping members can wait, adding one cannot.
        end_ms = self._clock.monotonic_ms() + _TRIM_AFTER_MS
        while self._clock.monotonic_ms() < end_ms:
            await asyncio.sleep(_RETRY_MS / 1_000)
            if not self._pool.vm_tracker.members() <= self.stored:
                break
        return self._pool.vm_tracker.members()

    async def leave(self) -> None:
        """Store only the VMs with runs, since nothing starts any more."""
        busy = {vm.report.vm for vm in self._pool.vms.values() if vm.runs}
        wanted = busy | self._pool.unresolved.keys()
        if not await self._write(wanted):
            # The write that was under way has changed the revision.
            await self._write(wanted)

    async def _write(self, wanted: set[ids.VmId]) -> bool:
        key = keys.members(self._pool.pool)
        expected = self._claim.expectation()
        expected[key] = self._revision
        value = msgspec.json.encode(self._on_machines(wanted))
        # An unanswered write may come late and name too few.
        self.stored &= wanted
        answer = await self._store.commit(
            store.Transaction(expected, (store.Write(key, value),))
        )
        if answer.is_ok():
            self._revision = answer.ok
            self.stored = wanted
            return True
        if isinstance(answer.error, store.PreconditionFailed):
            self._correct(answer.error.items)
        return False

    def _on_machines(
        self, wanted: set[ids.VmId]
    ) -> dict[ids.VmId, ids.MachineId]:
        for vm in self._pool.vms.values():
            self.machines[vm.report.vm] = vm.report.machine
        nowhere = ids.MachineId("")
        return {vm: self.machines.get(vm, nowhere) for vm in sorted(wanted)}

    def _correct(self, items: tuple[store.Item, ...]) -> None:
        for item in items:
            if item.key == keys.members(self._pool.pool):
                self._revision = item.revision
            elif item.revision != self._claim.revision:
                self._deposed()
