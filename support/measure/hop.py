"""Cost of a gateway: latency, throughput and processor time per request."""

import asyncio
import pathlib
import tempfile
import time

import aiohttp

from support.demo import cluster
from support.demo import site
from support.measure import idle
from support.measure import tables

_REQUESTS = 3_000
_CONCURRENCY = 8
_ROUNDS = 3
_BODY = b"x" * 1_024


async def _send_load(
    url: str, headers: dict[str, str]
) -> tuple[float, list[float]]:
    times_ms: list[float] = []
    remaining = iter(range(_REQUESTS))
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def send() -> None:
            for _ in remaining:
                start_s = time.perf_counter()
                async with session.post(
                    url, data=_BODY, headers=headers
                ) as response:
                    await response.read()
                    assert response.status == 200, response.status
                times_ms.append((time.perf_counter() - start_s) * 1_000)

        start_s = time.perf_counter()
        await asyncio.gather(*(send() for _ in range(_CONCURRENCY)))
        return time.perf_counter() - start_s, sorted(times_ms)


def measure(seed: int) -> str:
    """Load an endpoint directly and through a gateway, alternately.

    Args:
        seed: Unused.
    """
    headers = {"Authorization": "Bearer demo-letterers", "X-Work-Ms": "0"}
    rows = []
    with tempfile.TemporaryDirectory() as name:
        running = cluster.Cluster(
            plan=site.load("kadalpura"),
            folder=pathlib.Path(name),
            gateways=3,
            controllers=1,
        )
        try:
            running.start()
            gateway_pid = running.processes["gw-1"].pid
            port = running.plan.vm_ports["kal-01"]
            urls = {
                "direct": f"http://127.0.0.1:{port}/run",
                "gateway": f"{running.gateway_urls['gw-1']}/q/previews/run",
            }
            for number in range(_ROUNDS):
                for route, url in urls.items():
                    before_s = idle.processor_s(gateway_pid)
                    duration_s, times_ms = asyncio.run(_send_load(url, headers))
                    used_s = idle.processor_s(gateway_pid) - before_s
                    rows.append(
                        (
                            number + 1,
                            route,
                            f"{_REQUESTS / duration_s:.0f}",
                            f"{times_ms[_REQUESTS // 2]:.2f}",
                            f"{times_ms[_REQUESTS * 99 // 100]:.2f}",
                            f"{used_s / _REQUESTS * 1e6:.0f}",
                        )
                    )
        finally:
            running.stop()
    headings = (
        "round",
        "path",
        "requests/s",
        "p50 ms",
        "p99 ms",
        "gateway us a request",
    )
    title = f"What a gateway adds: {_CONCURRENCY} at once, 1 KB, no work"
    return tables.table(title, headings, rows)
