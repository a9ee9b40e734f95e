"""Commands and queries that a pool passes to the process that owns it."""

import dataclasses

from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.jobs import task as task_module


@dataclasses.dataclass(frozen=True)
class Start:
    """Start a run on a VM.

    Attributes:
        vm: VM that is to execute the run.
        run: Run to start.
        payload: Payload of the job.
        ticket: Ticket of the placement policy; empty if there is none.
    """

    vm: ids.VmId
    run: task_module.Run
    payload: str
    ticket: str = ""


@dataclasses.dataclass(frozen=True)
class Stop:
    """Stop a run.

    Attributes:
        vm: VM that executes the run.
        run: Run to stop.
        reason: Reason for the stop, as logged.
    """

    vm: ids.VmId
    run: task_module.Run
    reason: str


@dataclasses.dataclass(frozen=True)
class StopOrphan:
    """Stop an orphan run.

    Attributes:
        vm: VM that listed the run.
        run: Run that the owner does not know of or does not want.
    """

    vm: ids.VmId
    run: task_module.Run


@dataclasses.dataclass(frozen=True)
class SetSpeed:
    """Set the speed of a filler run.

    Attributes:
        vm: VM that executes the run.
        run: Run to throttle.
        percent: Share of its full speed that the run may use.
    """

    vm: ids.VmId
    run: task_module.Run
    percent: int


@dataclasses.dataclass(frozen=True)
class Probe:
    """Ask a VM for a listing at once, without extending its lease.

    Attributes:
        vm: VM to ask.
    """

    vm: ids.VmId


@dataclasses.dataclass(frozen=True)
class PolicyQuery:
    """Query to the placement policy about the VMs that may run a step.

    Attributes:
        task: Task whose step is to be placed.
        vms: VMs to ask about.
        timeout_ms: Time to wait for the answer.
    """

    task: model.TaskId
    vms: list[ids.VmId]
    timeout_ms: int


Command = Start | Stop | StopOrphan | SetSpeed | Probe
Decision = Command | PolicyQuery
