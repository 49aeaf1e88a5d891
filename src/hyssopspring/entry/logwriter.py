"""Structured log lines of a time line, bounded and never waited for."""

from collections import deque

import msgspec

from ..core.events import EventKind

__all__ = ["LogWriter"]

LINES_PER_SECOND = 150
"""Lines a second that are written; one busy host decides about 60 times a
second, and twice as often while requests fail."""

BURST_LINES = 300
"""Lines that may come at once after a quiet time."""

ROUTINE_RESERVE = 0.5
"""Part of the burst that routine lines leave for refusals and errors."""

MAX_QUEUED_LINES = 2_000
"""Lines that wait for a reader that has stopped reading."""

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
    """Write one JSON line for each event.

    A log that grows with the load would cost more than the requests that
    it tells of, and a full pipe would stop the process. What exceeds the
    rate is counted and the count is written; routine lines go first.

    Args:
        clock: The runtime's clock.
        write: Called with bytes; returns how many were taken, or raises
            `BlockingIOError` if none could be.
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
        """Take one event."""
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
        """Take one line from the rate; return whether there was one."""
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
        """Write what waits, as far as the reader takes it."""
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
