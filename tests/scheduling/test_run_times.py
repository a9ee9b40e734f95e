"""Tests of learned run times.

Load pattern: a queue's callers state a tenth of the real run times, or the
logarithm of their estimates is off by 0.9 from job to job, while a fifth of the
VMs are several times slower through two peaks.
"""

import math
import random

import testtools

from support import clocks
from support import jobs
from tests.scheduling import test_pool
from wagtailtiller import events
from wagtailtiller.jobs import task as task_module
from wagtailtiller.scheduling import run_times

_ESTIMATE_MS = 200


class RunTimesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.FakeClock()
        self.run_times = run_times.RunTimes(jobs.POOL, self.clock)
        self.count = 0

    def observe(self, *run_times_ms, queue=jobs.QUEUE, share=1.0, **fields):
        self.count += 1
        fields = {"estimate_ms": _ESTIMATE_MS, **fields}
        self.run_times.observe(
            queue,
            (f"job-{self.count}", 0, 0),
            jobs.step(8, **fields),
            run_times.Progress(run_times_ms, share),
        )
        self.clock.advance(200)

    def expected_ms(self):
        return self.run_times.expected_ms(jobs.QUEUE, _ESTIMATE_MS)

    def test_without_evidence_the_callers_estimate_is_kept(self):
        self.assertEqual(_ESTIMATE_MS, self.expected_ms())
        self.observe(9_000, queue="other")
        self.assertEqual(_ESTIMATE_MS, self.expected_ms())

    def test_estimates_that_are_nine_tenths_off_are_corrected(self):
        for _ in range(40):
            self.observe(2_000, 2_100, 1_900)
        self.assertTrue(1_600 <= self.expected_ms() <= 2_000)

    def test_estimates_that_are_ten_times_too_long_are_corrected(self):
        for _ in range(40):
            self.observe(20)
        self.assertTrue(20 <= self.expected_ms() <= 26)

    def test_one_step_does_not_outweigh_the_callers_estimates(self):
        self.observe(2_000)
        self.assertTrue(_ESTIMATE_MS < self.expected_ms() < 2 * _ESTIMATE_MS)

    def test_errors_that_vary_by_job_are_averaged(self):
        rng = random.Random(1)
        for _ in range(64):
            self.observe(_ESTIMATE_MS * math.exp(rng.gauss(0.0, 0.9)))
        self.assertTrue(0.7 < self.expected_ms() / _ESTIMATE_MS < 1.4)

    def test_a_fifth_of_slow_vms_through_two_peaks_changes_little(self):
        rng = random.Random(1)
        for _ in range(2 * 40):
            factors = [7.5 if rng.random() < 0.2 else 1.0 for _ in range(8)]
            self.observe(*(_ESTIMATE_MS * factor for factor in factors))
        self.assertTrue(0.8 < self.expected_ms() / _ESTIMATE_MS < 1.25)

    def test_steps_of_one_task_on_slow_vms_change_little(self):
        for number in range(50):
            self.observe(_ESTIMATE_MS * (7.5 if number % 5 == 0 else 1.0))
        self.assertTrue(0.8 < self.expected_ms() / _ESTIMATE_MS < 1.25)

    def test_old_evidence_fades(self):
        for _ in range(10):
            self.observe(2_000)
        learned_ms = self.expected_ms()
        self.clock.advance(600_000)
        self.assertTrue(self.expected_ms() < 1.1 * _ESTIMATE_MS < learned_ms)

    def test_little_progress_counts_little(self):
        for _ in range(5):
            self.observe(2_000, share=0.05)
        self.assertTrue(self.expected_ms() < 1.25 * _ESTIMATE_MS)

    def test_memory_is_bounded(self):
        for number in range(200):
            self.observe(2_000)
            self.observe(2_000, queue=f"queue-{number}")
        records = self.run_times._queues
        self.assertTrue(len(records) <= 64)
        self.assertTrue(all(len(r.steps) <= 64 for r in records.values()))

    def test_steps_without_an_estimate_are_ignored(self):
        self.observe(2_000, estimate_ms=0)
        self.observe(2_000, long_running=True)
        self.assertEqual(_ESTIMATE_MS, self.expected_ms())

    def test_a_correction_is_logged_once_with_its_inputs(self):
        logged = []
        self.patch(events, "emit", lambda e, **fields: logged.append(fields))
        for _ in range(64):
            self.observe(2_000)
            self.expected_ms()
        self.assertTrue(1 <= len(logged) <= 11)
        self.assertEqual(jobs.QUEUE, logged[-1]["queue"])


