"""One worker crashes under a gang with checkpoints; the gang never runs again."""

import pathlib
import sys
import time

from review.kit3 import site as site_module
from review.kit3 import verdict

_FOLDER = pathlib.Path(__file__).parent
_MACHINES = 8
_CRASH_MS = 4_500
_CONTACT_S = 3.0
_GANG_S = 3.0
_JUDGED_S = 30.0
_JOB_ID = "00000000000000a1"
_JOB = {
    "spec": "gang=2&work_ms=8000",
    "steps": [
        {
            "count": 2,
            "cpu": 20_000,
            "mem_mb": 1_024,
            "estimate_ms": 8_000,
            "gang": True,
            "checkpointing": True,
        }
    ],
}


def _make_site(folder: pathlib.Path) -> site_module.Site:
    site = site_module.Site(
        folder, pools=("renders",), machines=_MACHINES
    )
    site.workers_module = "review.kit3.gang_workers"
    return site


def _play(
    site: site_module.Site, record: site_module.Record, trouble: bool
) -> list[str]:
    time.sleep(2.0)
    path = f"/renders/{_JOB_ID}"
    status, _ = site.call("e-0", "POST", path, _JOB)
    record.write(f"POST {path} -> {status}")
    if status != 200:
        raise verdict.CannotRunError(status)
    time.sleep(3.2)
    running = [r for r in site.runs() if not r["how"]]
    if len(running) != 2:
        raise verdict.CannotRunError(running)
    if trouble:
        machine = running[0]["worker"].removeprefix("i-").rpartition("-")[0]
        site.call_workers("POST", f"/crash?machine={machine}&for_ms={_CRASH_MS}")
        record.write(f"the worker of {machine} crashes for {_CRASH_MS} ms")
    crashed_ms = time.time() * 1_000
    calm_ms = crashed_ms + _CRASH_MS + 1_000 * (_CONTACT_S + _GANG_S)
    end_s = time.monotonic() + _JUDGED_S
    state = None
    while time.monotonic() < end_s:
        time.sleep(2.0)
        status, answer = site.call("e-1", "GET", path)
        record.write(f"GET {path} -> {status} {answer}")
        state = (answer or {}).get("state")
        if state == "completed":
            break
    for start in site.call_workers("GET", "/sent"):
        record.write(f"start: {start}")
    broken = [
        f"task {r['task']} run {r['run']} ended alone on {r['worker']},"
        f" {(r['ended_ms'] - crashed_ms) / 1_000:.1f} s after the crash"
        for r in site.runs()
        if r["how"] == "alone" and r["ended_ms"] > calm_ms
    ]
    if broken and state != "completed":
        broken.append(f"the accepted job is still {state}")
    return broken


if __name__ == "__main__":
    sys.exit(verdict.run(_FOLDER, _make_site, _play))
