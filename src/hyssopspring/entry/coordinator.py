"""Query the placing host of the region for a server for each request."""

from collections import deque
from dataclasses import dataclass, replace

from twisted.internet import defer

from ..core.events import EventKind
from ..core.sentinels import NOTHING
from ..traffic.decisions import (
    Placed,
    PlacedRemotely,
    PlacementQuery,
    Refused,
)
from ..traffic.serverhealth import ANSWERS, AttemptResult
from ..traffic.servers import Usability
from ..traffic.work import Demand
from .limiting import RECENT_FALLBACK_SECONDS
from .messages import (
    AttemptEndedMessage,
    AttemptStartedMessage,
    PlacementGrantMessage,
    PlacementRow,
)
from .placementmessages import (
    answer_message,
    decision_from_message,
    end_message,
    load_row,
    query_from_message,
    query_message,
)

__all__ = ["ANSWER_TIMEOUT_SECONDS", "PlacementCoordinator"]

ANSWER_TIMEOUT_SECONDS = 0.08
"""Seconds in which a placing host must answer a query. A round trip within
the region takes 1 ms; the remainder allows for a busy processor."""

MAX_QUERIED_HOSTS = 2
"""Hosts that are queried in turn before this host decides by itself."""

RANKING_CACHE_SECONDS = 0.1
"""Seconds for which the ranking of placing hosts is cached, because ranking
the hosts of a large region takes as long as answering a query."""

FIRST_NUMBER_BITS = 40
"""Bits of the random number from which requests are counted. Answers to the
queries of a former process may arrive after its host has started again; they
must not be taken for answers to the queries of the new one."""

MAX_QUERIES_PER_TURN = 4
"""Queries that are answered in one turn of the event loop, before sockets
are polled again; they take 1 ms."""

LATE_ANSWER_SECONDS = 3.0
"""Seconds after the timeout of a query in which a late grant is still
released at the host that made it."""

IMMEDIATE_GRANT_SECONDS = 0.25
"""Seconds for which a grant that must be used at once remains valid. A host
that was suspended in the meantime would otherwise send a request that the
placing host no longer counts."""


@dataclass(slots=True, eq=False)
class PendingQuery:
    """A query that waits for its answer.

    Attributes:
        ask: The `PlacementQuery` that was sent.
        member: `Member` that was queried.
        done: Deferred that fires with the decision.
        asked_at: Time of the query by the clock that includes suspension.
        timer: Delayed call of the timeout, or `NOTHING`.
    """

    ask: PlacementQuery
    member: object
    done: object
    asked_at: float
    timer: object = NOTHING


@dataclass(slots=True, eq=False)
class OpenPlacement:
    """A request of this host that is placed and in progress.

    Attributes:
        placed: The `Placed` decision.
        demand: The `Demand` of the request.
        placer: Name of the host that placed the request.
        started: Whether the first event of the response has arrived.
        gap_objective: Its gap objective in seconds, or 0.
        placed_at: Time of the decision.
        load: `LoadRow` that the placing host has not received yet, or None.
    """

    placed: Placed
    demand: Demand
    placer: str
    started: bool = False
    gap_objective: float = 0.0
    placed_at: float = 0.0
    load: object = None


