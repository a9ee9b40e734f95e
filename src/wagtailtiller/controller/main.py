"""``wagtail-controller``: the program that manages the fleet of a region."""

from wagtailtiller import program  # isort: skip

import aiomisc

from wagtailtiller import clock as clock_module
from wagtailtiller import process_settings
from wagtailtiller import statsd_metrics
from wagtailtiller.adapters import http_platform
from wagtailtiller.controller import node
from wagtailtiller.platform import store as platform_store


class ControllerService(aiomisc.Service):
    """A controller and its connections to the store and the platform.

    Args:
        own_settings: Settings of this process.
    """

    def __init__(
        self, own_settings: process_settings.ControllerSettings
    ) -> None:
        super().__init__()
        self._own_settings = own_settings

    async def start(self) -> None:
        """Start the controller."""
        own_settings = self._own_settings
        self._store = platform_store.PlatformStore(
            own_settings.store_url, f"controller/{own_settings.controller}"
        )
        self._platform = http_platform.HttpPlatform(own_settings.platform_url)
        self._node = node.ControllerNode(
            own_settings=own_settings,
            store_client=self._store,
            vms=self._platform,
            clock=clock_module.SystemClock(),
            metrics_client=statsd_metrics.connect(own_settings.statsd_address),
        )
        await self._node.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Resign leadership and stop the controller."""
        await self._node.stop()
        await self._store.close()
        await self._platform.close()


def main() -> int:
    """Run the controller with the settings file named on the command line.

    Returns:
        Exit status of the program.
    """
    return program.run(
        name="wagtail-controller",
        description="Runs waves, moves VMs and handles failures.",
        kind=process_settings.ControllerSettings,
        create_service=ControllerService,
    )


if __name__ == "__main__":
    raise SystemExit(main())
