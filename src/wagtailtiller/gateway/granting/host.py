"""Host of the dispatchers of a gateway, one for each pool that it owns."""

from collections.abc import Callable
import random

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import fleet
from wagtailtiller import ids
from wagtailtiller import replica
from wagtailtiller import roster
from wagtailtiller import statsd_metrics
from wagtailtiller.dispatch import dispatcher
from wagtailtiller.dispatch import grants
from wagtailtiller.dispatch import messages
from wagtailtiller.dispatch import slots
from wagtailtiller.fleet import balancing

_WALL_CLOCK_SKEW_MS = 5_000
_GAUGE_INTERVAL_MS = 1_000

SendMessage = Callable[[ids.GatewayId, messages.Message], None]


class DispatchHost:
    """Creates, runs and removes dispatchers according to the roster.

    Args:
        own_gateway: Name of this gateway.
        incarnation: Identifier of this process, new at each start.
        clock: Clock that supplies the current time.
        state_replica: This process's copy of the shared state.
        send: Function that sends a message to a gateway's frontend, which may
            be this gateway's.
        metrics_client: Client that receives the numbers of waiting and running
            requests.
    """

    def __init__(
        self,
        own_gateway: ids.GatewayId,
        incarnation: str,
        clock: clock_module.Clock,
        state_replica: replica.Replica,
        send: SendMessage,
        metrics_client: statsd_metrics.MetricsClient,
    ) -> None:
        self._own_gateway = own_gateway
        self._incarnation = incarnation
        self._clock = clock
        self._replica = state_replica
        self._send = send
        self._metrics_client = metrics_client
        self._rng = random.Random(incarnation)
        self._dispatchers: dict[ids.PoolId, dispatcher.Dispatcher] = {}
        self._early_reports: dict[
            tuple[ids.PoolId, ids.GatewayId], messages.Report
        ] = {}
        self._granting_enabled = True
        self._last_gauge_ms = 0

    def on_view_change(self) -> None:
        """Apply new settings, VM states or a new roster."""
        now_ms = self._clock.monotonic_ms()
        views = self._pool_views()
        for pool in list(self._dispatchers):
            if not self._owns(pool) or pool not in views:
                del self._dispatchers[pool]
                events.emit(events.Event.POOL_RELEASED, pool=pool)
        for pool, view in views.items():
            if self._owns(pool):
                self._update_dispatcher(pool, view, now_ms)

    def receive(
        self, frontend: ids.GatewayId, message: messages.Message
    ) -> None:
        """Handle a message from a frontend.

        Args:
            frontend: Gateway of the frontend.
            message: The message.
        """
        now_ms = self._clock.monotonic_ms()
        match message:
            case messages.Hello():
                for pool_dispatcher in self._dispatchers.values():
                    pool_dispatcher.require_report(frontend)
            case messages.Heartbeat():
                for pool_dispatcher in self._dispatchers.values():
                    pool_dispatcher.handle(frontend, message, now_ms)
            case messages.Report():
                self._receive_report(frontend, message, now_ms)
            case messages.SlotRequest() | messages.Cancel() | messages.Done():
                self._receive_request(frontend, message, now_ms)

    def tick(self) -> None:
        """Perform the work that is due in all dispatchers."""
        now_ms = self._clock.monotonic_ms()
        waiting = 0
        running = 0
        for pool_dispatcher in self._dispatchers.values():
            self._send_all(pool_dispatcher.tick(now_ms))
            waiting += pool_dispatcher.waiting_count
            running += pool_dispatcher.running_count
        if now_ms - self._last_gauge_ms >= _GAUGE_INTERVAL_MS:
            self._last_gauge_ms = now_ms
            self._metrics_client.gauge(
                statsd_metrics.Metric.WAITING.value, waiting
            )
            self._metrics_client.gauge(
                statsd_metrics.Metric.RUNNING.value, running
            )

    def set_granting_enabled(self, enabled: bool) -> None:
        """Allow or stop the granting of slots.

        Args:
            enabled: Whether the view lease is valid.
        """
        if enabled == self._granting_enabled:
            return
        self._granting_enabled = enabled
        now_ms = self._clock.monotonic_ms()
        for pool_dispatcher in self._dispatchers.values():
            sends = (
                pool_dispatcher.resume(now_ms)
                if enabled
                else pool_dispatcher.suspend()
            )
            self._send_all(sends)

    def drain_state(self, vm: ids.VmId) -> messages.DrainResponse | None:
        """Return whether a VM is free of work.

        Args:
            vm: The VM.

        Returns:
            The drain state, or None if this gateway does not own the VM's
            pool.
        """
        record = self._replica.fleet.vms.get(vm)
        pool_dispatcher = self._dispatchers.get(record.pool) if record else None
        if pool_dispatcher is None:
            return None
        now_ms = self._clock.monotonic_ms()
        return pool_dispatcher.drain_state(vm, now_ms)

    def loads(self) -> list[balancing.PoolLoad]:
        """Return the load of each pool that this gateway owns."""
        return [
            pool_dispatcher.load()
            for pool_dispatcher in self._dispatchers.values()
        ]

    def _update_dispatcher(
        self, pool: ids.PoolId, view: slots.PoolView, now_ms: int
    ) -> None:
        epoch = self._replica.roster.epoch
        pool_dispatcher = self._dispatchers.get(pool)
        if pool_dispatcher is None or epoch > pool_dispatcher.epoch + 1:
            # Another gateway may have owned the pool in a missed epoch.
            pool_dispatcher = self._create_dispatcher(pool, view, now_ms)
        else:
            self._send_all(pool_dispatcher.reconfigure(view, now_ms))
            if epoch != pool_dispatcher.epoch:
                frontends = self._frontend_incarnations()
                self._send_all(
                    pool_dispatcher.set_roster(epoch, frontends, now_ms)
                )
        self._handle_early_reports(pool, pool_dispatcher, now_ms)

    def _create_dispatcher(
        self, pool: ids.PoolId, view: slots.PoolView, now_ms: int
    ) -> dispatcher.Dispatcher:
        longest_run_ms = max(
            (queue.run_limit_ms for queue in view.queues.values()), default=0
        )
        created = dispatcher.Dispatcher(
            view=view,
            epoch=self._replica.roster.epoch,
            frontends=self._frontend_incarnations(),
            quorum=self._replica.roster.quorum(),
            rng=self._rng,
            now_ms=now_ms,
            lost_runs_until_ms=now_ms + self._lost_runs_for_ms(longest_run_ms),
        )
        if not self._granting_enabled:
            created.suspend()
        self._dispatchers[pool] = created
        events.emit(events.Event.POOL_TAKEN, pool=pool, epoch=created.epoch)
        return created

    def _frontend_incarnations(self) -> dict[ids.GatewayId, str]:
        members = self._replica.roster.members
        return {name: member.incarnation for name, member in members.items()}

    def _lost_runs_for_ms(self, longest_run_ms: int) -> int:
        """Return how long requests of lost gateways may still run."""
        last_loss_ms = self._replica.roster.last_loss_ms
        if last_loss_ms == 0:
            return 0
        age_ms = self._clock.wall_ms() - last_loss_ms
        limit_ms = grants.GRANT_VALID_MS + longest_run_ms
        return max(0, limit_ms + _WALL_CLOCK_SKEW_MS - age_ms)

    def _handle_early_reports(
        self,
        pool: ids.PoolId,
        pool_dispatcher: dispatcher.Dispatcher,
        now_ms: int,
    ) -> None:
        for report_key, report in list(self._early_reports.items()):
            if report_key[0] == pool and report.epoch <= pool_dispatcher.epoch:
                del self._early_reports[report_key]
                self._send_all(
                    pool_dispatcher.handle(report_key[1], report, now_ms)
                )

    def _receive_report(
        self, frontend: ids.GatewayId, report: messages.Report, now_ms: int
    ) -> None:
        pool_dispatcher = self._dispatchers.get(report.pool)
        if pool_dispatcher is None or pool_dispatcher.epoch < report.epoch:
            self._early_reports[(report.pool, frontend)] = report
            return
        self._send_all(pool_dispatcher.handle(frontend, report, now_ms))

    def _receive_request(
        self,
        frontend: ids.GatewayId,
        message: messages.SlotRequest | messages.Cancel | messages.Done,
        now_ms: int,
    ) -> None:
        pool_dispatcher = self._find_dispatcher(frontend, message)
        if pool_dispatcher is not None:
            self._send_all(pool_dispatcher.handle(frontend, message, now_ms))
        elif isinstance(message, messages.SlotRequest):
            reason = messages.RefusalReason.NOT_DISPATCHER
            self._send(frontend, messages.Refuse(message.seq, reason, 0))

    def _find_dispatcher(
        self,
        frontend: ids.GatewayId,
        message: messages.SlotRequest | messages.Cancel | messages.Done,
    ) -> dispatcher.Dispatcher | None:
        queue = self._replica.settings.catalogue.queues.get(message.queue)
        if queue is not None:
            return self._dispatchers.get(queue.pool)
        for pool_dispatcher in self._dispatchers.values():
            if pool_dispatcher.has_grant(frontend, message.seq):
                return pool_dispatcher
        return None

    def _owns(self, pool: ids.PoolId) -> bool:
        owner = roster.owner(self._replica.roster, pool)
        return (
            owner is not None
            and owner.gateway == self._own_gateway
            and owner.incarnation == self._incarnation
        )

    def _pool_views(self) -> dict[ids.PoolId, slots.PoolView]:
        catalogue = self._replica.settings.catalogue
        views = {
            pool: slots.PoolView(pool_settings, {}, {})
            for pool, pool_settings in catalogue.pools.items()
        }
        for queue in catalogue.queues.values():
            views[queue.pool].queues[queue.queue] = queue
        for vm, record in self._replica.fleet.vms.items():
            vm_settings = catalogue.vms.get(vm)
            if vm_settings is not None and record.pool in views:
                serving = record.state is fleet.VmState.SERVING
                views[record.pool].vms[vm] = slots.VmView(
                    vm_settings, serving, record.generation
                )
        return views

    def _send_all(self, sends: list[dispatcher.Send]) -> None:
        for send in sends:
            self._send(send.frontend, send.message)
