"""Keeps the machines: one process at a time, under the shard's ownership."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller import runtime
from wagtailtiller import tasks
from wagtailtiller.maintenance import demand
from wagtailtiller.maintenance import fleet as fleet_module
from wagtailtiller.maintenance import ledger
from wagtailtiller.owner import messages
from wagtailtiller.ownership import claims
from wagtailtiller.ports import declarations
from wagtailtiller.ports import machines
from wagtailtiller.ports import store

_LOOK_EVERY_MS = 200
_LIST_IN_MOTION_MS = 400
_LIST_AT_REST_MS = 2_000
_ORDER_AGAIN_MS = 300
# Orders by a former keeper may still be on their way.
_TAKEOVER_MARGIN_MS = 250

Ask = Callable[
    [ids.PoolId, messages.Request], Awaitable[messages.Answer | None]
]


class MachineManager:
    """The process side of the fleet.

    Args:
        claim: The ownership of the machines.
        store_client: The store.
        platform: The machine service.
        declared: What operators and VMs have written.
        ask: Asks a pool's owner.
        clock: The time.
        machine_lease_ms: Two keepers must not order one machine within it.
        may_order: Whether the ownership is certain at this moment.
        rng: Spreads retries.
    """

    def __init__(
        self,
        claim: claims.Claim,
        store_client: store.Store,
        platform: machines.Machines,
        declared: declarations.Declarations,
        ask: Ask,
        clock: clock_module.Clock,
        machine_lease_ms: int,
        may_order: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self.claim = claim
        self._platform = platform
        self._declared = declared
        self._ask = ask
        self._clock = clock
        self._pause_ms = machine_lease_ms + _TAKEOVER_MARGIN_MS
        self._may_order = may_order
        self._fleet = fleet_module.Fleet(clock)
        self._demands: dict[ids.PoolId, demand.Demand] = {}
        self._ledger = ledger.Ledger(
            store_client, claim, declared, clock, follower.Backoff(rng)
        )
        self._listed_ms: int | None = None
        self._background = tasks.TaskGroup()
        self._busy: set[ids.MachineId] = set()
        self._main_task = runtime.spawn(self._main())

    async def stop(self) -> None:
        """Give no more orders."""
        await tasks.end([self._main_task])
        await self._background.cancel()

    async def _main(self) -> None:
        # Orders of a former keeper may have been carried out just now, or
        # still be on their way.
        former = await self._ledger.read_orders()
        self._fleet.start_cooldown(
            former, self._clock.monotonic_ms() + self._pause_ms
        )
        while True:
            await asyncio.sleep(_LOOK_EVERY_MS / 1_000)
            await self._look()

    async def _look(self) -> None:
        if self._declared.catalogue is None:
            return
        await self._take_waves()
        await self._take_loads()
        await self._take_list()
        if self._listed_ms is None:
            return
        self._fleet.plan()
        await self._ledger.announce(
            set(self._fleet.operations),
            self._fleet.ordered_within(self._pause_ms),
        )
        for operation in list(self._fleet.operations.values()):
            if operation.machine not in self._busy:
                self._busy.add(operation.machine)
                self._background.spawn(self._serve(operation))
        await self._save_waves()

    # What is known.

    async def _take_waves(self) -> None:
        for wave in list(self._declared.waves.values()):
            if wave.wave in self._fleet.waves:
                continue
            progress = await self._ledger.read_wave(wave.wave)
            if progress is None:
                continue
            tracked_wave = fleet_module.TrackedWave(
                wave, set(progress.done), progress.completed
            )
            self._fleet.waves[wave.wave] = tracked_wave
            events.emit(
                events.Event.WAVE_CHANGED,
                wave=wave.wave,
                state="taken",
                machines=len(wave.machines),
                done=len(tracked_wave.done),
                max_out=wave.max_out,
            )

    async def _take_loads(self) -> None:
        declared = self._declared.catalogue
        assert declared is not None
        served = {queue.pool for queue in declared.queues}
        spare = self._fleet.spare_millicores()
        answers = await asyncio.gather(
            *(self._ask(pool, messages.AskLoad(pool, spare)) for pool in served)
        )
        pool_statuses = {}
        for pool in declared.pools:
            need = self._demands.get(pool.pool)
            pool_statuses[pool.pool] = fleet_module.PoolStatus(
                pool.standby, need
            )
        self._fleet.pools = pool_statuses
        for pool_id, answer in zip(served, answers, strict=True):
            if isinstance(answer, messages.Load):
                self._take_load(pool_id, answer)

    def _take_load(self, pool: ids.PoolId, load: messages.Load) -> None:
        need = self._demands.setdefault(pool, demand.Demand())
        running = sum(vm.short_millicores for vm in load.vms)
        need.note(
            demand.PoolLoad(
                self._clock.monotonic_ms(),
                load.arrived_core_ms,
                load.arrived_jobs,
                load.idle_millicores,
                running,
                load.lasting_millicores,
                load.lasting_waiting,
            )
        )
        for vm in load.vms:
            self._fleet.loads[vm.vm] = vm

    async def _take_list(self) -> None:
        every_ms = _LIST_AT_REST_MS
        if self._fleet.in_motion():
            every_ms = _LIST_IN_MOTION_MS
        now_ms = self._clock.monotonic_ms()
        if self._listed_ms is not None and now_ms - self._listed_ms < every_ms:
            return
        answer = await self._platform.list()
        if answer.is_error():
            events.emit(
                events.Event.PLATFORM_UNREACHABLE, reason=str(answer.error)
            )
            return
        self._listed_ms = now_ms
        self._fleet.list_machines(answer.ok)

    # Orders.

    async def _serve(self, operation: fleet_module.MachineOperation) -> None:
        try:
            if operation.stage is fleet_module.Stage.EMPTYING and operation.vm:
                await self._vacate(operation)
            if self._fleet.may_order(operation):
                await self._order(operation)
        finally:
            self._busy.discard(operation.machine)

    async def _vacate(self, operation: fleet_module.MachineOperation) -> None:
        machine = self._fleet.machines.get(operation.machine)
        if machine is None:
            return
        mode = messages.VacateMode.MOVE_LONG_RUNNING
        if self._fleet.force(operation):
            mode = messages.VacateMode.MOVE_ALL
        answer = await self._ask(
            machine.pool, messages.Vacate(machine.pool, operation.vm, mode)
        )
        if isinstance(answer, messages.Vacated):
            self._fleet.vacated(operation, answer.runs_left)

    async def _order(self, operation: fleet_module.MachineOperation) -> None:
        now_ms = self._clock.monotonic_ms()
        if now_ms - operation.tried_ms < _ORDER_AGAIN_MS:
            return
        if operation.machine not in self._ledger.announced:
            return
        if not self._may_order():
            # A process that has slept may have a successor.
            return
        self._fleet.ordering(operation)
        epoch = self.claim.epoch
        if operation.wave is not None:
            outcome = await self._platform.maintain(
                operation.machine, operation.wave, epoch
            )
        else:
            assert operation.pool is not None
            outcome = await self._platform.move(
                operation.machine, operation.pool, epoch
            )
        events.emit(
            events.Event.MACHINE_ORDERED,
            machine=operation.machine,
            vm=operation.vm,
            wave=operation.wave,
            pool=operation.pool,
            outcome=outcome.value,
            epoch=epoch,
            waited_ms=now_ms - operation.since_ms,
        )
        self._fleet.ordered(operation, outcome)

    # What is kept.

    async def _save_waves(self) -> None:
        for wave_id, tracked_wave in list(self._fleet.waves.items()):
            progress = ledger.WaveProgress(
                sorted(tracked_wave.done),
                self._fleet.is_completed(tracked_wave),
            )
            if not await self._ledger.save_wave(wave_id, progress):
                continue
            tracked_wave.completed = progress.completed
            if tracked_wave.completed:
                events.emit(
                    events.Event.WAVE_CHANGED, wave=wave_id, state="completed"
                )
