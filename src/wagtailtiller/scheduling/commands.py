"""What a pool asks its owner process to do."""

import dataclasses

from wagtailtiller import ids
from wagtailtiller.jobs import job
from wagtailtiller.jobs import model


@dataclasses.dataclass(frozen=True)
class Start:
    """Order the start of a run."""

    vm: ids.VmId
    run: job.Run
    payload: str
    ticket: str = ""


@dataclasses.dataclass(frozen=True)
class Stop:
    """Order the stop of a run."""

    vm: ids.VmId
    run: job.Run
    reason: str


@dataclasses.dataclass(frozen=True)
class StopOrphan:
    """Order the stop of a run that nothing is to be known of."""

    vm: ids.VmId
    run: job.Run


@dataclasses.dataclass(frozen=True)
class SetSpeed:
    """Order the share of its speed that a run may use."""

    vm: ids.VmId
    run: job.Run
    percent: int


@dataclasses.dataclass(frozen=True)
class AskPolicy:
    """Ask which VMs may run a task's step."""

    task: model.TaskId
    vms: list[ids.VmId]
    timeout_ms: int


Command = Start | Stop | StopOrphan | SetSpeed
Decision = Command | AskPolicy
