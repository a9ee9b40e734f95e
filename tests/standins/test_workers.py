"""Tests of the controls of the stand-in for workers."""

import asyncio

from aiohttp import test_utils
import testtools

from support.standins import workers


class ControlTest(testtools.TestCase):
    """Guards against a test that waits for what can't happen any more."""

    def call(self, method, path):
        """Return the status and the text of an answer."""

        async def main():
            machines = workers.Machines("127.0.0.1:1", [], 0)
            server = test_utils.TestServer(machines.application())
            async with test_utils.TestClient(server) as client:
                response = await client.request(method, path)
                return response.status, await response.text()

        return asyncio.run(main())

    def test_control_of_an_unknown_worker_is_refused(self):
        for path in (
            "/standin/restart?worker=i-1&after_ms=10",
            "/fault?worker=i-1&mode=silent",
        ):
            self.assertEqual(
                (404, "no worker has the id 'i-1'"), self.call("POST", path)
            )

    def test_wait_for_a_late_command_ends_with_an_error(self):
        self.assertEqual((200, "[]"), self.call("GET", "/standin/late"))
        self.assertEqual(
            (504, "no command was late within 50 ms"),
            self.call("GET", "/standin/late?within_ms=50"),
        )
