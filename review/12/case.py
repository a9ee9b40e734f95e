"""A worker is back under its old id; late calls make it forget an end.

A start and a hold that were sent to its former life are carried out late, by
the next one. The task ends, the hold acknowledges the end, which nobody has
read, and the task is run again.
"""

import concurrent.futures
import pathlib
import sys
import threading
import time

from review.kit3 import site as site_module
from review.kit3 import verdict

_FOLDER = pathlib.Path(__file__).parent
_MACHINES = 4
_DARK_MS = 2_600
_REGISTER_MS = 400
_START_MS = 30
_HOLD_MS = 200
_WORK_MS = 60
_MACHINE = "m-renders-1"
_JUDGED_S = 12.0


def _make_site(folder: pathlib.Path) -> site_module.Site:
    site = site_module.Site(folder, machines=_MACHINES, spare=0)
    site.workers_module = "review.kit3.late_workers"
    return site


def _job(count: int) -> dict:
    step = {
        "count": count,
        "cpu": 1_000,
        "mem_mb": 64,
        "estimate_ms": _WORK_MS,
        "anti_affinity": 1,
    }
    return {"spec": f"work_ms={_WORK_MS}", "steps": [step]}


def _send_others(
    site: site_module.Site, stopped: threading.Event, statuses: list[int]
) -> None:
    """Hand in jobs of the other queue, so that there are many orders."""
    number = 0
    while not stopped.is_set():
        number += 1
        path = f"/plates/{number:016x}"
        statuses.append(site.call("e-2", "POST", path, _job(_MACHINES))[0])
        stopped.wait(0.1)


def _wait_until(
    site: site_module.Site, path: str, state: str, limit_s: float
) -> bool:
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        _, answer = site.call("e-1", "GET", path)
        if (answer or {}).get("state") == state:
            return True
        time.sleep(0.1)
    return False


def _wait_for_call(site: site_module.Site, path: str) -> None:
    end_s = time.monotonic() + 4.0
    while time.monotonic() < end_s:
        if [_MACHINE, path] in site.call_workers("GET", "/late"):
            return
        time.sleep(0.01)
    raise verdict.CannotRunError(f"no {path} was held back")


def _play(
    site: site_module.Site, record: site_module.Record, trouble: bool
) -> list[str]:
    time.sleep(2.0)
    first = "/renders/00000000000000c1"
    status, _ = site.call("e-0", "POST", first, _job(_MACHINES))
    record.write(f"POST {first} -> {status}")
    if status != 200 or not _wait_until(site, first, "completed", 5.0):
        raise verdict.CannotRunError(first)
    time.sleep(1.5)
    stopped = threading.Event()
    statuses: list[int] = []
    second = "/renders/00000000000000c2"
    with concurrent.futures.ThreadPoolExecutor(2) as threads:
        others = threads.submit(_send_others, site, stopped, statuses)
        try:
            if trouble:
                site.call_workers("POST", f"/late?machine={_MACHINE}&path=start")
                site.call_workers("POST", f"/late?machine={_MACHINE}&path=hold")
                _wait_for_call(site, "hold")
            sent = threads.submit(
                site.call, "e-1", "POST", second, _job(_MACHINES)
            )
            if trouble:
                _wait_for_call(site, "start")
                site.call_workers(
                    "POST",
                    f"/return?machine={_MACHINE}&dark_ms={_DARK_MS}"
                    f"&register_ms={_REGISTER_MS}&start_ms={_START_MS}"
                    f"&hold_ms={_HOLD_MS}",
                )
            record.write(f"POST {second} -> {sent.result()[0]}")
            time.sleep(_JUDGED_S)
            record.write(f"GET {second} -> {site.call('e-0', 'GET', second)}")
        finally:
            stopped.set()
        others.result()
    record.write(f"{len(statuses)} jobs of the other queue: {set(statuses)}")
    for line in site.call_workers("GET", "/log"):
        record.write(f"worker of {_MACHINE}: {line}")
    broken = []
    runs = [r for r in site.runs() if r["task"].startswith("00000000000000c2")]
    for done in runs:
        if done["how"] != "done" or not done["acknowledged_ms"]:
            continue
        for later in runs:
            if (
                later["task"] == done["task"]
                and later["started_ms"] > done["ended_ms"]
            ):
                broken.append(
                    f"{done['task']} run {later['run']} started on"
                    f" {later['worker']}"
                    f" {later['started_ms'] - done['ended_ms']} ms after run"
                    f" {done['run']} had ended done, which was acknowledged"
                    f" {done['acknowledged_ms'] - done['ended_ms']} ms after"
                    " its end"
                )
    return broken


if __name__ == "__main__":
    sys.exit(verdict.run(_FOLDER, _make_site, _play))
