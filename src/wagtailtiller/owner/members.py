"""The stored list of a pool's members: VMs on which its tasks may run.

A new owner reads this list at takeover. A VM must be listed before any task
can run there. It is removed once none does and the ends of its runs are
stored, so that a new owner does not wait for it.
"""

import asyncio
from collections.abc import Callable

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from wagtailtiller import clock as clock_module
from wagtailtiller import errors
from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller import stored_state
from wagtailtiller.ownership import claims
from wagtailtiller.ports import store
from wagtailtiller.scheduling import pool as pool_module

# Members are removed with a delay, so that one write removes several.
_REMOVAL_DELAY_MS = 700
_RETRY_MS = 50


# Stands for the VMs of an unreadable list. It never answers, so a new owner
# waits until the leases from its predecessor have certainly expired.
_UNKNOWN_VM = ids.VmId("unknown")


def _decode(key: str, value: bytes) -> dict[ids.VmId, ids.MachineId]:
    decoder = msgspec.json.Decoder(dict[ids.VmId, ids.MachineId])
    machines = stored_state.decode_or_log(key, value, decoder.decode)
    return {_UNKNOWN_VM: ids.MachineId("")} if machines is None else machines


class MemberList:
    """Keeps the stored member list of one pool up to date.

    Args:
        store_client: Client of the store that holds the list.
        pool: Pool whose members are stored.
        claim: Claim under which the list is written.
        clock: Clock that supplies the current time.
        on_stored: Called after a changed list has been stored.
        on_ownership_lost: Called when a commit shows that the ownership is
            lost.

    Attributes:
        stored: Members that a new owner is certain to find in the store.
        machine_by_vm: Machine of each VM; empty if it is unknown.
    """

    def __init__(
        self,
        store_client: store.Store,
        pool: pool_module.Pool,
        claim: claims.Claim,
        clock: clock_module.Clock,
        on_stored: Callable[[], None],
        on_ownership_lost: Callable[[], None],
    ) -> None:
        self.stored: set[ids.VmId] = set()
        self.machine_by_vm: dict[ids.VmId, ids.MachineId] = {}
        self._store = store_client
        self._pool = pool
        self._claim = claim
        self._clock = clock
        self._on_stored = on_stored
        self._on_ownership_lost = on_ownership_lost
        self._revision = store.ABSENT
        self._update_due = asyncio.Event()

    async def read(self) -> Result[None, errors.StoreUnavailable]:
        """Read the list of the previous owner.

        Returns:
            None, or the error if the store does not respond.
        """
        result = await self._store.read_key(keys.members(self._pool.pool))
        if result.is_error():
            return Error(result.error)
        item = result.ok
        if item is not None and item.value:
            self._revision = item.revision
            self.machine_by_vm = _decode(item.key, item.value)
            self.stored = set(self.machine_by_vm)
        return Ok(None)

    def schedule_update(self) -> None:
        """Schedule a write if the members differ from the stored list."""
        if self._pool.vm_tracker.members() != self.stored:
            self._update_due.set()

    async def run(self) -> None:
        """Store scheduled updates until cancelled."""
        # Planning continues during a write, with the members stored so far.
        while True:
            await self._update_due.wait()
            self._update_due.clear()
            members = self._pool.vm_tracker.members()
            if members <= self.stored:
                members = await self._delay_removal()
            if members == self.stored:
                continue
            if await self._write(members):
                self._on_stored()
            else:
                self._update_due.set()
                await asyncio.sleep(_RETRY_MS / 1_000)

    async def _delay_removal(self) -> set[ids.VmId]:
        # A removal can wait. A VM to be added cannot, and ends the delay.
        end_ms = self._clock.monotonic_ms() + _REMOVAL_DELAY_MS
        while self._clock.monotonic_ms() < end_ms:
            await asyncio.sleep(_RETRY_MS / 1_000)
            if not self._pool.vm_tracker.members() <= self.stored:
                break
        return self._pool.vm_tracker.members()

    async def store_final(self) -> None:
        """Store the list at graceful shutdown, when no more runs start.

        It contains only the VMs that have runs or ended runs that are not
        stored, and the unresolved VMs.
        """
        busy = {
            vm.report.vm
            for vm in self._pool.vms.values()
            if vm.runs or vm.has_unstored_ends
        }
        members = busy | self._pool.unresolved.keys()
        if not await self._write(members):
            # A write that was in progress may have changed the revision.
            await self._write(members)

    async def _write(self, members: set[ids.VmId]) -> bool:
        key = keys.members(self._pool.pool)
        expected = self._claim.preconditions()
        expected[key] = self._revision
        value = msgspec.json.encode(self._with_machines(members))
        # A write without a response may be applied later, so the VMs that it
        # removes count as no longer stored.
        removed = sorted(self.stored - members)
        self.stored &= members
        result = await self._store.commit(
            store.Transaction(expected, (store.Write(key, value),))
        )
        if result.is_ok():
            self._revision = result.ok
            self.stored = members
            if removed:
                events.emit(
                    events.Event.MEMBERS_STORED,
                    pool=self._pool.pool,
                    revision=result.ok,
                    removed=removed,
                )
            return True
        if isinstance(result.error, store.PreconditionFailed):
            self._handle_conflict(result.error.items)
        return False

    def _with_machines(
        self, members: set[ids.VmId]
    ) -> dict[ids.VmId, ids.MachineId]:
        for vm in self._pool.vms.values():
            self.machine_by_vm[vm.report.vm] = vm.report.machine
        unknown = ids.MachineId("")
        return {
            vm: self.machine_by_vm.get(vm, unknown) for vm in sorted(members)
        }

    def _handle_conflict(self, items: tuple[store.Item, ...]) -> None:
        for item in items:
            if item.key == keys.members(self._pool.pool):
                self._revision = item.revision
            elif item.revision != self._claim.revision:
                self._on_ownership_lost()
