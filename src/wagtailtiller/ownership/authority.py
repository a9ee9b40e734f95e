"""What a process may do as the owner of a shard.

Ownership hangs on the lease of the process in the store. The lease ends 2 s
after its last renewal, or earlier if the store ends it, and from then on
another process may own the shard. A former owner learns of that late, or not at
all while it is cut off from the store.

So an owner may send commands for some time without knowing that it still owns
the shard: they are fenced, or its successor waits until they can have no effect
any more. What it concludes from the time alone, such as the end of a lease that
it has given to a VM, holds only if nobody else owned the shard until then. That
is known once a renewal that was sent later has succeeded.
"""

from collections.abc import Mapping
import enum
import types
from typing import Protocol


class Action(enum.Enum):
    """Kinds of action that only an owner may take.

    Attributes:
        CLAIM_SHARD: Claim a further shard under the lease.
        JUDGE_VMS: Use VMs that were not listed before, and report VMs empty.
        ORDER_MACHINES: Have VMs vacated or reopened, and order their machines
            to move or to be maintained.
        START_UNGUARDED: Start runs on VMs that take whatever they are told to.
        COMMAND_VMS: Start and stop runs, set their speed and renew their
            leases.
    """

    CLAIM_SHARD = "claim_shard"
    JUDGE_VMS = "judge_vms"
    ORDER_MACHINES = "order_machines"
    START_UNGUARDED = "start_unguarded"
    COMMAND_VMS = "command_vms"


MAX_LEASE_AGE_MS: Mapping[Action, int] = types.MappingProxyType(
    {
        # No shard is claimed on a lease that may expire soon.
        Action.CLAIM_SHARD: 1_300,
        # A new owner fences only the VMs that are listed at its takeover, and
        # may start runs on VMs that are empty.
        Action.JUDGE_VMS: 1_300,
        # The platform need not check fencing tokens.
        Action.ORDER_MACHINES: 1_500,
        # A capacity that has shrunk counts 4.5 s after its report; the rest is
        # for the watch of the reports and for the command.
        Action.START_UNGUARDED: 3_500,
        # VMs refuse commands of a former owner once they have seen a new
        # owner's token. A new owner waits until then, and then until the lease
        # of a VM's runs has expired, before it starts the tasks of an
        # unresponsive VM elsewhere.
        Action.COMMAND_VMS: 6_000,
    }
)
"""Longest time since the last renewal of the lease, in ms, by action."""


class Lease(Protocol):
    """The lease of a process in the store.

    Attributes:
        renewed_ms: Clock reading before the latest successful request for the
            lease was sent.
    """

    renewed_ms: int

    def age_ms(self) -> int:
        """Return the time since the lease was last known to be valid."""

    def renew_soon(self) -> None:
        """Renew the lease earlier than at the usual interval."""


class Authority:
    """Tells what a process may do under its lease in the store.

    Args:
        lease: The lease.
    """

    def __init__(self, lease: Lease) -> None:
        self._lease = lease

    def lease_age_ms(self) -> int:
        """Return the time since the lease was last known to be valid."""
        return self._lease.age_ms()

    def owned_until_ms(self) -> int:
        """Return until when this process has certainly been the only owner.

        Returns:
            A reading of the process's monotonic clock. Up to then its lease has
            not ended, so that nobody else has claimed its shards.
        """
        return self._lease.renewed_ms

    def renew_soon(self) -> None:
        """Renew the lease, so that ``owned_until_ms`` advances."""
        self._lease.renew_soon()

    def allows(self, action: Action) -> bool:
        """Return whether the lease is young enough for an action.

        Args:
            action: Kind of action.
        """
        return self.lease_age_ms() <= MAX_LEASE_AGE_MS[action]
