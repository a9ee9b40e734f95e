"""Tests of the cost of delaying jobs, and of shares of organisations."""

import testtools

from support import jobs
from wagtailtiller import ids
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import cost
from wagtailtiller.scheduling import fair_share


class WorkTest(testtools.TestCase):
    def test_the_resource_that_is_scarcer_in_the_pool_decides(self):
        """Guards against tasks with much memory that count as small."""
        capacity = vms.Resources(cpu_millicores=10_000, memory_mb=10_000)
        spec = jobs.spec(
            jobs.step(2, cpu_millicores=1_000, memory_mb=4_000, estimate_ms=500)
        )
        self.assertEqual(400.0, cost.spec_work(spec).pool_ms(capacity))

    def test_tasks_that_are_done_need_no_capacity(self):
        job = jobs.job("a" * 16, jobs.spec(jobs.step(2)))
        before = cost.remaining_work(job)
        job.mark_done(job.steps(0)[0].tasks[0])
        after = cost.remaining_work(job)
        self.assertEqual(before.core_ms / 2, after.core_ms)
        self.assertEqual(before.memory_ms / 2, after.memory_ms)


class ValueTest(testtools.TestCase):
    def test_a_late_job_keeps_a_fifteenth_until_three_times_its_target(self):
        self.assertEqual(1.0, cost.value_share(1_000, 1_000))
        self.assertAlmostEqual(1 / 15, cost.value_share(3_000, 1_000))
        self.assertEqual(0.0, cost.value_share(3_001, 1_000))

    def test_a_job_with_more_time_is_more_likely_on_time(self):
        error = cost.EstimateError()
        self.assertLess(
            error.on_time_probability(900, 1_000),
            error.on_time_probability(1_600, 1_000),
        )
        self.assertEqual(0.0, error.on_time_probability(0, 1_000))

    def test_a_size_that_is_rarely_on_time_is_protected(self):
        """Guards against a queue in which only small jobs are served."""
        sizes = cost.QueueSizes()
        for number in range(100):
            sizes.add(cost.Work(float(number), 0.0), float(number))
        self.assertIs(cost.Size.TOP, sizes.size(95.0))
        self.assertIs(cost.Size.UPPER, sizes.size(80.0))
        for _ in range(10):
            sizes.record_outcome(cost.Size.ORDINARY, on_time=True)
            sizes.record_outcome(cost.Size.UPPER, on_time=True)
            sizes.record_outcome(cost.Size.TOP, on_time=False)
        self.assertTrue(sizes.is_protected(cost.Size.TOP))
        self.assertFalse(sizes.is_protected(cost.Size.UPPER))


class FairShareTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.hot = _organisation("hot", 1.0)
        self.calm = _organisation("calm", 1.0)
        self.share = fair_share.FairShare()
        self.share.set_organisations(
            {o.organisation: o for o in (self.hot, self.calm)}
        )

    def tags(self, now_ms):
        tags = self.share.begin(["hot", "calm"], now_ms)
        return tags.take("hot", 100.0), tags.take("calm", 100.0)

    def test_an_organisation_that_has_used_more_comes_later(self):
        self.tags(0)
        self.share.charge("hot", 500.0, 0)
        hot, calm = self.tags(0)
        self.assertGreater(hot, calm)

    def test_use_of_some_seconds_ago_no_longer_counts(self):
        self.tags(0)
        self.share.charge("hot", 500.0, 0)
        hot, calm = self.tags(15_000)
        self.assertEqual(hot, calm)

    def test_an_idle_organisation_does_not_save_up_a_share(self):
        """Guards against an organisation that returns and takes the pool."""
        self.share.begin(["hot"], 0)
        self.share.charge("hot", 1_000.0, 0)
        hot, calm = self.tags(0)
        self.assertEqual(hot, calm)

    def test_jobs_beyond_the_weight_are_known_until_the_bucket_fills(self):
        rates = fair_share.JobRates()
        self.assertTrue(rates.take(self.hot, 0))
        self.assertTrue(rates.take(self.hot, 0))
        self.assertFalse(rates.take(self.hot, 0))
        self.assertGreater(rates.wait_ms(self.hot, 0), 0)
        self.assertEqual(0, rates.wait_ms(self.hot, 3_000))
        self.assertEqual(0, rates.wait_ms(self.calm, 0))


def _organisation(name, weight):
    return catalogue.Organisation(
        ids.OrganisationId(name), weight, vms.Resources()
    )
