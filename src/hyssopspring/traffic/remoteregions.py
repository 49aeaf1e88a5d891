"""Choose among the other regions by their load reports."""

from collections import deque

from ..core.hashing import short_id
from ..core.sentinels import NOTHING
from .candidates import NO_CANDIDATE, Candidate
from .decisions import PlacedRemotely, urgency_of
from .mechanisms import Mechanism
from .plainwork import INITIAL_CALL_SECONDS
from .prefill import attention_pairs
from .regions import (
    MAX_REPORTED_PARTS,
    MIN_REPORTED_TOKENS,
    PART_REPORT_SECONDS,
    AddedWork,
    CachedParts,
    RemoteLoad,
    unreported_load,
)
from .work import PREFILL_COST_FACTOR, rank_of

__all__ = ["INTER_REGION_SECONDS", "RemoteRegions"]

INTER_REGION_SECONDS = 0.2
"""Seconds that a request to another region takes longer: a round trip between
regions of 160 ms, and one hop at each end."""

LOAD_REPORT_TTL_SECONDS = 1.5
"""Seconds for which the load report of another region is used. Reports are
sent a few times a second, so a region that has sent none for this long may be
partitioned off."""


class RemoteRegions:
    """Load of the other regions, and of the requests sent there.

    Args:
        region: The region of this host.
        registry: The `Registry`.
        service_of: Called with a name; returns the `Service`.
        prefill_times_of: Called with a name; returns its `PrefillTimes`.
        live_regions: Called with the time; returns the regions that have live
            hosts.
        disabled: Each `Mechanism` that is disabled.
    """

    def __init__(
        self,
        region,
        registry,
        service_of,
        prefill_times_of,
        live_regions,
        disabled,
    ):
        self.region = region
        self.registry = registry
        self.service_of = service_of
        self.prefill_times_of = prefill_times_of
        self.live_regions = live_regions
        self.disabled = disabled
        self.remote_loads = {}
        self.reported_at = {}
        self.cached_parts = {}
        self.prefilled_parts = deque()

    def best(self, query, now, limit):
        """Return the `Candidate` of the best other region.

        Args:
            query: The `PlacementQuery`.
            now: The time.
            limit: Cost from which on a region is not considered.
        """
        best = NO_CANDIDATE
        if not query.may_leave:
            return best
        for region in sorted(self.live_regions(now) - {self.region}):
            if query.regions and region not in query.regions:
                continue
            if region in query.avoided:
                continue
            if not self.registry.has_version(
                query.service, region, query.version, now
            ):
                continue
            load = self.remote_load(region, query.service, now)
            if not load.open_servers(query.version):
                continue
            seconds = self.work_seconds(query, region, now)
            min_cost = INTER_REGION_SECONDS + seconds * (
                1.0 + PREFILL_COST_FACTOR
            )
            if min_cost >= min(limit, best.cost):
                continue
            added = AddedWork(
                seconds,
                rank_of(urgency_of(query)),
                query.demand,
                query.version,
            )
            server = load.best(added, now)
            predicted = INTER_REGION_SECONDS + server.seconds_to_start(added)
            cost = INTER_REGION_SECONDS + server.cost(added)
            if cost < best.cost:
                best = Candidate(region, predicted, cost)
        return best

    def remote_load(self, region, service, now):
        """Return the `RemoteLoad` of a service in another region.

        A region that has live hosts but whose report is missing may well be
        able to serve the request. It is assumed to be fairly busy.
        """
        loads = self.remote_loads.setdefault(region, {})
        reported_at = self.reported_at.get(region, NOTHING)
        if (
            reported_at is not NOTHING
            and now - reported_at <= LOAD_REPORT_TTL_SECONDS
        ):
            return loads.get(service) or RemoteLoad()
        servers = self.registry.candidates(service, region, now)
        slots = max((one.entry.slots for one in servers), default=1)
        load = loads.setdefault(service, RemoteLoad())
        load.apply_report(unreported_load(slots, len(servers)), now)
        return load

    def work_seconds(self, query, region, now):
        """Return the seconds of work that a request adds to a region."""
        if self.service_of(query.service).engine is NOTHING:
            return INITIAL_CALL_SECONDS
        demand = query.demand
        uncached = self.cached_parts_of(region).uncached_tokens(demand, now)
        pairs = attention_pairs(demand.tokens_in, uncached)
        return self.prefill_times_of(query.service).seconds(uncached, pairs)

    def send(self, query, remote, now):
        """Choose another region, and add the request to its load at once."""
        load = self.remote_load(remote.target, query.service, now)
        seconds = self.work_seconds(query, remote.target, now)
        rank = rank_of(urgency_of(query))
        added = AddedWork(seconds, rank, query.demand, query.version)
        load.count(added, now)
        if Mechanism.AFFINITY not in self.disabled:
            self.cached_parts_of(remote.target).add_parts(
                query.demand.parts, now
            )
        return PlacedRemotely(remote.target, remote.predicted)

    def record_prefilled(self, service, demand, now):
        """Record the shared parts that a server of this region will cache."""
        for part, tokens in demand.parts[:-1]:
            if tokens >= MIN_REPORTED_TOKENS:
                self.prefilled_parts.append((now, service, short_id(part)))
        while (
            self.prefilled_parts
            and now - self.prefilled_parts[0][0] > PART_REPORT_SECONDS
        ):
            self.prefilled_parts.popleft()

    def reported_parts(self, service, now):
        """Return the short names of the parts to report to other regions."""
        names = [
            name
            for prefilled_at, part_service, name in self.prefilled_parts
            if part_service == service
            and now - prefilled_at <= PART_REPORT_SECONDS
        ]
        return tuple(dict.fromkeys(reversed(names)))[:MAX_REPORTED_PARTS]

    def cached_parts_of(self, region):
        """Return the `CachedParts` of another region."""
        return self.cached_parts.setdefault(region, CachedParts())

    def apply_load_report(self, region, loads, now):
        """Apply the load report of another region."""
        current = self.remote_loads.setdefault(region, {})
        for service in [one for one in current if one not in loads]:
            del current[service]
        for service, load in loads.items():
            current.setdefault(service, RemoteLoad()).apply_report(load, now)
            if Mechanism.AFFINITY not in self.disabled:
                self.cached_parts_of(region).add_names(
                    load.prefilled_parts, now
                )
        self.reported_at[region] = now