class PlacementCoordinator:
    """Send and answer placement queries, and report progress to placing hosts.

    Args:
        members: The `Members`.
        placer: The `Placer` of this host.
        registry: The `Registry`.
        datagrams: The `DatagramEndpoint`.
        clock: The clock of the reactor.
        boot_clock: Callable that returns the seconds of a clock that also
            advances while the host is suspended.
        timeline: The `Timeline`.
        limiter: The `WorkspaceLimiter`.
        retry_after_pauses: The `RetryAfterPauses`: the pauses that servers
            requested from this host.
        rng: Random number generator.
        guarded: Called with a function to run; logs its unexpected failure.
    """

    def __init__(
        self,
        members,
        placer,
        registry,
        datagrams,
        clock,
        boot_clock,
        timeline,
        limiter,
        retry_after_pauses,
        rng,
        guarded=lambda work: work(),
    ):
        self.members = members
        self.placer = placer
        self.registry = registry
        self.datagrams = datagrams
        self.clock = clock
        self.boot_clock = boot_clock
        self.timeline = timeline
        self.limiter = limiter
        self.retry_after_pauses = retry_after_pauses
        self.guarded = guarded
        self.number = rng.getrandbits(FIRST_NUMBER_BITS)
        self.pending_queries = {}
        self.expired_queries = {}
        self.placements = {}
        self.away_placers = {}
        self.last_fallback_at = NOTHING
        self.ranked = []
        self.ranked_at = NOTHING
        self.queries = deque()
        self.queries_dropped = 0

    @property
    def host(self):
        """Name of this host."""
        return self.members.own.name

    async def place(self, ask):
        """Return the number of a request and the decision where it runs.

        Args:
            ask: The `PlacementQuery`; this method sets its host and number.
        """
        self.number += 1
        number = self.number
        ask = replace(ask, host=self.host, number=number)
        decision = await self.query_hosts(number, self.exclude_paused(ask))
        return number, self.with_earliest_return(ask, decision)

    def exclude_paused(self, ask):
        """Return a `PlacementQuery` without the servers that are paused."""
        paused = self.retry_after_pauses.blocked(self.clock.seconds())
        if not paused:
            return ask
        return replace(ask, excluded=(*ask.excluded, *paused))

    def with_earliest_return(self, ask, decision):
        """Return a refusal whose Retry-After is the end of the first pause.

        The placing host has no record of which servers requested a pause
        from this host, nor for how long.
        """
        if not isinstance(decision, Refused) or decision.servers:
            return decision
        pause = self.earliest_pause_end(ask.service, ask.excluded)
        if pause is NOTHING:
            return decision
        now = self.clock.seconds()
        return replace(
            decision,
            retry_after=self.retry_after_pauses.retry_delay(pause, now),
            evidence=pause.describe(now),
        )

    def earliest_pause_end(self, service, excluded=()):
        """Return the first `RetryAfterPause` to end if all servers are paused.

        Args:
            service: The service.
            excluded: Identifiers of servers that are excluded for another
                reason; those that are paused are considered nevertheless.

        Returns:
            `NOTHING` if a server of this region accepts requests.
        """
        now = self.clock.seconds()
        region = self.members.own.region
        candidates = self.registry.candidates(service, region, now)
        candidate_ids = [one.entry.id for one in candidates]
        ids = [
            one
            for one in candidate_ids
            if one not in excluded
            or self.retry_after_pauses.is_blocked(one, now)
        ]
        return self.retry_after_pauses.first_to_end(ids, now)

    def retry_after_for_refused(self, service, default):
        """Return the Retry-After for a caller whose request was rejected.

        Args:
            service: The service of the request.
            default: Seconds to return unless all servers of the region are
                paused.
        """
        pause = self.earliest_pause_end(service)
        if pause is NOTHING:
            return default
        return self.retry_after_pauses.retry_delay(pause, self.clock.seconds())

    async def query_hosts(self, number, ask):
        """Return the first usable decision of a queried host.

        If no host answers in time with a usable decision, this host decides
        by itself.
        """
        for position, member in enumerate(self.placers()[:MAX_QUERIED_HOSTS]):
            if member is self.members.own:
                return self.decide_locally(ask, cold_allowed=True)
            is_fallback = position > 0
            if is_fallback:
                self.last_fallback_at = self.clock.seconds()
            decision = await self.send_query(
                member, ask, is_fallback=is_fallback
            )
            if self.is_usable(decision, ask):
                self.track_placement(number, ask, decision, member.name)
                return decision
            self.reject_grant(ask, decision, member)
        ask = self.exclude_paused(ask)
        return self.decide_locally(ask, cold_allowed=False)

    def placers(self):
        """Return the ranking of placing hosts, the best first."""
        now = self.clock.seconds()
        if (
            self.ranked_at is NOTHING
            or now - self.ranked_at >= RANKING_CACHE_SECONDS
        ):
            self.ranked = self.members.placers(now)
            self.ranked_at = now
        return self.ranked

    def decide_locally(self, ask, *, cold_allowed):
        """Decide from the state of this host and track the placement."""
        decision = self.decide(ask, cold_allowed=cold_allowed)
        self.track_placement(ask.number, ask, decision, self.host)
        return decision

    def decide(self, ask, *, cold_allowed):
        """Return this host's decision, subject to the workspace limits."""
        return self.limiter.decide(
            ask,
            lambda: self.placer.place(
                ask, self.clock.seconds(), cold_allowed=cold_allowed
            ),
        )

    def track_placement(self, number, ask, decision, placer):
        """Track a placed request until it ends.

        A request that is sent to another region is tracked if it consumes
        tokens of a limit, because the limit is counted in this region.
        """
        if isinstance(decision, Placed):
            self.placements[number] = OpenPlacement(
                decision,
                ask.demand,
                placer,
                gap_objective=ask.gap_objective,
                placed_at=self.clock.seconds(),
            )
            self.retry_after_pauses.record_sent(
                decision.server_id, number, self.clock.seconds()
            )
        elif isinstance(decision, PlacedRemotely) and ask.cost:
            self.away_placers[number] = placer

    def is_usable(self, decision, ask):
        """Return whether a decision of another host may be used.

        The state of the other host may be older than that of this one. A
        server that is leaving, removed or paused according to this host gets
        no request, whichever host placed it. A server that this host has
        never listed may be new, so a placement there is used.

        Args:
            decision: The decision, or `NOTHING`.
            ask: The `PlacementQuery`.
        """
        if decision is NOTHING:
            return False
        if isinstance(decision, PlacedRemotely):
            return not ask.regions or decision.region in ask.regions
        if not isinstance(decision, Placed):
            return True
        return not self.exclusion_reason(decision, ask)

    def exclusion_reason(self, placed, ask):
        """Return why this host does not use a placement, or ``""``."""
        server_id = placed.server_id
        listed = self.registry.servers.get(server_id)
        if listed is not None and listed.entry.service != ask.service:
            return "service"
        if server_id in ask.excluded:
            return "excluded"
        if ask.regions and self.members.own.region not in ask.regions:
            return "region"
        if ask.version and self.version_of(placed) != ask.version:
            return "version"
        now = self.clock.seconds()
        usability = self.registry.usability(server_id, now)
        if usability in (Usability.LEAVING, Usability.REMOVED):
            return usability.name.lower()
        if self.retry_after_pauses.is_blocked(server_id, now):
            return "paused"
        return ""

    def version_of(self, placed):
        """Return the version of the server of a placement.

        Returns:
            An empty string if it is not known, or if this host lists another
            version than the placing host.
        """
        if placed.server_id not in self.registry.servers:
            return placed.version
        listed = self.registry.version_of(placed.server_id)
        return listed if placed.version in ("", listed) else ""

    def reject_grant(self, ask, decision, member):
        """Log and release a grant that this host does not use."""
        if isinstance(decision, Placed):
            server_id = decision.server_id
            why = self.exclusion_reason(decision, ask)
        elif isinstance(decision, PlacedRemotely):
            server_id, why = "", "region"
        else:
            return
        self.timeline.note(
            EventKind.GRANT_UNUSED,
            server=server_id,
            service=ask.service,
            placed_by=member.name,
            why=why,
        )
        self.release_grant(ask.number, server_id, member)

    def send_query(self, member, ask, *, is_fallback=False):
        """Query another host; return a deferred of the decision.

        The deferred fires with `NOTHING` if no answer arrives in time.
        """
        done = defer.Deferred()
        query = PendingQuery(ask, member, done, self.boot_clock())
        query.timer = self.clock.callLater(
            ANSWER_TIMEOUT_SECONDS, self.expire_query, ask.number
        )
        self.pending_queries[ask.number] = query
        message = query_message(
            ask,
            is_fallback=is_fallback,
            recent_fallback=self.has_recent_fallback,
        )
        self.datagrams.send(message, member.control)
        return done

    @property
    def has_recent_fallback(self):
        """Whether the first host left a query unanswered recently."""
        if self.last_fallback_at is NOTHING:
            return False
        return (
            self.clock.seconds() - self.last_fallback_at
            < RECENT_FALLBACK_SECONDS
        )

    def expire_query(self, number):
        """Stop waiting for the answer to a query."""
        query = self.pending_queries.pop(number, None)
        if query is not None:
            query.timer = NOTHING
            self.expired_queries[number] = query.member
            self.clock.callLater(
                LATE_ANSWER_SECONDS, self.expired_queries.pop, number, None
            )
            query.done.callback(NOTHING)

    def handle_answer(self, message):
        """Handle the answer of a placing host."""
        query = self.pending_queries.get(message.number)
        if query is None or message.placer not in ("", query.member.name):
            self.release_late_grant(message)
            return
        del self.pending_queries[message.number]
        if query.timer is not NOTHING:
            query.timer.cancel()
        decision = decision_from_message(message)
        age = self.boot_clock() - query.asked_at
        at_once = isinstance(decision, Placed) and decision.at_once
        if at_once and age > IMMEDIATE_GRANT_SECONDS:
            decision = NOTHING
        query.done.callback(decision)

    def release_late_grant(self, message):
        """Release a grant that arrived too late to be used.

        The host that made it counts the request at a server that never
        receives it. A busy host answers many queries late; if the grants
        were not released, its servers would look loaded by requests that
        run elsewhere.
        """
        member = self.expired_queries.get(message.number)
        if member is None or not isinstance(message, PlacementGrantMessage):
            return
        if message.placer not in ("", member.name):
            return
        del self.expired_queries[message.number]
        if message.server_id or message.region:
            self.release_grant(message.number, message.server_id, member)

    def release_grant(self, number, server_id, member):
        """Notify the host that placed a request that it is not sent."""
        end = AttemptEndedMessage(
            self.host, number, server_id, int(AttemptResult.UNUSED)
        )
        self.datagrams.send(end, member.control)

    def enqueue_query(self, message, member):
        """Queue the query of another host.

        The newest query is answered first, and one older than the timeout
        is dropped, because its host has decided by itself. If queries were
        answered in order of arrival, a placing host that cannot keep up
        would answer all of them too late.
        """
        if not self.queries:
            self.clock.callLater(0, self.guarded, self.answer_newest)
        self.queries.append((self.clock.seconds(), message, member))

    def answer_newest(self):
        """Answer the newest queries and drop those past their timeout."""
        self.drop_stale_queries(self.clock.seconds() - ANSWER_TIMEOUT_SECONDS)
        count = min(MAX_QUERIES_PER_TURN, len(self.queries))
        newest = [self.queries.pop() for _ in range(count)]
        if self.queries:
            self.clock.callLater(0, self.guarded, self.answer_newest)
        for _, message, member in newest:
            self.answer_query(message, member)

    def drop_stale_queries(self, oldest):
        """Drop the queries that arrived before the time *oldest*."""
        dropped = 0
        while self.queries and self.queries[0][0] < oldest:
            self.queries.popleft()
            dropped += 1
        if dropped:
            self.queries_dropped += dropped
            self.timeline.note(EventKind.UNANSWERED, questions=dropped)

    def answer_query(self, message, member):
        """Place a request of another host and send the decision."""
        ask = query_from_message(message)
        is_first = self.placers()[0] is self.members.own
        self.limiter.placement_share.note_asked(
            message.host,
            is_fallback=message.is_fallback,
            recent_fallback=message.recent_fallback,
        )
        decision = self.decide(ask, cold_allowed=is_first)
        self.datagrams.send(
            answer_message(ask.number, decision, self.host), member.control
        )

    def record_load(self, server_id, number, load):
        """Record the load in the head of a response.

        It is sent to the placing host with the next message on the request.
        """
        now = self.clock.seconds()
        placement = self.placements.get(number)
        if placement is None or placement.placed.server_id != server_id:
            self.placer.record_load(server_id, load, now, now)
            return
        seconds = now - placement.placed_at
        if placement.placer == self.host:
            self.placer.record_placement_load(
                self.host, number, load, seconds, now
            )
            return
        self.placer.record_load(server_id, load, now, now)
        placement.load = load_row(load, seconds)

    def record_response_start(self, number, seconds):
        """Record and report that a request has received its first event."""
        placement = self.placements.get(number)
        if placement is None:
            return
        placement.started = True
        self.retry_after_pauses.record_end(
            placement.placed.server_id,
            number,
            self.clock.seconds(),
            is_answered=True,
        )
        self.placer.record_response_start(
            self.host, number, seconds, self.clock.seconds()
        )
        message = AttemptStartedMessage(
            self.host, number, seconds, placement.load
        )
        placement.load = None
        self.send_to_placer(placement.placer, message)

    def record_attempt_end(self, number, result, gaps=NOTHING):
        """Record and report the end of an attempt or an unused placement.

        Args:
            number: Number of the request.
            result: The `AttemptResult`.
            gaps: `StreamGaps` of its stream, or `NOTHING`.
        """
        if result is AttemptResult.UNUSED:
            self.note_away_end(number, ran=False)
        placement = self.placements.pop(number, None)
        if placement is None:
            return
        server_id = placement.placed.server_id
        self.retry_after_pauses.record_end(
            server_id,
            number,
            self.clock.seconds(),
            is_answered=result in ANSWERS,
        )
        self.handle_end(self.host, number, server_id, result, gaps)
        message = end_message(
            self.host, number, server_id, result, gaps, placement.load
        )
        self.send_to_placer(placement.placer, message)

    def note_away_end(self, number, *, ran):
        """Release the limit tokens of an attempt in another region.

        Args:
            number: Number of the request.
            ran: Whether the attempt ran there; its tokens are then used.
        """
        placer = self.away_placers.pop(number, "")
        if not placer or ran:
            return
        self.limiter.record_attempt_end(
            self.host, number, AttemptResult.UNUSED
        )
        message = AttemptEndedMessage(
            self.host, number, "", int(AttemptResult.UNUSED)
        )
        self.send_to_placer(placer, message)

    def handle_end(self, host, number, server_id, result, gaps=NOTHING):
        """Update limits and server load for the end of any host's attempt."""
        self.limiter.record_attempt_end(host, number, result)
        if not server_id:
            return
        suspected = self.placer.record_attempt_end(
            host,
            number,
            server_id,
            result,
            self.clock.seconds(),
            gaps=gaps,
        )
        if suspected:
            self.timeline.note(
                EventKind.SERVER_PAUSED,
                server=server_id,
                reason=AttemptResult(result).name.lower(),
                told_by=host,
            )

    def send_to_placer(self, name, message):
        """Send *message* to the host that placed a request, if another."""
        if name == self.host:
            return
        member = self.members.others.get(name)
        if member is not None:
            self.datagrams.send(message, member.control)

    def placement_details(self, number):
        """Return the log fields on who placed a request.

        They say so if this host has no entry of the server, since its state
        is then older or newer than that of the placing host.
        """
        placement = self.placements.get(number)
        if placement is None:
            return {"placed_by": ""}
        details = {
            "placed_by": placement.placer,
            "server_version": self.version_of(placement.placed),
        }
        if placement.placed.server_id not in self.registry.servers:
            details["listed"] = False
        return details

    def placement_rows(self):
        """Return a `PlacementRow` for each placed request in progress."""
        return [
            PlacementRow(
                number,
                placement.placed.server_id,
                0 if placement.started else placement.demand.tokens_in,
                placement.demand.tokens_in + placement.demand.tokens_out,
                placement.demand.tokens_out,
                placement.placed.urgency,
                placement.started,
                placement.gap_objective,
            )
            for number, placement in self.placements.items()
        ]
