"""Creates the event loop of a process and runs its main task.

libuv may open an io_uring descriptor when it creates a loop. The environment
variable that prevents this is set here, before uvloop is imported, and the
result is checked. All event loops must therefore be created by this module.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import os
import signal
from typing import Any

os.environ["UV_USE_IO_URING"] = "0"

import aiomisc  # noqa: E402
import uvloop  # noqa: E402

from wagtailtiller import errors  # noqa: E402
from wagtailtiller import events  # noqa: E402

_EXIT_FAILED = 1
_MAX_SHUTDOWN_S = 86_400.0
_FD_DIRECTORY = "/proc/self/fd"


def open_io_urings() -> list[str]:
    """Return the link targets of this process's io_uring descriptors."""
    targets = []
    for name in os.listdir(_FD_DIRECTORY):
        try:
            target = os.readlink(f"{_FD_DIRECTORY}/{name}")
        except OSError:
            continue
        if "io_uring" in target:
            targets.append(target)
    return targets


def run(main: Coroutine[Any, Any, int]) -> int:
    """Run a coroutine on a new uvloop event loop.

    Args:
        main: Main coroutine of the program; it returns the exit code.

    Returns:
        The exit code.

    Raises:
        InvariantError: The loop opened an io_uring descriptor.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.get_loop()
        if open_io_urings():
            main.close()
            raise errors.InvariantError(
                "the event loop opened an io_uring descriptor"
            )
        return runner.run(main)


def serve(
    service: aiomisc.Service, reload: Callable[[], None] | None = None
) -> int:
    """Run a service until SIGTERM or SIGINT, then stop it gracefully.

    Args:
        service: Service to run; its ``stop`` may wait for requests in flight.
        reload: Called at SIGHUP; None leaves the handling of SIGHUP unchanged.

    Returns:
        The exit code: 0, or 1 if a background task failed.
    """
    return run(_serve(service, reload))


async def _serve(
    service: aiomisc.Service, reload: Callable[[], None] | None
) -> int:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
    # The signal handling of aiomisc would cancel requests in flight.
    async with aiomisc.entrypoint(
        service,
        log_config=False,
        catch_signals=(),
        shutdown_timeout=_MAX_SHUTDOWN_S,
    ):
        await stop_requested.wait()
    events.stop_logging()
    return _EXIT_FAILED if _TaskFailures.occurred else 0


class _TaskFailures:
    occurred = False


def spawn(main: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
    """Start a background task.

    If the task fails, the process shuts down gracefully with exit code 1: its
    state can no longer be trusted, and another process takes over. A task that
    ends as cancelled although nobody has cancelled it has failed.

    Args:
        main: Coroutine to run.

    Returns:
        The task.
    """
    task = asyncio.get_running_loop().create_task(main)
    task.add_done_callback(_on_task_done)
    return task


def _on_task_done(task: "asyncio.Task[None]") -> None:
    error: BaseException | None
    if task.cancelled():
        # Without a request to cancel the task, something that it awaited was
        # cancelled.
        error = None if task.cancelling() else asyncio.CancelledError()
    else:
        error = task.exception()
    if error is None:
        return
    events.emit(events.Event.TASK_FAILED, reason=repr(error))
    _TaskFailures.occurred = True
    signal.raise_signal(signal.SIGTERM)
