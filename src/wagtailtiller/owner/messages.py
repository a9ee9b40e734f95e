"""What the system's own processes say to each other, as msgpack."""

import enum

import msgspec

from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.scheduling import admission


class Submit(msgspec.Struct, frozen=True, tag=True):
    """A caller's job, for the owner of its pool."""

    pool: ids.PoolId
    job: model.JobId
    queue: ids.QueueId
    spec: model.JobSpec


class AskState(msgspec.Struct, frozen=True, tag=True):
    """What a job has reached."""

    pool: ids.PoolId
    job: model.JobId


class Cancel(msgspec.Struct, frozen=True, tag=True):
    """Cancel a job."""

    pool: ids.PoolId
    job: model.JobId


class AskPending(msgspec.Struct, frozen=True, tag=True):
    """How many jobs of a queue have not started."""

    pool: ids.PoolId
    queue: ids.QueueId


class AskLoad(msgspec.Struct, frozen=True, tag=True):
    """What a pool holds and needs.

    Attributes:
        pool: Which.
        spare_millicores: What the keeper of the machines could bring in.
    """

    pool: ids.PoolId
    spare_millicores: int


class VacateMode(enum.Enum):
    """What happens to the tasks on a VM that is to be emptied."""

    MOVE_LONG_RUNNING = "move_lasting"
    MOVE_ALL = "move_all"


class Vacate(msgspec.Struct, frozen=True, tag=True):
    """Empty a VM, start nothing there, and say what is left on it.

    Attributes:
        pool: Whose VM.
        vm: Which.
        mode: Which tasks are stopped and started elsewhere; the others may
            finish.
    """

    pool: ids.PoolId
    vm: ids.VmId
    mode: VacateMode


Request = Submit | AskState | Cancel | AskPending | AskLoad | Vacate


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """The job is stored, or the cancel is."""


class Rejected(msgspec.Struct, frozen=True, tag=True):
    """The job is not stored and never runs by this request."""

    reason: admission.RefusalReason
    retry_after_ms: int


class State(msgspec.Struct, frozen=True, tag=True):
    """What a job has reached; None: the owner knows no such job."""

    state: model.JobState | None


class Pending(msgspec.Struct, frozen=True, tag=True):
    """How many jobs of a queue have not started."""

    count: int


class VmLoad(msgspec.Struct, frozen=True, array_like=True):
    """What one VM holds.

    Attributes:
        vm: Which.
        runs: How many tasks run there.
        lasting_runs: How many of them last until their job is cancelled.
        free_cpu: Thousandths of a core that are not taken.
        short_millicores: What tasks that end take.
        usable: It answers and is not leaving.
    """

    vm: ids.VmId
    runs: int
    lasting_runs: int
    free_cpu: int
    short_millicores: int
    usable: bool


class Load(msgspec.Struct, frozen=True, tag=True):
    """What a pool holds and needs.

    Attributes:
        waiting_core_ms: Processor work of jobs that are not done.
        idle_millicores: What the tasks that could start now would take.
        arrived_core_ms: Work that has arrived since the owner took over.
        arrived_jobs: The jobs that brought it.
        lasting_millicores: What tasks that last need.
        lasting_waiting: How many of them have waited for a while.
        vms: Each VM.
    """

    waiting_core_ms: float
    idle_millicores: int
    arrived_core_ms: float
    arrived_jobs: int
    lasting_millicores: int
    lasting_waiting: int
    vms: tuple[VmLoad, ...]


class Vacated(msgspec.Struct, frozen=True, tag=True):
    """How many runs are left on a VM that is being emptied."""

    runs_left: int


class NotOwner(msgspec.Struct, frozen=True, tag=True):
    """This process does not own the pool; nothing was done."""


class Unsure(msgspec.Struct, frozen=True, tag=True):
    """The store has not confirmed the change; it may take effect."""


Answer = (
    Accepted | Rejected | State | Pending | Load | Vacated | NotOwner | Unsure
)
