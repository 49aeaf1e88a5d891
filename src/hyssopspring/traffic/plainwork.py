"""The model of a plain server, which answers one call per slot."""

from dataclasses import dataclass, field

from ..core.sentinels import NOTHING
from .work import RANKS, Estimate, occupancy_cost

__all__ = ["INITIAL_CALL_SECONDS", "PlainServerWork"]

INITIAL_CALL_SECONDS = 0.06
"""Initial seconds for one call of a plain service."""

LEARNING_RATE = 0.12
"""Weight of one observation in the moving average of the time of a call."""


@dataclass(slots=True, eq=False)
class PlainServerWork:
    """Work in progress at a server that answers one call per slot.

    Attributes:
        slots: Calls that run concurrently.
        placements: `Placement` by host and number.
        seconds: Moving average of the time of a call.
    """

    slots: int
    placements: dict = field(default_factory=dict)
    seconds: float = INITIAL_CALL_SECONDS

    def is_for(self, engine):
        """Return whether the model fits a service with this `EngineSpec`."""
        return engine is NOTHING

    def idle_seconds(self, demand, uncached):
        """Return the seconds to an answer of an idle server."""
        return self.seconds

    def cached_prefix_tokens(self, demand):
        """Return 0; a plain service caches no prompts."""
        return 0

    def copied_tokens(self, demand, most_cached):
        """Return 0; there is nothing to copy."""
        return 0

    def uncached_tokens(self, demand, copied=0):
        """Return 0; a plain service prefills no prompts."""
        return 0

    def predict(self, demand, urgency, now, copied=0):
        """Return the predicted seconds until an answer."""
        waiting = max(0, len(self.placements) + 1 - self.slots)
        return self.seconds * (1.0 + waiting / self.slots)

    def cost(self, demand, urgency, now, copied=0):
        """Return the cost in seconds for the comparison of servers."""
        return self.predict(demand, urgency, now) + occupancy_cost(
            self.occupancy()
        )

    def estimate(self, request, cached_prefix, limit):
        """Return the estimate of the server for a request."""
        predicted = self.predict(request.demand, request.urgency, request.now)
        return Estimate(
            predicted, predicted + occupancy_cost(self.occupancy())
        )

    def begin(self, placement, demand):
        """Add the placement of a request."""
        self.placements[placement.host, placement.number] = placement

    def start(self, placement, seconds, now):
        """Learn from an answer that came after *seconds*."""
        self.mark_started(placement, now)
        self.seconds += (min(seconds, 1.0) - self.seconds) * LEARNING_RATE

    def mark_started(self, placement, now):
        """Record that an answer has begun."""
        placement.started = True
        placement.started_at = now

    def end(self, placement, now, *, complete=False, gaps=NOTHING):
        """Remove the placement of a request."""
        self.placements.pop((placement.host, placement.number), None)

    def retire(self):
        """Do nothing; a plain server shares no counts with others."""

    def waits(self, now):
        """Return the seconds that a new request waits, by its rank."""
        return (self.predict(NOTHING, 5, now) - self.seconds,) * RANKS

    def token_time(self, now, backlog=0.0):
        """Return 0; a plain service produces no tokens."""
        return 0.0

    def occupancy(self):
        """Return the used fraction of the slots."""
        return len(self.placements) / self.slots
