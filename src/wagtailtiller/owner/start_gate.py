"""Decides when the owner of a pool may send start commands."""

import asyncio
from collections.abc import Callable

# Bounds the queue that start commands form on the link of a small VM, where
# they would delay the renewals of leases.
_MAX_OPEN_STARTS = 128


class StartGate:
    """Limits the open start commands of all VMs of a pool.

    Args:
        may_command: Returns whether this process may stop runs and extend their
            leases.
        may_start: Returns whether it may also start runs; None if it may
            whenever it may command.
        lease_age_ms: Returns the time since this process's lease in the store
            was last known to be valid, for the log.

    Attributes:
        may_command: As above.
        may_start: As above.
        lease_age_ms: As above.
        slots: A start command holds one of them until its response.
    """

    def __init__(
        self,
        may_command: Callable[[], bool],
        may_start: Callable[[], bool] | None = None,
        lease_age_ms: Callable[[], int] = lambda: 0,
    ) -> None:
        self.may_command = may_command
        self.may_start = may_start or may_command
        self.lease_age_ms = lease_age_ms
        self.slots = asyncio.Semaphore(_MAX_OPEN_STARTS)
