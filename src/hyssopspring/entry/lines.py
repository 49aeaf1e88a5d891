"""Structured log lines of a time line, bounded and never waited for."""

from collections import deque

import msgspec

from ..core.events import EventKind

__all__ = ["LineWriter"]

LINES_A_SECOND = 150
"""Lines a second that are written; one busy host decides about 60 times a
second, and twice as often while requests fail."""

BURST = 300
"""Lines that may come at once after a quiet time."""

ROUTINE_SHARE = 0.5
"""Part of the burst that routine lines leave for refusals and errors."""

MOST_WAITING = 2_000
"""Lines that wait for a reader that has stopped reading."""

ROUTINE = frozenset(
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


class LineWriter:
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
        self.waiting = deque()
        self.saved = float(BURST)
        self.at = clock.seconds()
        self.left_out = 0
        self.encode = msgspec.json.encode
        self.rest = b""

    def __call__(self, event):
        """Take one event."""
        if not self.allowed(event.number in ROUTINE):
            self.left_out += 1
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
        self.waiting.append(self.encode(line))
        if len(self.waiting) > MOST_WAITING:
            self.waiting.popleft()
            self.left_out += 1

    def allowed(self, routine):
        """Take one line from the rate; return whether there was one."""
        now = self.clock.seconds()
        gained = (now - self.at) * LINES_A_SECOND
        self.saved = min(float(BURST), self.saved + gained)
        self.at = now
        least = BURST * ROUTINE_SHARE if routine else 1.0
        if self.saved < least:
            return False
        self.saved -= 1.0
        return True

    def flush(self):
        """Write what waits, as far as the reader takes it."""
        if self.left_out:
            left_out, self.left_out = self.left_out, 0
            self.waiting.append(
                self.encode({"event": "left_out", "lines": left_out})
            )
        if not self.waiting and not self.rest:
            return
        data = self.rest
        if self.waiting:
            data += b"\n".join(self.waiting) + b"\n"
        self.waiting.clear()
        try:
            taken = self.write(data)
        except BlockingIOError:
            taken = 0
        self.rest = data[taken:]
        if len(self.rest) > MOST_WAITING * 300:
            self.left_out += self.rest.count(b"\n")
            self.rest = b"\n"
