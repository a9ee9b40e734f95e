"""Results of the requests of a trace."""

import dataclasses

from support.measure import trace


@dataclasses.dataclass
class Results:
    """Counts and times of the requests of a trace.

    Attributes:
        teams_from_ms: Time from which work is counted by team.
        on_time: Number of requests that finished within their deadline.
        work_on_time_ms: Total run time of these requests.
        started: Number of requests that started.
        late: Number of requests that finished after their deadline.
        refused: Number of requests that did not run.
        waits_ms: Times from arrival to start of the requests that started.
        waits_by_queue_ms: The same times by queue name.
        team_work_ms: Run time of requests that finished in time, by team.
        messages: Number of messages between gateways.
        message_bytes: Encoded size of these messages.
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
        """Record that a request has started."""
        self.started += 1
        wait_ms = now_ms - request.arrival_ms
        self.waits_ms.append(wait_ms)
        self.waits_by_queue_ms.setdefault(request.queue.name, []).append(
            wait_ms
        )

    def finish(self, request: trace.Request, now_ms: float) -> None:
        """Record that a request has finished."""
        if now_ms > request.deadline_ms:
            self.late += 1
            return
        self.on_time += 1
        self.work_on_time_ms += request.work_ms
        if now_ms < self.teams_from_ms:
            return
        work_ms = self.team_work_ms.get(request.team, 0.0)
        self.team_work_ms[request.team] = work_ms + request.work_ms

    def wait_ms(self, fraction: float) -> float:
        """Return a quantile of the waiting times."""
        waits_ms = sorted(self.waits_ms) or [0.0]
        return waits_ms[min(len(waits_ms) - 1, int(len(waits_ms) * fraction))]

    def late_share(self) -> float:
        """Return the share of started requests that finished late."""
        return self.late / max(1, self.started)
