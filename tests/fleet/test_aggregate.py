"""Tests of the rules of the fleet."""

import testtools

from tests import examples
from wagtailtiller import fleet
from wagtailtiller import ids

_WAVE = ids.WaveId("wave")
_VM = ids.VmId("vm-0")
_OTHER = ids.VmId("vm-1")


class FleetTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.catalogue = examples.catalogue()
        self.fleet = examples.enrolled(self.catalogue)

    def apply(self, *commands):
        for command in commands:
            self.fleet = fleet.apply(self.fleet, command, self.catalogue, 1).ok

    def refusal(self, command):
        outcome = fleet.apply(self.fleet, command, self.catalogue, 1)
        self.assertTrue(outcome.is_error())
        return outcome.error.rule

    def start_wave(self):
        self.apply(fleet.StartWave(_WAVE, examples.POOL, "op"))

    def leave(self, vm=_VM):
        return fleet.BeginLeave(vm, fleet.Maintain(_WAVE))

    def test_second_leave_over_budget_is_refused(self):
        self.start_wave()
        self.apply(self.leave())
        self.assertEqual("budget", self.refusal(self.leave(_OTHER)))

    def test_failure_uses_the_budget_of_a_wave(self):
        self.start_wave()
        self.apply(fleet.Fail(_OTHER))
        self.assertEqual("budget", self.refusal(self.leave()))

    def test_stop_is_refused_if_failures_exceed_the_budget(self):
        self.start_wave()
        self.apply(self.leave(), fleet.Fail(_OTHER))
        self.assertEqual("budget", self.refusal(fleet.Drained(_VM, 2)))

    def test_drained_answer_about_an_earlier_state_is_refused(self):
        self.start_wave()
        self.apply(self.leave(), fleet.CancelLeave(_VM), self.leave())
        self.assertEqual("generation", self.refusal(fleet.Drained(_VM, 2)))

    def test_second_wave_in_a_pool_is_refused(self):
        self.start_wave()
        second = fleet.StartWave(ids.WaveId("second"), examples.POOL, "op")
        self.assertEqual("wave", self.refusal(second))

    def test_repeated_start_of_one_wave_has_no_effect(self):
        self.start_wave()
        before = self.fleet
        self.start_wave()
        self.assertEqual(before, self.fleet)

    def test_move_changes_the_pool_only_when_drained(self):
        move = fleet.BeginLeave(_VM, fleet.Move(examples.SPARE))
        self.apply(move)
        self.assertEqual(examples.POOL, self.fleet.vms[_VM].pool)
        self.apply(fleet.Drained(_VM, 2))
        self.assertEqual(examples.SPARE, self.fleet.vms[_VM].pool)
        self.assertIs(fleet.VmState.SERVING, self.fleet.vms[_VM].state)

    def test_moved_vm_is_no_longer_pending_in_the_old_pools_wave(self):
        self.start_wave()
        move = fleet.BeginLeave(_VM, fleet.Move(examples.SPARE))
        self.apply(move, fleet.Drained(_VM, 2))
        self.assertNotIn(_VM, self.fleet.waves[_WAVE].pending)

    def test_pool_keeps_its_minimum_number_of_vms(self):
        self.catalogue = examples.catalogue(min_vms=4)
        move = fleet.BeginLeave(_VM, fleet.Move(examples.SPARE))
        self.assertEqual("min_vms", self.refusal(move))

    def test_stopped_vm_returns_only_after_a_restart(self):
        self.start_wave()
        self.apply(self.leave(), fleet.Drained(_VM, 2))
        self.assertEqual("boot", self.refusal(fleet.Return(_VM, 1)))
        self.apply(fleet.Return(_VM, 2))
        self.assertNotIn(_VM, self.fleet.waves[_WAVE].pending)

    def test_wave_ends_when_every_vm_was_maintained(self):
        self.start_wave()
        for vm in self.fleet.waves[_WAVE].pending:
            self.apply(self.leave(vm))
            generation = self.fleet.vms[vm].generation
            self.apply(fleet.Drained(vm, generation), fleet.Return(vm, 2))
        self.assertIs(fleet.WaveState.DONE, self.fleet.waves[_WAVE].state)

    def test_evicted_vm_leaves_regardless_of_the_budget(self):
        self.apply(fleet.Fail(_OTHER), fleet.Evict(_VM))
        self.assertIs(fleet.VmState.LEAVING, self.fleet.vms[_VM].state)
        self.assertEqual("state", self.refusal(fleet.CancelLeave(_VM)))
