"""Runs a site under load, with a wave and a settings change.

The last line is computed from the records of callers and endpoints. The exit
code is 1 if the oracle finds an error or a process does not exit cleanly.
"""

import argparse
import asyncio
import http
import json
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Any

import aiohttp
import msgspec

from support.demo import caller
from support.demo import cluster
from support.demo import oracle
from support.demo import site
from support.standins import fleet

_DURATION_S = 24.0
_PERIOD_S = 12.0
_WORK_MS = 300.0
_MEAN_PER_S = 40.0
_WAVE_DELAY_S = 3.0
_WAVE_POOLS = {"kadalpura": "colouring", "riga": "cutting"}
_CHANGED_QUEUES = {"kadalpura": "previews", "riga": "quotations"}
_PROBE_BYTES = 200
_PROBE_INTERVAL_S = 0.02
_TOO_LARGE = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE


def write_plan(
    running: cluster.Cluster,
    folder: pathlib.Path,
    duration_s: float,
    seed: int,
) -> str:
    """Write the plan of the callers and return its file name.

    Args:
        running: Running site.
        folder: Folder for the plan and the records.
        duration_s: How long requests are sent, in seconds.
        seed: Seed of the callers' random choices.
    """
    queues = [
        {
            "queue": queue.queue,
            "tokens": queue.tokens,
            "members": _members_by_token(running.plan),
            "idempotent": queue.idempotent,
        }
        for queue in _one_queue_per_pool(running.plan)
    ]
    plan = caller.Plan(
        gateways=list(running.gateway_urls.values()),
        queues=queues,
        mean_per_s=_MEAN_PER_S,
        work_ms=_WORK_MS,
        period_s=_PERIOD_S,
        duration_s=duration_s,
        seed=seed,
        output=str(folder / "calls.json"),
    )
    path = folder / "plan.json"
    path.write_bytes(msgspec.json.encode(plan))
    return str(path)


def start_callers(plan: str) -> "subprocess.Popen[bytes]":
    """Start the caller process with the given plan file."""
    return subprocess.Popen(
        [sys.executable, "-m", "support.demo.caller", "--plan", plan]
    )


def read_calls(folder: pathlib.Path) -> list[caller.CallRecord]:
    """Return the records that the callers wrote to the folder."""
    data = (folder / "calls.json").read_bytes()
    return msgspec.json.decode(data, type=list[caller.CallRecord])


def collect(
    running: cluster.Cluster, calls: list[caller.CallRecord]
) -> oracle.Verdict:
    """Fetch the endpoints' records and return the verdict on the site."""
    records = cluster.get_json(f"{running.platform_url}/records")
    outages = cluster.get_json(f"{running.platform_url}/outages")
    listed = json.loads(running.ctl("vm", "--json").stdout)
    return oracle.judge(
        calls=calls,
        runs=msgspec.convert(records, list[fleet.RunRecord]),
        outages=msgspec.convert(outages, list[fleet.Outage]),
        pools={vm: record["pool"] for vm, record in listed.items()},
        budgets=running.plan.budget_by_pool,
    )


def _members_by_token(plan: site.Site) -> dict[str, str]:
    members: Any = plan.settings["members"]
    return {
        f"demo-{team}": member
        for member, node in members.items()
        for team in node["teams"]
    }


def _one_queue_per_pool(plan: site.Site) -> list[site.QueuePlan]:
    """Return the first queue of each pool, so that five queues are loaded."""
    queue_by_pool: dict[str, site.QueuePlan] = {}
    for queue in plan.queues:
        queue_by_pool.setdefault(queue.pool, queue)
    return list(queue_by_pool.values())


async def _first_rejection_ms(url: str, queue: str, token: str) -> int:
    """Return the Unix time in ms at which a gateway first rejects a body."""
    await last_acceptance_ms(url, queue, token)
    return time.time_ns() // 1_000_000


async def last_acceptance_ms(url: str, queue: str, token: str) -> int:
    """Probe a gateway until it rejects a body as too large.

    Args:
        url: URL of the gateway.
        queue: Queue whose body limit has been lowered or will be.
        token: Token of a caller.

    Returns:
        Time at which the gateway last accepted the body, in Unix
        milliseconds; 0 if it never did.
    """
    headers = {"Authorization": f"Bearer {token}", "X-Work-Ms": "1"}
    headers["X-Caller-Id"] = "probe"
    accepted_ms = 0
    async with aiohttp.ClientSession() as session:
        while True:
            async with session.post(
                f"{url}/q/{queue}", data=b"x" * _PROBE_BYTES, headers=headers
            ) as response:
                await response.read()
                if response.status == http.HTTPStatus.OK:
                    accepted_ms = time.time_ns() // 1_000_000
                if response.status == _TOO_LARGE:
                    return accepted_ms
            await asyncio.sleep(_PROBE_INTERVAL_S)


