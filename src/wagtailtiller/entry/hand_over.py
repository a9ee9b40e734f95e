"""Hands a shard over within a limited time."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import enum
from typing import Any

from wagtailtiller import tasks

# A stop writes what has changed and the list of members: three calls to the
# store.
_STOP_LIMIT_S = 1.0
# Nobody serves the shard meanwhile. The next owner could take it over 2 s after
# the end of the lease at the latest.
_RELEASE_LIMIT_S = 0.5

Stop = Callable[[], Coroutine[Any, Any, None]]


class Outcome(enum.Enum):
    """How a hand-over ended.

    Attributes:
        COMPLETED: The shard is released, and its service has stopped.
        STOP_UNFINISHED: The shard is released. Its service has begun to stop,
            so that it commands nothing, but had not ended in time.
        NOT_RELEASED: The shard is not known to be released.
    """

    COMPLETED = "completed"
    STOP_UNFINISHED = "stop_unfinished"
    NOT_RELEASED = "not_released"


async def run(
    stop: Stop | None,
    release: Callable[[], Awaitable[bool]],
    background: tasks.TaskGroup,
) -> Outcome:
    """Stop the service of a shard, then release the shard.

    A step that does not end in time goes on in the background. It is not
    cancelled, because a half-finished stop would keep its connections, and an
    unfinished release may still succeed.

    Args:
        stop: Stops the service, which commands nothing from its first step on;
            None if there is none.
        release: Releases the shard and returns whether that is certain.
        background: Runs both steps.

    Returns:
        How the hand-over ended.
    """
    stopped = stop is None or await _run_limited(
        stop, _STOP_LIMIT_S, background
    )
    released: list[bool] = []

    async def run_release() -> None:
        released.append(await release())

    await _run_limited(run_release, _RELEASE_LIMIT_S, background)
    if not any(released):
        return Outcome.NOT_RELEASED
    return Outcome.COMPLETED if stopped else Outcome.STOP_UNFINISHED


async def _run_limited(
    step: Stop, limit_s: float, background: tasks.TaskGroup
) -> bool:
    """Run a step in the background; return whether it ended in time."""
    done, _ = await asyncio.wait({background.spawn(step())}, timeout=limit_s)
    return bool(done)
