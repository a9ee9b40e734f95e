"""Interface to the platform that owns the VMs."""

import enum
from typing import Protocol

from expression import Result
import msgspec

from wagtailtiller import errors
from wagtailtiller import ids


class ListedVmPhase(enum.Enum):
    """Phase of a VM in the platform's list, which lags behind."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class ListedVm(msgspec.Struct, frozen=True):
    """Entry of the platform's VM list.

    Attributes:
        vm: Id of the VM.
        phase: Phase of the VM when the list was made.
        boot: Number of starts of the VM.
        stops_at_ms: Wall-clock time in ms at which a leaving VM stops; 0 if
            unknown.
    """

    vm: ids.VmId
    phase: ListedVmPhase
    boot: int
    stops_at_ms: int = 0


class Platform(Protocol):
    """Interface of the platform's VM service."""

    async def list_vms(
        self,
    ) -> Result[list[ListedVm], errors.PlatformUnavailable]:
        """Return the live and leaving VMs; the list may be out of date."""

    async def reboot(
        self, vm: ids.VmId, after_boot: int
    ) -> Result[bool, errors.PlatformUnavailable]:
        """Reboot a VM for maintenance; the call is idempotent.

        Args:
            vm: Id of the VM.
            after_boot: Current start count of the VM. A VM with a higher
                count is not rebooted.

        Returns:
            Whether the platform accepted the request.
        """


VmListResult = Result[list[ListedVm], errors.PlatformUnavailable]
RebootResult = Result[bool, errors.PlatformUnavailable]
