"""Counters and latency histograms of everything that is logged.

Each event counts by its name and outcome, also when its line is left out; its
``took_ms`` goes into a histogram.
"""

from typing import Any

import prometheus_client

_BUCKETS_S = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
)
CONTENT_TYPE = "text/plain; version=0.0.4"

_registry = prometheus_client.CollectorRegistry()
_events = prometheus_client.Counter(
    "wagtailtiller_events",
    "Events by name and outcome.",
    ("event", "outcome"),
    registry=_registry,
)
_latencies = prometheus_client.Histogram(
    "wagtailtiller_event_seconds",
    "How long what an event tells of has taken.",
    ("event",),
    buckets=_BUCKETS_S,
    registry=_registry,
)
_sources = ("outcome", "reason", "how", "state")


def note(event: str, fields: dict[str, Any]) -> None:
    """Count an event.

    Args:
        event: Its name.
        fields: What it was about.
    """
    outcome = next((fields[name] for name in _sources if name in fields), "")
    label = outcome if isinstance(outcome, str) and len(outcome) < 40 else ""
    _events.labels(event, label).inc()
    took_ms = fields.get("took_ms")
    if took_ms is not None:
        _latencies.labels(event).observe(took_ms / 1_000)


def text() -> bytes:
    """Return all meters in the text format of Prometheus."""
    return prometheus_client.generate_latest(_registry)
