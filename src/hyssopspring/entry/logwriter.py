"""Rate-limited, non-blocking output of events as structured log lines."""

from collections import deque

import msgspec

from ..core.events import EventKind

__all__ = ["LogWriter"]

LINES_PER_SECOND = 150
"""Largest number of lines a second. One busy host makes about 60 decisions
a second, and twice as many while requests fail."""

BURST_LINES = 300
"""Lines that may be written in a burst after a quiet period; the capacity
of the token bucket."""

ROUTINE_RESERVE = 0.5
"""Fraction of the burst that is reserved for refusals and errors and not
available to routine lines."""

MAX_QUEUED_LINES = 2_000
"""Lines that are queued while the reader of the log does not read."""

ROUTINE_EVENTS = frozenset(
    kind.number
    for kind in (
        EventKind.REQUEST,
        EventKind.ATTEMPT,
        EventKind.ANSWERED,
        EventKind.PLACED,
        EventKind.RELAYED,
        EventKind.SENT_AWAY,
    )
)


class LogWriter:
    """Event listener that writes one JSON line for each event.

    A log that grows with the load would cost more than the requests that it
    records, and writing to a full pipe would block the process. Lines that
    exceed the rate are dropped, routine lines first, and the number of
    dropped lines is logged.

    Args:
        clock: The clock of the reactor.
        write: Called with bytes; returns how many of them were written, or
            raises `BlockingIOError` if none could be.
    """

    def __init__(self, clock, write):
        self.clock = clock
        self.write = write
        self.queued = deque()
        self.tokens = float(BURST_LINES)
        self.refilled_at = clock.seconds()
        self.lines_dropped = 0
        self.encode = msgspec.json.encode
        self.unwritten = b""

    def __call__(self, event):
        """Queue the line of one event, or drop it."""
        if not self.take_token(event.number in ROUTINE_EVENTS):
            self.lines_dropped += 1
            return
        line = {
            "ms": event.millis,
            "n": event.counter,
            "host": event.host,
            "event": event.name,
            "number": event.number,
        }
        if event.request:
            line["request"] = event.request
        line.update(event.details)
        self.queued.append(self.encode(line))
        if len(self.queued) > MAX_QUEUED_LINES:
            self.queued.popleft()
            self.lines_dropped += 1

    def take_token(self, routine):
        """Take one token from the bucket for a line.

        Args:
            routine: Whether the line is routine; such a line must leave the
                reserve for refusals and errors.

        Returns:
            Whether a token was available.
        """
        now = self.clock.seconds()
        gained = (now - self.refilled_at) * LINES_PER_SECOND
        self.tokens = min(float(BURST_LINES), self.tokens + gained)
        self.refilled_at = now
        least = BURST_LINES * ROUTINE_RESERVE if routine else 1.0
        if self.tokens < least:
            return False
        self.tokens -= 1.0
        return True

    def flush(self):
        """Write as much of the queued lines as the reader accepts."""
        if self.lines_dropped:
            dropped, self.lines_dropped = self.lines_dropped, 0
            self.queued.append(
                self.encode({"event": "left_out", "lines": dropped})
            )
        if not self.queued and not self.unwritten:
            return
        data = self.unwritten
        if self.queued:
            data += b"\n".join(self.queued) + b"\n"
        self.queued.clear()
        try:
            taken = self.write(data)
        except BlockingIOError:
            taken = 0
        self.unwritten = data[taken:]
        if len(self.unwritten) > MAX_QUEUED_LINES * 300:
            self.lines_dropped += self.unwritten.count(b"\n")
            self.unwritten = b"\n"
