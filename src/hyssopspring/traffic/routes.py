"""Routes, services and the versioned configuration that contains them."""

import enum
from dataclasses import dataclass, field

from ..core.hashing import hash_text
from ..core.sentinels import NOTHING

__all__ = [
    "Configuration",
    "ConfigurationKeeper",
    "EngineSpec",
    "RequestKind",
    "RequestLimits",
    "Route",
    "Service",
    "WeightedService",
]

SPLIT_RESOLUTION = 10_000
"""Number of steps into which the requests of a split route are hashed."""


class RequestKind(enum.Enum):
    """How often a request may be run."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route that is split over several.

    Attributes:
        service: Name of the service.
        weight: Its share of requests, relative to the route's other weights.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """How requests below one path of one host name are served.

    Attributes:
        name: Name given by the operator.
        host: Value of the Host header, without a port.
        prefix: Start of the path, with a slash at both ends.
        kind: The `RequestKind`.
        timeout: Longest time to keep a request unanswered, in seconds.
        objective: Target time to the response, or to a stream's first event,
            in seconds.
        gap_objective: Longest time between two events of a stream, in seconds,
            with which it is on time; 0 if none is stated.
        priority: Rank among the routes of a service; 0 is the highest.
        services: `WeightedService` of each service it is split over.
        max_attempts: Largest number of servers that may run one request.
        resumable: Whether another server may resume a stream.
        homes: Regions that may serve it; empty for all.
        public: Whether callers need no key.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout: float
    objective: float
    gap_objective: float = 0.0
    priority: int = 0
    services: tuple[WeightedService, ...]
    max_attempts: int = 1
    resumable: bool = False
    homes: frozenset = frozenset()
    public: bool = False

    @property
    def repeatable(self):
        """Whether running a request a second time is safe."""
        if self.kind is RequestKind.IDEMPOTENT:
            return True
        return self.kind is RequestKind.STREAM and self.resumable

    @property
    def stream(self):
        """Whether the response is a stream of events."""
        return self.kind is RequestKind.STREAM

    def service_for(self, request_id):
        """Return the service for one request of a split route.

        The choice depends only on the request's identifier, so every host that
        handles the request makes the same one.
        """
        if len(self.services) == 1:
            return self.services[0].service
        total = sum(share.weight for share in self.services)
        point = (
            hash_text(request_id) % SPLIT_RESOLUTION / SPLIT_RESOLUTION * total
        )
        for share in self.services:
            point -= share.weight
            if point < 0:
                return share.service
        return self.services[-1].service


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSpec:
    """Resources of the servers of a model service.

    Attributes:
        slots: Number of requests that run concurrently.
        memory_tokens: Number of tokens that running requests and cached parts
            of prompts share.
        copy_seconds: Seconds in which a server copies one token that another
            has cached; 0 if servers cannot copy.
    """

    slots: int
    memory_tokens: int
    copy_seconds: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A type of backend server.

    Attributes:
        name: Its name.
        cold_seconds: How long a server stays cold after its start.
        cold_rate: Requests a second that a cold server tolerates; 0 if the
            servers of the service are never cold.
        health_path: Path at which its servers state their health, or "".
        engine: `EngineSpec` of a model service, or `NOTHING`.
    """

    name: str
    cold_seconds: float = 0.0
    cold_rate: float = 0.0
    health_path: str = ""
    engine: object = NOTHING


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestLimits:
    """Limits on the size of requests and the idle time of connections.

    Attributes:
        body_bytes: Largest body, in bytes.
        head_bytes: Largest head, in bytes.
        idle_seconds: Longest time without a request on a connection.
    """

    body_bytes: int = 4 * 1024 * 1024
    head_bytes: int = 16 * 1024
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One version of everything that operators have configured.

    Attributes:
        version: Its number; versions only increase.
        routes: Each `Route`.
        services: `Service` by name.
        limits: The `RequestLimits`.
        workspaces: `Workspace` by name; without any, no caller needs a key.
    """

    version: int
    routes: tuple = ()
    services: dict = field(default_factory=dict)
    limits: RequestLimits = RequestLimits()
    workspaces: dict = field(default_factory=dict)
    by_host: dict = field(init=False, repr=False, compare=False)
    by_digest: dict = field(init=False, repr=False, compare=False)
    highest_priorities: dict = field(init=False, repr=False, compare=False)

    def __post_init__(self):
        by_host = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        object.__setattr__(self, "by_host", by_host)
        by_digest = {
            digest: workspace
            for workspace in self.workspaces.values()
            for digest in workspace.key_digests
        }
        object.__setattr__(self, "by_digest", by_digest)
        highest = {}
        for route in self.routes:
            for share in route.services:
                known = highest.get(share.service, route.priority)
                highest[share.service] = min(known, route.priority)
        object.__setattr__(self, "highest_priorities", highest)

    def is_outranked(self, route):
        """Whether another route of its services has a higher priority."""
        return any(
            self.highest_priorities.get(share.service, 0) < route.priority
            for share in route.services
        )

    def find_route(self, host, path):
        """Return the route with the longest matching prefix.

        Args:
            host: Host name, without a port.
            path: Path of the request, without its query.

        Returns:
            The `Route`, or `NOTHING`.
        """
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return NOTHING

    def needs_key(self, route):
        """Whether callers of *route* must send the key of a workspace."""
        return bool(self.workspaces) and not route.public

    def workspace_of(self, key_digest):
        """Return the `Workspace` that a key belongs to, or `NOTHING`."""
        return self.by_digest.get(key_digest, NOTHING)

    def service(self, name):
        """Return the `Service` of *name*, or one with default values."""
        return self.services.get(name) or Service(name=name)


class ConfigurationKeeper:
    """Hold the configuration in force, and never return to an older one.

    A read that was in progress while a newer version arrived, or another host
    that lags, would otherwise put a removed route into force again: callers
    would get a response of the new version and then one of the old.
    """

    def __init__(self):
        self.current = NOTHING

    @property
    def version(self):
        """Version in force, or 0 if there is none."""
        return self.current.version if self.current else 0

    def offer(self, configuration):
        """Apply *configuration* if it is newer; return whether it was."""
        if configuration.version <= self.version:
            return False
        self.current = configuration
        return True
