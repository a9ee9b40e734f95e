"""Tests of the wait for the load balancer at a shutdown, in virtual time."""

import asyncio

import testtools

from support.sim import loop as loop_module
from wagtailtiller.platform import drain

_LIMIT_S = 5.0


class _Api:
    in_flight = 0
    last_request_s = 0.0


class DrainTest(testtools.TestCase):
    def time_to_end_s(self, act):
        """Return how long the wait takes while ``act`` runs."""

        async def main():
            loop = asyncio.get_running_loop()
            self.api = _Api()
            self.readiness = drain.Readiness()
            started_s = loop.time()
            acting = asyncio.create_task(act())
            await drain.wait_until_unused(self.api, self.readiness, _LIMIT_S)
            acting.cancel()
            return loop.time() - started_s

        return loop_module.run(main())

    async def check_until_stopped(self, interval_s):
        self.readiness.record_check(True)
        while True:
            await asyncio.sleep(interval_s)
            self.readiness.record_check(False)

    def test_wait_ends_after_two_missed_checks(self):
        took_s = self.time_to_end_s(lambda: self.check_until_stopped(1.0))
        self.assertAlmostEqual(2.5, took_s, delta=0.1)

    def test_late_checks_extend_the_wait(self):
        """Guards against a balancer that still sends to a closed process."""
        took_s = self.time_to_end_s(lambda: self.check_until_stopped(1.6))
        self.assertAlmostEqual(3.2, took_s, delta=0.1)

    def test_wait_without_a_balancer_ends(self):
        took_s = self.time_to_end_s(lambda: asyncio.sleep(0))
        self.assertAlmostEqual(2.5, took_s, delta=0.1)

    def test_open_request_extends_the_wait(self):
        async def act():
            self.api.in_flight = 1
            await asyncio.sleep(3.5)
            self.api.in_flight = 0

        self.assertAlmostEqual(3.5, self.time_to_end_s(act), delta=0.1)

    def test_wait_is_limited(self):
        """Guards against a process that is killed with requests open."""

        async def act():
            self.api.in_flight = 1
            await loop_module.wait_forever()

        self.assertAlmostEqual(_LIMIT_S, self.time_to_end_s(act), delta=0.1)
