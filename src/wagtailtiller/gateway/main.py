"""``wagtail-gateway``: the program that serves callers' requests."""

from wagtailtiller import program  # isort: skip

import aiomisc

from wagtailtiller import clock as clock_module
from wagtailtiller import process_settings
from wagtailtiller import statsd_metrics
from wagtailtiller.gateway import node
from wagtailtiller.platform import store as platform_store


class GatewayService(aiomisc.Service):
    """A gateway and its connection to the store.

    Args:
        own_settings: Settings of this process.
    """

    def __init__(self, own_settings: process_settings.GatewaySettings) -> None:
        super().__init__()
        self._own_settings = own_settings

    async def start(self) -> None:
        """Start the gateway."""
        own_settings = self._own_settings
        self._store = platform_store.PlatformStore(
            own_settings.store_url, f"gateway/{own_settings.gateway}"
        )
        metrics_client = statsd_metrics.connect(own_settings.statsd_address)
        self._node = node.GatewayNode(
            own_settings,
            self._store,
            clock_module.SystemClock(),
            metrics_client,
        )
        await self._node.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Finish the requests in flight and stop the gateway."""
        await self._node.stop()
        await self._store.close()


def main() -> int:
    """Run the gateway with the settings file named on the command line.

    Returns:
        Exit status of the program.
    """
    return program.run(
        name="wagtail-gateway",
        description="Admits, queues, places and answers requests.",
        kind=process_settings.GatewaySettings,
        create_service=GatewayService,
    )


if __name__ == "__main__":
    raise SystemExit(main())
