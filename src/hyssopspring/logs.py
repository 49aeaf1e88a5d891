"""Log lines of numbered events."""

import sys

import logbook

REQUEST_EVENT_NUMBERS = range(200, 208)


def start_logging(level):
    """Write log lines of *level* and above to standard error."""
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
    """Write a line for each event of a time line.

    Events of single requests go to level DEBUG: a line for each would
    cost more than serving the request.

    Args:
        host: Name of the host.
        level: Least level that is written.
    """

    def __init__(self, host, level):
        self.logger = logbook.Logger(host)
        self.minimum_level = logbook.lookup_level(level)

    def __call__(self, event):
        """Write one event."""
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
