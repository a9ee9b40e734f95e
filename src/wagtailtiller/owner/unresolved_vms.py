"""Detects which VM instances of a previous owner have ended.

After a takeover, a task that may still run on a VM of the previous owner is
not started elsewhere until the VM has responded or its lease has expired. An
unresponsive VM may be cut off from this process and still run tasks, but its
instance has ended if the platform lists its machine as moving, under
maintenance or carrying another VM.
"""

import asyncio

from wagtailtiller import events
from wagtailtiller.owner import members as members_module
from wagtailtiller.ports import machines
from wagtailtiller.scheduling import pool as pool_module

# VMs that still run and can be reached have responded by then.
_FIRST_CHECK_DELAY_S = 0.3
# The platform limits how often its machine list may be read.
_CHECK_INTERVAL_S = 1.0


class UnresolvedVmCheck:
    """Compares unresolved VMs with the machine list until none is left.

    Args:
        pool: Pool whose unresolved VMs are checked.
        members: Member list of the pool, which names the machine of each VM.
        machine_service: Machine service of the platform.
    """

    def __init__(
        self,
        pool: pool_module.Pool,
        members: members_module.MemberList,
        machine_service: machines.MachineService,
    ) -> None:
        self._pool = pool
        self._members = members
        self._machine_service = machine_service

    async def run(self) -> None:
        """Check until each unresolved VM has responded or ended."""
        await asyncio.sleep(_FIRST_CHECK_DELAY_S)
        while self._pool.unresolved:
            await self._check()
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def _check(self) -> None:
        before = dict(self._pool.unresolved)
        result = await self._machine_service.list()
        if result.is_error():
            events.emit(
                events.Event.PLATFORM_UNREACHABLE, reason=str(result.error)
            )
            return
        machine_by_id = {machine.machine: machine for machine in result.ok}
        for vm, until_ms in list(self._pool.unresolved.items()):
            if before.get(vm) != until_ms:
                # The VM has registered since; the list may be older than that.
                continue
            machine = machine_by_id.get(self._members.machine_by_vm[vm])
            if machine is None:
                continue
            out_of_service = machine.state in (
                machines.MachineState.MOVING,
                machines.MachineState.MAINTENANCE,
            )
            if out_of_service or machine.vm != vm:
                self._pool.vm_tracker.mark_ended(vm)
