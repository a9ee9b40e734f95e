"""Tests of the ranking of jobs."""

import testtools

from support import jobs
from wagtailtiller.scheduling import ranking

_NOW_MS = 100_000


class RankingTest(testtools.TestCase):
    def rank(self, name, age_ms, *steps):
        job = jobs.job(name * 16, jobs.spec(*steps))
        return ranking.rank(job, _NOW_MS - age_ms, jobs.queue(), _NOW_MS)

    def test_the_earliest_deadline_ranks_first(self):
        older = self.rank("a", 300, jobs.step(estimate_ms=1_000))
        younger = self.rank("b", 100, jobs.step(estimate_ms=1_000))
        self.assertLess(older, younger)

    def test_a_job_that_is_late_ranks_behind_one_that_is_on_time(self):
        late = self.rank("a", 1_300, jobs.step(estimate_ms=1_000))
        on_time = self.rank("b", 0, jobs.step(estimate_ms=4_000))
        self.assertIs(ranking.Lateness.LATE, late.lateness)
        self.assertLess(on_time, late)

    def test_a_job_without_value_ranks_last(self):
        too_late = self.rank("a", 9_000, jobs.step(estimate_ms=1_000))
        late = self.rank("b", 3_000, jobs.step(estimate_ms=1_000))
        self.assertLess(late, too_late)

    def test_finished_steps_do_not_count_in_the_critical_path(self):
        steps = (
            jobs.step(estimate_ms=1_000),
            jobs.step(estimate_ms=1_000, after=(0,)),
        )
        job = jobs.job("a" * 16, jobs.spec(*steps))
        self.assertEqual(2_000, job.remaining_critical_path_ms())
        job.mark_done(job.steps(0)[0].tasks[0])
        self.assertEqual(1_000, job.remaining_critical_path_ms())

    def test_a_repeated_job_does_not_grow_late_with_its_occurrences(self):
        """Guards against late occurrences that start behind all other jobs."""
        content = jobs.spec(jobs.step(estimate_ms=100), repeat_count=50)
        job = jobs.job("a" * 16, content)
        rank = ranking.rank(job, _NOW_MS - 60_000, jobs.queue(), _NOW_MS)
        self.assertIs(ranking.Lateness.ON_TIME, rank.lateness)


class OrderTest(testtools.TestCase):
    def test_long_running_jobs_at_a_peak_are_not_deferred(self):
        """Guards against long-running jobs that start behind all others."""

        def contender(name, deadline_ms, work_ms):
            return ranking.Contender(
                name,
                ranking.Lateness.ON_TIME,
                0,
                _NOW_MS - 50,
                deadline_ms,
                deadline_ms,
                work_ms,
                1.0 if work_ms else 0.0,
            )

        long_running = contender("a" * 16, _NOW_MS - 50, 0.0)
        others = [
            contender(f"{n:016x}", _NOW_MS + 500, 300.0) for n in range(5)
        ]
        placings = ranking.order([long_running, *others], _NOW_MS)
        group = placings[long_running.job].group
        self.assertIs(ranking.Group.ON_TIME, group)
