"""Prometheus metrics derived from the logged events.

Each event is counted by name and outcome, even if its log line is dropped; its
``took_ms`` field is recorded in a histogram.
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
_event_counter = prometheus_client.Counter(
    "wagtailtiller_events",
    "Events by name and outcome.",
    ("event", "outcome"),
    registry=_registry,
)
_latency_histogram = prometheus_client.Histogram(
    "wagtailtiller_event_seconds",
    "Duration of the operation that an event reports.",
    ("event",),
    buckets=_BUCKETS_S,
    registry=_registry,
)
_allocation_gauge = prometheus_client.Gauge(
    "wagtailtiller_allocation",
    "What an organisation with a limit may use in a pool.",
    ("pool", "organisation", "resource"),
    registry=_registry,
)
_allocation_demand_gauge = prometheus_client.Gauge(
    "wagtailtiller_allocation_demand",
    "What an organisation with a limit uses and waits for in a pool.",
    ("pool", "organisation", "resource"),
    registry=_registry,
)
_connection_gauge = prometheus_client.Gauge(
    "wagtailtiller_client_connections",
    "Open connections of clients.",
    registry=_registry,
)
_held_gauge = prometheus_client.Gauge(
    "wagtailtiller_client_held_bytes",
    "Memory that connections and requests of clients hold.",
    registry=_registry,
)
_cut_off_counter = prometheus_client.Counter(
    "wagtailtiller_clients_cut_off",
    "Clients that were refused or cut off, by reason.",
    ("reason",),
    registry=_registry,
)
# Bounds the number of time series; further organisations have none.
_MAX_ALLOCATION_SERIES = 256
_allocation_labels: set[tuple[str, str, str]] = set()
_OUTCOME_FIELDS = ("outcome", "reason", "how", "state")


def record_event(event: str, fields: dict[str, Any]) -> None:
    """Count an event and record its duration.

    Args:
        event: Name of the event.
        fields: Fields of the event. The first of ``outcome``, ``reason``,
            ``how`` and ``state`` that is present is its outcome; ``took_ms``
            is its duration in milliseconds.
    """
    outcome = next(
        (fields[name] for name in _OUTCOME_FIELDS if name in fields), ""
    )
    label = outcome if isinstance(outcome, str) and len(outcome) < 40 else ""
    _event_counter.labels(event, label).inc()
    took_ms = fields.get("took_ms")
    if took_ms is not None:
        _latency_histogram.labels(event).observe(took_ms / 1_000)


def set_allocation(
    pool: str, organisation: str, resource: str, allocated: int, demand: int
) -> None:
    """Set the gauges of one resource of an organisation in a pool.

    Args:
        pool: Pool that this process owns.
        organisation: Organisation with a limit.
        resource: Name of the resource, with its unit.
        allocated: Amount that the pool may use.
        demand: Amount that runs and waits in the pool.
    """
    labels = (pool, organisation, resource)
    if labels not in _allocation_labels:
        if len(_allocation_labels) >= _MAX_ALLOCATION_SERIES:
            return
        _allocation_labels.add(labels)
    _allocation_gauge.labels(*labels).set(allocated)
    _allocation_demand_gauge.labels(*labels).set(demand)


def clear_allocations(pool: str) -> None:
    """Remove the gauges of a pool that this process no longer owns.

    Args:
        pool: Name of the pool.
    """
    for labels in [row for row in _allocation_labels if row[0] == pool]:
        _allocation_labels.discard(labels)
        _allocation_gauge.remove(*labels)
        _allocation_demand_gauge.remove(*labels)


def set_connections(connection_count: int, held_bytes: int) -> None:
    """Set the gauges of what clients make this process hold.

    Args:
        connection_count: Number of open connections.
        held_bytes: Memory that they hold.
    """
    _connection_gauge.set(connection_count)
    _held_gauge.set(held_bytes)


def count_cut_off(reason: str, count: int) -> None:
    """Count clients that were refused or cut off.

    Args:
        reason: Name of the reason.
        count: How many there were.
    """
    _cut_off_counter.labels(reason).inc(count)


def text() -> bytes:
    """Return all metrics in the text format of Prometheus."""
    return prometheus_client.generate_latest(_registry)
