"""Weigh the other regions for a request, by what they tell."""

from collections import deque

from ..core.hashing import short_id
from ..core.sentinels import NOTHING
from .decisions import Away, urgency_of
from .mechanisms import Mechanism
from .offers import NO_OFFER, Offer
from .plainwork import PLAIN_SECONDS
from .reading import pairs_of
from .regions import (
    LEAST_TOLD,
    MOST_TOLD_PARTS,
    TOLD_FOR,
    Brought,
    CachedParts,
    FarLoad,
    untold,
)
from .work import READING_COST, rank_of

__all__ = ["AWAY_SECONDS", "OtherRegions"]

AWAY_SECONDS = 0.2
"""Seconds by which another region answers later: a round trip between
regions of 160 ms, and a hop at each end."""

SUMMARY_LIFE = 1.5
"""Seconds for which another region's load report is used; it is sent a
few times a second, and who is silent so long may be cut off."""


class OtherRegions:
    """What is known of the other regions, and of what was sent there.

    Args:
        region: The own region.
        registry: The `Registry`.
        service_of: Called with a name; returns the `Service`.
        figures_of: Called with a name; returns its `ReadingFigures`.
        live_regions: Called with the time; returns the regions in which
            hosts live.
        off: Each `Mechanism` that is switched off.
    """

    def __init__(
        self, region, registry, service_of, figures_of, live_regions, off
    ):
        self.region = region
        self.registry = registry
        self.service_of = service_of
        self.figures_of = figures_of
        self.live_regions = live_regions
        self.off = off
        self.far = {}
        self.told_at = {}
        self.cached_parts = {}
        self.read_parts = deque()

    def best(self, ask, now, limit):
        """Return the `Offer` of the best other region.

        Args:
            ask: The `Ask`.
            now: The time.
            limit: Cost from which on a region is of no interest.
        """
        best = NO_OFFER
        if not ask.may_leave:
            return best
        for region in sorted(self.live_regions(now) - {self.region}):
            if ask.regions and region not in ask.regions:
                continue
            if region in ask.avoided:
                continue
            load = self.load_of(region, ask.service, now)
            if not load.open_servers():
                continue
            seconds = self.work_away(ask, region, now)
            least = AWAY_SECONDS + seconds * (1.0 + READING_COST)
            if least >= min(limit, best.cost):
                continue
            brought = Brought(seconds, rank_of(urgency_of(ask)), ask.demand)
            server = load.best(brought, now)
            predicted = AWAY_SECONDS + server.begun(brought)
            cost = AWAY_SECONDS + server.cost(brought)
            if cost < best.cost:
                best = Offer(region, predicted, cost)
        return best

    def load_of(self, region, service, now):
        """Return the `FarLoad` of a service in another region.

        A region whose hosts are heard while its report is missing may
        well serve the request; it is taken to be fairly busy.
        """
        loads = self.far.setdefault(region, {})
        told_at = self.told_at.get(region, NOTHING)
        if told_at is not NOTHING and now - told_at <= SUMMARY_LIFE:
            return loads.get(service) or FarLoad()
        servers = self.registry.candidates(service, region, now)
        slots = max((one.entry.slots for one in servers), default=1)
        load = loads.setdefault(service, FarLoad())
        load.take(untold(slots, len(servers)), now)
        return load

    def work_away(self, ask, region, now):
        """Return the seconds of work that a request brings to a region."""
        if self.service_of(ask.service).engine is NOTHING:
            return PLAIN_SECONDS
        demand = ask.demand
        fresh = self.cached_in(region).fresh_tokens(demand, now)
        pairs = pairs_of(demand.tokens_in, fresh)
        return self.figures_of(ask.service).seconds(fresh, pairs)

    def send(self, ask, away, now):
        """Choose another region, and count on its load at once."""
        load = self.load_of(away.place, ask.service, now)
        seconds = self.work_away(ask, away.place, now)
        rank = rank_of(urgency_of(ask))
        load.count(Brought(seconds, rank, ask.demand), now)
        if Mechanism.AFFINITY not in self.off:
            self.cached_in(away.place).note(ask.demand.parts, now)
        return Away(away.place, away.predicted)

    def note_read(self, service, demand, now):
        """Remember the shared parts that a server here will have cached."""
        for part, tokens in demand.parts[:-1]:
            if tokens >= LEAST_TOLD:
                self.read_parts.append((now, service, short_id(part)))
        while self.read_parts and now - self.read_parts[0][0] > TOLD_FOR:
            self.read_parts.popleft()

    def told_parts(self, service, now):
        """Return the short names of parts to be told to other regions."""
        names = [
            name
            for at, of, name in self.read_parts
            if of == service and now - at <= TOLD_FOR
        ]
        return tuple(dict.fromkeys(reversed(names)))[:MOST_TOLD_PARTS]

    def cached_in(self, region):
        """Return the `CachedParts` of another region."""
        return self.cached_parts.setdefault(region, CachedParts())

    def take_load(self, region, loads, now):
        """Take over another region's report."""
        known = self.far.setdefault(region, {})
        for service in [one for one in known if one not in loads]:
            del known[service]
        for service, load in loads.items():
            known.setdefault(service, FarLoad()).take(load, now)
            if Mechanism.AFFINITY not in self.off:
                self.cached_in(region).note_names(load.read, now)
        self.told_at[region] = now
