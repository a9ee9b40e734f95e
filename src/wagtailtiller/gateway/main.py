"""``wagtail-gateway``: the program that callers' requests pass through."""

import argparse
import asyncio
import signal
import sys

from wagtailtiller import runtime  # isort: skip
from wagtailtiller import clock
from wagtailtiller import events
from wagtailtiller import metrics
from wagtailtiller import process
from wagtailtiller.adapters import http_store
from wagtailtiller.gateway import node

_EXIT_BAD_SETTINGS = 2


async def _serve(own: process.GatewaySettings) -> int:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    source = http_store.HttpStore(own.store_url, f"gateway/{own.gateway}")
    gateway = node.GatewayNode(
        own, source, clock.SystemClock(), metrics.connect(own.statsd_address)
    )
    await gateway.start()
    await stopping.wait()
    await gateway.stop()
    await source.close()
    return 0


def main() -> int:
    """Read the settings file named on the command line and serve."""
    parser = argparse.ArgumentParser(
        prog="wagtail-gateway",
        description="Admits, queues, places and answers requests.",
        epilog="example: wagtail-gateway --settings gateway.json",
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    options = parser.parse_args()
    loaded = process.load(options.settings, process.GatewaySettings)
    if loaded.is_error():
        print(f"{options.settings}: {loaded.error}", file=sys.stderr)
        return _EXIT_BAD_SETTINGS
    events.start_logging()
    return runtime.run(_serve(loaded.ok))


if __name__ == "__main__":
    raise SystemExit(main())
