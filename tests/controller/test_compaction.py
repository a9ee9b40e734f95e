"""Tests of the compaction of the settings log."""

import asyncio

import msgspec
import testtools

from support import fakes
from tests import examples
from wagtailtiller import ids
from wagtailtiller import replica
from wagtailtiller.controller import compaction
from wagtailtiller.settings import changes

_COUNT = compaction.MAX_ENTRIES + 10


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
        self.replica = self.create_replica()

    def create_replica(self):
        new_replica = replica.Replica(ids.RegionId("kerala"))
        snapshot = self.store.state.read(replica.PREFIX)
        new_replica.load(snapshot.items, snapshot.revision)
        return new_replica

    def compact(self):
        step = compaction.Compactor(
            self.store, self.replica, lambda: True
        ).step()
        return asyncio.run(step)

    def test_new_replica_reads_the_same_settings_from_the_snapshot(self):
        self.assertTrue(self.compact())
        new_replica = self.create_replica()
        self.assertEqual(_COUNT, new_replica.settings.revision)
        self.assertEqual(
            self.replica.settings.plain, new_replica.settings.plain
        )

    def test_audit_trail_keeps_all_changes(self):
        self.compact()
        archived = self.store.state.read(changes.ARCHIVE_PREFIX).items
        kept = self.store.state.read(changes.LOG_PREFIX).items
        self.assertEqual(_COUNT, len(archived) + len(kept))

    def test_lost_response_while_archiving_loses_no_change(self):
        none = fakes.Fault.NONE
        self.store.faults = [none, none, fakes.Fault.RESPONSE_LOST]
        self.assertFalse(self.compact())
        self.replica = self.create_replica()
        self.compact()
        self.assertEqual(_COUNT, self.create_replica().settings.revision)
        archived = self.store.state.read(changes.ARCHIVE_PREFIX).items
        kept = self.store.state.read(changes.LOG_PREFIX).items
        names = {item.key.rsplit("/", 1)[1] for item in archived + kept}
        self.assertEqual(_COUNT, len(names))
