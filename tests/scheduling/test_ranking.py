"""Tests of who goes first."""

import testtools

from support import jobs
from wagtailtiller.scheduling import ranking

_NOW = 100_000


class RankingTest(testtools.TestCase):
    def rank(self, name, age_ms, *steps):
        job = jobs.job(name * 16, jobs.spec(*steps))
        return ranking.rank(job, _NOW - age_ms, jobs.queue(), _NOW)

    def test_the_earliest_deadline_goes_first(self):
        older = self.rank("a", 300, jobs.step(estimate_ms=1_000))
        younger = self.rank("b", 100, jobs.step(estimate_ms=1_000))
        self.assertLess(older, younger)

    def test_overload_puts_what_cannot_be_met_behind_what_can(self):
        lost = self.rank("a", 1_300, jobs.step(estimate_ms=1_000))
        fresh = self.rank("b", 0, jobs.step(estimate_ms=4_000))
        self.assertIs(ranking.Lateness.LATE, lost.lateness)
        self.assertLess(fresh, lost)

    def test_what_earns_nothing_any_more_goes_last(self):
        worthless = self.rank("a", 9_000, jobs.step(estimate_ms=1_000))
        late = self.rank("b", 3_000, jobs.step(estimate_ms=1_000))
        self.assertLess(late, worthless)

    def test_steps_under_way_count_as_nothing_left(self):
        steps = (
            jobs.step(estimate_ms=1_000),
            jobs.step(estimate_ms=1_000, after=(0,)),
        )
        job = jobs.job("a" * 16, jobs.spec(*steps))
        self.assertEqual(2_000, job.remaining_critical_path_ms())
        job.note_done(job.steps(0)[0].tasks[0])
        self.assertEqual(1_000, job.remaining_critical_path_ms())
