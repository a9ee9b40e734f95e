"""Tests of what a process with a silent store knows of the others."""

import asyncio
import random

import testtools

from wagtailtiller import ids
from wagtailtiller.entry import contact
from wagtailtiller.owner import messages

_PEERS = [f"e-{number}:1" for number in range(6)]


_OWNER = messages.KnownOwner(ids.PoolId("renders"), "e-9:1", 2)


class PeerContactTest(testtools.TestCase):
    """Load pattern: a frontend is cut off from all but its callers."""

    def setUp(self):
        super().setUp()
        self.store_answers = False
        self.addresses = list(_PEERS)
        self.reachable = set()
        self.asked = []
        self.owners = []
        self.contact = contact.PeerContact(
            lambda: self.store_answers,
            lambda: self.addresses,
            self.ping,
            self.owners.append,
            random.Random(1),
        )

    async def ping(self, address):
        self.asked.append(address)
        await asyncio.sleep(0)
        return messages.Pong((_OWNER,)) if address in self.reachable else None

    def is_cut_off(self):
        asyncio.run(self.contact.check())
        return self.contact.cut_off

    def test_process_that_reaches_nobody_is_cut_off(self):
        self.assertTrue(self.is_cut_off())

    def test_no_process_is_cut_off_while_the_store_is_away_for_all(self):
        """Guards against all frontends leaving together in an outage."""
        self.reachable = set(_PEERS)
        self.assertFalse(self.is_cut_off())

    def test_owners_are_learned_from_those_that_may_reach_the_store(self):
        """Load pattern: some frontends are cut off from the store only."""
        self.reachable = set(_PEERS[:3])
        self.is_cut_off()
        self.assertEqual([_OWNER] * 3, self.owners)

    def test_two_processes_that_reach_only_each_other_are_cut_off(self):
        self.reachable = set(_PEERS[:1])
        self.assertTrue(self.is_cut_off())

    def test_ended_processes_do_not_make_the_others_cut_off(self):
        self.reachable = set(_PEERS[:3])
        self.assertFalse(self.is_cut_off())

    def test_nobody_is_asked_while_the_store_answers(self):
        self.store_answers = True
        self.assertFalse(self.is_cut_off())
        self.assertEqual([], self.asked)

    def test_contact_is_regained_with_the_store_or_the_peers(self):
        self.assertTrue(self.is_cut_off())
        self.reachable = set(_PEERS)
        self.assertFalse(self.is_cut_off())
        self.reachable = set()
        self.assertTrue(self.is_cut_off())
        self.store_answers = True
        self.assertFalse(self.is_cut_off())

    def test_the_only_process_is_not_cut_off(self):
        self.addresses = []
        self.assertFalse(self.is_cut_off())

    def test_few_processes_of_a_large_deployment_are_asked(self):
        self.addresses = [f"e-{number}:1" for number in range(100)]
        self.assertTrue(self.is_cut_off())
        self.assertEqual(8, len(set(self.asked)))
