"""The model of a server that answers one call per slot."""

from dataclasses import dataclass, field

from ..core.sentinels import NOTHING
from .work import RANKS, Assessment, crowding

__all__ = ["PLAIN_SECONDS", "PlainWork"]

PLAIN_SECONDS = 0.06
"""Seconds for one call of a plain service, to begin with."""

LEARN = 0.12
"""Weight of one observation in the moving average of the time of a call."""


@dataclass(slots=True, eq=False)
class PlainWork:
    """Work in progress at a server that answers one call per slot.

    Attributes:
        slots: Calls that run at once.
        tickets: `Ticket` by host and number.
        seconds: Moving average of the time of a call.
    """

    slots: int
    tickets: dict = field(default_factory=dict)
    seconds: float = PLAIN_SECONDS

    def is_for(self, engine):
        """Whether the model fits a service with this `EngineSpec`."""
        return engine is NOTHING

    def alone(self, demand, fresh):
        """Return the seconds to an answer of a server that is idle."""
        return self.seconds

    def known_tokens(self, demand):
        """Return 0; a plain service caches no prompts."""
        return 0

    def copied_tokens(self, demand, elsewhere):
        """Return 0; there is nothing to copy."""
        return 0

    def fresh_tokens(self, demand, copied=0):
        """Return 0; a plain service reads no prompts."""
        return 0

    def predict(self, demand, urgency, now, copied=0):
        """Return the seconds until an answer would come."""
        waiting = max(0, len(self.tickets) + 1 - self.slots)
        return self.seconds * (1.0 + waiting / self.slots)

    def cost(self, demand, urgency, now, copied=0):
        """Return the seconds that count in a comparison of servers."""
        return self.predict(demand, urgency, now) + crowding(self.used())

    def assess(self, inquiry, known, limit):
        """Return what the server would do for a request."""
        predicted = self.predict(inquiry.demand, inquiry.urgency, inquiry.now)
        return Assessment(predicted, predicted + crowding(self.used()))

    def begin(self, ticket, demand):
        """Count a placed request."""
        self.tickets[ticket.host, ticket.number] = ticket

    def start(self, ticket, seconds, now):
        """Take account of an answer after *seconds*."""
        self.mark_started(ticket, now)
        self.seconds += (min(seconds, 1.0) - self.seconds) * LEARN

    def mark_started(self, ticket, now):
        """Note that an answer has begun."""
        ticket.started = True
        ticket.started_at = now

    def end(self, ticket, now, *, whole=False):
        """Count the end of a request."""
        self.tickets.pop((ticket.host, ticket.number), None)

    def waits(self, now):
        """Return the seconds that a new request waits, by its rank."""
        return (self.predict(NOTHING, 5, now) - self.seconds,) * RANKS

    def token_time(self, now, backlog=0.0):
        """Return 0; a plain service makes no tokens."""
        return 0.0

    def used(self):
        """Return the part of the slots that are taken."""
        return len(self.tickets) / self.slots
