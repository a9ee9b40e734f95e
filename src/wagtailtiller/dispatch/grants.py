"""The grants outstanding in a pool: who holds which slot, and until when."""

import dataclasses

from wagtailtiller import ids
from wagtailtiller import settings
from wagtailtiller.dispatch import messages
from wagtailtiller.dispatch import slots
from wagtailtiller.dispatch import waiting

GRANT_VALID_MS = 2_000


@dataclasses.dataclass
class Grant:
    """A slot in use.

    Attributes:
        vm: Where the request runs.
        queue: Its queue.
        team: The team that pays for it.
        key: The hash of its idempotency key.
        since_ms: When it was granted, on the dispatcher's clock.
        charged_ms: The slot time charged to the team in advance.
        expires_ms: When it is forgotten; set once the front is gone.
    """

    vm: ids.VmId
    queue: ids.QueueId
    team: ids.TeamId
    key: int
    since_ms: int
    charged_ms: float
    expires_ms: int | None = None


class GrantTable:
    """Grants by front and request, counted in the slot table as well.

    Args:
        slot_table: Where slots are taken and given back.
    """

    def __init__(self, slot_table: slots.SlotTable) -> None:
        self._slots = slot_table
        self._grants: dict[waiting.RequestId, Grant] = {}

    def __len__(self) -> int:
        return len(self._grants)

    def __contains__(self, request_id: waiting.RequestId) -> bool:
        return request_id in self._grants

    def add(self, request_id: waiting.RequestId, grant: Grant) -> None:
        """Take a slot."""
        self._grants[request_id] = grant
        self._slots.hold(grant.vm)

    def remove(self, request_id: waiting.RequestId) -> Grant | None:
        """Give a slot back; None when it was not held."""
        grant = self._grants.pop(request_id, None)
        if grant is not None:
            self._slots.free(grant.vm)
        return grant

    def reconcile(
        self,
        front: ids.GatewayId,
        running: tuple[messages.Running, ...],
        now_ms: int,
    ) -> None:
        """Make a front's grants those that it reported."""
        reported_seqs = {run.seq for run in running}
        for request_id in self._request_ids(front):
            if request_id[1] not in reported_seqs:
                self.remove(request_id)
        for run in running:
            if (front, run.seq) not in self._grants:
                self.add((front, run.seq), _grant_from_report(run, now_ms))

    def mark_lost(
        self,
        front: ids.GatewayId,
        incarnation: str,
        queues: dict[ids.QueueId, settings.QueueSettings],
        now_ms: int,
    ) -> None:
        """Keep a vanished gateway's grants until they must have ended.

        They get a name of their own, since the gateway may come back under
        its old one and count its requests from the start.
        """
        lost_gateway = ids.GatewayId(f"{front}@{incarnation}")
        for request_id in self._request_ids(front):
            grant = self._grants.pop(request_id)
            queue = queues.get(grant.queue)
            limit_ms = queue.run_limit_ms if queue else 0
            grant.expires_ms = now_ms + GRANT_VALID_MS + limit_ms
            self._grants[(lost_gateway, request_id[1])] = grant

    def expire(self, now_ms: int) -> None:
        """Forget grants whose time has run out."""
        expired = [
            request_id
            for request_id, grant in self._grants.items()
            if grant.expires_ms is not None and grant.expires_ms <= now_ms
        ]
        for request_id in expired:
            self.remove(request_id)

    def _request_ids(self, front: ids.GatewayId) -> list[waiting.RequestId]:
        return [
            request_id for request_id in self._grants if request_id[0] == front
        ]


def _grant_from_report(run: messages.Running, now_ms: int) -> Grant:
    return Grant(
        vm=run.vm,
        queue=run.queue,
        team=run.team,
        key=run.key,
        since_ms=now_ms - run.age_ms,
        charged_ms=0.0,
    )
