"""Times of the engines of a service for an output token, learned."""

import math
from dataclasses import dataclass, field

from .work import RANKS

__all__ = [
    "INITIAL_BUSY_TOKEN_SECONDS",
    "DecodeTimes",
    "DutyCycle",
    "RankUtilization",
]

INITIAL_IDLE_TOKEN_SECONDS = 0.006
INITIAL_BUSY_TOKEN_SECONDS = 0.035
"""Initial seconds for an output token on an engine that prefills nothing
meanwhile, and on one that always does: a step of the batch, and a step with a
chunk of a prompt, by the users' sheets."""

TOKEN_SECONDS_RANGE = (0.001, 0.3)
"""Bounds of an observed time of an output token in seconds. Callers ask for
more tokens than are produced, so it may lie below the time of one step."""

LEARNING_RATE = 0.05
"""Weight of one observation. The number of tokens is a caller's estimate that
may be wrong by half, so some dozen observations have to agree."""

DUTY_CYCLE_SECONDS = 3.0
"""Seconds over which the fraction of time in prefill is averaged, which is
about the length of a stream."""


@dataclass(slots=True, eq=False)
class DecodeTimes:
    """Seconds for an output token, for one service.

    Each step of an engine produces one token of every running request, and a
    step in which a chunk of a prompt is prefilled takes six times as long. So
    the time for a token grows with the fraction of time in prefill.

    Attributes:
        idle: Seconds for a token on an engine that prefills nothing.
        busy: Seconds for a token on an engine that always prefills.
    """

    idle: float = INITIAL_IDLE_TOKEN_SECONDS
    busy: float = INITIAL_BUSY_TOKEN_SECONDS

    def seconds(self, duty):
        """Return the seconds for a token at a fraction *duty* of prefill."""
        return self.idle + (self.busy - self.idle) * duty

    def learn(self, duty, observed):
        """Learn from a request that took *observed* seconds for each token."""
        low, high = TOKEN_SECONDS_RANGE
        error = min(high, max(low, observed)) - self.seconds(duty)
        self.idle = max(low, self.idle + LEARNING_RATE * (1.0 - duty) * error)
        self.busy = max(self.idle, self.busy + LEARNING_RATE * duty * error)


MAX_OVERTAKING_FRACTION = 0.6
"""Maximum fraction of time that more urgent prompts are assumed to need in the
future. Beyond it a less urgent prompt is refused in any case."""


@dataclass(slots=True, eq=False)
class RankUtilization:
    """Fractions of an engine's time used by the prompts of each rank.

    Attributes:
        recent: The fraction by rank.
        updated_at: Time of the last change.
    """

    recent: list = field(default_factory=lambda: [0.0] * RANKS)
    updated_at: float = 0.0

    def add(self, rank, seconds, now):
        """Record that a prompt of *rank* was prefilled in *seconds*."""
        decay = math.exp(-max(0.0, now - self.updated_at) / DUTY_CYCLE_SECONDS)
        self.recent = [fraction * decay for fraction in self.recent]
        self.recent[rank] += seconds / DUTY_CYCLE_SECONDS
        self.updated_at = now

    def slowdown(self, rank, now):
        """Return the factor by which more urgent prompts extend a wait.

        A waiting prompt is overtaken by more urgent ones that arrive later.
        Without this factor, prompts of the lowest rank start late although
        they were predicted to be on time.
        """
        decay = math.exp(-max(0.0, now - self.updated_at) / DUTY_CYCLE_SECONDS)
        used = sum(self.recent[:rank]) * decay
        return 1.0 / (1.0 - min(MAX_OVERTAKING_FRACTION, used))


@dataclass(slots=True, eq=False)
class DutyCycle:
    """Fraction of its time in which one engine prefills prompts.

    Attributes:
        prefilling: Whether it prefills now.
        updated_at: Time up to which the other values are updated.
        recent: The fraction over the last seconds.
        total: Total seconds of prefill.
    """

    prefilling: bool = False
    updated_at: float = 0.0
    recent: float = 0.0
    total: float = 0.0

    def set_prefilling(self, prefilling, now):
        """Record whether the engine prefills from now on."""
        self.advance(now)
        self.prefilling = prefilling

    def advance(self, now):
        """Update the values up to *now*."""
        elapsed = max(0.0, now - self.updated_at)
        decay = math.exp(-elapsed / DUTY_CYCLE_SECONDS)
        self.recent = self.recent * decay + (1.0 - decay) * self.prefilling
        self.total += elapsed * self.prefilling
        self.updated_at = max(now, self.updated_at)

    def expected(self, backlog, seconds):
        """Return the fraction expected in the next *seconds*.

        Args:
            backlog: Seconds of prefill that already wait.
            seconds: Length of the time span.
        """
        certain = min(1.0, backlog / max(seconds, 1e-3))
        return certain + (1.0 - certain) * self.recent
