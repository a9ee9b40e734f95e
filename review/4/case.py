"""A scheduled job is handed in whose times lie in the past.

Exit code 1 if entry processes end three times on two machines, or if accepted
jobs of another service, whose workers are idle, have nothing running for 3 s
and aren't done 14 s after the last request.
"""

import asyncio
import json
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib import site as site_module  # noqa: E402
from lib import standins  # noqa: E402

TIMES = int(os.environ.get("TIMES", "200000"))
MINUTE_MS = 60_000
FINISH_S = 14.0
RETRIES = 4
MEMORY_MB = 300
RESTART_S = 0.5
# Three ends on two machines at least are a fault.
MAX_ENDS = 3
MACHINES = 2
STEPS = 4


def chain(work_ms):
    """Return a job of single tasks that run one after another."""
    step = {"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": work_ms}
    steps = [{**step, "after": [n - 1]} if n else step for n in range(STEPS)]
    return {"spec": json.dumps({"work_ms": work_ms}), "steps": steps}


def memory_mb(process):
    try:
        with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1_024
    except OSError:
        pass
    return 0.0


async def guard_memory(site, kills):
    """Kill processes over their limit and start them again, as the platform."""
    while True:
        await asyncio.sleep(0.1)
        for name, process in list(site.processes.items()):
            used_mb = memory_mb(process)
            if process.returncode is None and used_mb > MEMORY_MB:
                kills[name] = kills.get(name, 0) + 1
                site.record.add("over_memory", name=name, mb=int(used_mb))
                site.signal(name, signal.SIGKILL)
                await process.wait()
                await asyncio.sleep(RESTART_S)
                await site.start_entry(name)


async def case(folder, trouble):
    site = site_module.Site(folder)
    kills = {}
    guard = asyncio.ensure_future(guard_memory(site, kills))
    try:
        await site.start()
        assert await site.wait_for(
            lambda: all(site.owner(pool) for pool in site.pools), 10
        )
        await asyncio.sleep(1.0)
        start_at_ms = standins.wall_ms() + 2 * MINUTE_MS
        if trouble:
            start_at_ms -= TIMES * MINUTE_MS
        body = {
            **site_module.job_body(200, count=1),
            "repeats": TIMES,
            "start_at_ms": start_at_ms,
            "interval_ms": MINUTE_MS,
        }
        path = site.add_job("proofdesk", body, "a" * 16)
        for attempt in range(1 + RETRIES):
            entry = f"front-{attempt % 3 + 1}"
            status, _ = await site.call(entry, "POST", path, body)
            if status == 200:
                break
            await asyncio.sleep(0.5)
        paths = {}
        for number in range(12):
            job = f"{number + 1:016x}"
            path = site.add_job("colourhouse", chain(500), job)
            entry = f"front-{number % 3 + 1}"
            status, _ = await site.call(entry, "POST", path, site.jobs[job])
            if status == 200:
                paths[job] = path
            await asyncio.sleep(0.4)
        held = True
        await asyncio.sleep(FINISH_S)
        site.record.add("judge", ends=kills)
        ended = [name for name, count in kills.items() if count >= MAX_ENDS]
        if len(ended) >= MACHINES:
            site.record.add("judge", broken="Fault", machines=ended)
            held = False
        now_ms = standins.steady_ms()
        for job, path in paths.items():
            await site.call("front-1", "GET", path)
            rows = site.runs_of(job)
            done = sum(row[5] == "done" for row in rows)
            idle_ms = now_ms - max((row[4] or now_ms for row in rows), default=0)
            if done < STEPS and idle_ms > 3_000:
                site.record.add("judge", broken="LOST", job=path, done=done)
                held = False
        return held
    finally:
        guard.cancel()
        await site.stop()


if __name__ == "__main__":
    site_module.main(case, FOLDER)
