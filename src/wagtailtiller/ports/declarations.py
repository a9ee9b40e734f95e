"""What the operators and the VMs have written for the package to follow."""

from collections.abc import Callable
from typing import Protocol

from wagtailtiller import ids
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import machines
from wagtailtiller.ports import vms


class Declarations(Protocol):
    """A live view of the declarations."""

    catalogue: catalogue.Catalogue | None
    vms: dict[ids.VmId, vms.VmReport]
    waves: dict[ids.WaveId, machines.Wave]

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Call back after each change."""

    def wave_status_key(self, wave: ids.WaveId) -> str:
        """Return where the operators read about a wave."""

    def wave_status(self, wave: ids.WaveId, completed: bool) -> bytes:
        """Encode what the operators read about a wave."""

    async def run(self) -> None:
        """Follow the operators for ever."""

    async def run_vms(self) -> None:
        """Follow the VMs until cancelled; they are forgotten then."""
