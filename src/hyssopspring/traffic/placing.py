"""Place requests: at a server, in another region, or refuse them."""

from dataclasses import dataclass, replace

from ..core.sentinels import NOTHING
from .candidates import NO_CANDIDATE, UNBOUNDED, Candidate
from .coldrates import ColdRates
from .decisions import Placed, Refused, urgency_of
from .decoding import DecodeTimes
from .evidence import NOT_SENT, Evidence, Finding
from .margins import Margin
from .mechanisms import Mechanism
from .prefill import PrefillTimes
from .regions import (
    RegionLoad,
    ServerCapacity,
)
from .remoteregions import INTER_REGION_SECONDS, RemoteRegions
from .serverlimits import ServerLimits
from .servers import Usability
from .work import EstimateRequest, Placement, occupancy_cost
from .workmodels import make_work

__all__ = ["Placer"]

RETRY_TARGET_FRACTION = 0.6
"""Part of the time to the objective within which a refused caller should
be served when it comes back."""

REMOTE_TARGET_FRACTION = 0.85
"""Part of the time to the objective within which another region must
answer to be chosen; its load is known with a lag."""

LATE_URGENCY = 8
"""Urgency of requests that will miss their objective anyway: they run in
the gaps and delay nobody who can still be on time."""

MAX_LATE_PER_SERVER = 2
"""Late requests that may wait at one server at a time."""

RETRY_JITTER_FRACTION = 0.5
"""Part of a Retry-After by which callers are spread, so that those who are
refused together do not return together."""

NO_SERVER_WAIT_SECONDS = 1.0
"""Seconds that a request is taken to wait where no server is open; one
that is paused or cold is tried again within that time."""

MIN_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 3.0
"""Bounds of a Retry-After in seconds. Sooner, the load that led to the
refusal has not changed; later, little is left of the caller's time."""

ERROR_COST_SECONDS = 0.6
"""Seconds by which a server that always fails counts as worse: about an
objective, so that it still gets what no other could begin in time."""

MAX_REPORTED_SERVERS = 24
"""Servers of a service whose room is told to other regions, the best ones;
a peak of one region is spread over no more between two reports."""

STARTUP_CAUTION_SECONDS = 5.0
"""Seconds after the start of a host in which it takes servers gently of
which it has heard no answer. All hosts may have started together, so that
nobody knows which servers are in need."""

MAX_UNANSWERED_REQUESTS = 4
"""Requests that such a server gets before its first answer."""

MAX_PLACEMENT_AGE_SECONDS = 40.0
"""Seconds after which a placed request whose end was not heard of is
dropped; routes time out well before."""


@dataclass(frozen=True, slots=True)
class ServerView:
    """All that is known here of one server.

    Attributes:
        server: The `Server`.
        work: The model of its work.
        evidence: The `Evidence` on it.
    """

    server: object
    work: object
    evidence: object


@dataclass(frozen=True, slots=True)
class CachedViews:
    """The servers of one service in this region.

    Attributes:
        servers: Each `Server`, as the registry gives them.
        service: The `Service`.
        views: `ServerView` of each.
    """

    servers: list
    service: object
    views: list


