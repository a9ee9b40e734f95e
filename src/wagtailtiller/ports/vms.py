"""What the package needs of the VMs that run tasks."""

import enum
from typing import Protocol

import msgspec

from wagtailtiller import ids
from wagtailtiller.jobs import job
from wagtailtiller.jobs import model


class Resources(msgspec.Struct, frozen=True):
    """An amount of what tasks need."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpu_count: int = 0


class VmPhase(enum.Enum):
    """What a VM says of itself."""

    READY = "ready"
    DRAINING = "draining"


class VmReport(msgspec.Struct, frozen=True):
    """What a VM registered about itself.

    Attributes:
        vm: Its id; a VM that restarts may come back under the same one.
        pool: The pool that it works for.
        address: Where it takes orders, as ``ip:port``.
        data_centre: Where it stands.
        phase: Whether it takes new work.
        capacity: What it can run at once.
        labels: Its kind and rack.
        born_ms: When this life of it began, Unix milliseconds.
        slow_for_ms: How much longer it stays slow after its start.
        leaves_in_ms: While draining, the least time left.
        machine: The machine whose life this is; empty if not said.
    """

    vm: ids.VmId
    pool: ids.PoolId
    address: str
    data_centre: ids.DataCentreId
    phase: VmPhase
    capacity: Resources
    labels: tuple[str, ...]
    born_ms: int
    slow_for_ms: int = 0
    leaves_in_ms: int = 0
    machine: ids.MachineId = ids.MachineId("")


class ListedRun(msgspec.Struct, frozen=True):
    """A run that a VM lists as under way.

    Attributes:
        task: What runs.
        number: The run's number.
        checkpoint: What it has saved; empty for none.
        percent: Progress or, for a task that lasts, the share at work.
        usage: Tail latency in ms of a serving task, else processor use.
    """

    task: model.TaskId
    number: int
    checkpoint: str
    percent: int
    usage: int


class ListedEnd(msgspec.Struct, frozen=True):
    """A run that a VM lists as ended.

    Attributes:
        position: The end's place in the VM's list, from 1.
        task: What ran.
        number: The run's number.
        kind: How it ended.
        checkpoint: What it had saved.
    """

    position: int
    task: model.TaskId
    number: int
    kind: job.EndKind
    checkpoint: str


class Listing(msgspec.Struct, frozen=True):
    """A VM's answer about its runs.

    Attributes:
        clock_ms: The VM's steady clock.
        born_ms: When this life of it began; 0 if not said.
        running: All runs under way.
        ended: Ends after the cursor, at most ``MOST_ENDS``.
    """

    clock_ms: int
    born_ms: int
    running: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]


MOST_ENDS = 500


class StartOrder(msgspec.Struct, frozen=True):
    """An order to start a task.

    Attributes:
        task: What to start.
        number: The run's number.
        payload: The job's payload.
        lease_until_ms: On the VM's clock, until when it may run.
        token: The fencing token.
        checkpoint: What to resume from; empty for none.
        ticket: The permission from the placement policy; empty for none.
    """

    task: model.TaskId
    number: int
    payload: str
    lease_until_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


class OrderOutcome(enum.Enum):
    """What became of an order.

    ``UNANSWERED`` alone leaves open whether it has been or will be carried
    out; all but ``DONE`` otherwise mean that nothing was done.
    """

    DONE = "done"
    FENCED = "fenced"
    OLD_RUN = "old_run"
    LATE = "late"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_VM = "other_vm"
    UNANSWERED = "unanswered"


class OrderAnswer(msgspec.Struct, frozen=True):
    """The answer to an order; the clock is 0 if the VM did not say."""

    outcome: OrderOutcome
    clock_ms: int = 0


class HoldAnswer(msgspec.Struct, frozen=True):
    """The answer to a hold; there is a listing if it was ``DONE``."""

    outcome: OrderOutcome
    listing: Listing | None = None


class VmClient(Protocol):
    """Gives orders to one VM."""

    async def start(self, order: StartOrder) -> OrderAnswer:
        """Start a task."""

    async def stop(
        self, task: model.TaskId, number: int, token: int
    ) -> OrderAnswer:
        """Stop a run; the end is listed later."""

    async def set_speed(
        self, task: model.TaskId, number: int, percent: int, token: int
    ) -> OrderAnswer:
        """Let a run work at a share of its speed."""

    async def hold(
        self,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> HoldAnswer:
        """Extend the lease of what runs, and list it.

        Args:
            token: The fencing token; lower ones are refused from now on.
            acknowledged: Ends up to this position may be forgotten.
            lease_until_ms: On the VM's clock; None to leave it.
            wait_ms: How long the VM may wait for an end.
        """

    async def close(self) -> None:
        """Close the connections."""
