"""What the package needs of the platform that owns the VMs."""

import enum
from typing import Protocol

from expression import Result
import msgspec

from wagtailtiller import errors
from wagtailtiller import ids


class VmPhase(enum.Enum):
    """A VM's condition in the platform's lagging list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class VmReport(msgspec.Struct, frozen=True):
    """One entry of the platform's list.

    Attributes:
        vm: The VM.
        phase: Its condition when the list was made.
        boot: Counts the VM's starts.
        stops_at_ms: When a leaving VM is going to stop, in wall-clock
            milliseconds; 0 when unknown.
    """

    vm: ids.VmId
    phase: VmPhase
    boot: int
    stops_at_ms: int = 0


class Platform(Protocol):
    """The platform's VM interface."""

    async def list_vms(
        self,
    ) -> Result[list[VmReport], errors.PlatformUnavailable]:
        """Return the live and leaving VMs; the list lags behind."""

    async def reboot(
        self, vm: ids.VmId, after_boot: int
    ) -> Result[bool, errors.PlatformUnavailable]:
        """Reboot a VM for maintenance; repeating the call has no effect.

        Args:
            vm: The VM.
            after_boot: The start count that the VM has now; a VM that has
                started since is left alone.
        """


Listing = Result[list[VmReport], errors.PlatformUnavailable]
Done = Result[bool, errors.PlatformUnavailable]
