"""Tests of the declarations that are followed in the platform's store."""

import asyncio
import json

import testtools

from support import fakes
from wagtailtiller import clock
from wagtailtiller.platform import declarations
from wagtailtiller.platform import documents
from wagtailtiller.ports import store


class VmReportsTest(testtools.TestCase):
    def test_vm_that_ends_between_two_followers_is_not_listed(self):
        """Guards against reports of ended VMs that stay for ever."""

        async def main():
            store_client = fakes.FakeStore()
            key = f"{documents.VM_PREFIX}w-1"
            store_client.state.write(key, _report(), store.ABSENT, "")
            declared = declarations.PlatformDeclarations(
                store_client, clock.SystemClock()
            )
            first = asyncio.create_task(declared.follow_vms())
            async with asyncio.timeout(5):
                while not declared.vms:
                    await asyncio.sleep(0.005)
            revision = store_client.state.item(key).revision
            store_client.state.delete(key, revision)
            second = asyncio.create_task(declared.follow_vms())
            await asyncio.sleep(0)
            first.cancel()
            await asyncio.sleep(0.3)
            self.assertEqual({}, declared.vms)
            second.cancel()

        asyncio.run(main())


def _report():
    return json.dumps(
        {
            "service": "renders",
            "address": "127.0.0.1:1",
            "zone": "dc-1",
            "version": "1",
            "slots": 1,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "capacity": {"cpu": 1_000, "mem_mb": 1_000},
            "labels": ["a", "r1"],
            "machine": "m-1",
            "born": 1,
        }
    ).encode()
