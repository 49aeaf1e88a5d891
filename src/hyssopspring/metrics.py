"""Counters and timings for statsd."""

import statsd

from .settings import split_address

PREFIX = "hyssopspring"


def make_metrics(address, host):
    """Return a statsd client, or one that drops everything.

    Args:
        address: Address of the collector, or an empty string.
        host: Name of this host.
    """
    if not address:
        return NullMetrics()
    ip, port = split_address(address)
    return statsd.StatsClient(ip, port, prefix=f"{PREFIX}.{host}")


class NullMetrics:
    """Drop all metrics."""

    def incr(self, name, count=1):
        """Drop a count."""

    def gauge(self, name, value):
        """Drop a gauge."""

    def timing(self, name, millis):
        """Drop a timing."""


class EventCounter:
    """Count each event of a time line by its name.

    Args:
        metrics: The statsd client.
    """

    def __init__(self, metrics):
        self.metrics = metrics

    def __call__(self, event):
        """Count one event."""
        self.metrics.incr(f"events.{event.name}")
