"""Tests of the settings log with store faults and concurrent operators."""

import asyncio

import testtools

from support import fakes
from tests import examples
from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.settings import change_log
from wagtailtiller.settings import changes


def _change(name, revision=2, patch=None):
    return changes.Change(
        revision=ids.Revision(revision),
        change=ids.ChangeId(name),
        who=name,
        why="",
        at_ms=0,
        patch=patch or {"tree": {"values": {"deadline_ms": 9_000}}},
    )


class AppendTest(testtools.TestCase):
    """Guards against lost or duplicate changes.

    A change could get lost or be stored twice when the store's answer to a
    write is lost or when two operators write the same revision.
    """

    def append(self, store, change):
        current = examples.current()
        return asyncio.run(change_log.append(store, current, change))

    def test_lost_answer_is_resolved_by_reading_back(self):
        store = fakes.FakeStore([fakes.Fault.RESPONSE_LOST])
        outcome = self.append(store, _change("ours"))
        self.assertEqual("ours", outcome.ok.change)
        self.assertEqual(1, store.writes)

    def test_failure_before_the_write_is_retried(self):
        store = fakes.FakeStore([fakes.Fault.REQUEST_LOST])
        self.assertTrue(self.append(store, _change("ours")).is_ok())

    def test_repeated_write_of_one_change_has_no_effect(self):
        store = fakes.FakeStore([fakes.Fault.REPEATED])
        self.assertTrue(self.append(store, _change("ours")).is_ok())

    def test_second_operator_gets_conflict_with_first_change(self):
        store = fakes.FakeStore()
        self.append(store, _change("first"))
        outcome = self.append(store, _change("second"))
        self.assertIsInstance(outcome.error, errors.Conflict)
        self.assertEqual(
            "first", change_log.conflicting_change(outcome.error).who
        )

    def test_invalid_change_is_not_written(self):
        store = fakes.FakeStore()
        patch = {"tree": {"values": {"deadline_ms": -1}}}
        outcome = self.append(store, _change("bad", patch=patch))
        self.assertEqual("/tree/values/deadline_ms", outcome.error.path)
        self.assertEqual(0, store.writes)


class ChangesTest(testtools.TestCase):
    def test_merge_patch_turns_old_document_into_new(self):
        old = {"a": {"b": 1, "c": 2}, "d": 3}
        new = {"a": {"b": 1, "e": 4}, "f": {"g": 5}}
        patch = changes.create_merge_patch(old, new)
        self.assertEqual(new, changes.apply_merge_patch(old, patch))

    def test_gap_in_the_log_stops_the_replay(self):
        current = examples.current()
        change = _change("late", revision=3)
        self.assertEqual(1, changes.replay(current, [change]).ok.revision)
