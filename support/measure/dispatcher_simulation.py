"""Simulation of the shipped dispatcher in virtual time.

Messages between gateways are delayed.
"""

from collections.abc import Sequence
import functools
import random

from support.measure import results
from support.measure import trace
from support.measure import virtual_clock
from wagtailtiller import ids
from wagtailtiller import settings
from wagtailtiller.dispatch import dispatcher
from wagtailtiller.dispatch import messages
from wagtailtiller.dispatch import slots

_ONE_WAY_DELAY_MS = 1.0
_BATCH_INTERVAL_MS = 5.0
_TICK_INTERVAL_MS = 50.0
_EPOCH = ids.Epoch(1)


def pool_view(
    queues: Sequence[trace.QueueShape],
    vms: int = trace.VMS,
    slots_per_vm: int = trace.SLOTS,
    priorities: dict[str, ids.Priority] | None = None,
) -> slots.PoolView:
    """Return a view of a pool of equal VMs, four in each rack.

    Args:
        queues: Queues of the pool.
        vms: Number of VMs.
        slots_per_vm: Number of slots of each VM.
        priorities: Priorities by queue name; normal for other queues.
    """
    pool = ids.PoolId("pool")
    pool_settings = settings.PoolSettings(
        pool=pool,
        path="/tree/pools/pool",
        max_unavailable_vms=1,
        failure_reserve_vms=0,
        min_vms=1,
        lends=False,
        slots_per_vm=slots_per_vm,
        connections_per_vm=64,
        roll_out_weight=1.0,
        buffer_weight=1.0,
    )
    priority_by_queue = priorities or {}
    return slots.PoolView(
        pool=pool_settings,
        queues={
            ids.QueueId(queue.name): _queue_settings(
                queue, priority_by_queue.get(queue.name, ids.Priority.NORMAL)
            )
            for queue in queues
        },
        vms={
            ids.VmId(f"vm-{n}"): slots.VmView(_vm_settings(n), True, 1)
            for n in range(vms)
        },
    )


def _queue_settings(
    queue: trace.QueueShape, priority: ids.Priority
) -> settings.QueueSettings:
    return settings.QueueSettings(
        queue=ids.QueueId(queue.name),
        pool=ids.PoolId("pool"),
        path="",
        priority=priority,
        idempotent=True,
        deadline_ms=queue.deadline_ms,
        run_limit_ms=60_000,
        expected_run_ms=500,
        queue_limit=100_000,
        resend_window_ms=60_000,
        max_body_bytes=1,
        needs_processors=0,
        needs_memory_gb=0,
        needs_accelerators=0,
        owner="",
    )


def _vm_settings(number: int) -> settings.VmSettings:
    return settings.VmSettings(
        vm=ids.VmId(f"vm-{number}"),
        host="127.0.0.1",
        port=1,
        region=ids.RegionId("region"),
        data_centre=ids.DataCentreId("dc"),
        rack=ids.RackId(f"rack-{number // 4}"),
        pool=ids.PoolId("pool"),
        processors=32,
        memory_gb=128,
        accelerators=0,
    )


