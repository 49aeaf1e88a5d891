"""The queue of prompts to prefill on one engine."""

from dataclasses import field

from ..core.records import dataclass
from ..core.sentinels import NOTHING

__all__ = ["PrefillQueue"]

URGENCY_LEVELS = 10
"""Number of urgencies that a server distinguishes, 0 to 9."""


@dataclass(slots=True, eq=False)
class PrefillQueue:
    """Prompts whose prefill has not ended, and their prefill time by urgency.

    The sums are updated as prompts are added and removed, since each placement
    needs them for each engine. Computing them from sixteen requests on each of
    35 engines took a third of the time of a placement.

    Attributes:
        placements: Each `Placement` by host and number.
        counts: Number of prompts by urgency.
        seconds: Prefill time in seconds by urgency.
    """

    placements: dict = field(default_factory=dict)
    counts: list = field(default_factory=lambda: [0] * URGENCY_LEVELS)
    seconds: list = field(default_factory=lambda: [0.0] * URGENCY_LEVELS)

    def add(self, placement):
        """Add a prompt."""
        self.placements[placement.host, placement.number] = placement
        self.counts[placement.urgency] += 1
        self.seconds[placement.urgency] += placement.prefill_seconds

    def remove(self, placement):
        """Remove a prompt if it is in the queue."""
        key = placement.host, placement.number
        if self.placements.get(key) is not placement:
            return
        del self.placements[key]
        self.counts[placement.urgency] -= 1
        self.seconds[placement.urgency] -= placement.prefill_seconds
        if not self.counts[placement.urgency]:
            # Clears the rounding error that additions and subtractions
            # leave.
            self.seconds[placement.urgency] = 0.0

    def seconds_up_to(self, urgency):
        """Return the prefill time of all that are at least as urgent."""
        return sum(self.seconds[: urgency + 1])

    def first(self):
        """Return the most urgent prompt, the oldest one among equals."""
        return min(
            self.placements.values(),
            key=lambda one: (one.urgency, one.placed_at),
            default=NOTHING,
        )
