"""The merged configuration as hosts hold it in memory."""

from dataclasses import dataclass, field

from .requests import Target, TargetKind
from .sentinels import NOTHING

MAX_ATTEMPTS = 3
DEFAULT_DEADLINE_MS = 60_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """How often a workspace may ask, over all hosts and regions.

    Attributes:
        requests_per_second: Sustained rate, or None for no limit.
        concurrent: Requests in progress at once, or None.
    """

    requests_per_second: float | None = None
    concurrent: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Weights:
    """What a workspace minds, each from 0 to 1.

    Attributes:
        tail: Weight of the time to the first token.
        cost: Weight of accelerator time.
        away: Weight of being served away from home.
    """

    tail: float = 1.0
    cost: float = 0.2
    away: float = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """Rights and wishes of one workspace."""

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
    """A model or a service that workspaces may ask for.

    Attributes:
        regions: Regions with servers of it; None for every region.
        repeatable: Whether its calls may run twice.
        deadline_ms: Longest deadline that a caller gets.
        attempts: Most attempts of one request.
        fallback: Models to try instead, in order.
    """

    regions: frozenset[str] | None = None
    repeatable: bool = True
    deadline_ms: int = DEFAULT_DEADLINE_MS
    attempts: int = MAX_ATTEMPTS
    fallback: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Region:
    """A region and how far the others are.

    Attributes:
        round_trip_ms: Round trip to each other region, in milliseconds.
    """

    round_trip_ms: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """Everything that the operators' files say, merged."""

    generation: int = 0
    regions: dict[str, Region] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    models: dict[str, Offer] = field(default_factory=dict)
    services: dict[str, Offer] = field(default_factory=dict)

    def offer(self, target):
        """Return the `Offer` of *target*, or `NOTHING`."""
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
            Intersection of what the workspace and the target permit;
            empty if one of them is not known.
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
