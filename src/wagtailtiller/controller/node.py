"""A complete controller: its tasks and the components they share."""

import asyncio
import random

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller import process_settings
from wagtailtiller import replica
from wagtailtiller import runtime
from wagtailtiller import statsd_metrics
from wagtailtiller.controller import compaction
from wagtailtiller.controller import leader
from wagtailtiller.controller import membership
from wagtailtiller.controller import owners
from wagtailtiller.controller import plan_executor
from wagtailtiller.fleet import writing
from wagtailtiller.ports import platform
from wagtailtiller.ports import store

_PENDING_POLL_MS = 150
_COMPACTION_INTERVAL_MS = 5_000
_WATCH_WAIT_MS = 2_000


class ControllerNode:
    """Creates, connects and runs the components of a controller.

    Args:
        own_settings: Settings of this process.
        store_client: Client of the platform's store.
        vms: Client of the platform's VM interface.
        clock: Clock that supplies the current time.
        metrics_client: Client that receives the controller's metrics.
    """

    def __init__(
        self,
        own_settings: process_settings.ControllerSettings,
        store_client: store.Store,
        vms: platform.Platform,
        clock: clock_module.Clock,
        metrics_client: statsd_metrics.MetricsClient,
    ) -> None:
        self._own_settings = own_settings
        rng = random.Random(own_settings.controller)
        state_replica = replica.Replica(own_settings.region)
        self._leadership = leader.Leadership(
            store_client,
            own_settings.controller,
            own_settings.region,
            own_settings.lease_ttl_ms,
            clock,
            rng,
        )
        self._follower = follower.StoreFollower(
            store_client=store_client,
            state_replica=state_replica,
            clock=clock,
            on_confirmed=lambda sent_ms: None,
            on_change=lambda: None,
            rng=rng,
            wait_ms=_WATCH_WAIT_MS,
        )
        self._roster_updater = membership.RosterUpdater(
            store_client,
            own_settings.region,
            self._leadership.is_leader,
            clock,
            follower.Backoff(rng),
        )
        self._owners = owners.OwnerClient()
        self._plan_executor = plan_executor.PlanExecutor(
            state_replica=state_replica,
            writer=writing.FleetWriter(
                store_client, own_settings.region, clock
            ),
            vms=vms,
            owner_client=self._owners,
            is_leader=self._leadership.is_leader,
            clock=clock,
            metrics_client=metrics_client,
        )
        self._compactor = compaction.Compactor(
            store_client, state_replica, self._leadership.is_leader
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start all tasks."""
        self._tasks = [
            runtime.spawn(self._follower.run()),
            runtime.spawn(self._leadership.run()),
            runtime.spawn(self._roster_updater.run()),
            runtime.spawn(self._execute_plan_periodically()),
            runtime.spawn(self._compact_periodically()),
        ]
        events.emit(
            events.Event.CONTROLLER_STARTED,
            controller=self._own_settings.controller,
        )

    async def stop(self) -> None:
        """Stop all tasks and resign leadership.

        Another controller continues from the state in the store.
        """
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._leadership.resign()
        await self._owners.close()
        events.emit(
            events.Event.CONTROLLER_STOPPED,
            controller=self._own_settings.controller,
        )

    async def _execute_plan_periodically(self) -> None:
        while True:
            changes_pending = await self._plan_executor.step()
            delay_ms = self._own_settings.poll_ms
            if changes_pending:
                delay_ms = min(delay_ms, _PENDING_POLL_MS)
            await asyncio.sleep(delay_ms / 1_000)

    async def _compact_periodically(self) -> None:
        while True:
            await asyncio.sleep(_COMPACTION_INTERVAL_MS / 1_000)
            await self._compactor.step()
