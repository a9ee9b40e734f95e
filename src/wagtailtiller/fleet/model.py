"""Records of a region's fleet.

The fleet of a region is a single value in the store, so that one
compare-and-swap covers pool membership and all availability budgets.
"""

import enum

import msgspec

from wagtailtiller import ids

KEY_PREFIX = "state/fleet/"


class VmState(enum.Enum):
    """Service state of a VM."""

    SERVING = "serving"
    LEAVING = "leaving"
    STOPPED = "stopped"
    FAILED = "failed"


class WaveState(enum.Enum):
    """State of a maintenance wave."""

    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


class Maintain(msgspec.Struct, frozen=True, tag="maintain"):
    """Goal of a VM that leaves to be rebooted by a wave.

    Attributes:
        wave: The wave.
    """

    wave: ids.WaveId


class Move(msgspec.Struct, frozen=True, tag="move"):
    """Goal of a VM that leaves to join another pool.

    Attributes:
        to_pool: The pool that the VM joins.
    """

    to_pool: ids.PoolId


class Evicted(msgspec.Struct, frozen=True, tag="evicted"):
    """Goal of a VM that the platform removes, regardless of the budget."""


Goal = Maintain | Move | Evicted


class VmRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A VM of the fleet.

    Attributes:
        pool: Pool to which the VM belongs.
        state: Service state of the VM.
        generation: Number that increases with each change of state, so that
            a response about an earlier state is recognised.
        boot: Start count when the VM was last recorded as live.
        since_ms: Start of the state, in wall-clock milliseconds.
        goal: Reason why the VM is leaving or stopped.
    """

    pool: ids.PoolId
    state: VmState
    generation: int
    boot: int
    since_ms: int
    goal: Goal | None = None


class Wave(msgspec.Struct, frozen=True):
    """A maintenance wave over the VMs that a pool had at its start.

    Attributes:
        pool: Pool whose VMs are maintained.
        state: State of the wave.
        pending: VMs that are not yet maintained, including the current ones.
        total: Number of VMs at the start of the wave.
        who: Operator who started the wave.
        started_ms: Start time, in wall-clock milliseconds.
        ended_ms: End time, in wall-clock milliseconds; 0 while it runs.
    """

    pool: ids.PoolId
    state: WaveState
    pending: tuple[ids.VmId, ...]
    total: int
    who: str
    started_ms: int
    ended_ms: int = 0


class Fleet(msgspec.Struct, frozen=True):
    """All VMs and recent waves of a region.

    Attributes:
        vms: Record of each VM.
        waves: Running waves and the latest ended ones.
    """

    vms: dict[ids.VmId, VmRecord] = {}
    waves: dict[ids.WaveId, Wave] = {}


def key(region: ids.RegionId) -> str:
    """Return the store key of a region's fleet."""
    return f"{KEY_PREFIX}{region}"
