"""Capacity that is reserved for the requests that are bound to a region."""

import math
from dataclasses import dataclass, field

__all__ = ["WINDOW_SECONDS", "Headroom"]

WINDOW_SECONDS = 1.5
"""Seconds over which requests are averaged. Loads shift from one region to the
next within 3 s, and half a second of a calm load is a few dozen requests."""

LEARNING_RATE = 0.05
"""Weight of one observation of the time for which a slot is held."""

MIN_HELD_SECONDS = 0.05
"""Seconds for which a request holds a slot until one has completed."""


@dataclass(slots=True, eq=False)
class Headroom:
    """The recent demand of region-bound requests for one service.

    Attributes:
        requested: Number of region-bound requests in the last
            `WINDOW_SECONDS`, averaged exponentially.
        updated_at: Time up to which it is averaged.
        running: Region-bound requests that are placed.
        held_seconds: Moving average of the time for which one holds a slot.
        region_sets: Time of the last region-bound request by the regions that
            may serve it.
        sent_away: Number of requests sent to other regions for their sake.
    """

    requested: float = 0.0
    updated_at: float = 0.0
    running: int = 0
    held_seconds: float = 0.0
    region_sets: dict = field(default_factory=dict)
    sent_away: int = 0

    def advance(self, now):
        """Decay the average up to *now*."""
        elapsed = max(0.0, now - self.updated_at)
        self.requested *= math.exp(-elapsed / WINDOW_SECONDS)
        self.updated_at = max(now, self.updated_at)

    def record_request(self, regions, now):
        """Count a request that asks for a server.

        Args:
            regions: Regions that may serve it; empty for all.
            now: The time.
        """
        if regions:
            self.advance(now)
            self.requested += 1
            self.region_sets[regions] = now

    def begin(self, placement):
        """Count a placement."""
        self.running += placement.bound

    def end(self, placement, now, *, complete):
        """Remove a placement, and learn how long it held its slot."""
        if not placement.bound:
            return
        self.running -= 1
        if complete and placement.started:
            began = placement.started_at - placement.prefill_seconds
            held = now - max(began, placement.placed_at)
            known = self.held_seconds or held
            self.held_seconds = known + LEARNING_RATE * (held - known)

    def missing_slots(self, now):
        """Return the slots that the bound requests need beyond those in use.

        By Little's law, requests at a steady rate use as many slots as the
        rate times the time for which each holds its slot.
        """
        self.advance(now)
        held = max(self.held_seconds, MIN_HELD_SECONDS)
        needed = self.requested / WINDOW_SECONDS * held
        return max(0.0, needed - self.running)

    def contested_regions(self, now):
        """Return the regions that recent region-bound requests may use."""
        return {
            region
            for regions, at in self.region_sets.items()
            if now - at <= WINDOW_SECONDS
            for region in regions
        }
