"""What can be asked of a fleet; ``aggregate.apply`` decides on each."""

import dataclasses

from wagtailtiller import ids
from wagtailtiller.fleet import model


@dataclasses.dataclass(frozen=True)
class Enrol:
    """Add a VM that the settings declare to its first pool."""

    vm: ids.VmId
    pool: ids.PoolId
    boot: int


@dataclasses.dataclass(frozen=True)
class StartWave:
    """Begin to maintain every VM of a pool."""

    wave: ids.WaveId
    pool: ids.PoolId
    who: str


@dataclasses.dataclass(frozen=True)
class CancelWave:
    """Maintain no further VM in a wave."""

    wave: ids.WaveId


@dataclasses.dataclass(frozen=True)
class BeginLeave:
    """Take a VM out of service for a planned reason."""

    vm: ids.VmId
    goal: model.Maintain | model.Move


@dataclasses.dataclass(frozen=True)
class CancelLeave:
    """Return a leaving VM to service."""

    vm: ids.VmId


@dataclasses.dataclass(frozen=True)
class Drained:
    """Nothing runs on a leaving VM, and nothing more will be placed there.

    Attributes:
        vm: The VM.
        generation: The generation that the dispatcher's answer was about.
    """

    vm: ids.VmId
    generation: int


@dataclasses.dataclass(frozen=True)
class Evict:
    """The platform announced that it takes a VM away."""

    vm: ids.VmId


@dataclasses.dataclass(frozen=True)
class Fail:
    """A VM was found dead."""

    vm: ids.VmId


@dataclasses.dataclass(frozen=True)
class Return:
    """A stopped or failed VM is live again.

    Attributes:
        vm: The VM.
        boot: Its start count now.
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
