"""Tests of the client of the platform's store, against the stand-in."""

import asyncio

from aiohttp import web
import testtools

from support.standins import store as standin
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller.jobs import model
from wagtailtiller.platform import store as platform_store
from wagtailtiller.ports import store

_JOB = model.JobId("a" * 16)
_NAMES = ("press/plates", "50%", "a+b", "a&b=c", "a b", "ä", "a:b#c", "?", "")


class KeysInUrlsTest(testtools.TestCase):
    """Guards against calls to the store that are about another key."""

    def run_with_store(self, main):
        async def wrapped():
            server = standin.StoreServer()
            runner = web.AppRunner(server.application())
            await runner.setup()
            site = web.TCPSite(runner, "127.0.0.1", 0)
            await site.start()
            host, port = runner.addresses[0]
            client = platform_store.PlatformStore(f"{host}:{port}")
            try:
                await main(client)
            finally:
                await client.close()
                await runner.cleanup()

        asyncio.run(wrapped())

    def test_each_name_has_its_own_keys(self):
        async def main(client):
            for name in _NAMES:
                pool = ids.PoolId(name)
                key = keys.job(pool, _JOB)
                value = name.encode()
                written = await client.write(key, value, store.ABSENT)
                self.assertTrue(written.is_ok(), name)
            for name in _NAMES:
                pool = ids.PoolId(name)
                read = await client.read_key(keys.job(pool, _JOB))
                self.assertEqual(name.encode(), read.ok.value)
                listed = (await client.read(keys.jobs(pool))).ok
                self.assertEqual([read.ok], listed.items)
                watched = await client.watch(keys.jobs(pool), 0, 10)
                self.assertEqual([read.ok], watched.ok.items)

        self.run_with_store(main)

    def test_key_that_is_too_long_is_refused(self):
        async def main(client):
            written = await client.write("k" * 201, b"x", store.ABSENT)
            self.assertTrue(written.is_error())

        self.run_with_store(main)
