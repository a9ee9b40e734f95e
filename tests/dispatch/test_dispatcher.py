"""Tests of the dispatcher of a pool."""

import random

import msgspec
import testtools

from support.measure import dispatcher_simulation
from support.measure import trace
from wagtailtiller import ids
from wagtailtiller.dispatch import admission
from wagtailtiller.dispatch import dispatcher
from wagtailtiller.dispatch import grants
from wagtailtiller.dispatch import messages

_QUEUE = trace.QueueShape("work", 500, 10_000, 1.0)
_FRONTENDS = {"a": "i", "b": "i"}
_SLOTS = 2
_VMS = 2


def _view(**changes):
    view = dispatcher_simulation.pool_view(
        [_QUEUE], vms=_VMS, slots_per_vm=_SLOTS
    )
    queue = view.queues["work"]
    for name, value in changes.items():
        queue = _replace(queue, name, value)
    view.queues["work"] = queue
    return view


def _replace(struct, name, value):
    return msgspec.structs.replace(struct, **{name: value})


class DispatcherTest(testtools.TestCase):
    def make(self, view=None, report=True, lost_runs_until_ms=0, quorum=1):
        self.now_ms = 10_000
        self.dispatcher = dispatcher.Dispatcher(
            view=view or _view(),
            epoch=ids.Epoch(1),
            frontends=_FRONTENDS,
            quorum=quorum,
            rng=random.Random(1),
            now_ms=self.now_ms,
            lost_runs_until_ms=lost_runs_until_ms,
        )
        if report:
            for frontend in _FRONTENDS:
                self.report(frontend)

    def report(self, frontend, running=(), epoch=1, keys=()):
        message = messages.Report("pool", epoch, tuple(running), tuple(keys))
        return self.handle(frontend, message)

    def handle(self, frontend, message):
        return self.dispatcher.handle(frontend, message, self.now_ms)

    def request_slot(self, seq, frontend="a", deadline_ms=10_000, **fields):
        message = messages.SlotRequest(
            seq=seq,
            stamp_ms=0,
            queue="work",
            team=fields.pop("team", "t"),
            quota_percent=100.0,
            deadline_in_ms=deadline_ms,
            **fields,
        )
        return self.handle(frontend, message)

    def done(self, seq, outcome=messages.RunOutcome.ANSWERED, frontend="a"):
        return self.handle(frontend, messages.Done(seq, "work", outcome, 500))

    def fill(self):
        for seq in range(_VMS * _SLOTS):
            self.request_slot(seq)

    def refusal(self, sends):
        self.assertEqual(1, len(sends))
        return sends[0].message.reason

    def test_never_grants_more_than_the_slots(self):
        self.make()
        grants = [send for seq in range(9) for send in self.request_slot(seq)]
        self.assertEqual(_VMS * _SLOTS, len(grants))
        for number in range(_VMS):
            count = self.dispatcher.running_on(f"vm-{number}")
            self.assertEqual(_SLOTS, count)

    def test_freed_slot_goes_to_the_earliest_deadline(self):
        self.make()
        self.fill()
        self.request_slot(10, deadline_ms=9_000)
        self.request_slot(11, deadline_ms=5_000)
        self.assertEqual(11, self.done(0)[0].message.seq)

    def test_cancelled_request_gets_no_slot(self):
        self.make()
        self.fill()
        self.request_slot(10)
        self.handle("a", messages.Cancel(10, "work"))
        self.assertEqual([], self.done(0))

    def test_request_that_cannot_finish_is_refused_on_arrival(self):
        self.make()
        sends = self.request_slot(1, deadline_ms=100)
        self.assertEqual(messages.RefusalReason.OVERLOADED, self.refusal(sends))
        self.assertGreater(sends[0].message.retry_after_ms, 0)

    def test_refusal_names_the_resource_that_no_vm_has(self):
        self.make(_view(needs_accelerators=1))
        sends = self.request_slot(1)
        self.assertEqual("accelerators", sends[0].message.detail)

    def test_urgent_request_that_has_not_started_is_refused(self):
        self.make(_view(priority=ids.Priority.URGENT))
        self.fill()
        self.request_slot(10)
        self.now_ms += admission.URGENT_START_MS + 1
        sends = self.dispatcher.tick(self.now_ms)
        self.assertEqual(messages.RefusalReason.TOO_LATE, self.refusal(sends))

    def test_full_queue_refuses(self):
        self.make(_view(queue_limit=1))
        self.fill()
        self.request_slot(10)
        reason = self.refusal(self.request_slot(11))
        self.assertEqual(messages.RefusalReason.QUEUE_FULL, reason)

    def test_key_of_a_waiting_request_is_a_duplicate(self):
        self.make(_view(idempotent=False))
        self.fill()
        self.request_slot(10, key=7)
        reason = self.refusal(self.request_slot(11, frontend="b", key=7))
        self.assertEqual(messages.RefusalReason.DUPLICATE, reason)

    def test_key_of_a_finished_request_is_a_duplicate(self):
        self.make(_view(idempotent=False))
        self.now_ms += 5_000
        self.request_slot(1, key=7)
        self.done(1)
        reason = self.refusal(self.request_slot(2, frontend="b", key=7))
        self.assertEqual(messages.RefusalReason.DUPLICATE, reason)

    def test_key_of_a_request_that_did_not_run_may_be_used_again(self):
        self.make(_view(idempotent=False))
        self.now_ms += 5_000
        self.request_slot(1, key=7)
        self.done(1, messages.RunOutcome.NOT_RUN)
        sends = self.request_slot(2, frontend="b", key=7)
        self.assertIsInstance(sends[0].message, messages.Grant)

    def test_key_older_than_a_takeover_with_lost_gateways_is_uncertain(self):
        self.make(_view(idempotent=False), lost_runs_until_ms=60_000)
        self.now_ms += 5_000
        reason = self.refusal(self.request_slot(1, key=7, key_age_ms=5_000))
        self.assertEqual(messages.RefusalReason.MAY_HAVE_RUN, reason)

    def test_key_reported_by_a_frontend_is_a_duplicate(self):
        self.make(_view(idempotent=False), report=False)
        self.report("a", keys=[messages.UsedKey("work", 7, 100)])
        self.report("b")
        reason = self.refusal(self.request_slot(1, key=7, key_age_ms=100))
        self.assertEqual(messages.RefusalReason.DUPLICATE, reason)

    def test_no_slot_is_granted_before_all_frontends_have_reported(self):
        self.make(report=False)
        self.report("a")
        self.assertEqual([], self.request_slot(1))
        self.assertEqual(1, len(self.report("b")))

    def test_unresponsive_frontend_delays_the_first_grant_only_for_a_time(self):
        self.make(report=False)
        self.report("a")
        self.request_slot(1)
        self.now_ms += dispatcher.REPORT_TIMEOUT_MS
        self.assertEqual(1, len(self.dispatcher.tick(self.now_ms)))

    def test_no_slot_is_ever_granted_without_a_quorum(self):
        self.make(report=False, quorum=2)
        self.report("a")
        self.request_slot(1)
        self.now_ms += 2 * dispatcher.REPORT_TIMEOUT_MS
        self.assertEqual([], self.dispatcher.tick(self.now_ms))
        self.assertEqual(1, len(self.report("b")))

    def test_reported_runs_occupy_their_slots(self):
        self.make(report=False)
        runs = [messages.Running(n, "work", "vm-0", "t", 0, 10) for n in (5, 6)]
        self.report("b", runs)
        self.report("a")
        vms = {self.request_slot(seq)[0].message.vm for seq in (1, 2)}
        self.assertEqual({"vm-1"}, vms)

    def test_grant_missing_from_a_report_is_removed(self):
        self.make()
        self.request_slot(1)
        self.report("a")
        self.assertEqual(0, self.dispatcher.running_count)

    def test_no_slot_is_granted_while_a_report_is_due(self):
        """Guards against a grant and a report that cross on the network.

        The report lacked the grant, so its slot was freed while the frontend
        used it.
        """
        self.make()
        self.now_ms += dispatcher.REPORT_TIMEOUT_MS
        self.dispatcher.set_roster(ids.Epoch(2), _FRONTENDS, self.now_ms)
        self.assertEqual([], self.request_slot(1))
        self.report("a", epoch=2)
        self.assertEqual(1, len(self.request_slot(1)))

    def test_reconnected_frontend_gets_no_grant_before_it_reports(self):
        self.make()
        self.now_ms += dispatcher.REPORT_TIMEOUT_MS
        self.dispatcher.require_report("a")
        self.assertEqual([], self.request_slot(1))
        self.assertEqual(1, len(self.request_slot(2, frontend="b")))

    def test_reconnected_frontend_gets_no_answer_to_its_previous_instance(self):
        """Guards against a refusal that reaches the wrong process.

        A refusal for the previous process had the number of a request of the
        restarted process, which took it as its own.
        """
        self.make()
        self.fill()
        self.request_slot(10)
        self.dispatcher.require_report("a")
        self.now_ms += 20_000
        self.assertEqual([], self.dispatcher.tick(self.now_ms))

    def test_report_of_an_older_epoch_changes_nothing(self):
        self.make()
        self.now_ms += dispatcher.REPORT_TIMEOUT_MS
        self.request_slot(1)
        self.dispatcher.set_roster(ids.Epoch(2), _FRONTENDS, self.now_ms)
        self.report("a", epoch=1)
        self.assertEqual(1, self.dispatcher.running_count)

    def test_leaving_vm_gets_no_request_and_is_idle_once_empty(self):
        self.make()
        vm = self.request_slot(1)[0].message.vm
        view = _view()
        view.vms[vm] = dispatcher_simulation.slots.VmView(
            view.vms[vm].vm_settings, False, 2
        )
        self.dispatcher.reconfigure(view, self.now_ms)
        others = {self.request_slot(seq)[0].message.vm for seq in (2, 3)}
        self.assertNotIn(vm, others)
        self.assertFalse(self.dispatcher.drain_state(vm, self.now_ms).idle)
        self.done(1)
        answer = self.dispatcher.drain_state(vm, self.now_ms)
        self.assertTrue(answer.idle)
        self.assertEqual(2, answer.generation)

    def test_serving_vm_is_never_idle(self):
        self.make()
        self.assertFalse(self.dispatcher.drain_state("vm-0", 0).idle)

    def test_grants_of_a_lost_frontend_block_a_drain_until_they_expire(self):
        self.make()
        vm = self.request_slot(1)[0].message.vm
        view = _view()
        view.vms[vm] = dispatcher_simulation.slots.VmView(
            view.vms[vm].vm_settings, False, 2
        )
        self.dispatcher.reconfigure(view, self.now_ms)
        self.dispatcher.set_roster(ids.Epoch(2), {"b": "i"}, self.now_ms)
        self.report("b", epoch=2)
        self.assertFalse(self.dispatcher.drain_state(vm, self.now_ms).idle)
        limit_ms = 60_000 + grants.GRANT_VALID_MS
        self.now_ms += limit_ms
        self.dispatcher.tick(self.now_ms)
        self.assertTrue(self.dispatcher.drain_state(vm, self.now_ms).idle)

    def test_restarted_frontend_does_not_free_its_earlier_grants(self):
        """Guards against runs of the previous process that are freed too early.

        The report of the restarted process does not list them, and they were
        freed although they still ran.
        """
        self.make()
        vm = self.request_slot(1)[0].message.vm
        restarted = _FRONTENDS | {"a": "j"}
        self.dispatcher.set_roster(ids.Epoch(2), restarted, self.now_ms)
        for frontend in _FRONTENDS:
            self.report(frontend, epoch=2)
        self.assertEqual(1, self.dispatcher.running_on(vm))

    def test_suspended_dispatcher_refuses_all_waiting_requests(self):
        self.make()
        self.fill()
        self.request_slot(10)
        sends = self.dispatcher.suspend()
        self.assertEqual(messages.RefusalReason.ISOLATED, self.refusal(sends))
        self.assertEqual([], self.done(0))

    def test_retry_avoids_the_rack_of_the_failed_vm(self):
        view = dispatcher_simulation.pool_view(
            [_QUEUE], vms=8, slots_per_vm=_SLOTS
        )
        self.make(view)
        sends = self.request_slot(1, avoid=("vm-0",))
        rack = view.vms[sends[0].message.vm].vm_settings.rack
        self.assertEqual("rack-1", rack)

    def test_team_with_many_requests_does_not_starve_another(self):
        self.make()
        for seq in range(40):
            self.request_slot(seq, team="flood", deadline_ms=60_000)
        for seq in range(4):
            self.now_ms += 500
            self.done(seq)
        self.request_slot(100, frontend="b", team="calm", deadline_ms=60_000)
        granted = self.done(4)[0]
        self.assertEqual(("b", 100), (granted.frontend, granted.message.seq))
