"""Time sources, passed in so that decisions never read a clock themselves."""

import time
from typing import Protocol


class Clock(Protocol):
    """What the rest of the package may ask of time."""

    def monotonic_ms(self) -> int:
        """Milliseconds on a clock that also advances during suspend."""

    def wall_ms(self) -> int:
        """Milliseconds since the Unix epoch."""


class SystemClock:
    """The machine's clocks."""

    def monotonic_ms(self) -> int:
        """Read CLOCK_BOOTTIME, so that a suspended VM sees its leases lapse."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Read the wall clock."""
        return time.time_ns() // 1_000_000
