"""Tests of VMs that start again under their old ids."""

from support import fake_vms
from tests.scheduling import test_pool
from wagtailtiller.scheduling import vm as vm_module

_MAX_LEASE_MS = 10_000
# The longest lease of a VM with the slowest clock.
_LONGEST_MS = int(_MAX_LEASE_MS / vm_module.MIN_CLOCK_RATE)
_USUAL_LEASE_MS = 5_000
_STEP_MS = 100


class VmLivesTest(test_pool.PoolTest):
    """Guards against runs that are given up while a VM goes on with them.

    A call that was meant for the former life of a VM has set the lease of the
    next one to the longest that the VM grants.
    """

    def setUp(self):
        super().setUp()
        self.pool.max_lease_ms = _MAX_LEASE_MS
        self.clock.advance(100_000)

    def restart(self, vm):
        """Register the next life of a VM, which has not answered yet."""
        return self.pool.vm_tracker.register(
            fake_vms.report(vm.report.vm, born_ms=vm.report.born_ms + 1)
        )

    def start_on(self, vm):
        vm.lease.extend(self.clock.now_ms, _USUAL_LEASE_MS)
        return self.start_all()

    def lost_after_ms(self, vm):
        """Cut a VM off; return after which time its runs are given up."""
        self.pool.vm_tracker.mark_unresponsive(vm)
        since_ms = self.clock.now_ms
        while vm.runs and self.clock.now_ms - since_ms < 60_000:
            self.clock.advance(_STEP_MS)
            fake_vms.expire_leases(self.pool)
        return self.clock.now_ms - since_ms

    def test_runs_of_a_next_life_outlast_the_longest_lease(self):
        vm = self.add_vm("vm-1")
        vm = self.restart(vm)
        self.answer(vm)
        self.add_job("a")
        (start,) = self.start_on(vm)
        self.assertEqual("vm-1", start.vm)
        self.assertGreaterEqual(self.lost_after_ms(vm), _LONGEST_MS)

    def test_runs_of_an_only_life_end_with_the_usual_lease(self):
        """Guards against waits that all lost VMs would pay."""
        vm = self.add_vm("vm-1")
        self.add_job("a")
        self.start_on(vm)
        self.assertLess(self.lost_after_ms(vm), _LONGEST_MS)

    def test_next_life_that_has_settled_ends_with_the_usual_lease(self):
        vm = self.restart(self.add_vm("vm-1"))
        self.answer(vm)
        self.clock.advance(_LONGEST_MS)
        self.answer(vm)
        self.add_job("a")
        self.start_on(vm)
        self.assertLess(self.lost_after_ms(vm), _LONGEST_MS)

    def test_runs_of_a_next_life_that_never_answers_outlast_that_lease(self):
        """The next life may have executed the starts of the former one."""
        vm = self.add_vm("vm-1")
        self.add_job("a")
        self.start_on(vm)
        self.clock.advance(_USUAL_LEASE_MS - 1_000)
        vm = self.restart(vm)
        self.assertEqual(1, len(vm.runs))
        self.assertGreaterEqual(self.lost_after_ms(vm), _LONGEST_MS)

    def test_life_that_follows_a_removed_one_counts_as_a_next_life(self):
        vm = self.add_vm("vm-1")
        self.pool.vm_tracker.mark_unlisted("vm-1")
        self.pool.vm_tracker.mark_unresponsive(vm)
        self.clock.advance(60_000)
        self.assertEqual([vm], fake_vms.expire_leases(self.pool))
        vm = self.restart(vm)
        self.answer(vm)
        self.add_job("a")
        self.start_on(vm)
        self.assertGreaterEqual(self.lost_after_ms(vm), _LONGEST_MS)
