"""Clock for tests and measurements."""


class FakeClock:
    """Clock that advances only when ``advance`` is called.

    Args:
        now_ms: Initial time in milliseconds.
    """

    def __init__(self, now_ms: int = 1_000_000) -> None:
        self.now_ms = now_ms

    def monotonic_ms(self) -> int:
        """Return the current fake time in milliseconds."""
        return self.now_ms

    def wall_ms(self) -> int:
        """Return the current fake time in milliseconds."""
        return self.now_ms

    def advance(self, delta_ms: int) -> None:
        """Advance the time.

        Args:
            delta_ms: Duration in milliseconds.
        """
        self.now_ms += delta_ms
