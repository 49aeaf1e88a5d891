"""How long a server will need: models of engines and plain services."""

from collections import OrderedDict
from dataclasses import dataclass, field

from ..core.sentinels import NOTHING
from .routes import EngineSpec

__all__ = [
    "Demand",
    "EngineWork",
    "PlainWork",
    "Ticket",
    "crowding",
    "make_work",
]

PREFILL_RATE = 34_000.0
"""Prompt tokens that an engine reads in a second, to begin with. Chunks of
1,024 tokens take 20 ms and a decoding step between two chunks 6 to 10 ms;
what requests meet corrects it (`pace`)."""

FIRST_SECONDS = 0.03
"""Seconds to a first event on an idle engine, besides the reading."""

TOKEN_SECONDS = 0.009
"""Seconds for one output token in a batch, to begin with."""

TOKEN_RANGE = (0.002, 0.05)
"""Bounds of the observed time of an output token. Callers ask for more
tokens than come, so it may lie below the time of one step."""

LEAST_LEFT = 0.08
"""Seconds that a request needs still when it is past its expected end."""

MEMORY_USED = 0.93
"""Part of an engine's memory that is filled; requests grow while they
run, and an engine whose memory runs out drops requests midway."""

PLAIN_SECONDS = 0.06
"""Seconds for one call of a plain service, to begin with."""

LEARN = 0.12
"""Weight of one observation in moving averages."""

PACE_RANGE = (0.5, 8.0)
"""Bounds of `pace`; slower servers than eightfold are passed over anyway."""

PACE_FADE = 8.0
"""Seconds in which a pace returns to normal without new evidence, so that
a server that was slow once gets work again."""

LEAST_LEARNED = 0.04
"""Seconds of predicted reading from which a first event tells of pace."""

BATCH_COST = 0.08
"""Seconds by which a full batch counts as worse than an empty one; it
spreads requests over servers that would be equally quick to begin."""

CROWDED = 0.7
"""Part of a server's places from which on each further request counts
much more: the next ones must wait for an end, in whatever order they
come, and the less urgent are overtaken or dropped midway."""

CROWD_COST = 1.2
"""Seconds by which a server counts as worse for each whole of its places
above `CROWDED`; a full one so counts 0.36 s more, about the way to another
region and the reading of shared parts there."""


def crowding(used):
    """Return the seconds by which a server counts as worse.

    Args:
        used: Part of its places that are taken; may exceed 1.
    """
    return used * BATCH_COST + max(0.0, used - CROWDED) * CROWD_COST


READING_COST = 1.5
"""Part by which the reading of a prompt counts more in a comparison of
servers: it delays all who wait behind as well."""

LEAST_COPIED = 1024
"""Tokens below which nothing is copied from another server: one chunk,
which is read in 30 ms."""

COPY_BEGIN = 0.02
"""Seconds in which a copy begins, and waits for others at the same link;
6,300 tokens of 160 KB each take 15 ms more at 550 Gbit/s."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """What a request asks of a server.

    Attributes:
        parts: Identifier and tokens of each part of the prompt, in order.
        tokens_in: Tokens of the prompt.
        tokens_out: Tokens of the answer, as far as can be told.
    """

    parts: tuple = ()
    tokens_in: int = 0
    tokens_out: int = 0


@dataclass(slots=True, eq=False)
class Ticket:
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
    """

    host: str
    number: int
    server_id: str
    placed_at: float
    fresh_tokens: int = 0
    tokens: int = 0
    tokens_out: int = 0
    urgency: int = 5
    predicted: float = 0.0
    started: bool = False
    started_at: float = 0.0


