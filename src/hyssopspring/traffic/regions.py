"""Estimated capacity of the servers of other regions."""

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
"""Seconds by which a report lags behind the requests that were sent. A
request needs 80 ms to reach the other region, and so does the report that
counts it."""

UNREPORTED_OCCUPANCY = 0.5
"""Assumed occupancy of a server in a region from which hosts are seen but no
load report has been received."""

CACHED_PART_TTL_SECONDS = 8.0
"""Seconds for which a part of a prompt is assumed to be cached where it was
sent. An engine under load keeps its prompts for about that long."""

PART_REPORT_SECONDS = 0.7
"""Seconds for which a part that was prefilled is reported to other regions.
This covers three reports, of which two may be lost."""

MIN_REPORTED_TOKENS = 1024
"""Minimum size in tokens of a part that is reported. A smaller part is
prefilled in one or two engine steps."""

MAX_REPORTED_PARTS = 64
"""Maximum number of parts in one report, the newest ones first. They take 320
bytes; a region with a hundred prompts a second would name 70."""

MAX_CACHED_PARTS = 4096
"""Maximum number of parts of prompts that are stored for one region."""


@dataclass(frozen=True, slots=True)
class ServerCapacity:
    """Capacity of one server of another region.

    Attributes:
        waits: Seconds that a new request would wait, by its rank.
        occupancy: Fraction of its slots or memory in use; may exceed 1.
        token_seconds: Seconds that it needs for an output token.
        spare: Requests that its limit allows now, or `NOTHING` if it has none.
        version: Version of its software, or an empty string if unknown.
    """

    waits: tuple
    occupancy: float
    token_seconds: float = 0.0
    spare: object = NOTHING
    version: str = ""


@dataclass(frozen=True, slots=True)
class RegionLoad:
    """Reported load of one service in a region.

    Attributes:
        slots: Requests that one server runs concurrently.
        capacities: `ServerCapacity` of the servers that accept requests, the
            best first.
        prefilled_parts: Short names of the parts of prompts that its servers
            have prefilled recently.
    """

    slots: int
    capacities: tuple
    prefilled_parts: tuple = ()


@dataclass(frozen=True, slots=True)
class AddedWork:
    """Work that a request adds to a server.

    Attributes:
        seconds: Seconds of work before its first event.
        rank: Its rank among waiting requests.
        demand: Its `Demand`.
        version: Version that it needs, or an empty string for any.
    """

    seconds: float
    rank: int
    demand: Demand
    version: str = ""


@dataclass(slots=True, eq=False)
class EstimatedServer:
    """Capacity of one server, with what was sent to it since the report."""

    waits: list
    occupancy: float
    token_seconds: float
    spare: object = NOTHING
    version: str = ""

    def is_open(self, version):
        """Return whether the server accepts one more request.

        A server whose version is unknown counts as one of any version; a host
        of its region checks it.

        Args:
            version: Version that the request needs, or an empty string.
        """
        if version and self.version not in ("", version):
            return False
        return self.spare is NOTHING or self.spare > 0

    def seconds_to_start(self, added):
        """Return the seconds until the first event of a request."""
        return self.waits[added.rank] + added.seconds

    def cost(self, added):
        """Return the cost in seconds for the comparison of servers."""
        seconds_to_start = self.seconds_to_start(added)
        answer_seconds = answer_cost(
            added.demand.tokens_out,
            self.token_seconds,
            added.demand.answer_within - seconds_to_start,
        )
        prefill_cost = added.seconds * PREFILL_COST_FACTOR
        return (
            seconds_to_start
            + prefill_cost
            + occupancy_cost(self.occupancy)
            + answer_seconds
        )

    def add(self, added, slots):
        """Count a request that was sent to the server."""
        for rank in range(added.rank, RANKS):
            self.waits[rank] += added.seconds
        self.occupancy += 1.0 / slots
        if self.spare is not NOTHING:
            self.spare -= 1

    def advance(self, seconds):
        """Reduce the waits by *seconds*, in which waiting work is done."""
        waits = self.waits
        for rank, wait in enumerate(waits):
            waits[rank] = wait - seconds if wait > seconds else 0.0


