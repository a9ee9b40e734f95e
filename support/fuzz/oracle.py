"""A simple judge of one schedule; shares no code with what it judges."""

import collections
import dataclasses
import enum

_LEAVING_LIMIT_MS = 3_000


class Told(enum.Enum):
    """What a caller was told."""

    NOTHING = "nothing"
    ANSWER = "answer"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclasses.dataclass
class Run:
    """A run at an endpoint."""

    request: int
    key: int
    vm: str
    pool: str
    started_ms: int
    running: bool = True


@dataclasses.dataclass
class VmTruth:
    """What is true of a VM."""

    pool: str
    serving: bool = True
    stopped: bool = False
    leaving_since_ms: int = 0


class Oracle:
    """Keeps its own books and notes every broken promise.

    Args:
        slots: Slots a VM.
        budgets: How many VMs each pool may lose.
    """

    def __init__(self, slots: int, budgets: dict[str, int]) -> None:
        self._slots = slots
        self._budgets = budgets
        self._keys: collections.Counter[int] = collections.Counter()
        self._told: dict[int, Told] = {}
        self.runs: list[Run] = []
        self.vms: dict[str, VmTruth] = {}
        self.broken: list[str] = []
        self.told: collections.Counter[Told] = collections.Counter()

    def started(
        self,
        request: int,
        key: int,
        vm: str,
        pool: str,
        now_ms: int,
        outage: bool,
    ) -> Run:
        """Note that a run began.

        Args:
            request: The caller's request.
            key: Its idempotency key; 0 for none.
            vm: Where it runs.
            pool: The pool that its queue belongs to.
            now_ms: The time.
            outage: Whether its gateway serves on a majority's view, since
                nobody in its reach has reached the store: what was written
                just before may then be known to nobody.
        """
        run = Run(request, key, vm, pool, now_ms)
        truth = self.vms[vm]
        self.runs.append(run)
        if self._told.get(request) is Told.NOT_RUN:
            self._break(f"request {request} ran after it was told not run")
        if key:
            self._keys[key] += 1
            if self._keys[key] > 1:
                self._break(f"key {key} ran twice")
        if truth.stopped:
            self._break(f"request {request} started on stopped {vm}")
        if truth.pool != pool:
            self._break(f"{vm} of {truth.pool} ran work of {pool}")
        late_ms = now_ms - truth.leaving_since_ms
        too_late = late_ms > _LEAVING_LIMIT_MS and not outage
        if not truth.serving and too_late:
            self._break(f"{vm} got work {late_ms} ms after it began to leave")
        if self.running(vm) > self._slots:
            self._break(f"{vm} runs {self.running(vm)}")
        return run

    def running(self, vm: str) -> int:
        """Count the runs on a VM."""
        return sum(run.vm == vm and run.running for run in self.runs)

    def tell(self, request: int, key: int, told: Told, sent_ms: int) -> None:
        """Note what a caller was told.

        ``not run`` is false when the request ran, or when another one with
        its key had begun to run before it was sent. A caller that sends a
        key twice at once gets an answer about each.

        Args:
            request: The caller's request.
            key: Its idempotency key; 0 for none.
            told: The outcome.
            sent_ms: When the caller sent it.
        """
        if self._told.get(request, Told.NOTHING) is not Told.NOTHING:
            self._break(f"request {request} was told twice")
        self._told[request] = told
        self.told[told] += 1
        if told is Told.NOT_RUN and self._has_run(request, key, sent_ms):
            self._break(f"request {request} ran but was told not run")

    def leave(self, vm: str, now_ms: int) -> None:
        """Note that a VM leaves service."""
        truth = self.vms[vm]
        truth.serving = False
        truth.leaving_since_ms = now_ms

    def serve(self, vm: str, pool: str) -> None:
        """Note that a VM serves a pool."""
        self.vms[vm] = VmTruth(pool)

    def planned_stop(self, vm: str) -> None:
        """Note that a VM is stopped as planned."""
        truth = self.vms[vm]
        if self.running(vm):
            self._break(f"a planned stop of {vm} cut off a run")
        truth.stopped = True
        truth.serving = False
        out = sum(
            each.pool == truth.pool and not each.serving
            for each in self.vms.values()
        )
        if out > self._budgets[truth.pool]:
            self._break(f"{truth.pool} has {out} VMs out after a stop")

    def _has_run(self, request: int, key: int, sent_ms: int) -> bool:
        return any(
            run.request == request
            or (run.key == key != 0 and run.started_ms < sent_ms)
            for run in self.runs
        )

    def _break(self, what: str) -> None:
        self.broken.append(what)
