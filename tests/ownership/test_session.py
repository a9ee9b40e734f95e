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
