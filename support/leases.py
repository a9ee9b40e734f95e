"""A lease in the store whose age tests set."""


class FakeLease:
    """Implements ``authority.Lease``.

    Attributes:
        current_age_ms: Time since the lease was last known to be valid.
    """

    def __init__(self) -> None:
        self.current_age_ms = 0

    def age_ms(self) -> int:
        """Return the time since the lease was last known to be valid."""
        return self.current_age_ms
