"""Slots of an engine, counted by the urgency of the requests that use them."""

import heapq
import math
from dataclasses import dataclass, field

from .prefillqueue import URGENCY_LEVELS

__all__ = [
    "BEHIND_ALL",
    "MIN_REMAINING_SECONDS",
    "SlotUse",
    "remaining_seconds",
    "seconds_to_free_slot",
]

BEHIND_ALL = 99
"""Urgency of a request that waits behind all others."""

MIN_REMAINING_SECONDS = 0.08
"""Seconds that a request is assumed to need after its expected end has
passed."""

CACHE_SECONDS = 0.02
"""Seconds for which the wait for a slot is cached while no request of the
engine begins or ends. Each placement needs it for each full engine."""

DEMAND_SECONDS = 3.0
"""Seconds over which the demand for slots is averaged, about the length of a
stream."""

MAX_OVERTAKING_FRACTION = 0.8
"""Maximum fraction of the slots that more urgent requests are assumed to take
in the future. Beyond it, a less urgent request is refused in any case."""


@dataclass(slots=True, eq=False)
class SlotUse:
    """Requests of one engine by urgency.

    The counts are updated with each placement, as every placement needs them
    for each engine.

    Attributes:
        slots: Requests that run concurrently.
        placed: Number of placed requests by urgency.
        running: Number of those with a first event by urgency.
        demand: Seconds of slots that recent requests need, by urgency.
        demand_at: Time up to which the demand has decayed.
        waits: Time and seconds of cached waits for a slot, by urgency.
    """

    slots: int
    placed: list = field(default_factory=lambda: [0] * URGENCY_LEVELS)
    running: list = field(default_factory=lambda: [0] * URGENCY_LEVELS)
    demand: list = field(default_factory=lambda: [0.0] * URGENCY_LEVELS)
    demand_at: float = 0.0
    waits: dict = field(default_factory=dict)

    def add(self, placement):
        """Count a placement."""
        self.waits.clear()
        self.placed[placement.urgency] += 1
        self.running[placement.urgency] += placement.started

    def mark_started(self, placement):
        """Count a placement as running from its first event on."""
        self.waits.clear()
        if not placement.started:
            self.running[placement.urgency] += 1

    def remove(self, placement):
        """Stop counting a placement."""
        self.waits.clear()
        self.placed[placement.urgency] -= 1
        self.running[placement.urgency] -= placement.started

    def held(self, urgency):
        """Return the slots that a request of *urgency* finds in use.

        The engine admits more urgent requests first and preempts less urgent
        ones for them, so only those that are at least as urgent count.
        """
        return sum(self.placed[: urgency + 1])

    def is_full(self, urgency):
        """Return whether no slot is free for a prompt of *urgency*."""
        return sum(self.running[: urgency + 1]) >= self.slots

    def add_demand(self, urgency, seconds, now):
        """Count a request that will hold a slot for *seconds*."""
        decay = math.exp(-max(0.0, now - self.demand_at) / DEMAND_SECONDS)
        self.demand = [one * decay for one in self.demand]
        self.demand[urgency] += seconds
        self.demand_at = max(now, self.demand_at)

    def slowdown(self, urgency, now):
        """Return the factor by which more urgent requests extend a wait.

        A waiting request is overtaken by more urgent ones that arrive later.
        Without this factor, requests that yield were predicted to start in
        2.2 s at full engines and started after 5 s.
        """
        decay = math.exp(-max(0.0, now - self.demand_at) / DEMAND_SECONDS)
        urgent = sum(self.demand[:urgency]) * decay
        fraction = urgent / (self.slots * DEMAND_SECONDS)
        return 1.0 / (1.0 - min(MAX_OVERTAKING_FRACTION, fraction))

    def wait(self, placements, urgency, token_seconds, now):
        """Return the seconds until a slot is free for a new request.

        Args:
            placements: Each `Placement` of the engine.
            urgency: Urgency of the new request, or `BEHIND_ALL`.
            token_seconds: Seconds that the engine needs for an output token.
            now: The time.
        """
        cached_at, seconds = self.waits.get(urgency, (-math.inf, 0.0))
        if now - cached_at < CACHE_SECONDS:
            return max(0.0, seconds - (now - cached_at))
        running, waiting = self.split(placements, urgency)
        seconds = seconds_to_free_slot(
            self.slots,
            [remaining_seconds(one, token_seconds, now) for one in running],
            [
                one.prefill_seconds + one.tokens_out * token_seconds
                for one in waiting
            ],
        )
        if urgency < BEHIND_ALL:
            seconds *= self.slowdown(urgency, now)
        self.waits[urgency] = now, seconds
        return seconds

    def split(self, placements, urgency):
        """Return the running and the waiting requests before a new one.

        Args:
            placements: Each `Placement`.
            urgency: Urgency of the new request; less urgent ones yield to it.

        Returns:
            The running ones, and the waiting ones in the order in which they
            get slots.
        """
        running, waiting = [], []
        for placement in placements:
            if placement.urgency <= urgency:
                queue = waiting if placement.waiting else running
                queue.append(placement)
        waiting.sort(key=lambda one: (one.urgency, one.placed_at))
        return running, waiting


def seconds_to_free_slot(slots, running, waiting):
    """Return the seconds until a slot is free for a new request.

    Requests that get a slot meanwhile free it again, short ones soon. If only
    the ends of those that run now counted, the wait behind a dozen others
    would be that for the longest of them, twice the true one.

    Args:
        slots: Number of slots.
        running: Seconds until the end of each running request.
        waiting: Seconds that each request needs that waits before the new one,
            in the order in which they get slots.
    """
    ends = running + [0.0] * (slots - len(running))
    heapq.heapify(ends)
    for _ in range(len(ends) - slots):
        heapq.heappop(ends)
    for seconds in waiting:
        heapq.heapreplace(ends, ends[0] + seconds)
    return ends[0]


def remaining_seconds(placement, token_seconds, now):
    """Return the seconds until a request should end.

    Args:
        placement: Its `Placement`.
        token_seconds: Seconds that its server needs for an output token.
        now: The time.
    """
    complete = placement.tokens_out * token_seconds
    if not placement.started:
        return complete + placement.predicted
    return max(MIN_REMAINING_SECONDS, complete - (now - placement.started_at))
