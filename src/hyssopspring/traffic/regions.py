"""What the servers of other regions can take, as this region believes."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from ..core.hashing import short_id
from ..core.sentinels import NOTHING
from .work import (
    PREFILL_COST_FACTOR,
    RANKS,
    Demand,
    answer_cost,
    occupancy_cost,
)

__all__ = [
    "AddedWork",
    "RemoteLoad",
    "RegionLoad",
    "ServerCapacity",
    "CachedParts",
]

REPORT_LAG_SECONDS = 0.17
"""Seconds by which a report lags behind what was sent: a request needs 80
ms to reach the other region, and so does the report that counts it."""

UNREPORTED_OCCUPANCY = 0.5
"""Part of its places that a server is taken to have in use in a region
that is heard but has not told its load."""

CACHED_PART_TTL_SECONDS = 8.0
"""Seconds for which a part is taken to be cached where it was sent; an
engine under load keeps its prompts for about that long."""

PART_REPORT_SECONDS = 0.7
"""Seconds for which a part that was read is told to other regions: in three
reports, of which two may be lost."""

MIN_REPORTED_TOKENS = 1024
"""Tokens from which a part is told; less is read in a step or two."""

MAX_REPORTED_PARTS = 64
"""Parts that one report names at most, the newest: 320 bytes. A region with
a hundred prompts a second would name 70 of them."""

MAX_CACHED_PARTS = 4096
"""Parts of prompts that are remembered for one region."""


@dataclass(frozen=True, slots=True)
class ServerCapacity:
    """Room at one server of another region.

    Attributes:
        waits: Seconds that a new request would wait, by its rank.
        occupancy: Part of its slots or memory in use; may exceed 1.
        token_seconds: Seconds that it needs for an output token.
        spare: Requests that its limit lets through now, or `NOTHING` if it
            has none.
    """

    waits: tuple
    occupancy: float
    token_seconds: float = 0.0
    spare: object = NOTHING


@dataclass(frozen=True, slots=True)
class RegionLoad:
    """What a region says of one service.

    Attributes:
        slots: Requests that one server runs at once.
        capacities: `ServerCapacity` of each open server, the best first.
        read: Short names of parts of prompts that its servers have read
            of late.
    """

    slots: int
    capacities: tuple
    prefilled_parts: tuple = ()


@dataclass(frozen=True, slots=True)
class AddedWork:
    """What a request brings to a server.

    Attributes:
        seconds: Seconds of work before its first event.
        rank: Its rank among waiting requests.
        demand: Its `Demand`.
    """

    seconds: float
    rank: int
    demand: Demand


@dataclass(slots=True, eq=False)
class EstimatedServer:
    """Room at one server, with what was sent there since the report."""

    waits: list
    occupancy: float
    token_seconds: float
    spare: object = NOTHING

    @property
    def is_open(self):
        """Whether it takes one more request."""
        return self.spare is NOTHING or self.spare > 0

    def seconds_to_start(self, added):
        """Return the seconds until a request would begin."""
        return self.waits[added.rank] + added.seconds

    def cost(self, added):
        """Return the seconds that count in a comparison."""
        seconds_to_start = self.seconds_to_start(added)
        answer = answer_cost(
            added.demand.tokens_out,
            self.token_seconds,
            added.demand.answer_within - seconds_to_start,
        )
        again = added.seconds * PREFILL_COST_FACTOR
        return (
            seconds_to_start + again + occupancy_cost(self.occupancy) + answer
        )

    def add(self, added, slots):
        """Count a request that was sent there."""
        for rank in range(added.rank, RANKS):
            self.waits[rank] += added.seconds
        self.occupancy += 1.0 / slots
        if self.spare is not NOTHING:
            self.spare -= 1

    def advance(self, seconds):
        """Let time pass, in which waiting work is done."""
        waits = self.waits
        for rank, wait in enumerate(waits):
            waits[rank] = wait - seconds if wait > seconds else 0.0


@dataclass(slots=True, eq=False)
class RemoteLoad:
    """One service of another region, between its reports.

    A report is as old as the way between regions is long. Without a count
    of what was sent in the meantime, all requests until the next report
    would go to the region that looked best in the last one; with a count
    for the region as a whole, its best server would seem to fill alone
    while the others stay idle. So each server is counted by itself.

    Attributes:
        slots: Requests that one server runs at once.
        servers: `EstimatedServer` of each server.
        at: Time up to which waits have run down.
        sent: Time and `AddedWork` of what was sent of late.
    """

    slots: int = 1
    servers: list = field(default_factory=list)
    at: float = 0.0
    sent: deque = field(default_factory=deque)

    def apply_report(self, load, now):
        """Take over a report, and count what it cannot know of."""
        self.slots = max(1, load.slots)
        self.servers = [
            EstimatedServer(
                list(capacity.waits),
                capacity.occupancy,
                capacity.token_seconds,
                capacity.spare,
            )
            for capacity in load.capacities
        ]
        self.at = now
        while self.sent and now - self.sent[0][0] > REPORT_LAG_SECONDS:
            self.sent.popleft()
        for _, added in self.sent:
            self.add(added)

    def best(self, added, now):
        """Return the `EstimatedServer` server that would answer first.

        Args:
            added: What the request brings.
            now: The time.
        """
        passed = max(0.0, now - self.at)
        self.at = max(self.at, now)
        if passed:
            for server in self.servers:
                server.advance(passed)
        return min(self.open_servers(), key=lambda one: one.cost(added))

    def open_servers(self):
        """Return the `EstimatedServer` servers that take one more request."""
        return [server for server in self.servers if server.is_open]

    def count(self, added, now):
        """Count a request that is sent there now."""
        self.sent.append((now, added))
        self.add(added)

    def add(self, added):
        """Put work on the server that would take it."""
        servers = self.open_servers()
        if servers:
            server = min(servers, key=lambda one: one.cost(added))
            server.add(added, self.slots)


class CachedParts:
    """Parts of prompts that the servers of one region have read of late.

    The region tells those that it has read, and what was sent there counts
    at once. The next prompt with the same parts is answered sooner there
    than in a region that would read them again; each reading of a subject
    of 5,000 tokens takes 0.1 s of an engine from all who wait there.
    """

    def __init__(self):
        self.times = OrderedDict()

    def note(self, parts, now):
        """Note that *parts* are sent there."""
        self.note_names([short_id(part) for part, _ in parts], now)

    def note_names(self, names, now):
        """Note parts that were read there, by their short names."""
        for name in names:
            self.times[name] = now
            self.times.move_to_end(name)
        while len(self.times) > MAX_CACHED_PARTS:
            self.times.popitem(last=False)

    def uncached_tokens(self, demand, now):
        """Return the tokens of a prompt that must be read there."""
        known = 0
        for part, tokens in demand.parts:
            at = self.times.get(short_id(part), -CACHED_PART_TTL_SECONDS)
            if now - at >= CACHED_PART_TTL_SECONDS:
                break
            known += tokens
        return max(1, demand.tokens_in - known)


def unreported_load(slots, servers):
    """Return the `RegionLoad` of a region that has told nothing."""
    capacity = ServerCapacity((0.0,) * RANKS, UNREPORTED_OCCUPANCY)
    return RegionLoad(slots, (capacity,) * servers)