async def in_force_ms(running: cluster.Cluster, queue: str, token: str) -> int:
    """Lower a body limit and wait until every gateway applies it.

    Args:
        running: Running site.
        queue: Queue whose limit is lowered.
        token: Token of a caller.

    Returns:
        Milliseconds between the acceptance of the change and the first
        rejection by the last gateway.
    """
    probes = [
        asyncio.create_task(_first_rejection_ms(url, queue, token))
        for url in running.gateway_urls.values()
    ]
    arguments = ("queue", queue, "--set", "max_body_bytes=100", "--json")
    result = await asyncio.to_thread(running.ctl, *arguments)
    changed_ms = json.loads(result.stdout)["at_ms"]
    rejected_ms = await asyncio.gather(*probes)
    return max(rejected_ms) - changed_ms


def _run(running: cluster.Cluster, site_name: str, folder: pathlib.Path) -> int:
    plan = write_plan(running, folder, _DURATION_S, seed=1)
    callers = start_callers(plan)
    time.sleep(_WAVE_DELAY_S)
    pool = _WAVE_POOLS[site_name]
    start_s = time.monotonic()
    wave = running.ctl("wave", "start", pool, "--follow", "--why", "kernel")
    print(wave.stdout)
    wave_s = time.monotonic() - start_s
    queue = next(
        each
        for each in running.plan.queues
        if each.queue == _CHANGED_QUEUES[site_name]
    )
    in_force_after_ms = asyncio.run(
        in_force_ms(running, queue.queue, queue.tokens[0])
    )
    callers.wait()
    verdict = collect(running, read_calls(folder))
    _print_table(running, read_calls(folder), wave_s)
    exit_codes = running.stop()
    stopped_cleanly = all(code == 0 for code in exit_codes.values())
    if not stopped_cleanly:
        print(f"exit codes: {exit_codes}")
    print(
        f"demo: sent={verdict.sent} answered={verdict.answered}"
        f" not_run={verdict.not_run} unknown={verdict.unknown}"
        f" lost={verdict.lost} doubled={verdict.doubled}"
        f" cut_off={verdict.cut_off} crossed={verdict.crossed}"
        f" budget_breaches={verdict.budget_breaches}"
        f" config_in_force_ms={in_force_after_ms}"
    )
    return 0 if verdict.clean() and stopped_cleanly else 1


def _print_table(
    running: cluster.Cluster, calls: list[caller.CallRecord], wave_s: float
) -> None:
    print(f"{'queue':<16}{'sent':>7}{'answer':>8}{'not run':>9}", end="")
    print(f"{'unknown':>9}{'p50 ms':>8}{'p99 ms':>8}")
    for queue in sorted({call.queue for call in calls}):
        queue_calls = [call for call in calls if call.queue == queue]
        outcomes = [call.outcome for call in queue_calls]
        times = sorted(
            call.ended_ms - call.sent_ms
            for call in queue_calls
            if call.outcome is caller.Outcome.ANSWER
        ) or [0]
        print(
            f"{queue:<16}{len(queue_calls):>7}"
            f"{outcomes.count(caller.Outcome.ANSWER):>8}"
            f"{outcomes.count(caller.Outcome.NOT_RUN):>9}"
            f"{outcomes.count(caller.Outcome.UNKNOWN):>9}"
            f"{times[len(times) // 2]:>8}{times[len(times) * 99 // 100]:>8}"
        )
    counts = cluster.get_json(f"{running.store_url}/calls")
    call_count = sum(n for who, n in counts.items() if who.startswith("by "))
    print(f"wave: {wave_s:.1f} s; store calls: {call_count}")


def main() -> int:
    """Run the demonstration with the site given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--site", default="kadalpura")
    options = parser.parse_args()
    plan = site.load(options.site)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        running = cluster.Cluster(plan, folder, gateways=3, controllers=2)
        try:
            running.start()
            return _run(running, options.site, folder)
        except BaseException:
            for log in sorted(folder.glob("*.log")):
                text = log.read_text(encoding="utf-8", errors="replace")
                print(f"--- {log.name}\n{text[-1500:]}", file=sys.stderr)
            raise
        finally:
            running.stop()


if __name__ == "__main__":
    raise SystemExit(main())
