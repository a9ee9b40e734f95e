"""How fast fillers may work beside tasks that serve.

Multiplicative decrease, additive increase, for each VM: a serving task near
its latency target pauses the fillers beside it; they come back by steps, later
each time that they have done harm.
"""

import dataclasses

# Shares of a serving task's latency target.
_PAUSE_LATENCY_SHARE = 0.8
_RESUME_LATENCY_SHARE = 0.6
_SPEED_STEP_PERCENT = 25
_FULL_SPEED_PERCENT = 100
_MIN_PAUSE_MS = 1_500
_MAX_PAUSE_MS = 24_000


@dataclasses.dataclass(slots=True)
class FillerThrottle:
    """The pace of a VM's fillers.

    Attributes:
        percent: The share of their speed that they may use.
        pause_ms: How long the next pause lasts.
        next_increase_ms: When the pace may rise again.
    """

    percent: int = _FULL_SPEED_PERCENT
    pause_ms: int = _MIN_PAUSE_MS
    next_increase_ms: int = 0

    def adapt(self, worst_latency_share: float, now_ms: int) -> int:
        """Adapt to the tails of the serving tasks on the VM.

        Args:
            worst_latency_share: The highest tail latency, as a share of its target;
                0 if nothing serves there.
            now_ms: The owner's clock.

        Returns:
            The percent that fillers may use now.
        """
        if worst_latency_share >= _PAUSE_LATENCY_SHARE:
            if self.percent:
                self.next_increase_ms = now_ms + self.pause_ms
                self.pause_ms = min(2 * self.pause_ms, _MAX_PAUSE_MS)
            self.percent = 0
        elif (
            worst_latency_share <= _RESUME_LATENCY_SHARE
            and now_ms >= self.next_increase_ms
        ):
            self.percent = min(
                _FULL_SPEED_PERCENT, self.percent + _SPEED_STEP_PERCENT
            )
            self.next_increase_ms = now_ms + _MIN_PAUSE_MS
        return self.percent
