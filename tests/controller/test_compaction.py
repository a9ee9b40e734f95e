"""Tests of archiving the settings log."""

import asyncio

import msgspec
import testtools

from support import fakes
from tests import examples
from wagtailtiller import ids
from wagtailtiller import replica
from wagtailtiller.controller import compaction
from wagtailtiller.settings import changes

_COUNT = compaction.MOST_ENTRIES + 10


def _change(number):
    patch = {"tree": {"values": {"deadline_ms": 1_000 + number}}}
    return changes.Change(
        revision=ids.Revision(number),
        change=ids.ChangeId(f"c{number}"),
        who="op",
        why="",
        at_ms=number,
        patch=examples.plain() if number == 1 else patch,
    )


class CompactorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = fakes.FakeStore()
        for number in range(1, _COUNT + 1):
            value = msgspec.json.encode(_change(number))
            self.store.state.write(changes.log_key(number), value, 0, "")
        self.replica = self.fresh()

    def fresh(self):
        copy = replica.Replica(ids.RegionId("kerala"))
        found = self.store.state.read(replica.PREFIX)
        copy.load(found.items, found.revision)
        return copy

    def compact(self):
        step = compaction.Compactor(
            self.store, self.replica, lambda: True
        ).step()
        return asyncio.run(step)

    def test_newcomer_reads_the_same_settings_from_the_saved_document(self):
        self.assertTrue(self.compact())
        fresh = self.fresh()
        self.assertEqual(_COUNT, fresh.settings.revision)
        self.assertEqual(self.replica.settings.plain, fresh.settings.plain)

    def test_no_change_is_lost_from_the_audit_trail(self):
        self.compact()
        archived = self.store.state.read(changes.ARCHIVE_PREFIX).items
        kept = self.store.state.read(changes.LOG_PREFIX).items
        self.assertEqual(_COUNT, len(archived) + len(kept))

    def test_lost_answer_in_mid_archive_loses_nothing(self):
        none = fakes.Fault.NONE
        self.store.faults = [none, none, fakes.Fault.AFTER]
        self.assertFalse(self.compact())
        self.replica = self.fresh()
        self.compact()
        self.assertEqual(_COUNT, self.fresh().settings.revision)
        archived = self.store.state.read(changes.ARCHIVE_PREFIX).items
        kept = self.store.state.read(changes.LOG_PREFIX).items
        names = {item.key.rsplit("/", 1)[1] for item in archived + kept}
        self.assertEqual(_COUNT, len(names))
