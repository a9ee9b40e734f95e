"""Decides at the door whether a request may wait for a slot."""

import random

from wagtailtiller import ids
from wagtailtiller import settings
from wagtailtiller.dispatch import estimates
from wagtailtiller.dispatch import messages
from wagtailtiller.dispatch import resends
from wagtailtiller.dispatch import slots
from wagtailtiller.dispatch import team_usage
from wagtailtiller.dispatch import waiting

URGENT_START_MS = 1_500
MIN_RETRY_MS = 200
_NO_VM_RETRY_MS = 2_000
_RUN_QUANTILE = 0.5


class AdmissionControl:
    """Refuses repeats, what cannot run, and what cannot make its deadline.

    Args:
        waiting_list: What waits already.
        run_times: Learned run times.
        usage: Recent slot time by team.
        keys: Idempotency keys that were used.
        slot_table: The pool's slots.
        random_source: Spreads retries.
    """

    def __init__(
        self,
        waiting_list: waiting.WaitingList,
        run_times: estimates.RunTimesByQueue,
        usage: team_usage.TeamUsage,
        keys: resends.ResendTable,
        slot_table: slots.SlotTable,
        random_source: random.Random,
    ) -> None:
        self._waiting = waiting_list
        self._run_times = run_times
        self._team_usage = usage
        self._used_keys = keys
        self._slots = slot_table
        self._random = random_source

    def refusal(
        self,
        ask: messages.Ask,
        queue: settings.QueueSettings,
        running: int,
        now_ms: int,
    ) -> messages.Refuse | None:
        """Return why a request is refused, or None when it may wait.

        Args:
            ask: The request.
            queue: Its queue.
            running: Slots in use in the pool.
            now_ms: The clock.
        """
        repeat = self._repeat(ask, queue, now_ms)
        if repeat is not None:
            return messages.Refuse(ask.seq, repeat, 0)
        missing = self._slots.missing_resource(queue)
        if missing:
            reason = messages.Refusal.NO_CAPABLE_VM
            return messages.Refuse(ask.seq, reason, 0, missing)
        if self._waiting.count(queue.queue) >= queue.queue_limit:
            reason = messages.Refusal.QUEUE_FULL
            return messages.Refuse(ask.seq, reason, self.retry_ms(queue))
        if not self._can_finish(ask, queue, running, now_ms):
            reason = messages.Refusal.OVERLOADED
            return messages.Refuse(ask.seq, reason, self.retry_ms(queue))
        return None

    def retry_ms(self, queue: settings.QueueSettings) -> int:
        """Return when the backlog has passed, spread so that none crowd."""
        slot_count = self._slots.serving_slots()
        spread = self._random.uniform(0.5, 1.5)
        if slot_count == 0:
            return int(_NO_VM_RETRY_MS * spread)
        run_ms = self._run_times.for_queue(queue).mean_ms()
        backlog_ms = self._waiting.work_ms()
        wait_ms = (backlog_ms + run_ms) / slot_count + run_ms
        return int(max(MIN_RETRY_MS, wait_ms) * spread)

    def _repeat(
        self, ask: messages.Ask, queue: settings.QueueSettings, now_ms: int
    ) -> messages.Refusal | None:
        if queue.idempotent or not ask.key:
            return None
        if self._waiting.has_key(queue.queue, ask.key):
            return messages.Refusal.DUPLICATE
        verdict = self._used_keys.judge(
            queue.queue,
            ask.key,
            ask.key_age_ms,
            queue.resend_window_ms,
            now_ms,
        )
        match verdict:
            case resends.KeyVerdict.USED:
                return messages.Refusal.DUPLICATE
            case resends.KeyVerdict.UNCERTAIN:
                return messages.Refusal.MAYBE_RUN
        return None

    def _can_finish(
        self,
        ask: messages.Ask,
        queue: settings.QueueSettings,
        running: int,
        now_ms: int,
    ) -> bool:
        slot_count = self._slots.serving_slots()
        if slot_count == 0:
            return False
        run_ms = self._run_times.for_queue(queue).quantile_ms(_RUN_QUANTILE)
        longest_ms = ask.deadline_in_ms - run_ms
        if queue.priority is ids.Priority.URGENT:
            longest_ms = min(longest_ms, URGENT_START_MS)
        if running < slot_count and not self._waiting:
            return longest_ms >= 0
        return self._wait_ms(ask, queue, slot_count, now_ms) <= longest_ms

    def _wait_ms(
        self,
        ask: messages.Ask,
        queue: settings.QueueSettings,
        slot_count: int,
        now_ms: int,
    ) -> float:
        """Predict a newcomer's wait from the work ahead of it.

        A team within its quota waits for its own work on its own part of the
        slots, however much the others have asked for.
        """
        deadline_ms = now_ms + ask.deadline_in_ms
        backlog = self._waiting.backlog_ahead(
            queue.priority, deadline_ms, ask.team
        )
        together_ms = backlog.total_ms / slot_count
        quotas = self._waiting.quotas() | {ask.team: ask.quota_percent}
        part = ask.quota_percent / sum(quotas.values())
        alone_ms = backlog.own_ms / (slot_count * part)
        if ask.team in self._team_usage.over_quota(quotas, now_ms):
            return max(together_ms, alone_ms)
        return min(together_ms, alone_ms)
