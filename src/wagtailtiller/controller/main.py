"""``wagtail-controller``: the program that manages a region's fleet."""

import argparse
import asyncio
import signal
import sys

from wagtailtiller import runtime  # isort: skip
from wagtailtiller import clock
from wagtailtiller import events
from wagtailtiller import metrics
from wagtailtiller import process
from wagtailtiller.adapters import http_platform
from wagtailtiller.adapters import http_store
from wagtailtiller.controller import node

_EXIT_BAD_SETTINGS = 2


async def _serve(own: process.ControllerSettings) -> int:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    client = f"controller/{own.controller}"
    target = http_store.HttpStore(own.store_url, client)
    vms = http_platform.HttpPlatform(own.platform_url)
    meter = metrics.connect(own.statsd_address)
    controller = node.ControllerNode(
        own, target, vms, clock.SystemClock(), meter
    )
    await controller.start()
    await stopping.wait()
    await controller.stop()
    await target.close()
    await vms.close()
    return 0


def main() -> int:
    """Read the settings file named on the command line and serve."""
    parser = argparse.ArgumentParser(
        prog="wagtail-controller",
        description="Runs waves, moves VMs and answers failures.",
        epilog="example: wagtail-controller --settings controller.json",
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    options = parser.parse_args()
    loaded = process.load(options.settings, process.ControllerSettings)
    if loaded.is_error():
        print(f"{options.settings}: {loaded.error}", file=sys.stderr)
        return _EXIT_BAD_SETTINGS
    events.start_logging()
    return runtime.run(_serve(loaded.ok))


if __name__ == "__main__":
    raise SystemExit(main())
