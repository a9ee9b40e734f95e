"""Requests that wait for a slot, earliest deadline first in each class."""

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
class Entry:
    """One waiting request.

    Attributes:
        front: The gateway that holds the caller.
        ask: What it asked for.
        queue: The queue's settings when it asked.
        arrived_ms: The dispatcher's clock at arrival.
        deadline_ms: The deadline on the dispatcher's clock.
        work_ms: The expected run time at arrival.
    """

    front: ids.GatewayId
    ask: messages.Ask
    queue: settings.QueueSettings
    arrived_ms: int
    deadline_ms: int
    work_ms: float

    @property
    def request_id(self) -> RequestId:
        """What identifies the request at the dispatcher."""
        return (self.front, self.ask.seq)


@dataclasses.dataclass(frozen=True)
class Backlog:
    """Expected work that waits, in milliseconds of slot time.

    Attributes:
        total_ms: The work of all teams.
        own_ms: The work of one team.
    """

    total_ms: float
    own_ms: float


_Row = tuple[int, int, Entry]


class WaitingList:
    """All waiting requests of a pool."""

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
        """Count the waiting requests of a queue."""
        return self._per_queue[queue]

    def has_priority(self, priority: ids.Priority) -> bool:
        """Whether any request of a class waits."""
        return bool(self._rows_by_priority[priority])

    def quotas(self) -> dict[ids.TeamId, float]:
        """Return the quota of each team that has requests waiting."""
        return {
            team: self._quotas[team]
            for team, count in self._per_team.items()
            if count
        }

    def has_key(self, queue: ids.QueueId, key: int) -> bool:
        """Whether a request of a queue waits with an idempotency key."""
        return self._per_key[(queue, key)] > 0

    def add(self, entry: Entry) -> None:
        """Add a request."""
        row = (entry.deadline_ms, next(self._sequence), entry)
        bisect.insort(self._rows_by_priority[entry.queue.priority], row)
        self._rows_by_id[entry.request_id] = row
        self._adjust_counts(entry, 1)

    def remove(self, request_id: RequestId) -> Entry | None:
        """Remove a request; None when it does not wait."""
        row = self._rows_by_id.pop(request_id, None)
        if row is None:
            return None
        entry = row[2]
        rows = self._rows_by_priority[entry.queue.priority]
        del rows[bisect.bisect_left(rows, row)]
        self._adjust_counts(entry, -1)
        return entry

    def in_order(self) -> Iterator[Entry]:
        """Iterate by class, then deadline; do not change it meanwhile."""
        for rows in self._rows_by_priority.values():
            for _, _, entry in rows:
                yield entry

    def with_priority(self, priority: ids.Priority) -> Iterator[Entry]:
        """Iterate over one class by deadline; do not change it meanwhile."""
        for _, _, entry in self._rows_by_priority[priority]:
            yield entry

    def due_before(
        self, priority: ids.Priority, deadline_ms: float
    ) -> list[Entry]:
        """Return the requests of a class with an earlier deadline."""
        found = []
        for row_deadline_ms, _, entry in self._rows_by_priority[priority]:
            if row_deadline_ms >= deadline_ms:
                break
            found.append(entry)
        return found

    def backlog_ahead(
        self, priority: ids.Priority, deadline_ms: int, team: ids.TeamId
    ) -> Backlog:
        """Sum the expected work that would be served before a newcomer.

        Args:
            priority: The newcomer's class.
            deadline_ms: Its deadline.
            team: Its team.
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
                if entry.ask.team == team:
                    own_ms += entry.work_ms
        return Backlog(total_ms, own_ms)

    def work_ms(self) -> float:
        """Sum the expected work of all that waits."""
        return sum(entry.work_ms for entry in self.in_order())

    def frontend_entries(self, front: ids.GatewayId) -> list[Entry]:
        """Return the requests of one front."""
        return [
            row[2]
            for request_id, row in self._rows_by_id.items()
            if request_id[0] == front
        ]

    def _adjust_counts(self, entry: Entry, change: int) -> None:
        self._per_queue[entry.queue.queue] += change
        self._per_team[entry.ask.team] += change
        self._quotas[entry.ask.team] = entry.ask.quota_percent
        if entry.ask.key:
            request_id = (entry.queue.queue, entry.ask.key)
            self._per_key[request_id] += change
            if not self._per_key[request_id]:
                del self._per_key[request_id]
