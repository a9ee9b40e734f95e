"""What the package needs of the platform's machines and their upkeep."""

import enum
from typing import Protocol

from expression import Result
import msgspec

from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.ports import vms


class MachineState(enum.Enum):
    """What the platform says of a machine."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class Machine(msgspec.Struct, frozen=True):
    """A machine; the VM that runs on it changes with each move or upkeep.

    Attributes:
        machine: Its id.
        pool: The pool that it belongs to.
        state: What it does.
        data_centre: Where it stands.
        labels: Its kind and rack.
        capacity: What its VM can run at once.
        vm: The id of its VM; empty while there is none.
    """

    machine: ids.MachineId
    pool: ids.PoolId
    state: MachineState
    data_centre: ids.DataCentreId
    labels: tuple[str, ...]
    capacity: vms.Resources
    vm: ids.VmId


class Wave(msgspec.Struct, frozen=True):
    """A request to maintain machines.

    Attributes:
        wave: Its id.
        machines: Each of them is due once.
        duration_ms: How long the whole wave may take.
        max_out: How many may be out at once.
    """

    wave: ids.WaveId
    machines: tuple[ids.MachineId, ...]
    duration_ms: int
    max_out: int


class MachineOutcome(enum.Enum):
    """What became of an order for a machine."""

    DONE = "done"
    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not_in_wave"
    INVALID = "invalid"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class Machines(Protocol):
    """The platform's machine service."""

    async def list(
        self,
    ) -> Result[list[Machine], errors.PlatformUnavailable]:
        """List all machines."""

    async def move(
        self, machine: ids.MachineId, pool: ids.PoolId, epoch: int
    ) -> MachineOutcome:
        """Move a machine; what runs there ends at once."""

    async def maintain(
        self, machine: ids.MachineId, wave: ids.WaveId, epoch: int
    ) -> MachineOutcome:
        """Begin a machine's upkeep; what runs there ends at once."""
