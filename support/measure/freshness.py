"""Section C: how long until a changed setting is in force at every gateway.

Real processes. Each case lowers a limit through ``wagtailctl`` and probes
every gateway until it applies the new one. A frozen gateway is woken after
the change and must never apply the old limit once 3 s have passed.
"""

import asyncio
import json
import pathlib
import signal
import tempfile
import time

from support.demo import cluster
from support.demo import run
from support.demo import site
from support.measure import tables

_LIMIT_MS = 3_000
_FROZEN_S = 4.0
_ROUNDS = 3
_CASES = {
    "store up": "up",
    "store slow by 300 ms": "slow&delay_ms=300",
    "store loses answers of writes": "lose",
}


def _fault(running: cluster.Cluster, mode: str) -> None:
    cluster.post(f"{running.store_url}/fault?mode={mode}")


def _reset(running: cluster.Cluster, queue: str) -> None:
    _fault(running, "up")
    running.ctl("queue", queue, "--set", "max_body_bytes=1000")
    time.sleep(1.0)


def _frozen_ms(running: cluster.Cluster, plan: site.QueuePlan) -> int:
    """Freeze a gateway, change the limit, and wake it later."""
    running.signal("gw-1", signal.SIGSTOP)
    change = ("queue", plan.queue, "--set", "max_body_bytes=100", "--json")
    accepted_ms = json.loads(running.ctl(*change).stdout)["at_ms"]
    time.sleep(_FROZEN_S)
    running.signal("gw-1", signal.SIGCONT)
    url = running.gateway_urls["gw-1"]
    old = asyncio.run(run.last_acceptance_ms(url, plan.queue, plan.tokens[0]))
    return max(0, old - accepted_ms) if old else 0


def measure(seed: int) -> str:
    """Run every case and return the table."""
    rows: list[tuple[object, ...]] = []
    with tempfile.TemporaryDirectory() as name:
        running = cluster.Cluster(
            plan=site.load("kadalpura"),
            folder=pathlib.Path(name),
            gateways=4,
            controllers=1,
        )
        try:
            running.start()
            queue = next(
                q for q in running.plan.queues if q.queue == "previews"
            )
            for case, mode in _CASES.items():
                times = []
                for _ in range(_ROUNDS):
                    _reset(running, queue.queue)
                    _fault(running, mode)
                    took = run.in_force_ms(
                        running, queue.queue, queue.tokens[0]
                    )
                    times.append(asyncio.run(took))
                shown = " ".join(map(str, times))
                rows.append((case, shown, f"<= {_LIMIT_MS}"))
            _reset(running, queue.queue)
            shown = str(_frozen_ms(running, queue))
            what = "gateway frozen for 4 s: last old answer"
            rows.append((what, shown, f"<= {_LIMIT_MS}"))
        finally:
            running.stop()
    headings = ("case", "ms after acceptance", "target")
    title = "C. Settings in force at every one of four gateways"
    return tables.table(title, headings, rows)
