"""What the package needs of the placement policy service."""

from typing import Protocol

from expression import Result
import msgspec

from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.jobs import model

# The service takes this many VMs in one question.
MOST_VMS = 100


class Permissions(msgspec.Struct, frozen=True):
    """Where a step may run.

    Attributes:
        tickets: A ticket for each VM that may run it.
        valid_ms: How long the tickets hold.
    """

    tickets: dict[ids.VmId, str]
    valid_ms: int


class Policy(Protocol):
    """Decides which VMs may run a step; it answers one call at a time."""

    async def ask(
        self, task: model.TaskId, vms: list[ids.VmId], timeout_ms: int
    ) -> Result[Permissions, errors.PlatformUnavailable]:
        """Ask which of some VMs may run the step of a task."""
