"""Cancellation and grouping of background tasks."""

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterable
from typing import Any

from wagtailtiller import runtime

_CANCEL_RETRY_S = 0.05


async def cancel_and_wait(tasks: Iterable["asyncio.Task[None]"]) -> None:
    """Cancel tasks repeatedly until all have ended.

    One cancellation may not be enough: a library's timeout that expires at the
    same time can swallow it.

    Args:
        tasks: Tasks to cancel; their results and errors are ignored.
    """
    pending_tasks = set(tasks)
    while pending_tasks:
        for task in pending_tasks:
            task.cancel()
        _, pending_tasks = await asyncio.wait(
            pending_tasks, timeout=_CANCEL_RETRY_S
        )


class TaskGroup:
    """Background tasks of one object, which are cancelled together.

    The group holds references to its tasks, so that they are not garbage
    collected while they run. A task that fails stops the process, because its
    state can no longer be trusted.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, main: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        """Start a task in the group.

        Args:
            main: Coroutine to run.

        Returns:
            The task.
        """
        task = runtime.spawn(main)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        await cancel_and_wait(self._tasks)
