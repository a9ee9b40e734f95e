"""Connections of HTTP clients that survive cancelled attempts."""

import asyncio
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler


class Connector(aiohttp.TCPConnector):
    """Connector that abandons connection attempts instead of cancelling them.

    If an attempt is cancelled at the moment of its success, uvloop and the
    socket object both close the file descriptor. The second close may hit
    another connection that has received the descriptor in between.

    The ``sock_connect`` timeout of the session bounds abandoned attempts.
    """

    async def _wrap_create_connection(
        self, *args: Any, **options: Any
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        attempt = asyncio.ensure_future(
            super()._wrap_create_connection(*args, **options)
        )
        try:
            return await asyncio.shield(attempt)
        except asyncio.CancelledError:
            attempt.add_done_callback(_close_connection)
            raise


def _close_connection(
    attempt: "asyncio.Future[tuple[asyncio.Transport, ResponseHandler]]",
) -> None:
    if not attempt.cancelled() and attempt.exception() is None:
        transport, _ = attempt.result()
        transport.close()
