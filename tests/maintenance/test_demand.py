"""Tests of the number of machines that a pool needs, by load pattern."""

import testtools

from wagtailtiller.maintenance import demand

_CORES = 32.0
_STEP_MS = 200


class DemandEstimatorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.estimator = demand.DemandEstimator()
        self.at_ms = 0
        self.jobs = 0
        self.core_ms = 0.0

    def add_sample(
        self,
        jobs=0,
        job_core_ms=0.0,
        waiting=0.0,
        running=0.0,
        long_running=0.0,
    ):
        """Add a sample one step after the last one.

        Args:
            jobs: Number of jobs that arrived during the step.
            job_core_ms: Work of each of them, in core-milliseconds.
            waiting: CPU demand of waiting tasks, in cores.
            running: CPU demand of running short tasks, in cores.
            long_running: CPU demand of long-running tasks, in cores.
        """
        self.at_ms += _STEP_MS
        self.jobs += jobs
        self.core_ms += jobs * job_core_ms
        self.estimator.add(
            demand.LoadSample(
                self.at_ms,
                self.core_ms,
                self.jobs,
                int(waiting * 1_000),
                int(running * 1_000),
                int(long_running * 1_000),
                0,
            )
        )

    def machines_needed(self):
        return self.estimator.machines_needed(_CORES, present_machines=1)

    def test_one_large_job_needs_the_machines_that_its_tasks_can_use(self):
        self.add_sample()
        self.add_sample(jobs=1, job_core_ms=300_000, waiting=80)
        self.assertEqual(3, self.machines_needed())

    def test_a_burst_of_many_small_jobs_needs_machines_before_they_queue(self):
        for _ in range(4):
            self.add_sample(jobs=4, job_core_ms=12_000, running=32)
        self.assertGreater(self.machines_needed(), 4)

    def test_a_steady_rate_of_small_jobs_is_met_by_machines(self):
        """Guards against a margin for chance that leaves a long peak short."""
        for _ in range(8):
            self.add_sample(jobs=4, job_core_ms=32_000)
        arriving_cores = 4 * 32 * 1_000 / _STEP_MS
        self.assertGreaterEqual(
            self.machines_needed() * _CORES, 0.95 * arriving_cores
        )

    def test_machines_are_no_longer_needed_after_a_burst(self):
        for _ in range(4):
            self.add_sample(jobs=4, job_core_ms=12_000, running=32)
        for _ in range(9):
            self.add_sample()
        self.assertEqual(1, self.machines_needed())

    def test_a_short_lull_does_not_lower_the_need(self):
        for _ in range(4):
            self.add_sample(jobs=4, job_core_ms=12_000, running=32)
        before = self.machines_needed()
        self.add_sample()
        self.assertEqual(before, self.machines_needed())

    def test_a_new_owner_with_fewer_but_larger_jobs_is_recognised(self):
        # Only the job count falls. The square root of a negative difference
        # would be an error.
        self.add_sample(jobs=4, job_core_ms=10_000)
        self.jobs = 0
        self.core_ms = 0.0
        self.add_sample(jobs=1, job_core_ms=300_000, waiting=80)
        self.assertEqual(3, self.machines_needed())

    def test_a_new_owner_that_counts_from_zero_restarts_the_average(self):
        for _ in range(4):
            self.add_sample(jobs=4, job_core_ms=12_000)
        self.jobs = 0
        self.core_ms = 0.0
        for _ in range(10):
            self.add_sample()
        self.assertEqual(1, self.machines_needed())
