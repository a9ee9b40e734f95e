"""Client of a VM, which the platform calls a worker."""

import time
from typing import Any

from expression import Result
import msgspec

from wagtailtiller import events
from wagtailtiller.jobs import model
from wagtailtiller.jobs import task as task_module
from wagtailtiller.platform import http
from wagtailtiller.platform import task_names
from wagtailtiller.ports import vms

_MIN_TIMEOUT_MS = 700
# A VM without responses is tried again within the lease of its runs.
_MAX_TIMEOUT_MS = 2_000
# Longest time from one renewal of the lease to the next attempt.
_MAX_HOLD_MS = 1_700
# The owner sends at most three starts and two other commands at once.
_COMMAND_CONNECTIONS = 5
# One for the long poll, one for the hold that resolves unknown starts.
_HOLD_CONNECTIONS = 2
_OUTCOMES_BY_REASON = {
    "fence": vms.CommandOutcome.FENCED,
    "old": vms.CommandOutcome.OLD_RUN,
    "late": vms.CommandOutcome.LATE,
    "room": vms.CommandOutcome.NO_ROOM,
    "ticket": vms.CommandOutcome.BAD_TICKET,
}
_END_KINDS = {kind.value: kind for kind in task_module.EndKind}


class _CommandResponse(msgspec.Struct):
    clock_ms: int = 0
    reason: str = ""


class _HoldResponse(msgspec.Struct):
    clock_ms: int
    running: list[Any] = []
    ended: list[Any] = []
    born: int = 0


