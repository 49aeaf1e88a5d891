"""Resource demand of requests, and their cost on a server."""

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
"""Seconds that a full batch adds to the cost of a server compared to an empty
one. This spreads requests over servers that would start them equally soon."""

CROWDED_OCCUPANCY = 0.7
"""Occupancy of a server from which on each further request costs much more.
The next requests must wait for others to end, regardless of the order in which
they arrive, and the less urgent ones are overtaken or preempted midway."""

CROWDING_COST_SECONDS = 1.2
"""Seconds of cost for an occupancy of 1.0 above `CROWDED_OCCUPANCY`. A full
server thus costs 0.36 s more, which is about the latency to another region and
the prefill of the shared parts there."""


def occupancy_cost(occupancy):
    """Return the cost in seconds of the occupancy of a server.

    Args:
        occupancy: Fraction of its slots or memory in use; may exceed 1.
    """
    return (
        occupancy * OCCUPANCY_COST_SECONDS
        + max(0.0, occupancy - CROWDED_OCCUPANCY) * CROWDING_COST_SECONDS
    )


PREFILL_COST_FACTOR = 2.0
"""Additional weight of the prefill time in the cost of a server, since a
prefill delays all requests that wait behind it as well."""


ANSWER_COST_FACTOR = 0.05
"""Weight of the time of a whole answer in the cost of a server. A server that
prefills prompts all the time produces a long answer six times as slowly, and
an answer that takes too long is truncated at its caller's deadline."""

SAFE_DEADLINE_FRACTION = 0.6
"""Fraction of the allowed time within which an answer is sure to end in time.
Callers' estimates of its length are often wrong by half."""

TRUNCATED_ANSWER_COST_SECONDS = 1.5
"""Seconds of cost for an answer that takes twice the safe part of the allowed
time, proportionally less for a shorter one. This is also the maximum."""

RANKS = 3
"""Number of urgency classes that differ in their waiting time: urgencies 2, 4
and 6."""


def answer_cost(tokens, token_seconds, allowed):
    """Return the cost in seconds of a slow answer.

    Args:
        tokens: Tokens of the answer.
        token_seconds: Seconds that the server needs for one token.
        allowed: Seconds in which the answer must be complete.
    """
    seconds = tokens * token_seconds
    over = max(0.0, seconds / max(allowed * SAFE_DEADLINE_FRACTION, 0.1) - 1.0)
    return (
        seconds * ANSWER_COST_FACTOR
        + min(1.0, over) * TRUNCATED_ANSWER_COST_SECONDS
    )


def rank_of(urgency):
    """Return the class of an urgency, from 0 for the most urgent."""
    return min(RANKS - 1, max(0, (urgency - 2) // 2))


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """The resource demand of a request.

    Attributes:
        parts: Identifier and tokens of each part of the prompt, in order.
        tokens_in: Tokens of the prompt.
        tokens_out: Estimated tokens of the answer.
        answer_within: Seconds in which the answer must be complete.
    """

    parts: tuple = ()
    tokens_in: int = 0
    tokens_out: int = 0
    answer_within: float = 10.0


@dataclass(frozen=True, slots=True)
class EstimateRequest:
    """Input of the estimates of all servers for one request.

    Attributes:
        demand: The `Demand`.
        urgency: Its rank among waiting requests.
        now: The time.
        most_cached: Largest number of tokens of the prompt that one server has
            cached.
        gap_objective: Longest gap between two of its events in seconds; 0 if
            none is stated.
        weighs_gaps: Whether gaps between stream events count.
        in_time_within: Predicted seconds within which it meets its objective.
        idle_seconds_by_tokens: Prefill time in seconds by number of tokens,
            cached from one server to the next.
    """

    demand: Demand
    urgency: int
    now: float
    most_cached: int = 0
    gap_objective: float = 0.0
    weighs_gaps: bool = False
    in_time_within: float = float("inf")
    idle_seconds_by_tokens: dict = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Estimate:
    """Estimate of a server for a request.

    Attributes:
        predicted: Seconds to the answer or first event.
        cost: Cost in seconds for the comparison of servers.
        copied: Tokens that it would copy from another server.
        gap_cost: Further cost in seconds, of the gaps between stream events.
        pause: Predicted longest gap of the request's stream in seconds.
    """

    predicted: float
    cost: float
    copied: int = 0
    gap_cost: float = 0.0
    pause: float = 0.0


@dataclass(slots=True, eq=False)
class Placement:
    """A request that was placed on a server.

    Attributes:
        host: Host that runs the request.
        number: The host's number for it.
        server_id: The server.
        placed_at: Time of the placement.
        uncached_tokens: Tokens to prefill, which the server has not cached.
        tokens: Memory that it takes, in tokens.
        tokens_out: Output tokens that are expected.
        urgency: Rank among waiting requests; 0 goes first.
        predicted: Predicted seconds to its first event.
        started: Whether its first event has come.
        started_at: Time of its first event.
        found_idle: Whether no prompt was waiting at the server before it, so
            that the time to its first event equals its own prefill time.
        prefill_seconds: Prefill time in seconds without a slowdown.
        lost: Whether its prompt must have been prefilled although no event
            came.
        prefill_seconds_at_start: Total prefill time of its server when it
            started.
        apart: Fingerprint of a request that is isolated from other suspected
            requests, or an empty string.
        gap_objective: Longest gap between two of its events in seconds; 0 if
            none is stated.
        service: Service of its server.
        bound: Whether it may not be served in every region.
        slowdown: Slowdown that the server reported with its response, or 0.
        slowdown_total_at_start: Integral of its slowdown when it started.
        queue_factor: Predicted time of a call over that without a queue.
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
    gap_objective: float = 0.0
    service: str = ""
    bound: bool = False
    slowdown: float = 0.0
    slowdown_total_at_start: float = 0.0
    queue_factor: float = 1.0

    @property
    def waiting(self):
        """Whether its prefill has not ended yet."""
        return not self.started and not self.lost

    @property
    def tokens_in(self):
        """Tokens of its prompt."""
        return self.tokens - self.tokens_out
