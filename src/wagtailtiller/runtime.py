"""The one place that creates an event loop.

libuv may open an io_uring descriptor when a loop is made, so the switch that
prevents it is set here, before uvloop is imported, and the result is checked.
"""

import asyncio
from collections.abc import Coroutine
import os
from typing import Any

os.environ["UV_USE_IO_URING"] = "0"

import uvloop  # noqa: E402

from wagtailtiller import errors  # noqa: E402

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
