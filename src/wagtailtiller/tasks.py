"""Background tasks that belong to one object and end with it."""

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterable
from typing import Any

from wagtailtiller import runtime

_AGAIN_S = 0.05


async def end(tasks: Iterable["asyncio.Task[None]"]) -> None:
    """Cancel tasks until they have ended.

    A library's timeout that meets a cancellation swallows it, so one may not
    be enough.

    Args:
        tasks: What is to end; how each ends does not matter.
    """
    open_tasks = set(tasks)
    while open_tasks:
        for task in open_tasks:
            task.cancel()
        _, open_tasks = await asyncio.wait(open_tasks, timeout=_AGAIN_S)


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
        await end(self._tasks)
