"""Simulated key-value service and its clients, in virtual time."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
from typing import Any
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result

from support.sim import loop as loop_module
from support.sim import nodes
from support.standins import store as standin
from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.ports import store

_T = TypeVar("_T")
_ONE_WAY_DELAY_MS = 2.0
_CALL_TIMEOUT_MS = 700
_EXPIRY_CHECK_S = 0.1
_LATE_DELAY_MS = (1_000, 6_000)
_HELD_CALL_CHECK_S = 0.01
# Time from the end of a partition to the next transmission on a connection.
_HELD_CALL_DELAY_S = (0.0, 1.0)


@dataclasses.dataclass
class StoreFaults:
    """Faults of the service that are in effect.

    Attributes:
        down: Whether the service does not answer.
        partitioned: Processes, or names of their nodes, that cannot reach the
            service.
        holds_calls: Whether requests and answers of partitioned processes
            arrive after the partition; otherwise they are lost.
        slow_ms: Additional duration of each call.
        lost_answer_share: Share of calls whose answers are lost.
        late_share: Share of transactions that are applied late.
    """

    down: bool = False
    partitioned: set[str] = dataclasses.field(default_factory=set)
    holds_calls: bool = False
    slow_ms: float = 0.0
    lost_answer_share: float = 0.0
    late_share: float = 0.0


class StoreService:
    """Key-value service.

    Args:
        rng: Random source that decides which calls fail or are delayed.
        on_commit: Called with each transaction that has been applied.

    Attributes:
        state: Keys, leases and history of the service.
        faults: Faults that are in effect.
        calls: Number of calls so far.
        renewals: Number of renewed leases by process.
    """

    def __init__(
        self,
        rng: random.Random,
        on_commit: Callable[[store.Transaction], None],
    ) -> None:
        self.state = standin.StoreState()
        self.faults = StoreFaults()
        self.calls = 0
        self.renewals: collections.Counter[str] = collections.Counter()
        self._leases: dict[str, set[str]] = collections.defaultdict(set)
        self._rng = rng
        self._on_commit = on_commit

    async def run(self) -> None:
        """Expire leases at regular intervals unless the service is down."""
        while True:
            await asyncio.sleep(_EXPIRY_CHECK_S)
            if not self.faults.down:
                self.state.expire(asyncio.get_running_loop().time())

    def commit(self, transaction: store.Transaction) -> store.CommitResult:
        """Apply a transaction if its preconditions hold."""
        answer = self.state.commit(transaction)
        if answer.is_ok():
            self._on_commit(transaction)
        return answer

    def grant(self, process: str, ttl_ms: int) -> str:
        """Create a lease of a process and return its identifier."""
        lease = self.state.grant(ttl_ms, _now_s())
        self._leases[process].add(lease)
        return lease

    def renew(self, process: str, lease: str) -> bool:
        """Renew a lease; the result is False if it no longer exists."""
        renewed = self.state.renew(lease, _now_s())
        self.renewals[process] += renewed
        return renewed

    def revoke(self, process: str) -> None:
        """End all leases of a process and delete their keys."""
        for lease in self._leases.pop(process, ()):
            self.state.end(lease)

    async def serve(
        self, process: str, operation: Callable[[], Awaitable[_T]], writes: bool
    ) -> _T:
        """Execute one call; never return if the call or its answer is lost.

        Args:
            process: Process that makes the call.
            operation: Operation on the state of the service.
            writes: Whether the call is a transaction; only transactions may be
                applied late.
        """
        self.calls += 1
        faults = self.faults
        await asyncio.sleep((_ONE_WAY_DELAY_MS + faults.slow_ms) / 1_000)
        if writes and self._rng.random() < faults.late_share:
            await asyncio.sleep(self._rng.uniform(*_LATE_DELAY_MS) / 1_000)
        if faults.down:
            await loop_module.wait_forever()
        await self._cross_partition(process)
        answer = await operation()
        await asyncio.sleep(_ONE_WAY_DELAY_MS / 1_000)
        lost = self._rng.random() < faults.lost_answer_share
        if lost or faults.down:
            await loop_module.wait_forever()
        await self._cross_partition(process)
        return answer

    async def _cross_partition(self, process: str) -> None:
        """Hold a request or an answer up during a partition, or lose it."""
        faults = self.faults
        while nodes.is_partitioned(process, faults.partitioned):
            if not faults.holds_calls:
                await loop_module.wait_forever()
            await asyncio.sleep(_HELD_CALL_CHECK_S)
            if not nodes.is_partitioned(process, faults.partitioned):
                await asyncio.sleep(self._rng.uniform(*_HELD_CALL_DELAY_S))


class SimStore:
    """Client of the service in one process.

    Args:
        store_service: Service to call.
        process: Process that owns the client.
    """

    def __init__(self, store_service: StoreService, process: str) -> None:
        self._store_service = store_service
        self._process = process

    async def read(self, prefix: str) -> store.ReadResult:
        """Read all keys under a prefix."""
        return _read(
            await self._call(lambda: self._store_service.state.read(prefix))
        )

    async def read_key(
        self, key: str
    ) -> Result[store.Item | None, errors.StoreUnavailable]:
        """Read one key."""
        answer = await self._call(lambda: self._store_service.state.item(key))
        if answer is None:
            return _unavailable()
        return Ok(answer if answer.value is not None else None)

    async def commit(
        self, transaction: store.Transaction
    ) -> store.CommitResult:
        """Apply a transaction if its preconditions hold."""
        answer = await self._call(
            lambda: self._store_service.commit(transaction), writes=True
        )
        return _unavailable() if answer is None else answer

    async def write(
        self, key: str, value: bytes, expected: ids.Revision, lease: str = ""
    ) -> store.WriteResult:
        """Write a key if it has the expected revision."""
        transaction = store.Transaction(
            {key: expected}, (store.Write(key, value, lease),)
        )
        return store.to_write_result(key, await self.commit(transaction))

    async def delete(
        self, key: str, expected: ids.Revision
    ) -> store.WriteResult:
        """Delete a key if it has the expected revision."""
        transaction = store.Transaction({key: expected}, deletes=(key,))
        return store.to_write_result(key, await self.commit(transaction))

    async def grant_lease(
        self, ttl_ms: int
    ) -> Result[str, errors.StoreUnavailable]:
        """Create a lease and return its identifier."""
        answer = await self._call(
            lambda: self._store_service.grant(self._process, ttl_ms)
        )
        return _unavailable() if answer is None else Ok(answer)

    async def renew_lease(
        self, lease: str
    ) -> Result[bool, errors.StoreUnavailable]:
        """Renew a lease; the result is False if it no longer exists."""
        answer = await self._call(
            lambda: self._store_service.renew(self._process, lease)
        )
        return _unavailable() if answer is None else Ok(answer)

    async def end_lease(
        self, lease: str
    ) -> Result[None, errors.StoreUnavailable]:
        """End a lease and delete its keys."""
        await self._call(lambda: self._store_service.state.end(lease))
        return Ok(None)

    async def watch(
        self, prefix: str, after: ids.Revision, wait_ms: int
    ) -> store.ReadResult:
        """Wait for changes of the keys under a prefix.

        Args:
            prefix: Prefix of the keys.
            after: Revision after which changes are reported.
            wait_ms: Longest time to wait for a change.
        """
        call = self._store_service.serve(
            self._process,
            lambda: self._changes(prefix, after, wait_ms),
            writes=False,
        )
        return _read(
            await loop_module.call_remote(call, wait_ms + _CALL_TIMEOUT_MS)
        )

    async def _changes(
        self, prefix: str, after: ids.Revision, wait_ms: int
    ) -> store.Snapshot:
        deadline_s = _now_s() + wait_ms / 1_000
        while True:
            snapshot = self._store_service.state.changes(prefix, after)
            remaining_s = deadline_s - _now_s()
            if snapshot.items or remaining_s <= 0:
                return snapshot
            changed = asyncio.ensure_future(
                self._store_service.state.changed.wait()
            )
            await asyncio.wait({changed}, timeout=remaining_s)
            changed.cancel()

    async def _call(
        self, operation: Callable[[], _T], writes: bool = False
    ) -> _T | None:
        async def run_operation() -> _T:
            return operation()

        call = self._store_service.serve(self._process, run_operation, writes)
        return await loop_module.call_remote(call, _CALL_TIMEOUT_MS)


def _read(answer: store.Snapshot | None) -> store.ReadResult:
    return _unavailable() if answer is None else Ok(answer)


def _unavailable() -> Any:
    return Error(errors.StoreUnavailable("no answer in time"))


def _now_s() -> float:
    return asyncio.get_running_loop().time()
