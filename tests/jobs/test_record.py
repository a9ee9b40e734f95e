"""Tests of the stored form of a job."""

import msgspec
import testtools

from support import jobs
from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.jobs import record


class RecordTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.job = jobs.job("a" * 16, jobs.spec(jobs.step(2), jobs.step(1)))

    def task(self, job, position=0):
        return job.steps(0)[0].tasks[position]

    def stored(self):
        return record.decode(record.encode(self.job)).ok

    def test_progress_is_stored(self):
        self.job.mark_done(self.task(self.job, 1))
        stored = self.stored()
        self.assertFalse(self.task(stored, 0).done)
        self.assertTrue(self.task(stored, 1).done)

    def test_organisation_is_stored(self):
        """Guards against a job that its organisation loses at a takeover."""
        self.job.organisation = ids.OrganisationId("press")
        self.assertEqual("press", self.stored().organisation)

    def test_progress_of_an_unknown_task_is_an_error(self):
        self.job.mark_done(self.task(self.job, 1))
        other = jobs.job("a" * 16, jobs.spec(jobs.step(2)))
        other.mark_done(other.steps(0)[0].tasks[1])
        stored = record.encode(self.job)
        self.assertTrue(record.decode(stored).is_ok())
        document = msgspec.msgpack.decode(stored)
        document["progress"][0][1] = 7
        broken = msgspec.msgpack.encode(document)
        self.assertTrue(record.decode(broken).is_error())

    def test_a_failed_run_that_a_vm_lists_again_counts_once(self):
        self.job.record_failure(self.task(self.job), 1, max_attempts=3)
        stored = self.stored()
        for _ in range(3):
            stored.record_failure(self.task(stored), 1, max_attempts=3)
        self.assertIs(model.JobState.QUEUED, stored.state)

    def test_each_failed_run_counts_in_any_order(self):
        self.job.record_failure(self.task(self.job), 2, max_attempts=3)
        stored = self.stored()
        stored.record_failure(self.task(stored), 1, max_attempts=3)
        self.assertIs(model.JobState.QUEUED, stored.state)
        stored.record_failure(self.task(stored), 34, max_attempts=3)
        self.assertIs(model.JobState.FAILED, stored.state)

    def test_failures_of_a_long_running_task_are_not_counted(self):
        long_running = jobs.job(
            "b" * 16, jobs.spec(jobs.step(long_running=True))
        )
        for number in range(100):
            long_running.record_failure(
                self.task(long_running), number, max_attempts=3
            )
        self.assertEqual(set(), self.task(long_running).failed_runs)
        self.assertFalse(long_running.is_final())
