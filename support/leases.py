"""A lease in the store whose age tests set."""

from wagtailtiller import clock as clock_module


class FakeLease:
    """Implements ``authority.Lease``.

    Args:
        clock: Clock of the process that holds the lease.

    Attributes:
        current_age_ms: Time since the lease was last known to be valid.
        early_renewals: How often an early renewal was requested.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self.current_age_ms = 0
        self.early_renewals = 0
        self._clock = clock
        self._ended_ms: int | None = None

    @property
    def renewed_ms(self) -> int:
        """Clock reading of the latest renewal."""
        if self._ended_ms is not None:
            return self._ended_ms
        return self._clock.monotonic_ms() - self.current_age_ms

    def age_ms(self) -> int:
        """Return the time since the lease was last known to be valid."""
        return self._clock.monotonic_ms() - self.renewed_ms

    def end(self) -> None:
        """Let the store end the lease right after a renewal."""
        self._ended_ms = self._clock.monotonic_ms()

    def renew_soon(self) -> None:
        """Count the request."""
        self.early_renewals += 1
