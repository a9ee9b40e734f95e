"""What became of the requests of a trace."""

import dataclasses

from support.measure import trace


@dataclasses.dataclass
class Results:
    """Collects the fate of each request.

    Attributes:
        teams_from_ms: From when work is counted by team.
        on_time: Requests finished within their deadline.
        work_on_time_ms: Their work.
        started: Requests that were let in and run.
        late: Requests that ran but finished after their deadline.
        refused: Requests that were not run.
        waits_ms: Time from arrival to start, of those that ran.
        messages: Messages between gateways.
        message_bytes: Their encoded size.
    """

    teams_from_ms: float = 0.0
    on_time: int = 0
    work_on_time_ms: float = 0.0
    started: int = 0
    late: int = 0
    refused: int = 0
    waits_ms: list[float] = dataclasses.field(default_factory=list)
    waits_by_queue_ms: dict[str, list[float]] = dataclasses.field(
        default_factory=dict
    )
    team_work_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    messages: int = 0
    message_bytes: int = 0

    def start(self, request: trace.Request, now_ms: float) -> None:
        """Note that a request began to run."""
        self.started += 1
        wait_ms = now_ms - request.arrival_ms
        self.waits_ms.append(wait_ms)
        self.waits_by_queue_ms.setdefault(request.queue.name, []).append(
            wait_ms
        )

    def finish(self, request: trace.Request, now_ms: float) -> None:
        """Note that a request finished."""
        if now_ms > request.deadline_ms:
            self.late += 1
            return
        self.on_time += 1
        self.work_on_time_ms += request.work_ms
        if now_ms < self.teams_from_ms:
            return
        done_ms = self.team_work_ms.get(request.team, 0.0)
        self.team_work_ms[request.team] = done_ms + request.work_ms

    def wait_ms(self, fraction: float) -> float:
        """Return a quantile of the waits."""
        ordered = sorted(self.waits_ms) or [0.0]
        return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]

    def late_share(self) -> float:
        """Return the part of the started that finished late."""
        return self.late / max(1, self.started)
