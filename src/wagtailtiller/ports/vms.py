"""Interface to the VMs that run tasks."""

import enum
from typing import Protocol

import msgspec

from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.jobs import task as task_module


class Resources(msgspec.Struct, frozen=True):
    """Amounts of the resources that tasks use.

    Attributes:
        cpu_millicores: Processor capacity in thousandths of a core.
        memory_mb: Memory in megabytes.
        gpu_count: Number of GPUs.
    """

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpu_count: int = 0


class VmPhase(enum.Enum):
    """Phase of a VM as it reports it."""

    READY = "ready"
    DRAINING = "draining"


class VmReport(msgspec.Struct, frozen=True):
    """Registration of a VM.

    Attributes:
        vm: Id of the VM; a VM that restarts may keep its id.
        pool: Pool that the VM serves.
        address: Address that accepts commands, as ``ip:port``.
        data_centre: Data centre of the VM.
        phase: Whether the VM accepts new work.
        capacity: Resources of the VM.
        labels: Labels for its kind and its rack.
        born_ms: Start time of this VM instance, in Unix milliseconds.
        slow_for_ms: Remaining time for which the VM is slow after its start.
        leaves_in_ms: Minimum time left while the VM is draining.
        machine: Id of the machine that hosts this VM instance; empty if it is
            not reported.
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
    """A run that a VM lists as running.

    Attributes:
        task: Id of the task.
        number: Number of the run.
        checkpoint: Last saved checkpoint; empty for none.
        percent: Progress of the task. A long-running task reports its start-up
            here and is available at 100.
        usage: Tail latency in ms of a serving task, otherwise processor use.
    """

    task: model.TaskId
    number: int
    checkpoint: str
    percent: int
    usage: int


class ListedEnd(msgspec.Struct, frozen=True):
    """A run that a VM lists as ended.

    Attributes:
        position: Position in the VM's list of ended runs, starting at 1.
        task: Id of the task.
        number: Number of the run.
        kind: How the run ended.
        checkpoint: Last saved checkpoint; empty for none.
    """

    position: int
    task: model.TaskId
    number: int
    kind: task_module.EndKind
    checkpoint: str


class Listing(msgspec.Struct, frozen=True):
    """Runs that a VM lists.

    Attributes:
        clock_ms: Reading of the VM's steady clock.
        born_ms: Start time of this VM instance, in Unix milliseconds; 0 if it
            is not reported.
        running: All runs that are running.
        ended: Ended runs after the acknowledged position, at most
            ``MAX_LISTED_ENDS``.
        is_complete: Whether all running runs could be decoded. Otherwise,
            runs that are missing in ``running`` may still be running.
    """

    clock_ms: int
    born_ms: int
    running: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]
    is_complete: bool = True


MAX_LISTED_ENDS = 500


class StartCommand(msgspec.Struct, frozen=True):
    """Command that starts a run of a task.

    Attributes:
        task: Id of the task.
        number: Number of the run.
        payload: Payload of the job.
        lease_until_ms: Time on the VM's clock at which the run's lease
            expires.
        token: Fencing token.
        checkpoint: Checkpoint to resume from; empty for none.
        ticket: Ticket of the placement policy; empty for none.
    """

    task: model.TaskId
    number: int
    payload: str
    lease_until_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


class CommandOutcome(enum.Enum):
    """Outcome of a command.

    After ``UNANSWERED`` the outcome is unknown: the VM may have executed the
    command or may still do so. After each other outcome except ``DONE``, the
    command has not been executed.
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


class CommandResponse(msgspec.Struct, frozen=True):
    """Response to a command.

    Attributes:
        outcome: Outcome of the command.
        clock_ms: Reading of the VM's steady clock; 0 if it is not reported.
    """

    outcome: CommandOutcome
    clock_ms: int = 0


class HoldResponse(msgspec.Struct, frozen=True):
    """Response to a hold request.

    Attributes:
        outcome: Outcome of the request.
        listing: Runs of the VM; None unless the outcome is ``DONE``.
    """

    outcome: CommandOutcome
    listing: Listing | None = None


class VmClient(Protocol):
    """Interface of the client that sends commands to one VM."""

    async def start(self, command: StartCommand) -> CommandResponse:
        """Start a run of a task."""

    async def stop(
        self, task: model.TaskId, number: int, token: int
    ) -> CommandResponse:
        """Stop a run; a later listing reports its end."""

    async def set_speed(
        self, task: model.TaskId, number: int, percent: int, token: int
    ) -> CommandResponse:
        """Throttle a run.

        Args:
            task: Id of the task.
            number: Number of the run.
            percent: Percentage of the full speed.
            token: Fencing token.
        """

    async def hold(
        self,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> HoldResponse:
        """Extend the lease of the VM's runs and list the runs.

        Args:
            token: Fencing token; the VM refuses lower tokens from now on.
            acknowledged: Position up to which the VM may discard ended runs.
            lease_until_ms: Time on the VM's clock at which the lease expires;
                None to leave the lease unchanged.
            wait_ms: Longest time that the VM waits for a run to end before it
                responds.
        """

    async def close(self) -> None:
        """Close the connections."""
