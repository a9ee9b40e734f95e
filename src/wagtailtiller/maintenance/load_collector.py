"""Asks the owners of pools for their loads, without waiting for slow ones."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

from wagtailtiller import ids
from wagtailtiller import tasks
from wagtailtiller.owner import messages

# A cycle of the machine manager waits at most this long for owners. One that is
# slow or cut off must not delay the moves of the other pools.
_WAIT_MS = 120

AskOwner = Callable[
    [ids.PoolId, messages.PoolRequest], Awaitable[messages.Answer | None]
]


class LoadCollector:
    """Collects the loads of pools; each owner has one open request at most.

    Args:
        ask_owner: Sends a request to the owner of a pool and returns the
            answer, or None if none came.
    """

    def __init__(self, ask_owner: AskOwner) -> None:
        self._ask_owner = ask_owner
        self._requests = tasks.TaskGroup()
        self._open: dict[ids.PoolId, asyncio.Task[None]] = {}
        self._loads: dict[ids.PoolId, messages.Load] = {}

    async def collect(
        self, pools: Iterable[ids.PoolId], spare_millicores: int
    ) -> dict[ids.PoolId, messages.Load]:
        """Ask the owners that have answered, and return what has arrived.

        Args:
            pools: Pools whose loads are wanted.
            spare_millicores: Processor capacity that could be added to a pool,
                in thousandths of a core.

        Returns:
            The loads by pool. The load of a slow owner is returned by a later
            call.
        """
        for pool in pools:
            if pool not in self._open:
                request = messages.AskLoad(pool, spare_millicores)
                self._open[pool] = self._requests.spawn(self._ask(request))
        if self._open:
            await asyncio.wait(self._open.values(), timeout=_WAIT_MS / 1_000)
        loads, self._loads = self._loads, {}
        return loads

    async def cancel(self) -> None:
        """Cancel the open requests."""
        await self._requests.cancel()

    async def _ask(self, request: messages.AskLoad) -> None:
        try:
            answer = await self._ask_owner(request.pool, request)
            if isinstance(answer, messages.Load):
                self._loads[request.pool] = answer
        finally:
            del self._open[request.pool]
