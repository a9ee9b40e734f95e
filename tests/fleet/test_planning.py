"""Tests of the planned commands."""

import testtools

from tests import examples
from wagtailtiller import fleet
from wagtailtiller import ids
from wagtailtiller.fleet import planning
from wagtailtiller.ports import platform

_WAVE = ids.WaveId("wave")


def _listed_vms(catalogue, **changes):
    listed_vms = {
        vm: platform.ListedVm(vm, platform.ListedVmPhase.LIVE, 1)
        for vm in catalogue.vms
    }
    for name, listed_vm in changes.items():
        vm = ids.VmId(name.replace("_", "-"))
        listed_vms[vm] = listed_vm
        if listed_vm is None:
            del listed_vms[vm]
    return listed_vms


class ObserveTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.catalogue = examples.catalogue()
        self.fleet = examples.enrolled(self.catalogue)

    def observe(self, **changes):
        listed_vms = _listed_vms(self.catalogue, **changes)
        return planning.observe(self.fleet, self.catalogue, listed_vms)

    def test_no_command_while_all_vms_are_live(self):
        self.assertEqual([], self.observe())

    def test_vm_missing_from_the_list_has_failed(self):
        self.assertEqual([fleet.Fail("vm-0")], self.observe(vm_0=None))

    def test_leaving_vm_is_evicted(self):
        leaving = platform.ListedVm("vm-0", platform.ListedVmPhase.LEAVING, 1)
        self.assertEqual([fleet.Evict("vm-0")], self.observe(vm_0=leaving))

    def test_restart_between_two_observations_counts_as_a_failure(self):
        restarted = platform.ListedVm("vm-0", platform.ListedVmPhase.LIVE, 2)
        self.assertEqual([fleet.Fail("vm-0")], self.observe(vm_0=restarted))


class PlanTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.catalogue = examples.catalogue(max_unavailable=2, vms=10)
        self.fleet = examples.enrolled(self.catalogue)
        self.apply(fleet.StartWave(_WAVE, examples.POOL, "op"))

    def apply(self, *commands):
        for command in commands:
            outcome = fleet.apply(self.fleet, command, self.catalogue, 1)
            self.fleet = outcome.ok

    def planned(self):
        return planning.plan(self.fleet, self.catalogue)

    def test_wave_takes_as_many_vms_as_the_budget_allows(self):
        leaves = [c for c in self.planned() if isinstance(c, fleet.BeginLeave)]
        self.assertEqual(2, len(leaves))

    def test_wave_stays_in_one_rack(self):
        racks = {
            self.catalogue.vms[command.vm].rack for command in self.planned()
        }
        self.assertEqual(1, len(racks))

    def test_wave_pauses_while_failures_use_up_the_budget(self):
        self.apply(fleet.Fail("vm-0"), fleet.Fail("vm-1"))
        self.assertEqual([], self.planned())

    def test_leaving_vm_is_returned_if_failures_exceed_the_budget(self):
        self.apply(*self.planned())
        leaving = [
            vm
            for vm, record in self.fleet.vms.items()
            if record.state is fleet.VmState.LEAVING
        ]
        failed = next(
            vm
            for vm, record in self.fleet.vms.items()
            if record.pool == examples.POOL and vm not in leaving
        )
        self.apply(fleet.Fail(failed))
        cancelled = [
            command
            for command in self.planned()
            if isinstance(command, fleet.CancelLeave)
        ]
        self.assertEqual(1, len(cancelled))
