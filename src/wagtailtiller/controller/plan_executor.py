"""Execution of the fleet's plan: drains, reboots and returns to service."""

import asyncio
from collections.abc import Callable

import msgspec

from wagtailtiller import clock as clock_module
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

_LOADS_INTERVAL_MS = 5_000


class PlanExecutor:
    """Executes the fleet's plan one step at a time.

    Args:
        state_replica: This process's copy of the shared state.
        writer: Writer that submits fleet commands.
        vms: Client of the platform's VM interface.
        owner_client: Client that queries the gateways that own pools.
        is_leader: Function that returns whether this controller is the leader.
        clock: Clock that supplies the current time.
        metrics_client: Client that counts the fleet commands written.
    """

    def __init__(
        self,
        state_replica: replica.Replica,
        writer: writing.FleetWriter,
        vms: platform.Platform,
        owner_client: owners.OwnerClient,
        is_leader: Callable[[], bool],
        clock: clock_module.Clock,
        metrics_client: statsd_metrics.MetricsClient,
    ) -> None:
        self._replica = state_replica
        self._writer = writer
        self._platform = vms
        self._owners = owner_client
        self._is_leader = is_leader
        self._clock = clock
        self._metrics_client = metrics_client
        self._balancer = balancing.Balancer()
        self._last_loads_ms = 0

    async def step(self) -> bool:
        """Query the platform once and perform the steps that are due.

        Returns:
            Whether VMs are leaving service or rebooting, so that the next
            step is due soon.
        """
        if not self._is_leader() or not self._replica.settings.revision:
            return False
        listed = await self._platform.list_vms()
        if listed.is_error():
            events.emit(
                events.Event.PLATFORM_UNREACHABLE, reason=str(listed.error)
            )
            return False
        listed_vms = {listed_vm.vm: listed_vm for listed_vm in listed.ok}
        if not listed_vms:
            return False
        await self._observe_loads()
        drained_commands = await self._query_drained()
        current = await self._submit(listed_vms, drained_commands)
        await self._reboot_stopped(current)
        return any(
            record.state in (fleet.VmState.LEAVING, fleet.VmState.STOPPED)
            for record in current.vms.values()
        )

    async def _observe_loads(self) -> None:
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._last_loads_ms < _LOADS_INTERVAL_MS:
            return
        self._last_loads_ms = now_ms
        members = self._replica.roster.members.values()
        responses = await asyncio.gather(
            *(self._owners.loads(member) for member in members)
        )
        for loads in responses:
            for load in loads:
                self._balancer.observe(load, now_ms)

    async def _query_drained(self) -> list[fleet.Command]:
        leaving = [
            (vm, record)
            for vm, record in self._replica.fleet.vms.items()
            if record.state is fleet.VmState.LEAVING
            and not isinstance(record.goal, fleet.Evicted)
        ]
        responses = await asyncio.gather(
            *(self._query_drain_state(vm, record) for vm, record in leaving)
        )
        return [
            fleet.Drained(vm, response.generation)
            for (vm, _), response in zip(leaving, responses, strict=True)
            if response.owner and response.idle
        ]

    async def _query_drain_state(
        self, vm: ids.VmId, record: fleet.VmRecord
    ) -> messages.DrainResponse:
        owner = roster.owner(self._replica.roster, record.pool)
        if owner is None:
            return messages.DrainResponse(owner=False)
        return await self._owners.drain(owner, vm)

    async def _submit(
        self,
        listed_vms: planning.ListedVms,
        drained_commands: list[fleet.Command],
    ) -> fleet.Fleet:
        catalogue = self._replica.settings.catalogue

        def plan(current: fleet.Fleet) -> list[fleet.Command]:
            observation_commands = planning.observe(
                current, catalogue, listed_vms
            )
            plan_commands = planning.plan(
                current, catalogue, self._balancer.busy
            )
            now_ms = self._clock.monotonic_ms()
            moves = self._balancer.moves(current, catalogue, now_ms)
            return (
                observation_commands + drained_commands + plan_commands + moves
            )

        if not plan(self._replica.fleet):
            return self._replica.fleet
        outcome = await self._writer.submit(plan, catalogue)
        if outcome.is_error():
            return self._replica.fleet
        for decision in outcome.ok.decisions:
            _log_decision(decision)
            if decision.refusal is None:
                self._metrics_client.incr(
                    statsd_metrics.Metric.FLEET_WRITES.value
                )
        _log_ended_waves(self._replica.fleet, outcome.ok.fleet)
        return outcome.ok.fleet

    async def _reboot_stopped(self, current: fleet.Fleet) -> None:
        """Reboot the stopped VMs.

        The fleet state may be out of date. This is harmless, because the
        platform does not reboot a VM that has started in the meantime.
        """
        for vm, record in current.vms.items():
            if record.state is not fleet.VmState.STOPPED:
                continue
            accepted = await self._platform.reboot(vm, record.boot)
            if accepted.is_ok() and accepted.ok:
                events.emit(events.Event.REBOOT_REQUESTED, vm=vm)


def _log_ended_waves(before: fleet.Fleet, after: fleet.Fleet) -> None:
    for name, wave in after.waves.items():
        previous = before.waves.get(name)
        has_ended = wave.state is not fleet.WaveState.RUNNING
        if (
            has_ended
            and previous is not None
            and previous.state is not wave.state
        ):
            events.emit(
                events.Event.WAVE_ENDED, wave=name, state=wave.state.value
            )


def _log_decision(decision: writing.Decision) -> None:
    log_fields = {
        "command": type(decision.command).__name__,
        "detail": msgspec.to_builtins(decision.command),
    }
    if decision.refusal is None:
        events.emit(events.Event.FLEET_COMMAND_APPLIED, **log_fields)
    else:
        events.emit(
            events.Event.FLEET_COMMAND_REFUSED,
            refusal=str(decision.refusal),
            **log_fields,
        )
