"""Interface to the placement policy service."""

from typing import Protocol

from expression import Result
import msgspec

from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.jobs import model

# The service accepts at most this many VMs in one request.
MAX_VMS_PER_REQUEST = 100


class Permissions(msgspec.Struct, frozen=True):
    """Permissions to run a step.

    Attributes:
        tickets: Tickets of the VMs that may run the step, by VM id.
        valid_ms: Time for which the tickets are valid.
    """

    tickets: dict[ids.VmId, str]
    valid_ms: int


class Policy(Protocol):
    """Interface of the placement policy service.

    The service processes one request at a time.
    """

    async def request_permissions(
        self, task: model.TaskId, vms: list[ids.VmId], timeout_ms: int
    ) -> Result[Permissions, errors.PlatformUnavailable]:
        """Request permissions to run the step of a task.

        Args:
            task: Id of the task.
            vms: Ids of the candidate VMs, at most ``MAX_VMS_PER_REQUEST``.
            timeout_ms: Longest time to wait for the response.
        """
