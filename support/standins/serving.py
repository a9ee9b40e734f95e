"""HTTP serving of the stand-ins."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import signal

from aiohttp import web

from wagtailtiller import runtime

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
Context = AsyncIterator[None]

_LOOPBACK = "127.0.0.1"


async def start_application(
    application: web.Application, port: int
) -> web.AppRunner:
    """Start an application on the loopback interface and return its runner.

    Args:
        application: Application to serve.
        port: TCP port to listen on.
    """
    runner = web.AppRunner(
        application, access_log=None, handler_cancellation=False
    )
    await runner.setup()
    site = web.TCPSite(runner, _LOOPBACK, port, shutdown_timeout=0.5)
    await site.start()
    return runner


async def _serve_until_sigterm(
    applications: list[tuple[web.Application, int]],
) -> int:
    stop_event = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_event.set)
    runners = [await start_application(app, port) for app, port in applications]
    await stop_event.wait()
    for runner in runners:
        await runner.cleanup()
    return 0


def serve(applications: list[tuple[web.Application, int]]) -> int:
    """Serve applications until SIGTERM and return the exit code 0.

    Args:
        applications: Applications with the port of each.
    """
    return runtime.run(_serve_until_sigterm(applications))
