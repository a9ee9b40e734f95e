"""Client of the placement policy service; the platform calls it advice."""

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.platform import http
from wagtailtiller.platform import task_names
from wagtailtiller.ports import policy


class _Permissions(msgspec.Struct):
    # Pairs of a worker's id and the ticket for it.
    good: list[tuple[str, str]]
    valid_ms: int = 0


class PlatformPolicy:
    """The ``Policy`` protocol over the platform's HTTP interface.

    Args:
        address: Address of the service, as ``ip:port``.
    """

    def __init__(self, address: str) -> None:
        self._http = http.HttpClient(address, 1, 0)

    async def request_permissions(
        self, task: model.TaskId, vms: list[ids.VmId], timeout_ms: int
    ) -> Result[policy.Permissions, errors.PlatformUnavailable]:
        """Request permissions to run the step of a task.

        Args:
            task: Id of the task.
            vms: Ids of the candidate VMs, at most ``MAX_VMS_PER_REQUEST``.
            timeout_ms: How long to wait for the response.

        Returns:
            The permissions, or ``PlatformUnavailable`` without a usable
            response.
        """
        body = {"step": task_names.format_step(task), "workers": vms}
        response = await self._http.call(
            "POST",
            "/v1/advise",
            msgspec.json.encode(body),
            timeout_ms=timeout_ms,
        )
        decoded = http.decode(response, _Permissions)
        if decoded.is_error():
            return Error(errors.PlatformUnavailable(decoded.error.reason))
        tickets = {ids.VmId(vm): ticket for vm, ticket in decoded.ok.good}
        return Ok(policy.Permissions(tickets, decoded.ok.valid_ms))

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()
