"""Fakes at the package's interfaces."""

import asyncio
from collections.abc import Iterable
import enum

from expression import Error
from expression import Ok
from expression import Result

from support.standins import store as standin
from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.ports import machines
from wagtailtiller.ports import store
from wagtailtiller.ports import vms


class Fault(enum.Enum):
    """What happens to one call."""

    NONE = "none"
    BEFORE = "before"
    AFTER = "after"
    REPEATED = "repeated"
    LATE = "late"


class FakeStore:
    """A store in memory whose every call may fail as the test says.

    Each call lets other tasks run first, so that writers race.
    """

    def __init__(self, faults: Iterable[Fault] = ()) -> None:
        self.state = standin.StoreState()
        self.faults = list(faults)
        self.writes = 0
        self.refuse_commits = False
        self.late: list[store.Transaction] = []

    async def read(self, prefix: str) -> store.ReadResult:
        """Read all keys under a prefix."""
        if await self._fault() in (Fault.BEFORE, Fault.AFTER):
            return Error(errors.StoreUnavailable("fault"))
        return Ok(self.state.read(prefix))

    async def read_key(
        self, key: str
    ) -> Result[store.Item | None, errors.StoreUnavailable]:
        """Read one key."""
        if await self._fault() in (Fault.BEFORE, Fault.AFTER):
            return Error(errors.StoreUnavailable("fault"))
        item = self.state.item(key)
        return Ok(item if item.value is not None else None)

    async def commit(
        self, transaction: store.Transaction
    ) -> store.CommitResult:
        """Apply a transaction, with the next fault."""
        fault = await self._fault()
        if self.refuse_commits:
            return Error(errors.StoreUnavailable("refused", may_apply=False))
        if fault is Fault.BEFORE:
            return Error(errors.StoreUnavailable("fault"))
        if fault is Fault.LATE:
            self.late.append(transaction)
            return Error(errors.StoreUnavailable("answer lost"))
        self.writes += 1
        done = self.state.commit(transaction)
        if fault is Fault.REPEATED:
            done = self.state.commit(transaction)
        if fault is Fault.AFTER:
            return Error(errors.StoreUnavailable("answer lost"))
        return done

    def apply_late(self) -> None:
        """Carry out the transactions that were held back."""
        late, self.late = self.late, []
        for transaction in late:
            self.state.commit(transaction)

    async def write(
        self,
        key: str,
        value: bytes,
        expected: ids.Revision,
        lease: str = "",
    ) -> store.WriteResult:
        """Write a key, with the next fault."""
        transaction = store.Transaction(
            {key: expected}, (store.Write(key, value, lease),)
        )
        return store.to_write_result(key, await self.commit(transaction))

    async def delete(
        self, key: str, expected: ids.Revision
    ) -> store.WriteResult:
        """Delete a key."""
        transaction = store.Transaction({key: expected}, deletes=(key,))
        return store.to_write_result(key, self.state.commit(transaction))

    async def end_lease(
        self, lease: str
    ) -> Result[None, errors.StoreUnavailable]:
        """End a lease."""
        self.state.end(lease)
        return Ok(None)

    async def grant_lease(
        self, ttl_ms: int
    ) -> Result[str, errors.StoreUnavailable]:
        """Create a lease that never lapses."""
        return Ok(self.state.grant(ttl_ms, 0.0))

    async def renew_lease(
        self, lease: str
    ) -> Result[bool, errors.StoreUnavailable]:
        """Renew a lease."""
        return Ok(self.state.renew(lease, 0.0))

    async def watch(
        self, prefix: str, after: ids.Revision, wait_ms: int
    ) -> store.ReadResult:
        """Return the changes so far."""
        await asyncio.sleep(0)
        return Ok(self.state.changes(prefix, after))

    async def _fault(self) -> Fault:
        await asyncio.sleep(0)
        return self.faults.pop(0) if self.faults else Fault.NONE


def machine(
    name: str,
    vm: str,
    pool: str = "renders",
    state: machines.MachineState = machines.MachineState.UP,
) -> machines.Machine:
    """Return a machine as the platform lists it."""
    return machines.Machine(
        ids.MachineId(name),
        ids.PoolId(pool),
        state,
        ids.DataCentreId("dc-1"),
        ("a", "r1"),
        vms.Resources(32_000, 131_072),
        ids.VmId(vm),
    )


class FakeMachines:
    """A machine service whose machines stand still.

    Args:
        standing: The VM that each machine carries.
    """

    def __init__(self, standing: dict[str, str]) -> None:
        self._standing = standing

    async def list(
        self,
    ) -> Result[list[machines.Machine], errors.PlatformUnavailable]:
        """List all machines."""
        return Ok([machine(*row) for row in self._standing.items()])

    async def move(
        self, machine: ids.MachineId, pool: ids.PoolId, epoch: int
    ) -> machines.MachineOutcome:
        """Refuse."""
        return machines.MachineOutcome.REFUSED

    async def maintain(
        self, machine: ids.MachineId, wave: ids.WaveId, epoch: int
    ) -> machines.MachineOutcome:
        """Refuse."""
        return machines.MachineOutcome.REFUSED
