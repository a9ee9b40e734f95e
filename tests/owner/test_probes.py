"""Tests of probes: calls to VMs whose rack is failing.

Load pattern: a rack goes dark in a peak, and its other VMs are asked at once.
"""

import testtools

from tests.owner import test_vm_link
from wagtailtiller.scheduling import commands

_HELD_MS = 60_000


class ProbesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        links = test_vm_link.VmLinkTest("run_with")
        self.run_with = links.run_with
        self.start_task = links.start_task
        self.until = links.until

    def probe(self, vm, link):
        now_ms = link._clock.monotonic_ms()
        vm.hold_back(now_ms, now_ms + _HELD_MS)
        leases = []
        original = link._client.hold

        async def hold(token, acknowledged, lease_until_ms, wait_ms):
            leases.append((wait_ms, lease_until_ms))
            return await original(token, acknowledged, lease_until_ms, wait_ms)

        link._client.hold = hold
        link.send(commands.Probe(vm.report.vm))
        return leases

    def test_a_vm_that_answers_a_probe_is_used_at_once(self):
        async def main(pool, fake_vm, vm, link):
            await self.start_task(pool, link)
            leases = self.probe(vm, link)
            await self.until(lambda: not vm.is_held_back(0))
            self.assertIn((0, None), leases)

        self.run_with(main)

    def test_a_probe_without_an_answer_makes_the_vm_unresponsive(self):
        async def main(pool, fake_vm, vm, link):
            await self.start_task(pool, link)
            fake_vm.unresponsive = True
            leases = self.probe(vm, link)
            await self.until(lambda: vm.unresponsive_since_ms is not None)
            await self.until(lambda: (0, None) in leases)
            self.assertTrue(vm.is_held_back(link._clock.monotonic_ms()))

        self.run_with(main)

    def test_no_start_is_sent_to_a_vm_that_is_held_back_meanwhile(self):
        async def main(pool, fake_vm, vm, link):
            await self.start_task(pool, link)
            started = len(fake_vm.starts)
            pool.jobs.add(
                test_vm_link.jobs.job("b" * 16),
                False,
                test_vm_link.model.JobState.QUEUED,
            )
            starts = pool.plan()
            now_ms = link._clock.monotonic_ms()
            vm.hold_back(now_ms + _HELD_MS, now_ms + _HELD_MS)
            for command in starts:
                link.send(command)
            await self.until(lambda: len(vm.runs) == 1)
            self.assertEqual(started, len(fake_vm.starts))

        self.run_with(main)
