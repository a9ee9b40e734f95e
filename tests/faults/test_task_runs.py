"""Tests of the search for tasks that ran twice."""

import testtools

from support.faults import task_runs
from support.standins import workers

_TASK = "00000000000000a1.0.0.0"
_OTHER_TASK = "00000000000000a1.0.0.1"


def _record(started_ms, ended_ms, how="done", acknowledged_ms=0, task=_TASK):
    return workers.Record(
        task, 1, "i-1", started_ms, ended_ms, how, acknowledged_ms
    )


class TaskRunsTest(testtools.TestCase):
    def test_runs_at_the_same_time_are_found(self):
        first, second = _record(10, 30), _record(20, 40)
        found = task_runs.find_overlapping([second, first])
        self.assertEqual([(first, second)], found)

    def test_a_run_that_goes_on_overlaps_each_later_one(self):
        first, second = _record(10, 0, ""), _record(20, 40)
        third = _record(50, 60)
        found = task_runs.find_overlapping([first, second, third])
        self.assertEqual([(first, second), (first, third)], found)

    def test_runs_of_different_tasks_and_successive_runs_do_not_overlap(self):
        records = [
            _record(10, 30),
            _record(30, 40),
            _record(20, 50, task=_OTHER_TASK),
        ]
        self.assertEqual([], task_runs.find_overlapping(records))

    def test_start_after_an_acknowledged_end_as_done_is_found(self):
        first, second = _record(10, 20, "done", 90), _record(30, 40)
        found = task_runs.find_started_after_done([first, second])
        self.assertEqual([(first, second)], found)

    def test_start_after_other_ends_is_allowed(self):
        records = [
            _record(10, 20, "lapsed", 25),
            _record(30, 40, "done", 0),
            _record(50, 60, "failed", 70),
            _record(80, 90, "done", 95),
        ]
        self.assertEqual([], task_runs.find_started_after_done(records))
