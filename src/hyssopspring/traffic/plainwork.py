"""The model of a plain server, which answers one call per slot."""

from dataclasses import dataclass, field

from ..core.sentinels import NOTHING
from .serverspeeds import ServerSpeeds
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
        speeds: `ServerSpeeds`.
    """

    slots: int
    placements: dict = field(default_factory=dict)
    seconds: float = INITIAL_CALL_SECONDS
    speeds: ServerSpeeds = field(default_factory=ServerSpeeds)

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
        return self.call_seconds(now) * self.queue_factor(now)

    def call_seconds(self, now):
        """Return the seconds of a call that does not wait.

        The steady factor of a slow server relies on fewer of its own calls
        than the moving average, which also includes time in the queue.
        """
        speeds = self.speeds
        if not speeds.uneven:
            return self.seconds
        seconds = self.seconds
        if speeds.calls.value != 1.0:
            seconds = speeds.call_seconds.value * speeds.calls.value
        return seconds * speeds.live.current(now)

    def queue_factor(self, now):
        """Return the factor by which waiting calls extend a new one."""
        waiting = max(0, self.requests(now) + 1 - self.slots)
        return 1.0 + waiting / self.slots

    def requests(self, now):
        """Return the requests at the server."""
        return max(0, len(self.placements) + self.speeds.unseen.count(now))

    def cost(self, demand, urgency, now, copied=0):
        """Return the cost in seconds for the comparison of servers."""
        return self.predict(demand, urgency, now) + occupancy_cost(
            self.occupancy(now)
        )

    def estimate(self, request, cached_prefix, limit):
        """Return the estimate of the server for a request."""
        predicted = self.predict(request.demand, request.urgency, request.now)
        return Estimate(
            predicted, predicted + occupancy_cost(self.occupancy(request.now))
        )

    def begin(self, placement, demand):
        """Add the placement of a request."""
        placement.queue_factor = self.queue_factor(placement.placed_at)
        self.placements[placement.host, placement.number] = placement

    def start(self, placement, seconds, now):
        """Learn from an answer that came after *seconds*."""
        self.mark_started(placement, now)
        speeds = self.speeds
        usual = seconds / speeds.slowdown_of(placement, now)
        self.seconds += (min(usual, 1.0) - self.seconds) * LEARNING_RATE
        alone = usual / placement.queue_factor
        expected = speeds.call_seconds.value or alone
        speeds.learn(speeds.calls, alone, expected, now)
        speeds.call_seconds.learn(alone / speeds.calls.value)

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
        wait = self.predict(NOTHING, 5, now) - self.call_seconds(now)
        return (wait,) * RANKS

    def token_time(self, now, backlog=0.0):
        """Return 0; a plain service produces no tokens."""
        return 0.0

    def occupancy(self, now):
        """Return the used fraction of the slots."""
        return self.requests(now) / self.slots
