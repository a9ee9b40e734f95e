"""Tests of the stored form of a job."""

import msgspec
import testtools

from support import jobs
from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.jobs import record
from wagtailtiller.jobs import task as task_module


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

    def test_terms_are_stored(self):
        """Guards against a job that a new owner cannot plan."""
        self.job.terms = jobs.queue(max_attempts=5).terms
        self.assertEqual(5, self.stored().terms.max_attempts)

    def test_record_of_an_earlier_version_is_read(self):
        """Guards against jobs that an upgrade loses."""
        document = msgspec.msgpack.decode(record.encode(self.job))
        self.assertNotIn("terms", document)
        old = record.decode(msgspec.msgpack.encode(document))
        self.assertIsNone(old.ok.terms)

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

    def crash(self, job, number, position=0, is_certain=True):
        instance = task_module.VmInstance(ids.VmId(f"vm-{number}"), number)
        return job.record_crash(self.task(job, position), instance, is_certain)

    def test_crashes_are_stored(self):
        """Guards against a takeover after which crashes count from zero."""
        self.crash(self.job, 1, position=1)
        self.crash(self.job, 2, position=1)
        stored = self.stored()
        self.assertEqual(
            self.task(self.job, 1).crashed_on, self.task(stored, 1).crashed_on
        )
        self.assertEqual(set(), self.task(stored, 0).crashed_on)
        self.assertIs(model.JobState.QUEUED, stored.state)
        self.crash(stored, 3, position=1)
        self.assertIs(model.JobState.FAILED, stored.state)

    def test_crashes_failed_runs_and_done_tasks_are_stored_together(self):
        """Guards against progress that hides other progress of its step."""
        self.job.mark_done(self.task(self.job, 0))
        self.job.record_failure(self.task(self.job, 1), 4, max_attempts=3)
        self.crash(self.job, 1, position=1)
        stored = self.stored()
        self.assertTrue(self.task(stored, 0).done)
        self.assertEqual({4}, self.task(stored, 1).failed_runs)
        self.assertEqual(1, len(self.task(stored, 1).crashed_on))

    def test_record_without_crashes_is_read(self):
        """Guards against jobs that are lost with the next version."""
        self.job.mark_done(self.task(self.job, 1))
        document = msgspec.msgpack.decode(record.encode(self.job))
        document["progress"] = [row[:4] for row in document["progress"]]
        stored = record.decode(msgspec.msgpack.encode(document)).ok
        self.assertTrue(self.task(stored, 1).done)
        self.assertEqual(set(), self.task(stored, 1).crashed_on)

    def test_crash_under_an_unknown_task_is_an_error(self):
        """Guards against an owner that a damaged record stops."""
        self.crash(self.job, 1, position=1)
        document = msgspec.msgpack.decode(record.encode(self.job))
        document["progress"][0][4][0][2] = [7]
        broken = msgspec.msgpack.encode(document)
        self.assertTrue(record.decode(broken).is_error())

    def test_instance_under_many_tasks_is_stored_once(self):
        """Guards against records that grow with the tasks on a crashed VM."""
        job = jobs.job("b" * 16, jobs.spec(jobs.step(1_000)))
        empty_bytes = len(record.encode(job))
        for position in range(1_000):
            self.crash(job, 1, position)
        self.assertLess(len(record.encode(job)) - empty_bytes, 3_100)

    def test_third_crash_fails_the_job(self):
        """A task that crashes its VMs was started again for ever."""
        for number in (1, 2):
            self.assertTrue(self.crash(self.job, number))
            self.assertFalse(self.crash(self.job, number))
            self.assertFalse(self.job.is_final())
        self.assertTrue(self.crash(self.job, 3))
        self.assertIs(model.JobState.FAILED, self.job.state)
        self.assertFalse(self.crash(self.job, 4))

    def test_done_task_has_no_crashes(self):
        """Guards against crashes that count after the task has succeeded."""
        self.crash(self.job, 1)
        self.task(self.job).lost_on.add(task_module.VmInstance("vm-2", 2))
        self.job.mark_done(self.task(self.job))
        self.assertEqual(set(), self.task(self.job).suspected_of())
        self.assertFalse(self.crash(self.job, 3))

    def test_crashes_under_different_members_of_a_gang_do_not_fail_it(self):
        """Guards against a gang that fails with one crash under each task."""
        gang = jobs.job("b" * 16, jobs.spec(jobs.step(3, gang=True)))
        instance = task_module.VmInstance
        for run in (1, 2, 3):
            gang.record_crash(self.task(gang, run % 3), instance("vm-2", run))
        self.assertFalse(gang.is_final())
        self.assertEqual(1, len(self.task(gang, 1).crashed_on))
        for run in (4, 5):
            gang.record_crash(self.task(gang, 1), instance("vm-2", run))
        self.assertIs(model.JobState.FAILED, gang.state)

    def test_doubtful_crashes_alone_fail_the_job_later(self):
        """Guards against jobs that fail with fewer than two certain crashes.

        A task that crashes its VMs before they respond is started at most twice
        more after the third crash.
        """
        self.crash(self.job, 1)
        for number in (2, 3, 4):
            self.crash(self.job, number, is_certain=False)
            self.assertIs(model.JobState.QUEUED, self.job.state)
        stored = self.stored()
        self.assertEqual(
            self.task(self.job).doubtful_on, self.task(stored).doubtful_on
        )
        certain = self.stored()
        self.crash(certain, 5)
        self.assertIs(model.JobState.FAILED, certain.state)
        self.crash(stored, 5, is_certain=False)
        self.assertIs(model.JobState.FAILED, stored.state)

    def test_two_certain_crashes_and_a_doubtful_one_fail_the_job(self):
        """Guards against a task that crashes more VMs than it may."""
        self.crash(self.job, 1, is_certain=False)
        self.crash(self.job, 2)
        self.assertFalse(self.job.is_final())
        self.crash(self.job, 3)
        self.assertIs(model.JobState.FAILED, self.job.state)
