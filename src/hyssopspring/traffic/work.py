"""What requests ask of a server, and what counts in a comparison."""

from dataclasses import dataclass, field

__all__ = [
    "PREFILL_COST_FACTOR",
    "Estimate",
    "Demand",
    "EstimateRequest",
    "Placement",
    "answer_cost",
    "occupancy_cost",
    "rank_of",
]

OCCUPANCY_COST_SECONDS = 0.08
"""Seconds by which a full batch counts as worse than an empty one; it
spreads requests over servers that would be equally quick to begin."""

CROWDED_OCCUPANCY = 0.7
"""Part of a server's places from which on each further request counts
much more: the next ones must wait for an end, in whatever order they
come, and the less urgent are overtaken or dropped midway."""

CROWDING_COST_SECONDS = 1.2
"""Seconds by which a server counts as worse for each whole of its places
above `CROWDED_OCCUPANCY`; a full one so counts 0.36 s more, about the way to
another region and the reading of shared parts there."""


def occupancy_cost(occupancy):
    """Return the seconds by which a server counts as worse.

    Args:
        occupancy: Part of its places that are taken; may exceed 1.
    """
    return (
        occupancy * OCCUPANCY_COST_SECONDS
        + max(0.0, occupancy - CROWDED_OCCUPANCY) * CROWDING_COST_SECONDS
    )


PREFILL_COST_FACTOR = 2.0
"""Part by which the reading of a prompt counts more in a comparison of
servers: it delays all who wait behind as well."""


ANSWER_COST_FACTOR = 0.05
"""Part by which the time of a whole answer counts in a comparison: a
server that reads prompts all the time makes a long answer six times as
slowly, and one that takes too long is cut at its caller's deadline."""

SAFE_DEADLINE_FRACTION = 0.6
"""Part of the time allowed up to which an answer is sure to end in time;
callers' estimates of its length are often off by half."""

CUT_ANSWER_COST_SECONDS = 1.5
"""Seconds by which a server counts as worse for each whole of that part by
which an answer would take longer there."""

RANKS = 3
"""Classes of urgency that differ in how long they wait: 2, 4 and 6."""


def answer_cost(tokens, token_seconds, allowed):
    """Return the seconds by which a slow answer makes a server worse.

    Args:
        tokens: Tokens of the answer.
        token_seconds: Seconds that the server needs for one.
        allowed: Seconds in which the answer must be whole.
    """
    seconds = tokens * token_seconds
    over = max(0.0, seconds / max(allowed * SAFE_DEADLINE_FRACTION, 0.1) - 1.0)
    return (
        seconds * ANSWER_COST_FACTOR + min(1.0, over) * CUT_ANSWER_COST_SECONDS
    )


def rank_of(urgency):
    """Return the class of an urgency, from 0 for the most urgent."""
    return min(RANKS - 1, max(0, (urgency - 2) // 2))


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """What a request asks of a server.

    Attributes:
        parts: Identifier and tokens of each part of the prompt, in order.
        tokens_in: Tokens of the prompt.
        tokens_out: Tokens of the answer, as far as can be told.
        answer_within: Seconds in which the answer must be whole.
    """

    parts: tuple = ()
    tokens_in: int = 0
    tokens_out: int = 0
    answer_within: float = 10.0


@dataclass(frozen=True, slots=True)
class EstimateRequest:
    """What is asked of each server about one request.

    Attributes:
        demand: The `Demand`.
        urgency: Its rank among waiting requests.
        now: The time.
        most_cached: Most tokens of the prompt that one server has cached.
        readings: Seconds of reading by tokens to be read, kept from one
            server to the next.
    """

    demand: Demand
    urgency: int
    now: float
    most_cached: int = 0
    idle_seconds_by_tokens: dict = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Estimate:
    """What a server would do for a request.

    Attributes:
        predicted: Seconds to the answer or first event.
        cost: Seconds that count in a comparison.
        copied: Tokens that it would copy from another server.
    """

    predicted: float
    cost: float
    copied: int = 0


@dataclass(slots=True, eq=False)
class Placement:
    """A request that was placed at a server.

    Attributes:
        host: Host that carries it out.
        number: The host's number for it.
        server_id: The server.
        placed_at: Time of the placement.
        fresh_tokens: Tokens to be read that the server has not cached.
        tokens: Memory that it takes, in tokens.
        tokens_out: Tokens that it will make.
        urgency: Rank among waiting requests; 0 goes first.
        predicted: Seconds to its first event, as predicted.
        started: Whether its first event has come.
        started_at: Time of its first event.
        alone: Whether no prompt was waiting at the server before it, so
            that its first event tells how long its own reading took.
        reading: Seconds of reading at an ordinary pace.
        lost: Whether it must have been read although no event came.
        read_before: Seconds that its server had read when it began.
        apart: Fingerprint of a request that runs apart from others like
            it, or an empty string.
    """

    host: str
    number: int
    server_id: str
    placed_at: float
    uncached_tokens: int = 0
    tokens: int = 0
    tokens_out: int = 0
    urgency: int = 5
    predicted: float = 0.0
    started: bool = False
    started_at: float = 0.0
    found_idle: bool = False
    prefill_seconds: float = 0.0
    lost: bool = False
    prefill_seconds_at_start: float = 0.0
    apart: str = ""

    @property
    def waiting(self):
        """Whether its prompt is still to be read."""
        return not self.started and not self.lost

    @property
    def tokens_in(self):
        """Tokens of its prompt."""
        return self.tokens - self.tokens_out
