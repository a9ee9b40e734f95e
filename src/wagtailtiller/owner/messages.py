"""Messages between the system's own processes, encoded as MessagePack."""

import enum

import msgspec

from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue
from wagtailtiller.scheduling import admission


class Submit(msgspec.Struct, frozen=True, tag=True):
    """Request to accept a caller's job.

    Attributes:
        pool: Id of the pool.
        job: Id of the job.
        queue: Id of the job's queue.
        spec: Specification of the job.
        organisation: Organisation of the caller.
        epoch: Epoch of the owner that is asked; an owner of another epoch does
            not accept the job, so that a request that arrives late has no
            effect once a later owner has refused it. 0 for any epoch.
        terms: What the queue entitles the job to, for an owner that has not
            learned of the queue yet; None from earlier versions.
        path: Path of the queue's address; empty from earlier versions.
    """

    pool: ids.PoolId
    job: model.JobId
    queue: ids.QueueId
    spec: model.JobSpec
    organisation: ids.OrganisationId = catalogue.NO_ORGANISATION
    epoch: int = 0
    terms: catalogue.QueueTerms | None = None
    path: str = ""

    @property
    def address(self) -> catalogue.QueueAddress:
        """Address of the job's queue."""
        return catalogue.QueueAddress(self.queue, self.path)


class AskState(msgspec.Struct, frozen=True, tag=True):
    """Request for the state of a job.

    Attributes:
        pool: Id of the pool.
        job: Id of the job.
        organisation: Organisation of the caller, which only sees its own jobs.
    """

    pool: ids.PoolId
    job: model.JobId
    organisation: ids.OrganisationId = catalogue.NO_ORGANISATION


class Cancel(msgspec.Struct, frozen=True, tag=True):
    """Request to cancel a job.

    Attributes:
        pool: Id of the pool.
        job: Id of the job.
        organisation: Organisation of the caller, which only sees its own jobs.
    """

    pool: ids.PoolId
    job: model.JobId
    organisation: ids.OrganisationId = catalogue.NO_ORGANISATION


class AskPending(msgspec.Struct, frozen=True, tag=True):
    """Request for the number of a queue's jobs that have not started.

    Attributes:
        pool: Id of the pool.
        queue: Id of the queue.
    """

    pool: ids.PoolId
    queue: ids.QueueId


class AskLoad(msgspec.Struct, frozen=True, tag=True):
    """Request for the load of a pool.

    Attributes:
        pool: Id of the pool.
        spare_millicores: Processor capacity that the machine manager could
            add to the pool, in thousandths of a core.
    """

    pool: ids.PoolId
    spare_millicores: int


class VacateMode(enum.Enum):
    """Which tasks are moved from a VM that is being vacated."""

    MOVE_LONG_RUNNING = "move_lasting"
    MOVE_ALL = "move_all"


class Vacate(msgspec.Struct, frozen=True, tag=True):
    """Request to vacate a VM: no more runs are started on it.

    Attributes:
        pool: Id of the VM's pool.
        vm: Id of the VM.
        mode: Which tasks are stopped and started elsewhere; the others may
            finish.
    """

    pool: ids.PoolId
    vm: ids.VmId
    mode: VacateMode


class Reopen(msgspec.Struct, frozen=True, tag=True):
    """Request to start runs again on a VM that was being vacated.

    Attributes:
        pool: Id of the VM's pool.
        vm: Id of the VM.
    """

    pool: ids.PoolId
    vm: ids.VmId


class Ping(msgspec.Struct, frozen=True, tag=True):
    """Request for a sign of life; each process answers it."""


PoolRequest = (
    Submit | AskState | Cancel | AskPending | AskLoad | Vacate | Reopen
)
Request = PoolRequest | Ping


class KnownOwner(msgspec.Struct, frozen=True):
    """The last known owner of a pool.

    Attributes:
        pool: Id of the pool.
        address: Address at which the owner listens for peers, as ``ip:port``.
        epoch: Epoch of its ownership.
    """

    pool: ids.PoolId
    address: str
    epoch: int


class Pong(msgspec.Struct, frozen=True, tag=True):
    """The process runs.

    Attributes:
        owners: The owners of pools that it knows.
    """

    owners: tuple[KnownOwner, ...] = ()


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """The submission or cancellation has been stored."""


class Rejected(msgspec.Struct, frozen=True, tag=True):
    """The job has not been stored; it does not run due to this request.

    Attributes:
        reason: Why the job was rejected.
        retry_after_ms: Delay after which the caller may retry, in ms.
    """

    reason: admission.RefusalReason
    retry_after_ms: int


class State(msgspec.Struct, frozen=True, tag=True):
    """State of a job.

    Attributes:
        state: The state; None if the owner knows no stored job of this id.
    """

    state: model.JobState | None


class Pending(msgspec.Struct, frozen=True, tag=True):
    """Number of a queue's jobs that have not started.

    Attributes:
        count: The number of jobs.
    """

    count: int


class VmLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of one VM.

    Attributes:
        vm: Id of the VM.
        runs: Number of runs on the VM.
        lasting_runs: Number of those that belong to long-running tasks.
        free_cpu: Free processor capacity, in thousandths of a core.
        short_millicores: Processor capacity of the tasks that are not
            long-running, in thousandths of a core.
        usable: Whether the VM responds and is not draining.
    """

    vm: ids.VmId
    runs: int
    lasting_runs: int
    free_cpu: int
    short_millicores: int
    usable: bool


class Load(msgspec.Struct, frozen=True, tag=True):
    """Load and demand of a pool.

    Attributes:
        waiting_core_ms: Processor work left in unfinished jobs, in core
            milliseconds.
        idle_millicores: Processor demand of the tasks that could start now, the
            capacity of VMs that became unresponsive unplanned, and what usable
            VMs have lost of their capacity, in thousandths of a core.
        arrived_core_ms: Processor work of the jobs that were admitted, or
            refused for lack of capacity, since the takeover, in core
            milliseconds.
        arrived_jobs: Number of the jobs that this work belongs to.
        lasting_millicores: Processor demand of long-running tasks, in
            thousandths of a core.
        lasting_waiting: Number of long-running tasks that have found no room
            for some time.
        vms: Load of each VM.
    """

    waiting_core_ms: float
    idle_millicores: int
    arrived_core_ms: float
    arrived_jobs: int
    lasting_millicores: int
    lasting_waiting: int
    vms: tuple[VmLoad, ...]


class Vacated(msgspec.Struct, frozen=True, tag=True):
    """Answer to ``Vacate``.

    Attributes:
        runs_left: Number of runs that are left on the VM; one more while ends
            of runs are not stored.
    """

    runs_left: int


class IdInUse(msgspec.Struct, frozen=True, tag=True):
    """Another organisation has a job with this id; nothing was changed."""


class NotOwner(msgspec.Struct, frozen=True, tag=True):
    """The request had no effect: this process cannot answer for the pool.

    Attributes:
        address: Address of the owner that this process knows, as ``ip:port``;
            empty if it knows none.
        epoch: Epoch of that owner.
    """

    address: str = ""
    epoch: int = 0


class Unsure(msgspec.Struct, frozen=True, tag=True):
    """The store has not confirmed the change, which may still take effect."""


Answer = (
    Accepted
    | Rejected
    | State
    | Pending
    | Load
    | Vacated
    | IdInUse
    | NotOwner
    | Unsure
    | Pong
)
