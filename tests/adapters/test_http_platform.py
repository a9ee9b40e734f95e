"""Tests of the client of the platform's VM interface."""

import asyncio

from aiohttp import test_utils
from aiohttp import web
import testtools

from wagtailtiller import ids
from wagtailtiller.adapters import http_platform
from wagtailtiller.ports import platform

_VM = ids.VmId("vm-1")


class HttpPlatformTest(testtools.TestCase):
    def call(self, handler, act):
        """Call a server that answers everything with one handler."""

        async def main():
            application = web.Application()
            application.router.add_route("*", "/{path:.*}", handler)
            async with test_utils.TestServer(application) as server:
                client = http_platform.HttpPlatform(str(server.make_url("/")))
                try:
                    return await act(client)
                finally:
                    await client.close()

        return asyncio.run(main())

    def test_the_list_is_decoded(self):
        async def handler(request):
            return web.json_response(
                [{"vm": _VM, "phase": "leaving", "boot": 3}]
            )

        answer = self.call(handler, lambda client: client.list_vms())
        report = platform.VmReport(_VM, platform.VmPhase.LEAVING, 3)
        self.assertEqual([report], answer.ok)

    def test_a_reboot_names_the_life_that_it_is_meant_for(self):
        asked = []

        async def handler(request):
            asked.append(dict(request.query))
            return web.json_response({"accepted": False})

        answer = self.call(handler, lambda client: client.reboot(_VM, 3))
        self.assertFalse(answer.ok)
        self.assertEqual([{"vm": _VM, "after_boot": "3"}], asked)

    def test_a_refusal_is_an_error_with_its_status(self):
        async def handler(request):
            return web.Response(status=503)

        answer = self.call(handler, lambda client: client.list_vms())
        self.assertIn("503", str(answer.error))

    def test_an_answer_that_cannot_be_read_is_an_error(self):
        async def handler(request):
            return web.Response(text="[{}]")

        answer = self.call(handler, lambda client: client.list_vms())
        self.assertIn("bad answer", str(answer.error))

    def test_no_answer_is_an_error(self):
        async def main():
            client = http_platform.HttpPlatform("http://127.0.0.1:1")
            try:
                return await client.list_vms()
            finally:
                await client.close()

        self.assertTrue(asyncio.run(main()).is_error())
