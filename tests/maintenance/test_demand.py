"""Tests of how many machines a pool asks for, by pattern of load."""

import testtools

from wagtailtiller.maintenance import demand

_CORES = 32.0
_STEP_MS = 200


class DemandTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.need = demand.Demand()
        self.at_ms = 0
        self.jobs = 0
        self.core_ms = 0.0

    def x(
        self, jobs=0, job_core_ms=0.0, idle=0.0, running=0.0, long_running=0.0
    ):
        """Let a look's time pass in which jobs come; sizes in cores."""
        self.at_ms += _STEP_MS
        self.jobs += jobs
        self.core_ms += jobs * job_core_ms
        self.need.note(
            demand.PoolLoad(
                self.at_ms,
                self.core_ms,
                self.jobs,
                int(idle * 1_000),
                int(running * 1_000),
                int(long_running * 1_000),
                0,
            )
        )

    def machines(self):
        return self.need.machines(_CORES, present=1)

    def test_one_large_job_asks_for_what_it_can_use(self):
        self.x()
        self.x(jobs=1, job_core_ms=300_000, idle=80)
        self.assertEqual(3, self.machines())

    def test_a_turn_of_many_small_jobs_asks_ahead_of_its_backlog(self):
        for _ in range(4):
            self.x(jobs=4, job_core_ms=12_000, running=32)
        self.assertGreater(self.machines(), 4)

    def test_a_turn_that_has_ended_is_let_go(self):
        for _ in range(4):
            self.x(jobs=4, job_core_ms=12_000, running=32)
        for _ in range(9):
            self.x()
        self.assertEqual(1, self.machines())

    def test_a_lull_does_not_give_machines_back(self):
        for _ in range(4):
            self.x(jobs=4, job_core_ms=12_000, running=32)
        before = self.machines()
        self.x()
        self.assertEqual(before, self.machines())

    def test_another_owner_with_fewer_but_larger_jobs_is_no_fault(self):
        self.x(jobs=4, job_core_ms=10_000)
        self.jobs = 0
        self.core_ms = 0.0
        self.x(jobs=1, job_core_ms=300_000, idle=80)
        self.assertEqual(3, self.machines())

    def test_another_owner_begins_to_count_anew(self):
        for _ in range(4):
            self.x(jobs=4, job_core_ms=12_000)
        self.jobs = 0
        self.core_ms = 0.0
        for _ in range(10):
            self.x()
        self.assertEqual(1, self.machines())
