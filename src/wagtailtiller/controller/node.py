"""A whole controller: its tasks, and what they share."""

import asyncio
import random

from wagtailtiller import clock
from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller import process_settings
from wagtailtiller import replica
from wagtailtiller import runtime
from wagtailtiller import statsd_metrics
from wagtailtiller.controller import compaction
from wagtailtiller.controller import leader
from wagtailtiller.controller import maintenance
from wagtailtiller.controller import membership
from wagtailtiller.controller import owners
from wagtailtiller.fleet import writing
from wagtailtiller.ports import platform
from wagtailtiller.ports import store

_IN_MOTION_POLL_MS = 150
_COMPACT_EVERY_MS = 5_000
_WATCH_WAIT_MS = 2_000


class ControllerNode:
    """Wires the parts of a controller together.

    Args:
        own: The process settings.
        target: The platform's store.
        vms: The platform's VM interface.
        time: The clock.
        metrics_client: Where metrics go.
    """

    def __init__(
        self,
        own: process_settings.ControllerSettings,
        target: store.Store,
        vms: platform.Platform,
        time: clock.Clock,
        metrics_client: statsd_metrics.MetricsClient,
    ) -> None:
        self._own = own
        randomness = random.Random(own.controller)
        shared = replica.Replica(own.region)
        self._leadership = leader.Leadership(
            target,
            own.controller,
            own.region,
            own.lease_ttl_ms,
            time,
            randomness,
        )
        self._follower = follower.StoreFollower(
            store_client=target,
            shared=shared,
            time=time,
            on_confirmed=lambda asked_ms: None,
            on_change=lambda: None,
            rng=randomness,
            wait_ms=_WATCH_WAIT_MS,
        )
        self._roster = membership.RosterKeeper(
            target,
            own.region,
            self._leadership.holds,
            time,
            follower.Backoff(randomness),
        )
        self._owners = owners.OwnerClient()
        self._maintenance = maintenance.Maintenance(
            shared=shared,
            writer=writing.FleetWriter(target, own.region, time),
            vms=vms,
            gateways=self._owners,
            leads=self._leadership.holds,
            time=time,
            metrics_client=metrics_client,
        )
        self._compactor = compaction.Compactor(
            target, shared, self._leadership.holds
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start every task."""
        self._tasks = [
            runtime.spawn(self._follower.run()),
            runtime.spawn(self._leadership.run()),
            runtime.spawn(self._roster.run()),
            runtime.spawn(self._maintain()),
            runtime.spawn(self._compact()),
        ]
        events.emit(
            events.Event.CONTROLLER_STARTED, controller=self._own.controller
        )

    async def stop(self) -> None:
        """Stop; another controller goes on from the store."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._leadership.resign()
        await self._owners.close()
        events.emit(
            events.Event.CONTROLLER_STOPPED, controller=self._own.controller
        )

    async def _maintain(self) -> None:
        while True:
            in_motion = await self._maintenance.step()
            delay_ms = self._own.poll_ms
            if in_motion:
                delay_ms = min(delay_ms, _IN_MOTION_POLL_MS)
            await asyncio.sleep(delay_ms / 1_000)

    async def _compact(self) -> None:
        while True:
            await asyncio.sleep(_COMPACT_EVERY_MS / 1_000)
            await self._compactor.step()
