"""Numbered events, and the time line that they make up."""

import enum
from collections import deque
from dataclasses import dataclass, field

MAX_EVENTS = 2_000


class EventKind(enum.Enum):
    """The catalogue: number, and meaning for operators."""

    STARTED = (100, "process started")
    STOPPING = (101, "planned stop began")
    STOPPED = (102, "planned stop ended, nothing was cut")
    LOOP_STALL = (103, "event loop stood still")
    RELOADED = (107, "settings file changed")
    UNEXPECTED = (106, "an error that nobody expected; a fault of ours")
    CONFINED = (104, "host serves only workspaces at home in its region")
    UNCONFINED = (105, "host trusts its configuration again")
    REQUEST = (200, "request admitted")
    ATTEMPT = (201, "attempt sent to a backend server")
    FORWARD = (202, "attempt forwarded to another data centre")
    ATTEMPT_ENDED = (203, "attempt ended without an answer")
    ANSWERED = (204, "whole answer delivered")
    NOT_RUN = (205, "caller told that its request was not run")
    UNKNOWN = (206, "caller told that the outcome is not known")
    FORWARD_REFUSED = (207, "forwarded request refused")
    RESUMED = (208, "stream resumed at the same server")
    PLACED = (209, "request placed at a backend server")
    SENT_AWAY = (210, "request sent to another region")
    RELAYED = (211, "request of another region's host carried out")
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
    PEER_SEEN = (405, "another host is heard")
    PEER_GONE = (406, "another host is not heard any more, or leaves")
    SERVER_COLD = (407, "backend server is cold and gets little")
    EVACUATED = (408, "data centres that get no requests have changed")
    SERVER_UNREADABLE = (410, "entry of a backend server is none")
    PEER_UNREAD = (409, "another host's copy of the store was not read")
    UNANSWERED = (411, "questions of other hosts left out, as too old")
    SERVER_ENDED = (412, "backend server ended while a request was there")
    REQUEST_BLOCKED = (413, "request that ends servers is sent to none")
    CRASH_UNSAVED = (414, "ends under a request not written to the store yet")
    CRASH_UNREADABLE = (415, "ends under a request in the store unreadable")
    SERVER_LIMITED = (416, "backend server names a limit, or none any more")
    SERVER_RESTING = (418, "backend server asks this host for rest")
    NOTICE_IGNORED = (417, "statement of a backend server is not usable")
    PLATFORM_DOWN = (500, "platform does not answer")
    PLATFORM_BACK = (501, "platform answers again")
    WATCHING = (502, "host watches the store for its region")
    RESTING = (503, "host relies on others of its region for changes")
    WATCH_RENEWED = (506, "watch that may be dead is begun anew")
    VIEW_LOST = (504, "configuration not confirmed, keys are not believed")
    VIEW_BACK = (505, "configuration is confirmed again")
    CLAIM_COMMITTED = (600, "claims of keys recorded")
    CLAIM_CONFLICT = (601, "claim lost to another claimant")
    CLAIM_UNAVAILABLE = (602, "claims cannot be recorded now")
    SHARES_CHANGED = (700, "shares of limits written")

    @property
    def number(self):
        """The number by which operators look it up."""
        return self.value[0]

    @property
    def meaning(self):
        """One line for operators."""
        return self.value[1]


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """Something that happened in one process.

    Attributes:
        millis: Hybrid logical time, wall-clock part in milliseconds.
        counter: Hybrid logical time, part that orders equal times.
        host: Host on which it happened.
        number: Number in the catalogue.
        name: Name in the catalogue.
        request: Request that it belongs to, or an empty string.
        details: What else to know, as text by name.
    """

    millis: int
    counter: int
    host: str
    number: int
    name: str
    request: str = ""
    details: dict[str, str] = field(default_factory=dict)


class HybridClock:
    """Order events over hosts whose wall clocks differ.

    A message carries its sender's time; who receives it moves on past
    that time. So an effect never stands before its cause on the time
    line, even when the receiver's wall clock is behind.

    Args:
        seconds: Callable that returns the wall clock in seconds.
    """

    def __init__(self, seconds):
        self.seconds = seconds
        self.millis = 0
        self.counter = 0

    def tick(self):
        """Return the time of a local event, later than any before."""
        wall = int(self.seconds() * 1000)
        if wall > self.millis:
            self.millis, self.counter = wall, 0
        else:
            self.counter += 1
        return self.millis, self.counter

    def advance_past(self, millis, counter):
        """Move past the time that a message carried."""
        if (millis, counter) > (self.millis, self.counter):
            self.millis, self.counter = millis, counter


class Timeline:
    """Keep the newest events of one process.

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
        """Record an event of *kind* now."""
        millis, counter = self.clock.tick()
        event = Event(
            millis=millis,
            counter=counter,
            host=self.host,
            number=kind.number,
            name=kind.name.lower(),
            request=request,
            details={key: str(value) for key, value in details.items()},
        )
        self.recent_events.append(event)
        for listener in self.listeners:
            listener(event)
        return event

    def select(self, *, request="", after=(0, 0)):
        """Return the kept events, of one request if it is named."""
        return [
            event
            for event in self.recent_events
            if (event.millis, event.counter) > after
            and (not request or event.request == request)
        ]
