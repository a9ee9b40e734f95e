"""Decides how many machines a pool keeps, and how fast it returns the others.

A machine that is returned too early is missed until it has been moved back. A
machine that is returned too late costs what a machine in a pool costs. This
module does no I/O.
"""

import dataclasses
import math

from wagtailtiller import events
from wagtailtiller import ids

# A machine that is missed is back after the move and the time in which the
# arrivals that need it are observed.
_RETURN_TRIP_MS = 2_500
# At full use, a machine-second serves jobs worth 15 times its price, and a late
# job loses nine tenths of its value. Whether a phase follows is not known, so
# the product is halved.
_MISSING_COST_FACTOR = 6
# How long a pool keeps the size that it was given while its peak phase has not
# been seen: until keeping a machine has cost as much as missing it.
KEEP_GIVEN_SIZE_MS = _MISSING_COST_FACTOR * _RETURN_TRIP_MS
# A peak phase has been seen when the need has reached this share of the size
# that the pool was given. It has passed when the need has stayed below this
# share of its maximum for some time; arrivals of large jobs vary by half within
# a phase.
_PEAK_SHARE = 0.5
_PASSED_AFTER_MS = 1_000
# A pool that has at most this share of its need may take machines that others
# keep for a phase that may follow: missing them costs it more than half of its
# jobs for certain.
_SEVERE_SHARE = 0.5
# Share of the surplus that is returned in a cycle of 200 ms. Half of it has
# left after 0.6 s, in which two more averages of the arrivals are taken.
_STEP_SHARE = 0.2
# The same with a reliable forecast that they are not needed.
_FORECAST_STEP_SHARE = 0.5


@dataclasses.dataclass
class _PoolHistory:
    given_machines: int
    peak_machines: int = 0
    low_since_ms: int | None = None
    passed: bool = False


class ReturnPolicy:
    """Bounds the machines that pools return.

    Args:
        sizes_are_given: Whether the pools have the sizes that operators gave
            them, and not those that a previous machine manager left.

    Attributes:
        arrivals_since_ms: Clock reading at which work began to arrive at any
            pool; None before.
    """

    def __init__(self, sizes_are_given: bool = True) -> None:
        self._sizes_are_given = sizes_are_given
        self._pools: dict[ids.PoolId, _PoolHistory] = {}
        self.arrivals_since_ms: int | None = None

    def observe(
        self,
        pool: ids.PoolId,
        needed_machines: int,
        present_machines: int,
        now_ms: int,
    ) -> None:
        """Take the state of a pool into account.

        Args:
            pool: Id of the pool.
            needed_machines: Number of machines that the pool needs now.
            present_machines: Number of machines that it has now.
            now_ms: Current clock reading.
        """
        history = self._pools.get(pool)
        if history is None:
            history = _PoolHistory(present_machines)
            self._pools[pool] = history
        if self.arrivals_since_ms is None:
            # The platform lists the machines of a pool as they start.
            history.given_machines = max(
                history.given_machines, present_machines
            )
        history.peak_machines = max(history.peak_machines, needed_machines)
        seen = history.peak_machines >= _PEAK_SHARE * history.given_machines
        if needed_machines > _PEAK_SHARE * history.peak_machines or not seen:
            history.low_since_ms = None
        elif history.low_since_ms is None:
            history.low_since_ms = now_ms
        elif now_ms - history.low_since_ms >= _PASSED_AFTER_MS:
            if not history.passed:
                events.emit(
                    events.Event.POOL_PHASE_PASSED,
                    pool=pool,
                    given=history.given_machines,
                    peak=history.peak_machines,
                    needed=needed_machines,
                )
            history.passed = True

    def machines_kept(
        self, pool: ids.PoolId, needed_machines: int, now_ms: int
    ) -> int:
        """Return how many machines a pool keeps.

        Args:
            pool: Id of an observed pool.
            needed_machines: Number of machines that the pool needs now.
            now_ms: Current clock reading.

        Returns:
            The need; at least the size that the pool was given, while its peak
            phase has not passed and may still follow.
        """
        history = self._pools[pool]
        if not self._sizes_are_given:
            return needed_machines
        if history.passed or self._is_absence_known(now_ms):
            return needed_machines
        return max(needed_machines, history.given_machines)

    def _is_absence_known(self, now_ms: int) -> bool:
        since_ms = self.arrivals_since_ms
        return since_ms is not None and now_ms - since_ms > KEEP_GIVEN_SIZE_MS


def step_machines(surplus_machines: int, has_forecast: bool) -> int:
    """Return how many machines of a surplus are returned in one cycle.

    Args:
        surplus_machines: Number of machines above the number that is kept.
        has_forecast: Whether a reliable forecast says that they are not needed.
    """
    share = _FORECAST_STEP_SHARE if has_forecast else _STEP_SHARE
    return math.ceil(share * max(0, surplus_machines))


def is_severe(available_machines: int, needed_machines: int) -> bool:
    """Return whether a pool is so short that its need goes before others' keep.

    Args:
        available_machines: Number of machines that the pool can use soon.
        needed_machines: Number of machines that it needs.
    """
    return available_machines <= _SEVERE_SHARE * needed_machines
