"""Tests of slow VMs.

Load pattern: some VMs turn several times slower for seconds, while jobs keep
coming and other VMs of the pool have room.
"""

from support import jobs
from tests.scheduling import test_pool
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import commands

_RUN_MS = 1_000
_STEP_MS = 100
_SLOW = "vm-0"


class StragglersTest(test_pool.PoolTest):
    def setUp(self):
        super().setUp()
        self.speed = {}
        for number in range(4):
            self.add_vm(f"vm-{number}")
        self.add_job("a", jobs.step(4, max_per_vm=1, estimate_ms=5_000))
        self.start_all()
        for vm in self.pool.vms.values():
            self.speed[vm.report.vm] = 1.0
        self.began_ms = {}
        self.progress()

    def progress(self):
        """Let each VM list its runs with their progress."""
        now_ms = self.clock.now_ms
        for vm in self.pool.vms.values():
            self.pool.vm_tracker.mark_responsive(vm, now_ms, now_ms)
            rows = []
            for task, run in vm.runs.items():
                key = (task, run.number)
                began_ms = self.began_ms.setdefault(key, now_ms)
                done = (now_ms - began_ms) / _RUN_MS
                percent = min(99, int(100 * done * self.speed[vm.report.vm]))
                rows.append(vms.ListedRun(task, run.number, "", percent, 0))
            listing = vms.Listing(now_ms, vm.report.born_ms, tuple(rows), ())
            self.pool.run_reconciler.apply_listing(
                vm, vm.token, now_ms, listing
            )

    def run_for(self, duration_ms):
        """Return the stop commands of this time."""
        stops = []
        for _ in range(duration_ms // _STEP_MS):
            self.clock.advance(_STEP_MS)
            self.progress()
            stops += [
                c for c in self.pool.plan() if isinstance(c, commands.Stop)
            ]
        return stops

    def test_a_run_on_a_slow_vm_is_started_elsewhere(self):
        self.add_vm("vm-4")
        self.speed["vm-4"] = 1.0
        self.speed[_SLOW] = 0.13
        (stop,) = self.run_for(700)
        self.assertEqual(_SLOW, stop.vm)
        self.assertEqual("straggler", stop.reason)

    def test_a_slow_vm_gets_no_tasks_until_its_time_has_passed(self):
        self.speed[_SLOW] = 0.13
        self.run_for(700)
        self.add_job("b", jobs.step(3))
        self.assertNotIn(_SLOW, [start.vm for start in self.start_all()])
        self.speed[_SLOW] = 1.0
        for run in list(self.pool.vms[_SLOW].runs.values()):
            self.pool.remove_run(self.pool.vms[_SLOW], run)
        self.clock.advance(5_000)
        self.add_job("c", jobs.step(400))
        self.assertIn(_SLOW, [start.vm for start in self.start_all()])

    def test_a_straggler_stays_if_no_other_vm_has_room(self):
        self.speed[_SLOW] = 0.13
        self.assertEqual([], self.run_for(700))

    def test_a_straggler_that_is_nearly_done_stays(self):
        self.add_vm("vm-4")
        self.speed["vm-4"] = 1.0
        self.run_for(600)
        self.speed[_SLOW] = 0.9
        self.assertEqual([], self.run_for(300))

    def test_no_vm_counts_as_slow_if_all_are(self):
        self.add_vm("vm-4")
        for vm in self.speed:
            self.speed[vm] = 0.13
        self.speed["vm-4"] = 0.13
        self.assertEqual([], self.run_for(1_500))
        now_ms = self.clock.now_ms
        self.assertFalse(
            any(vm.is_slow(now_ms) for vm in self.pool.vms.values())
        )
