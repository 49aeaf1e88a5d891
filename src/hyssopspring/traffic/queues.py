"""Prompts that wait to be read by one engine."""

from dataclasses import dataclass, field

from ..core.sentinels import NOTHING

__all__ = ["ReadingQueue"]

URGENCIES = 10
"""Ranks that a server knows, 0 to 9."""


@dataclass(slots=True, eq=False)
class ReadingQueue:
    """Prompts that are to be read, and the seconds of reading by urgency.

    The sums are kept as prompts come and go. Each choice asks each engine
    for them; walked anew, sixteen requests at each of 35 engines took a
    third of the time of a choice.

    Attributes:
        tickets: Each `Ticket` by host and number.
        counts: Prompts by urgency.
        seconds: Seconds of reading by urgency.
    """

    tickets: dict = field(default_factory=dict)
    counts: list = field(default_factory=lambda: [0] * URGENCIES)
    seconds: list = field(default_factory=lambda: [0.0] * URGENCIES)

    def add(self, ticket):
        """Put a prompt in."""
        self.tickets[ticket.host, ticket.number] = ticket
        self.counts[ticket.urgency] += 1
        self.seconds[ticket.urgency] += ticket.reading

    def remove(self, ticket):
        """Take a prompt out, if it is in."""
        key = ticket.host, ticket.number
        if self.tickets.get(key) is not ticket:
            return
        del self.tickets[key]
        self.counts[ticket.urgency] -= 1
        self.seconds[ticket.urgency] -= ticket.reading
        if not self.counts[ticket.urgency]:
            # Ends the drift of sums and differences of fractions.
            self.seconds[ticket.urgency] = 0.0

    def seconds_until(self, urgency):
        """Return the seconds of reading of all as urgent, or more so."""
        return sum(self.seconds[: urgency + 1])

    def first(self):
        """Return the most urgent prompt, the oldest of these."""
        return min(
            self.tickets.values(),
            key=lambda one: (one.urgency, one.placed_at),
            default=NOTHING,
        )
