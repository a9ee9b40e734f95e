"""Clocks, passed as arguments so that tests and simulations control time."""

import time
from typing import Protocol


class Clock(Protocol):
    """Interface of the clocks that the package uses."""

    def monotonic_ms(self) -> int:
        """Return the time in ms on a steady clock that counts suspends."""

    def wall_ms(self) -> int:
        """Return the time in milliseconds since the Unix epoch."""


class SystemClock:
    """Clocks of the operating system."""

    def monotonic_ms(self) -> int:
        """Return CLOCK_BOOTTIME in ms, so that leases expire during suspend."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Return the wall-clock time in milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000
