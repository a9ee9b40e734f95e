"""Throttling of filler tasks that share a VM with serving tasks.

Each VM has its own control loop with additive increase and multiplicative
decrease: a serving task near its latency target pauses the fillers on the VM,
then their speed rises again in steps. The pause doubles each time.
"""

import dataclasses

# Tail latencies as shares of the latency target of a serving task. Fillers are
# paused at the first or above; their speed rises at the second or below.
_PAUSE_LATENCY_SHARE = 0.8
_RESUME_LATENCY_SHARE = 0.6
_SPEED_STEP_PERCENT = 25
_FULL_SPEED_PERCENT = 100
_MIN_PAUSE_MS = 1_500
_MAX_PAUSE_MS = 24_000


@dataclasses.dataclass(slots=True)
class FillerThrottle:
    """Controls the speed of the fillers on a VM.

    Attributes:
        percent: Share of their full speed that the fillers may use.
        pause_ms: Duration of the next pause.
        next_increase_ms: Earliest time of the next increase, on the owner's
            clock.
    """

    percent: int = _FULL_SPEED_PERCENT
    pause_ms: int = _MIN_PAUSE_MS
    next_increase_ms: int = 0

    def adapt(self, worst_latency_share: float, now_ms: int) -> int:
        """Adapt the speed to the tail latency of the serving tasks on the VM.

        Args:
            worst_latency_share: Highest tail latency as a share of its target;
                0 if no serving task runs on the VM.
            now_ms: Current time, on the owner's clock.

        Returns:
            Share of their full speed that the fillers may use now, in percent.
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
