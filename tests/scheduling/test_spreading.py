"""Tests of the spreading of tasks over racks.

Load pattern: a rack goes dark for seconds, so that a job whose tasks all run
there waits for the end of their leases, while the other racks had room.
"""

import collections

from support import jobs
from tests.scheduling import test_pool
from wagtailtiller.ports import vms

_RACKS = ("r1", "r2", "r3")


class SpreadingTest(test_pool.PoolTest):
    def add_racks(self, vms_per_rack, **fields):
        for rack in _RACKS:
            for number in range(vms_per_rack):
                self.add_vm(f"{rack}-{number}", labels=("a", rack), **fields)

    def racks(self, starts):
        return collections.Counter(
            self.pool.vms[start.vm].rack for start in starts
        )

    def test_tasks_of_a_step_that_fill_a_vm_each_use_all_racks(self):
        self.add_racks(4)
        self.add_job("a", jobs.step(6, cpu_millicores=20_000))
        self.assertEqual(dict.fromkeys(_RACKS, 2), self.racks(self.start_all()))

    def test_a_lost_task_starts_again_on_the_rack_that_runs_none(self):
        self.add_racks(2)
        self.add_job("a", jobs.step(3, cpu_millicores=20_000))
        first = self.start_all()
        lost = next(start for start in first if start.vm.startswith("r3"))
        self.pool.remove_run(self.pool.vms[lost.vm], lost.run)
        self.assertEqual({"r3": 1}, self.racks(self.start_all()))

    def test_long_running_tasks_with_one_to_a_vm_use_all_racks(self):
        self.add_racks(6)
        self.add_job(
            "a",
            jobs.step(9, long_running=True, max_unavailable=1, max_per_vm=1),
        )
        self.assertEqual(dict.fromkeys(_RACKS, 3), self.racks(self.start_all()))

    def test_small_tasks_fill_one_vm_before_another_rack_is_used(self):
        self.add_racks(4)
        self.add_job("a", jobs.step(8, cpu_millicores=4_000))
        self.assertEqual(1, len({start.vm for start in self.start_all()}))

    def test_an_idle_vm_is_not_used_for_the_sake_of_its_rack(self):
        self.add_vm("used", labels=("a", "r1"))
        self.add_job("a", jobs.step(1, cpu_millicores=16_000))
        self.start_all()
        half = vms.Resources(16_000, 131_072, 0)
        self.add_vm("idle", labels=("a", "r2"), capacity=half)
        self.add_job("b", jobs.step(2, cpu_millicores=8_000))
        self.assertEqual({"used"}, {start.vm for start in self.start_all()})
