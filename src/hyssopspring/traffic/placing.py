"""Place requests on a server, place them in another region, or refuse them."""

from collections import Counter
from dataclasses import dataclass, replace

from ..core.sentinels import NOTHING
from .candidates import NO_CANDIDATE, UNBOUNDED, Candidate
from .coldrates import ColdRates
from .decisions import Placed, Refused, urgency_of
from .decoding import DecodeTimes
from .headroom import Headroom
from .margins import Margin
from .mechanisms import Mechanism
from .pauses import GapModel
from .plainwork import INITIAL_CALL_SECONDS
from .prefill import PrefillTimes, attention_pairs
from .regions import RegionLoad, ServerCapacity
from .remoteregions import INTER_REGION_SECONDS, RemoteRegions
from .returnschedule import ReturnSchedule
from .serverhealth import NOT_SENT, AttemptResult, ServerHealth
from .serverlimits import ServerLimits
from .servers import Usability
from .serverspeeds import SpeedBook, bounded_slowdown
from .work import (
    CROWDED_OCCUPANCY,
    EstimateRequest,
    Placement,
    occupancy_cost,
    rank_of,
)
from .workmodels import make_work

__all__ = ["Placer"]

RETRY_TARGET_FRACTION = 0.6
"""Fraction of the time to the objective within which a refused caller should
be served when it retries."""

REMOTE_TARGET_FRACTION = 0.85
"""Fraction of the time to the objective within which another region must
answer to be chosen. It is below 1 because the load of that region is received
with a lag."""

LATE_URGENCY = 8
"""Urgency of requests that are predicted to miss their objective. They run
when nothing more urgent waits, so they delay no request that can still be on
time."""

TYPICAL_DUTY = 0.3
"""Fraction of time in prefill for which the work of requests is compared. The
same value holds for completed and for refused work, so its error cancels."""

MAX_LATE_PER_SERVER = 2
"""Maximum number of late requests that wait at one server."""

RETRY_JITTER_FRACTION = 0.5
"""Maximum fraction of a Retry-After that is added to it at random, so that
callers that are refused together do not retry together."""

NO_SERVER_WAIT_SECONDS = 1.0
"""Predicted wait of a request in seconds when no server is open. A server that
is paused or cold is tried again within that time."""

MIN_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 3.0
"""Bounds of a Retry-After in seconds. With a shorter one, the load that caused
the refusal has not changed; with a longer one, little is left of the caller's
time."""

ERROR_COST_SECONDS = 0.6
"""Seconds that are added to the cost of a server whose requests all fail. This
is about one objective, so the server still gets requests that no other server
could start in time."""

MAX_REPORTED_SERVERS = 24
"""Maximum number of servers of a service whose capacity is reported to other
regions, the best ones first. A load peak of one region is not spread over more
servers between two reports."""

MIN_REPORTED_OF_VERSION = 2
"""Minimum number of servers of each version whose capacity is reported, if
there are as many."""

NO_HOLDER = ("", 0)
"""Address and cached tokens if no server has cached any of a prompt."""

STARTUP_CAUTION_SECONDS = 5.0
"""Seconds after the start of a host in which it limits the requests to servers
from which it has received no answer. All hosts may have started together, so
that no host has information on which servers are overloaded."""

MAX_UNANSWERED_REQUESTS = 4
"""Maximum number of waiting requests at such a server before its first
answer."""

MAX_PLACEMENT_AGE_SECONDS = 40.0
"""Seconds after which a placement is removed if no message has reported its
end. The timeouts of routes are well below this."""


@dataclass(frozen=True, slots=True)
class ServerView:
    """The state of one server as this host sees it.

    Attributes:
        server: The `Server`.
        work: The model of its work in progress.
        health: Its `ServerHealth`.
    """

    server: object
    work: object
    health: object


@dataclass(frozen=True, slots=True)
class CachedViews:
    """The cached views of the servers of one service in this region.

    Attributes:
        servers: Each `Server`, as returned by the registry.
        service: The `Service`.
        views: `ServerView` of each.
    """

    servers: list
    service: object
    views: list


