"""Tests of parsing, validating and resolving settings."""

import testtools

from wagtailtiller import settings

_TREE = """
{
  // comments are fine
  "tree": {"values": {"deadline_ms": 5000}, "pools": {
    "plates": {"queues": {"exports": {"values": {"priority": "urgent"}}}}}}
}
"""


class ReadDocumentTest(testtools.TestCase):
    def test_queue_inherits_value_from_parent(self):
        catalogue = settings.resolve(settings.read_document(_TREE).ok)
        self.assertEqual(5000, catalogue.queues["exports"].deadline_ms)

    def test_unknown_key_reports_path_and_closest_key(self):
        text = _TREE.replace("priority", "prority")
        error = settings.read_document(text).error
        path = "/tree/pools/plates/queues/exports/values/prority"
        self.assertEqual(path, error.path)
        self.assertEqual("priority", error.hint)

    def test_value_out_of_range_reports_allowed_range(self):
        text = _TREE.replace("5000", "-5")
        error = settings.read_document(text).error
        self.assertEqual("/tree/values/deadline_ms", error.path)
        self.assertEqual(-5, error.value)
        self.assertIn(">= 1", error.allowed)

    def test_explain_reports_ancestor_that_set_the_value(self):
        document = settings.read_document(_TREE).ok
        sources = {
            entry.field: entry.source
            for entry in settings.explain(document, "exports")
        }
        self.assertEqual("/tree", sources["deadline_ms"])
        self.assertEqual("default", sources["run_limit_ms"])
