"""Tests of keeping the roster."""

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


class RosterKeeperTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.FakeClock()
        self.store = fakes.FakeStore()
        self.leads = True
        self.keeper = membership.RosterKeeper(
            self.store,
            _REGION,
            lambda: self.leads,
            self.clock,
            follower.Backoff(random.Random(1)),
        )

    def join(self, name, incarnation="i", epoch=0):
        session = roster.Session(name, incarnation, _REGION, "", "")
        value = msgspec.json.encode(roster.SessionRecord(session, epoch))
        self.write(roster.session_key(name), value)

    def write(self, key, value):
        found = self.store.state.read(key).items
        expected = found[0].revision if found else 0
        self.store.state.write(key, value, expected, "")

    def leave(self, name):
        key = roster.session_key(name)
        item = self.store.state.read(key).items[0]
        self.store.state.delete(key, item.revision)

    def step(self, count=1):
        for _ in range(count):
            asyncio.run(self.keeper._step())
        found = self.store.state.read(_KEY).items
        if not found:
            return roster.EMPTY
        return msgspec.json.decode(found[0].value, type=roster.Roster)

    def test_first_roster_has_everybody(self):
        self.join("a")
        self.join("b")
        self.assertEqual({"a", "b"}, set(self.step().members))

    def test_nobody_is_removed_soon_after_an_outage(self):
        self.join("a")
        self.join("b")
        self.step()
        self.leave("b")
        self.assertEqual({"a", "b"}, set(self.step().members))
        self.clock.advance(membership.GRACE_MS)
        self.assertEqual({"a"}, set(self.step().members))

    def test_settled_roster_costs_no_reads(self):
        self.join("a")
        self.step()
        self.clock.advance(membership.GRACE_MS)
        self.step(2)
        self.store.faults = [fakes.Fault.BEFORE] * 4
        self.step(3)
        self.assertEqual(4, len(self.store.faults))

    def test_newcomer_is_seen_after_it_settled(self):
        self.join("a")
        first = self.step()
        self.clock.advance(membership.GRACE_MS)
        self.step(2)
        self.join("a", epoch=first.epoch)
        self.join("b")
        self.assertEqual({"a", "b"}, set(self.step(2).members))

    def test_former_leader_takes_nothing_for_granted(self):
        self.join("a")
        self.join("b")
        self.step()
        self.clock.advance(membership.GRACE_MS)
        self.step(2)
        self.leads = False
        self.step()
        self.leave("b")
        self.leads = True
        self.assertEqual({"a", "b"}, set(self.step().members))
