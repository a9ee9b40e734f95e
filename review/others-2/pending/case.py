"""A rack loses power while jobs of its queue come in; clients ask ``pending``."""

import pathlib
import time

import deployment

JOBS = [f"00000000000000c{n}" for n in range(8)]
DARK_S = 8.0
# ``visible_ms`` and 2 s more, in which the value may be old.
OLD_MS = deployment.BOUNDS["visible_ms"] + 2_000


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
    proof = deployment.route("q-proof", "proofdesk", "/proof/")
    services = [deployment.service("proofdesk")]
    site.start(deployment.config(1, [proof], services))
    site.wait_for("an owner", lambda: site.owner("proofdesk"))
    body = {
        "spec": "work_ms=300",
        "steps": [
            {"count": 2, "cpu": 1_000, "mem_mb": 100, "estimate_ms": 300}
        ],
    }
    if deployment.has_trouble():
        names = ",".join(f"m-{n}" for n in range(4))
        site.platform(f"/control/crash?machines={names}&for_s={DARK_S}", "POST")
        site.note(f"rack r1-1 loses power for {DARK_S:.0f} s: {names}")
    accepted_ms = {}
    for number, job in enumerate(JOBS):
        name = list(site.addresses)[number % len(site.addresses)]
        if site.call(name, "POST", f"/proof/{job}", body)[0] == 200:
            accepted_ms[job] = deployment.now_ms()
        time.sleep(0.1)
    if not accepted_ms:
        raise deployment.CannotRun("no job was accepted")
    end_s = time.monotonic() + 2 * DARK_S
    broken = 0
    while time.monotonic() < end_s:
        broken += sum(
            is_wrong(site, name, accepted_ms) for name in site.addresses
        )
        time.sleep(0.5)
    site.note_runs(*JOBS)
    if broken:
        site.note(f"{broken} answers gave under half of the jobs: MIXED")
    return broken > 0


def is_wrong(site, name, accepted_ms):
    """Ask a machine for ``pending``; return whether it is under half."""
    asked_ms = deployment.now_ms()
    status, answer = site.call(name, "GET", "/proof/", quiet=True)
    begun = {run["task"].split(".")[0] for run in site.records()["runs"]}
    waiting = [
        job
        for job, at_ms in accepted_ms.items()
        if job not in begun and asked_ms - at_ms > OLD_MS
    ]
    if status != 200 or not waiting:
        return False
    site.note(
        f"client: GET /proof/ at {name}: {answer}; {len(waiting)} jobs were"
        f" accepted over {OLD_MS} ms before and have not begun"
    )
    return answer["pending"] < len(waiting) / 2


if __name__ == "__main__":
    deployment.main(play)
