"""Admission control: decides whether a request may wait for a slot."""

import random

from wagtailtiller import ids
from wagtailtiller import settings
from wagtailtiller.dispatch import estimates
from wagtailtiller.dispatch import messages
from wagtailtiller.dispatch import slots
from wagtailtiller.dispatch import team_usage
from wagtailtiller.dispatch import used_keys
from wagtailtiller.dispatch import waiting

URGENT_START_MS = 1_500
MIN_RETRY_MS = 200
_NO_VM_RETRY_MS = 2_000
_RUN_QUANTILE = 0.5


class AdmissionControl:
    """Refuses requests that must not run or cannot meet their deadline.

    Refused are duplicates of a non-idempotent request, requests that no VM of
    the pool can run, and requests that cannot finish in time.

    Args:
        waiting_list: Requests that already wait.
        run_times: Learned run times by queue.
        usage: Recent slot time by team.
        keys: Idempotency keys that were used.
        slot_table: Slots of the pool.
        rng: Random source that spreads retries.
    """

    def __init__(
        self,
        waiting_list: waiting.WaitingList,
        run_times: estimates.RunTimesByQueue,
        usage: team_usage.TeamUsage,
        keys: used_keys.UsedKeyTable,
        slot_table: slots.SlotTable,
        rng: random.Random,
    ) -> None:
        self._waiting = waiting_list
        self._run_times = run_times
        self._team_usage = usage
        self._used_keys = keys
        self._slots = slot_table
        self._rng = rng

    def refusal(
        self,
        request: messages.SlotRequest,
        queue: settings.QueueSettings,
        running: int,
        now_ms: int,
    ) -> messages.Refuse | None:
        """Return the refusal of a request, or None if it may wait.

        Args:
            request: Request for a slot.
            queue: Settings of the request's queue.
            running: Number of slots in use in the pool.
            now_ms: Current time of the dispatcher's clock.

        Returns:
            The message that refuses the request, or None.
        """
        duplicate = self._duplicate_refusal(request, queue, now_ms)
        if duplicate is not None:
            return messages.Refuse(request.seq, duplicate, 0)
        missing = self._slots.missing_resource(queue)
        if missing:
            reason = messages.RefusalReason.NO_CAPABLE_VM
            return messages.Refuse(request.seq, reason, 0, missing)
        if self._waiting.count(queue.queue) >= queue.queue_limit:
            reason = messages.RefusalReason.QUEUE_FULL
            return messages.Refuse(request.seq, reason, self.retry_ms(queue))
        if not self._can_finish(request, queue, running, now_ms):
            reason = messages.RefusalReason.OVERLOADED
            return messages.Refuse(request.seq, reason, self.retry_ms(queue))
        return None

    def retry_ms(self, queue: settings.QueueSettings) -> int:
        """Return a retry delay after which the backlog should be done.

        The delay is randomized so that callers do not all retry at once.
        """
        slot_count = self._slots.serving_slots()
        jitter = self._rng.uniform(0.5, 1.5)
        if slot_count == 0:
            return int(_NO_VM_RETRY_MS * jitter)
        run_ms = self._run_times.for_queue(queue).mean_ms()
        backlog_ms = self._waiting.total_work_ms()
        wait_ms = (backlog_ms + run_ms) / slot_count + run_ms
        return int(max(MIN_RETRY_MS, wait_ms) * jitter)

    def _duplicate_refusal(
        self,
        request: messages.SlotRequest,
        queue: settings.QueueSettings,
        now_ms: int,
    ) -> messages.RefusalReason | None:
        if queue.idempotent or not request.key:
            return None
        if self._waiting.has_key(queue.queue, request.key):
            return messages.RefusalReason.DUPLICATE
        key_status = self._used_keys.status(
            queue.queue,
            request.key,
            request.key_age_ms,
            queue.resend_window_ms,
            now_ms,
        )
        match key_status:
            case used_keys.KeyStatus.USED:
                return messages.RefusalReason.DUPLICATE
            case used_keys.KeyStatus.UNCERTAIN:
                return messages.RefusalReason.MAY_HAVE_RUN
        return None

    def _can_finish(
        self,
        request: messages.SlotRequest,
        queue: settings.QueueSettings,
        running: int,
        now_ms: int,
    ) -> bool:
        slot_count = self._slots.serving_slots()
        if slot_count == 0:
            return False
        run_ms = self._run_times.for_queue(queue).quantile_ms(_RUN_QUANTILE)
        max_wait_ms = request.deadline_in_ms - run_ms
        if queue.priority is ids.Priority.URGENT:
            max_wait_ms = min(max_wait_ms, URGENT_START_MS)
        if running < slot_count and not self._waiting:
            return max_wait_ms >= 0
        return self._wait_ms(request, queue, slot_count, now_ms) <= max_wait_ms

    def _wait_ms(
        self,
        request: messages.SlotRequest,
        queue: settings.QueueSettings,
        slot_count: int,
        now_ms: int,
    ) -> float:
        """Predict the waiting time of a request from the backlog ahead of it.

        A team within its quota waits only for its own backlog on its own share
        of the slots, regardless of how much work the other teams submit.
        """
        deadline_ms = now_ms + request.deadline_in_ms
        backlog = self._waiting.backlog_ahead(
            queue.priority, deadline_ms, request.team
        )
        all_teams_wait_ms = backlog.total_ms / slot_count
        quotas = self._waiting.quotas() | {request.team: request.quota_percent}
        share = request.quota_percent / sum(quotas.values())
        own_wait_ms = backlog.own_ms / (slot_count * share)
        if request.team in self._team_usage.over_quota(quotas, now_ms):
            return max(all_teams_wait_ms, own_wait_ms)
        return min(all_teams_wait_ms, own_wait_ms)
