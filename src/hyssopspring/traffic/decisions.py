"""Placement queries, and the decisions on them."""

from dataclasses import dataclass

from .work import Demand

__all__ = [
    "PlacementQuery",
    "PlacedRemotely",
    "RateLimited",
    "Placed",
    "Refused",
    "urgency_of",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementQuery:
    """The properties of a request that its placement depends on.

    Attributes:
        host: Host that runs the request.
        number: The host's number for it.
        service: Service that it needs.
        demand: Its `Demand`.
        time_left: Seconds within which it would meet its objective.
        patience: Seconds after which an answer is of no use to the caller.
        priority: Rank among the routes of the service; 0 is the highest.
        excluded: Identifiers of servers that must not get it.
        regions: Regions that may serve it; empty for all.
        avoided: Regions that have already refused it.
        may_leave: Whether it may be sent to another region.
        begun: Whether its caller already holds a part of the answer.
        apart: Fingerprint of a request that must be isolated from other
            suspected requests, or an empty string.
        workspace: Name of the workspace whose limit it counts against, or an
            empty string.
        cost: Tokens that it counts; 0 if there is no limit, or if another host
            has counted them.
        gap_objective: Longest gap between two events in seconds with which a
            stream is on time; 0 if none is stated.
        outranked: Whether another route of the service goes first among
            requests of the same priority.
        request: Identifier by which a return of its caller is recognised; 0
            for a request that a host of another region has forwarded.
        caller_time_left: Seconds until the caller's deadline; 0 if it states
            none.
        version: Version that a server must have, or an empty string for any.
    """

    host: str
    number: int
    service: str
    demand: Demand = Demand()
    time_left: float = 1.0
    patience: float = 5.0
    priority: int = 5
    excluded: tuple = ()
    regions: frozenset = frozenset()
    avoided: tuple = ()
    may_leave: bool = True
    begun: bool = False
    apart: str = ""
    workspace: str = ""
    cost: int = 0
    gap_objective: float = 0.0
    outranked: bool = False
    request: int = 0
    caller_time_left: float = 0.0
    version: str = ""


@dataclass(frozen=True, slots=True)
class Placed:
    """Send the request to a server.

    Attributes:
        server_id: The server.
        address: Its ``ip:port``.
        urgency: Rank for the server; 0 goes first.
        predicted: Seconds to the answer or first event.
        at_once: Whether the server accepts only a limited rate of requests, so
            that the placement must be used at once or not at all.
        copy_from: Address of a server from which to copy parts of the prompt
            that this server has not cached, or an empty string.
        evidence: Source of the limit of the server, for a log line.
        pause: Predicted longest gap between two events in seconds; 0 without
            a gap objective.
        speed: Steady factor of the times of the server, for a log line.
        slowdown: Its current slowdown, for a log line.
        slowdown_age: Seconds since it reported its load.
        version: Version of the server, or an empty string if unknown.
    """

    server_id: str
    address: str
    urgency: int
    predicted: float
    at_once: bool = False
    copy_from: str = ""
    evidence: str = ""
    pause: float = 0.0
    speed: float = 1.0
    slowdown: float = 1.0
    slowdown_age: float = 0.0
    version: str = ""


@dataclass(frozen=True, slots=True)
class PlacedRemotely:
    """Send the request to a host of another region.

    Attributes:
        region: The region.
        predicted: Seconds to the answer or first event.
    """

    region: str
    predicted: float


@dataclass(frozen=True, slots=True)
class Refused:
    """Refuse the request at once.

    Attributes:
        retry_after: Seconds after which capacity is expected.
        predicted: Seconds to an answer if it were admitted.
        servers: Number of servers of this region that accept requests.
        evidence: Source of the limit of the server that is the first to accept
            a request again, for a log line.
        promised: Whether the caller is served if it returns at that time.
    """

    retry_after: float
    predicted: float
    servers: int = 0
    evidence: str = ""
    promised: bool = False


@dataclass(frozen=True, slots=True)
class RateLimited:
    """Refuse the request, since its workspace has reached its limit.

    Attributes:
        retry_after: Seconds after which enough tokens are available.
        host: Host that counts.
        units: Units of the limit, of 10,000, that this host may use.
        level: Tokens that were left.
        demand: Tokens a second that are requested at that host.
    """

    retry_after: float
    host: str
    units: int
    level: int
    demand: int


def urgency_of(query):
    """Return the urgency of a request that can be on time.

    The urgencies 2 to 7 leave larger values for late requests and no smaller
    ones. Within a priority, the odd ones yield to the even ones.
    """
    return min(6, 2 + max(0, query.priority) * 2) + query.outranked
