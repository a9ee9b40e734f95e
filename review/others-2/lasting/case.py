"""A worker crashes soon after tasks that last have begun on it."""

import pathlib
import time

import deployment

JOBS = ["00000000000000f1", "00000000000000f2"]
TASKS_PER_JOB = 5
DOWN_S = 4.5
WATCHED_S = 40.0
# The rule looks at 3 s that are calm, as are the 4 s before them, from 6 s
# after a task's last run.
CALM_MS = 4_000 + 3_000
AFTER_RUN_MS = 6_000 + 3_000


def play():
    # As on the site: six workers, four of them in one rack.
    machines = [(f"m-{n}", "proofdesk", "r1-1") for n in range(4)]
    machines += [(f"m-{n}", "proofdesk", "r1-2") for n in range(4, 6)]
    site = deployment.Site(pathlib.Path(__file__).parent, 3, machines)
    try:
        return play_on(site)
    finally:
        site.close()


def play_on(site):
    index = deployment.route("q-index", "proofdesk", "/index/")
    services = [deployment.service("proofdesk")]
    site.start(deployment.config(1, [index], services))
    body = {
        "spec": "lasting=1",
        "steps": [
            {
                "count": TASKS_PER_JOB,
                "cpu": 2_600,
                "mem_mb": 8_000,
                "estimate_ms": 500,
                "long_running": True,
            }
        ],
    }
    for job in JOBS:
        if site.call("front-1", "POST", f"/index/{job}", body)[0] != 200:
            raise deployment.CannotRun("a job was not accepted")
    site.wait_for("the tasks", lambda: len(all_runs(site)) == 10)
    time.sleep(3.0)
    if not deployment.has_trouble():
        time.sleep(WATCHED_S)
        site.note_runs(*JOBS)
        return False
    worker = all_runs(site)[0]["worker"]
    machine = worker.removeprefix("w-").rpartition("-")[0]
    site.platform(f"/control/crash?machines={machine}&for_s={DOWN_S}", "POST")
    crashed_ms = deployment.now_ms()
    site.note(f"{worker} crashes; its machine is back after {DOWN_S} s")
    time.sleep(WATCHED_S)
    site.note_runs(*JOBS)
    return report(site, crashed_ms)


def all_runs(site):
    return [run for job in JOBS for run in site.runs(job)]


def report(site, crashed_ms):
    """Return whether a task was left waiting for 3 s of calm."""
    back_ms = crashed_ms + int(DOWN_S * 1_000)
    limit_ms = max(back_ms + CALM_MS, crashed_ms + AFTER_RUN_MS)
    broken = False
    runs = all_runs(site)
    for task in sorted({run["task"] for run in runs}):
        lost = [r for r in runs if r["task"] == task and r["how"] == "lost"]
        if not lost:
            continue
        later_ms = [
            r["started_ms"]
            for r in runs
            if r["task"] == task and r["started_ms"] >= crashed_ms
        ]
        next_ms = min(later_ms, default=deployment.now_ms())
        if next_ms <= limit_ms:
            continue
        broken = True
        site.note(
            f"task {task} began again {(next_ms - crashed_ms) / 1_000:.1f} s"
            f" after the crash, {(next_ms - back_ms) / 1_000:.1f} s after the"
            " machine was back: LOST"
        )
    return broken


if __name__ == "__main__":
    deployment.main(play)
