"""Numbered events and the event log that records them."""

import enum
from collections import deque
from dataclasses import dataclass, field

MAX_EVENTS = 2_000
"""Number of events that a process keeps in memory."""


class EventKind(enum.Enum):
    """Catalogue of events: number, and description for operators.

    Attributes:
        number: Number of the event in the catalogue.
        meaning: One-line description for operators.
        label: Name of the event in log lines and metrics.
    """

    STARTED = (100, "process started")
    STOPPING = (101, "planned shutdown began")
    STOPPED = (102, "planned shutdown completed")
    LOOP_STALL = (103, "event loop was blocked")
    RELOADED = (107, "settings file changed")
    STOP_REPEATED = (108, "further stop signal ignored, the stop goes on")
    UNEXPECTED = (106, "unexpected error, a defect in hyssopspring")
    CONFINED = (104, "host serves only workspaces whose home is its region")
    UNCONFINED = (105, "host trusts its configuration again")
    REQUEST = (200, "request admitted")
    ATTEMPT = (201, "attempt sent to a backend server")
    FORWARD = (202, "attempt forwarded to another data centre")
    ATTEMPT_ENDED = (203, "attempt ended without a response")
    ANSWERED = (204, "complete response delivered")
    NOT_RUN = (205, "caller informed that its request was not run")
    UNKNOWN = (206, "caller informed that the outcome is unknown")
    FORWARD_REFUSED = (207, "forwarded request refused")
    RESUMED = (208, "stream resumed at the same server")
    PLACED = (209, "request placed at a backend server")
    SENT_AWAY = (210, "request sent to another region")
    RELAYED = (211, "request relayed for a host of another region")
    GRANT_UNUSED = (212, "placement by another host is not used")
    ENDED_BY_STOP = (214, "request ended since its host stopped")
    CLIENTS_LIMITED = (216, "clients refused or disconnected for their load")
    HEDGED = (215, "second attempt began beside one at a silent server")
    CONFIG_APPLIED = (300, "configuration is in force on this host")
    CONFIG_ACCEPTED = (301, "configuration accepted")
    CONFIG_REFUSED = (302, "configuration file refused")
    CONFIG_STALE = (303, "older configuration ignored")
    CONFIG_INVALID = (304, "configuration could not be read")
    CONFIG_BEHIND = (305, "another host has a newer configuration")
    SERVER_ADDED = (400, "backend server joined")
    SERVER_GONE = (401, "backend server left the host list")
    SERVER_LEAVING = (402, "backend server is leaving")
    SERVER_PAUSED = (403, "backend server failed and is tried last")
    PEER_REFUSED = (404, "message with a bad signature dropped")
    PEER_SEEN = (405, "messages of another host arrive")
    PEER_GONE = (406, "another host is silent or is shutting down")
    SERVER_COLD = (407, "backend server is cold and gets few requests")
    EVACUATED = (408, "set of evacuated data centres changed")
    SERVER_UNREADABLE = (410, "registry entry of a backend server is invalid")
    PEER_UNREAD = (409, "snapshot of the store from another host not readable")
    UNANSWERED = (411, "expired queries of other hosts discarded")
    SERVER_ENDED = (412, "backend server crashed while it ran a request")
    REQUEST_BLOCKED = (413, "request that crashes servers is blocked")
    CRASH_UNSAVED = (414, "crash records not written to the store yet")
    CRASH_UNREADABLE = (415, "crash records in the store are not readable")
    PART_BLOCKED = (419, "part of prompts that crashes servers is blocked")
    PART_CLEARED = (420, "suspected part of prompts ran without a crash")
    SERVER_LIMITED = (416, "backend server announced or withdrew a limit")
    SERVER_RESTING = (418, "backend server requested a retry-after pause")
    SERVER_RESTARTED = (421, "backend server runs again, its entry is missing")
    VERSIONS_UNSAVED = (422, "versions of services not written to the store")
    STREAMS_UNSAVED = (423, "records of streams not written to the store yet")
    STREAMS_UNREADABLE = (424, "versions or streams in the store unreadable")
    NOTICE_IGNORED = (417, "invalid notice of a backend server ignored")
    COLD_CHECK_FAILED = (425, "backend server did not tell whether it is cold")
    PLATFORM_DOWN = (500, "platform does not respond")
    PLATFORM_BACK = (501, "platform responds again")
    WATCHING = (502, "host watches the store for its region")
    RESTING = (503, "host receives changes from other hosts of its region")
    WATCH_RENEWED = (506, "watch that may be dead was restarted")
    VIEW_LOST = (504, "configuration not confirmed, keys are not accepted")
    VIEW_BACK = (505, "configuration is confirmed again")
    STORE_RESTORED = (507, "store was restored from a copy")
    CLAIM_COMMITTED = (600, "claims of keys committed")
    CLAIM_CONFLICT = (601, "claim lost to another claimant")
    CLAIM_UNAVAILABLE = (602, "claims cannot be committed now")
    SHARES_CHANGED = (700, "shares of limits written")

    def __init__(self, number, meaning):
        self.number = number
        self.meaning = meaning
        self.label = self._name_.lower()


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """An event of one process.

    Attributes:
        millis: Wall-clock part of the hybrid logical time, in
            milliseconds.
        counter: Logical part of the hybrid logical time, which orders
            events with equal *millis*.
        host: Host on which the event occurred.
        number: Number in the catalogue.
        name: Name in the catalogue.
        request: Identifier of the request it belongs to, or an empty
            string.
        details: Further fields, as text by name.
    """

    millis: int
    counter: int
    host: str
    number: int
    name: str
    request: str = ""
    details: dict[str, str] = field(default_factory=dict)


class HybridClock:
    """Hybrid logical clock, which orders events across hosts.

    A message carries the time of its sender, and the receiver advances
    its clock past that time. An effect is therefore never ordered before
    its cause in the event log, even if the wall clock of the receiver is
    behind.

    Args:
        seconds: Callable that returns the wall-clock time in seconds.
    """

    def __init__(self, seconds):
        self.seconds = seconds
        self.millis = 0
        self.counter = 0

    def tick(self):
        """Return the time of a local event, later than all earlier ones."""
        wall = int(self.seconds() * 1000)
        if wall > self.millis:
            self.millis, self.counter = wall, 0
        else:
            self.counter += 1
        return self.millis, self.counter

    def advance_past(self, millis, counter):
        """Advance the clock past the timestamp of a received message."""
        if (millis, counter) > (self.millis, self.counter):
            self.millis, self.counter = millis, counter


class Timeline:
    """In-memory log of the most recent events of one process.

    Args:
        host: Name of the host.
        clock: A `HybridClock`.
        listeners: Called with each new `Event`.
    """

    def __init__(self, host, clock, *, listeners=()):
        self.host = host
        self.clock = clock
        self.listeners = list(listeners)
        self.recent_events = deque(maxlen=MAX_EVENTS)

    def note(self, kind, *, request="", **details):
        """Record an event of *kind* with the current time."""
        millis, counter = self.clock.tick()
        event = Event(
            millis=millis,
            counter=counter,
            host=self.host,
            number=kind.number,
            name=kind.label,
            request=request,
            details={key: str(value) for key, value in details.items()},
        )
        self.recent_events.append(event)
        for listener in self.listeners:
            listener(event)
        return event

    def select(self, *, request="", after=(0, 0)):
        """Return the recent events, optionally of one request only."""
        return [
            event
            for event in self.recent_events
            if (event.millis, event.counter) > after
            and (not request or event.request == request)
        ]
