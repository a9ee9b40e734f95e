"""A queue gets another name while a job of it is at work; then a restart."""

import pathlib
import time

import deployment

JOB = "00000000000000a6"
# Handed in at the end, for comparison.
LATER_JOB = "00000000000000a7"
WORK_MS = 6_000
# For how long the second step may wait after the first has ended.
WATCHED_S = 40.0
LIMIT_MS = 3_000


def play():
    machines = [(f"m-{n}", "proofdesk", "r1-1") for n in range(3)]
    machines += [(f"n-{n}", "letterloom", "r2-1") for n in range(2)]
    site = deployment.Site(pathlib.Path(__file__).parent, 3, machines)
    try:
        return play_on(site)
    finally:
        site.close()


def play_on(site):
    services = [
        deployment.service("proofdesk"),
        deployment.service("letterloom"),
    ]
    proof = deployment.route("q-proof", "proofdesk", "/proof/")
    letter = deployment.route("q-letter", "letterloom", "/letter/")
    site.start(deployment.config(1, [proof, letter], services))
    owner = site.wait_for("an owner", lambda: site.owner("proofdesk"))
    client = next(name for name in site.addresses if name != owner)
    body = {
        "spec": f"work_ms={WORK_MS}",
        "steps": [
            {"count": 2, "cpu": 1_000, "mem_mb": 100, "estimate_ms": WORK_MS},
            {
                "count": 2,
                "cpu": 1_000,
                "mem_mb": 100,
                "estimate_ms": WORK_MS,
                "after": [0],
            },
        ],
    }
    status, _ = site.call(client, "POST", f"/proof/{JOB}", body)
    if status != 200:
        raise deployment.CannotRun("the job was not accepted")
    site.wait_for("the first step", lambda: len(site.runs(JOB)) == 2)
    site.call(client, "GET", f"/proof/{JOB}")
    # The operator removes the route and adds one of another name for the same
    # host, prefix and service.
    renamed = deployment.route("q-proofing", "proofdesk", "/proof/")
    site.write_key(
        "op/config", deployment.config(2, [renamed, letter], services)
    )
    time.sleep(3.0)
    site.call(client, "GET", f"/proof/{JOB}")
    if deployment.has_trouble():
        site.restart(owner)
    broken = watch(site)
    site.call(client, "GET", f"/proof/{JOB}")
    body["spec"] = "work_ms=300"
    site.call(client, "POST", f"/proof/{LATER_JOB}", body)
    time.sleep(3.0)
    site.call(client, "GET", f"/proof/{LATER_JOB}")
    return broken


def watch(site):
    """Return whether the second step waited too long, with workers idle."""
    first_done_ms = 0
    end_s = time.monotonic() + WATCHED_S
    while time.monotonic() < end_s:
        runs = site.runs(JOB)
        done = [r for r in runs if r["how"] == "done" and ".0.0." in r["task"]]
        if len(done) == 2 and not first_done_ms:
            first_done_ms = max(run["ended_ms"] for run in done)
            site.note("both tasks of the first step have ended done")
        second = [run for run in runs if ".0.1." in run["task"]]
        if second:
            waited_ms = min(r["started_ms"] for r in second) - first_done_ms
            site.note(f"the second step began {waited_ms} ms after the first")
            site.note_runs(JOB)
            return waited_ms > LIMIT_MS
        time.sleep(0.1)
    if not first_done_ms:
        raise deployment.CannotRun("the first step has not ended")
    site.note_runs(JOB)
    site.note(f"owner of proofdesk: {site.owner('proofdesk')}")
    idle_s = (deployment.now_ms() - first_done_ms) / 1_000
    site.note(
        f"for {idle_s:.1f} s nothing of the job has run, though its second"
        " step is due and three workers are idle: LOST"
    )
    return True


if __name__ == "__main__":
    deployment.main(play)
