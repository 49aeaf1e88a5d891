"""The choice among data centres: at home, or away and at what price."""

from dataclasses import dataclass, field, replace

from .configuration import Weights
from .requests import Priority
from .sentinels import NOTHING

MAX_MISSED_SUMMARIES = 4
"""Summaries that may be missing before the last one counts as old."""

AWAY_PENALTY_SECONDS = 0.5
"""Seconds that a workspace with full weight gives to stay at home."""

COLD_PREFILL_SECONDS = 0.3
"""Seconds to read a prompt that is not in the cache, about."""

HYSTERESIS_SECONDS = 0.1
"""Seconds by which another region must be better."""

FULL_PENALTY_SECONDS = 5.0
"""Seconds that count for a centre without a free slot."""

STALE_PENALTY_SECONDS = 30.0
"""Seconds that count for a centre that has fallen silent."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CentreSummary:
    """What a data centre tells the others about itself.

    Attributes:
        region: Its region.
        data_centre: Its name.
        gateways: Addresses for forwarded requests, as ``ip:port``.
        targets: Slots, load and shortest wait in seconds by `Target`.
        listeners: Hosts elsewhere that hear the summary and thus share
            what is spare.
        at: Time of arrival on the host's clock, in seconds.
        every: Seconds between two summaries of the centre.
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
        sent: Requests sent there since the newest summary, whose load
            already counts those that were sent before.
    """

    region: str
    summaries: dict[str, CentreSummary] = field(default_factory=dict)
    sent_since_summary: dict[str, int] = field(default_factory=dict)

    def apply_summary(self, summary):
        """Note a summary, unless a newer one is known."""
        known = self.summaries.get(summary.data_centre)
        if known is None or known.at <= summary.at:
            self.summaries[summary.data_centre] = summary
            self.sent_since_summary[summary.data_centre] = 0

    def apply_load(self, data_centre, target, load, now):
        """Take over the load that rode on an answer from there.

        Summaries grow rarer as the fleet grows. Answers bring fresh news
        from just those centres that requests are sent to.
        """
        known = self.summaries.get(data_centre)
        if known is not None:
            targets = {**known.targets, target: load}
            self.apply_summary(replace(known, targets=targets, at=now))

    def record_forward(self, data_centre):
        """Count a request that is forwarded to *data_centre*."""
        self.sent_since_summary[data_centre] = (
            self.sent_since_summary.get(data_centre, 0) + 1
        )

    def spare_slots(self, summary, target):
        """Return the free slots there that this host may still use.

        All hosts that hear a summary see the same free slots. If each
        took them all, a centre would get many times what it has room
        for, so each takes its equal share, and one at least.
        """
        slots, load, _ = summary.targets[target]
        free = slots - load
        if free <= 0:
            return 0.0
        used = self.sent_since_summary.get(summary.data_centre, 0)
        return max(1.0, free / summary.listeners) - used


@dataclass(frozen=True, slots=True)
class PlacementOption:
    """A data centre that could serve, with its score in seconds.

    Attributes:
        score: Weighted cost; lower is better.
        summary: The other data centre, or `NOTHING` for the own.
    """

    score: float
    summary: CentreSummary = NOTHING


def rank_data_centres(request, target, table, centres, configuration, now):
    """Order the data centres that may serve *target*, best first.

    Args:
        request: The `Request`.
        target: Its target or a fallback of it.
        table: `ServerTable` of the own data centre.
        centres: `CentreTable` of the others.
        configuration: The `Configuration` in force.
        now: Time on the host's clock, in seconds.

    Returns:
        List of `PlacementOption`. Centres outside the request's residency are
        never in it.
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

    A fallback may be offered in fewer regions than the target that was
    asked for, so its own regions count as well.
    """
    return request.residency & configuration.permitted(
        request.workspace, target
    )


def score_remote(
    request, weights, target, summary, centres, configuration, now
):
    """Return the `PlacementOption` of serving in another data centre."""
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
    """Weigh wait and distance, in seconds, against leaving home.

    Work at another region than home finds cold caches there and counts
    as sent away. Batch work has time, so it leaves home only when there
    is no server for it at all.
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
    """Return the round trip between two regions in seconds."""
    if here == there:
        return 0.001
    region = configuration.regions.get(here)
    known = region.round_trip_ms if region else {}
    return known.get(there, 100.0) / 1000


def all_full(servers, now):
    """Whether none of *servers* has a free slot."""
    return all(server.load(now) >= server.slots for server in servers)
