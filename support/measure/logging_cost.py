"""Processor time of one log line and its Prometheus metrics."""

import os
import time

from support.measure import tables
from wagtailtiller import events

_LINE_COUNT = 20_000
_US_PER_S = 1_000_000


def measure(seed: int) -> str:
    """Write many lines to /dev/null, to which this process then keeps logging.

    Args:
        seed: Unused.

    Returns:
        Table with the processor time per line in microseconds.
    """
    events.start_logging(os.open(os.devnull, os.O_WRONLY))
    start_s = time.process_time()
    for number in range(_LINE_COUNT):
        events.emit(
            events.Event.RUN_STARTED,
            job="5c0e7a21d94b36f8",
            task=(0, 0, number),
            run=1,
            vm="i-713a46c9a1",
            token=1_048_576,
            outcome="done",
            took_ms=2,
        )
    cost_us = (time.process_time() - start_s) / _LINE_COUNT * _US_PER_S
    return tables.table("logging", ("us a line",), [(f"{cost_us:.0f}",)])
