"""Tests of the state of repeated jobs."""

import random

import hypothesis
from hypothesis import strategies
import testtools

from support import jobs
from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.jobs import record
from wagtailtiller.jobs import task as task_module

_INTERVAL_MS = 60_000
_DUE_COUNT = 200_000
_MAX_HELD_TASKS = 2_000
# More than the largest number of occurrences that are worked on at once.
_LONG_SERIES = 5_000
# Largest value that the store accepts, and what one job may take of it.
_MAX_RECORD_BYTES = 1 << 16


def _repeated(count, *steps, **fields):
    fields = {"interval_ms": _INTERVAL_MS, **fields}
    return jobs.job("a" * 16, jobs.spec(*steps, repeat_count=count, **fields))


def _restored(job):
    return record.decode(record.encode(job)).ok


class ManyOccurrencesTest(testtools.TestCase):
    """Guards against owners whose memory grows with a caller's number."""

    def test_few_of_the_due_occurrences_are_held(self):
        job = _repeated(_DUE_COUNT)
        wall_ms = _DUE_COUNT * _INTERVAL_MS
        open_steps = list(job.ready_steps(wall_ms))
        self.assertEqual(_MAX_HELD_TASKS, len(open_steps))
        self.assertEqual(len(open_steps), len(job._occurrences))

    def test_large_occurrences_are_worked_on_one_by_one(self):
        job = _repeated(50, jobs.step(model.MAX_TASKS))
        self.assertEqual([0], list(job.open_occurrences(1 << 60)))

    def test_each_occurrence_runs_once_in_any_order_and_over_takeovers(self):
        rng = random.Random(1)
        job = _repeated(_LONG_SERIES)
        done = []
        while not job.is_final():
            open_steps = list(job.ready_steps(1 << 60))
            for step_run in rng.sample(open_steps, min(700, len(open_steps))):
                (task,) = step_run.tasks
                done.append(task.id.occurrence)
                job.mark_done(task)
            self.assertLess(len(record.encode(job)), _MAX_RECORD_BYTES)
            self.assertLessEqual(len(job._occurrences), _MAX_HELD_TASKS)
            job = _restored(job)
        self.assertEqual(list(range(_LONG_SERIES)), sorted(done))
        self.assertIs(model.JobState.COMPLETED, job.state)

    def test_occurrence_that_never_ends_holds_few_others_back(self):
        job = _repeated(_LONG_SERIES)
        for number in range(1, 1_000):
            job.mark_done(job.steps(number)[0].tasks[0])
        open_numbers = list(job.open_occurrences(1 << 60))
        self.assertEqual(0, open_numbers[0])
        self.assertEqual(1_000, open_numbers[1])
        self.assertEqual(_MAX_HELD_TASKS - 1, open_numbers[-1])

    def test_late_end_of_a_finished_occurrence_finds_its_task_done(self):
        """Guards against a second run of an occurrence that has ended."""
        job = _repeated(10, jobs.step(2))
        for task in job.steps(3)[0].tasks:
            job.mark_done(task)
        for known in (job, _restored(job)):
            self.assertTrue(known.task(model.TaskId(job.id, 3, 0, 1)).done)
            self.assertNotIn(3, known.open_occurrences(1 << 60))

    def test_tasks_of_a_finished_occurrence_stay_while_one_has_a_run(self):
        """Guards against runs that the planner cannot find to stop them."""
        job = _repeated(10)
        (task,) = job.steps(0)[0].tasks
        job.assign_run(
            task,
            task_module.Run(
                task, 1, ids.VmId("v"), task_module.RunPhase.RUNNING, 0
            ),
        )
        job.mark_done(task)
        self.assertIs(task, job.steps(0)[0].tasks[0])
        job.clear_run(task)
        self.assertEqual({}, job._occurrences)

    def test_lasting_tasks_of_too_many_occurrences_are_invalid(self):
        """They would run side by side until the job is cancelled."""
        step = jobs.step(long_running=True)
        spec = _repeated(model.MAX_TASKS + 1, step).spec
        self.assertIn("repeats", spec.validation_error())
        self.assertEqual("", _repeated(3, step).spec.validation_error())

    @hypothesis.given(
        count=strategies.integers(1, 30),
        first_ms=strategies.integers(-50, 50),
        interval_ms=strategies.integers(0, 7),
        wall_ms=strategies.integers(-60, 300),
    )
    def test_due_times_are_those_of_the_definition(
        self, count, first_ms, interval_ms, wall_ms
    ):
        job = _repeated(count, first_due_ms=first_ms, interval_ms=interval_ms)
        due_times_ms = [first_ms + k * interval_ms for k in range(count)]
        due = [k for k, ms in enumerate(due_times_ms) if ms <= wall_ms]
        self.assertEqual(due, list(job.open_occurrences(wall_ms)))
        later_ms = [ms for ms in due_times_ms if ms > wall_ms]
        self.assertEqual(min(later_ms, default=None), job.next_due_ms(wall_ms))


class DamagedRecordTest(testtools.TestCase):
    def test_unknown_occurrences_are_an_error(self):
        """Guards against a job that ends its owner when it is read."""
        job = _repeated(10)
        job.finished.add(12)
        self.assertTrue(record.decode(record.encode(job)).is_error())