class DispatcherSimulation:
    """Frontends that request slots from one dispatcher on gateway 0.

    Args:
        gateways: Number of gateways.
        seed: Seed of all random choices.
        view: View of the pool.
        quotas: Quota of each team in percent; 100 for other teams.
        teams_from_ms: Time from which work is counted by team.
    """

    def __init__(
        self,
        gateways: int,
        seed: int,
        view: slots.PoolView,
        quotas: dict[str, float] | None = None,
        teams_from_ms: float = 0.0,
    ) -> None:
        self._clock = virtual_clock.VirtualClock()
        self._rng = random.Random(seed)
        self._frontends = [ids.GatewayId(f"gw-{n}") for n in range(gateways)]
        self._quotas = quotas or {}
        self._requests: dict[int, trace.Request] = {}
        self._results = results.Results(teams_from_ms)
        self._last_arrival_ms = 0.0
        self._next_batch_ms: dict[tuple[int, bool], float] = {}
        self._dispatcher = dispatcher.Dispatcher(
            view=view,
            epoch=_EPOCH,
            frontends=dict.fromkeys(self._frontends, "i"),
            quorum=1,
            rng=self._rng,
            now_ms=0,
        )
        for frontend in self._frontends:
            report = messages.Report(view.pool.pool, _EPOCH, (), ())
            self._dispatcher.handle(frontend, report, 0)

    def run(self, requests: list[trace.Request]) -> results.Results:
        """Run all requests of a trace and return their results."""
        self._last_arrival_ms = requests[-1].arrival_ms
        for request in requests:
            self._requests[request.number] = request
            self._clock.call_at(
                request.arrival_ms,
                functools.partial(self._send_slot_request, request),
            )
        self._clock.call_at(0, self._tick)
        self._clock.run()
        return self._results

    def _send_slot_request(self, request: trace.Request) -> None:
        slot_request = messages.SlotRequest(
            seq=request.number,
            stamp_ms=int(self._clock.now_ms),
            queue=ids.QueueId(request.queue.name),
            team=ids.TeamId(request.team),
            quota_percent=self._quotas.get(request.team, 100.0),
            deadline_in_ms=request.queue.deadline_ms,
        )
        self._send_to_dispatcher(request.gateway, slot_request)

    def _send_to_dispatcher(
        self, gateway: int, message: messages.Message
    ) -> None:
        frontend = self._frontends[gateway]
        delay_ms = self._record_message(gateway, message, True)
        self._clock.call_after(
            delay_ms, lambda: self._handle_message(frontend, message)
        )

    def _handle_message(
        self, frontend: ids.GatewayId, message: messages.Message
    ) -> None:
        now_ms = int(self._clock.now_ms)
        self._send_to_frontends(
            self._dispatcher.handle(frontend, message, now_ms)
        )

    def _send_to_frontends(self, sends: list[dispatcher.Send]) -> None:
        for send in sends:
            gateway = self._frontends.index(send.frontend)
            delay_ms = self._record_message(gateway, send.message, False)
            self._clock.call_after(
                delay_ms, functools.partial(self._receive_reply, send.message)
            )

    def _receive_reply(self, message: messages.Grant | messages.Refuse) -> None:
        request = self._requests[message.seq]
        match message:
            case messages.Grant():
                self._results.start(request, self._clock.now_ms)
                self._clock.call_after(
                    request.work_ms, lambda: self._finish(request)
                )
            case messages.Refuse():
                self._results.refused += 1

    def _finish(self, request: trace.Request) -> None:
        self._results.finish(request, self._clock.now_ms)
        done = messages.Done(
            seq=request.number,
            queue=ids.QueueId(request.queue.name),
            outcome=messages.RunOutcome.ANSWERED,
            run_ms=int(request.work_ms),
        )
        self._send_to_dispatcher(request.gateway, done)

    def _record_message(
        self, gateway: int, message: messages.Message, to_dispatcher: bool
    ) -> float:
        """Count a message that leaves its gateway and return its delay in ms.

        An idle stream sends a message immediately; messages that follow
        within the batch interval are sent together at its end.
        """
        if gateway == 0:
            return 0.0
        self._results.messages += 1
        self._results.message_bytes += len(messages.encode([message])) - 1
        now_ms = self._clock.now_ms
        stream = (gateway, to_dispatcher)
        next_ms = self._next_batch_ms.get(stream, 0.0)
        if now_ms >= next_ms:
            self._next_batch_ms[stream] = now_ms + _BATCH_INTERVAL_MS
            return _ONE_WAY_DELAY_MS
        return next_ms - now_ms + _ONE_WAY_DELAY_MS

    def _tick(self) -> None:
        self._send_to_frontends(self._dispatcher.tick(int(self._clock.now_ms)))
        waiting_count = self._dispatcher.waiting_count
        if self._clock.now_ms < self._last_arrival_ms or waiting_count:
            self._clock.call_after(_TICK_INTERVAL_MS, self._tick)