class PlatformVm:
    """The ``VmClient`` protocol over the platform's worker interface.

    Hold requests may wait on the VM. They use separate connections, so that no
    command waits behind one.

    Args:
        report: The report of the VM, with its address and id.
    """

    def __init__(self, report: vms.VmReport) -> None:
        self._command_client = http.HttpClient(
            report.address, _COMMAND_CONNECTIONS, _MIN_TIMEOUT_MS
        )
        self._hold_client = http.HttpClient(
            report.address, _HOLD_CONNECTIONS, _MIN_TIMEOUT_MS
        )
        self._timeout = http.AdaptiveTimeout(_MIN_TIMEOUT_MS, _MAX_TIMEOUT_MS)
        self._headers: dict[str, str] = {"Expected-Instance": report.vm}

    async def start(self, command: vms.StartCommand) -> vms.CommandResponse:
        """Send a command to start a run of a task.

        Args:
            command: What to start, and under which lease and fencing token.
        """
        body: dict[str, Any] = {
            "task": task_names.format_task(command.task),
            "run": command.number,
            "spec": command.payload,
            # Time on the VM's clock at which the lease expires.
            "deadline_ms": command.lease_until_ms,
            "fence_token": command.token,
        }
        if command.checkpoint:
            body["checkpoint"] = command.checkpoint
        if command.ticket:
            body["ticket"] = command.ticket
        return await self._send_command("/v1/run-start", body)

    async def stop(
        self, task: model.TaskId, number: int, token: int
    ) -> vms.CommandResponse:
        """Send a command to stop a run, whose end is listed later.

        Args:
            task: Id of the task.
            number: The number of the run.
            token: The fencing token.
        """
        body = {
            "task": task_names.format_task(task),
            "run": number,
            "fence_token": token,
        }
        return await self._send_command("/v1/run-stop", body)

    async def set_speed(
        self, task: model.TaskId, number: int, percent: int, token: int
    ) -> vms.CommandResponse:
        """Send a command to throttle a run.

        Args:
            task: Id of the task.
            number: The number of the run.
            percent: Percentage of the full speed.
            token: The fencing token.
        """
        body = {
            "task": task_names.format_task(task),
            "run": number,
            "percent": percent,
            "fence_token": token,
        }
        return await self._send_command("/v1/pace", body)

    async def hold(
        self,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> vms.HoldResponse:
        """Extend the lease of all runs on the VM and list them.

        Args:
            token: The fencing token; the VM refuses lower ones from now on.
            acknowledged: Position up to which the VM may discard ended runs.
            lease_until_ms: Time on the VM's clock at which the lease expires;
                None to leave the lease unchanged.
            wait_ms: How long the VM may wait for a run to end.

        Returns:
            The outcome, with the listing if it is ``DONE``.
        """
        # While responses are slow, the VM waits less, so that the lease is
        # renewed as often.
        wait_ms = min(wait_ms, max(0, _MAX_HOLD_MS - self._timeout.timeout_ms))
        body = {"fence_token": token, "ack_cursor": acknowledged}
        if lease_until_ms is not None:
            body["deadline_ms"] = lease_until_ms
        if wait_ms:
            body["wait_ms"] = wait_ms
        response = await self._call(
            self._hold_client, "/v1/hold", body, wait_ms
        )
        if response.is_error():
            return vms.HoldResponse(vms.CommandOutcome.UNANSWERED)
        if response.ok.status != http.OK:
            return vms.HoldResponse(_to_command_response(response.ok).outcome)
        document = http.decode_body(response.ok, _HoldResponse)
        if document.is_error():
            return vms.HoldResponse(vms.CommandOutcome.UNANSWERED)
        return vms.HoldResponse(
            vms.CommandOutcome.DONE, _to_listing(document.ok)
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._command_client.close()
        await self._hold_client.close()

    async def _send_command(
        self, path: str, body: dict[str, Any]
    ) -> vms.CommandResponse:
        response = await self._call(self._command_client, path, body, 0)
        if response.is_error():
            return vms.CommandResponse(vms.CommandOutcome.UNANSWERED)
        return _to_command_response(response.ok)

    async def _call(
        self,
        client: http.HttpClient,
        path: str,
        body: dict[str, Any],
        wait_ms: int,
    ) -> Result[http.Response, http.NoResponse]:
        """Send a request that the VM may answer after a wait."""
        sent_s = time.monotonic()
        response = await client.call(
            "POST",
            path,
            msgspec.json.encode(body),
            headers=self._headers,
            timeout_ms=wait_ms + self._timeout.timeout_ms,
        )
        took_ms = int((time.monotonic() - sent_s) * 1_000)
        # The VM ends its wait early if a run ends, so that the part of a fast
        # response that it waited is unknown.
        if took_ms >= wait_ms or response.is_error():
            self._timeout.record(response.is_ok(), took_ms - wait_ms)
        return response


def _to_command_response(response: http.Response) -> vms.CommandResponse:
    decoded = http.decode_body(response, _CommandResponse)
    body = decoded.ok if decoded.is_ok() else _CommandResponse()
    match response.status:
        case http.OK:
            outcome = vms.CommandOutcome.DONE
        case 409:
            outcome = _OUTCOMES_BY_REASON.get(
                body.reason, vms.CommandOutcome.INVALID
            )
        case 421:
            outcome = vms.CommandOutcome.OTHER_VM
        case 400 | 404:
            outcome = vms.CommandOutcome.INVALID
        case 429 | 503:
            outcome = vms.CommandOutcome.UNHEALTHY
        case _:
            outcome = vms.CommandOutcome.UNANSWERED
    return vms.CommandResponse(outcome, body.clock_ms)


def _to_listing(document: _HoldResponse) -> vms.Listing:
    running = [_to_listed_run(row) for row in document.running]
    ended = [_to_listed_end(row) for row in document.ended]
    return vms.Listing(
        document.clock_ms,
        document.born,
        tuple(run for run in running if run is not None),
        tuple(end for end in ended if end is not None),
        is_complete=None not in running,
    )


def _to_listed_run(row: Any) -> vms.ListedRun | None:
    try:
        name, number, checkpoint, percent, *rest = row
        task = task_names.parse_task(name)
        usage = int(rest[0]) if rest else 0
        if task is not None:
            return vms.ListedRun(
                task, int(number), str(checkpoint), int(percent), usage
            )
    except (TypeError, ValueError, AttributeError, OverflowError):
        pass
    events.emit(events.Event.ENTRY_SKIPPED, source="running", entry=str(row))
    return None


def _to_listed_end(row: Any) -> vms.ListedEnd | None:
    try:
        position, name, number, end_kind, checkpoint = row[:5]
        task = task_names.parse_task(name)
        if task is not None and end_kind in _END_KINDS:
            return vms.ListedEnd(
                int(position),
                task,
                int(number),
                _END_KINDS[end_kind],
                str(checkpoint),
            )
    except (TypeError, ValueError, AttributeError, OverflowError):
        pass
    events.emit(events.Event.ENTRY_SKIPPED, source="ended", entry=str(row))
    return None
