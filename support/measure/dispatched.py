"""The shipped dispatcher in virtual time, behind delayed messages."""

from collections.abc import Sequence
import functools
import random

from support.measure import clockwork
from support.measure import results
from support.measure import trace
from wagtailtiller import ids
from wagtailtiller import settings
from wagtailtiller.dispatch import dispatcher
from wagtailtiller.dispatch import messages
from wagtailtiller.dispatch import slots

_ONE_WAY_MS = 1.0
_BATCH_MS = 5.0
_TICK_MS = 50.0
_EPOCH = ids.Epoch(1)


def pool_view(
    queues: Sequence[trace.QueueShape],
    vms: int = trace.VMS,
    slots_per_vm: int = trace.SLOTS,
    priorities: dict[str, ids.Priority] | None = None,
) -> slots.PoolView:
    """Make a pool of equal VMs, four to a rack."""
    pool = ids.PoolId("pool")
    own = settings.PoolSettings(
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
    named = priorities or {}
    return slots.PoolView(
        pool=own,
        queues={
            ids.QueueId(queue.name): _queue(
                queue, named.get(queue.name, ids.Priority.NORMAL)
            )
            for queue in queues
        },
        vms={
            ids.VmId(f"vm-{n}"): slots.VmView(_shape(n), True, 1)
            for n in range(vms)
        },
    )


def _queue(
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


def _shape(number: int) -> settings.VmSettings:
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


class Dispatched:
    """Fronts that ask one dispatcher, which is at gateway 0.

    Args:
        gateways: How many gateways.
        seed: Seeds every choice.
        view: The pool.
        quotas: The quota of each team, in percent.
        teams_from_ms: From when work is counted by team.
    """

    def __init__(
        self,
        gateways: int,
        seed: int,
        view: slots.PoolView,
        quotas: dict[str, float] | None = None,
        teams_from_ms: float = 0.0,
    ) -> None:
        self._clock = clockwork.Clockwork()
        self._random = random.Random(seed)
        self._fronts = [ids.GatewayId(f"gw-{n}") for n in range(gateways)]
        self._quotas = quotas or {}
        self._requests: dict[int, trace.Request] = {}
        self._results = results.Results(teams_from_ms)
        self._last_ms = 0.0
        self._next_frame_ms: dict[tuple[int, bool], float] = {}
        self._dispatcher = dispatcher.Dispatcher(
            view=view,
            epoch=_EPOCH,
            frontends=dict.fromkeys(self._fronts, "i"),
            quorum=1,
            rng=self._random,
            now_ms=0,
        )
        for frontend in self._fronts:
            report = messages.Report(view.pool.pool, _EPOCH, (), ())
            self._dispatcher.handle(frontend, report, 0)

    def run(self, requests: list[trace.Request]) -> results.Results:
        """Run a trace."""
        self._last_ms = requests[-1].arrival_ms
        for request in requests:
            self._requests[request.number] = request
            self._clock.at(
                request.arrival_ms, functools.partial(self._ask, request)
            )
        self._clock.at(0, self._tick)
        self._clock.run()
        return self._results

    def _ask(self, request: trace.Request) -> None:
        ask = messages.SlotRequest(
            seq=request.number,
            stamp_ms=int(self._clock.now_ms),
            queue=ids.QueueId(request.queue.name),
            team=ids.TeamId(request.team),
            quota_percent=self._quotas.get(request.team, 100.0),
            deadline_in_ms=request.queue.deadline_ms,
        )
        self._to_dispatcher(request.gateway, ask)

    def _to_dispatcher(self, gateway: int, message: messages.Message) -> None:
        frontend = self._fronts[gateway]
        delay_ms = self._count(gateway, message, True)
        self._clock.after(delay_ms, lambda: self._handle(frontend, message))

    def _handle(
        self, frontend: ids.GatewayId, message: messages.Message
    ) -> None:
        now_ms = int(self._clock.now_ms)
        self._send(self._dispatcher.handle(frontend, message, now_ms))

    def _send(self, sends: list[dispatcher.Send]) -> None:
        for send in sends:
            gateway = self._fronts.index(send.frontend)
            delay_ms = self._count(gateway, send.message, False)
            self._clock.after(
                delay_ms, functools.partial(self._receive, send.message)
            )

    def _receive(self, message: messages.Grant | messages.Refuse) -> None:
        request = self._requests[message.seq]
        match message:
            case messages.Grant():
                self._results.start(request, self._clock.now_ms)
                self._clock.after(
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
        self._to_dispatcher(request.gateway, done)

    def _count(
        self, gateway: int, message: messages.Message, outwards: bool
    ) -> float:
        """Count a message that leaves the machine, and return its delay.

        A stream sends at once when idle and then collects for a while.
        """
        if gateway == 0:
            return 0.0
        self._results.messages += 1
        self._results.message_bytes += len(messages.encode([message])) - 1
        now_ms = self._clock.now_ms
        stream = (gateway, outwards)
        next_ms = self._next_frame_ms.get(stream, 0.0)
        if now_ms >= next_ms:
            self._next_frame_ms[stream] = now_ms + _BATCH_MS
            return _ONE_WAY_MS
        return next_ms - now_ms + _ONE_WAY_MS

    def _tick(self) -> None:
        self._send(self._dispatcher.tick(int(self._clock.now_ms)))
        busy = self._dispatcher.waiting_count
        if self._clock.now_ms < self._last_ms or busy:
            self._clock.after(_TICK_MS, self._tick)
