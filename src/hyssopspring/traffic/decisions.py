"""What is asked about a request, and what may be decided on it."""

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
    """What must be known of a request to place it.

    Attributes:
        host: Host that carries it out.
        number: The host's number for it.
        service: Service that it needs.
        demand: Its `Demand`.
        time_left: Seconds in which it would meet its objective.
        patience: Seconds in which an answer is of use at all.
        priority: Rank among the routes of the service; 0 is highest.
        excluded: Identifiers of servers that it must not go to.
        regions: Regions that may serve it; empty for all.
        avoided: Regions that have refused it already.
        may_leave: Whether it may be sent to another region.
        begun: Whether its caller holds a part of the answer already.
        apart: Fingerprint of a request that must run apart from others
            like it, or an empty string.
        workspace: Name of the workspace whose limit it takes from, or an
            empty string.
        cost: Tokens that it takes; 0 if there is no limit, or if another
            host has counted them.
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


@dataclass(frozen=True, slots=True)
class Placed:
    """Send it to a server.

    Attributes:
        server_id: The server.
        address: Its ``ip:port``.
        urgency: Rank for the server; 0 goes first.
        predicted: Seconds to the answer or first event.
        at_once: Whether the server takes only so many requests a second,
            so that the placement must be used at once or not at all.
        copy_from: Address of a server from which it is to copy parts of
            the prompt that it has not cached, or an empty string.
        evidence: What named a limit of the server, for a log line.
    """

    server_id: str
    address: str
    urgency: int
    predicted: float
    at_once: bool = False
    copy_from: str = ""
    evidence: str = ""


@dataclass(frozen=True, slots=True)
class PlacedRemotely:
    """Send it to a host of another region.

    Attributes:
        region: The region.
        predicted: Seconds to the answer or first event.
    """

    region: str
    predicted: float


@dataclass(frozen=True, slots=True)
class Refused:
    """Refuse it at once.

    Attributes:
        retry_after: Seconds after which there should be room.
        predicted: Seconds to an answer if it were admitted.
        servers: Servers of this region that could take requests.
        evidence: What named the limit of the server that is first to take
            one again, for a log line.
    """

    retry_after: float
    predicted: float
    servers: int = 0
    evidence: str = ""


@dataclass(frozen=True, slots=True)
class RateLimited:
    """Refuse it: its workspace has reached its limit.

    Attributes:
        retry_after: Seconds after which there should be enough.
        host: Host that counts.
        units: Units of the limit, of 10,000, that this host may use.
        level: Tokens that were left.
        demand: Tokens a second that are asked for there.
    """

    retry_after: float
    host: str
    units: int
    level: int
    demand: int


def urgency_of(query):
    """Return the urgency of a request that can be on time.

    Ranks 2 to 6 leave room for late ones behind and for none before.
    """
    return min(6, 2 + max(0, query.priority) * 2)
