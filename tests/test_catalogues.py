"""Tests that the documented events and metrics match the code."""

import pathlib
import re

import testtools

from wagtailtiller import events
from wagtailtiller import statsd_metrics

_ROOT = pathlib.Path(__file__).parents[1]


def _rows(name):
    text = (_ROOT / "docs" / name).read_text(encoding="utf-8")
    return [line for line in text.splitlines() if line.startswith("| ")][1:]


def _uses(pattern):
    found = set()
    for path in (_ROOT / "src").rglob("*.py"):
        found |= set(re.findall(pattern, path.read_text(encoding="utf-8")))
    return found


class CataloguesTest(testtools.TestCase):
    def test_every_event_is_documented(self):
        documented = {tuple(row.split(" | ")[:2]) for row in _rows("EVENTS.md")}
        known = {(f"| {e.value}", e.name.lower()) for e in events.Event}
        self.assertEqual(known, documented)

    def test_every_event_is_used(self):
        used = _uses(r"Event\.([A-Z_]+)")
        self.assertEqual({event.name for event in events.Event}, used)

    def test_every_metric_is_documented(self):
        documented = {row.split("`")[1] for row in _rows("METRICS.md")}
        self.assertEqual({m.value for m in statsd_metrics.Metric}, documented)

    def test_every_metric_is_used(self):
        used = _uses(r"Metric\.([A-Z_]+)")
        self.assertEqual(
            {metric.name for metric in statsd_metrics.Metric}, used
        )