@dataclass(slots=True, eq=False)
class PlainWork:
    """Work in progress at a server that answers one call per slot.

    Attributes:
        slots: Calls that run at once.
        tickets: `Ticket` by host and number.
        seconds: Moving average of the time of a call.
    """

    slots: int
    tickets: dict = field(default_factory=dict)
    seconds: float = PLAIN_SECONDS

    def is_for(self, engine):
        """Whether the model fits a service with this `EngineSpec`."""
        return engine is NOTHING

    def alone(self, fresh):
        """Return the seconds to an answer of a server that is idle."""
        return self.seconds

    def known_tokens(self, demand):
        """Return 0; a plain service caches no prompts."""
        return 0

    def copied_tokens(self, demand, elsewhere):
        """Return 0; there is nothing to copy."""
        return 0

    def fresh_tokens(self, demand, copied=0):
        """Return 0; a plain service reads no prompts."""
        return 0

    def predict(self, demand, urgency, now, copied=0):
        """Return the seconds until an answer would come."""
        waiting = max(0, len(self.tickets) + 1 - self.slots)
        return self.seconds * (1.0 + waiting / self.slots)

    def cost(self, demand, urgency, now, copied=0):
        """Return the seconds that count in a comparison of servers."""
        return self.predict(demand, urgency, now) + crowding(self.used())

    def begin(self, ticket, demand):
        """Count a placed request."""
        self.tickets[ticket.host, ticket.number] = ticket

    def start(self, ticket, seconds, now):
        """Take account of an answer after *seconds*."""
        self.seconds += (min(seconds, 1.0) - self.seconds) * LEARN

    def end(self, ticket, now=NOTHING):
        """Count the end of a request."""
        self.tickets.pop((ticket.host, ticket.number), None)

    def wait(self, now):
        """Return the seconds that a new request would wait."""
        return self.predict(NOTHING, 5, now) - self.seconds

    def used(self):
        """Return the part of the slots that are taken."""
        return len(self.tickets) / self.slots


