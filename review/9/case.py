"""A machine is cut off with a client's request; the client cancels elsewhere."""

import pathlib
import threading
import time

import deployment

JOB = "00000000000000f9"
FIRST_JOB = "00000000000000f0"
CUT_S = 10.0


def play():
    machines = [(f"m-{n}", "proofdesk", "r1-1") for n in range(3)]
    site = deployment.Site(
        pathlib.Path(__file__).parent, 4, machines, linked=True
    )
    try:
        return play_on(site)
    finally:
        site.close()


def play_on(site):
    proof = deployment.route("q-proof", "proofdesk", "/proof/")
    services = [deployment.service("proofdesk")]
    site.start(deployment.config(1, [proof], services))
    owner = site.wait_for("an owner", lambda: site.owner("proofdesk"))
    other, third = [name for name in site.addresses if name != owner][:2]
    body = {
        "spec": "work_ms=300",
        "steps": [
            {"count": 2, "cpu": 1_000, "mem_mb": 100, "estimate_ms": 300}
        ],
    }
    if site.call(third, "POST", f"/proof/{FIRST_JOB}", body)[0] != 200:
        raise deployment.CannotRun("the first job was not accepted")
    time.sleep(2.0)
    if deployment.has_trouble():
        site.cut_off(other)
        healer = threading.Timer(CUT_S, site.heal)
        healer.start()
    status, _ = site.call(other, "POST", f"/proof/{JOB}", body)
    if deployment.has_trouble() and status == 200:
        raise deployment.CannotRun("the job was accepted in spite of the cut")
    # The client gives the job up, and cancels what may have been accepted.
    time.sleep(0.3)
    status, _ = site.call(third, "DELETE", f"/proof/{JOB}")
    cancelled_ms = deployment.now_ms()
    if status not in (200, 410):
        raise deployment.CannotRun("the cancelling was not acknowledged")
    site.call(third, "GET", f"/proof/{JOB}")
    time.sleep(CUT_S + 6.0)
    if deployment.has_trouble():
        healer.join()
    site.call(third, "GET", f"/proof/{JOB}")
    site.note_runs(JOB)
    return report(site, cancelled_ms)


def report(site, cancelled_ms):
    """Return whether a task began too long after the cancelling."""
    limit_ms = deployment.BOUNDS["cancel_ms"]
    late_ms = [
        run["started_ms"] - cancelled_ms
        for run in site.runs(JOB)
        if run["started_ms"] - cancelled_ms > limit_ms
    ]
    if late_ms:
        site.note(
            f"{len(late_ms)} tasks began {min(late_ms) / 1_000:.1f} s and more"
            " after the cancelling was acknowledged: UNASKED"
        )
    return bool(late_ms)


if __name__ == "__main__":
    deployment.main(play)
