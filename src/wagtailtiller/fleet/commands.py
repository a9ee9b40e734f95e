"""Fleet commands, which ``aggregate.apply`` accepts or refuses."""

import dataclasses

from wagtailtiller import ids
from wagtailtiller.fleet import model


@dataclasses.dataclass(frozen=True)
class Enrol:
    """Adds a VM that the settings declare to its initial pool.

    Attributes:
        vm: The VM.
        pool: Pool that the settings declare for the VM.
        boot: Start count of the VM as listed by the platform.
    """

    vm: ids.VmId
    pool: ids.PoolId
    boot: int


@dataclasses.dataclass(frozen=True)
class StartWave:
    """Starts a maintenance wave over all VMs of a pool.

    Attributes:
        wave: Id of the new wave.
        pool: Pool whose VMs are maintained.
        who: Operator who starts the wave.
    """

    wave: ids.WaveId
    pool: ids.PoolId
    who: str


@dataclasses.dataclass(frozen=True)
class CancelWave:
    """Cancels a wave, so that no further VM is maintained.

    Attributes:
        wave: The wave.
    """

    wave: ids.WaveId


@dataclasses.dataclass(frozen=True)
class BeginLeave:
    """Begins to take a VM out of service for planned work.

    Attributes:
        vm: The VM.
        goal: Maintenance or move for which the VM leaves.
    """

    vm: ids.VmId
    goal: model.Maintain | model.Move


@dataclasses.dataclass(frozen=True)
class CancelLeave:
    """Returns a leaving VM to service.

    Attributes:
        vm: The VM.
    """

    vm: ids.VmId


@dataclasses.dataclass(frozen=True)
class Drained:
    """Records that a leaving VM runs nothing and will get no more work.

    Attributes:
        vm: The VM.
        generation: Generation of the VM to which the drain response
            applies.
    """

    vm: ids.VmId
    generation: int


@dataclasses.dataclass(frozen=True)
class Evict:
    """Records that the platform announced the removal of a VM.

    Attributes:
        vm: The VM.
    """

    vm: ids.VmId


@dataclasses.dataclass(frozen=True)
class Fail:
    """Records that a VM has failed.

    Attributes:
        vm: The VM.
    """

    vm: ids.VmId


@dataclasses.dataclass(frozen=True)
class Return:
    """Records that a VM that was out of service is live again.

    Attributes:
        vm: The VM.
        boot: Current start count of the VM.
    """

    vm: ids.VmId
    boot: int


Command = (
    Enrol
    | StartWave
    | CancelWave
    | BeginLeave
    | CancelLeave
    | Drained
    | Evict
    | Fail
    | Return
)
