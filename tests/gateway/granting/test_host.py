"""Tests of pool ownership across changes of the roster."""

import msgspec
import testtools

from support import clocks
from tests import examples
from wagtailtiller import ids
from wagtailtiller import replica
from wagtailtiller import roster
from wagtailtiller import statsd_metrics
from wagtailtiller.dispatch import dispatcher
from wagtailtiller.dispatch import messages
from wagtailtiller.fleet import model
from wagtailtiller.gateway.granting import host
from wagtailtiller.ports import store
from wagtailtiller.settings import changes

_REGION = ids.RegionId("kerala")
# Gateway that does not own the pool while "a" is a member.
_OTHER_GATEWAY = ids.GatewayId("b")


class DispatchHostTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.FakeClock()
        self.replica = replica.Replica(_REGION)
        self.sent = []
        self.host = host.DispatchHost(
            own_gateway=ids.GatewayId("a"),
            incarnation="i",
            clock=self.clock,
            state_replica=self.replica,
            send=lambda frontend, message: self.sent.append(
                (frontend, message)
            ),
            metrics_client=statsd_metrics.NullMetricsClient(),
        )
        self.revision = 0
        change = changes.Change(1, "first", "", "", 0, examples.plain())
        self.write(changes.log_key(1), change)
        catalogue = examples.catalogue()
        self.write(model.key(_REGION), examples.enrolled(catalogue))

    def write(self, key, value):
        self.revision += 1
        item = store.Item(key, msgspec.json.encode(value), self.revision)
        self.replica.update([item])

    def set_epoch(self, epoch, loss_ms=0, names=("a",)):
        members = {
            name: roster.GatewaySession(name, "i", _REGION, "", "")
            for name in names
        }
        current = roster.Roster(epoch, members, loss_ms)
        self.write(roster.key(_REGION), current)
        self.host.on_view_change()

    def report(self, epoch, frontend="a"):
        message = messages.Report(examples.POOL, epoch, (), ())
        self.host.receive(frontend, message)

    def send_slot_request(self, seq):
        self.sent.clear()
        self.host.receive(
            "a", messages.SlotRequest(seq, 0, "previews", "t", 100.0, 10_000)
        )
        return [type(message) for _, message in self.sent]

    def test_report_received_before_its_epoch_is_kept(self):
        self.report(1)
        self.set_epoch(1)
        self.assertEqual([messages.Grant], self.send_slot_request(1))

    def test_request_for_a_pool_of_another_gateway_is_refused(self):
        self.send_slot_request(1)
        reason = self.sent[0][1].reason
        self.assertIs(messages.RefusalReason.NOT_DISPATCHER, reason)

    def test_next_epoch_keeps_running_requests(self):
        self.set_epoch(1)
        self.report(1)
        self.send_slot_request(1)
        self.set_epoch(2)
        loads = {load.pool: load.running for load in self.host.loads()}
        self.assertEqual(1, loads[examples.POOL])

    def test_owner_waits_for_all_reports_after_a_missed_epoch(self):
        """Guards against running an idempotency key twice.

        Another gateway may have owned the pool in the missed epoch. An owner
        that keeps its old state does not know the keys that ran then.
        """
        names = ("a", _OTHER_GATEWAY)
        self.set_epoch(1, names=names)
        for name in names:
            self.report(1, name)
        self.clock.advance(2 * dispatcher.REPORT_TIMEOUT_MS)
        self.assertEqual([messages.Grant], self.send_slot_request(1))
        self.set_epoch(3, names=names)
        self.report(3)
        self.assertEqual([], self.send_slot_request(2))
        self.report(3, _OTHER_GATEWAY)
        self.assertEqual([messages.Grant], self.send_slot_request(3))

    def test_lost_gateway_blocks_drains_until_its_requests_have_ended(self):
        self.set_epoch(1, loss_ms=self.clock.now_ms)
        self.report(1)
        answer = self.host.drain_state(ids.VmId("vm-0"))
        self.assertGreater(answer.blocked_ms, 30_000)
