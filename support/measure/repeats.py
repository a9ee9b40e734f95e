"""Memory and time of a repeated job, by its number of due times."""

import time
import tracemalloc

from support import jobs
from support.measure import tables
from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import record

_DUE_COUNTS = (1_000, 10_000, 100_000, 1_000_000)
_INTERVAL_MS = 60_000
_FINISHED_COUNT = 500
_PLANS = 5
_KB = 1_024
_MS_PER_NS = 1e-6


def measure(seed: int) -> str:
    """Measure what an owner holds of a repeated job, and a search for work.

    Args:
        seed: Unused; the measured jobs are the same each time.

    Returns:
        Table of memory, of the time of a search for startable steps, and of
        the size of the stored record after some occurrences have finished.
    """
    del seed
    headings = ("due times", "memory, KB", "search, ms", "record, bytes")
    return tables.table(
        "repeats", headings, [_row(count) for count in _DUE_COUNTS]
    )


def _row(due_count: int) -> tuple[object, ...]:
    spec = jobs.spec(repeat_count=due_count, interval_ms=_INTERVAL_MS)
    wall_ms = due_count * _INTERVAL_MS
    tracemalloc.start()
    job = jobs.job("a" * 16, spec)
    job.startable_steps(wall_ms)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started_ns = time.process_time_ns()
    for _ in range(_PLANS):
        job.startable_steps(wall_ms)
        job.next_due_ms(wall_ms)
    search_ns = (time.process_time_ns() - started_ns) / _PLANS
    _finish(job, _FINISHED_COUNT)
    return (
        due_count,
        memory_bytes // _KB,
        round(search_ns * _MS_PER_NS, 2),
        len(record.encode(job)),
    )


def _finish(job: job_module.Job, count: int) -> None:
    """Finish the first occurrences, but for the very first one."""
    for number in range(1, count):
        for task in job.steps(number)[0].tasks:
            job.mark_done(task)
