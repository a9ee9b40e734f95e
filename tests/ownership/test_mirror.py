"""Tests of the in-memory copy of a store prefix."""

import asyncio
import dataclasses

from expression import Error
from expression import Ok
import hypothesis
from hypothesis import strategies
import testtools

from support import fakes
from support.standins import store as standin
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


_KEYS = ("a/1", "a/2", "a/3")


@dataclasses.dataclass(frozen=True)
class _Toggle:
    """A key is created, or deleted if it exists."""

    key: str


@dataclasses.dataclass(frozen=True)
class _Rewrite:
    """A key that exists is written again."""

    key: str


@dataclasses.dataclass(frozen=True)
class _Watch:
    """The copy is updated by a watch."""


@dataclasses.dataclass(frozen=True)
class _LoseHistory:
    """The copy is read anew, with changes between the pages of one key."""

    between_pages: tuple[_Toggle | _Rewrite, ...]


_changes = strategies.sampled_from(_KEYS).flatmap(
    lambda key: strategies.sampled_from((_Toggle(key), _Rewrite(key)))
)
_steps = strategies.one_of(
    _changes,
    _changes,
    strategies.just(_Watch()),
    strategies.builds(
        _LoseHistory, strategies.lists(_changes, max_size=4).map(tuple)
    ),
)


class _HistoryStore:
    """Store whose history can be lost, and whose reads have several pages."""

    def __init__(self):
        self.state = standin.StoreState()
        self.between_pages = ()
        self.has_history = True

    def change(self, change):
        item = self.state.item(change.key)
        if item.value is None:
            if isinstance(change, _Toggle):
                self.state.write(change.key, b"x", store.ABSENT, "")
        elif isinstance(change, _Toggle):
            self.state.delete(change.key, item.revision)
        else:
            self.state.write(change.key, b"x", item.revision, "")

    async def read(self, prefix):
        revision = self.state.revision
        items = []
        changes = list(self.between_pages)
        for key in _KEYS:
            item = self.state.item(key)
            if item.value is not None:
                items.append(item)
            if changes:
                self.change(changes.pop(0))
        self.has_history = True
        return Ok(store.Snapshot(items, revision))

    async def watch(self, prefix, after, wait_ms):
        if not self.has_history:
            return Error(errors.StoreUnavailable(store.HISTORY_LOST, False))
        return Ok(self.state.changes(prefix, after))


class HistoryTest(testtools.TestCase):
    def make_mirror(self, history_store, on_change):
        return mirror.Mirror(
            history_store,
            "a/",
            10,
            clock.SystemClock(),
            _ShortBackoff(),
            on_change,
        )

    @hypothesis.given(strategies.lists(_steps, max_size=20))
    def test_any_history_in_any_answers_gives_the_items_of_the_store(
        self, steps
    ):
        """Guards against a copy that differs from the store for ever."""
        asyncio.run(self.play(steps))

    async def play(self, steps):
        history_store = _HistoryStore()
        reported = {}

        def on_change(items):
            for item in items:
                reported[item.key] = item

        copy = self.make_mirror(history_store, on_change)
        for step in (*steps, _Watch()):
            match step:
                case _LoseHistory():
                    history_store.has_history = False
                    history_store.between_pages = step.between_pages
                    await self.update(copy)
                case _Watch():
                    await self.update(copy)
                case change:
                    history_store.change(change)
        expected = history_store.state.read("a/").items
        self.assertEqual(
            expected, [copy.items[key] for key in sorted(copy.items)]
        )
        present = [item for item in reported.values() if item.value is not None]
        self.assertEqual(expected, sorted(present, key=lambda item: item.key))

    async def update(self, copy):
        if await copy._update() == store.HISTORY_LOST:
            copy._revision = None
            await copy._update()
        await copy._update()

    def test_changes_of_one_key_are_reported_in_order(self):
        """Guards against readers that keep the first of two changes."""
        changes = []
        history_store = _HistoryStore()
        copy = self.make_mirror(history_store, changes.extend)
        asyncio.run(copy._update())
        for _ in range(2):
            history_store.change(_Toggle("a/1"))
        asyncio.run(copy._update())
        self.assertEqual([b"x", None], [change.value for change in changes])


class CorrectionTest(testtools.TestCase):
    """Tests of items that refused preconditions have returned."""

    def setUp(self):
        super().setUp()
        self.store = fakes.FakeStore()
        self.changes = []
        self.mirror = mirror.Mirror(
            self.store,
            "a/",
            10,
            clock.SystemClock(),
            _ShortBackoff(),
            self.changes.extend,
        )
        self.store.state.write("a/1", b"one", store.ABSENT, "")
        self.known = self.store.state.item("a/1")
        self.update()

    def update(self):
        asyncio.run(self.mirror._update())

    def correct(self, expected):
        self.mirror.correct(expected, self.store.state.item("a/1"))

    def test_item_that_the_store_does_not_have_is_removed(self):
        self.store.state.delete("a/1", self.known.revision)
        self.correct(self.known.revision)
        self.assertEqual({}, self.mirror.items)
        self.assertIsNone(self.changes[-1].value)

    def test_item_that_is_newer_than_the_refusal_is_kept(self):
        """Guards against a live owner that is forgotten."""
        self.store.state.delete("a/1", self.known.revision)
        absent = self.store.state.item("a/1")
        self.store.state.write("a/1", b"two", store.ABSENT, "")
        self.update()
        self.mirror.correct(self.known.revision, absent)
        self.assertEqual(b"two", self.mirror.items["a/1"].value)

    def test_item_that_a_later_watch_brings_is_not_taken_over(self):
        """Guards against a key that is kept although it has been deleted."""
        self.store.state.write("a/1", b"two", self.known.revision, "")
        self.correct(self.known.revision)
        self.assertEqual(self.known, self.mirror.items["a/1"])
        self.update()
        self.assertEqual(b"two", self.mirror.items["a/1"].value)

    def test_all_keys_are_read_again_if_an_item_is_missing(self):
        """Guards against an owner that a process never learns of."""
        del self.mirror.items["a/1"]
        self.correct(store.ABSENT)
        self.update()
        self.assertEqual(self.known, self.mirror.items["a/1"])
