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
from wagtailtiller.ports import store


class Fault(enum.Enum):
    """What happens to one call."""

    NONE = "none"
    BEFORE = "before"
    AFTER = "after"
    REPEATED = "repeated"


class FakeStore:
    """A store in memory whose every call may fail as the test says.

    Each call lets other tasks run first, so that writers race.
    """

    def __init__(self, faults: Iterable[Fault] = ()) -> None:
        self.state = standin.StoreState()
        self.faults = list(faults)
        self.writes = 0

    async def read(self, prefix: str) -> store.ReadAnswer:
        """Read all keys under a prefix."""
        if await self._fault() in (Fault.BEFORE, Fault.AFTER):
            return Error(errors.StoreUnavailable("fault"))
        return Ok(self.state.read(prefix))

    async def write(
        self,
        key: str,
        value: bytes,
        expected: ids.Revision,
        lease: str = "",
    ) -> store.WriteAnswer:
        """Write a key, with the next fault."""
        fault = await self._fault()
        if fault is Fault.BEFORE:
            return Error(errors.StoreUnavailable("fault"))
        self.writes += 1
        done = self.state.write(key, value, expected, lease)
        if fault is Fault.REPEATED:
            done = self.state.write(key, value, expected, lease)
        if fault is Fault.AFTER:
            return Error(errors.StoreUnavailable("answer lost"))
        return _written(done)

    async def delete(
        self, key: str, expected: ids.Revision
    ) -> store.WriteAnswer:
        """Delete a key."""
        return _written(self.state.delete(key, expected))

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
    ) -> store.ReadAnswer:
        """Return the changes so far."""
        await asyncio.sleep(0)
        return Ok(self.state.changes(prefix, after))

    async def _fault(self) -> Fault:
        await asyncio.sleep(0)
        return self.faults.pop(0) if self.faults else Fault.NONE


def _written(done: store.Item | int) -> store.WriteAnswer:
    if isinstance(done, store.Item):
        return Error(errors.Conflict(done.key, done.value, done.revision))
    return Ok(ids.Revision(done))
