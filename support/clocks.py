"""Clocks for tests and measurements."""


class FakeClock:
    """A clock that moves only when told to; for tests and measurements."""

    def __init__(self, now_ms: int = 1_000_000) -> None:
        self.now_ms = now_ms

    def monotonic_ms(self) -> int:
        """Return the set time."""
        return self.now_ms

    def wall_ms(self) -> int:
        """Return the set time."""
        return self.now_ms

    def advance(self, delta_ms: int) -> None:
        """Move time forward.

        Args:
            delta_ms: How far, in milliseconds.
        """
        self.now_ms += delta_ms
