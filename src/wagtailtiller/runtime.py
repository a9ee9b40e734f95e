"""The one place that creates an event loop.

libuv may open an io_uring descriptor when a loop is made, so the switch that
prevents it is set here, before uvloop is imported, and the result is checked.
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
_LONGEST_STOP_S = 86_400.0
_FD_DIRECTORY = "/proc/self/fd"


def open_io_urings() -> list[str]:
    """Return the descriptors of this process that are io_uring instances."""
    found = []
    for name in os.listdir(_FD_DIRECTORY):
        try:
            target = os.readlink(f"{_FD_DIRECTORY}/{name}")
        except OSError:
            continue
        if "io_uring" in target:
            found.append(target)
    return found


def run(main: Coroutine[Any, Any, int]) -> int:
    """Run a coroutine on a fresh uvloop and return its exit code.

    Args:
        main: The program.

    Returns:
        What the program returned.

    Raises:
        InvariantError: The loop opened an io_uring descriptor.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.get_loop()
        if open_io_urings():
            main.close()
            raise errors.InvariantError("the event loop opened an io_uring")
        return runner.run(main)


def serve(
    service: aiomisc.Service, reload: Callable[[], None] | None = None
) -> int:
    """Run a service until SIGTERM or SIGINT, then stop it gracefully.

    Args:
        service: Its ``stop`` may take as long as requests in flight need.
        reload: Called at SIGHUP; None leaves that signal alone.

    Returns:
        The exit code.
    """
    return run(_serve(service, reload))


async def _serve(
    service: aiomisc.Service, reload: Callable[[], None] | None
) -> int:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
    # The library's own handling of signals cancels what is in flight.
    async with aiomisc.entrypoint(
        service,
        log_config=False,
        catch_signals=(),
        shutdown_timeout=_LONGEST_STOP_S,
    ):
        await stopping.wait()
    events.stop_logging()
    return _EXIT_FAILED if _Failures.seen else 0


class _Failures:
    seen = False


def spawn(main: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
    """Start a task that should never end by itself.

    If it fails, the process stops gracefully with exit code 1: its state can
    no longer be trusted, and another process takes over.
    """
    task = asyncio.get_running_loop().create_task(main)
    task.add_done_callback(_check)
    return task


def _check(task: "asyncio.Task[None]") -> None:
    if task.cancelled() or task.exception() is None:
        return
    events.emit(events.Event.TASK_FAILED, reason=repr(task.exception()))
    _Failures.seen = True
    signal.raise_signal(signal.SIGTERM)
