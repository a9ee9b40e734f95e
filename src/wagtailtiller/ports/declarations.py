"""Interface to the declarations that operators and VMs write."""

from collections.abc import Callable
from typing import Protocol

from wagtailtiller import ids
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import machines
from wagtailtiller.ports import vms


class Declarations(Protocol):
    """View of the declarations that is kept up to date.

    Attributes:
        catalogue: Declared queues and pools; None until they have been read.
        vms: Reports of the registered VMs, by VM id.
        waves: Declared maintenance waves, by wave id.
    """

    catalogue: catalogue.Catalogue | None
    vms: dict[ids.VmId, vms.VmReport]
    waves: dict[ids.WaveId, machines.Wave]

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Register a callback.

        Args:
            on_change: Called after each change of the declarations.
        """

    def wave_status_key(self, wave: ids.WaveId) -> str:
        """Return the store key of a wave's status."""

    def wave_status(self, wave: ids.WaveId, completed: bool) -> bytes:
        """Encode a wave's status for the operators.

        Args:
            wave: Id of the wave.
            completed: Whether the wave is completed.
        """

    async def run(self) -> None:
        """Follow the declarations of the operators until cancelled."""

    async def follow_vms(self) -> None:
        """Follow the VM reports until cancelled, then clear ``vms``."""
