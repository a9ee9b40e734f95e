"""Operations on machines, and the waves and pools that cause them."""

import dataclasses
import enum

from wagtailtiller import ids
from wagtailtiller.maintenance import demand
from wagtailtiller.ports import machines


class Stage(enum.Enum):
    """Stage of an operation on a machine.

    Attributes:
        EMPTYING: The tasks on the VM finish or are stopped.
        ORDERED: The platform has accepted the order.
    """

    EMPTYING = "emptying"
    ORDERED = "ordered"


@dataclasses.dataclass(slots=True)
class MachineOperation:
    """The maintenance of a machine for a wave, or its move to a pool.

    Attributes:
        machine: Id of the machine.
        wave: The wave that maintains the machine; None for a move.
        pool: The pool to which the machine moves; None for a wave.
        vm: The VM on the machine before the order; empty if there is none.
        started_ms: Clock reading at the start of the operation.
        stage: Current stage.
        empty_at_ms: Clock reading before the last request to vacate the VM if
            the VM had no runs; otherwise None.
        last_order_ms: Clock reading when an order was last sent; 0 if none
            was sent.
    """

    machine: ids.MachineId
    wave: ids.WaveId | None
    pool: ids.PoolId | None
    vm: ids.VmId
    started_ms: int
    stage: Stage = Stage.EMPTYING
    empty_at_ms: int | None = None
    last_order_ms: int = 0


@dataclasses.dataclass(slots=True)
class TrackedWave:
    """A wave and its progress.

    Attributes:
        wave: The wave that the operators requested.
        maintained: The machines that need no more maintenance: they have been
            maintained, were permanently refused by the platform or no longer
            exist.
        completed: Whether the stored progress says that the wave is complete.
    """

    wave: machines.Wave
    maintained: set[ids.MachineId]
    completed: bool = False


@dataclasses.dataclass(frozen=True)
class PoolStatus:
    """Declared properties of a pool, and its demand.

    Attributes:
        standby: Whether the pool holds machines that are switched off until
            they are moved to another pool.
        estimator: Estimator of the pool's demand; None until the pool's owner
            has reported a load.
    """

    standby: bool
    estimator: demand.DemandEstimator | None
