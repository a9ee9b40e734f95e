"""Tests of the client of the machine service, with a held-up connection."""

import asyncio

import testtools

from wagtailtiller import ids
from wagtailtiller.platform import machines as machines_module
from wagtailtiller.ports import machines


class _HeldUpService:
    """Accepts connections, and reads nothing from them until it is told to.

    A partition holds bytes up like this. They arrive at its end, unless their
    sender has reset the connection.
    """

    def __init__(self):
        self.ended = asyncio.Event()
        self.was_reset = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def stop(self):
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, reader, writer):
        writer.transport.pause_reading()
        await self.ended.wait()
        writer.transport.resume_reading()
        try:
            await reader.read()
            self.was_reset.append(False)
        except ConnectionResetError:
            self.was_reset.append(True)
        writer.close()


class HeldUpOrderTest(testtools.TestCase):
    """Load pattern: a process is cut off from the machine service for 5 s."""

    def test_order_without_an_answer_is_not_carried_out_later(self):
        """Guards against an order that arrives after a later manager's."""

        async def main():
            service = _HeldUpService()
            client = machines_module.PlatformMachineService(
                await service.start(), ids.NodeId("e-1")
            )
            outcome = await client.move(
                ids.MachineId("m-1"), ids.PoolId("renders"), 1, lambda: True
            )
            self.assertEqual(machines.MachineOutcome.UNANSWERED, outcome)
            service.ended.set()
            await asyncio.sleep(0.2)
            self.assertEqual([True], service.was_reset)
            await client.close()
            await service.stop()

        asyncio.run(main())
