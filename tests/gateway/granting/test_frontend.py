"""Tests of the frontend: epochs, reports and expired grants."""

import msgspec
import testtools

from support import clocks
from tests import examples
from wagtailtiller import fleet
from wagtailtiller import ids
from wagtailtiller import replica
from wagtailtiller import roster
from wagtailtiller import settings
from wagtailtiller.dispatch import grants
from wagtailtiller.dispatch import messages
from wagtailtiller.fleet import model
from wagtailtiller.gateway.granting import frontend
from wagtailtiller.ports import store
from wagtailtiller.settings import changes

_REGION = ids.RegionId("kerala")
_CALLER = settings.Caller("mayilpeeli", "mayilpeeli/letterers", 100.0)


class FrontendTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.FakeClock()
        self.replica = replica.Replica(_REGION)
        self.sent = []
        self.replies = []
        self.valid = True
        self.frontend = frontend.Frontend(
            self.clock,
            self.replica,
            lambda gateway, message: self.sent.append((gateway, message)),
            lambda: self.valid,
        )
        self.revision = 0
        change = changes.Change(1, "first", "", "", 0, examples.plain())
        self.write(changes.log_key(1), change)
        catalogue = examples.catalogue()
        self.write(model.key(_REGION), examples.enrolled(catalogue))
        self.set_roster(1, "gw-1")

    def write(self, key, value):
        self.revision += 1
        item = store.Item(key, msgspec.json.encode(value), self.revision)
        self.replica.update([item])

    def set_roster(self, epoch, *names):
        members = {
            name: roster.GatewaySession(name, "i", _REGION, "", "")
            for name in names
        }
        self.write(roster.key(_REGION), roster.Roster(epoch, members))
        self.frontend.on_view_change()

    def request_slot(self, queue="exports", key=0):
        self.sent.clear()
        request = frontend.AdmittedRequest(
            queue=self.replica.settings.catalogue.queues[queue],
            caller=_CALLER,
            deadline_ms=self.clock.now_ms + 10_000,
            key=key,
            key_first_used_ms=self.clock.now_ms,
        )
        return self.frontend.request_slot(request, self.replies.append)

    def grant(self, seq, epoch=1, vm="vm-0", age_ms=0, sender="gw-1"):
        stamp_ms = self.clock.now_ms - age_ms
        message = messages.Grant(seq, epoch, stamp_ms, vm)
        self.frontend.receive(sender, message)

    def sent_types(self):
        return [type(message) for _, message in self.sent]

    def test_grant_of_an_earlier_epoch_is_ignored(self):
        seq = self.request_slot()
        self.set_roster(2, "gw-2")
        self.grant(seq, epoch=1)
        self.assertEqual([], self.replies)

    def test_new_owner_receives_reports_and_waiting_slot_requests(self):
        seq = self.request_slot()
        self.sent.clear()
        self.set_roster(2, "gw-2")
        messages_sent = [message for _, message in self.sent]
        reports = [m for m in messages_sent if isinstance(m, messages.Report)]
        request_seqs = [
            m.seq for m in messages_sent if isinstance(m, messages.SlotRequest)
        ]
        self.assertEqual(2, len(reports))
        self.assertEqual([seq], request_seqs)

    def test_report_lists_runs_and_used_keys(self):
        seq = self.request_slot(key=9)
        self.grant(seq)
        self.sent.clear()
        self.set_roster(2, "gw-2")
        report = next(m for _, m in self.sent if m.pool == examples.POOL)
        self.assertEqual(seq, report.running[0].seq)
        self.assertEqual(9, report.keys[0].key)

    def test_key_of_request_that_did_not_run_is_not_reported_as_used(self):
        seq = self.request_slot(key=9)
        self.grant(seq)
        self.frontend.release(seq, messages.RunOutcome.NOT_RUN, 0)
        self.sent.clear()
        self.set_roster(2, "gw-2")
        report = next(m for _, m in self.sent if m.pool == examples.POOL)
        self.assertEqual((), report.keys)

    def test_expired_grant_is_returned_and_slot_requested_again(self):
        seq = self.request_slot()
        self.sent.clear()
        self.grant(seq, age_ms=grants.GRANT_VALID_MS)
        self.assertEqual([messages.Done], self.sent_types())
        self.clock.advance(100)
        self.frontend.tick()
        self.assertEqual(
            [messages.Done, messages.SlotRequest], self.sent_types()
        )

    def test_grant_for_an_abandoned_request_is_returned(self):
        seq = self.request_slot()
        self.frontend.abandon(seq)
        self.sent.clear()
        self.grant(seq)
        outcome = self.sent[0][1].outcome
        self.assertIs(messages.RunOutcome.UNUSED, outcome)

    def test_grant_is_not_usable_without_a_valid_view(self):
        seq = self.request_slot()
        self.grant(seq)
        self.valid = False
        self.assertFalse(self.frontend.usable(self.replies[0], examples.POOL))

    def test_grant_on_a_leaving_vm_is_not_usable(self):
        seq = self.request_slot()
        self.grant(seq)
        catalogue = self.replica.settings.catalogue
        goal = fleet.Move(examples.SPARE)
        command = fleet.BeginLeave("vm-0", goal)
        left = fleet.apply(self.replica.fleet, command, catalogue, 1).ok
        self.write(model.key(_REGION), left)
        self.assertFalse(self.frontend.usable(self.replies[0], examples.POOL))

    def test_request_refused_by_a_non_owner_is_sent_again_later(self):
        seq = self.request_slot()
        reason = messages.RefusalReason.NOT_DISPATCHER
        self.frontend.receive("gw-1", messages.Refuse(seq, reason, 0))
        self.assertEqual([], self.replies)
        self.clock.advance(100)
        self.frontend.tick()
        self.assertEqual(
            [messages.SlotRequest, messages.SlotRequest], self.sent_types()
        )
