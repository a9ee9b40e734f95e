"""Tests of reading and checking settings."""

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
    def test_inherits_from_parent(self):
        catalogue = settings.resolve(settings.read_document(_TREE).ok)
        self.assertEqual(5000, catalogue.queues["exports"].deadline_ms)

    def test_unknown_key_names_path_and_near_miss(self):
        text = _TREE.replace("priority", "prority")
        fault = settings.read_document(text).error
        path = "/tree/pools/plates/queues/exports/values/prority"
        self.assertEqual(path, fault.path)
        self.assertEqual("priority", fault.hint)

    def test_value_out_of_range_names_what_is_allowed(self):
        text = _TREE.replace("5000", "-5")
        fault = settings.read_document(text).error
        self.assertEqual("/tree/values/deadline_ms", fault.path)
        self.assertEqual(-5, fault.value)
        self.assertIn(">= 1", fault.allowed)

    def test_explain_names_the_ancestor(self):
        document = settings.read_document(_TREE).ok
        found = {
            e.field: e.source for e in settings.explain(document, "exports")
        }
        self.assertEqual("/tree", found["deadline_ms"])
        self.assertEqual("default", found["run_limit_ms"])
