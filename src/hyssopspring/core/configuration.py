"""In-memory model of the merged configuration."""

from dataclasses import field

from .records import dataclass
from .requests import Target, TargetKind
from .sentinels import NOTHING

MAX_ATTEMPTS = 3
"""Default for the maximum number of attempts of a request."""

DEFAULT_DEADLINE_MS = 60_000
"""Default deadline of requests."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Request limits of a workspace, over all hosts and regions.

    Attributes:
        requests_per_second: Maximum sustained rate, or None for no limit.
        concurrent: Maximum number of concurrent requests, or None for no
            limit.
    """

    requests_per_second: float | None = None
    concurrent: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Weights:
    """Weights of placement criteria of a workspace, each from 0 to 1.

    Attributes:
        tail: Weight of the time to the first token.
        cost: Weight of accelerator time.
        away: Weight of being served outside the home region.
    """

    tail: float = 1.0
    cost: float = 0.2
    away: float = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """Rights and preferences of one workspace."""

    home: str
    residency: frozenset[str] | None = None
    keys: dict[str, str] = field(default_factory=dict)
    limits: Limits = Limits()
    weights: Weights = Weights()
    repeatable: bool = True
    deadline_ms: int = DEFAULT_DEADLINE_MS
    attempts: int = MAX_ATTEMPTS


@dataclass(frozen=True, slots=True, kw_only=True)
class Offer:
    """A model or a service that workspaces may request.

    Attributes:
        regions: Regions that serve it; None for all regions.
        repeatable: Whether requests for it may run more than once.
        deadline_ms: Maximum deadline of a request.
        attempts: Maximum number of attempts of a request.
        fallback: Models to try as fallbacks, in order.
    """

    regions: frozenset[str] | None = None
    repeatable: bool = True
    deadline_ms: int = DEFAULT_DEADLINE_MS
    attempts: int = MAX_ATTEMPTS
    fallback: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Region:
    """A region and its distance to the others.

    Attributes:
        round_trip_ms: Round trip to each other region, in milliseconds.
    """

    round_trip_ms: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """The merged content of all configuration files."""

    generation: int = 0
    regions: dict[str, Region] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    models: dict[str, Offer] = field(default_factory=dict)
    services: dict[str, Offer] = field(default_factory=dict)

    def offer(self, target):
        """Return the `Offer` for *target*, or `NOTHING` if there is none."""
        offers = self.services
        if target.kind is TargetKind.MODEL:
            offers = self.models
        return offers.get(target.name, NOTHING)

    def permitted(self, workspace, target):
        """Return the regions that may serve *target* for *workspace*.

        Args:
            workspace: Name of the workspace.
            target: Model or service.

        Returns:
            Intersection of the regions that the workspace and the target
            permit. It is empty if one of them is unknown.
        """
        offer = self.offer(target)
        rights = self.workspaces.get(workspace, NOTHING)
        if offer is NOTHING or rights is NOTHING:
            return frozenset()
        regions = frozenset(self.regions)
        if rights.residency is not None:
            regions &= rights.residency
        if offer.regions is not None:
            regions &= offer.regions
        return regions

    def fallbacks(self, target):
        """Return the targets to try after *target*, in order."""
        offer = self.offer(target)
        if offer is NOTHING:
            return ()
        return tuple(Target(target.kind, name) for name in offer.fallback)
