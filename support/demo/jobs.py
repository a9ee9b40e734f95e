"""Runs jobs on entry processes during a wave, a kill and a graceful stop.

The last line is computed from the records of the callers and the VMs.
"""

import argparse
import collections
import pathlib
import random
import signal
import tempfile
import time
from typing import Any

from support.demo import entry_site
from support.faults import task_runs
from support.standins import workers

_SENDING_S = 8.0
_PAUSE_S = 0.05
_COMPLETION_TIMEOUT_S = 30.0
_MAX_ATTEMPTS = 6
_POOLS = ("renders", "plates")


class Callers:
    """Sends jobs and records their outcomes.

    Args:
        site: Site to send the jobs to.
        seed: Seed of all random choices.

    Attributes:
        accepted: Paths of the accepted jobs.
        refused: Paths of the jobs that were certainly not accepted.
        unknown: Paths of the jobs whose outcome is unknown.
    """

    def __init__(self, site: entry_site.EntrySite, seed: int) -> None:
        self._site = site
        self._rng = random.Random(seed)
        self.accepted: list[str] = []
        self.refused: list[str] = []
        self.unknown: list[str] = []

    def send(self) -> None:
        """Send one random job to a random pool."""
        self.send_job(self._rng.choice(_POOLS), self._create_job())

    def send_job(self, pool: str, body: dict[str, Any]) -> None:
        """Send one job, and retry until it is accepted, up to six times.

        Args:
            pool: Pool that the job's queue is routed to.
            body: Body of the submission.
        """
        path = f"/{pool}/{self._rng.getrandbits(64):016x}"
        statuses = []
        for _ in range(_MAX_ATTEMPTS):
            statuses.append(self._call("POST", path, body))
            if statuses[-1] == 200:
                self.accepted.append(path)
                return
            time.sleep(_PAUSE_S)
        not_run = all(status in (429, 503) for status in statuses)
        (self.refused if not_run else self.unknown).append(path)

    def incomplete_jobs(self) -> list[str]:
        """Return the paths of the accepted jobs that are not completed."""
        return [p for p in self.accepted if self._get_state(p) != "completed"]

    def _get_state(self, path: str) -> str:
        name = self._rng.choice(list(self._site.addresses))
        _, content = self._site.call(name, "GET", path)
        return (content or {}).get("state", "")

    def _call(self, method: str, path: str, body: Any) -> int:
        name = self._rng.choice(list(self._site.addresses))
        return self._site.call(name, method, path, body)[0]

    def _create_job(self) -> dict[str, Any]:
        work_ms = self._rng.randrange(50, 600)
        step = {"cpu": 1_000, "mem_mb": 64, "estimate_ms": work_ms}
        first = {**step, "count": self._rng.randrange(1, 6)}
        second = {**step, "count": self._rng.randrange(1, 4), "after": [0]}
        return {"spec": f"work_ms={work_ms}", "steps": [first, second]}


def _count_completed_twice(records: list[workers.Record]) -> int:
    done = collections.Counter(
        record.task for record in records if record.how == "done"
    )
    return sum(1 for count in done.values() if count > 1)


def _inject_fault(site: entry_site.EntrySite, fault_number: int) -> None:
    owner = site.owner(_POOLS[0])
    match fault_number:
        case 1:
            machines = [f"m-{pool}-0" for pool in _POOLS]
            site.write_key(
                "op/wave/1",
                {
                    "wave": 1,
                    "machines": machines,
                    "duration_s": 20,
                    "max_count": 1,
                },
            )
        case 2 if owner is not None:
            site.signal(owner, signal.SIGKILL)
            site.processes[owner].wait()
            site.start_entry(owner)
        case 3 if owner is not None:
            site.signal(owner, signal.SIGTERM)
            site.processes[owner].wait()
            site.start_entry(owner)
        case _:
            pass


def run(folder: pathlib.Path, seed: int) -> int:
    """Run the demonstration.

    Args:
        folder: Folder for settings files and logs.
        seed: Seed of all random choices.

    Returns:
        Exit code; 1 if a job was lost, a task completed twice or ran twice at
        the same time, or a job ran although its caller was told otherwise.
    """
    site = entry_site.EntrySite(folder)
    try:
        site.start()
        callers = Callers(site, seed)
        start_s = time.monotonic()
        injected_count = 0
        while time.monotonic() - start_s < _SENDING_S:
            callers.send()
            due_count = int((time.monotonic() - start_s) / (_SENDING_S / 4))
            if due_count > injected_count:
                injected_count = due_count
                _inject_fault(site, injected_count)
            time.sleep(_PAUSE_S)
        incomplete = callers.incomplete_jobs()
        deadline_s = time.monotonic() + _COMPLETION_TIMEOUT_S
        while incomplete and time.monotonic() < deadline_s:
            time.sleep(0.5)
            incomplete = callers.incomplete_jobs()
        records = site.records()
        completed_twice = _count_completed_twice(records)
        overlapping = len(task_runs.find_overlapping(records))
        started = {record.task.partition(".")[0] for record in records}
        false_not_run = sum(
            path.rpartition("/")[2] in started for path in callers.refused
        )
        print(
            f"jobs: accepted={len(callers.accepted)}"
            f" not_run={len(callers.refused)} unknown={len(callers.unknown)}"
            f" lost={len(incomplete)} doubled={completed_twice}"
            f" overlapping={overlapping} false_not_run={false_not_run}"
        )
        return (
            1
            if incomplete or completed_twice or overlapping or false_not_run
            else 0
        )
    finally:
        site.stop()


def main() -> int:
    """Run the demonstration in a temporary folder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        return run(pathlib.Path(name), options.seed)


if __name__ == "__main__":
    raise SystemExit(main())