class Placer:
    """Place the requests of one region.

    Each host has one. The hosts of a region ask the same one of theirs,
    which so knows all work in progress; what the others know serves to
    take over when it is gone.

    Args:
        region: The region.
        registry: The `Registry`.
        service_of: Called with a name; returns the `Service`.
        cold_bound: Called with a `Service`; returns the requests that
            its cold servers stand in a second.
        rng: Random number generator.
        live_regions: Called with the time; returns the regions in which
            hosts live.
        limits: The `ServerLimits`; left out, this host counts for its
            whole region.
        started_at: Time at which this host started, or `NOTHING`.
        disabled: Each `Mechanism` that is switched off.
    """

    def __init__(
        self,
        region,
        registry,
        service_of,
        cold_bound,
        rng,
        live_regions,
        *,
        limits=NOTHING,
        started_at=NOTHING,
        disabled=frozenset(),
    ):
        self.disabled = disabled
        self.cautious_until = -UNBOUNDED
        if started_at is not NOTHING:
            self.cautious_until = started_at + STARTUP_CAUTION_SECONDS
        self.limits = limits or ServerLimits(lambda: 1.0, rng)
        self.region = region
        self.registry = registry
        self.service_of = service_of
        self.cold_bound = cold_bound
        self.rng = rng
        self.work = {}
        self.prefill_times = {}
        self.decode_times = {}
        self.margins = {}
        self.evidence = {}
        self.views = {}
        self.placements = {}
        self.by_host = {}
        self.cold_rates = ColdRates()
        self.remote_regions = RemoteRegions(
            region,
            registry,
            service_of,
            self.prefill_times_of,
            live_regions,
            disabled,
        )

    def place(self, query, now, *, cold_allowed=True):
        """Decide on one request.

        Args:
            query: The `PlacementQuery`.
            now: The time.
            cold_allowed: Whether this host may count for cold servers.

        Returns:
            `Placed`, `PlacedRemotely` or `Refused`.
        """
        urgency = urgency_of(query)
        servers = self.eligible_servers(query, now, cold_allowed)
        if query.apart:
            servers = self.isolated(servers, query.apart)
        if not cold_allowed:
            servers = self.rotated(servers)
        local = self.best_candidate(servers, query, urgency, now)
        in_time = local.predicted + self.margin(query) <= query.time_left
        if in_time and local.cost <= INTER_REGION_SECONDS:
            # No other region can be better: the way alone costs more.
            return self.admit(query, local, urgency, now)
        remote = self.remote_regions.best(
            query, now, local.cost if in_time else UNBOUNDED
        )
        if in_time and local.cost <= remote.cost:
            return self.admit(query, local, urgency, now)
        if self.should_place_remotely(query, remote, local):
            return self.remote_regions.send(query, remote, now)
        if in_time:
            return self.admit(query, local, urgency, now)
        if query.begun:
            return self.place_resumed(query, local, remote, now)
        return self.place_late(servers, query, now)

    def isolated(self, views, fingerprint):
        """Return the servers at which no other suspected request is.

        Two servers have ended as this one was about to begin. Beside
        another suspected one, the next end would not show which of them
        was the cause; and while it is at a server itself, a second server
        would end for nothing.
        """
        at = {
            placement.server_id: placement.apart
            for placement in self.placements.values()
            if placement.apart
        }
        if fingerprint in at.values():
            return []
        return [view for view in views if view.server.entry.id not in at]

    def margin(self, query):
        """Return the seconds by which a prediction must be in time."""
        if Mechanism.MARGIN in self.disabled:
            return 0.0
        return self.margin_of(query.service).seconds

    def rotated(self, views):
        """Return servers in an order that begins anywhere.

        Hosts that only stand in know little of the load. To each the same
        server looks best, the first of equal ones; when a placing host
        could not keep up, all others sent it their requests.
        """
        first = self.rng.randrange(len(views)) if views else 0
        return views[first:] + views[:first]

    def place_resumed(self, query, local, remote, now):
        """Place a stream that has begun where it goes on first.

        Its caller holds a part of the answer. A refusal would cut it, and
        all that was made of it would be lost; the caller still takes an
        event that comes late.
        """
        if min(local.predicted, remote.predicted) > query.patience:
            return self.refuse(query, NO_SERVER_WAIT_SECONDS, 0)
        if remote.predicted < local.predicted:
            return self.remote_regions.send(query, remote, now)
        urgency = urgency_of(query)
        return self.admit(query, local, urgency, now)

    def best_candidate(self, views, query, urgency, now):
        """Return the `Candidate` of the best server.

        The one that has cached most of the prompt is looked at first; it
        is most often the best, and spares most of the work on the others.

        Args:
            views: `ServerView` of each server that may get the request.
            query: The `PlacementQuery`.
            urgency: Its rank among waiting requests.
            now: The time.
        """
        best = NO_CANDIDATE
        demand = query.demand
        known = [view.work.cached_prefix_tokens(demand) for view in views]
        most = max(known, default=0)
        holder = views[known.index(most)] if most else NOTHING
        copying = most and Mechanism.COPIES not in self.disabled
        inquiry = EstimateRequest(demand, urgency, now, most if copying else 0)
        weight = (
            0.0 if Mechanism.ERRORS in self.disabled else ERROR_COST_SECONDS
        )
        pairs = list(zip(views, known, strict=True))
        if holder is not NOTHING:
            pairs.insert(0, (holder, most))
        for view, tokens in pairs:
            errors = view.evidence.error_rate * weight
            limit = best.cost - errors
            found = view.work.assess(inquiry, tokens, limit)
            if found is NOTHING or found.cost >= limit:
                continue
            best = Candidate(
                view.server,
                found.predicted,
                found.cost + errors,
                found.copied,
                holder.server.entry.address if found.copied else "",
            )
        return best

    def eligible_servers(self, query, now, cold_allowed):
        """Return the `ServerView` of each server eligible for the request."""
        if query.regions and self.region not in query.regions:
            return []
        return [
            view
            for view in self.views_of(query.service, now)
            if now >= view.evidence.paused_until
            and view.server.entry.id not in query.excluded
            and not (
                now < view.server.cold_until
                and self.cold_share_used(view.server, now, cold_allowed)
            )
            and not (
                self.limits.named
                and not self.limits.is_free(view.server.entry.id, now)
            )
            and not (now < self.cautious_until and has_unanswered_limit(view))
        ]

    def views_of(self, name, now):
        """Return the `ServerView` of each server of a service in this region.

        They are kept until servers come or go, or the service changes.
        """
        servers = self.registry.candidates(name, self.region, now)
        service = self.service_of(name)
        kept = self.views.get(name)
        if (
            kept is None
            or kept.servers is not servers
            or kept.service is not service
        ):
            views = [
                ServerView(
                    server,
                    self.work_of(server),
                    self.evidence_of(server.entry.id),
                )
                for server in servers
            ]
            kept = self.views[name] = CachedViews(servers, service, views)
        return kept.views

    def cold_share_used(self, server, now, cold_allowed):
        """Whether the server is cold and has got its share already."""
        if server.usability(now) is not Usability.COLD:
            return False
        service = self.service_of(server.entry.service)
        if not service.cold_rate:
            return False
        if not cold_allowed:
            return True
        bound = self.cold_bound(service)
        return not self.cold_rates.is_allowed(server.entry.id, bound, now)

    def should_place_remotely(self, query, remote, local):
        """Whether another region serves the request better.

        It must meet the objective there, or have no server here at all.
        """
        if remote is NO_CANDIDATE or remote.predicted > query.patience:
            return False
        if local is NO_CANDIDATE:
            return True
        if Mechanism.AWAY in self.disabled:
            return False
        return remote.predicted <= query.time_left * REMOTE_TARGET_FRACTION

    def place_late(self, servers, query, now):
        """Admit a request that will be late behind all others, or refuse.

        Refused requests go at once: their callers may come back when
        there is room, and the engine's time goes to those on time. Late
        ones stay in their region: sent to others, they fill the servers
        that could still serve bound requests on time.
        """
        local = self.best_candidate(servers, query, LATE_URGENCY, now)
        if local is NO_CANDIDATE:
            return self.refuse_unavailable(query, now)
        of_use = local.predicted <= query.patience
        if of_use and not self.late_limit_reached(local.target):
            urgency = LATE_URGENCY
            return self.admit(query, local, urgency, now)
        return self.refuse(query, local.predicted, len(servers))

    def late_limit_reached(self, server):
        """Whether enough late requests wait at a server already."""
        if Mechanism.LATE in self.disabled:
            return True
        late = sum(
            placement.urgency >= LATE_URGENCY and not placement.started
            for placement in self.work_of(server).placements.values()
        )
        return late >= MAX_LATE_PER_SERVER

    def refuse_unavailable(self, query, now):
        """Return a `Refused` that says when a server takes requests again."""
        held = self.blocked_by_limits(query, now)
        if not held:
            refused = self.refuse(query, NO_SERVER_WAIT_SECONDS, 0)
            evidence = self.registry.who_left(query.service, self.region, now)
            return replace(refused, evidence=evidence)
        most = MAX_RETRY_SECONDS * (
            1.0 + RETRY_JITTER_FRACTION * self.rng.random()
        )
        promise = self.limits.promise(query.service, held, now, most)
        evidence = self.limits.evidence(promise.server_id, now)
        seconds = promise.seconds
        return Refused(max(MIN_RETRY_SECONDS, seconds), seconds, 0, evidence)

    def blocked_by_limits(self, query, now):
        """Return the servers that could be used but for their limits."""
        if not self.limits.named:
            return []
        if query.regions and self.region not in query.regions:
            return []
        return [
            view.server.entry.id
            for view in self.views_of(query.service, now)
            if view.evidence.open(now)
            and view.server.entry.id not in query.excluded
            and not self.limits.is_free(view.server.entry.id, now)
        ]

    def refuse(self, query, predicted, servers):
        """Return a `Refused` that says when there should be room."""
        over = max(
            MIN_RETRY_SECONDS,
            predicted - query.time_left * RETRY_TARGET_FRACTION,
        )
        seconds = min(MAX_RETRY_SECONDS, over)
        spread = 1.0 + RETRY_JITTER_FRACTION * self.rng.random()
        return Refused(seconds * spread, predicted, servers)

    def admit(self, query, candidate, urgency, now):
        """Count the request at the server of *offer*; return `Placed`."""
        server = candidate.target
        entry = server.entry
        work = self.work_of(server)
        placement = Placement(
            host=query.host,
            number=query.number,
            server_id=entry.id,
            placed_at=now,
            uncached_tokens=work.uncached_tokens(
                query.demand, candidate.copied
            ),
            tokens=query.demand.tokens_in + query.demand.tokens_out,
            tokens_out=query.demand.tokens_out,
            urgency=urgency,
            predicted=candidate.predicted,
            apart=query.apart,
        )
        self.remote_regions.note_prefilled(entry.service, query.demand, now)
        self.drop(query.host, query.number, now)
        self.add_placement(placement)
        work.begin(placement, query.demand)
        self.cold_rates.count(entry.id, now)
        self.limits.take(entry.id, now)
        self.evidence_of(entry.id).begin_trial(now)
        cold = server.usability(now) is Usability.COLD
        source = candidate.copy_from if candidate.copied else ""
        evidence = self.limits.evidence(entry.id, now)
        return Placed(
            entry.id,
            entry.address,
            urgency,
            candidate.predicted,
            cold or bool(evidence),
            source,
            evidence,
        )

    def note_start(self, host, number, seconds, now):
        """Take account of a first event or the head of an answer."""
        placement = self.placements.get((host, number))
        if placement is None or placement.started:
            return
        work = self.work.get(placement.server_id)
        server = self.registry.servers.get(placement.server_id)
        if server is not None and placement.urgency < LATE_URGENCY:
            margin = self.margin_of(server.entry.service)
            margin.learn(placement.predicted, seconds)
        if work is not None:
            work.start(placement, seconds, now)
            self.evidence_of(placement.server_id).note_answer(now)

    def note_end(self, host, number, server_id, finding, now):
        """Take account of the end of an attempt.

        Returns:
            Whether its server is now newly suspected.
        """
        placed_here = self.drop(
            host, number, now, whole=finding is Finding.ANSWERED
        )
        if placed_here and finding in NOT_SENT:
            self.limits.give_back(server_id)
        if server_id not in self.registry.servers:
            return False
        return self.evidence_of(server_id).note(finding, now)

    def drop(self, host, number, now, *, whole=False):
        """Forget one placed request.

        Args:
            host: Host that carries it out.
            number: Its number.
            now: The time.
            whole: Whether its answer has come to its end.

        Returns:
            Whether it was known.
        """
        placement = self.placements.pop((host, number), None)
        if placement is None:
            return False
        self.placements_of_host(host).pop(number, None)
        work = self.work.get(placement.server_id)
        if work is not None:
            work.end(placement, now, whole=whole)
        return True

    def add_placement(self, placement):
        """Remember a placed request."""
        self.placements[placement.host, placement.number] = placement
        self.by_host.setdefault(placement.host, {})[placement.number] = (
            placement
        )

    def placements_of_host(self, host):
        """Return the tickets of *host* by number."""
        return self.by_host.get(host, {})

    def retain_placements(self, host, numbers, now, *, older_than):
        """Forget the requests of *host* that it says have ended.

        The word of an end may be lost on its way; the server would seem
        loaded until the host is heard to carry it no longer.
        """
        stale = [
            number
            for number, placement in self.placements_of_host(host).items()
            if number not in numbers and now - placement.placed_at > older_than
        ]
        for number in stale:
            self.drop(host, number, now)

    def adopt(self, placement, now):
        """Take over a request that another host has placed."""
        key = placement.host, placement.number
        known = self.placements.get(key)
        if known is not None:
            work = self.work.get(known.server_id)
            if placement.started and not known.started and work is not None:
                work.mark_started(known, now)
            return
        server = self.registry.servers.get(placement.server_id)
        if server is None:
            return
        placement.started_at = now
        self.add_placement(placement)
        self.work_of(server).begin(placement, NOTHING)

    def forget_host(self, host, now):
        """Forget all requests of a host that is gone."""
        for number in list(self.placements_of_host(host)):
            self.drop(host, number, now)

    def forget_server(self, server_id, now):
        """Forget all about a server that is gone or has started anew.

        A server that starts again under its identifier has lost its work
        and what it had cached, and is cold whatever it got before.
        """
        for key, placement in list(self.placements.items()):
            if placement.server_id == server_id:
                self.drop(*key, now)
        self.work.pop(server_id, None)
        self.evidence.pop(server_id, None)
        self.views.clear()
        self.cold_rates.forget(server_id)
        self.limits.forget(server_id)

    def sweep(self, now):
        """Forget servers that are gone, and requests past any timeout."""
        known = self.registry.servers
        for server_id in [one for one in self.work if one not in known]:
            self.forget_server(server_id, now)
        for key, placement in list(self.placements.items()):
            if now - placement.placed_at > MAX_PLACEMENT_AGE_SECONDS:
                self.drop(*key, now)

    def summarize(self, now):
        """Return the `RegionLoad` of this region by service."""
        slots = {}
        capacities = {}
        for server in self.registry.servers.values():
            if server.region != self.region or not self.is_reported(
                server, now
            ):
                continue
            spare = self.limits.spare(server.entry.id, now)
            if spare == 0:
                continue
            name = server.entry.service
            work = self.work_of(server)
            slots[name] = work.slots
            capacity = ServerCapacity(
                work.waits(now), work.occupancy(), work.token_time(now), spare
            )
            capacities.setdefault(name, []).append(capacity)
        return {
            name: RegionLoad(
                slots[name],
                highest_capacity(found),
                self.remote_regions.reported_parts(name, now),
            )
            for name, found in capacities.items()
        }

    def is_reported(self, server, now):
        """Whether other regions may count on a server."""
        server_id = server.entry.id
        if self.registry.usability(server_id, now) is not Usability.READY:
            return False
        return self.evidence_of(server_id).open(now)

    def apply_load_report(self, region, loads, now):
        """Take over another region's report."""
        self.remote_regions.apply_load_report(region, loads, now)

    def work_of(self, server):
        """Return the model of a server's work.

        A host that has just started may hear of servers before it has a
        configuration. It cannot tell an engine from a plain service then;
        an engine that kept the wrong model would look idle for good, and
        take all requests that no other server could begin in time.
        """
        work = self.work.get(server.entry.id)
        service = self.service_of(server.entry.service)
        if work is None or not work.is_for(service.engine):
            known = work
            prefill_times = self.prefill_times_of(service.name)
            decode_times = self.decode_times_of(service.name)
            work = make_work(
                service,
                server.entry.slots,
                prefill_times,
                decode_times,
                disabled=self.disabled,
            )
            self.work[server.entry.id] = work
            if known is not None:
                for placement in known.placements.values():
                    work.begin(placement, NOTHING)
        return work

    def margin_of(self, service):
        """Return the `Margin` of a service."""
        return self.margins.setdefault(service, Margin())

    def prefill_times_of(self, service):
        """Return the `PrefillTimes` of a service."""
        return self.prefill_times.setdefault(service, PrefillTimes())

    def decode_times_of(self, service):
        """Return the `DecodeTimes` of a service."""
        return self.decode_times.setdefault(service, DecodeTimes())

    def evidence_of(self, server_id):
        """Return the `Evidence` on a server."""
        evidence = self.evidence.get(server_id)
        if evidence is None:
            evidence = self.evidence[server_id] = Evidence()
        return evidence


def highest_capacity(capacities):
    """Return the rooms that other regions are told of."""
    ranked = sorted(
        capacities,
        key=lambda capacity: (
            capacity.waits[0] + occupancy_cost(capacity.occupancy)
        ),
    )
    return tuple(ranked[:MAX_REPORTED_SERVERS])


def has_unanswered_limit(view):
    """Whether a server has enough to answer before its first answer."""
    if view.evidence.has_answered:
        return False
    waiting = sum(not one.started for one in view.work.placements.values())
    return waiting >= MAX_UNANSWERED_REQUESTS
