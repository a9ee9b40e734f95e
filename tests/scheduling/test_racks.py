"""Tests of racks that fail as a unit.

Load pattern: a rack loses its network for seconds during the peak of its pool,
while hundreds of tasks wait and start on any VM that seems to be usable.
"""

from support import jobs
from tests.scheduling import test_pool
from wagtailtiller import events
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import vm as vm_module

_TIMEOUT_MS = 700
_PLAN_MS = 100
_RACKS = ("r1", "r2", "r3", "r4")
_VMS_PER_RACK = 6


class RacksTest(test_pool.PoolTest):
    def setUp(self):
        super().setUp()
        self.logged = []
        self.patch(
            events, "emit", lambda event, **f: self.logged.append((event, f))
        )
        for rack in _RACKS:
            for number in range(_VMS_PER_RACK):
                self.add_vm(f"{rack}-{number}", labels=("a", rack))
        self.wait(3 * _PLAN_MS)

    def rack(self, name):
        return [vm for vm in self.pool.vms.values() if vm.rack == name]

    def plan(self):
        """Return the VMs on which runs start and those that are probed."""
        decisions = self.pool.plan()
        starts = [d for d in decisions if isinstance(d, commands.Start)]
        return (
            {start.vm for start in starts},
            {d.vm for d in decisions if isinstance(d, commands.Probe)},
        )

    def wait(self, duration_ms, dark=()):
        """Let all VMs but the dark ones answer, and plan, at short intervals.

        Returns:
            VMs on which runs started and VMs that were probed in that time.
        """
        started, probed = set(), set()
        for _ in range(duration_ms // _PLAN_MS):
            self.clock.advance(_PLAN_MS - len(self.pool.vms) + len(dark))
            for vm in self.pool.vms.values():
                if vm not in dark:
                    self.answer(vm)
            plan = self.plan()
            started |= plan[0]
            probed |= plan[1]
        return started, probed

    def fail(self, *vms):
        for vm in vms:
            self.pool.vm_tracker.mark_unresponsive(
                vm, self.clock.now_ms - _TIMEOUT_MS
            )

    def suspected(self):
        return [f for e, f in self.logged if e is events.Event.RACK_SUSPECT]

    def test_a_rack_that_goes_dark_in_the_peak_gets_no_more_tasks(self):
        dark = self.rack("r1")
        self.wait(_TIMEOUT_MS, dark)
        self.fail(*dark[:2])
        _, probed = self.plan()
        self.assertEqual({vm.report.vm for vm in dark[2:]}, probed)
        for number in range(40):
            self.add_job(f"{number:02}", jobs.step(8, cpu_millicores=9_000))
        started, _ = self.wait(1_500, dark)
        self.assertEqual(set(), started & {vm.report.vm for vm in dark})
        self.assertEqual(18, len(started))
        (logged,) = self.suspected()
        self.assertEqual((2, 2), (logged["silent"], logged["asked"]))
        self.assertEqual(
            (0, 18), (logged["other_silent"], logged["other_asked"])
        )

    def test_a_vm_of_a_suspect_rack_that_answers_is_used_at_once(self):
        dark = self.rack("r1")
        self.wait(_TIMEOUT_MS, dark)
        self.fail(*dark[:2])
        self.plan()
        self.clock.advance(5)
        self.answer(dark[2])
        self.add_job("a", jobs.step(400, cpu_millicores=9_000))
        started, _ = self.plan()
        self.assertIn(dark[2].report.vm, started)
        self.assertNotIn(dark[3].report.vm, started)

    def test_an_answer_to_an_earlier_call_does_not_clear_a_vm(self):
        dark = self.rack("r1")
        self.wait(_TIMEOUT_MS, dark)
        self.fail(*dark[:2])
        self.plan()
        dark[2].record_answer(self.clock.now_ms - 1, self.clock.now_ms + 1)
        self.assertTrue(dark[2].is_held_back(self.clock.now_ms + 1))

    def test_a_rack_without_an_answer_is_used_again_after_two_seconds(self):
        dark = self.rack("r1")
        self.wait(_TIMEOUT_MS, dark)
        self.fail(*dark[:2])
        self.wait(2_100, dark)
        self.add_job("a", jobs.step(400, cpu_millicores=9_000))
        started, _ = self.plan()
        self.assertIn(dark[3].report.vm, started)

    def test_single_vms_that_fail_do_not_make_a_rack_suspect(self):
        dark = [self.rack(rack)[0] for rack in _RACKS[:2]]
        self.wait(_TIMEOUT_MS, dark)
        self.fail(*dark)
        _, probed = self.wait(1_000, dark)
        self.assertEqual(set(), probed)
        self.assertEqual([], self.suspected())

    def test_two_failed_vms_of_a_rack_that_otherwise_answers_are_no_rack(self):
        dark = self.rack("r1")[:2]
        self.wait(_TIMEOUT_MS, dark)
        self.fail(*dark)
        self.assertEqual([], self.suspected())
        _, probed = self.wait(1_000, dark)
        self.assertEqual(set(), probed)

    def test_a_late_owner_that_hears_from_no_rack_holds_no_vm_back(self):
        dark = [vm for vm in self.pool.vms.values() if vm.rack != "r4"]
        self.wait(_TIMEOUT_MS, list(self.pool.vms.values()))
        self.fail(*dark)
        _, probed = self.plan()
        self.assertEqual(set(), probed)
        self.assertEqual([], self.suspected())
        self.assertEqual(0, self.unresponsive_millicores())

    def test_half_of_all_racks_silent_makes_no_rack_suspect(self):
        dark = [vm for r in _RACKS for vm in self.rack(r)[: _VMS_PER_RACK // 2]]
        self.wait(_TIMEOUT_MS, dark)
        self.fail(*dark)
        _, probed = self.plan()
        self.assertEqual(set(), probed)
        self.assertEqual([], self.suspected())

    def test_the_only_rack_of_a_pool_is_never_suspect(self):
        for rack in _RACKS[1:]:
            for vm in self.rack(rack):
                del self.pool.vms[vm.report.vm]
        dark = self.rack("r1")
        self.wait(_TIMEOUT_MS, dark)
        self.fail(*dark[:3])
        _, probed = self.plan()
        self.assertEqual(set(), probed)
        self.assertEqual([], self.suspected())

    def test_an_owner_whose_plans_are_late_holds_no_vm_back(self):
        dark = self.rack("r1")
        self.clock.advance(900)
        self.fail(*dark[:2])
        for vm in self.pool.vms.values():
            if vm not in dark:
                self.answer(vm)
        _, probed = self.plan()
        self.assertEqual(set(), probed)
        self.assertEqual(0, self.unresponsive_millicores())

    def test_at_most_a_third_of_the_pool_is_held_back(self):
        for number in range(_VMS_PER_RACK, 24):
            self.add_vm(f"r1-{number}", labels=("a", "r1"))
        self.wait(2 * _PLAN_MS)
        dark = self.rack("r1")
        self.wait(_TIMEOUT_MS, dark)
        self.fail(*dark[:2])
        _, probed = self.plan()
        self.assertEqual(len(self.pool.vms) // 3, len(probed))

    def test_a_rack_that_is_vacated_and_switched_off_is_not_suspect(self):
        dark = self.rack("r1")
        for vm in dark:
            vm.closed_until_ms = self.clock.now_ms + 3_000
        self.wait(_TIMEOUT_MS, dark)
        self.fail(*dark)
        _, probed = self.plan()
        self.assertEqual(set(), probed)
        self.assertEqual([], self.suspected())
        self.assertEqual(0, self.unresponsive_millicores())

    def test_the_capacity_of_a_dark_rack_is_asked_for_before_leases_end(self):
        dark = self.rack("r1")
        self.wait(_TIMEOUT_MS, dark)
        self.fail(*dark)
        self.plan()
        capacity = dark[0].report.capacity.cpu_millicores
        self.assertEqual(
            _VMS_PER_RACK * capacity, self.unresponsive_millicores()
        )
        for vm in dark:
            self.answer(vm)
        self.assertIs(vm_module.VmStatus.USABLE, dark[0].status)
        self.assertEqual(0, self.unresponsive_millicores())

    def test_an_owner_that_has_just_taken_over_suspects_no_rack(self):
        job = self.add_job("a").job
        self.take_over(job)
        for rack in _RACKS:
            for number in range(_VMS_PER_RACK):
                self.pool.vm_tracker.register(
                    test_pool.fake_vms.report(
                        f"{rack}-{number}", labels=("a", rack)
                    )
                )
        self.plan()
        self.clock.advance(_PLAN_MS)
        self.fail(*self.rack("r1"))
        _, probed = self.plan()
        self.assertEqual(set(), probed)

    def unresponsive_millicores(self):
        return self.pool.rack_monitor.unresponsive_millicores(self.clock.now_ms)
