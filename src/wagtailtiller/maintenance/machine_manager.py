"""Runs the maintenance and the moves of all machines in one process.

The process that owns the shard of the machines runs the machine manager.
"""

import asyncio
from collections.abc import Callable
import random

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller import runtime
from wagtailtiller import tasks
from wagtailtiller.maintenance import demand
from wagtailtiller.maintenance import load_collector
from wagtailtiller.maintenance import machine_fleet
from wagtailtiller.maintenance import manager_state
from wagtailtiller.maintenance import operations
from wagtailtiller.maintenance import season as season_module
from wagtailtiller.owner import messages
from wagtailtiller.ownership import authority
from wagtailtiller.ownership import claims
from wagtailtiller.ports import declarations
from wagtailtiller.ports import machines
from wagtailtiller.ports import store

_CYCLE_INTERVAL_MS = 200
_ACTIVE_LIST_INTERVAL_MS = 400
_IDLE_LIST_INTERVAL_MS = 2_000
_ORDER_RETRY_INTERVAL_MS = 300
# Orders may be in transit for this long.
_ORDER_MARGIN_MS = 250


class MachineManager:
    """Carries out the operations that the fleet plans.

    It starts on construction and runs until ``stop`` is called.

    Args:
        claim: Claim of the shard of the machines.
        store_client: Client of the store.
        platform: Client of the platform's machine service.
        declared: Declarations of the operators and VMs.
        ask_owner: Sends a request to the owner of a pool and returns the
            answer, or None if none came.
        clock: Clock that supplies the current time.
        machine_lease_ms: Time within which two machine managers must not
            order the same machine.
        owner_authority: Tells what this process may do under its lease.
        on_lost: Called with this manager and a reason when the ownership is
            lost.
        rng: Random source that spreads retries.

    Attributes:
        claim: Claim of the shard of the machines.
    """

    def __init__(
        self,
        claim: claims.Claim,
        store_client: store.Store,
        platform: machines.MachineService,
        declared: declarations.Declarations,
        ask_owner: load_collector.AskOwner,
        clock: clock_module.Clock,
        machine_lease_ms: int,
        owner_authority: authority.Authority,
        on_lost: Callable[["MachineManager", str], None],
        rng: random.Random,
        pools_with_jobs: Callable[[], set[ids.PoolId]] = set,
    ) -> None:
        self.claim = claim
        self._pools_with_jobs = pools_with_jobs
        self._platform = platform
        self._declared = declared
        self._ask_owner = ask_owner
        self._load_collector = load_collector.LoadCollector(ask_owner)
        self._clock = clock
        # How long after an order another manager must not order the machine.
        self._order_span_ms = machine_lease_ms + _ORDER_MARGIN_MS
        # The store may end leases before their time, so that the previous
        # manager's last renewal may be as recent as the takeover.
        self._cooldown_ms = (
            authority.MAX_LEASE_AGE_MS[authority.Action.ORDER_MACHINES]
            + self._order_span_ms
        )
        self._authority = owner_authority
        self._on_lost = on_lost
        self._fleet = machine_fleet.MachineFleet(
            clock, sizes_are_given=claim.epoch == claims.FIRST_EPOCH
        )
        self._estimators: dict[ids.PoolId, demand.DemandEstimator] = {}
        self._state = manager_state.ManagerState(
            store_client,
            claim,
            declared,
            clock,
            follower.Backoff(rng),
            self._on_ownership_lost,
        )
        self._season = season_module.SeasonLearner(
            clock.wall_ms() - clock.monotonic_ms()
        )
        self._season_known = False
        self._knows_orders = False
        self._listed_ms: int | None = None
        self._background = tasks.TaskGroup()
        self._in_progress: set[ids.MachineId] = set()
        self._stopped = False
        self._main_task = runtime.spawn(self._main())

    async def stop(self) -> None:
        """Stop, and cancel all operations.

        No order is sent from the first step on. The machines that were ordered
        and the season are stored for the successor, in a bounded time.
        """
        self._stopped = True
        await tasks.cancel_and_wait([self._main_task])
        await self._load_collector.cancel()
        await self._background.cancel()
        if not self._knows_orders:
            return
        ordered = self._fleet.recently_ordered(self._order_span_ms)
        stored = await self._state.save_at_stop(ordered, self._season.season())
        events.emit(
            events.Event.MANAGER_STOPPED,
            epoch=self.claim.epoch,
            ordered=len(ordered),
            planned=len(self._fleet.operations),
            stored=stored,
        )

    async def _main(self) -> None:
        # Orders from the previous machine manager may have been carried out
        # just now, or may still be in transit.
        previously_ordered = await self._state.read_orders()
        if previously_ordered is None:
            await asyncio.sleep(self._cooldown_ms / 1_000)
        self._fleet.start_cooldown(
            previously_ordered or set(),
            self._clock.monotonic_ms() + self._cooldown_ms,
        )
        self._knows_orders = True
        self._background.spawn(self._restore_season())
        while True:
            await self._run_cycle()
            await asyncio.sleep(_CYCLE_INTERVAL_MS / 1_000)

    def _may_act(self) -> bool:
        # A process that was suspended or is cut off from the store may have
        # been replaced by a successor.
        return not self._stopped and self._authority.allows(
            authority.Action.ORDER_MACHINES
        )

    def _on_ownership_lost(self) -> None:
        self._give_up("store")

    def _give_up(self, reason: str) -> None:
        if not self._stopped:
            # No order is sent from now on, before the manager is stopped.
            self._stopped = True
            self._on_lost(self, reason)

    async def _restore_season(self) -> None:
        season = await self._state.read_season()
        if season is not None and not self._season.is_confident():
            self._season.restore(season, self._clock.monotonic_ms())
            self._log_season("restored")

    async def _run_cycle(self) -> None:
        if self._declared.catalogue is None:
            return
        await self._read_new_waves()
        await self._collect_loads()
        await self._refresh_machines()
        if self._listed_ms is None:
            return
        self._fleet.plan()
        await self._state.save_orders(
            set(self._fleet.operations),
            self._fleet.recently_ordered(self._order_span_ms),
        )
        for operation in list(self._fleet.operations.values()):
            if operation.machine not in self._in_progress:
                self._in_progress.add(operation.machine)
                self._background.spawn(self._advance(operation))
        self._reopen_kept_vms()
        self._save_season()
        await self._save_waves()

    # Inputs of the fleet.

    async def _read_new_waves(self) -> None:
        for wave in list(self._declared.waves.values()):
            if wave.wave in self._fleet.waves:
                continue
            progress = await self._state.read_wave(wave.wave)
            if progress is None:
                continue
            tracked_wave = operations.TrackedWave(
                wave, set(progress.done), progress.completed
            )
            self._fleet.waves[wave.wave] = tracked_wave
            events.emit(
                events.Event.WAVE_CHANGED,
                wave=wave.wave,
                state="taken",
                machines=len(wave.machines),
                done=len(tracked_wave.maintained),
                max_out=wave.max_out,
            )

    async def _collect_loads(self) -> None:
        catalogue = self._declared.catalogue
        assert catalogue is not None
        served_pools = {queue.pool for queue in catalogue.queues}
        declared_pools = {pool.pool for pool in catalogue.pools}
        served_pools |= self._pools_with_jobs() & declared_pools
        loads = await self._load_collector.collect(
            sorted(served_pools), self._fleet.spare_millicores()
        )
        pool_statuses = {}
        for pool in catalogue.pools:
            estimator = self._estimators.get(pool.pool)
            pool_statuses[pool.pool] = operations.PoolStatus(
                pool.standby, estimator
            )
        self._fleet.pools = pool_statuses
        for pool_id, load in loads.items():
            self._add_load(pool_id, load)

    def _add_load(self, pool: ids.PoolId, load: messages.Load) -> None:
        estimator = self._estimators.setdefault(pool, demand.DemandEstimator())
        now_ms = self._clock.monotonic_ms()
        self._season.add(pool, now_ms, load.arrived_jobs, load.arrived_core_ms)
        running_millicores = sum(vm.short_millicores for vm in load.vms)
        estimator.add(
            demand.LoadSample(
                now_ms,
                load.arrived_core_ms,
                load.arrived_jobs,
                load.idle_millicores,
                running_millicores,
                load.lasting_millicores,
                load.lasting_waiting,
            ),
            self._season.forecast_cores(pool, now_ms, demand.FORECAST_LEAD_MS),
        )
        for vm in load.vms:
            self._fleet.loads[vm.vm] = vm

    async def _refresh_machines(self) -> None:
        interval_ms = _IDLE_LIST_INTERVAL_MS
        if self._fleet.has_changes_in_progress():
            interval_ms = _ACTIVE_LIST_INTERVAL_MS
        now_ms = self._clock.monotonic_ms()
        if (
            self._listed_ms is not None
            and now_ms - self._listed_ms < interval_ms
            and not self._fleet.awaits_list()
        ):
            return
        result = await self._platform.list()
        if result.is_error():
            events.emit(
                events.Event.PLATFORM_UNREACHABLE, reason=str(result.error)
            )
            return
        self._listed_ms = now_ms
        self._fleet.update_machines(result.ok, now_ms)

    # Operations.

    async def _advance(self, operation: operations.MachineOperation) -> None:
        emptying = operation.stage is operations.Stage.EMPTYING
        try:
            if emptying and operation.vm and self._may_act():
                await self._vacate(operation)
            if self._fleet.may_order(operation) and self._may_act():
                await self._order(operation)
        finally:
            self._in_progress.discard(operation.machine)

    async def _vacate(self, operation: operations.MachineOperation) -> None:
        machine = self._fleet.machines.get(operation.machine)
        if machine is None:
            return
        mode = messages.VacateMode.MOVE_LONG_RUNNING
        if self._fleet.must_move_all(operation):
            mode = messages.VacateMode.MOVE_ALL
        asked_ms = self._clock.monotonic_ms()
        answer = await self._ask_owner(
            machine.pool, messages.Vacate(machine.pool, operation.vm, mode)
        )
        runs_left = None
        if isinstance(answer, messages.Vacated):
            runs_left = answer.runs_left
        # Another answer, or none, may mean that the pool has a new owner, which
        # may start runs on the VM.
        self._fleet.record_runs_left(operation, runs_left, asked_ms)

    def _reopen_kept_vms(self) -> None:
        """Let owners start runs again on VMs whose move was cancelled."""
        if not self._may_act():
            return
        for machine_id, vm in list(self._fleet.cancelled_moves.items()):
            if machine_id in self._in_progress:
                # A request to vacate the VM may be in transit; it must not
                # arrive last.
                continue
            del self._fleet.cancelled_moves[machine_id]
            machine = self._fleet.machines.get(machine_id)
            if machine is not None and machine.vm == vm:
                self._background.spawn(self._reopen(machine.pool, vm))

    async def _reopen(self, pool: ids.PoolId, vm: ids.VmId) -> None:
        # Without an answer the owner reopens the VM by itself after 3 s.
        await self._ask_owner(pool, messages.Reopen(pool, vm))

    async def _order(self, operation: operations.MachineOperation) -> None:
        now_ms = self._clock.monotonic_ms()
        if now_ms - operation.last_order_ms < _ORDER_RETRY_INTERVAL_MS:
            return
        if operation.machine not in self._state.saved_orders:
            return
        self._fleet.record_order(operation)
        epoch = self.claim.epoch
        if operation.wave is not None:
            outcome = await self._platform.maintain(
                operation.machine, operation.wave, epoch, self._may_act
            )
        else:
            assert operation.pool is not None
            outcome = await self._platform.move(
                operation.machine, operation.pool, epoch, self._may_act
            )
        events.emit(
            events.Event.MACHINE_ORDERED,
            machine=operation.machine,
            vm=operation.vm,
            wave=operation.wave,
            pool=operation.pool,
            outcome=outcome.value,
            epoch=epoch,
            waited_ms=now_ms - operation.started_ms,
        )
        self._fleet.record_outcome(operation, outcome)
        if outcome is machines.MachineOutcome.FENCED:
            self._give_up("fenced")

    # The season.

    def _save_season(self) -> None:
        known = self._season.is_confident()
        if known != self._season_known:
            self._log_season("learned" if known else "lost")
        if known and self._state.is_season_due():
            season = self._season.season()
            assert season is not None
            self._background.spawn(self._store_season(season))

    async def _store_season(self, season: season_module.Season) -> None:
        if await self._state.save_season(season):
            self._log_season("stored")

    def _log_season(self, state: str) -> None:
        self._season_known = self._season.is_confident()
        events.emit(
            events.Event.SEASON_CHANGED,
            state=state,
            period_ms=self._season.period_bins * season_module.BIN_MS,
            confidence=round(self._season.confidence, 2),
        )

    # Wave progress.

    async def _save_waves(self) -> None:
        for wave_id, tracked_wave in list(self._fleet.waves.items()):
            progress = manager_state.WaveProgress(
                sorted(tracked_wave.maintained),
                self._fleet.is_completed(tracked_wave),
            )
            if not await self._state.save_wave(wave_id, progress):
                continue
            tracked_wave.completed = progress.completed
            if tracked_wave.completed:
                events.emit(
                    events.Event.WAVE_CHANGED, wave=wave_id, state="completed"
                )
