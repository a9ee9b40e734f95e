"""Tests of the HTTP client of the platform's VM service."""

import asyncio

from aiohttp import test_utils
from aiohttp import web
import testtools

from wagtailtiller import ids
from wagtailtiller.adapters import http_platform
from wagtailtiller.ports import platform

_VM = ids.VmId("vm-1")


class HttpPlatformTest(testtools.TestCase):
    def call(self, handler, use_client):
        """Run a client against a server with one handler for all paths."""

        async def main():
            application = web.Application()
            application.router.add_route("*", "/{path:.*}", handler)
            async with test_utils.TestServer(application) as server:
                client = http_platform.HttpPlatform(str(server.make_url("/")))
                try:
                    return await use_client(client)
                finally:
                    await client.close()

        return asyncio.run(main())

    def test_vm_list_is_decoded(self):
        async def handler(request):
            return web.json_response(
                [{"vm": _VM, "phase": "leaving", "boot": 3}]
            )

        answer = self.call(handler, lambda client: client.list_vms())
        report = platform.ListedVm(_VM, platform.ListedVmPhase.LEAVING, 3)
        self.assertEqual([report], answer.ok)

    def test_reboot_request_contains_the_start_count(self):
        queries = []

        async def handler(request):
            queries.append(dict(request.query))
            return web.json_response({"accepted": False})

        answer = self.call(handler, lambda client: client.reboot(_VM, 3))
        self.assertFalse(answer.ok)
        self.assertEqual([{"vm": _VM, "after_boot": "3"}], queries)

    def test_error_status_is_reported(self):
        async def handler(request):
            return web.Response(status=503)

        answer = self.call(handler, lambda client: client.list_vms())
        self.assertIn("503", str(answer.error))

    def test_response_that_cannot_be_decoded_is_an_error(self):
        async def handler(request):
            return web.Response(text="[{}]")

        answer = self.call(handler, lambda client: client.list_vms())
        self.assertIn("bad answer", str(answer.error))

    def test_unreachable_server_is_an_error(self):
        async def main():
            client = http_platform.HttpPlatform("http://127.0.0.1:1")
            try:
                return await client.list_vms()
            finally:
                await client.close()

        self.assertTrue(asyncio.run(main()).is_error())