class LearningPoolTest(test_pool.PoolTest):
    def run_steps(self, count, run_ms):
        for number in range(count):
            self.add_job(f"{number:03}", jobs.step(estimate_ms=_ESTIMATE_MS))
            (start,) = self.start_all()
            self.clock.advance(run_ms)
            vm = self.pool.vms[start.vm]
            self.end(vm, start.run, task_module.EndKind.DONE)

    def test_demand_and_backlog_follow_the_real_run_times(self):
        vm = self.add_vm("vm-1")
        self.run_steps(30, 10 * _ESTIMATE_MS)
        vm.closed_until_ms = 1 << 60
        self.add_job("w", jobs.step(6, estimate_ms=_ESTIMATE_MS))
        startable_millicores, _ = self.pool.jobs.demand()
        # Each task takes longer than the time in which a backlog should be
        # worked off, so that all need a core at once.
        self.assertEqual(6_000, startable_millicores)
        self.assertTrue(
            6 * 1_500 < self.pool.jobs.waiting_core_ms() < 6 * 2_100
        )

    def test_the_progress_of_running_tasks_counts_before_they_end(self):
        self.add_vm("vm-1")
        for number in range(30):
            self.add_job(f"{number:03}", jobs.step(estimate_ms=_ESTIMATE_MS))
        self.start_all()
        for percent in (1, 20, 40):
            self.clock.advance(400)
            for vm in self.pool.vms.values():
                self.answer(vm, percent=percent)
            self.pool.plan()
        expected_ms = self.pool.run_times.expected_ms(jobs.QUEUE, _ESTIMATE_MS)
        self.assertTrue(1_200 < expected_ms < 2_200)

    def test_a_run_that_a_previous_owner_has_started_is_not_measured(self):
        self.add_vm("vm-1")
        job = self.add_job("w", jobs.step(estimate_ms=_ESTIMATE_MS)).job
        (start,) = self.start_all()
        self.clock.advance(10 * _ESTIMATE_MS)
        inherited = self.take_over(job)
        vm = self.pool.vm_tracker.register(test_pool.fake_vms.report("vm-1"))
        row = test_pool.vms.ListedRun(
            start.run.task.id, start.run.number, "", 90, 0
        )
        listing = test_pool.vms.Listing(self.clock.now_ms, 1, (row,), ())
        self.pool.run_reconciler.apply_listing(vm, vm.token, 1, listing)
        (run,) = vm.runs.values()
        self.clock.advance(20)
        self.end(vm, run, task_module.EndKind.DONE)
        self.assertTrue(inherited.job.is_final())
        self.assertEqual(1.0, self.pool.run_times.ratio(jobs.QUEUE))

    def test_a_takeover_loses_what_was_learned_and_learns_it_again(self):
        self.add_vm("vm-1")
        self.run_steps(30, 10 * _ESTIMATE_MS)
        job = self.add_job("w", jobs.step(estimate_ms=_ESTIMATE_MS)).job
        self.take_over(job)
        self.assertEqual(
            _ESTIMATE_MS,
            self.pool.run_times.expected_ms(jobs.QUEUE, _ESTIMATE_MS),
        )
        self.add_vm("vm-1")
        (start,) = self.start_all()
        self.clock.advance(2_000)
        vm = self.pool.vms["vm-1"]
        self.end(vm, start.run, task_module.EndKind.DONE)
        self.assertTrue(
            self.pool.run_times.expected_ms(jobs.QUEUE, _ESTIMATE_MS)
            > _ESTIMATE_MS
        )
