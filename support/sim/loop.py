"""Event loop in virtual time with simulated processes.

Each callback belongs to the process that is named in its context. Callbacks
of a paused process are held until the process is resumed; a process that is
never resumed counts as killed.
"""

import asyncio
from collections.abc import Coroutine
import contextlib
import contextvars
import heapq
import selectors
from typing import Any
from typing import NoReturn
from typing import TypeVar

from wagtailtiller import clock as clock_module

_T = TypeVar("_T")
_PROCESS: contextvars.ContextVar[str] = contextvars.ContextVar(
    "process", default=""
)
_START_S = 1_000.0
_WALL_START_MS = 1_700_000_000_000
# Each iteration takes some time, so that a busy loop cannot stop the clock.
_ITERATION_S = 1e-6


class _Selector(selectors.DefaultSelector):  # type: ignore[misc, valid-type]
    """Selector that advances the virtual time instead of waiting."""

    loop: "VirtualLoop"

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return the ready events, or advance the time by the timeout.

        Args:
            timeout: Seconds until the next timer; None if there is none.

        Raises:
            RuntimeError: There is neither a ready event nor a timer.
        """
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError("no timer or event is left to wait for")
        self.loop.advance(timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time.

    It changes the private queues of asyncio's base event loop in order to hold
    the callbacks of paused processes.
    """

    _ready: Any
    _scheduled: list[asyncio.TimerHandle]

    def __init__(self) -> None:
        self._now_s = _START_S
        self._paused: dict[str, list[asyncio.Handle]] = {}
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now_s

    def advance(self, delay_s: float) -> None:
        """Advance the virtual time."""
        self._now_s += delay_s

    def pause(self, process: str) -> None:
        """Hold all callbacks of a process."""
        self._paused[process] = [
            handle
            for handle in self._scheduled
            if _process_of(handle) == process
        ]
        self._scheduled = [
            handle
            for handle in self._scheduled
            if _process_of(handle) != process
        ]
        heapq.heapify(self._scheduled)

    def resume(self, process: str) -> None:
        """Run the held callbacks of a process; expired timers run at once."""
        for handle in self._paused.pop(process, []):
            if (
                isinstance(handle, asyncio.TimerHandle)
                and handle.when() > self._now_s
            ):
                heapq.heappush(self._scheduled, handle)
            else:
                self._ready.append(handle)

    def _run_once(self) -> None:
        self._now_s += _ITERATION_S
        if self._paused:
            self._hold_paused_callbacks()
        super()._run_once()  # type: ignore[misc]

    def _hold_paused_callbacks(self) -> None:
        for _ in range(len(self._ready)):
            handle = self._ready.popleft()
            held = self._paused.get(_process_of(handle))
            if held is None:
                self._ready.append(handle)
            else:
                held.append(handle)


class VirtualClock:
    """Clocks of one process, based on the virtual time of a loop.

    Attributes:
        wall_offset_ms: Offset that is added to the wall clock.
    """

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop
        self.wall_offset_ms = 0

    def monotonic_ms(self) -> int:
        """Return the virtual time in milliseconds."""
        return int(self._loop.time() * 1_000)

    def wall_ms(self) -> int:
        """Return the virtual wall-clock time in ms since the Unix epoch."""
        return self.monotonic_ms() + _WALL_START_MS + self.wall_offset_ms


class InstanceClock:
    """Steady clock of a VM instance, which begins anew with it.

    Args:
        clock: Clock of the platform.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # A reading of 0 would mean that none is known.
        self._started_ms = clock.monotonic_ms() - 1

    def monotonic_ms(self) -> int:
        """Return the time since the start of the instance in ms."""
        return self._clock.monotonic_ms() - self._started_ms

    def wall_ms(self) -> int:
        """Return the wall-clock time in ms since the Unix epoch."""
        return self._clock.wall_ms()


def run(main: Coroutine[Any, Any, _T]) -> _T:
    """Run a coroutine in virtual time.

    Tasks that are still pending at its end are dropped.
    """
    loop = VirtualLoop()
    loop.set_task_factory(_make_task)
    try:
        return loop.run_until_complete(main)
    finally:
        _close_pending(loop)
        loop.close()


def _close_pending(loop: asyncio.AbstractEventLoop) -> None:
    """Close the coroutines that are left.

    Otherwise the garbage collector does so later, in the midst of other code.
    """
    for task in asyncio.all_tasks(loop):
        coroutine = task.get_coro()
        # Some wait once more when they are closed.
        with contextlib.suppress(RuntimeError):
            coroutine.close()  # type: ignore[union-attr]


def context(process: str) -> contextvars.Context:
    """Return a new context whose callbacks belong to a process."""
    new_context = contextvars.Context()
    new_context.run(_PROCESS.set, process)
    return new_context


def spawn(
    coroutine: Coroutine[Any, Any, _T], process: str = ""
) -> "asyncio.Task[_T]":
    """Start a task of a process; the empty name stands for the platform."""
    loop = asyncio.get_running_loop()
    return loop.create_task(coroutine, context=context(process))


async def call_remote(
    coroutine: Coroutine[Any, Any, _T], timeout_ms: float, process: str = ""
) -> _T | None:
    """Run a coroutine in another process and wait for its result.

    The coroutine goes on after the timeout, as a remote call does.

    Args:
        coroutine: Coroutine to run.
        timeout_ms: Time to wait for the result.
        process: Process that runs it; empty for the platform.

    Returns:
        The result, or None after the timeout.
    """
    task = spawn(coroutine, process)
    done, _ = await asyncio.wait({task}, timeout=timeout_ms / 1_000)
    return task.result() if done else None


def _make_task(
    loop: asyncio.AbstractEventLoop, coroutine: Any, **options: Any
) -> "asyncio.Task[Any]":
    task: asyncio.Task[Any] = asyncio.Task(coroutine, loop=loop, **options)
    # Killed processes and unanswered calls leave pending tasks behind, which
    # are expected.
    task._log_destroy_pending = False  # type: ignore[attr-defined]
    return task


async def wait_forever() -> NoReturn:
    """Wait forever, as a caller does if its answer is lost."""
    await asyncio.get_running_loop().create_future()
    raise AssertionError("the future has been completed unexpectedly")


def _process_of(handle: asyncio.Handle) -> str:
    return handle._context.get(_PROCESS, "")  # type: ignore[attr-defined]