@dataclass(slots=True, eq=False)
class RemoteLoad:
    """Load of one service of another region, tracked between its reports.

    A report is as old as the one-way latency between the regions. If requests
    sent in the meantime were not counted, all requests until the next report
    would go to the region that was best in the last one. If they were counted
    for the region as a whole, its best server would appear to fill up while
    the others stay idle. So requests are counted for each server.

    Attributes:
        slots: Requests that one server runs concurrently.
        servers: `EstimatedServer` of each server.
        updated_at: Time up to which the waits are reduced.
        sent: Time and `AddedWork` of each recently sent request.
    """

    slots: int = 1
    servers: list = field(default_factory=list)
    updated_at: float = 0.0
    sent: deque = field(default_factory=deque)

    def apply_report(self, load, now):
        """Apply a report, and add the requests that it cannot include yet."""
        self.slots = max(1, load.slots)
        self.servers = [
            EstimatedServer(
                list(capacity.waits),
                capacity.occupancy,
                capacity.token_seconds,
                capacity.spare,
                capacity.version,
            )
            for capacity in load.capacities
        ]
        self.updated_at = now
        while self.sent and now - self.sent[0][0] > REPORT_LAG_SECONDS:
            self.sent.popleft()
        for _, added in self.sent:
            self.add(added)

    def best(self, added, now):
        """Return the `EstimatedServer` with the lowest cost.

        Args:
            added: Work that the request adds.
            now: The time.
        """
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        if elapsed:
            for server in self.servers:
                server.advance(elapsed)
        servers = self.open_servers(added.version)
        return min(servers, key=lambda one: one.cost(added))

    def open_servers(self, version=""):
        """Return the servers of a version that accept one more request."""
        return [one for one in self.servers if one.is_open(version)]

    def count(self, added, now):
        """Count a request that is sent to the region now."""
        self.sent.append((now, added))
        self.add(added)

    def add(self, added):
        """Add work to the server with the lowest cost."""
        servers = self.open_servers(added.version)
        if servers:
            server = min(servers, key=lambda one: one.cost(added))
            server.add(added, self.slots)


class CachedParts:
    """Parts of prompts that the servers of one region have recently cached.

    The region reports the parts that it has prefilled, and parts of requests
    that are sent there count at once. The next prompt with the same parts is
    answered sooner in that region than in one that would prefill them again:
    prefilling a subject of 5,000 tokens takes 0.1 s of an engine's time from
    all requests that wait there.
    """

    def __init__(self):
        self.times = OrderedDict()

    def add_parts(self, parts, now):
        """Record *parts* that are sent to the region."""
        self.add_names([short_id(part) for part, _ in parts], now)

    def add_names(self, names, now):
        """Record parts that were prefilled in the region, by short name."""
        for name in names:
            self.times[name] = now
            self.times.move_to_end(name)
        while len(self.times) > MAX_CACHED_PARTS:
            self.times.popitem(last=False)

    def uncached_tokens(self, demand, now):
        """Return the tokens of a prompt that must be prefilled there."""
        cached = 0
        for part, tokens in demand.parts:
            cached_at = self.times.get(
                short_id(part), -CACHED_PART_TTL_SECONDS
            )
            if now - cached_at >= CACHED_PART_TTL_SECONDS:
                break
            cached += tokens
        return max(1, demand.tokens_in - cached)


def unreported_load(slots, servers):
    """Return the `RegionLoad` of a region that has sent no report."""
    capacity = ServerCapacity((0.0,) * RANKS, UNREPORTED_OCCUPANCY)
    return RegionLoad(slots, (capacity,) * servers)
