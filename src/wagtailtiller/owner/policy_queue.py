"""Queue of queries to the placement policy, which handles one at a time."""

import asyncio
from collections.abc import Callable

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller.ports import policy
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import pool as pool_module


class PolicyQueue:
    """Sends the policy queries of one pool one after another.

    Args:
        placement_policy: Client of the placement policy service.
        pool: Pool that receives the tickets.
        clock: Clock that supplies the current time.
        on_answer: Called after each query, also after a failed one.
    """

    def __init__(
        self,
        placement_policy: policy.Policy,
        pool: pool_module.Pool,
        clock: clock_module.Clock,
        on_answer: Callable[[], None],
    ) -> None:
        self._policy = placement_policy
        self._pool = pool
        self._clock = clock
        self._on_answer = on_answer
        self._queries: asyncio.Queue[commands.PolicyQuery] = asyncio.Queue()

    def put(self, query: commands.PolicyQuery) -> None:
        """Append a query to the queue."""
        self._queries.put_nowait(query)

    async def run(self) -> None:
        """Send queued queries until cancelled."""
        while True:
            query = await self._queries.get()
            sent_ms = self._clock.monotonic_ms()
            result = await self._policy.request_permissions(
                query.task, query.vms, query.timeout_ms
            )
            now_ms = self._clock.monotonic_ms()
            allowed = 0
            if result.is_ok():
                permissions = result.ok
                allowed = len(permissions.tickets)
                self._pool.tickets.record_answer(
                    query.task,
                    query.vms,
                    permissions.tickets,
                    now_ms + permissions.valid_ms,
                )
            else:
                self._pool.tickets.record_query_failure(query.task)
            events.emit(
                events.Event.POLICY_ASKED,
                job=query.task.job,
                task=query.task[1:],
                vms=len(query.vms),
                allowed=allowed,
                outcome="answered" if result.is_ok() else str(result.error),
                took_ms=now_ms - sent_ms,
            )
            self._on_answer()
