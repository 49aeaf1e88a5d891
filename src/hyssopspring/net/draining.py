"""Planned stop of a process: what is accepted, and when requests end."""

from dataclasses import replace

from twisted.internet import task
from twisted.python.failure import Failure

from ..core.events import EventKind
from ..core.outcomes import Answered, NotRun, Reason, combine
from ..core.sentinels import NOTHING
from .inprogress import Wait
from .stoptimes import StopTimes

__all__ = ["Drain"]

CHECK_INTERVAL_SECONDS = 0.05
"""Interval between checks whether all requests have ended."""

MIN_CLOSE_SECONDS = 0.25
"""Least time in which a stopping host closes its connections, also if it was
suspended past the time allowed."""

CUT_REASONS = (Reason.DEADLINE, Reason.OVERLOADED)
"""Reasons of an outcome that a shortened deadline can cause."""


class Drain(StopTimes):
    """The planned stop of one gateway or admin server.

    Args:
        clock: The runtime's clock.
        allowed: Seconds allowed from the stop signal to the end of the
            process.
        in_progress: The `InProgress` that tracks the requests.
        timeline: The `Timeline`, the event log.

    Attributes:
        refusing: Whether new requests are refused.
        ending: Whether the requests in progress are being ended.
    """

    def __init__(self, clock, allowed, in_progress, timeline):
        super().__init__(clock, allowed)
        self.in_progress = in_progress
        self.timeline = timeline
        self.refusing = False
        self.ending = False

    @property
    def leaving(self):
        """Whether the host reports to others that it is shutting down."""
        return self.since is not NOTHING

    @property
    def active(self):
        """Number of calls of callers and other hosts in progress."""
        return sum(
            tracked.waits_for is not Wait.START
            for tracked in self.in_progress.tracked_requests()
        )

    def bound(self, request):
        """Return *request* with a deadline before the end of the host."""
        if request.deadline <= self.ends_at:
            return request
        return replace(request, deadline=self.ends_at)

    def explain(self, request, outcome):
        """Return *outcome*, with the stop as reason if that has caused it.

        Args:
            request: The `Request`, with the deadline of its caller.
            outcome: Its final outcome.
        """
        was_cut = request.deadline > self.ends_at
        if was_cut and getattr(outcome, "reason", "") in CUT_REASONS:
            return type(outcome)(Reason.LEAVING)
        return outcome

    def outcome_of(self, outcomes):
        """Return the outcome of a request that the stop ends.

        Args:
            outcomes: Outcomes of its attempts.
        """
        combined = combine(outcomes) if outcomes else NotRun(Reason.LEAVING)
        if isinstance(combined, Answered):
            return combined
        return type(combined)(Reason.LEAVING)

    async def end_requests(self, listeners, on_failure):
        """Refuse new requests, wait, and end what is left in time.

        Args:
            listeners: The `Listeners`, whose connections are closed.
            on_failure: Called with the failure of a request that could not
                be ended.

        Returns:
            Number of requests that the stop has ended.
        """
        self.refusing = True
        await self.wait_until_idle(listeners)
        ended = self.begin_ending()
        for tracked in ended:
            try:
                tracked.end()
            except Exception:  # noqa: BLE001 - every exception is logged
                on_failure(Failure())
        now = self.clock.seconds()
        await listeners.close(max(self.exits_at, now + MIN_CLOSE_SECONDS))
        return len(ended)

    async def wait_until_idle(self, listeners):
        """Wait until no request is in progress, or their time is over.

        It is over one interval early, so that each request is ended as one
        that is in progress, and not by the shortened deadline of an attempt.

        Args:
            listeners: The `Listeners`, whose idle connections are closed.
        """
        while len(self.in_progress) and self.has_time(CHECK_INTERVAL_SECONDS):
            listeners.close_idle()
            await task.deferLater(self.clock, CHECK_INTERVAL_SECONDS)

    def begin_ending(self):
        """Log the requests in progress; return their `TrackedRequest`."""
        self.ending = True
        ended = self.in_progress.tracked_requests()
        for tracked in ended:
            waited = self.clock.seconds() - tracked.began_at
            self.timeline.note(
                EventKind.ENDED_BY_STOP,
                request=tracked.id,
                waits_for=tracked.waits_for,
                waited_ms=int(waited * 1000),
                stopping_ms=int(self.seconds * 1000),
            )
        return ended
