"""A worker is back under its old id; a start to its former life is carried out.

The worker was removed meanwhile, and its task started elsewhere. The owner
gives the next life the fencing token of the first start again, so that the
worker takes the late one: the task runs twice at the same time.
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
_DARK_MS = 7_500
_REGISTER_MS = 50
_START_MS = 2_000
_JUDGED_S = 14.0
_JOB_ID = "00000000000000d1"


def _make_site(folder: pathlib.Path) -> site_module.Site:
    site = site_module.Site(folder, machines=_MACHINES, spare=0)
    site.workers_module = "review.kit3.late_workers"
    return site


def _job(work_ms: int) -> dict:
    step = {"count": 1, "cpu": 1_000, "mem_mb": 64, "estimate_ms": work_ms}
    return {"spec": f"work_ms={work_ms}", "steps": [step]}


def _send_others(
    site: site_module.Site, stopped: threading.Event, statuses: list[int]
) -> None:
    """Hand in jobs of the other queue, so that there are many orders."""
    number = 0
    while not stopped.is_set():
        number += 1
        path = f"/plates/{number:016x}"
        statuses.append(site.call("e-2", "POST", path, _job(60))[0])
        stopped.wait(0.05)


def _late_machine(site: site_module.Site) -> str:
    end_s = time.monotonic() + 4.0
    while time.monotonic() < end_s:
        held_back = site.call_workers("GET", "/late")
        if held_back:
            return str(held_back[0][0])
        time.sleep(0.01)
    raise verdict.CannotRunError("no start was held back")


def _play(
    site: site_module.Site, record: site_module.Record, trouble: bool
) -> list[str]:
    time.sleep(3.0)
    stopped = threading.Event()
    statuses: list[int] = []
    path = f"/renders/{_JOB_ID}"
    with concurrent.futures.ThreadPoolExecutor(1) as threads:
        others = threads.submit(_send_others, site, stopped, statuses)
        try:
            if trouble:
                for number in range(_MACHINES):
                    site.call_workers(
                        "POST", f"/late?machine=m-renders-{number}&path=start"
                    )
            status, _ = site.call("e-1", "POST", path, _job(12_000))
            record.write(f"POST {path} -> {status}")
            if trouble:
                machine = _late_machine(site)
                site.call_workers(
                    "POST",
                    f"/return?machine={machine}&dark_ms={_DARK_MS}"
                    f"&register_ms={_REGISTER_MS}&start_ms={_START_MS}",
                )
                record.write(f"a start is held back, and {machine} crashes")
            time.sleep(_JUDGED_S)
            record.write(f"GET {path} -> {site.call('e-0', 'GET', path)}")
        finally:
            stopped.set()
        others.result()
    record.write(f"{len(statuses)} jobs of the other queue: {set(statuses)}")
    for line in site.call_workers("GET", "/log"):
        record.write(f"worker: {line}")
    now_ms = int(time.time() * 1_000)
    runs = [r for r in site.runs() if r["task"].startswith(_JOB_ID)]
    broken = []
    for first in runs:
        for second in runs:
            first_end_ms = first["ended_ms"] or now_ms
            second_end_ms = second["ended_ms"] or now_ms
            together_ms = min(first_end_ms, second_end_ms) - second["started_ms"]
            if (
                first is not second
                and first["started_ms"] <= second["started_ms"]
                and together_ms > 0
            ):
                broken.append(
                    f"{first['task']} run {first['run']} on {first['worker']}"
                    f" and run {second['run']} on {second['worker']} ran at the"
                    f" same time for {together_ms} ms"
                )
    return broken


if __name__ == "__main__":
    sys.exit(verdict.run(_FOLDER, _make_site, _play))
