"""The dispatcher of one pool, which alone grants its slots in an epoch.

The dispatcher does no I/O: it receives messages and the current time, and
returns messages for frontends. It never has more grants outstanding on a VM
than the VM has slots, and it refuses requests that cannot meet their deadline
when they arrive. It removes a grant only when the frontend reports that the
run has ended, or when the frontend is gone and the grant has expired.
"""

from collections.abc import Mapping
import dataclasses
import math
import random

from wagtailtiller import ids
from wagtailtiller import settings
from wagtailtiller import view_lease
from wagtailtiller.dispatch import admission
from wagtailtiller.dispatch import estimates
from wagtailtiller.dispatch import grants
from wagtailtiller.dispatch import messages
from wagtailtiller.dispatch import slots
from wagtailtiller.dispatch import team_usage
from wagtailtiller.dispatch import used_keys
from wagtailtiller.dispatch import waiting
from wagtailtiller.fleet import balancing

REPORT_TIMEOUT_MS = view_lease.VIEW_LEASE_MS + 500
_RUN_TIME_BOUND_QUANTILE = 0.95

NOT_RUN_OUTCOMES = (
    messages.RunOutcome.NOT_RUN,
    messages.RunOutcome.BUSY,
    messages.RunOutcome.UNUSED,
)


@dataclasses.dataclass(frozen=True)
class Send:
    """A message for a frontend.

    Attributes:
        frontend: Gateway to which the message is sent.
        message: The message.
    """

    frontend: ids.GatewayId
    message: messages.Grant | messages.Refuse


