"""Tests of updating the roster."""

import asyncio
import random

import msgspec
import testtools

from support import clocks
from support import fakes
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller import roster
from wagtailtiller.controller import membership

_REGION = ids.RegionId("kerala")
_KEY = roster.key(_REGION)


class RosterUpdaterTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.FakeClock()
        self.store = fakes.FakeStore()
        self.is_leader = True
        self.updater = membership.RosterUpdater(
            self.store,
            _REGION,
            lambda: self.is_leader,
            self.clock,
            follower.Backoff(random.Random(1)),
        )

    def join(self, name, incarnation="i", epoch=0):
        session = roster.GatewaySession(name, incarnation, _REGION, "", "")
        value = msgspec.json.encode(roster.SessionRecord(session, epoch))
        self.write(roster.session_key(name), value)

    def write(self, key, value):
        items = self.store.state.read(key).items
        expected = items[0].revision if items else 0
        self.store.state.write(key, value, expected, "")

    def leave(self, name):
        key = roster.session_key(name)
        item = self.store.state.read(key).items[0]
        self.store.state.delete(key, item.revision)

    def step(self, count=1):
        for _ in range(count):
            asyncio.run(self.updater._step())
        items = self.store.state.read(_KEY).items
        if not items:
            return roster.EMPTY
        return msgspec.json.decode(items[0].value, type=roster.Roster)

    def test_first_roster_has_all_gateways(self):
        self.join("a")
        self.join("b")
        self.assertEqual({"a", "b"}, set(self.step().members))

    def test_members_are_not_removed_soon_after_an_outage(self):
        self.join("a")
        self.join("b")
        self.step()
        self.leave("b")
        self.assertEqual({"a", "b"}, set(self.step().members))
        self.clock.advance(membership.REMOVAL_GRACE_MS)
        self.assertEqual({"a"}, set(self.step().members))

    def test_unchanged_sessions_cause_no_reads(self):
        self.join("a")
        self.step()
        self.clock.advance(membership.REMOVAL_GRACE_MS)
        self.step(2)
        self.store.faults = [fakes.Fault.REQUEST_LOST] * 4
        self.step(3)
        self.assertEqual(4, len(self.store.faults))

    def test_new_gateway_joins_an_unchanged_roster(self):
        self.join("a")
        first = self.step()
        self.clock.advance(membership.REMOVAL_GRACE_MS)
        self.step(2)
        self.join("a", epoch=first.epoch)
        self.join("b")
        self.assertEqual({"a", "b"}, set(self.step(2).members))

    def test_new_leadership_starts_the_grace_period_again(self):
        self.join("a")
        self.join("b")
        self.step()
        self.clock.advance(membership.REMOVAL_GRACE_MS)
        self.step(2)
        self.is_leader = False
        self.step()
        self.leave("b")
        self.is_leader = True
        self.assertEqual({"a", "b"}, set(self.step().members))
