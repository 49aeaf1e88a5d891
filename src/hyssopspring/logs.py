"""Logging of numbered events to standard error."""

import sys

import logbook

REQUEST_EVENT_NUMBERS = range(200, 208)
"""Numbers of the events of single requests, which are logged as DEBUG."""


def start_logging(level):
    """Write log messages of *level* and above to standard error.

    Args:
        level: Name of a logbook level.
    """
    handler = logbook.StreamHandler(
        sys.stderr,
        level=level,
        format_string=(
            "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
            "{record.channel} {record.message}"
        ),
    )
    handler.push_application()


class EventLogger:
    """Event log listener that writes a log message for each event.

    Events of single requests are logged at level DEBUG, as writing a message
    for each costs more than serving the request.

    Args:
        host: Name of the host, used as the name of the logger.
        level: Lowest level that is written.
    """

    def __init__(self, host, level):
        self.logger = logbook.Logger(host)
        self.minimum_level = logbook.lookup_level(level)

    def __call__(self, event):
        """Log one event."""
        level = (
            logbook.DEBUG
            if event.number in REQUEST_EVENT_NUMBERS
            else logbook.INFO
        )
        if level < self.minimum_level:
            return
        details = " ".join(
            f"{key}={value}" for key, value in event.details.items()
        )
        request = f"request={event.request} " if event.request else ""
        self.logger.log(
            level, "E{} {} {}{}", event.number, event.name, request, details
        )
