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

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call back after each change."""

    async def run(self) -> None:
        """Follow for ever."""