class Dispatcher:
    """Queues and slots of one pool, valid from one roster epoch on.

    Args:
        view: Settings and VM states of the pool.
        epoch: Roster epoch in which this gateway owns the pool.
        frontends: Incarnation of each gateway of that epoch. Each gateway is
            expected to report its running requests before slots are granted.
        quorum: Number of gateways that must report before any slot is
            granted, however long that takes. An owner of an earlier epoch can
            then no longer have a quorum.
        rng: Random source that breaks ties and spreads retries.
        now_ms: Current time of the monotonic clock.
        lost_runs_until_ms: Clock reading until which requests of gateways that
            were lost earlier may still run.

    Attributes:
        epoch: Latest roster epoch in which this gateway owns the pool.
    """

    def __init__(
        self,
        view: slots.PoolView,
        epoch: ids.Epoch,
        frontends: Mapping[ids.GatewayId, str],
        quorum: int,
        rng: random.Random,
        now_ms: int,
        lost_runs_until_ms: int = 0,
    ) -> None:
        self.epoch = epoch
        self._view = view
        self._frontends = dict(frontends)
        self._unreported = set(frontends)
        self._quorum = quorum
        self._quorum_reported = False
        self._report_deadline_ms = now_ms + REPORT_TIMEOUT_MS
        self._lost_runs_until_ms = lost_runs_until_ms
        self._waiting = waiting.WaitingList()
        self._stamps_ms: dict[ids.GatewayId, int] = {}
        self._run_times = estimates.RunTimesByQueue()
        self._team_usage = team_usage.TeamUsage()
        self._slots = slots.SlotTable(view, rng)
        self._grants = grants.GrantTable(self._slots)
        self._used_keys = used_keys.UsedKeyTable()
        self._admission = admission.AdmissionControl(
            waiting_list=self._waiting,
            run_times=self._run_times,
            usage=self._team_usage,
            keys=self._used_keys,
            slot_table=self._slots,
            rng=rng,
        )
        self._accepting = True
        self._used_keys.open_gap(now_ms)
        self._history_complete = lost_runs_until_ms <= now_ms

    @property
    def waiting_count(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    @property
    def running_count(self) -> int:
        """Number of outstanding grants."""
        return len(self._grants)

    def running_on(self, vm: ids.VmId) -> int:
        """Return the number of outstanding grants on a VM."""
        return self._slots.running_on(vm)

    def reconfigure(self, view: slots.PoolView, now_ms: int) -> list[Send]:
        """Apply new settings or VM states, and place waiting requests."""
        self._slots.reconfigure(view)
        self._view = view
        return self._place_waiting(now_ms)

    def set_roster(
        self,
        epoch: ids.Epoch,
        frontends: Mapping[ids.GatewayId, str],
        now_ms: int,
    ) -> list[Send]:
        """Apply a newer epoch in which this gateway still owns the pool."""
        for frontend, incarnation in self._frontends.items():
            if frontends.get(frontend) != incarnation:
                self._remove_waiting(frontend)
                self._grants.mark_lost(
                    frontend, incarnation, self._view.queues, now_ms
                )
        self._frontends = dict(frontends)
        self._unreported = set(frontends)
        self.epoch = epoch
        return self._place_waiting(now_ms)

    def require_report(self, frontend: ids.GatewayId) -> None:
        """Grant nothing to a frontend until it has reported again.

        If a grant and a report cross on the network, the frontend uses a slot
        that is counted as free here. The waiting requests of the frontend are
        removed, because the frontend sends them again. If they were kept, a
        restarted frontend could mistake a reply to its previous instance for
        one to its own request.
        """
        if frontend in self._frontends:
            self._unreported.add(frontend)
        self._remove_waiting(frontend)

    def suspend(self) -> list[Send]:
        """Refuse all waiting requests and grant nothing until resumed."""
        self._accepting = False
        reason = messages.RefusalReason.ISOLATED
        return [
            self._refuse(entry, reason, admission.MIN_RETRY_MS)
            for entry in list(self._waiting.in_order())
        ]

    def resume(self, now_ms: int) -> list[Send]:
        """Resume granting slots."""
        self._accepting = True
        return self._place_waiting(now_ms)

    def handle(
        self, frontend: ids.GatewayId, message: messages.Message, now_ms: int
    ) -> list[Send]:
        """Handle a message from a frontend and return the replies."""
        match message:
            case messages.SlotRequest():
                return self._handle_request(frontend, message, now_ms)
            case messages.Cancel():
                self._waiting.remove((frontend, message.seq))
                return []
            case messages.Done():
                self._handle_done(frontend, message, now_ms)
                return self._place_waiting(now_ms)
            case messages.Report():
                self._handle_report(frontend, message, now_ms)
                return self._place_waiting(now_ms)
            case messages.Heartbeat():
                self._stamps_ms[frontend] = message.stamp_ms
        return []

    def has_grant(self, frontend: ids.GatewayId, seq: int) -> bool:
        """Return whether a request of a frontend has a slot."""
        return (frontend, seq) in self._grants

    def tick(self, now_ms: int) -> list[Send]:
        """Remove expired grants and place waiting requests."""
        self._grants.expire(now_ms)
        return self._place_waiting(now_ms)

    def load(self) -> balancing.PoolLoad:
        """Return the current load of the pool."""
        return balancing.PoolLoad(
            pool=self._view.pool.pool,
            running=len(self._grants),
            waiting_ms=self._waiting.total_work_ms(),
            slots=self._slots.serving_slots(),
        )

    def drain_state(self, vm: ids.VmId, now_ms: int) -> messages.DrainResponse:
        """Return whether a leaving VM may be stopped."""
        view = self._view.vms.get(vm)
        running = self.running_on(vm)
        blocked_ms = max(0, self._lost_runs_until_ms - now_ms)
        idle = (
            view is not None
            and not view.serving
            and running == 0
            and blocked_ms == 0
            and not self._unreported
            and self._accepting
        )
        generation = view.generation if view else 0
        return messages.DrainResponse(
            owner=True,
            idle=idle,
            generation=generation,
            running=running,
            blocked_ms=blocked_ms,
        )

    def _handle_request(
        self,
        frontend: ids.GatewayId,
        request: messages.SlotRequest,
        now_ms: int,
    ) -> list[Send]:
        stamp_ms = max(request.stamp_ms, self._stamps_ms.get(frontend, 0))
        self._stamps_ms[frontend] = stamp_ms
        request_id = (frontend, request.seq)
        if request_id in self._waiting or request_id in self._grants:
            return []
        queue = self._view.queues.get(request.queue)
        if queue is None:
            reason = messages.RefusalReason.NOT_DISPATCHER
            return [Send(frontend, messages.Refuse(request.seq, reason, 0))]
        if not self._accepting:
            reason = messages.RefusalReason.ISOLATED
            refuse = messages.Refuse(
                request.seq, reason, admission.MIN_RETRY_MS
            )
            return [Send(frontend, refuse)]
        running = len(self._grants)
        refusal = self._admission.refusal(request, queue, running, now_ms)
        if refusal is not None:
            return [Send(frontend, refusal)]
        self._waiting.add(
            waiting.WaitingRequest(
                frontend=frontend,
                request=request,
                queue=queue,
                arrived_ms=now_ms,
                deadline_ms=now_ms + request.deadline_in_ms,
                work_ms=self._run_times.for_queue(queue).mean_ms(),
            )
        )
        return self._place_waiting(now_ms)

    def _place_waiting(self, now_ms: int) -> list[Send]:
        if (
            not self._waiting
            or not self._accepting
            or not self._may_grant(now_ms)
        ):
            return []
        sends: list[Send] = []
        for priority in ids.Priority:
            if not self._waiting.has_priority(priority):
                continue
            sends += self._refuse_late(priority, now_ms)
            while self._slots.any_free(now_ms):
                placement = self._next_placement(priority, now_ms)
                if placement is None:
                    break
                sends.append(self._grant(*placement, now_ms))
        return sends

    def _refuse_late(self, priority: ids.Priority, now_ms: int) -> list[Send]:
        """Refuse requests that are unlikely to finish before the deadline."""
        max_run_ms = max(
            (
                self._run_time_bound_ms(queue)
                for queue in self._view.queues.values()
            ),
            default=0.0,
        )
        if priority is ids.Priority.URGENT:
            max_run_ms = math.inf
        due = self._waiting.due_before(priority, now_ms + max_run_ms)
        return [
            self._refuse(
                entry,
                messages.RefusalReason.TOO_LATE,
                self._admission.retry_ms(entry.queue),
            )
            for entry in due
            if self._too_late(entry, now_ms)
        ]

    def _too_late(self, entry: waiting.WaitingRequest, now_ms: int) -> bool:
        if entry.queue.priority is ids.Priority.URGENT:
            waited_ms = now_ms - entry.arrived_ms
            if waited_ms > admission.URGENT_START_MS:
                return True
        return now_ms + self._run_time_bound_ms(entry.queue) > entry.deadline_ms

    def _next_placement(
        self, priority: ids.Priority, now_ms: int
    ) -> tuple[waiting.WaitingRequest, ids.VmId] | None:
        """Choose the next request and its VM.

        The request with the earliest deadline comes first. A team over its
        quota is served only if no team within its quota has a request that
        can be placed.
        """
        over_quota = self._over_quota(now_ms)
        fallback = None
        for entry in self._waiting.with_priority(priority):
            if entry.frontend in self._unreported:
                continue
            if fallback is not None and entry.request.team in over_quota:
                continue
            vm = self._slots.choose_vm(entry.queue, entry.request.avoid, now_ms)
            if vm is None:
                continue
            if entry.request.team not in over_quota:
                return entry, vm
            fallback = (entry, vm)
        return fallback

    def _run_time_bound_ms(self, queue: settings.QueueSettings) -> float:
        return self._run_times.for_queue(queue).quantile_ms(
            _RUN_TIME_BOUND_QUANTILE
        )

    def _over_quota(self, now_ms: int) -> set[ids.TeamId]:
        return self._team_usage.over_quota(self._waiting.quotas(), now_ms)

    def _grant(
        self, entry: waiting.WaitingRequest, vm: ids.VmId, now_ms: int
    ) -> Send:
        self._dequeue(entry)
        queue = entry.queue
        if not queue.idempotent:
            self._used_keys.mark_used(
                queue.queue, entry.request.key, queue.resend_window_ms, now_ms
            )
        work_ms = self._run_times.for_queue(queue).mean_ms()
        self._team_usage.charge(entry.request.team, work_ms, now_ms)
        self._grants.add(
            entry.request_id,
            grants.Grant(
                vm=vm,
                queue=queue.queue,
                team=entry.request.team,
                key=entry.request.key,
                since_ms=now_ms,
                charged_ms=work_ms,
            ),
        )
        stamp_ms = self._stamps_ms.get(entry.frontend, entry.request.stamp_ms)
        message = messages.Grant(entry.request.seq, self.epoch, stamp_ms, vm)
        return Send(entry.frontend, message)

    def _handle_done(
        self, frontend: ids.GatewayId, done: messages.Done, now_ms: int
    ) -> None:
        grant = self._grants.remove((frontend, done.seq))
        if grant is None:
            return
        outcome = done.outcome
        if outcome in NOT_RUN_OUTCOMES:
            self._used_keys.release(grant.queue, grant.key)
        queue = self._view.queues.get(grant.queue)
        if queue is not None and outcome is messages.RunOutcome.ANSWERED:
            self._run_times.for_queue(queue).observe(done.run_ms)
        correction_ms = now_ms - grant.since_ms - grant.charged_ms
        self._team_usage.charge(grant.team, correction_ms, now_ms)
        self._slots.observe(grant.vm, grant.queue, outcome, now_ms)

    def _handle_report(
        self, frontend: ids.GatewayId, report: messages.Report, now_ms: int
    ) -> None:
        if report.epoch < self.epoch or frontend not in self._frontends:
            return
        self._remove_waiting(frontend)
        self._grants.reconcile(frontend, report.running, now_ms)
        for used_key in report.keys:
            queue = self._view.queues.get(used_key.queue)
            if queue is not None:
                window_left_ms = queue.resend_window_ms - used_key.age_ms
                self._used_keys.mark_used(
                    used_key.queue, used_key.key, window_left_ms, now_ms
                )
        self._unreported.discard(frontend)
        reported = len(self._frontends) - len(self._unreported)
        self._quorum_reported = (
            self._quorum_reported or reported >= self._quorum
        )
        if not self._unreported and self._history_complete:
            self._used_keys.close_gap()

    def _may_grant(self, now_ms: int) -> bool:
        return self._quorum_reported and (
            not self._unreported or now_ms >= self._report_deadline_ms
        )

    def _dequeue(self, entry: waiting.WaitingRequest) -> None:
        self._waiting.remove(entry.request_id)

    def _remove_waiting(self, frontend: ids.GatewayId) -> None:
        for entry in self._waiting.frontend_requests(frontend):
            self._dequeue(entry)

    def _refuse(
        self,
        entry: waiting.WaitingRequest,
        reason: messages.RefusalReason,
        retry_ms: int,
    ) -> Send:
        self._dequeue(entry)
        refuse = messages.Refuse(entry.request.seq, reason, retry_ms)
        return Send(entry.frontend, refuse)
