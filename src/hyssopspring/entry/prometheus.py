"""Counters and latency histograms of an entry process for Prometheus.

This module implements the required part of the text exposition format. The
client library of Prometheus would add to the memory of each host and to its
start time, during which a host that was killed serves no requests.
"""

from bisect import bisect_left

from ..core.events import EventKind
from ..core.exceptions import ensure

__all__ = ["Histogram", "PrometheusMetrics"]

BUCKET_BOUNDS_SECONDS = (
    0.01,
    0.03,
    0.1,
    0.2,
    0.4,
    0.6,
    0.8,
    1.0,
    1.5,
    2.5,
    5.0,
    10.0,
)
"""Upper bounds of the histogram buckets. The latency objectives of the first
users are 0.5, 0.6, 0.8 and 1.0 s."""

GAP_BOUNDS_SECONDS = (0.03, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0)
"""Upper bounds of the buckets of gaps between stream events. The gap
objectives of the first users are 0.3 and 0.4 s."""

ANSWERED = EventKind.ANSWERED.number
PLACED = EventKind.PLACED.number

CONTENT_TYPE = b"text/plain; version=0.0.4"


class Histogram:
    """Histogram of durations.

    Args:
        bounds: Upper bounds of the buckets in seconds.
    """

    def __init__(self, bounds=BUCKET_BOUNDS_SECONDS):
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def add(self, seconds):
        """Count one duration."""
        self.counts[bisect_left(self.bounds, seconds)] += 1
        self.total += seconds

    def lines(self, name):
        """Yield the lines of the exposition format.

        Args:
            name: Name of the metric.
        """
        running = 0
        for bound, count in zip(
            (*self.bounds, "+Inf"), self.counts, strict=True
        ):
            running += count
            yield f'{name}_bucket{{le="{bound}"}} {running}'
        yield f"{name}_sum {self.total:.6f}"
        yield f"{name}_count {running}"


class PrometheusMetrics:
    """Event listener that counts events and the durations they report.

    Args:
        gauges: Called for a dictionary of the current gauges by name.
    """

    def __init__(self, gauges):
        self.gauges = gauges
        self.events = {kind.label: 0 for kind in EventKind}
        self.first = Histogram()
        self.whole = Histogram()
        self.predicted = Histogram()
        self.longest_gap = Histogram(GAP_BOUNDS_SECONDS)

    def __call__(self, event):
        """Count one event and add its durations to the histograms."""
        ensure(event.name in self.events, "event is not in the catalogue")
        self.events[event.name] += 1
        details = event.details
        if event.number == ANSWERED:
            self.first.add(float(details.get("first_ms", 0)) / 1000)
            self.whole.add(float(details.get("took_ms", 0)) / 1000)
            if details.get("gap_objective_ms"):
                gap = float(details.get("longest_gap_ms", 0)) / 1000
                self.longest_gap.add(gap)
        elif event.number == PLACED:
            self.predicted.add(float(details.get("predicted", 0)))

    def text(self):
        """Return all metrics in the exposition format."""
        rows = [
            f'hyssop_events_total{{event="{name}"}} {count}'
            for name, count in self.events.items()
            if count
        ]
        rows += [
            f"hyssop_{name} {value}" for name, value in self.gauges().items()
        ]
        rows += self.first.lines("hyssop_first_seconds")
        rows += self.whole.lines("hyssop_whole_seconds")
        rows += self.predicted.lines("hyssop_predicted_seconds")
        rows += self.longest_gap.lines("hyssop_longest_gap_seconds")
        return "\n".join(rows) + "\n"

    def handle(self, request):
        """Respond to an HTTP request with all metrics."""
        body = self.text().encode()
        request.setHeader(b"content-type", CONTENT_TYPE)
        request.setHeader(b"content-length", b"%d" % len(body))
        request.write(body)
        request.finish()
