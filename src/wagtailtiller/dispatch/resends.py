"""Idempotency keys: a key of a non-idempotent queue is run at most once."""

import collections
import enum

from wagtailtiller import ids

_CLOCK_SKEW_MS = 2_000


class KeyVerdict(enum.Enum):
    """What is known of a key."""

    NEW = "new"
    USED = "spent"
    UNCERTAIN = "uncertain"


class ResendTable:
    """Remembers the keys that were granted within their window.

    A dispatcher that took the pool over without a full report cannot know
    keys first used before that; until the window has passed it calls them
    uncertain, which a caller is told as ``unknown``.
    """

    def __init__(self) -> None:
        self._expiry_ms_by_key: dict[tuple[ids.QueueId, int], int] = {}
        self._expiry_queue: collections.deque[
            tuple[int, tuple[ids.QueueId, int]]
        ] = collections.deque()
        self._gap_since_ms: int | None = None

    def __len__(self) -> int:
        return len(self._expiry_ms_by_key)

    def open_gap(self, now_ms: int) -> None:
        """Note that keys used before now may be missing."""
        self._gap_since_ms = now_ms

    def close_gap(self) -> None:
        """Note that every key used before is known after all."""
        self._gap_since_ms = None

    def judge(
        self,
        queue: ids.QueueId,
        key: int,
        age_ms: int,
        window_ms: int,
        now_ms: int,
    ) -> KeyVerdict:
        """Say whether a request with this key may run.

        Args:
            queue: The queue.
            key: The hash of the key; 0 for none.
            age_ms: How long ago the caller first used the key.
            window_ms: How long keys of the queue are remembered.
            now_ms: The dispatcher's clock.
        """
        if key == 0:
            return KeyVerdict.NEW
        if self._expiry_ms_by_key.get((queue, key), -1) > now_ms:
            return KeyVerdict.USED
        if age_ms + _CLOCK_SKEW_MS >= window_ms:
            return KeyVerdict.UNCERTAIN
        gap_ms = self._gap_since_ms
        if gap_ms is not None and now_ms - age_ms - _CLOCK_SKEW_MS <= gap_ms:
            return KeyVerdict.UNCERTAIN
        return KeyVerdict.NEW

    def mark_used(
        self, queue: ids.QueueId, key: int, window_ms: int, now_ms: int
    ) -> None:
        """Remember a key until its window has passed."""
        if key == 0:
            return
        queue_key = (queue, key)
        expiry_ms = now_ms + window_ms
        self._expiry_ms_by_key[queue_key] = max(
            expiry_ms, self._expiry_ms_by_key.get(queue_key, 0)
        )
        self._expiry_queue.append((expiry_ms, queue_key))
        self._forget_expired(now_ms)

    def release(self, queue: ids.QueueId, key: int) -> None:
        """Forget a key whose request has certainly not run."""
        self._expiry_ms_by_key.pop((queue, key), None)

    def _forget_expired(self, now_ms: int) -> None:
        while self._expiry_queue and self._expiry_queue[0][0] <= now_ms:
            _, queue_key = self._expiry_queue.popleft()
            if self._expiry_ms_by_key.get(queue_key, now_ms + 1) <= now_ms:
                del self._expiry_ms_by_key[queue_key]
