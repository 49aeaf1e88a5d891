"""Slots of an engine, counted by the urgency of the requests that use them."""

from dataclasses import dataclass, field

from .prefillqueue import URGENCY_LEVELS

__all__ = ["SlotUse"]


@dataclass(slots=True, eq=False)
class SlotUse:
    """Requests of one engine by urgency.

    The counts are updated with each placement, as every placement needs them
    for each engine.

    Attributes:
        slots: Requests that run concurrently.
        placed: Number of placed requests by urgency.
        running: Number of those with a first event by urgency.
    """

    slots: int
    placed: list = field(default_factory=lambda: [0] * URGENCY_LEVELS)
    running: list = field(default_factory=lambda: [0] * URGENCY_LEVELS)

    def add(self, placement):
        """Count a placement."""
        self.placed[placement.urgency] += 1
        self.running[placement.urgency] += placement.started

    def mark_started(self, placement):
        """Count a placement as running from its first event on."""
        if not placement.started:
            self.running[placement.urgency] += 1

    def remove(self, placement):
        """Stop counting a placement."""
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
