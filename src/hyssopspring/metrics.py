"""Metrics sent to statsd."""

import statsd

from .settings import split_address

PREFIX = "hyssopspring"


def make_metrics(address, host):
    """Return a statsd client, or a `NullMetrics` without an address.

    Args:
        address: Address of the statsd server, or an empty string.
        host: Name of this host, which is part of each metric name.
    """
    if not address:
        return NullMetrics()
    ip, port = split_address(address)
    return statsd.StatsClient(ip, port, prefix=f"{PREFIX}.{host}")


class NullMetrics:
    """Replacement for `statsd.StatsClient` that discards all metrics."""

    def incr(self, name, count=1):
        """Discard a counter increment."""

    def gauge(self, name, value):
        """Discard a gauge value."""

    def timing(self, name, millis):
        """Discard a timing."""


class EventCounter:
    """Event log listener that counts the events by name.

    Args:
        metrics: A statsd client or a `NullMetrics`.
    """

    def __init__(self, metrics):
        self.metrics = metrics

    def __call__(self, event):
        """Count one event."""
        self.metrics.incr(f"events.{event.name}")
