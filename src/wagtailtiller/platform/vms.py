"""Client of one VM, which the platform calls a worker."""

from typing import Any

import msgspec

from wagtailtiller import events
from wagtailtiller.jobs import job
from wagtailtiller.jobs import model
from wagtailtiller.platform import http
from wagtailtiller.platform import names
from wagtailtiller.ports import vms

_ORDER_TIMEOUT_MS = 700
_HOLD_MARGIN_MS = 700
_ORDER_CONNECTIONS = 3
_REASONS = {
    "fence": vms.OrderOutcome.FENCED,
    "old": vms.OrderOutcome.OLD_RUN,
    "late": vms.OrderOutcome.LATE,
    "room": vms.OrderOutcome.NO_ROOM,
    "ticket": vms.OrderOutcome.BAD_TICKET,
}
_END_KINDS = {kind.value: kind for kind in job.EndKind}


class _Body(msgspec.Struct):
    clock_ms: int = 0
    reason: str = ""


class _Lists(msgspec.Struct):
    clock_ms: int
    running: list[list[Any]] = []
    ended: list[list[Any]] = []
    born: int = 0


class PlatformVm:
    """The ``VmClient`` port over the platform's worker interface.

    Orders and waiting holds use separate connections, so that an order never
    waits behind a hold.

    Args:
        report: Which VM.
    """

    def __init__(self, report: vms.VmReport) -> None:
        self._orders = http.Caller(
            report.address, _ORDER_CONNECTIONS, _ORDER_TIMEOUT_MS
        )
        self._holds = http.Caller(report.address, 1, _ORDER_TIMEOUT_MS)
        self._headers: dict[str, str] = {"Expected-Instance": report.vm}

    async def start(self, order: vms.StartOrder) -> vms.OrderAnswer:
        """Start a task."""
        body: dict[str, Any] = {
            "task": names.format_task(order.task),
            "run": order.number,
            "spec": order.payload,
            # On this call it is the end of the lease, on the VM's clock.
            "deadline_ms": order.lease_until_ms,
            "fence_token": order.token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._order("/v1/run-start", body)

    async def stop(
        self, task: model.TaskId, number: int, token: int
    ) -> vms.OrderAnswer:
        """Stop a run; the end is listed later."""
        body = {
            "task": names.format_task(task),
            "run": number,
            "fence_token": token,
        }
        return await self._order("/v1/run-stop", body)

    async def set_speed(
        self, task: model.TaskId, number: int, percent: int, token: int
    ) -> vms.OrderAnswer:
        """Let a run work at a share of its speed."""
        body = {
            "task": names.format_task(task),
            "run": number,
            "percent": percent,
            "fence_token": token,
        }
        return await self._order("/v1/pace", body)

    async def hold(
        self,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> vms.HoldAnswer:
        """Extend the lease of what runs, and list it."""
        body = {"fence_token": token, "ack_cursor": acknowledged}
        if lease_until_ms is not None:
            body["deadline_ms"] = lease_until_ms
        if wait_ms:
            body["wait_ms"] = wait_ms
        answer = await self._holds.call(
            "POST",
            "/v1/hold",
            msgspec.json.encode(body),
            headers=self._headers,
            timeout_ms=wait_ms + _HOLD_MARGIN_MS,
        )
        if answer.is_error():
            return vms.HoldAnswer(vms.OrderOutcome.UNANSWERED)
        if answer.ok.status != http.OK:
            return vms.HoldAnswer(_outcome(answer.ok).outcome)
        lists = http.decode_body(answer.ok, _Lists)
        if lists.is_error():
            return vms.HoldAnswer(vms.OrderOutcome.UNANSWERED)
        return vms.HoldAnswer(vms.OrderOutcome.DONE, _listing(lists.ok))

    async def close(self) -> None:
        """Close the connections."""
        await self._orders.close()
        await self._holds.close()

    async def _order(self, path: str, body: dict[str, Any]) -> vms.OrderAnswer:
        answer = await self._orders.call(
            "POST", path, msgspec.json.encode(body), headers=self._headers
        )
        if answer.is_error():
            return vms.OrderAnswer(vms.OrderOutcome.UNANSWERED)
        return _outcome(answer.ok)


def _outcome(answer: http.Answer) -> vms.OrderAnswer:
    decoded = http.decode_body(answer, _Body)
    body = decoded.ok if decoded.is_ok() else _Body()
    match answer.status:
        case http.OK:
            outcome = vms.OrderOutcome.DONE
        case 409:
            outcome = _REASONS.get(body.reason, vms.OrderOutcome.INVALID)
        case 421:
            outcome = vms.OrderOutcome.OTHER_VM
        case 400 | 404:
            outcome = vms.OrderOutcome.INVALID
        case 429 | 503:
            outcome = vms.OrderOutcome.UNHEALTHY
        case _:
            outcome = vms.OrderOutcome.UNANSWERED
    return vms.OrderAnswer(outcome, body.clock_ms)


def _listing(lists: _Lists) -> vms.Listing:
    running = [_running(row) for row in lists.running]
    ended = [_ended(row) for row in lists.ended]
    return vms.Listing(
        lists.clock_ms,
        lists.born,
        tuple(row for row in running if row is not None),
        tuple(row for row in ended if row is not None),
    )


def _running(row: list[Any]) -> vms.ListedRun | None:
    try:
        name, number, saved, percent, *rest = row
        task = names.parse_task(name)
        usage = int(rest[0]) if rest else 0
        if task is not None:
            return vms.ListedRun(
                task, int(number), str(saved), int(percent), usage
            )
    except (TypeError, ValueError, AttributeError):
        pass
    events.emit(events.Event.ENTRY_SKIPPED, source="running", entry=str(row))
    return None


def _ended(row: list[Any]) -> vms.ListedEnd | None:
    try:
        position, name, number, how, saved = row[:5]
        task = names.parse_task(name)
        if task is not None and how in _END_KINDS:
            return vms.ListedEnd(
                int(position), task, int(number), _END_KINDS[how], str(saved)
            )
    except (TypeError, ValueError, AttributeError):
        pass
    events.emit(events.Event.ENTRY_SKIPPED, source="ended", entry=str(row))
    return None
