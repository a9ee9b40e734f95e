"""In-memory implementations of the store and machine interfaces."""

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
    """Fault of one call to the store.

    Attributes:
        NONE: The call succeeds.
        REQUEST_LOST: The call fails without an effect.
        RESPONSE_LOST: The call takes effect, but its response is lost.
        REPEATED: The call is delivered twice.
        DELAYED: The response is lost, and a commit takes effect only when
            ``apply_delayed`` of the store is called.
    """

    NONE = "none"
    REQUEST_LOST = "before"
    RESPONSE_LOST = "after"
    REPEATED = "repeated"
    DELAYED = "late"


class FakeStore:
    """In-memory store client with injected faults.

    Most calls yield to the event loop first, so that concurrent writers race.

    Args:
        faults: Faults of the next calls, in order; later calls succeed.

    Attributes:
        state: Contents of the store.
        faults: Faults of the next calls.
        writes: Number of commits that reached the store.
        refuse_commits: Whether all commits fail without an effect.
        delayed: Delayed transactions.
    """

    def __init__(self, faults: Iterable[Fault] = ()) -> None:
        self.state = standin.StoreState()
        self.faults = list(faults)
        self.writes = 0
        self.refuse_commits = False
        self.delayed: list[store.Transaction] = []

    async def read(self, prefix: str) -> store.ReadResult:
        """Read all keys under a prefix, subject to the next fault."""
        if await self._next_fault() in (
            Fault.REQUEST_LOST,
            Fault.RESPONSE_LOST,
        ):
            return Error(errors.StoreUnavailable("fault"))
        return Ok(self.state.read(prefix))

    async def read_key(
        self, key: str
    ) -> Result[store.Item | None, errors.StoreUnavailable]:
        """Read one key, subject to the next fault."""
        if await self._next_fault() in (
            Fault.REQUEST_LOST,
            Fault.RESPONSE_LOST,
        ):
            return Error(errors.StoreUnavailable("fault"))
        item = self.state.item(key)
        return Ok(item if item.value is not None else None)

    async def commit(
        self, transaction: store.Transaction
    ) -> store.CommitResult:
        """Apply a transaction, subject to the next fault."""
        fault = await self._next_fault()
        if self.refuse_commits:
            return Error(errors.StoreUnavailable("refused", may_apply=False))
        if fault is Fault.REQUEST_LOST:
            return Error(errors.StoreUnavailable("fault"))
        if fault is Fault.DELAYED:
            self.delayed.append(transaction)
            return Error(errors.StoreUnavailable("answer lost"))
        self.writes += 1
        result = self.state.commit(transaction)
        if fault is Fault.REPEATED:
            result = self.state.commit(transaction)
        if fault is Fault.RESPONSE_LOST:
            return Error(errors.StoreUnavailable("answer lost"))
        return result

    def apply_delayed(self) -> None:
        """Apply the delayed transactions."""
        delayed, self.delayed = self.delayed, []
        for transaction in delayed:
            self.state.commit(transaction)

    async def write(
        self,
        key: str,
        value: bytes,
        expected: ids.Revision,
        lease: str = "",
    ) -> store.WriteResult:
        """Write one key, subject to the next fault."""
        transaction = store.Transaction(
            {key: expected}, (store.Write(key, value, lease),)
        )
        return store.to_write_result(key, await self.commit(transaction))

    async def delete(
        self, key: str, expected: ids.Revision
    ) -> store.WriteResult:
        """Delete one key; no fault applies."""
        transaction = store.Transaction({key: expected}, deletes=(key,))
        return store.to_write_result(key, self.state.commit(transaction))

    async def end_lease(
        self, lease: str
    ) -> Result[None, errors.StoreUnavailable]:
        """End a lease and delete its keys."""
        self.state.end(lease)
        return Ok(None)

    async def grant_lease(
        self, ttl_ms: int
    ) -> Result[str, errors.StoreUnavailable]:
        """Create a lease, which does not expire by itself."""
        return Ok(self.state.grant(ttl_ms, 0.0))

    async def renew_lease(
        self, lease: str
    ) -> Result[bool, errors.StoreUnavailable]:
        """Renew a lease; returns False if it does not exist."""
        return Ok(self.state.renew(lease, 0.0))

    async def watch(
        self, prefix: str, after: ids.Revision, wait_ms: int
    ) -> store.ReadResult:
        """Return the changes after a revision without waiting for more."""
        await asyncio.sleep(0)
        return Ok(self.state.changes(prefix, after))

    async def _next_fault(self) -> Fault:
        await asyncio.sleep(0)
        return self.faults.pop(0) if self.faults else Fault.NONE


def machine(
    name: str,
    vm: str,
    pool: str = "renders",
    state: machines.MachineState = machines.MachineState.UP,
) -> machines.Machine:
    """Return a machine as the platform lists it.

    Args:
        name: Id of the machine.
        vm: Id of its VM.
        pool: Id of its pool.
        state: State of the machine.
    """
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
    """Machine service that lists fixed machines and refuses all commands.

    Args:
        vm_by_machine: Id of the VM on each machine, by machine id.
    """

    def __init__(self, vm_by_machine: dict[str, str]) -> None:
        self._vm_by_machine = vm_by_machine

    async def list(
        self,
    ) -> Result[list[machines.Machine], errors.PlatformUnavailable]:
        """List all machines."""
        return Ok([machine(*row) for row in self._vm_by_machine.items()])

    async def move(
        self,
        machine: ids.MachineId,
        pool: ids.PoolId,
        epoch: int,
        may_send: machines.MaySend,
    ) -> machines.MachineOutcome:
        """Refuse the move."""
        return machines.MachineOutcome.REFUSED

    async def maintain(
        self,
        machine: ids.MachineId,
        wave: ids.WaveId,
        epoch: int,
        may_send: machines.MaySend,
    ) -> machines.MachineOutcome:
        """Refuse the maintenance."""
        return machines.MachineOutcome.REFUSED
