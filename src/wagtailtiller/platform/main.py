"""The program that runs an entry process on the users' platform."""

import asyncio
import random
import sys

from wagtailtiller import runtime  # isort: skip

from aiohttp import web
import aiomisc

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import prometheus_metrics
from wagtailtiller.entry import node as node_module
from wagtailtiller.entry import peers
from wagtailtiller.entry import settings as settings_module
from wagtailtiller.http_server import server
from wagtailtiller.http_server import table
from wagtailtiller.platform import caller_api
from wagtailtiller.platform import declarations
from wagtailtiller.platform import drain
from wagtailtiller.platform import machines
from wagtailtiller.platform import policy
from wagtailtiller.platform import settings as settings_file
from wagtailtiller.platform import store
from wagtailtiller.platform import vms

_EXIT_BAD_SETTINGS = 2
_METRICS_PATH = "/metrics"
# Part of the shutdown time that is reserved for the steps after the last open
# request.
_STOP_MARGIN_S = 1.5
# Requests that are open then are answered before the connections are closed.
_ANSWER_MARGIN_MS = 300
# Requests that are read while the connections are being closed are answered
# within the first time, and their connections stay open for the second.
_LAST_ANSWER_MS = 400
_CLOSE_TIMEOUT_S = 0.6


class EntryService(aiomisc.Service):
    """The entry process as an aiomisc service.

    Attributes:
        settings: The settings of the process.
    """

    settings: settings_module.EntrySettings

    async def start(self) -> None:
        """Connect to the platform, listen for requests and start the node."""
        clock = clock_module.SystemClock()
        self._store = store.PlatformStore(self.settings.store_address)
        self._machines = self._connect_machines()
        self._policy = self._connect_policy()
        self._node = node_module.EntryNode(
            self.settings,
            node_module.Adapters(
                self._store,
                declarations.PlatformDeclarations(self._store, clock),
                vms.PlatformVm,
                self._machines,
                peers.GrpcPeers(),
                self._policy,
            ),
            clock,
            random.SystemRandom(),
        )
        self._caller_api = caller_api.CallerApi(self._node.frontend)
        self._readiness = drain.Readiness()
        self._connections = table.Table(
            self.settings.client_limits, self._node.frontend.request_limits
        )
        self._connections.start()
        self._runners = [
            await self._listen(
                self._caller_api.handle, self.settings.caller_address
            ),
            await self._listen(self._handle_ready, self.settings.ready_address),
            await self._listen(_handle_metrics, self.settings.metrics_address),
        ]
        await self._node.start()
        events.emit(
            events.Event.ENTRY_STARTED,
            node=self.settings.node,
            data_centre=self.settings.data_centre,
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Shut down gracefully: hand over, finish open requests, close.

        Args:
            exception: The error that ended the program; not used.
        """
        self._caller_api.stopping = True
        events.emit(events.Event.ENTRY_STOPPING, node=self.settings.node)
        limit_s = self.settings.stop_within_ms / 1_000 - _STOP_MARGIN_S
        self._node.frontend.deadlines.end_all_within(
            int(limit_s * 1_000) - _ANSWER_MARGIN_MS
        )
        waiting = asyncio.ensure_future(
            drain.wait_until_unused(self._caller_api, self._readiness, limit_s)
        )
        await self._node.hand_over()
        await waiting
        self._node.frontend.deadlines.end_all_within(_LAST_ANSWER_MS)
        await asyncio.gather(*(runner.cleanup() for runner in self._runners))
        self._connections.stop()
        await self._node.stop()
        await self._store.close()
        if self._machines is not None:
            await self._machines.close()
        if self._policy is not None:
            await self._policy.close()
        events.emit(events.Event.ENTRY_STOPPED, node=self.settings.node)

    def _connect_machines(self) -> machines.PlatformMachineService | None:
        if not self.settings.machines_address:
            return None
        return machines.PlatformMachineService(
            self.settings.machines_address, self.settings.node
        )

    def _connect_policy(self) -> policy.PlatformPolicy | None:
        if not self.settings.policy_address:
            return None
        return policy.PlatformPolicy(self.settings.policy_address)

    async def _listen(
        self, handler: server.Handler, address: str
    ) -> web.ServerRunner:
        return await server.listen(
            handler, address, self._connections, _CLOSE_TIMEOUT_S
        )

    async def _handle_ready(self, request: web.BaseRequest) -> web.Response:
        ready = not self._caller_api.stopping and self._node.frontend.is_ready()
        self._readiness.record_check(ready)
        return web.Response(status=200 if ready else 503)


async def _handle_metrics(request: web.BaseRequest) -> web.Response:
    if request.path != _METRICS_PATH:
        return web.Response(status=404)
    return web.Response(
        body=prometheus_metrics.text(),
        headers={"Content-Type": prometheus_metrics.CONTENT_TYPE},
    )


def _check_settings_file() -> None:
    # The settings of a running process do not change. A changed file is only
    # checked, so that an error in it is reported before the next start.
    loaded = settings_file.load()
    events.emit(
        events.Event.SETTINGS_RELOADED,
        outcome="valid" if loaded.is_ok() else "invalid",
        detail="" if loaded.is_ok() else str(loaded.error),
    )


def main() -> int:
    """Run the entry process until SIGTERM or SIGINT.

    Returns:
        The exit code.
    """
    loaded = settings_file.load()
    if loaded.is_error():
        print(f"settings: {loaded.error}", file=sys.stderr)
        return _EXIT_BAD_SETTINGS
    events.start_logging()
    return runtime.serve(EntryService(settings=loaded.ok), _check_settings_file)
