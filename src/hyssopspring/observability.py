"""Event log, log messages and metrics that every process sets up."""

import random

from .core.events import HybridClock, Timeline
from .core.sentinels import NOTHING
from .logs import EventLogger
from .metrics import EventCounter, make_metrics


def make_timeline(settings, wall_clock):
    """Return a `Timeline` whose events are also logged and counted.

    Args:
        settings: `ProcessSettings` of any process.
        wall_clock: Callable that returns the wall-clock time in seconds.
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
        seed: The seed, or `NOTHING` for the random source of the operating
            system.
    """
    if seed is NOTHING:
        return random.SystemRandom()
    return random.Random(seed)


def log_failure(host, reason):
    """Log the traceback of an unexpected failure."""
    EventLogger(host, "DEBUG").logger.error("{}", reason.getTraceback())
