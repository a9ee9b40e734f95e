"""Waiting requests, ordered by priority and then by deadline."""

import bisect
import collections
from collections.abc import Iterator
import dataclasses
import itertools

from wagtailtiller import ids
from wagtailtiller import settings
from wagtailtiller.dispatch import messages

RequestId = tuple[ids.GatewayId, int]


@dataclasses.dataclass(frozen=True, eq=False)
class WaitingRequest:
    """A waiting request.

    Attributes:
        frontend: Gateway that holds the caller's connection.
        request: Message of the frontend.
        queue: Settings of the queue at arrival.
        arrived_ms: Time of arrival on the dispatcher's clock.
        deadline_ms: Deadline on the dispatcher's clock.
        work_ms: Expected run time, estimated at arrival.
    """

    frontend: ids.GatewayId
    request: messages.SlotRequest
    queue: settings.QueueSettings
    arrived_ms: int
    deadline_ms: int
    work_ms: float

    @property
    def request_id(self) -> RequestId:
        """Frontend and sequence number, which identify the request."""
        return (self.frontend, self.request.seq)


@dataclasses.dataclass(frozen=True)
class Backlog:
    """Expected slot time of waiting requests.

    Attributes:
        total_ms: Expected slot time of all teams.
        own_ms: Expected slot time of one team.
    """

    total_ms: float
    own_ms: float


_Row = tuple[int, int, WaitingRequest]


class WaitingList:
    """The waiting requests of a pool."""

    def __init__(self) -> None:
        self._rows_by_priority: dict[ids.Priority, list[_Row]] = {
            priority: [] for priority in ids.Priority
        }
        self._rows_by_id: dict[RequestId, _Row] = {}
        self._per_queue: collections.Counter[ids.QueueId]
        self._per_queue = collections.Counter()
        self._per_team: collections.Counter[ids.TeamId] = collections.Counter()
        self._per_key: collections.Counter[tuple[ids.QueueId, int]]
        self._per_key = collections.Counter()
        self._quotas: dict[ids.TeamId, float] = {}
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._rows_by_id)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._rows_by_id

    def count(self, queue: ids.QueueId) -> int:
        """Return the number of waiting requests of a queue."""
        return self._per_queue[queue]

    def has_priority(self, priority: ids.Priority) -> bool:
        """Return whether any request of a priority waits."""
        return bool(self._rows_by_priority[priority])

    def quotas(self) -> dict[ids.TeamId, float]:
        """Return the quota of each team that has waiting requests."""
        return {
            team: self._quotas[team]
            for team, count in self._per_team.items()
            if count
        }

    def has_key(self, queue: ids.QueueId, key: int) -> bool:
        """Return whether a request with an idempotency key waits."""
        return self._per_key[(queue, key)] > 0

    def add(self, entry: WaitingRequest) -> None:
        """Add a request."""
        row = (entry.deadline_ms, next(self._sequence), entry)
        bisect.insort(self._rows_by_priority[entry.queue.priority], row)
        self._rows_by_id[entry.request_id] = row
        self._adjust_counts(entry, 1)

    def remove(self, request_id: RequestId) -> WaitingRequest | None:
        """Remove a request.

        Returns:
            The removed entry, or None if the request does not wait.
        """
        row = self._rows_by_id.pop(request_id, None)
        if row is None:
            return None
        entry = row[2]
        rows = self._rows_by_priority[entry.queue.priority]
        del rows[bisect.bisect_left(rows, row)]
        self._adjust_counts(entry, -1)
        return entry

    def in_order(self) -> Iterator[WaitingRequest]:
        """Iterate by priority, then deadline.

        The list must not be changed during the iteration.
        """
        for rows in self._rows_by_priority.values():
            for _, _, entry in rows:
                yield entry

    def with_priority(self, priority: ids.Priority) -> Iterator[WaitingRequest]:
        """Iterate over the requests of one priority by deadline.

        The list must not be changed during the iteration.
        """
        for _, _, entry in self._rows_by_priority[priority]:
            yield entry

    def due_before(
        self, priority: ids.Priority, deadline_ms: float
    ) -> list[WaitingRequest]:
        """Return the requests of a priority with an earlier deadline."""
        due = []
        for row_deadline_ms, _, entry in self._rows_by_priority[priority]:
            if row_deadline_ms >= deadline_ms:
                break
            due.append(entry)
        return due

    def backlog_ahead(
        self, priority: ids.Priority, deadline_ms: int, team: ids.TeamId
    ) -> Backlog:
        """Return the backlog that would be served before a new request.

        Args:
            priority: Priority of the new request.
            deadline_ms: Deadline of the new request on the dispatcher's clock.
            team: Team of the new request.
        """
        total_ms = 0.0
        own_ms = 0.0
        for other_priority, rows in self._rows_by_priority.items():
            if other_priority > priority:
                break
            for row_deadline_ms, _, entry in rows:
                if other_priority == priority and row_deadline_ms > deadline_ms:
                    break
                total_ms += entry.work_ms
                if entry.request.team == team:
                    own_ms += entry.work_ms
        return Backlog(total_ms, own_ms)

    def total_work_ms(self) -> float:
        """Return the expected slot time of all waiting requests."""
        return sum(entry.work_ms for entry in self.in_order())

    def frontend_requests(
        self, frontend: ids.GatewayId
    ) -> list[WaitingRequest]:
        """Return the waiting requests of a frontend."""
        return [
            row[2]
            for request_id, row in self._rows_by_id.items()
            if request_id[0] == frontend
        ]

    def _adjust_counts(self, entry: WaitingRequest, difference: int) -> None:
        self._per_queue[entry.queue.queue] += difference
        self._per_team[entry.request.team] += difference
        self._quotas[entry.request.team] = entry.request.quota_percent
        if entry.request.key:
            queue_key = (entry.queue.queue, entry.request.key)
            self._per_key[queue_key] += difference
            if not self._per_key[queue_key]:
                del self._per_key[queue_key]
