"""What every process sets up to be seen: time line, logs and metrics."""

import random

from .core.events import HybridClock, Timeline
from .core.sentinels import NOTHING
from .logs import EventLogger
from .metrics import EventCounter, make_metrics


def make_timeline(settings, wall_clock):
    """Return a `Timeline` whose events are logged and counted.

    Args:
        settings: Any `ProcessSettings`.
        wall_clock: Callable that returns the wall clock in seconds.
    """
    metrics = make_metrics(settings.statsd, settings.host)
    listeners = [
        EventLogger(settings.host, settings.log),
        EventCounter(metrics),
    ]
    return Timeline(
        settings.host, HybridClock(wall_clock), listeners=listeners
    )


def make_rng(seed):
    """Return a random number generator.

    Args:
        seed: The seed, or `NOTHING` for the system's randomness.
    """
    if seed is NOTHING:
        return random.SystemRandom()
    return random.Random(seed)


def log_failure(host, reason):
    """Write the trace of a failure that nobody expected."""
    EventLogger(host, "DEBUG").logger.error("{}", reason.getTraceback())
