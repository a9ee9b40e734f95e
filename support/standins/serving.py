"""Serves stand-in applications until SIGTERM."""

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


async def start(application: web.Application, port: int) -> web.AppRunner:
    """Start an application on loopback and return its runner."""
    runner = web.AppRunner(
        application, access_log=None, handler_cancellation=False
    )
    await runner.setup()
    site = web.TCPSite(runner, _LOOPBACK, port, shutdown_timeout=0.5)
    await site.start()
    return runner


async def _serve(applications: list[tuple[web.Application, int]]) -> int:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    runners = [await start(app, port) for app, port in applications]
    await stopping.wait()
    for runner in runners:
        await runner.cleanup()
    return 0


def serve(applications: list[tuple[web.Application, int]]) -> int:
    """Serve applications, each on its port, until SIGTERM."""
    return runtime.run(_serve(applications))
