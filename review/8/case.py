"""The operator adds a service with a queue; the service is named ``machines``."""

import pathlib
import time

import deployment

JOBS = [f"00000000000000b{n}" for n in range(4)]
WATCHED_S = 30.0


def play():
    name = "machines" if deployment.has_trouble() else "mechanics"
    machines = [(f"m-{n}", "proofdesk", "r1-1") for n in range(2)]
    machines += [(f"n-{n}", name, "r2-1") for n in range(2)]
    site = deployment.Site(pathlib.Path(__file__).parent, 3, machines)
    try:
        return play_on(site, name)
    finally:
        site.close()


def play_on(site, name):
    services = [deployment.service("proofdesk"), deployment.service(name)]
    proof = deployment.route("q-proof", "proofdesk", "/proof/")
    parts = deployment.route("q-parts", name, "/parts/")
    site.start(deployment.config(1, [proof], services))
    # The operator adds a queue for the second service.
    site.write_key("op/config", deployment.config(2, [proof, parts], services))
    time.sleep(5.0)
    body = {
        "spec": "work_ms=300",
        "steps": [
            {"count": 2, "cpu": 1_000, "mem_mb": 100, "estimate_ms": 300}
        ],
    }
    accepted = []
    for number, job in enumerate(JOBS):
        client = list(site.addresses)[number % len(site.addresses)]
        if site.call(client, "POST", f"/parts/{job}", body)[0] == 200:
            accepted.append(job)
    # The same job of the other service, for comparison.
    site.call("front-1", "POST", "/proof/00000000000000bf", body)
    if not accepted:
        raise deployment.CannotRun("no job was accepted")
    end_s = time.monotonic() + WATCHED_S
    unfinished = accepted
    while time.monotonic() < end_s and unfinished:
        time.sleep(1.0)
        unfinished = [job for job in unfinished if not is_done(site, job)]
    for job in accepted:
        site.call("front-1", "GET", f"/parts/{job}")
    site.call("front-1", "GET", "/proof/00000000000000bf")
    site.note_runs(*accepted, "00000000000000bf")
    never = [job for job in unfinished if not site.runs(job)]
    if never:
        site.note(
            f"{len(never)} of {len(accepted)} accepted jobs have had nothing"
            f" running for {WATCHED_S:.0f} s, with both workers of {name} idle:"
            " LOST"
        )
    return bool(never)


def is_done(site, job):
    runs = site.runs(job)
    return len([run for run in runs if run["how"] == "done"]) == 2


if __name__ == "__main__":
    deployment.main(play)
