"""Counters, gauges and timings, sent to statsd over UDP."""

import enum
from typing import Protocol

import statsd


class Metric(enum.Enum):
    """Names of the metrics that are sent; see ``docs/METRICS.md``."""

    REQUESTS_ANSWERED = "gateway.requests.answered"
    REQUESTS_NOT_RUN = "gateway.requests.not_run"
    REQUESTS_UNKNOWN = "gateway.requests.unknown"
    REQUESTS_INVALID = "gateway.requests.invalid"
    RETRIES = "gateway.retries"
    WAIT_MS = "gateway.wait_ms"
    RUN_MS = "gateway.run_ms"
    WAITING = "dispatch.waiting"
    RUNNING = "dispatch.running"
    PEER_BYTES_SENT = "peers.bytes_sent"
    FLEET_WRITES = "controller.fleet_writes"


class MetricsClient(Protocol):
    """Interface of the metrics clients."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Increment a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""


class NullMetricsClient:
    """Metrics client that sends nothing; used when no address is set."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Do nothing."""

    def gauge(self, stat: str, value: float) -> None:
        """Do nothing."""

    def timing(self, stat: str, delta: float) -> None:
        """Do nothing."""


def connect(address: str) -> MetricsClient:
    """Create a metrics client.

    Args:
        address: Address of the statsd server as ``ip:port``; empty to send
            nothing.

    Returns:
        A client; it sends nothing if the address is empty.
    """
    if not address:
        return NullMetricsClient()
    host, port = address.split(":")
    return statsd.StatsClient(host, int(port), prefix="wagtailtiller")
