"""Second attempts of requests whose servers are silent."""

from twisted.internet import defer

from ..core.events import EventKind
from ..core.outcomes import Answered, Reason, Unknown
from ..core.sentinels import NOTHING
from ..traffic.decisions import Placed, PlacedRemotely
from ..traffic.serverhealth import AttemptResult
from .tries import Try

__all__ = ["Hedging"]

HEDGE_INTERVAL_SECONDS = 0.5
"""Seconds between two placements that are asked for during one silence."""


class Hedging:
    """Run a second attempt beside one whose server is silent.

    A silent server may be sound and go on, so that its attempt is abandoned
    only once the second one has data for the caller. If the first one goes on
    before, the second one is abandoned.

    Args:
        exchange: The `Exchange`.

    Attributes:
        hedge: The second `Try`, or `NOTHING`.
    """

    def __init__(self, exchange):
        self.exchange = exchange
        self.state = exchange.state
        self.hedge = NOTHING
        self.is_placing = False
        self.next_at = 0.0

    def check(self, now):
        """Look for a second server if that of the current try is silent."""
        if self.hedge is not NOTHING or self.is_placing or now < self.next_at:
            return
        current = self.exchange.current
        if current.is_silent and self.exchange.may_hedge():
            self.is_placing = True
            self.next_at = now + HEDGE_INTERVAL_SECONDS
            work = defer.ensureDeferred(self.place(current))
            work.addErrback(self.handle_error)

    async def place(self, silent):
        """Place the second attempt, and start it if it is still needed.

        Args:
            silent: The `Try` whose server is silent.
        """
        last_data = silent.last_data
        try:
            number, decision = await self.state.coordinator.place(
                self.exchange.ask()
            )
        finally:
            self.is_placing = False
        found = isinstance(decision, Placed | PlacedRemotely)
        needed = silent.in_progress and silent.last_data == last_data
        if found and needed and self.exchange.spend_retry():
            self.start(silent, Try(self.exchange, number, decision))
        else:
            self.state.coordinator.record_attempt_end(
                number, AttemptResult.UNUSED
            )

    def start(self, silent, hedge):
        """Start the second attempt.

        Args:
            silent: The `Try` whose server is silent.
            hedge: The `Try` to start beside it.
        """
        self.state.timeline.note(
            EventKind.HEDGED,
            request=self.exchange.id,
            at=silent.attempt.endpoint.key,
            silent_ms=int(silent.silent_seconds * 1000),
            events=silent.attempt.events,
        )
        self.exchange.tries += 1
        self.hedge = hedge
        ended = hedge.start()
        ended.addErrback(self.handle_error)
        ended.addCallback(self.handle_end, hedge)

    def handle_error(self, failure):
        """Log an unexpected error; the first attempt goes on."""
        self.state.timeline.note(
            EventKind.UNEXPECTED,
            request=self.exchange.id,
            error=failure.getTraceback(),
        )
        return Unknown(Reason.CONNECTION_LOST)

    def handle_end(self, outcome, hedge):
        """Use the response of the second attempt, or go on without it.

        Returns:
            The *outcome*, for the exchange if it waits for this attempt.
        """
        if self.hedge is not hedge:
            return outcome
        if self.is_usable(outcome, hedge):
            self.select(hedge)
            return outcome
        self.hedge = NOTHING
        self.exchange.keep_fallback(hedge, outcome)
        return outcome

    def handle_outcome(self, ended):
        """Abandon the second attempt if the first one has a response.

        The exchange delivers it after the crash check. Events of the second
        attempt must not begin another response meanwhile.

        Args:
            ended: The `Try` whose attempt has ended.
        """
        is_first = ended is self.exchange.current
        if is_first and self.is_usable(ended.outcome, ended):
            self.drop(Reason.SUPERSEDED)

    def is_usable(self, outcome, ended):
        """Return whether an attempt has a response to deliver.

        Args:
            outcome: Its outcome.
            ended: The `Try`.
        """
        if not isinstance(outcome, Answered) or outcome.status >= 500:
            return False
        is_stream = ended.attempt.buffered_response is NOTHING
        return is_stream or not self.exchange.sink.started

    def has_response(self):
        """Return whether the second attempt has ended with a response."""
        hedge = self.hedge
        return hedge is not NOTHING and self.is_usable(hedge.outcome, hedge)

    def select(self, chosen):
        """Abandon the attempt that runs beside the *chosen* one.

        Args:
            chosen: The `Try` that has data for the caller.
        """
        if self.hedge is NOTHING:
            return
        if chosen is self.hedge:
            self.exchange.current.abandon(Reason.SUPERSEDED, silent=True)
        else:
            self.drop(Reason.SUPERSEDED)

    def drop(self, reason):
        """Abandon the second attempt, if there is one.

        Args:
            reason: The `Reason`.

        Returns:
            Whether it runs and has been sent.
        """
        hedge = self.take()
        return hedge is not NOTHING and hedge.abandon(reason)

    def take(self):
        """Return the second `Try`, which is then no longer kept here."""
        hedge, self.hedge = self.hedge, NOTHING
        return hedge
