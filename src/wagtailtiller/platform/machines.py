"""Client of the platform's machine service."""

from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from wagtailtiller import errors
from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller.platform import documents
from wagtailtiller.platform import http
from wagtailtiller.ports import machines

_CALL_TIMEOUT_MS = 2_000
_OUTCOMES_BY_REASON = {
    "fence": machines.MachineOutcome.FENCED,
    "busy": machines.MachineOutcome.BUSY,
    "wave": machines.MachineOutcome.NOT_IN_WAVE,
}


class _Page(msgspec.Struct):
    machines: list[Any]
    next_token: str | None = None


class _Refusal(msgspec.Struct):
    reason: str = ""


class PlatformMachineService:
    """The ``MachineService`` protocol over the platform's HTTP interface.

    Args:
        address: Address of the service, as ``ip:port``.
        lease_holder: Name of the process that sends the commands.
    """

    def __init__(self, address: str, lease_holder: ids.NodeId) -> None:
        self._http = http.HttpClient(address, 0, _CALL_TIMEOUT_MS)
        self._lease_holder = lease_holder

    async def list(
        self,
    ) -> Result[list[machines.Machine], errors.PlatformUnavailable]:
        """List all machines, page by page.

        Returns:
            The machines, without entries that cannot be decoded.
        """
        listed: list[machines.Machine] = []
        token: str | None = None
        while True:
            query = {"page_token": token} if token else None
            response = await self._http.call("GET", "/v1/machines", query=query)
            page = http.decode(response, _Page)
            if page.is_error():
                return Error(errors.PlatformUnavailable(page.error.reason))
            for entry in page.ok.machines:
                machine = documents.decode_machine(entry)
                if machine is None:
                    events.emit(
                        events.Event.ENTRY_SKIPPED,
                        source="machines",
                        entry=str(entry),
                    )
                else:
                    listed.append(machine)
            token = page.ok.next_token
            if not token:
                return Ok(listed)

    async def move(
        self,
        machine: ids.MachineId,
        pool: ids.PoolId,
        epoch: int,
        may_send: machines.MaySend,
    ) -> machines.MachineOutcome:
        """Move a machine to another pool; its runs end at once.

        Args:
            machine: Id of the machine.
            pool: Id of the new pool.
            epoch: Epoch of the caller's claim, used as the fencing token.
            may_send: Returns whether the command may still be sent.
        """
        body = {"machine": machine, "pool": pool}
        return await self._post_command(
            "/v1/machine-move", body, epoch, may_send
        )

    async def maintain(
        self,
        machine: ids.MachineId,
        wave: ids.WaveId,
        epoch: int,
        may_send: machines.MaySend,
    ) -> machines.MachineOutcome:
        """Start the maintenance of a machine; its runs end at once.

        Args:
            machine: Id of the machine.
            wave: Id of the wave that requests the maintenance.
            epoch: Epoch of the caller's claim, used as the fencing token.
            may_send: Returns whether the command may still be sent.
        """
        # Wave ids are numbers on the platform and strings in the package.
        body = {"machine": machine, "wave": int(wave)}
        return await self._post_command(
            "/v1/machine-upkeep", body, epoch, may_send
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()

    async def _post_command(
        self,
        path: str,
        body: dict[str, Any],
        epoch: int,
        may_send: machines.MaySend,
    ) -> machines.MachineOutcome:
        headers = {
            "Lease-Holder": self._lease_holder,
            "Fencing-Token": str(epoch),
        }
        response = await self._http.call(
            "POST",
            path,
            msgspec.json.encode(body),
            headers=headers,
            may_send=may_send,
        )
        if response.is_error():
            if response.error.may_apply:
                return machines.MachineOutcome.UNANSWERED
            return machines.MachineOutcome.NOT_SENT
        return _to_machine_outcome(response.ok)


def _to_machine_outcome(response: http.Response) -> machines.MachineOutcome:
    match response.status:
        case http.OK:
            return machines.MachineOutcome.DONE
        case 409:
            refusal = http.decode_body(response, _Refusal)
            reason = refusal.ok.reason if refusal.is_ok() else ""
            return _OUTCOMES_BY_REASON.get(reason, machines.MachineOutcome.BUSY)
        case 400 | 404:
            return machines.MachineOutcome.INVALID
        case 429 | 503:
            return machines.MachineOutcome.REFUSED
        case _:
            return machines.MachineOutcome.UNANSWERED
