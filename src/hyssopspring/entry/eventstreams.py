"""Event streams: where events end, and from where a stream can resume."""

__all__ = [
    "MAX_EVENT_BYTES",
    "EventBuffer",
    "has_unnumbered_data",
    "last_event_id",
]

MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of one event. A server that never ends an event would
otherwise fill the memory of the host."""

EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
LONGEST_TERMINATOR = max(map(len, EVENT_TERMINATORS))
ID_FIELD = b"id:"
DATA_FIELD = b"data"


class EventBuffer:
    """Bytes of a stream that belong to no complete event yet."""

    def __init__(self):
        self.data = bytearray()

    def __len__(self):
        return len(self.data)

    @property
    def has_event(self):
        """Whether an event has begun."""
        return bool(self.data.strip(b"\r\n"))

    def add(self, data):
        """Add bytes; return the events that are complete with them.

        A terminator ends within the added bytes, so that only these are
        searched, and an event in many small parts costs no more than a whole.
        """
        start = max(0, len(self.data) - LONGEST_TERMINATOR + 1)
        self.data += data
        end = 0
        for terminator in EVENT_TERMINATORS:
            found = self.data.rfind(terminator, start)
            if found >= 0:
                end = max(end, found + len(terminator))
        events = bytes(self.data[:end])
        del self.data[:end]
        return events


def last_event_id(events):
    """Return the identifier of the last event that has one, or b""."""
    start = find_last_id(events)
    if start < 0:
        return b""
    end = events.find(b"\n", start)
    return events[start + len(ID_FIELD) : end].strip()


def has_unnumbered_data(events):
    """Return whether data without an identifier follows the last event id.

    A stream that resumes after that identifier repeats such data.

    Args:
        events: Complete events.
    """
    start = max(0, find_last_id(events))
    if start or events.startswith(ID_FIELD):
        ends = [events.find(one, start) for one in EVENT_TERMINATORS]
        start = min(end for end in ends if end >= 0)
    return events.startswith(DATA_FIELD, start) or (
        events.find(b"\n" + DATA_FIELD, start) >= 0
    )


def find_last_id(events):
    """Return the position of the last identifier field, or -1."""
    start = events.rfind(b"\n" + ID_FIELD) + 1
    return start if events.startswith(ID_FIELD, start) else -1
