"""Checks the runs of one schedule.

It shares no code with the system under test.
"""

import collections
import dataclasses
import enum

_MAX_LEAVING_MS = 3_000


class CallerOutcome(enum.Enum):
    """Outcome of a request for its caller."""

    NOTHING = "nothing"
    ANSWER = "answer"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclasses.dataclass
class Run:
    """Run of a request at an endpoint.

    Attributes:
        request: Number of the request.
        key: Idempotency key; 0 for none.
        vm: Id of the VM.
        pool: Pool of the request's queue.
        started_ms: Start time in milliseconds.
        running: Whether the run has not ended.
    """

    request: int
    key: int
    vm: str
    pool: str
    started_ms: int
    running: bool = True


@dataclasses.dataclass
class VmState:
    """Actual state of a VM.

    Attributes:
        pool: Pool that the VM serves.
        serving: Whether the VM is in service.
        stopped: Whether the VM is stopped.
        leaving_since_ms: Time at which the VM began to leave service.
    """

    pool: str
    serving: bool = True
    stopped: bool = False
    leaving_since_ms: int = 0


class Oracle:
    """Records all events of a schedule and reports violated guarantees.

    Args:
        slots: Slots of each VM.
        budgets: Number of VMs of each pool that may be unavailable.

    Attributes:
        runs: All runs in the order of their start.
        vms: State of each VM.
        violations: Descriptions of the violated guarantees.
        outcome_counts: Number of requests by outcome.
    """

    def __init__(self, slots: int, budgets: dict[str, int]) -> None:
        self._slots = slots
        self._budgets = budgets
        self._start_counts: collections.Counter[int] = collections.Counter()
        self._outcomes: dict[int, CallerOutcome] = {}
        self.runs: list[Run] = []
        self.vms: dict[str, VmState] = {}
        self.violations: list[str] = []
        self.outcome_counts: collections.Counter[CallerOutcome] = (
            collections.Counter()
        )

    def record_start(
        self,
        request: int,
        key: int,
        vm: str,
        pool: str,
        now_ms: int,
        outage: bool,
    ) -> Run:
        """Record the start of a run.

        Args:
            request: Number of the request.
            key: Idempotency key; 0 for none.
            vm: Id of the VM.
            pool: Pool of the request's queue.
            now_ms: Current time in milliseconds.
            outage: Whether the gateway relies on the view of a majority of
                gateways, because none that it reaches can reach the store. A
                write just before the outage is then possibly unknown to all
                gateways, so a VM may get work for longer after it began to
                leave.
        """
        run = Run(request, key, vm, pool, now_ms)
        vm_state = self.vms[vm]
        self.runs.append(run)
        if self._outcomes.get(request) is CallerOutcome.NOT_RUN:
            self._record_violation(
                f"request {request} ran after its caller was told not run"
            )
        if key:
            self._start_counts[key] += 1
            if self._start_counts[key] > 1:
                self._record_violation(f"key {key} ran twice")
        if vm_state.stopped:
            self._record_violation(f"request {request} started on stopped {vm}")
        if vm_state.pool != pool:
            self._record_violation(
                f"{vm} of {vm_state.pool} ran work of {pool}"
            )
        late_ms = now_ms - vm_state.leaving_since_ms
        too_late = late_ms > _MAX_LEAVING_MS and not outage
        if not vm_state.serving and too_late:
            self._record_violation(
                f"{vm} got work {late_ms} ms after it began to leave"
            )
        if self.running(vm) > self._slots:
            self._record_violation(
                f"{vm} exceeds its slots with {self.running(vm)} runs"
            )
        return run

    def running(self, vm: str) -> int:
        """Return the number of runs on a VM."""
        return sum(run.vm == vm and run.running for run in self.runs)

    def record_outcome(
        self, request: int, key: int, outcome: CallerOutcome, sent_ms: int
    ) -> None:
        """Record the outcome that a caller received.

        The outcome ``NOT_RUN`` is wrong if the request has run, or if another
        request with the same key started before this request was sent.
        Concurrent requests with the same key have separate outcomes.

        Args:
            request: Number of the request.
            key: Idempotency key; 0 for none.
            outcome: Outcome that the caller received.
            sent_ms: Time at which the caller sent the request.
        """
        if (
            self._outcomes.get(request, CallerOutcome.NOTHING)
            is not CallerOutcome.NOTHING
        ):
            self._record_violation(f"request {request} has two outcomes")
        self._outcomes[request] = outcome
        self.outcome_counts[outcome] += 1
        if outcome is CallerOutcome.NOT_RUN and self._has_run(
            request, key, sent_ms
        ):
            self._record_violation(
                f"request {request} ran but its caller was told not run"
            )

    def record_leave(self, vm: str, now_ms: int) -> None:
        """Record that a VM begins to leave service."""
        vm_state = self.vms[vm]
        vm_state.serving = False
        vm_state.leaving_since_ms = now_ms

    def record_serving(self, vm: str, pool: str) -> None:
        """Record that a VM serves a pool."""
        self.vms[vm] = VmState(pool)

    def record_planned_stop(self, vm: str) -> None:
        """Record that a VM is stopped as planned."""
        vm_state = self.vms[vm]
        if self.running(vm):
            self._record_violation(f"a planned stop of {vm} cut off a run")
        vm_state.stopped = True
        vm_state.serving = False
        unavailable_count = sum(
            other.pool == vm_state.pool and not other.serving
            for other in self.vms.values()
        )
        if unavailable_count > self._budgets[vm_state.pool]:
            self._record_violation(
                f"{vm_state.pool} has {unavailable_count} VMs out after a stop"
            )

    def _has_run(self, request: int, key: int, sent_ms: int) -> bool:
        return any(
            run.request == request
            or (run.key == key != 0 and run.started_ms < sent_ms)
            for run in self.runs
        )

    def _record_violation(self, description: str) -> None:
        self.violations.append(description)
