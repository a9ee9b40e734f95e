"""Tests of the lease of a process, in virtual time."""

import asyncio
import random

from expression import Error
from expression import Ok
import testtools

from support.sim import loop as loop_module
from wagtailtiller import errors
from wagtailtiller import follower
from wagtailtiller.ownership import session

# A call that the store does not answer times out after this time.
_CALL_TIMEOUT_S = 1.5


class _Store:
    """Store that gives no answer to calls which arrive while it is silent."""

    def __init__(self):
        self.silent = False
        self.calls = 0

    async def grant_lease(self, ttl_ms):
        return Ok("lease")

    async def renew_lease(self, lease):
        self.calls += 1
        if self.silent:
            await asyncio.sleep(_CALL_TIMEOUT_S)
            return Error(errors.StoreUnavailable("no answer"))
        return Ok(True)


class StoreSessionTest(testtools.TestCase):
    """Load pattern: the store is silent for some seconds."""

    def run_with_session(self, main):
        async def wrapped():
            self.store = _Store()
            clock = loop_module.VirtualClock(asyncio.get_running_loop())
            store_session = session.StoreSession(
                self.store,
                clock,
                follower.Backoff(random.Random(1), session.MAX_RETRY_DELAY_MS),
                lambda lease: None,
                lambda: None,
            )
            task = asyncio.create_task(store_session.run())
            await main(store_session)
            task.cancel()

        loop_module.run(wrapped())

    def test_return_of_the_store_is_noticed_within_a_second(self):
        """Guards against callers that are refused while the store is back."""

        async def main(store_session):
            await asyncio.sleep(1)
            for silent_s in (2.1, 2.6, 3.3, 4.0):
                self.store.silent = True
                await asyncio.sleep(silent_s)
                self.store.silent = False
                await asyncio.sleep(0.95)
                self.assertLess(store_session.age_ms(), 950)

        self.run_with_session(main)

    def test_few_renewals_are_sent_to_a_silent_store(self):
        """Guards against renewals that exceed the store's rates."""

        async def main(store_session):
            await asyncio.sleep(1)
            self.store.silent = True
            self.store.calls = 0
            await asyncio.sleep(30)
            self.assertLess(self.store.calls, 60)

        self.run_with_session(main)

    def test_lease_is_renewed_early_on_request(self):
        """Guards against tasks of a dead VM that wait for a renewal."""

        async def main(store_session):
            await asyncio.sleep(1.25)
            for _ in range(5):
                wanted_ms = store_session.renewed_ms + 1
                await asyncio.sleep(0.01)
                store_session.renew_soon()
                await asyncio.sleep(0.15)
                self.assertGreaterEqual(store_session.renewed_ms, wanted_ms)

        self.run_with_session(main)

    def test_renewals_on_request_are_limited(self):
        """Guards against renewals that exceed the store's rates."""

        async def main(store_session):
            await asyncio.sleep(1)
            self.store.calls = 0
            for _ in range(1_000):
                store_session.renew_soon()
                await asyncio.sleep(0.01)
            self.assertLess(self.store.calls, 102)

        self.run_with_session(main)

    def test_age_counts_from_the_latest_answered_renewal(self):
        async def main(store_session):
            await asyncio.sleep(1)
            self.assertLess(store_session.age_ms(), 600)
            self.store.silent = True
            await asyncio.sleep(5)
            self.assertGreater(store_session.age_ms(), 4_900)

        self.run_with_session(main)


class _LeaseStore:
    """Store whose renewals are answered when the test says so."""

    def __init__(self):
        self.granted = 0
        self.renewals = []

    async def grant_lease(self, ttl_ms):
        self.granted += 1
        return Ok(f"lease-{self.granted}")

    async def renew_lease(self, lease):
        answer = asyncio.get_running_loop().create_future()
        self.renewals.append((lease, answer))
        return await answer


class OverlappingRenewalsTest(testtools.TestCase):
    """Load pattern: the store answers renewals late, and ends a lease."""

    def run_with_session(self, main):
        async def wrapped():
            self.store = _LeaseStore()
            self.expired = 0
            store_session = session.StoreSession(
                self.store,
                loop_module.VirtualClock(asyncio.get_running_loop()),
                follower.Backoff(random.Random(1), session.MAX_RETRY_DELAY_MS),
                lambda lease: None,
                self.count_expired,
            )
            task = asyncio.create_task(store_session.run())
            # Two renewals are open.
            while len(self.store.renewals) < 2:
                await asyncio.sleep(0.05)
            await main(store_session)
            task.cancel()

        loop_module.run(wrapped())

    def count_expired(self):
        self.expired += 1

    async def end_first_lease(self, store_session):
        """Answer the second renewal: the lease has ended."""
        self.store.renewals[1][1].set_result(Ok(False))
        while store_session.lease != "lease-2":
            await asyncio.sleep(0.01)

    def test_late_renewal_of_an_ended_lease_proves_nothing(self):
        """Guards against a lease that seems younger than it is."""

        async def main(store_session):
            await self.end_first_lease(store_session)
            renewed_ms = store_session.renewed_ms
            self.store.renewals[0][1].set_result(Ok(True))
            await asyncio.sleep(0.01)
            self.assertEqual(renewed_ms, store_session.renewed_ms)

        self.run_with_session(main)

    def test_two_answers_that_a_lease_has_ended_end_it_once(self):
        """Guards against shards that are lost under the next lease."""

        async def main(store_session):
            await self.end_first_lease(store_session)
            self.store.renewals[0][1].set_result(Ok(False))
            await asyncio.sleep(0.01)
            self.assertEqual(1, self.expired)
            self.assertEqual("lease-2", store_session.lease)

        self.run_with_session(main)

    def test_age_counts_from_the_sending_of_the_latest_answered_renewal(self):
        """Guards against an age that counts from a late answer."""

        async def main(store_session):
            (_, first), (_, second) = self.store.renewals[:2]
            second.set_result(Ok(True))
            await asyncio.sleep(0.01)
            renewed_ms = store_session.renewed_ms
            first.set_result(Ok(True))
            await asyncio.sleep(0.01)
            self.assertEqual(renewed_ms, store_session.renewed_ms)
            self.assertGreaterEqual(store_session.age_ms(), 10)

        self.run_with_session(main)
