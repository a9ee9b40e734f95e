"""An event loop in virtual time whose processes can be paused and killed.

Every callback belongs to the process whose context it carries; callbacks of a
paused process wait until it goes on, those of a killed one never run.
"""

import asyncio
from collections.abc import Coroutine
import contextvars
import heapq
import selectors
from typing import Any
from typing import NoReturn
from typing import TypeVar

_T = TypeVar("_T")
_PROCESS: contextvars.ContextVar[str] = contextvars.ContextVar(
    "process", default=""
)
_START_S = 1_000.0
_WALL_OFFSET_MS = 1_700_000_000_000
# Every turn of the loop takes some time, so that no loop can stop the day.
_TURN_S = 1e-6


class _Selector(selectors.DefaultSelector):  # type: ignore[misc, valid-type]
    """Lets time pass instead of waiting."""

    loop: "VirtualLoop"

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return what is ready; skip the time until the next timer."""
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError("nothing left to wait for")
        self.loop.skip(timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """The loop; its private queues are those of asyncio's own loops."""

    _ready: Any
    _scheduled: list[asyncio.TimerHandle]

    def __init__(self) -> None:
        self._now_s = _START_S
        self._paused: dict[str, list[asyncio.Handle]] = {}
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time."""
        return self._now_s

    def skip(self, delay_s: float) -> None:
        """Let time pass."""
        self._now_s += delay_s

    def pause(self, process: str) -> None:
        """Let nothing of a process run."""
        self._paused[process] = [
            handle for handle in self._scheduled if _owner(handle) == process
        ]
        self._scheduled = [
            handle for handle in self._scheduled if _owner(handle) != process
        ]
        heapq.heapify(self._scheduled)

    def resume(self, process: str) -> None:
        """Let a process go on."""
        for handle in self._paused.pop(process, []):
            if (
                isinstance(handle, asyncio.TimerHandle)
                and handle.when() > self._now_s
            ):
                heapq.heappush(self._scheduled, handle)
            else:
                self._ready.append(handle)

    def _run_once(self) -> None:
        self._now_s += _TURN_S
        if self._paused:
            self._park()
        super()._run_once()  # type: ignore[misc]

    def _park(self) -> None:
        for _ in range(len(self._ready)):
            handle = self._ready.popleft()
            parked = self._paused.get(_owner(handle))
            if parked is None:
                self._ready.append(handle)
            else:
                parked.append(handle)


class VirtualClock:
    """A process's clocks on the loop's time.

    Attributes:
        step_ms: How far its wall clock has been moved.
    """

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop
        self.step_ms = 0

    def monotonic_ms(self) -> int:
        """Return the loop's time."""
        return int(self._loop.time() * 1_000)

    def wall_ms(self) -> int:
        """Return the loop's time since the Unix epoch."""
        return self.monotonic_ms() + _WALL_OFFSET_MS + self.step_ms


def run(main: Coroutine[Any, Any, _T]) -> _T:
    """Run a program in virtual time; what is left at its end is dropped."""
    loop = VirtualLoop()
    loop.set_task_factory(_make_task)
    try:
        return loop.run_until_complete(main)
    finally:
        loop.close()


def context(process: str) -> contextvars.Context:
    """Return a context in which everything belongs to a process."""
    made = contextvars.Context()
    made.run(_PROCESS.set, process)
    return made


def spawn(
    main: Coroutine[Any, Any, _T], process: str = ""
) -> "asyncio.Task[_T]":
    """Run something as a process; without a name, as the platform."""
    loop = asyncio.get_running_loop()
    return loop.create_task(main, context=context(process))


async def remote(
    main: Coroutine[Any, Any, _T], timeout_ms: float, process: str = ""
) -> _T | None:
    """Wait for what runs elsewhere; it goes on when nobody waits.

    Args:
        main: What runs elsewhere.
        timeout_ms: How long to wait; None is returned after it.
        process: Where it runs; empty for the platform.
    """
    task = spawn(main, process)
    done, _ = await asyncio.wait({task}, timeout=timeout_ms / 1_000)
    return task.result() if done else None


def _make_task(
    loop: asyncio.AbstractEventLoop, main: Any, **options: Any
) -> "asyncio.Task[Any]":
    task: asyncio.Task[Any] = asyncio.Task(main, loop=loop, **options)
    # Killed processes and calls that are never answered leave tasks behind.
    task._log_destroy_pending = False  # type: ignore[attr-defined]
    return task


async def never() -> NoReturn:
    """Wait for what does not come."""
    await asyncio.get_running_loop().create_future()
    raise AssertionError("a future without an owner is done")


def _owner(handle: asyncio.Handle) -> str:
    return handle._context.get(_PROCESS, "")  # type: ignore[attr-defined]
