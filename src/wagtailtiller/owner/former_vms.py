"""Finds out which former members of a pool have surely ended.

What an owner inherits waits for the VMs on which it may still run. One that
does not answer may be cut off and run on; but when its machine has moved, is
being maintained or carries another VM, its life is over.
"""

import asyncio

from wagtailtiller import events
from wagtailtiller.owner import members as members_module
from wagtailtiller.ports import machines
from wagtailtiller.scheduling import pool as pool_module

# The VMs that are still there have answered by then.
_FIRST_LOOK_S = 0.3
# The platform takes few readings of its list.
_LOOK_EVERY_S = 1.0


class FormerVmCheck:
    """Looks at the machines of former members until none is open.

    Args:
        pool: The pool.
        members: Knows on which machines they stood.
        service: The machine service.
    """

    def __init__(
        self,
        pool: pool_module.Pool,
        members: members_module.Members,
        service: machines.Machines,
    ) -> None:
        self._pool = pool
        self._members = members
        self._service = service

    async def run(self) -> None:
        """Look until every former member has answered or ended."""
        await asyncio.sleep(_FIRST_LOOK_S)
        while self._pool.unresolved:
            await self._look()
            await asyncio.sleep(_LOOK_EVERY_S)

    async def _look(self) -> None:
        answer = await self._service.list()
        if answer.is_error():
            events.emit(
                events.Event.PLATFORM_UNREACHABLE, reason=str(answer.error)
            )
            return
        standing = {row.machine: row for row in answer.ok}
        for vm in list(self._pool.unresolved):
            row = standing.get(self._members.machines[vm])
            if row is None:
                continue
            away = row.state in (
                machines.MachineState.MOVING,
                machines.MachineState.UPKEEP,
            )
            if away or row.vm != vm:
                self._pool.vm_tracker.mark_ended(vm)
