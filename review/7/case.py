"""The operator adds a service whose name begins with that of another."""

import pathlib
import time

import deployment

JOBS = [f"00000000000000e{n}" for n in range(4)]
WATCHED_S = 25.0


def play():
    name = "press/plates" if deployment.has_trouble() else "press-plates"
    machines = [(f"m-{n}", "press", "r1-1") for n in range(2)]
    machines += [(f"n-{n}", name, "r2-1") for n in range(2)]
    site = deployment.Site(pathlib.Path(__file__).parent, 3, machines)
    try:
        return play_on(site, name)
    finally:
        site.close()


def play_on(site, name):
    services = [deployment.service("press"), deployment.service(name)]
    press = deployment.route("q-press", "press", "/press/")
    plates = deployment.route("q-plates", name, "/plates/")
    site.start(deployment.config(1, [press], services))
    site.write_key("op/config", deployment.config(2, [press, plates], services))
    time.sleep(5.0)
    body = {
        "spec": "work_ms=3000",
        "steps": [
            {"count": 2, "cpu": 1_000, "mem_mb": 100, "estimate_ms": 3_000}
        ],
    }
    accepted = []
    for number, job in enumerate(JOBS):
        client = list(site.addresses)[number % len(site.addresses)]
        if site.call(client, "POST", f"/plates/{job}", body)[0] == 200:
            accepted.append(job)
        time.sleep(0.5)
    if not accepted:
        raise deployment.CannotRun("no job was accepted")
    time.sleep(WATCHED_S)
    for job in accepted:
        site.call("front-1", "GET", f"/plates/{job}")
    site.note_runs(*accepted)
    return overlaps(site, accepted)


def overlaps(site, jobs):
    """Return whether two runs of one task were at work at the same time."""
    broken = False
    runs = [run for job in jobs for run in site.runs(job)]
    for number, one in enumerate(runs):
        for other in runs[number + 1 :]:
            if one["task"] != other["task"]:
                continue
            begin_ms = max(one["started_ms"], other["started_ms"])
            ends = [r["ended_ms"] or deployment.now_ms() for r in (one, other)]
            if begin_ms < min(ends):
                site.note(
                    f"task {one['task']} ran on {one['worker']} and"
                    f" {other['worker']} for {min(ends) - begin_ms} ms: TWICE"
                )
                broken = True
    return broken


if __name__ == "__main__":
    deployment.main(play)
