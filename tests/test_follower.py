"""Tests of the follower that keeps a replica up to date."""

import asyncio
import contextlib
import random

from expression import Error
from expression import Ok
import testtools

from support import fakes
from wagtailtiller import clock
from wagtailtiller import errors
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller import replica
from wagtailtiller.ports import store

_KEY = f"{replica.PREFIX}a"
_OTHER_KEY = f"{replica.PREFIX}b"


class FollowerTest(testtools.TestCase):
    def run_with(self, main):
        async def wrapped():
            self.store = fakes.FakeStore()
            self.write(_KEY)
            self.replica = replica.Replica(ids.RegionId("kerala"))
            state_follower = follower.StoreFollower(
                self.store,
                self.replica,
                clock.SystemClock(),
                lambda sent_ms: None,
                lambda: None,
                random.Random(1),
                10,
            )
            task = asyncio.create_task(state_follower.run())
            try:
                await main()
            finally:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task

        asyncio.run(wrapped())

    def write(self, key):
        revision = self.store.state.item(key).revision
        self.store.state.write(key, b"x", revision, "")

    def has(self, key):
        return self.replica.item_revision(key) != store.ABSENT

    async def watch_without_history(self, prefix, after, wait_ms):
        return Error(errors.StoreUnavailable(store.HISTORY_LOST, False))

    async def until(self, condition):
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.005)

    def test_deletions_are_seen_after_lost_history(self):
        """Guards against a replica that stays as it was for ever."""

        async def main():
            await self.until(lambda: self.has(_KEY))
            watch = self.store.watch
            self.store.watch = self.watch_without_history
            # Until the watch that is under way has ended.
            await asyncio.sleep(0.01)
            revision = self.store.state.item(_KEY).revision
            self.store.state.delete(_KEY, revision)
            deleted_at = self.store.state.revision

            async def watch_later_changes(prefix, after, wait_ms):
                if after < deleted_at:
                    return await self.watch_without_history(
                        prefix, after, wait_ms
                    )
                return await watch(prefix, after, wait_ms)

            self.store.watch = watch_later_changes
            await self.until(lambda: not self.has(_KEY))

        self.run_with(main)

    def test_changes_between_the_pages_of_a_read_are_seen(self):
        """Guards against keys that change while later pages are read."""

        async def main():
            read = self.store.read

            async def read_while_written(prefix):
                self.store.read = read
                first_page = (await read(prefix)).ok
                self.write(_KEY)
                self.write(_OTHER_KEY)
                items = [*first_page.items, self.store.state.item(_OTHER_KEY)]
                return Ok(store.Snapshot(items, first_page.revision))

            self.store.read = read_while_written
            written = self.store.state.item(_KEY).revision
            await self.until(lambda: self.replica.item_revision(_KEY) > written)

        self.run_with(main)
