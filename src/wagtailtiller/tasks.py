"""Background tasks that belong to one object and end with it."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from wagtailtiller import runtime


class TaskGroup:
    """Keeps tasks alive until they end or the group is cancelled.

    A task that fails stops the process, as its state can't be trusted.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, main: Coroutine[Any, Any, None]) -> None:
        """Start a task."""
        task = runtime.spawn(main)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
