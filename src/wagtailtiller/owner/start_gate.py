"""Decides when the owner of a pool may send start commands."""

import asyncio
from collections.abc import Callable

# Bounds the queue that start commands form on the link of a small VM, where
# they would delay the renewals of leases.
_MAX_OPEN_STARTS = 128


class StartGate:
    """Limits the open start commands of all VMs of a pool.

    Args:
        may_command: Returns whether this process is certain to own the pool,
            so that it may start runs and extend their leases.

    Attributes:
        may_command: As above.
        slots: A start command holds one of them until its response.
    """

    def __init__(self, may_command: Callable[[], bool]) -> None:
        self.may_command = may_command
        self.slots = asyncio.Semaphore(_MAX_OPEN_STARTS)
