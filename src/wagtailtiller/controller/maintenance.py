"""Carries out what the fleet's plan asks for: drains, reboots and returns."""

import asyncio
from collections.abc import Callable

import msgspec

from wagtailtiller import clock
from wagtailtiller import events
from wagtailtiller import fleet
from wagtailtiller import ids
from wagtailtiller import replica
from wagtailtiller import roster
from wagtailtiller import statsd_metrics
from wagtailtiller.controller import owners
from wagtailtiller.dispatch import messages
from wagtailtiller.fleet import balancing
from wagtailtiller.fleet import planning
from wagtailtiller.fleet import writing
from wagtailtiller.ports import platform

_LOADS_EVERY_MS = 5_000


class Maintenance:
    """One step at a time brings the fleet towards its plan.

    Args:
        shared: This process's copy of the shared state.
        writer: Writes fleet commands.
        vms: The platform.
        gateways: Asks the pool owners.
        leads: Whether this controller leads.
        time: The clock.
        metrics_client: Where writes are counted.
    """

    def __init__(
        self,
        shared: replica.Replica,
        writer: writing.FleetWriter,
        vms: platform.Platform,
        gateways: owners.OwnerClient,
        leads: Callable[[], bool],
        time: clock.Clock,
        metrics_client: statsd_metrics.MetricsClient,
    ) -> None:
        self._replica = shared
        self._writer = writer
        self._platform = vms
        self._owners = gateways
        self._leads = leads
        self._clock = time
        self._metrics_client = metrics_client
        self._balancer = balancing.Balancer()
        self._loads_ms = 0

    async def step(self) -> bool:
        """Look at the platform once and do what is due.

        Returns:
            Whether VMs are on their way out of service or back, so that the
            next look is due soon.
        """
        if not self._leads() or not self._replica.settings.revision:
            return False
        listed = await self._platform.list_vms()
        if listed.is_error():
            events.emit(
                events.Event.PLATFORM_UNREACHABLE, reason=str(listed.error)
            )
            return False
        reports = {report.vm: report for report in listed.ok}
        if not reports:
            return False
        await self._observe_loads()
        drained = await self._drained()
        current = await self._submit(reports, drained)
        await self._reboot_stopped(current)
        return any(
            record.state in (fleet.VmState.LEAVING, fleet.VmState.STOPPED)
            for record in current.vms.values()
        )

    async def _observe_loads(self) -> None:
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._loads_ms < _LOADS_EVERY_MS:
            return
        self._loads_ms = now_ms
        members = self._replica.roster.members.values()
        answers = await asyncio.gather(
            *(self._owners.loads(member) for member in members)
        )
        for loads in answers:
            for load in loads:
                self._balancer.observe(load, now_ms)

    async def _drained(self) -> list[fleet.Command]:
        leaving = [
            (vm, record)
            for vm, record in self._replica.fleet.vms.items()
            if record.state is fleet.VmState.LEAVING
            and not isinstance(record.goal, fleet.Evicted)
        ]
        answers = await asyncio.gather(
            *(self._ask_owner(vm, record) for vm, record in leaving)
        )
        return [
            fleet.Drained(vm, answer.generation)
            for (vm, _), answer in zip(leaving, answers, strict=True)
            if answer.owner and answer.idle
        ]

    async def _ask_owner(
        self, vm: ids.VmId, record: fleet.VmRecord
    ) -> messages.DrainResponse:
        owner = roster.owner(self._replica.roster, record.pool)
        if owner is None:
            return messages.DrainResponse(owner=False)
        return await self._owners.drain(owner, vm)

    async def _submit(
        self, reports: planning.Reports, drained: list[fleet.Command]
    ) -> fleet.Fleet:
        catalogue = self._replica.settings.catalogue

        def plan(current: fleet.Fleet) -> list[fleet.Command]:
            observed = planning.observe(current, catalogue, reports)
            planned = planning.plan(current, catalogue, self._balancer.busy)
            now_ms = self._clock.monotonic_ms()
            moves = self._balancer.moves(current, catalogue, now_ms)
            return observed + drained + planned + moves

        if not plan(self._replica.fleet):
            return self._replica.fleet
        outcome = await self._writer.submit(plan, catalogue)
        if outcome.is_error():
            return self._replica.fleet
        for decision in outcome.ok.decisions:
            _log(decision)
            if decision.refusal is None:
                self._metrics_client.incr(
                    statsd_metrics.Metric.FLEET_WRITES.value
                )
        _log_ended_waves(self._replica.fleet, outcome.ok.fleet)
        return outcome.ok.fleet

    async def _reboot_stopped(self, current: fleet.Fleet) -> None:
        """Reboot what is stopped.

        The fleet may be stale by now, which is harmless: the platform leaves
        alone a VM that has started since.
        """
        for vm, record in current.vms.items():
            if record.state is not fleet.VmState.STOPPED:
                continue
            accepted = await self._platform.reboot(vm, record.boot)
            if accepted.is_ok() and accepted.ok:
                events.emit(events.Event.REBOOT_REQUESTED, vm=vm)


def _log_ended_waves(before: fleet.Fleet, after: fleet.Fleet) -> None:
    for name, wave in after.waves.items():
        old = before.waves.get(name)
        ended = wave.state is not fleet.WaveState.RUNNING
        if ended and old is not None and old.state is not wave.state:
            events.emit(
                events.Event.WAVE_ENDED, wave=name, state=wave.state.value
            )


def _log(decision: writing.Decision) -> None:
    fields = {
        "command": type(decision.command).__name__,
        "detail": msgspec.to_builtins(decision.command),
    }
    if decision.refusal is None:
        events.emit(events.Event.FLEET_COMMAND_APPLIED, **fields)
    else:
        events.emit(
            events.Event.FLEET_COMMAND_REFUSED,
            refusal=str(decision.refusal),
            **fields,
        )