@dataclass(slots=True, eq=False)
class EngineWork:
    """Work in progress at a model server, and what it has cached.

    An engine reads prompts one after another between the decoding steps
    of its batch, so the time to a first event is the reading of all that
    waits ahead, then of the prompt's parts that are not cached.

    Attributes:
        spec: The `EngineSpec`.
        tickets: `Ticket` by host and number.
        held: Tokens of memory that they take.
        cached: Tokens by part, the least recently used first.
        pace: Observed time of reading over the predicted one.
        paced_at: Time of the last observation.
        head_since: Time since when the first waiting prompt is read.
        token_seconds: Moving average of the time of an output token.
    """

    spec: EngineSpec
    tickets: dict = field(default_factory=dict)
    held: int = 0
    cached: OrderedDict = field(default_factory=OrderedDict)
    pace: float = 1.0
    paced_at: float = 0.0
    head_since: float = 0.0
    token_seconds: float = TOKEN_SECONDS

    @property
    def slots(self):
        """Requests that run at once."""
        return max(1, self.spec.slots)

    @property
    def memory(self):
        """Tokens that running requests and cached parts share."""
        return max(1, self.spec.memory_tokens)

    def is_for(self, engine):
        """Whether the model fits a service with this `EngineSpec`."""
        return self.spec is engine or self.spec == engine

    def known_tokens(self, demand):
        """Return the tokens of the prompt that are cached here."""
        known = 0
        for part, tokens in demand.parts:
            if part not in self.cached:
                break
            known += tokens
        return known

    def copied_tokens(self, demand, elsewhere):
        """Return the tokens that are worth copying from another server.

        Args:
            demand: The `Demand`.
            elsewhere: Tokens of the prompt that the other has cached.
        """
        if not self.spec.copy_seconds:
            return 0
        more = elsewhere - self.known_tokens(demand)
        return more if more >= LEAST_COPIED else 0

    def fresh_tokens(self, demand, copied=0):
        """Return the tokens of the prompt that must be read here."""
        known = self.known_tokens(demand) + copied
        return max(1, demand.tokens_in - known)

    def current_pace(self, now):
        """Return the pace, which fades to normal without evidence."""
        age = max(0.0, now - self.paced_at)
        kept = max(0.0, 1.0 - age / PACE_FADE)
        return 1.0 + (self.pace - 1.0) * kept

    def rate(self, now):
        """Return the tokens that are read in a second."""
        return PREFILL_RATE / self.current_pace(now)

    def ahead(self, urgency, now):
        """Return the tokens to be read before a request of *urgency*."""
        waiting = [
            ticket for ticket in self.tickets.values() if not ticket.started
        ]
        if not waiting:
            return 0.0
        total = sum(
            ticket.fresh_tokens
            for ticket in waiting
            if ticket.urgency <= urgency
        )
        done = max(0.0, now - self.head_since) * self.rate(now)
        return max(0.0, total - min(done, 0.9 * waiting[0].fresh_tokens))

    def slot_wait(self, tokens, now):
        """Return the seconds until a slot and memory are free.

        When memory runs out an engine drops the newest of its requests
        in the middle of their streams and reads them in again: callers
        see streams stand still. So a request waits for the ends of as
        many others as its slot and its memory need.
        """
        slots = len(self.tickets) + 1 - self.slots
        memory = self.held + tokens - self.memory * MEMORY_USED
        if slots <= 0 and memory <= 0:
            return 0.0
        seconds = 0.0
        ends = sorted(
            (self.seconds_left(ticket, now), ticket.tokens)
            for ticket in self.tickets.values()
        )
        for left, freed in ends:
            seconds = left
            slots -= 1
            memory -= freed
            if slots <= 0 and memory <= 0:
                break
        return seconds

    def seconds_left(self, ticket, now):
        """Return the seconds until a request should end."""
        whole = ticket.tokens_out * self.token_seconds
        if not ticket.started:
            return whole + ticket.predicted
        return max(LEAST_LEFT, whole - (now - ticket.started_at))

    def alone(self, fresh):
        """Return the seconds to a first event of an engine that is idle.

        Args:
            fresh: Tokens of the prompt that it must read.
        """
        return FIRST_SECONDS + fresh / PREFILL_RATE

    def predict(self, demand, urgency, now, copied=0):
        """Return the seconds until the first event would come.

        Args:
            demand: The `Demand`.
            urgency: Its rank among waiting requests.
            now: The time.
            copied: Tokens that are copied from another server first.
        """
        fresh = self.fresh_tokens(demand, copied)
        reading = (self.ahead(urgency, now) + fresh) / self.rate(now)
        tokens = demand.tokens_in + demand.tokens_out
        begun = FIRST_SECONDS + reading + self.slot_wait(tokens, now)
        return begun + self.copy_time(copied)

    def copy_time(self, copied):
        """Return the seconds that a copy of cached tokens takes."""
        if not copied:
            return 0.0
        return COPY_BEGIN + copied * self.spec.copy_seconds

    def cost(self, demand, urgency, now, copied=0):
        """Return the seconds that count in a comparison of servers."""
        again = self.fresh_tokens(demand, copied) / self.rate(now)
        crowd = crowding(self.used())
        again *= READING_COST
        predicted = self.predict(demand, urgency, now, copied)
        return predicted + again + crowd

    def begin(self, ticket, demand):
        """Count a placed request; its parts will be cached."""
        if not any(not other.started for other in self.tickets.values()):
            self.head_since = ticket.placed_at
        self.tickets[ticket.host, ticket.number] = ticket
        self.held += ticket.tokens
        if demand is NOTHING:
            return
        for part, tokens in demand.parts:
            self.cached[part] = tokens
            self.cached.move_to_end(part)
        self.trim()

    def trim(self):
        """Forget the parts that the engine has dropped by now."""
        room = max(0, self.memory - self.held)
        total = sum(self.cached.values())
        while self.cached and total > room:
            total -= self.cached.popitem(last=False)[1]

    def start(self, ticket, seconds, now):
        """Learn from a first event that came after *seconds*."""
        ticket.started = True
        ticket.started_at = now
        self.head_since = now
        predicted = ticket.predicted - FIRST_SECONDS
        if predicted < LEAST_LEARNED:
            return
        pace = self.current_pace(now)
        met = pace * max(0.0, seconds - FIRST_SECONDS) / predicted
        low, high = PACE_RANGE
        met = min(high, max(low, met))
        self.pace = pace + (met - pace) * LEARN
        self.paced_at = now

    def end(self, ticket, now=NOTHING):
        """Count the end of a request, and learn from a whole one.

        Args:
            ticket: The `Ticket`.
            now: Time at which its answer was whole, or `NOTHING`.
        """
        known = self.tickets.pop((ticket.host, ticket.number), None)
        if known is not None:
            self.held -= known.tokens
        if now is NOTHING or not ticket.started or not ticket.tokens_out:
            return
        met = (now - ticket.started_at) / ticket.tokens_out
        low, high = TOKEN_RANGE
        met = min(high, max(low, met))
        self.token_seconds += (met - self.token_seconds) * LEARN

    def wait(self, now):
        """Return the seconds that a new request would wait."""
        return self.ahead(5, now) / self.rate(now) + self.slot_wait(1000, now)

    def used(self):
        """Return the part of the slots, or of the memory, that is taken."""
        memory = self.held / (self.memory * MEMORY_USED)
        return max(len(self.tickets) / self.slots, memory)


def make_work(service, slots):
    """Return the model of a server of *service* with *slots*."""
    engine = service.engine
    if engine is NOTHING:
        return PlainWork(max(1, slots))
    return EngineWork(engine)
