"""Idempotency keys, which let non-idempotent requests run at most once."""

import collections
import enum

from wagtailtiller import ids

_CLOCK_SKEW_MS = 2_000


class KeyStatus(enum.Enum):
    """Whether an idempotency key has been used."""

    NEW = "new"
    USED = "spent"
    UNCERTAIN = "uncertain"


class UsedKeyTable:
    """Keys of granted requests, kept until their resend window has passed.

    A dispatcher that took over the pool without reports from all gateways may
    lack keys that were first used before the takeover. It treats such keys as
    uncertain until their window has passed, and the caller is answered with
    the outcome ``unknown``.
    """

    def __init__(self) -> None:
        self._expiry_ms_by_key: dict[tuple[ids.QueueId, int], int] = {}
        self._expiry_queue: collections.deque[
            tuple[int, tuple[ids.QueueId, int]]
        ] = collections.deque()
        self._gap_end_ms: int | None = None

    def __len__(self) -> int:
        return len(self._expiry_ms_by_key)

    def open_gap(self, now_ms: int) -> None:
        """Record that keys used before now may be missing."""
        self._gap_end_ms = now_ms

    def close_gap(self) -> None:
        """Record that all keys used earlier are known."""
        self._gap_end_ms = None

    def status(
        self,
        queue: ids.QueueId,
        key: int,
        age_ms: int,
        window_ms: int,
        now_ms: int,
    ) -> KeyStatus:
        """Return whether a request with a key may run.

        Args:
            queue: Queue of the request.
            key: Hash of the idempotency key; 0 if there is none.
            age_ms: Time since the caller first used the key.
            window_ms: Time for which keys of the queue are kept.
            now_ms: Current time of the dispatcher's clock.

        Returns:
            Whether the key is new, used or uncertain. Only a request with a
            new key may run.
        """
        if key == 0:
            return KeyStatus.NEW
        if self._expiry_ms_by_key.get((queue, key), -1) > now_ms:
            return KeyStatus.USED
        if age_ms + _CLOCK_SKEW_MS >= window_ms:
            return KeyStatus.UNCERTAIN
        gap_end_ms = self._gap_end_ms
        if (
            gap_end_ms is not None
            and now_ms - age_ms - _CLOCK_SKEW_MS <= gap_end_ms
        ):
            return KeyStatus.UNCERTAIN
        return KeyStatus.NEW

    def mark_used(
        self, queue: ids.QueueId, key: int, window_ms: int, now_ms: int
    ) -> None:
        """Record a key as used until its window has passed."""
        if key == 0:
            return
        queue_key = (queue, key)
        expiry_ms = now_ms + window_ms
        self._expiry_ms_by_key[queue_key] = max(
            expiry_ms, self._expiry_ms_by_key.get(queue_key, 0)
        )
        self._expiry_queue.append((expiry_ms, queue_key))
        self._remove_expired(now_ms)

    def release(self, queue: ids.QueueId, key: int) -> None:
        """Remove a key whose request has certainly not run."""
        self._expiry_ms_by_key.pop((queue, key), None)

    def _remove_expired(self, now_ms: int) -> None:
        while self._expiry_queue and self._expiry_queue[0][0] <= now_ms:
            _, queue_key = self._expiry_queue.popleft()
            if self._expiry_ms_by_key.get(queue_key, now_ms + 1) <= now_ms:
                del self._expiry_ms_by_key[queue_key]
