"""Jobs on entry processes under load, with a wave, a kill and a stop.

Ends with a line that is computed from the callers' and the VMs' own records.
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

_SENT_FOR_S = 8.0
_PAUSE_S = 0.05
_DONE_WITHIN_S = 30.0
_TRIES = 6
_POOLS = ("renders", "plates")


class Callers:
    """Sends jobs and remembers what was answered.

    Args:
        site: Where to send them.
        seed: Of the random choices.
    """

    def __init__(self, site: entry_site.EntrySite, seed: int) -> None:
        self._site = site
        self._random = random.Random(seed)
        self.accepted: list[str] = []
        self.refused: list[str] = []
        self.unknown: list[str] = []

    def send(self) -> None:
        """Send one job, again while the answer is not final."""
        pool = self._random.choice(_POOLS)
        path = f"/{pool}/{self._random.getrandbits(64):016x}"
        body = self._job()
        statuses = []
        for _ in range(_TRIES):
            statuses.append(self._call("POST", path, body))
            if statuses[-1] == 200:
                self.accepted.append(path)
                return
            time.sleep(_PAUSE_S)
        certain = all(status in (429, 503) for status in statuses)
        (self.refused if certain else self.unknown).append(path)

    def open_jobs(self) -> list[str]:
        """Return the accepted jobs that are not shown as completed."""
        return [p for p in self.accepted if self._state(p) != "completed"]

    def _state(self, path: str) -> str:
        entry = self._random.choice(list(self._site.addresses))
        _, answer = self._site.call(entry, "GET", path)
        return (answer or {}).get("state", "")

    def _call(self, method: str, path: str, body: Any) -> int:
        entry = self._random.choice(list(self._site.addresses))
        return self._site.call(entry, method, path, body)[0]

    def _job(self) -> dict[str, Any]:
        work_ms = self._random.randrange(50, 600)
        step = {"cpu": 1_000, "mem_mb": 64, "estimate_ms": work_ms}
        first = {**step, "count": self._random.randrange(1, 6)}
        second = {**step, "count": self._random.randrange(1, 4), "after": [0]}
        return {"spec": f"work_ms={work_ms}", "steps": [first, second]}


def _doubled(records: list[dict[str, Any]]) -> int:
    done = collections.Counter(
        record["task"] for record in records if record["how"] == "done"
    )
    return sum(1 for count in done.values() if count > 1)


def _overlapping(records: list[dict[str, Any]]) -> int:
    by_task: dict[str, list[dict[str, Any]]] = collections.defaultdict(list)
    for record in records:
        by_task[record["task"]].append(record)
    found = 0
    for runs in by_task.values():
        runs.sort(key=lambda record: record["started_ms"])
        for earlier, later in zip(runs, runs[1:], strict=False):
            found += later["started_ms"] < earlier["ended_ms"]
    return found


def _disturb(site: entry_site.EntrySite, step: int) -> None:
    owner = site.owner(_POOLS[0])
    match step:
        case 1:
            machines = [f"m-{pool}-0" for pool in _POOLS]
            site.put(
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
    """Run the demonstration; the exit code says whether all was kept."""
    site = entry_site.EntrySite(folder)
    try:
        site.start()
        callers = Callers(site, seed)
        began_s = time.monotonic()
        disturbed = 0
        while time.monotonic() - began_s < _SENT_FOR_S:
            callers.send()
            due = int((time.monotonic() - began_s) / (_SENT_FOR_S / 4))
            if due > disturbed:
                disturbed = due
                _disturb(site, disturbed)
            time.sleep(_PAUSE_S)
        lost = callers.open_jobs()
        end_s = time.monotonic() + _DONE_WITHIN_S
        while lost and time.monotonic() < end_s:
            time.sleep(0.5)
            lost = callers.open_jobs()
        records = site.service("GET", "/records")
        doubled, overlapping = _doubled(records), _overlapping(records)
        started = {record["task"].partition(".")[0] for record in records}
        false_not_run = sum(
            path.rpartition("/")[2] in started for path in callers.refused
        )
        print(
            f"jobs: accepted={len(callers.accepted)}"
            f" not_run={len(callers.refused)} unknown={len(callers.unknown)}"
            f" lost={len(lost)} doubled={doubled} overlapping={overlapping}"
            f" false_not_run={false_not_run}"
        )
        return 1 if lost or doubled or overlapping or false_not_run else 0
    finally:
        site.stop()


def main() -> int:
    """Run the demonstration in a folder of its own."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        return run(pathlib.Path(name), options.seed)


if __name__ == "__main__":
    raise SystemExit(main())
