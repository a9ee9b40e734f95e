"""Tests that cancelled connection attempts harm no other connection."""

import asyncio
import gc
import os
import socket
import weakref

import aiohttp
from aiohttp import test_utils
from aiohttp import web
import testtools

from wagtailtiller import connector
from wagtailtiller import runtime

# Turns of the event loop between the success of an attempt and its end.
_TURNS = range(6)


class ConnectorTest(testtools.TestCase):
    def test_cancelled_attempt_closes_no_other_connection(self):
        """A call that timed out closed the descriptor of another connection.

        Processes ended by themselves, with the codes 1 and 134.
        """

        async def main():
            server = test_utils.RawTestServer(self.answer)
            await server.start_server()
            for turns in _TURNS:
                async with aiohttp.ClientSession(
                    connector=connector.Connector(
                        socket_factory=self.create_socket
                    )
                ) as session:
                    await self.cancel_after(turns, session, server)
            await server.close()
            return 0

        runtime.run(main())

    async def answer(self, request):
        await asyncio.sleep(1)
        return web.Response()

    def create_socket(self, address_info):
        created = socket.socket(*address_info[:3])
        self.created = weakref.ref(created)
        return created

    def is_connected(self):
        created = self.created and self.created()
        try:
            return bool(created and created.getpeername())
        except OSError:
            return False

    async def cancel_after(self, turns, session, server):
        self.created = None
        call = asyncio.create_task(session.get(server.make_url("/")))
        while not self.is_connected():
            await asyncio.sleep(0)
        for _ in range(turns):
            await asyncio.sleep(0)
        call.cancel()
        others = []
        try:
            await call
        except asyncio.CancelledError:
            # These get the descriptors that have been closed so far.
            others = [socket.socketpair() for _ in range(4)]
        del call
        gc.collect()
        await asyncio.sleep(0.01)
        gc.collect()
        for pair in others:
            for other in pair:
                os.fstat(other.fileno())
                other.close()