class Placer:
    """Place the requests of one region.

    Each host has a placer. All hosts of a region send their queries to the
    placer of the same host, so that this one sees all work in progress. The
    other placers track the placements too, in order to take over when that
    host fails.

    Args:
        region: The region.
        registry: The `Registry`.
        service_of: Called with a name; returns the `Service`.
        cold_bound: Called with a `Service`; returns the requests a second that
            its cold servers can handle.
        rng: Random number generator.
        live_regions: Called with the time; returns the regions that have live
            hosts.
        limits: The `ServerLimits`. If left out, this host counts for its whole
            region.
        cold_rates: The `ColdRates`; the same holds.
        started_at: Time at which this host started, or `NOTHING`.
        disabled: Each `Mechanism` that is disabled.
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
        cold_rates=NOTHING,
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
        self.gap_models = {}
        self.margins = {}
        self.headrooms = {}
        self.schedules = {}
        self.speeds = SpeedBook(disabled)
        self.health = {}
        self.views = {}
        self.placements = {}
        self.placements_by_host = {}
        self.cold_rates = cold_rates or ColdRates()
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
            cold_allowed: Whether this host may place requests on cold servers.

        Returns:
            `Placed`, `PlacedRemotely` or `Refused`.
        """
        urgency = urgency_of(query)
        self.headroom_of(query.service).record_request(query.regions, now)
        servers = self.eligible_servers(query, now, cold_allowed)
        if query.apart:
            servers = self.isolated(servers, query.apart)
        if not cold_allowed:
            servers = self.rotated(servers)
        local = self.best_candidate(servers, query, urgency, now)
        promised, due_seconds = self.claim_return(query, urgency, now)
        needed = local.predicted + self.margin(query) + due_seconds
        in_time = needed <= query.time_left
        if in_time and self.leaves_room(servers, query, local, now):
            remote = self.uncontested_region(query, now)
            if self.should_place_remotely(query, remote, local):
                self.headroom_of(query.service).sent_away += 1
                return self.remote_regions.send(query, remote, now)
        if in_time and local.cost <= INTER_REGION_SECONDS:
            # No other region can be better: the round trip alone costs
            # more.
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
        if promised and local.predicted <= query.patience:
            return self.admit(query, local, urgency, now)
        return self.place_late(servers, query, local, now)

    def leaves_room(self, servers, query, local, now):
        """Return whether a request should leave its slot to bound ones.

        It should if other regions may serve it, while the free slots of this
        region do not cover what region-bound requests need.
        """
        if (
            Mechanism.HEADROOM in self.disabled
            or query.regions
            or query.begun
            or not query.may_leave
            or self.work_of(local.target).occupancy(now) < CROWDED_OCCUPANCY
        ):
            return False
        headroom = self.headroom_of(query.service)
        return self.free_slots(servers) < headroom.missing_slots(now)

    def uncontested_region(self, query, now):
        """Return the best `Candidate` where no bound request may be served."""
        contested = self.headroom_of(query.service).contested_regions(now)
        elsewhere = replace(query, avoided=(*query.avoided, *contested))
        return self.remote_regions.best(elsewhere, now, UNBOUNDED)

    def free_slots(self, views):
        """Return the slots of servers that no request is placed on."""
        return sum(
            view.work.slots - len(view.work.placements) for view in views
        )

    def isolated(self, views, fingerprint):
        """Return the servers on which no other suspected request runs.

        Two servers have crashed as this request was about to start. If it ran
        beside another suspected request, the next crash would not show which
        of the two was the cause. While the request itself runs on a server, no
        server is returned, since a crash of a second server would give no new
        information.
        """
        suspects = {
            placement.server_id: placement.apart
            for placement in self.placements.values()
            if placement.apart
        }
        if fingerprint in suspects.values():
            return []
        return [view for view in views if view.server.entry.id not in suspects]

    def margin(self, query):
        """Return the seconds by which a prediction must be early."""
        if Mechanism.MARGIN in self.disabled:
            return 0.0
        return self.margin_of(query.service).seconds

    def rotated(self, views):
        """Return the servers in an order with a random start.

        Fallback hosts have little information on the load. To each of them
        the same server looks best, the first of equal ones. Without the
        rotation, all fallback hosts sent their requests to one server when
        the placing host could not keep up.
        """
        start = self.rng.randrange(len(views)) if views else 0
        return views[start:] + views[:start]

    def place_resumed(self, query, local, remote, now):
        """Place a started stream where it is predicted to resume first.

        The caller holds a part of the answer. A refusal would truncate the
        stream and waste the part already produced, while the caller still
        accepts an event that comes late.
        """
        if min(local.predicted, remote.predicted) > query.patience:
            return self.refuse(query, NO_SERVER_WAIT_SECONDS, 0, now)
        if remote.predicted < local.predicted:
            return self.remote_regions.send(query, remote, now)
        urgency = urgency_of(query)
        return self.admit(query, local, urgency, now)

    def best_candidate(self, views, query, urgency, now):
        """Return the `Candidate` of the best server.

        The server that has cached the most of the prompt is evaluated first.
        It usually is the best one, and its cost bounds the evaluation of the
        other servers, so that most of the work on them is skipped.

        Args:
            views: `ServerView` of each server that may get the request.
            query: The `PlacementQuery`.
            urgency: Its rank among waiting requests.
            now: The time.
        """
        best = NO_CANDIDATE
        best_total = UNBOUNDED
        demand = query.demand
        cached_tokens = [
            view.work.cached_prefix_tokens(demand) for view in views
        ]
        holders = find_holders(views, cached_tokens)
        copying = Mechanism.COPIES not in self.disabled
        weighs_gaps = self.weighs_gaps(query)
        request = EstimateRequest(
            demand,
            urgency,
            now,
            0,
            query.gap_objective,
            weighs_gaps,
            query.time_left - self.margin(query) if weighs_gaps else UNBOUNDED,
        )
        weight = (
            0.0 if Mechanism.ERRORS in self.disabled else ERROR_COST_SECONDS
        )
        pairs = list(zip(views, cached_tokens, strict=True))
        most_cached = max(cached_tokens, default=0)
        if most_cached:
            pairs.insert(0, pairs.pop(cached_tokens.index(most_cached)))
        for view, tokens in pairs:
            holder, held = holders.get(view.server.entry.version, NO_HOLDER)
            if copying and request.most_cached != held:
                request = replace(request, most_cached=held)
            errors = view.health.error_rate * weight
            limit = best_total - errors
            estimate = view.work.estimate(request, tokens, limit)
            if estimate is NOTHING:
                continue
            total = estimate.cost + estimate.gap_cost
            if total >= limit:
                continue
            best_total = total + errors
            best = Candidate(
                view.server,
                estimate.predicted,
                estimate.cost + errors,
                estimate.copied,
                holder if estimate.copied else "",
                estimate.pause,
            )
        return best

    def weighs_gaps(self, query):
        """Return whether gaps between stream events count for a request.

        They count once its service has a stream with a gap objective.
        """
        if Mechanism.PAUSES in self.disabled:
            return False
        return bool(
            query.gap_objective or self.gap_model_of(query.service).streams
        )

    def eligible_servers(self, query, now, cold_allowed):
        """Return the `ServerView` of each server that may get *query*."""
        if query.regions and self.region not in query.regions:
            return []
        return [
            view
            for view in self.views_of(query.service, now)
            if now >= view.health.paused_until
            and query.version in ("", view.server.entry.version)
            and view.server.entry.id not in query.excluded
            and not (
                now < view.server.cold_until
                and self.cold_limit_reached(view.server, now, cold_allowed)
            )
            and not (
                self.limits.by_server
                and not self.limits.can_send(view.server.entry.id, now)
            )
            and not (now < self.cautious_until and has_unanswered_limit(view))
        ]

    def views_of(self, name, now):
        """Return the `ServerView` of each server of a service in this region.

        The views are cached until servers are added or removed, or the service
        changes.
        """
        servers = self.registry.candidates(name, self.region, now)
        service = self.service_of(name)
        cached = self.views.get(name)
        if (
            cached is None
            or cached.servers is not servers
            or cached.service is not service
        ):
            views = [
                ServerView(
                    server,
                    self.work_of(server),
                    self.health_of(server.entry.id),
                )
                for server in servers
            ]
            cached = self.views[name] = CachedViews(servers, service, views)
        return cached.views

    def cold_limit_reached(self, server, now, cold_allowed):
        """Return whether the server is cold and at its request limit."""
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
        """Return whether another region should serve the request.

        That region must answer within the objective, unless no server of this
        region can take the request.
        """
        if remote is NO_CANDIDATE or remote.predicted > query.patience:
            return False
        if local is NO_CANDIDATE:
            return True
        if Mechanism.AWAY in self.disabled:
            return False
        return remote.predicted <= query.time_left * REMOTE_TARGET_FRACTION

    def place_late(self, servers, query, in_rank, now):
        """Admit a request that will be late behind all others, or refuse it.

        Requests are refused at once, because their callers may retry when
        there is capacity and because the time of the engine should go to
        requests that are on time. Late requests stay in their region: in other
        regions they would fill servers that could still serve region-bound
        requests on time.

        Args:
            servers: `ServerView` of each server that may get it.
            query: The `PlacementQuery`.
            in_rank: `Candidate` for the request at its own urgency. Its time
                tells when a returning caller can be served.
            now: The time.
        """
        local = self.best_candidate(servers, query, LATE_URGENCY, now)
        if local is NO_CANDIDATE:
            return self.refuse_unavailable(query, now)
        useful = local.predicted <= query.patience
        if useful and not self.late_limit_reached(local.target):
            urgency = LATE_URGENCY
            return self.admit(query, local, urgency, now)
        predicted = min(in_rank.predicted, local.predicted)
        return self.refuse(query, predicted, len(servers), now)

    def late_limit_reached(self, server):
        """Return whether the maximum of late requests waits at a server."""
        if Mechanism.LATE in self.disabled:
            return True
        late = sum(
            placement.urgency >= LATE_URGENCY and not placement.started
            for placement in self.work_of(server).placements.values()
        )
        return late >= MAX_LATE_PER_SERVER

    def refuse_unavailable(self, query, now):
        """Return a `Refused` with the time until a server accepts requests."""
        blocked = self.blocked_by_limits(query, now)
        if not blocked:
            refused = self.refuse(query, NO_SERVER_WAIT_SECONDS, 0, now)
            evidence = self.registry.describe_leaving(
                query.service, self.region, now
            )
            return replace(refused, evidence=evidence)
        max_seconds = MAX_RETRY_SECONDS * (
            1.0 + RETRY_JITTER_FRACTION * self.rng.random()
        )
        promise = self.limits.advise_retry(
            query.service, blocked, now, max_seconds
        )
        evidence = self.limits.describe(promise.server_id, now)
        seconds = promise.seconds
        return Refused(max(MIN_RETRY_SECONDS, seconds), seconds, 0, evidence)

    def blocked_by_limits(self, query, now):
        """Return the servers that are unavailable only due to their limits."""
        if not self.limits.by_server:
            return []
        if query.regions and self.region not in query.regions:
            return []
        return [
            view.server.entry.id
            for view in self.views_of(query.service, now)
            if view.health.is_available(now)
            and view.server.entry.id not in query.excluded
            and not self.limits.can_send(view.server.entry.id, now)
        ]

    def refuse(self, query, predicted, servers, now):
        """Return a `Refused` with the time until capacity is expected."""
        rank = rank_of(urgency_of(query))
        work = self.work_seconds(query)
        schedule = self.schedule_of(query.service)
        if (
            servers
            and query.request
            and query.workspace
            and Mechanism.SCHEDULE not in self.disabled
            and schedule.knows_rate(rank, work, now)
        ):
            seconds, promised = schedule.promise(
                query.request,
                rank,
                work,
                max(MIN_RETRY_SECONDS, predicted - query.time_left),
                query.caller_time_left or query.demand.answer_within,
                now,
            )
            return Refused(seconds, predicted, servers, promised=promised)
        seconds_over = max(
            MIN_RETRY_SECONDS,
            predicted - query.time_left * RETRY_TARGET_FRACTION,
        )
        seconds = min(MAX_RETRY_SECONDS, seconds_over)
        jitter = 1.0 + RETRY_JITTER_FRACTION * self.rng.random()
        return Refused(seconds * jitter, predicted, servers)

    def claim_return(self, query, urgency, now):
        """Return whether a place was promised to a request.

        Returns:
            Whether it returns in its promised time, and the seconds of
            promised work that a newcomer must leave room for.
        """
        schedule = self.schedule_of(query.service)
        if query.begun or not schedule.promises:
            return False, 0.0
        if query.request and schedule.take(query.request, now):
            return True, 0.0
        return False, schedule.due_seconds(rank_of(urgency), now)

    def work_seconds(self, query):
        """Return the seconds of a slot that a request needs, roughly.

        Its shared parts count as cached.
        """
        demand = query.demand
        if self.service_of(query.service).engine is NOTHING:
            return INITIAL_CALL_SECONDS
        own = demand.parts[-1][1] if demand.parts else demand.tokens_in
        return self.prefill_times_of(query.service).seconds(
            own, attention_pairs(demand.tokens_in, own)
        ) + demand.tokens_out * self.decode_times_of(query.service).seconds(
            TYPICAL_DUTY
        )

    def record_completed(self, placement, now):
        """Count the work of a complete answer for the service rate."""
        service = placement.service
        if not placement.tokens:
            work = INITIAL_CALL_SECONDS
        else:
            work = (
                placement.prefill_seconds
                + placement.tokens_out
                * self.decode_times_of(service).seconds(TYPICAL_DUTY)
            )
        self.schedule_of(service).record_completed(
            rank_of(placement.urgency), work, now
        )

    def return_gauges(self):
        """Return the gauges of promised returns, by name."""
        schedules = self.schedules.values()
        return {
            "returns_promised": sum(len(one.promises) for one in schedules),
            "returns_kept_total": sum(one.kept for one in schedules),
            "returns_expired_total": sum(one.expired for one in schedules),
            "returns_declined_total": sum(one.declined for one in schedules),
        }

    def schedule_of(self, service):
        """Return the `ReturnSchedule` of a service."""
        return self.schedules.setdefault(service, ReturnSchedule())

    def admit(self, query, candidate, urgency, now):
        """Record the request at the server of *candidate*; return `Placed`."""
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
            gap_objective=query.gap_objective,
            service=entry.service,
            bound=bool(query.regions),
        )
        self.remote_regions.record_prefilled(entry.service, query.demand, now)
        self.drop(query.host, query.number, now)
        self.add_placement(placement)
        work.begin(placement, query.demand)
        self.cold_rates.count(entry.id, now)
        self.limits.consume(entry.id, now)
        self.health_of(entry.id).begin_trial(now)
        cold = server.usability(now) is Usability.COLD
        source = candidate.copy_from if candidate.copied else ""
        evidence = self.limits.describe(entry.id, now)
        service = self.service_of(entry.service)
        if cold and service.cold_rate and not evidence:
            evidence = self.cold_rates.describe(
                server, self.cold_bound(service), now
            )
        return Placed(
            entry.id,
            entry.address,
            urgency,
            candidate.predicted,
            cold or bool(evidence),
            source,
            evidence,
            candidate.pause,
            *work.speeds.described(now),
            version=entry.version,
        )

    def record_load(self, server_id, load, at, now):
        """Record the load that a server reported at the time *at*."""
        work = self.work.get(server_id)
        if work is not None:
            work.speeds.report(load, work.placements, at, now)

    def record_placement_load(self, host, number, load, seconds, now):
        """Record the load in the response of a placed request.

        The report is dated from the placement, so that a delayed message does
        not appear to be new.

        Args:
            host: Host that runs the request.
            number: Its number.
            load: The `ReportedLoad`.
            seconds: Seconds from the placement to the head of the response.
            now: The time.
        """
        placement = self.placements.get((host, number))
        if placement is None:
            return
        if load.slowdown is not NOTHING and Mechanism.SPEEDS not in (
            self.disabled
        ):
            placement.slowdown = bounded_slowdown(load.slowdown)
        at = min(now, placement.placed_at + seconds)
        self.record_load(placement.server_id, load, at, now)

    def record_response_start(self, host, number, seconds, now):
        """Record a first event or the response head of an attempt."""
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
            self.health_of(placement.server_id).record_answer(now)

    def record_attempt_end(
        self, host, number, server_id, result, now, *, gaps=NOTHING
    ):
        """Record the end of an attempt.

        Args:
            host: Host that made it.
            number: The host's number for its request.
            server_id: Its server.
            result: Its `AttemptResult`.
            now: The time.
            gaps: `StreamGaps` of its stream, or `NOTHING`.

        Returns:
            Whether its server has become suspect through this attempt.
        """
        placed_here = self.drop(
            host,
            number,
            now,
            complete=result is AttemptResult.ANSWERED,
            gaps=gaps,
        )
        if placed_here and result in NOT_SENT:
            self.limits.refund(server_id)
        if server_id not in self.registry.servers:
            return False
        return self.health_of(server_id).record_result(result, now)

    def drop(self, host, number, now, *, complete=False, gaps=NOTHING):
        """Remove one placement.

        Args:
            host: Host that runs the request.
            number: Its number.
            now: The time.
            complete: Whether its answer is complete.
            gaps: `StreamGaps` of its stream, or `NOTHING`.

        Returns:
            Whether the placement existed.
        """
        placement = self.placements.pop((host, number), None)
        if placement is None:
            return False
        self.placements_of_host(host).pop(number, None)
        self.headroom_of(placement.service).end(
            placement, now, complete=complete
        )
        if complete:
            self.record_completed(placement, now)
        work = self.work.get(placement.server_id)
        if work is not None:
            work.end(placement, now, complete=complete, gaps=gaps)
        return True

    def add_placement(self, placement):
        """Store the placement of a request."""
        self.placements[placement.host, placement.number] = placement
        self.placements_by_host.setdefault(placement.host, {})[
            placement.number
        ] = placement
        self.headroom_of(placement.service).begin(placement)

    def placements_of_host(self, host):
        """Return the placements of *host* by number."""
        return self.placements_by_host.get(host, {})

    def retain_placements(self, host, numbers, now, *, older_than):
        """Remove the placements of *host* that it reports as ended.

        The message that reports an end may be lost. The server would then seem
        loaded until the host no longer lists the request.
        """
        stale = [
            number
            for number, placement in self.placements_of_host(host).items()
            if number not in numbers and now - placement.placed_at > older_than
        ]
        for number in stale:
            self.drop(host, number, now)

    def adopt(self, placement, now):
        """Store a placement that another host has made."""
        key = placement.host, placement.number
        existing = self.placements.get(key)
        if existing is not None:
            work = self.work.get(existing.server_id)
            if placement.started and not existing.started and work is not None:
                work.mark_started(existing, now)
            return
        server = self.registry.servers.get(placement.server_id)
        if server is None:
            return
        placement.started_at = now
        placement.service = server.entry.service
        self.add_placement(placement)
        self.work_of(server).begin(placement, NOTHING)

    def forget_host(self, host, now):
        """Remove all placements of a host that is gone."""
        for number in list(self.placements_of_host(host)):
            self.drop(host, number, now)

    def forget_server(self, server_id, now):
        """Remove all state of a server that is gone or has restarted.

        A server that restarts under the same identifier has lost its work and
        its cache, and it is cold regardless of the requests that it got
        before.
        """
        for key, placement in list(self.placements.items()):
            if placement.server_id == server_id:
                self.drop(*key, now)
        self.work.pop(server_id, None)
        self.health.pop(server_id, None)
        self.speeds.forget(server_id)
        self.views.clear()
        self.cold_rates.forget(server_id)
        self.limits.forget_former(server_id, self.registry)

    def sweep(self, now):
        """Remove servers that are gone, and placements past any timeout."""
        registered = self.registry.servers
        known = self.work.keys() | self.speeds.servers.keys()
        for server_id in [one for one in known if one not in registered]:
            self.forget_server(server_id, now)
        for key, placement in list(self.placements.items()):
            if now - placement.placed_at > MAX_PLACEMENT_AGE_SECONDS:
                self.drop(*key, now)

    def summarize(self, now):
        """Return the `RegionLoad` of each service of this region by name."""
        slots = {}
        capacities = {}
        for server in self.registry.servers.values():
            if server.region != self.region or not self.is_reported(
                server, now
            ):
                continue
            spare = self.limits.available(server.entry.id, now)
            if spare == 0:
                continue
            name = server.entry.service
            work = self.work_of(server)
            slots[name] = work.slots
            capacity = ServerCapacity(
                work.waits(now),
                work.occupancy(now),
                work.token_time(now),
                spare,
                server.entry.version,
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
        """Return whether other regions may use a server."""
        server_id = server.entry.id
        if self.registry.usability(server_id, now) is not Usability.READY:
            return False
        return self.health_of(server_id).is_available(now)

    def apply_load_report(self, region, loads, now):
        """Apply the load report of another region."""
        self.remote_regions.apply_load_report(region, loads, now)

    def work_of(self, server):
        """Return the model of a server's work in progress.

        A host that has just started may learn of servers before it has a
        configuration, and then cannot distinguish an engine from a plain
        service. An engine that kept the wrong model would look idle
        permanently and get all requests that no other server could start in
        time.
        """
        work = self.work.get(server.entry.id)
        service = self.service_of(server.entry.service)
        if work is None or not work.is_for(service.engine):
            previous = work
            prefill_times = self.prefill_times_of(service.name)
            decode_times = self.decode_times_of(service.name)
            work = make_work(
                service,
                server.entry.slots,
                prefill_times,
                decode_times,
                self.gap_model_of(service.name),
                disabled=self.disabled,
                speeds=self.speeds.of(server.entry.id, service.name),
            )
            self.work[server.entry.id] = work
            if previous is not None:
                previous.retire()
                for placement in previous.placements.values():
                    work.begin(placement, NOTHING)
        return work

    def margin_of(self, service):
        """Return the `Margin` of a service."""
        return self.margins.setdefault(service, Margin())

    def headroom_of(self, service):
        """Return the `Headroom` of a service."""
        return self.headrooms.setdefault(service, Headroom())

    def prefill_times_of(self, service):
        """Return the `PrefillTimes` of a service."""
        return self.prefill_times.setdefault(service, PrefillTimes())

    def decode_times_of(self, service):
        """Return the `DecodeTimes` of a service."""
        return self.decode_times.setdefault(service, DecodeTimes())

    def gap_model_of(self, service):
        """Return the `GapModel` of a service."""
        return self.gap_models.setdefault(service, GapModel())

    def health_of(self, server_id):
        """Return the `ServerHealth` on a server."""
        health = self.health.get(server_id)
        if health is None:
            health = self.health[server_id] = ServerHealth()
        return health


def find_holders(views, cached_tokens):
    """Return who has cached the most of a prompt, by version.

    Servers of different versions may cache in different formats, so parts are
    copied within a version only.

    Args:
        views: `ServerView` of each server.
        cached_tokens: Tokens of the prompt that each of them has cached.

    Returns:
        Address of the server and its tokens, by version.
    """
    holders = {}
    for view, tokens in zip(views, cached_tokens, strict=True):
        entry = view.server.entry
        if tokens > holders.get(entry.version, NO_HOLDER)[1]:
            holders[entry.version] = entry.address, tokens
    return holders


def highest_capacity(capacities):
    """Return the best capacities, which are reported to other regions.

    At least the best ones of each version are among them, as some requests
    need that version.
    """
    ranked = sorted(
        capacities,
        key=lambda capacity: (
            capacity.waits[0] + occupancy_cost(capacity.occupancy)
        ),
    )
    best, rest = ranked[:MAX_REPORTED_SERVERS], ranked[MAX_REPORTED_SERVERS:]
    reported = Counter(capacity.version for capacity in best)
    for capacity in rest:
        if reported[capacity.version] < MIN_REPORTED_OF_VERSION:
            reported[capacity.version] += 1
            best.append(capacity)
    return tuple(best)


def has_unanswered_limit(view):
    """Return whether a server has its maximum of requests before an answer."""
    if view.health.has_answered:
        return False
    waiting = sum(not one.started for one in view.work.placements.values())
    return waiting >= MAX_UNANSWERED_REQUESTS
