"""What one log line, with its meters, costs the process that writes it."""

import os
import time

from support.measure import tables
from wagtailtiller import events

_LINES = 20_000
_US_PER_S = 1_000_000


def measure(seed: int) -> str:
    """Write many lines to nowhere; this process logs there from then on.

    Args:
        seed: Unused; nothing here is left to chance.

    Returns:
        A table.
    """
    events.start_logging(os.open(os.devnull, os.O_WRONLY))
    began_s = time.process_time()
    for number in range(_LINES):
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
    cost_us = (time.process_time() - began_s) / _LINES * _US_PER_S
    return tables.table("logging", ("us a line",), [(f"{cost_us:.0f}",)])
