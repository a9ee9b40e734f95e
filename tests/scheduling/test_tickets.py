"""Tests of the placement policy's tickets."""

import testtools

from wagtailtiller.jobs import model
from wagtailtiller.scheduling import tickets

_TASK = model.TaskId(model.JobId("a" * 16), 0, 1, 2)
_OTHER_TASK = model.TaskId(model.JobId("a" * 16), 0, 1, 3)


class TicketsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.tickets = tickets.Tickets()

    def test_a_ticket_is_valid_for_all_tasks_of_the_step(self):
        self.tickets.record_answer(_TASK, ["x", "y"], {"x": "t"}, 3_000)
        self.assertEqual("t", self.tickets.ticket(_OTHER_TASK, "x", 100))
        self.assertIsNone(self.tickets.ticket(_OTHER_TASK, "y", 100))

    def test_a_ticket_is_not_used_shortly_before_it_expires(self):
        self.tickets.record_answer(_TASK, ["x"], {"x": "t"}, 3_000)
        self.assertIsNone(self.tickets.ticket(_TASK, "x", 2_990))

    def test_only_one_query_about_a_step_is_pending(self):
        self.assertEqual(["x"], self.tickets.begin_query(_TASK, ["x"], 30))
        self.assertEqual([], self.tickets.begin_query(_OTHER_TASK, ["x"], 30))
        self.tickets.record_query_failure(_TASK)
        self.assertEqual(["x"], self.tickets.begin_query(_TASK, ["x"], 30))

    def test_a_denied_vm_is_not_queried_again(self):
        self.tickets.begin_query(_TASK, ["x", "y"], 30)
        self.tickets.record_answer(_TASK, ["x", "y"], {"x": "t"}, 3_000)
        self.assertEqual(["x"], self.tickets.begin_query(_TASK, ["x", "y"], 30))

    def test_a_ticket_that_a_vm_rejected_is_discarded(self):
        self.tickets.record_answer(_TASK, ["x"], {"x": "t"}, 3_000)
        self.tickets.discard(_OTHER_TASK, "x")
        self.assertIsNone(self.tickets.ticket(_TASK, "x", 100))

    def test_tickets_of_a_finished_occurrence_are_forgotten(self):
        """Guards against memory that grows with a caller's repeats."""
        later = _TASK._replace(occurrence=1)
        for task in (_TASK, later):
            self.tickets.record_answer(task, ["x"], {"x": "t"}, 3_000)
        self.tickets.remove_occurrence(_TASK.job, 0)
        self.assertIsNone(self.tickets.ticket(_TASK, "x", 100))
        self.assertEqual("t", self.tickets.ticket(later, "x", 100))
