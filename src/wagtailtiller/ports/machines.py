"""Interface to the platform's machines and their maintenance."""

from collections.abc import Callable
import enum
from typing import Protocol

from expression import Result
import msgspec

from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.ports import vms


class MachineState(enum.Enum):
    """State of a machine as the platform reports it."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"


class Machine(msgspec.Struct, frozen=True):
    """A machine and the VM that runs on it.

    The VM is replaced at each move and each maintenance.

    Attributes:
        machine: Id of the machine.
        pool: Pool that the machine belongs to.
        state: State of the machine.
        data_centre: Data centre of the machine.
        labels: Labels for its kind and its rack.
        capacity: Resources of its VM.
        vm: Id of its VM; empty while there is none.
    """

    machine: ids.MachineId
    pool: ids.PoolId
    state: MachineState
    data_centre: ids.DataCentreId
    labels: tuple[str, ...]
    capacity: vms.Resources
    vm: ids.VmId


class Wave(msgspec.Struct, frozen=True):
    """A request to maintain each of a set of machines once.

    Attributes:
        wave: Id of the wave.
        machines: Ids of the machines.
        duration_ms: Longest time that the whole wave may take.
        max_out: Largest number of machines that may be out of service at once.
    """

    wave: ids.WaveId
    machines: tuple[ids.MachineId, ...]
    duration_ms: int
    max_out: int


class MachineOutcome(enum.Enum):
    """Outcome of a command for a machine.

    After ``UNANSWERED`` the outcome is unknown: the platform may have executed
    the command or may still do so. ``FENCED`` shows that another process has
    used a higher epoch. After ``NOT_SENT`` the caller was not permitted to send
    the command any more when there was a connection for it.
    """

    DONE = "done"
    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not_in_wave"
    INVALID = "invalid"
    REFUSED = "refused"
    UNANSWERED = "unanswered"
    NOT_SENT = "not_sent"


MaySend = Callable[[], bool]
"""Returns whether a command may still be sent; called right before that."""


class MachineService(Protocol):
    """Interface of the platform's machine service."""

    async def list(
        self,
    ) -> Result[list[Machine], errors.PlatformUnavailable]:
        """List all machines."""

    async def move(
        self,
        machine: ids.MachineId,
        pool: ids.PoolId,
        epoch: int,
        may_send: MaySend,
    ) -> MachineOutcome:
        """Move a machine to a pool; all runs on its VM end immediately.

        Args:
            machine: Id of the machine.
            pool: Id of the new pool.
            epoch: Epoch of the caller's claim, used as the fencing token.
            may_send: Returns whether the command may still be sent.
        """

    async def maintain(
        self,
        machine: ids.MachineId,
        wave: ids.WaveId,
        epoch: int,
        may_send: MaySend,
    ) -> MachineOutcome:
        """Start maintenance of a machine; all runs on its VM end immediately.

        Args:
            machine: Id of the machine.
            wave: Id of the wave that requests the maintenance.
            epoch: Epoch of the caller's claim, used as the fencing token.
            may_send: Returns whether the command may still be sent.
        """
