"""Ranking of the data centres that may serve a request, by cost."""

from dataclasses import field, replace

from .configuration import Weights
from .records import dataclass
from .requests import Priority
from .sentinels import NOTHING

MAX_MISSED_SUMMARIES = 4
"""Missed summaries after which the last one counts as stale."""

AWAY_PENALTY_SECONDS = 0.5
"""Penalty for leaving the home region at full weight of `Weights.away`."""

COLD_PREFILL_SECONDS = 0.3
"""Approximate prefill time of a prompt that is not cached."""

HYSTERESIS_SECONDS = 0.1
"""Advantage that another region must have over the home region, which
prevents requests from alternating between regions."""

FULL_PENALTY_SECONDS = 5.0
"""Penalty for a data centre without a free slot."""

STALE_PENALTY_SECONDS = 30.0
"""Penalty for a data centre whose summaries no longer arrive."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CentreSummary:
    """Load summary that a data centre broadcasts to the others.

    Attributes:
        region: Region of the data centre.
        data_centre: Name of the data centre.
        gateways: Addresses for forwarded requests, as ``ip:port``.
        targets: Tuple of slots, load and shortest wait in seconds, by
            `Target`.
        listeners: Number of hosts elsewhere that receive the summary and
            share the free slots.
        at: Time of arrival on this host's clock, in seconds.
        every: Interval between summaries of the data centre, in seconds.
    """

    region: str
    data_centre: str
    gateways: tuple[str, ...]
    targets: dict
    listeners: int = 1
    at: float = 0.0
    every: float = 1.0


@dataclass(slots=True)
class CentreTable:
    """The newest summary of each other data centre.

    Attributes:
        region: Region of this host.
        summaries: `CentreSummary` by data centre.
        sent_since_summary: Number of requests forwarded since the newest
            summary, by data centre. The load in the summary already
            includes those that were forwarded before.
    """

    region: str
    summaries: dict[str, CentreSummary] = field(default_factory=dict)
    sent_since_summary: dict[str, int] = field(default_factory=dict)

    def apply_summary(self, summary):
        """Store a summary unless a newer one is stored."""
        known = self.summaries.get(summary.data_centre)
        if known is None or known.at <= summary.at:
            self.summaries[summary.data_centre] = summary
            self.sent_since_summary[summary.data_centre] = 0

    def apply_load(self, data_centre, target, load, now):
        """Apply the load that a response from *data_centre* contained.

        The interval between summaries grows with the fleet. Responses
        provide current load of exactly those data centres that requests
        are forwarded to.
        """
        known = self.summaries.get(data_centre)
        if known is not None:
            targets = {**known.targets, target: load}
            self.apply_summary(replace(known, targets=targets, at=now))

    def record_forward(self, data_centre):
        """Record that a request is forwarded to *data_centre*."""
        self.sent_since_summary[data_centre] = (
            self.sent_since_summary.get(data_centre, 0) + 1
        )

    def spare_slots(self, summary, target):
        """Return the free remote slots that this host may still use.

        All hosts that receive a summary see the same free slots. If each
        host used all of them, the data centre would get many times the
        requests it has slots for. Each host therefore uses an equal
        share, and at least one slot.
        """
        slots, load, _ = summary.targets[target]
        free = slots - load
        if free <= 0:
            return 0.0
        used = self.sent_since_summary.get(summary.data_centre, 0)
        return max(1.0, free / summary.listeners) - used


@dataclass(frozen=True, slots=True)
class PlacementOption:
    """A data centre that may serve a request, with its score.

    Attributes:
        score: Weighted cost in seconds; lower is better.
        summary: `CentreSummary` of another data centre, or `NOTHING` for
            that of this host.
    """

    score: float
    summary: CentreSummary = NOTHING


def rank_data_centres(request, target, table, centres, configuration, now):
    """Rank the data centres that may serve *target*, best first.

    Args:
        request: The `Request`.
        target: Target of the request, or one of its fallbacks.
        table: `ServerTable` of this data centre.
        centres: `CentreTable` of the other data centres.
        configuration: The `Configuration` in force.
        now: Time on the host's clock, in seconds.

    Returns:
        List of `PlacementOption`. Centres outside the request's residency are
        never included.
    """
    options = []
    weights = workspace_weights(request, configuration)
    servers = table.available_servers(target, now)
    allowed = permitted_regions(request, target, configuration)
    if centres.region in allowed and servers:
        wait = min(server.wait(now) for server in servers)
        score = score_data_centre(request, weights, centres.region, wait, 0.0)
        if all_full(servers, now):
            score += FULL_PENALTY_SECONDS
        options.append(PlacementOption(score))
    for summary in centres.summaries.values():
        if summary.region not in allowed:
            continue
        if target not in summary.targets:
            continue
        options.append(
            score_remote(
                request, weights, target, summary, centres, configuration, now
            )
        )
    return sorted(options, key=lambda option: option.score)


def permitted_regions(request, target, configuration):
    """Return the regions that may serve *target* for *request*.

    A fallback may be offered in fewer regions than the requested target,
    so the regions of the fallback apply as well.
    """
    return request.residency & configuration.permitted(
        request.workspace, target
    )


def score_remote(
    request, weights, target, summary, centres, configuration, now
):
    """Return the `PlacementOption` for another data centre."""
    distance = round_trip_seconds(
        configuration, centres.region, summary.region
    )
    wait = summary.targets[target][2]
    score = score_data_centre(request, weights, summary.region, wait, distance)
    if now - summary.at > MAX_MISSED_SUMMARIES * summary.every:
        score += STALE_PENALTY_SECONDS
    if centres.spare_slots(summary, target) <= 0:
        score += FULL_PENALTY_SECONDS
    return PlacementOption(score, summary)


def score_data_centre(request, weights, region, wait, distance):
    """Return the score of a data centre, in seconds.

    The score is the sum of the wait and the distance. Outside the home
    region, penalties are added for the prefill with a cold cache, for
    leaving the home region, and for hysteresis. Batch requests are not
    urgent, so they leave the home region only if no server is available
    there at all.
    """
    score = wait + distance
    if region == request.home:
        return score
    score += HYSTERESIS_SECONDS + weights.away * AWAY_PENALTY_SECONDS
    score += (weights.cost + weights.tail) * COLD_PREFILL_SECONDS
    if request.priority is Priority.BATCH:
        score += FULL_PENALTY_SECONDS * 4
    return score


def workspace_weights(request, configuration):
    """Return the `Weights` of the request's workspace."""
    workspace = configuration.workspaces.get(request.workspace)
    return workspace.weights if workspace else Weights()


def round_trip_seconds(configuration, here, there):
    """Return the round-trip time between two regions in seconds."""
    if here == there:
        return 0.001
    region = configuration.regions.get(here)
    known = region.round_trip_ms if region else {}
    return known.get(there, 100.0) / 1000


def all_full(servers, now):
    """Return whether none of *servers* has a free slot."""
    return all(server.load(now) >= server.slots for server in servers)
