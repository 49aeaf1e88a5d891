"""Times at which refused callers return and are then served."""

import math
from collections import deque
from dataclasses import dataclass, field

from ..core.sentinels import NOTHING
from .work import RANKS

__all__ = ["ReturnSchedule"]

RETURN_FRACTION = 1 / 3
"""Fraction of their remaining time for which callers wait before a retry."""

WINDOW_SECONDS = 1.5
"""Seconds over which the rate of completed work is averaged."""

PROMISED_FRACTION = 0.9
"""Fraction of the recent service rate of a rank that is promised. The rest
absorbs errors of the predicted work, so that promises are kept."""

DUE_SECONDS = 0.1
"""Seconds before its time from which on newcomers yield to a promise. What a
newcomer takes is missing for at least as long."""

EARLY_SECONDS = 0.05
"""Seconds before its time from which on a caller takes its promised place; a
round trip to a caller takes about as long."""

PROMISE_TTL_SECONDS = 0.5
"""Seconds after its time when a promise expires."""

AFTER_DEADLINE_SECONDS = 0.5
"""Seconds after the caller's deadline that a refusal states if nothing can be
promised."""

MIN_COMPLETED_REQUESTS = 3.0
"""Work that must have been completed in the last seconds for a promise, in
requests like the refused one. With less, the service rate is unknown, as at a
host that has just taken over."""


@dataclass(slots=True, eq=False)
class Promise:
    """A place that a refused caller takes when it returns.

    Attributes:
        request: Identifier of the request.
        at: Time at which it should return.
        seconds: Seconds in which the region serves its work.
        open: Whether it can still be taken.
    """

    request: int
    at: float
    seconds: float
    open: bool = True


@dataclass(slots=True, eq=False)
class RankSchedule:
    """The promises of one rank, whose times never decrease.

    Attributes:
        next_at: Time from which on nothing is promised yet.
        completed: Work in seconds completed in the last `WINDOW_SECONDS`,
            averaged exponentially.
        upcoming: Each `Promise` that newcomers need not yield to yet.
        due: Each `Promise` whose time is near or was a moment ago.
        due_seconds: Sum of the seconds of the open ones that are due.
    """

    next_at: float = 0.0
    completed: float = 0.0
    upcoming: deque = field(default_factory=deque)
    due: deque = field(default_factory=deque)
    due_seconds: float = 0.0


@dataclass(slots=True, eq=False)
class ReturnSchedule:
    """The promised returns to one service in a region.

    Attributes:
        promises: Each open `Promise` and its `RankSchedule` by the identifier
            of the request.
        ranks: `RankSchedule` of each rank.
        updated_at: Time up to which averages are decayed.
        kept: Number of callers that returned in their time.
        expired: Number of promises that expired.
        declined: Number of callers that were told a time after their deadline.
    """

    promises: dict = field(default_factory=dict)
    ranks: list = field(
        default_factory=lambda: [RankSchedule() for _ in range(RANKS)]
    )
    updated_at: float = 0.0
    kept: int = 0
    expired: int = 0
    declined: int = 0

    def advance(self, now):
        """Decay the averages, and move promises whose time is near or over."""
        elapsed = max(0.0, now - self.updated_at)
        factor = math.exp(-elapsed / WINDOW_SECONDS)
        self.updated_at = max(now, self.updated_at)
        for own in self.ranks:
            own.completed *= factor
            while own.upcoming and own.upcoming[0].at <= now + DUE_SECONDS:
                promise = own.upcoming.popleft()
                if promise.open:
                    own.due.append(promise)
                    own.due_seconds += promise.seconds
            while own.due and own.due[0].at + PROMISE_TTL_SECONDS < now:
                promise = own.due.popleft()
                if promise.open:
                    self.close(promise.request)
                    self.expired += 1
            if not own.due:
                own.due_seconds = 0.0

    def close(self, request):
        """End a promise; return it, or `NOTHING`."""
        promise, own = self.promises.pop(request, (NOTHING, NOTHING))
        if promise is NOTHING:
            return NOTHING
        promise.open = False
        if promise.at <= self.updated_at + DUE_SECONDS:
            own.due_seconds = max(0.0, own.due_seconds - promise.seconds)
        return promise

    def record_completed(self, rank, work, now):
        """Count the work in seconds of a complete answer."""
        self.advance(now)
        self.ranks[rank].completed += work

    def knows_rate(self, rank, work, now):
        """Return whether enough was completed to promise a time.

        Args:
            rank: Class of the urgency of the refused request.
            work: Seconds of work that it needs.
            now: The time.
        """
        self.advance(now)
        return self.ranks[rank].completed >= MIN_COMPLETED_REQUESTS * work

    def promise(self, request, rank, work, wait, time_left, now):
        """Return the seconds until a refused caller should return.

        Args:
            request: Identifier of the request.
            rank: Class of its urgency.
            work: Seconds of work that it needs.
            wait: Seconds until the work that waits now leaves room.
            time_left: Seconds until the caller's deadline.
            now: The time.

        Returns:
            The seconds, and whether a place was promised.
        """
        self.advance(now)
        self.close(request)
        own = self.ranks[rank]
        at = max(now + wait, own.next_at)
        if at - now > time_left * RETURN_FRACTION:
            self.declined += 1
            return time_left + AFTER_DEADLINE_SECONDS, False
        rate = own.completed / WINDOW_SECONDS * PROMISED_FRACTION
        promise = Promise(request, at, work / rate)
        own.next_at = at + promise.seconds
        own.upcoming.append(promise)
        self.promises[request] = promise, own
        return at - now, True

    def take(self, request, now):
        """Return whether a caller returns in its time; end its promise."""
        self.advance(now)
        promise = self.close(request)
        if promise is NOTHING or now < promise.at - EARLY_SECONDS:
            return False
        self.kept += 1
        return True

    def due_seconds(self, rank, now):
        """Return the seconds of promised work that goes before a newcomer.

        Args:
            rank: Class of the newcomer's urgency.
            now: The time.
        """
        if not self.promises:
            return 0.0
        self.advance(now)
        return self.ranks[rank].due_seconds
