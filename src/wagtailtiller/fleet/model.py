"""The records that one region's fleet consists of.

A region's fleet is one value in the store, so that a single compare-and-swap
covers ownership and every availability budget in it.
"""

import enum

import msgspec

from wagtailtiller import ids

KEY_PREFIX = "state/fleet/"


class VmState(enum.Enum):
    """What a VM may be used for."""

    SERVING = "serving"
    LEAVING = "leaving"
    STOPPED = "stopped"
    FAILED = "failed"


class WaveState(enum.Enum):
    """How far a maintenance wave has come."""

    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


class Maintain(msgspec.Struct, frozen=True, tag="maintain"):
    """The VM leaves in order to be rebooted by a wave."""

    wave: ids.WaveId


class Move(msgspec.Struct, frozen=True, tag="move"):
    """The VM leaves in order to join another pool."""

    to_pool: ids.PoolId


class Evicted(msgspec.Struct, frozen=True, tag="evicted"):
    """The platform takes the VM away, whatever the budget says."""


Goal = Maintain | Move | Evicted


class VmRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """One VM of the fleet.

    Attributes:
        pool: The only pool that it belongs to.
        state: What it may be used for.
        generation: Counts its changes of state, so that an answer about an
            earlier state is recognised.
        boot: Its start count when last seen live.
        since_ms: When the state began, in wall-clock milliseconds.
        goal: Why it is leaving or stopped.
    """

    pool: ids.PoolId
    state: VmState
    generation: int
    boot: int
    since_ms: int
    goal: Goal | None = None


class Wave(msgspec.Struct, frozen=True):
    """A maintenance wave over the VMs that a pool had when it began.

    Attributes:
        pool: The pool.
        state: How far it has come.
        pending: VMs that are not maintained yet, the current ones included.
        total: How many VMs the wave began with.
        who: The operator.
        started_ms: When it began, in wall-clock milliseconds.
        ended_ms: When it ended; 0 while it runs.
    """

    pool: ids.PoolId
    state: WaveState
    pending: tuple[ids.VmId, ...]
    total: int
    who: str
    started_ms: int
    ended_ms: int = 0


class Fleet(msgspec.Struct, frozen=True):
    """All VMs and recent waves of a region."""

    vms: dict[ids.VmId, VmRecord] = {}
    waves: dict[ids.WaveId, Wave] = {}


def key(region: ids.RegionId) -> str:
    """Return the store key of a region's fleet."""
    return f"{KEY_PREFIX}{region}"
