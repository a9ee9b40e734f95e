"""Section C: time until a changed setting is in force at every gateway.

The gateways are real processes. Each case lowers a limit with ``wagtailctl``
and probes every gateway until it applies the new limit. In the last case, one
gateway is frozen during the change and resumes afterwards. A gateway must not
apply the old limit later than 3 s after the change.
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
_FREEZE_S = 4.0
_ROUNDS = 3
_CASES = {
    "store up": "up",
    "store slow by 300 ms": "slow&delay_ms=300",
    "store loses answers of writes": "lose",
}


def _set_store_fault(running: cluster.Cluster, mode: str) -> None:
    cluster.post(f"{running.store_url}/fault?mode={mode}")


def _reset_limit(running: cluster.Cluster, queue: str) -> None:
    _set_store_fault(running, "up")
    running.ctl("queue", queue, "--set", "max_body_bytes=1000")
    time.sleep(1.0)


def _measure_frozen_ms(running: cluster.Cluster, queue: site.QueuePlan) -> int:
    """Freeze a gateway, change a limit and resume the gateway later.

    Args:
        running: Running site.
        queue: Queue whose limit is changed.

    Returns:
        Milliseconds between the change and the last body that the gateway
        accepted under the old limit; 0 if it accepted none.
    """
    running.signal("gw-1", signal.SIGSTOP)
    change = ("queue", queue.queue, "--set", "max_body_bytes=100", "--json")
    changed_ms = json.loads(running.ctl(*change).stdout)["at_ms"]
    time.sleep(_FREEZE_S)
    running.signal("gw-1", signal.SIGCONT)
    url = running.gateway_urls["gw-1"]
    last_accepted_ms = asyncio.run(
        run.last_acceptance_ms(url, queue.queue, queue.tokens[0])
    )
    return max(0, last_accepted_ms - changed_ms) if last_accepted_ms else 0


def measure(seed: int) -> str:
    """Measure every case and return the table.

    Args:
        seed: Unused.
    """
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
                    _reset_limit(running, queue.queue)
                    _set_store_fault(running, mode)
                    coroutine = run.in_force_ms(
                        running, queue.queue, queue.tokens[0]
                    )
                    times.append(asyncio.run(coroutine))
                formatted = " ".join(map(str, times))
                rows.append((case, formatted, f"<= {_LIMIT_MS}"))
            _reset_limit(running, queue.queue)
            formatted = str(_measure_frozen_ms(running, queue))
            case_name = "gateway frozen for 4 s: last old answer"
            rows.append((case_name, formatted, f"<= {_LIMIT_MS}"))
        finally:
            running.stop()
    headings = ("case", "ms after acceptance", "target")
    title = "C. Settings in force at every one of four gateways"
    return tables.table(title, headings, rows)
