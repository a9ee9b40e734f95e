"""Tests of the in-memory copy of a store prefix."""

import asyncio

from expression import Error
from expression import Ok
import testtools

from support import fakes
from wagtailtiller import clock
from wagtailtiller import errors
from wagtailtiller.ownership import mirror
from wagtailtiller.ports import store


class _ShortBackoff:
    def reset(self):
        pass

    async def wait(self):
        await asyncio.sleep(0.002)


class MirrorTest(testtools.TestCase):
    def run_with(self, main):
        async def wrapped():
            self.store = fakes.FakeStore()
            self.changes = []
            self.mirror = mirror.Mirror(
                self.store,
                "a/",
                10,
                clock.SystemClock(),
                _ShortBackoff(),
                self.changes.extend,
                pause_ms=2,
            )
            mirror_task = asyncio.create_task(self.mirror.run())
            try:
                await asyncio.wait_for(main(), 5)
            finally:
                mirror_task.cancel()

        asyncio.run(wrapped())

    async def until(self, condition):
        while not condition():
            await asyncio.sleep(0.005)

    def write(self, key, value):
        revision = self.store.state.item(key).revision
        self.store.state.write(key, value, revision, "")

    def values(self):
        return {key: item.value for key, item in self.mirror.items.items()}

    def test_writes_and_deletes_are_copied(self):
        async def main():
            self.write("a/1", b"one")
            self.write("b/1", b"elsewhere")
            await self.until(lambda: self.values() == {"a/1": b"one"})
            self.write("a/2", b"two")
            await self.until(lambda: "a/2" in self.values())
            revision = self.store.state.item("a/1").revision
            self.store.state.delete("a/1", revision)
            await self.until(lambda: self.values() == {"a/2": b"two"})

        self.run_with(main)

    def test_all_keys_are_read_again_after_lost_history(self):
        async def main():
            self.write("a/1", b"one")
            self.write("a/2", b"two")
            await self.until(lambda: len(self.values()) == 2)
            watch = self.store.watch

            async def watch_without_history(prefix, after, wait_ms):
                return Error(errors.StoreUnavailable(store.HISTORY_LOST, False))

            self.store.watch = watch_without_history
            revision = self.store.state.item("a/1").revision
            self.store.state.delete("a/1", revision)
            self.write("a/2", b"newer")
            await self.until(lambda: self.values() == {"a/2": b"newer"})
            self.store.watch = watch
            deleted = [item for item in self.changes if item.value is None]
            self.assertEqual(["a/1"], [item.key for item in deleted])

        self.run_with(main)

    def test_older_item_does_not_replace_newer_one(self):
        async def main():
            self.write("a/1", b"one")
            await self.until(lambda: self.values())
            old = self.mirror.items["a/1"]
            self.write("a/1", b"two")
            await self.until(lambda: self.values() == {"a/1": b"two"})
            watch = self.store.watch

            async def watch_with_old_item(prefix, after, wait_ms):
                self.store.watch = watch
                return Ok(store.Snapshot([old], after))

            self.store.watch = watch_with_old_item
            await self.until(lambda: self.store.watch is watch)
            await asyncio.sleep(0.02)
            self.assertEqual({"a/1": b"two"}, self.values())

        self.run_with(main)

    def test_key_that_is_created_and_deleted_at_once_is_not_kept(self):
        """Guards against owners that are believed in after their end."""

        async def main():
            self.write("a/1", b"one")
            await self.until(lambda: self.values())
            watch = self.store.watch

            async def watch_with_all_changes(prefix, after, wait_ms):
                self.store.watch = watch
                self.write("a/2", b"two")
                created = self.store.state.item("a/2")
                self.store.state.delete("a/2", created.revision)
                revision = self.store.state.revision
                deleted = store.Item("a/2", None, revision)
                return Ok(store.Snapshot([created, deleted], revision))

            self.store.watch = watch_with_all_changes
            await self.until(lambda: self.store.watch is watch)
            await asyncio.sleep(0.02)
            self.assertEqual({"a/1": b"one"}, self.values())

        self.run_with(main)

    def test_key_that_is_created_again_during_a_read_is_kept(self):
        """Guards against a shard whose owner nobody knows any more.

        Later pages of a read are newer than its revision, from which the watch
        starts, so that the watch tells of the key's deletion afterwards.
        """

        async def main():
            self.write("a/1", b"one")
            await self.until(lambda: self.values())
            read = self.store.read
            watch = self.store.watch

            async def watch_without_history(prefix, after, wait_ms):
                self.store.watch = watch_all_changes
                return Error(errors.StoreUnavailable(store.HISTORY_LOST, False))

            async def read_while_created_again(prefix):
                first_page = (await read(prefix)).ok
                revision = self.store.state.item("a/1").revision
                self.store.state.delete("a/1", revision)
                self.deleted_at = self.store.state.revision
                self.write("a/1", b"two")
                item = self.store.state.item("a/1")
                return Ok(store.Snapshot([item], first_page.revision))

            async def watch_all_changes(prefix, after, wait_ms):
                self.store.watch = watch
                deleted = store.Item("a/1", None, self.deleted_at)
                created = self.store.state.item("a/1")
                return Ok(store.Snapshot([deleted, created], created.revision))

            self.store.read = read_while_created_again
            self.store.watch = watch_without_history
            await self.until(lambda: self.store.watch is watch)
            await asyncio.sleep(0.02)
            self.assertEqual({"a/1": b"two"}, self.values())

        self.run_with(main)
