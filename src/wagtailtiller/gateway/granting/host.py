"""The host of this gateway's dispatchers: one for each pool that it owns."""

from collections.abc import Callable
import random

from wagtailtiller import clock
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
_GAUGE_EVERY_MS = 1_000

SendMessage = Callable[[ids.GatewayId, messages.Message], None]


class DispatchHost:
    """Creates, feeds and drops dispatchers as the roster says.

    Args:
        own: This gateway.
        incarnation: This process.
        time: The clock.
        shared: This process's copy of the shared state.
        send: Sends a message to a front, this one included.
        metrics_client: Where queue lengths are reported.
    """

    def __init__(
        self,
        own: ids.GatewayId,
        incarnation: str,
        time: clock.Clock,
        shared: replica.Replica,
        send: SendMessage,
        metrics_client: statsd_metrics.MetricsClient,
    ) -> None:
        self._own = own
        self._incarnation = incarnation
        self._clock = time
        self._replica = shared
        self._send = send
        self._metrics_client = metrics_client
        self._random = random.Random(incarnation)
        self._dispatchers: dict[ids.PoolId, dispatcher.Dispatcher] = {}
        self._early: dict[
            tuple[ids.PoolId, ids.GatewayId], messages.Report
        ] = {}
        self._open = True
        self._gauged_ms = 0

    def view_changed(self) -> None:
        """Follow new settings, VM states or a new roster."""
        now_ms = self._clock.monotonic_ms()
        views = self._pool_views()
        for pool in list(self._dispatchers):
            if not self._owns(pool) or pool not in views:
                del self._dispatchers[pool]
                events.emit(events.Event.POOL_RELEASED, pool=pool)
        for pool, view in views.items():
            if self._owns(pool):
                self._refresh(pool, view, now_ms)

    def receive(
        self, frontend: ids.GatewayId, message: messages.Message
    ) -> None:
        """Take a message from a front."""
        now_ms = self._clock.monotonic_ms()
        match message:
            case messages.Hello():
                for each in self._dispatchers.values():
                    each.require_report(frontend)
            case messages.Heartbeat():
                for each in self._dispatchers.values():
                    each.handle(frontend, message, now_ms)
            case messages.Report():
                self._receive_report(frontend, message, now_ms)
            case messages.SlotRequest() | messages.Cancel() | messages.Done():
                self._receive_request(frontend, message, now_ms)

    def tick(self) -> None:
        """Let time pass in every dispatcher."""
        now_ms = self._clock.monotonic_ms()
        waiting = 0
        running = 0
        for each in self._dispatchers.values():
            self._dispatch(each.tick(now_ms))
            waiting += each.waiting_count
            running += each.running_count
        if now_ms - self._gauged_ms >= _GAUGE_EVERY_MS:
            self._gauged_ms = now_ms
            self._metrics_client.gauge(
                statsd_metrics.Metric.WAITING.value, waiting
            )
            self._metrics_client.gauge(
                statsd_metrics.Metric.RUNNING.value, running
            )

    def set_open(self, is_open: bool) -> None:
        """Grant slots only while the view lease holds."""
        if is_open == self._open:
            return
        self._open = is_open
        now_ms = self._clock.monotonic_ms()
        for each in self._dispatchers.values():
            sends = each.resume(now_ms) if is_open else each.suspend()
            self._dispatch(sends)

    def drain_state(self, vm: ids.VmId) -> messages.DrainResponse | None:
        """Say whether a VM is free of work; None when not this gateway's."""
        record = self._replica.fleet.vms.get(vm)
        owned = self._dispatchers.get(record.pool) if record else None
        if owned is None:
            return None
        now_ms = self._clock.monotonic_ms()
        return owned.drain_state(vm, now_ms)

    def loads(self) -> list[balancing.PoolLoad]:
        """Return the load of every pool that this gateway owns."""
        return [each.load() for each in self._dispatchers.values()]

    def _refresh(
        self, pool: ids.PoolId, view: slots.PoolView, now_ms: int
    ) -> None:
        epoch = self._replica.roster.epoch
        owned = self._dispatchers.get(pool)
        if owned is None or epoch > owned.epoch + 1:
            # Another may have owned the pool in an epoch that was missed.
            owned = self._create(pool, view, now_ms)
        else:
            self._dispatch(owned.reconfigure(view, now_ms))
            if epoch != owned.epoch:
                frontends = self._fronts()
                self._dispatch(owned.set_roster(epoch, frontends, now_ms))
        self._replay_reports(pool, owned, now_ms)

    def _create(
        self, pool: ids.PoolId, view: slots.PoolView, now_ms: int
    ) -> dispatcher.Dispatcher:
        longest_ms = max(
            (queue.run_limit_ms for queue in view.queues.values()), default=0
        )
        created = dispatcher.Dispatcher(
            view=view,
            epoch=self._replica.roster.epoch,
            frontends=self._fronts(),
            quorum=self._replica.roster.quorum(),
            rng=self._random,
            now_ms=now_ms,
            lost_runs_until_ms=now_ms + self._unknown_for_ms(longest_ms),
        )
        if not self._open:
            created.suspend()
        self._dispatchers[pool] = created
        events.emit(events.Event.POOL_TAKEN, pool=pool, epoch=created.epoch)
        return created

    def _fronts(self) -> dict[ids.GatewayId, str]:
        members = self._replica.roster.members
        return {name: each.incarnation for name, each in members.items()}

    def _unknown_for_ms(self, longest_run_ms: int) -> int:
        """Return how long requests of a lost gateway may still run."""
        loss_ms = self._replica.roster.last_loss_ms
        if loss_ms == 0:
            return 0
        age_ms = self._clock.wall_ms() - loss_ms
        limit_ms = grants.GRANT_VALID_MS + longest_run_ms
        return max(0, limit_ms + _WALL_CLOCK_SKEW_MS - age_ms)

    def _replay_reports(
        self, pool: ids.PoolId, owned: dispatcher.Dispatcher, now_ms: int
    ) -> None:
        for name, report in list(self._early.items()):
            if name[0] == pool and report.epoch <= owned.epoch:
                del self._early[name]
                self._dispatch(owned.handle(name[1], report, now_ms))

    def _receive_report(
        self, frontend: ids.GatewayId, report: messages.Report, now_ms: int
    ) -> None:
        owned = self._dispatchers.get(report.pool)
        if owned is None or owned.epoch < report.epoch:
            self._early[(report.pool, frontend)] = report
            return
        self._dispatch(owned.handle(frontend, report, now_ms))

    def _receive_request(
        self,
        frontend: ids.GatewayId,
        message: messages.SlotRequest | messages.Cancel | messages.Done,
        now_ms: int,
    ) -> None:
        owned = self._find(frontend, message)
        if owned is not None:
            self._dispatch(owned.handle(frontend, message, now_ms))
        elif isinstance(message, messages.SlotRequest):
            reason = messages.Refusal.NOT_DISPATCHER
            self._send(frontend, messages.Refuse(message.seq, reason, 0))

    def _find(
        self,
        frontend: ids.GatewayId,
        message: messages.SlotRequest | messages.Cancel | messages.Done,
    ) -> dispatcher.Dispatcher | None:
        queue = self._replica.settings.catalogue.queues.get(message.queue)
        if queue is not None:
            return self._dispatchers.get(queue.pool)
        for each in self._dispatchers.values():
            if each.has_grant(frontend, message.seq):
                return each
        return None

    def _owns(self, pool: ids.PoolId) -> bool:
        owner = roster.owner(self._replica.roster, pool)
        return (
            owner is not None
            and owner.gateway == self._own
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
            shape = catalogue.vms.get(vm)
            if shape is not None and record.pool in views:
                serving = record.state is fleet.VmState.SERVING
                views[record.pool].vms[vm] = slots.VmView(
                    shape, serving, record.generation
                )
        return views

    def _dispatch(self, sends: list[dispatcher.Send]) -> None:
        for send in sends:
            self._send(send.frontend, send.message)
