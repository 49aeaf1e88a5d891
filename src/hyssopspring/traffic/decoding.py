"""How long the engines of a service need for an output token, learned."""

import math
from dataclasses import dataclass, field

from .work import RANKS

__all__ = ["DecodeTimes", "DutyCycle", "RankUtilization"]

INITIAL_IDLE_TOKEN_SECONDS = 0.006
INITIAL_BUSY_TOKEN_SECONDS = 0.035
"""Seconds for an output token, to begin with, of an engine that reads no
prompt meanwhile and of one that always does: a step of the batch, and a
step with a chunk of a prompt, by the users' sheets."""

TOKEN_SECONDS_RANGE = (0.001, 0.3)
"""Bounds of an observed time of an output token. Callers ask for more
tokens than come, so it may lie below the time of one step."""

LEARNING_RATE = 0.05
"""Weight of one observation; the number of tokens is a caller's estimate
that may be off by half, so some dozen have to agree."""

DUTY_CYCLE_SECONDS = 3.0
"""Seconds over which the part of the time with reading is averaged: about
the length of a stream."""


@dataclass(slots=True, eq=False)
class DecodeTimes:
    """Seconds for an output token, for one service.

    Each step of an engine makes one token of every running request, and a
    step in which a chunk of a prompt is read takes six times as long. So
    the time grows with the part of the time in which the engine reads.

    Attributes:
        idle: Seconds for a token of an engine that reads nothing.
        busy: Seconds for a token of one that always reads.
    """

    idle: float = INITIAL_IDLE_TOKEN_SECONDS
    busy: float = INITIAL_BUSY_TOKEN_SECONDS

    def seconds(self, duty):
        """Return the seconds for a token at a part *duty* of reading."""
        return self.idle + (self.busy - self.idle) * duty

    def learn(self, duty, observed):
        """Learn from a request that took *met* seconds for each token."""
        low, high = TOKEN_SECONDS_RANGE
        error = min(high, max(low, observed)) - self.seconds(duty)
        self.idle = max(low, self.idle + LEARNING_RATE * (1.0 - duty) * error)
        self.busy = max(self.idle, self.busy + LEARNING_RATE * duty * error)


MAX_OVERTAKING_FRACTION = 0.6
"""Largest part of the time that more urgent prompts are taken to need in
what is to come; beyond it a less urgent one is refused in any case."""


@dataclass(slots=True, eq=False)
class RankUtilization:
    """The parts of an engine's time that prompts of each rank have taken.

    Attributes:
        recent: The part by rank.
        at: Time of the last change.
    """

    recent: list = field(default_factory=lambda: [0.0] * RANKS)
    at: float = 0.0

    def note(self, rank, seconds, now):
        """Note that a prompt of *rank* was read in *seconds*."""
        kept = math.exp(-max(0.0, now - self.at) / DUTY_CYCLE_SECONDS)
        self.recent = [part * kept for part in self.recent]
        self.recent[rank] += seconds / DUTY_CYCLE_SECONDS
        self.at = now

    def slowdown(self, rank, now):
        """Return by what a wait grows as more urgent prompts come.

        Who waits is overtaken by those that come later and are more
        urgent; without that, prompts of the lowest rank are begun late
        although predicted in time.
        """
        kept = math.exp(-max(0.0, now - self.at) / DUTY_CYCLE_SECONDS)
        taken = sum(self.recent[:rank]) * kept
        return 1.0 / (1.0 - min(MAX_OVERTAKING_FRACTION, taken))


@dataclass(slots=True, eq=False)
class DutyCycle:
    """The part of its time in which one engine reads prompts.

    Attributes:
        reading: Whether it reads now.
        since: Time up to which the rest is counted.
        recent: The part over the last seconds.
        total: Seconds of reading in all.
    """

    prefilling: bool = False
    since: float = 0.0
    recent: float = 0.0
    total: float = 0.0

    def note(self, prefilling, now):
        """Note whether the engine reads from now on."""
        self.advance(now)
        self.prefilling = prefilling

    def advance(self, now):
        """Count the time up to now."""
        passed = max(0.0, now - self.since)
        kept = math.exp(-passed / DUTY_CYCLE_SECONDS)
        self.recent = self.recent * kept + (1.0 - kept) * self.prefilling
        self.total += passed * self.prefilling
        self.since = max(now, self.since)

    def expected(self, backlog, seconds):
        """Return the part expected in the next *seconds*.

        Args:
            backlog: Seconds of reading that wait already.
            seconds: Length of the time that is asked for.
        """
        sure = min(1.0, backlog / max(seconds, 1e-3))
        return sure + (1.0 - sure) * self.recent
