"""Outstanding grants of a pool: which request uses which slot."""

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
        vm: VM on which the request runs.
        queue: Queue of the request.
        team: Team to which the slot time is charged.
        key: Hash of the idempotency key; 0 if there is none.
        since_ms: Time of the grant on the dispatcher's clock.
        charged_ms: Slot time charged to the team in advance.
        expires_ms: Time at which the grant is removed, or None while its
            frontend is a member.
    """

    vm: ids.VmId
    queue: ids.QueueId
    team: ids.TeamId
    key: int
    since_ms: int
    charged_ms: float
    expires_ms: int | None = None


class GrantTable:
    """Outstanding grants by request, also counted in the slot table.

    Args:
        slot_table: Table in which slots are acquired and released.
    """

    def __init__(self, slot_table: slots.SlotTable) -> None:
        self._slots = slot_table
        self._grants: dict[waiting.RequestId, Grant] = {}

    def __len__(self) -> int:
        return len(self._grants)

    def __contains__(self, request_id: waiting.RequestId) -> bool:
        return request_id in self._grants

    def add(self, request_id: waiting.RequestId, grant: Grant) -> None:
        """Add a grant and acquire its slot."""
        self._grants[request_id] = grant
        self._slots.acquire(grant.vm)

    def remove(self, request_id: waiting.RequestId) -> Grant | None:
        """Remove a grant and release its slot.

        Returns:
            The removed grant, or None if the request has none.
        """
        grant = self._grants.pop(request_id, None)
        if grant is not None:
            self._slots.release(grant.vm)
        return grant

    def reconcile(
        self,
        frontend: ids.GatewayId,
        running: tuple[messages.Running, ...],
        now_ms: int,
    ) -> None:
        """Replace the grants of a frontend by those that it reported."""
        reported_seqs = {run.seq for run in running}
        for request_id in self._request_ids(frontend):
            if request_id[1] not in reported_seqs:
                self.remove(request_id)
        for run in running:
            if (frontend, run.seq) not in self._grants:
                self.add((frontend, run.seq), _grant_from_report(run, now_ms))

    def mark_lost(
        self,
        frontend: ids.GatewayId,
        incarnation: str,
        queues: dict[ids.QueueId, settings.QueueSettings],
        now_ms: int,
    ) -> None:
        """Keep the grants of a lost gateway until their runs must have ended.

        They are stored under an id that includes the incarnation. The gateway
        may return under the same id and then numbers its requests from the
        start again.

        Args:
            frontend: The lost gateway.
            incarnation: Incarnation of the lost process.
            queues: Queues of the pool, for their run limits.
            now_ms: Current time of the dispatcher's clock.
        """
        lost_gateway = ids.GatewayId(f"{frontend}@{incarnation}")
        for request_id in self._request_ids(frontend):
            grant = self._grants.pop(request_id)
            queue = queues.get(grant.queue)
            limit_ms = queue.run_limit_ms if queue else 0
            grant.expires_ms = now_ms + GRANT_VALID_MS + limit_ms
            self._grants[(lost_gateway, request_id[1])] = grant

    def expire(self, now_ms: int) -> None:
        """Remove expired grants."""
        expired = [
            request_id
            for request_id, grant in self._grants.items()
            if grant.expires_ms is not None and grant.expires_ms <= now_ms
        ]
        for request_id in expired:
            self.remove(request_id)

    def _request_ids(self, frontend: ids.GatewayId) -> list[waiting.RequestId]:
        return [
            request_id
            for request_id in self._grants
            if request_id[0] == frontend
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
