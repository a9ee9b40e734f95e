"""Tests of the replica of the shared state."""

import msgspec
import testtools

from tests import examples
from wagtailtiller import ids
from wagtailtiller import replica
from wagtailtiller import roster
from wagtailtiller.fleet import model
from wagtailtiller.ports import store
from wagtailtiller.settings import changes

_REGION = ids.RegionId("kerala")


class ReplicaTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.replica = replica.Replica(_REGION)
        change = changes.Change(1, "first", "", "", 0, examples.plain())
        self.write(1, changes.log_key(1), msgspec.json.encode(change))
        fleet = examples.enrolled(examples.catalogue())
        self.write(2, model.key(_REGION), msgspec.json.encode(fleet))

    def write(self, revision, key, value):
        self.replica.update([store.Item(key, value, revision)])

    def test_older_items_are_ignored(self):
        self.write(1, model.key(_REGION), b"{}")
        self.assertEqual(6, len(self.replica.fleet.vms))

    def test_undecodable_fleet_keeps_the_current_one(self):
        self.write(3, model.key(_REGION), b"not json")
        self.assertEqual(6, len(self.replica.fleet.vms))
        self.assertEqual(3, self.replica.revision)

    def test_undecodable_roster_keeps_the_current_one(self):
        self.write(3, roster.key(_REGION), b'{"epoch": "x"}')
        self.assertEqual(roster.EMPTY, self.replica.roster)

    def test_undecodable_change_keeps_the_current_settings(self):
        self.write(3, changes.log_key(2), b"not json")
        self.assertEqual(1, self.replica.settings.revision)

    def test_export_of_a_peer_restores_the_same_state(self):
        other = replica.Replica(_REGION)
        other.load_export(self.replica.export(), self.replica.revision)
        self.assertEqual(self.replica.fleet, other.fleet)
        self.assertEqual(self.replica.settings.plain, other.settings.plain)

    def test_older_export_of_a_peer_is_ignored(self):
        export = self.replica.export()
        self.write(3, model.key(_REGION), b"{}")
        self.assertFalse(self.replica.load_export(export, 2))
