"""Commands on VMs, waves and gateways, and the status overview."""

import asyncio
import collections
import json
from typing import ClassVar
import uuid

from cleo.helpers import argument
from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from wagtailtiller import errors
from wagtailtiller import fleet
from wagtailtiller import ids
from wagtailtiller.ctl import base
from wagtailtiller.ctl import output
from wagtailtiller.ctl import session as session_module

_POLL_S = 0.2


class VmCommand(base.StoreCommand):
    """Lists VMs or moves one to another pool."""

    name = "vm"
    description = (
        "List VMs or move one. Example: wagtailctl vm kal-07 --move-to plates"
    )
    arguments: ClassVar[list[Argument]] = [
        argument("vm", "The VM.", optional=True)
    ]
    options: ClassVar[list[Option]] = [
        *base.StoreCommand.options,
        option("move-to", None, "The pool to move the VM to.", False),
    ]

    async def perform(self, session: session_module.OperatorSession) -> int:
        """Move the VM if a pool is given, then list the VMs."""
        vms = session.replica.fleet.vms
        name = self.argument("vm")
        if name and name not in vms:
            return self.not_found(f"VM {name}")
        to_pool = self.option("move-to")
        if to_pool:
            goal = fleet.Move(ids.PoolId(to_pool))
            written = await session.command(fleet.BeginLeave(name, goal))
            if written.is_error():
                return self.fail(written.error)
            vms = written.ok.fleet.vms
        selected = {name: vms[name]} if name else vms
        rows = [
            (vm, record.pool, record.state.value, record.boot)
            for vm, record in sorted(selected.items())
        ]
        self.show(("VM", "POOL", "STATE", "STARTS"), rows, selected)
        return output.ExitCode.OK


class WaveCommand(base.StoreCommand):
    """Lists, starts, cancels and shows maintenance waves."""

    name = "wave"
    description = (
        "Start or follow a maintenance wave."
        " Example: wagtailctl wave start plates --follow"
    )
    arguments: ClassVar[list[Argument]] = [
        argument("action", "list, start, cancel or show."),
        argument(
            "name",
            "The pool (start) or the wave (cancel, show).",
            optional=True,
        ),
    ]
    options: ClassVar[list[Option]] = [
        *base.StoreCommand.options,
        option("follow", None, "Print the progress until the wave has ended."),
    ]

    async def perform(self, session: session_module.OperatorSession) -> int:
        """Do the action that is given as the first argument."""
        action = self.argument("action")
        name = self.argument("name") or ""
        match action:
            case "list":
                self._show_waves(session.replica.fleet.waves)
                return output.ExitCode.OK
            case "show":
                return await self._follow(session, ids.WaveId(name))
            case "start":
                return await self._start(session, ids.PoolId(name))
            case "cancel":
                command = fleet.CancelWave(ids.WaveId(name))
                return await self._submit(session, command)
        allowed = "one of list, start, cancel, show"
        return self.fail(errors.InvalidSetting("action", action, allowed))

    async def _start(
        self, session: session_module.OperatorSession, pool: ids.PoolId
    ) -> int:
        if pool not in session.replica.settings.catalogue.pools:
            return self.not_found(f"pool {pool}")
        wave = ids.WaveId(f"{pool}-{uuid.uuid4().hex[:6]}")
        who = session.operator.who
        code = await self._submit(session, fleet.StartWave(wave, pool, who))
        if code == output.ExitCode.OK and self.option("follow"):
            return await self._follow(session, wave)
        return code

    async def _submit(
        self, session: session_module.OperatorSession, command: fleet.Command
    ) -> int:
        written = await session.command(command)
        if written.is_error():
            return self.fail(written.error)
        self._show_waves(written.ok.fleet.waves)
        return output.ExitCode.OK

    async def _follow(
        self, session: session_module.OperatorSession, name: ids.WaveId
    ) -> int:
        shown = ""
        while True:
            await session.load()
            wave = session.replica.fleet.waves.get(name)
            if wave is None:
                return self.not_found(f"wave {name}")
            done = wave.total - len(wave.pending)
            line = f"{name}: {done} of {wave.total} {wave.state.value}"
            if line != shown and not self.option("json"):
                self.line(line)
                shown = line
            running = wave.state is fleet.WaveState.RUNNING
            if not running or not self.option("follow"):
                break
            await asyncio.sleep(_POLL_S)
        if self.option("json"):
            self.line(output.format_json(wave))
        return output.ExitCode.OK

    def _show_waves(self, waves: dict[ids.WaveId, fleet.Wave]) -> None:
        rows = [
            (
                name,
                wave.pool,
                wave.state.value,
                f"{wave.total - len(wave.pending)}/{wave.total}",
                wave.who,
            )
            for name, wave in waves.items()
        ]
        self.show(("WAVE", "POOL", "STATE", "DONE", "WHO"), rows, waves)


class GatewayCommand(base.StoreCommand):
    """Lists gateways or strikes off one that is known to be dead."""

    name = "gateway"
    description = (
        "List gateways or strike off a dead one."
        " Example: wagtailctl gateway gw-4 --strike-off"
    )
    arguments: ClassVar[list[Argument]] = [
        argument("gateway", "The gateway.", optional=True)
    ]
    options: ClassVar[list[Option]] = [
        *base.StoreCommand.options,
        option(
            "strike-off",
            None,
            "Remove the gateway, which is dead and will not return.",
        ),
    ]

    async def perform(self, session: session_module.OperatorSession) -> int:
        """Strike off the gateway if asked to, then list the gateways."""
        roster = session.replica.roster
        name = ids.GatewayId(self.argument("gateway") or "")
        if self.option("strike-off"):
            if name not in roster.unaccounted:
                return self.not_found(f"unaccounted gateway {name}")
            written = await session.strike_off(name)
            if written.is_error():
                return self.fail(written.error)
            roster = written.ok
        rows: list[output.Row] = [
            (member.gateway, "leaving" if member.leaving else "member")
            for member in roster.members.values()
        ]
        rows += [(gateway, "unaccounted") for gateway in roster.unaccounted]
        self.show(("GATEWAY", "STATE"), rows, roster)
        return output.ExitCode.OK


class StatusCommand(base.StoreCommand):
    """Prints an overview of the region."""

    name = "status"
    description = "Show gateways, pools and waves. Example: wagtailctl status"

    async def perform(self, session: session_module.OperatorSession) -> int:
        """Print the settings revision, gateways, VM states and waves."""
        replica = session.replica
        counts = fleet.count_states(replica.fleet)
        states: collections.Counter[str] = collections.Counter()
        for per_state in counts.values():
            for state, count in per_state.items():
                states[state.value] += count
        running = [
            name
            for name, wave in replica.fleet.waves.items()
            if wave.state is fleet.WaveState.RUNNING
        ]
        overview = {
            "settings_revision": replica.settings.revision,
            "roster_epoch": replica.roster.epoch,
            "gateways": sorted(replica.roster.members),
            "vms": dict(states),
            "running_waves": running,
        }
        rows = [
            (
                name,
                json.dumps(value) if isinstance(value, dict | list) else value,
            )
            for name, value in overview.items()
        ]
        self.show(("WHAT", "VALUE"), rows, overview)
        return output.ExitCode.OK
