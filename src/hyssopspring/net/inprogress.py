"""Requests in progress: read completely, response not complete yet."""

import enum
from collections import Counter
from dataclasses import dataclass

__all__ = ["InProgress", "TrackedRequest", "Wait"]


class Wait(enum.StrEnum):
    """What a request in progress waits for.

    The values are label values of a metric and fields of log lines.
    """

    START = "start"
    CONFIGURATION = "configuration"
    VERIFICATION = "verification"
    VERSION = "stream_version"
    PLACEMENT = "placement"
    CONNECTION = "connection"
    SERVER = "server"
    OTHER_HOST = "other_host"
    LIMIT = "limit"
    CLAIM = "claim"
    CRASH_CHECK = "crash_check"
    DELIVERY = "delivery"


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """A request in progress.

    Attributes:
        request: The `twisted.web` request.
        began_at: Time at which it was read completely.
        end: Called without arguments to respond at once, whatever the request
            waits for.
        waits_for: The `Wait` it is in.
        id: Identifier in the event log, or an empty string.
    """

    request: object
    began_at: float
    end: object
    waits_for: Wait = Wait.START
    id: str = ""


class InProgress:
    """All requests in progress of one process.

    A request is tracked from its last byte until its response is complete or
    its caller has disconnected, whichever part of the process holds it.

    Args:
        clock: The runtime's clock.
        refuse: Called with a request to respond that it was not run, unless
            the part that holds the request has set how to end it.
    """

    def __init__(self, clock, refuse):
        self.clock = clock
        self.refuse = refuse
        self.tracked = {}

    def __len__(self):
        return len(self.tracked)

    def add(self, request):
        """Track *request*; return its `TrackedRequest`."""
        tracked = TrackedRequest(
            request, self.clock.seconds(), lambda: self.refuse(request)
        )
        self.tracked[request] = tracked
        request.notifyFinish().addBoth(
            lambda _: self.tracked.pop(request, None)
        )
        return tracked

    def tracked_requests(self):
        """Return the `TrackedRequest` of each request in progress."""
        return list(self.tracked.values())

    def counts(self):
        """Return the number of requests by `Wait`, for each of them."""
        counts = Counter(one.waits_for for one in self.tracked.values())
        return {wait: counts[wait] for wait in Wait}
