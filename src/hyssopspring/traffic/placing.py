"""Place requests: at a server, in another region, or refuse them."""

from dataclasses import dataclass, replace

from ..core.sentinels import NOTHING
from .coldrates import ColdRates
from .decisions import Placed, Refused, urgency_of
from .decoding import DecodingFigures
from .margins import Margin
from .mechanisms import Mechanism
from .models import make_work
from .offers import NO_LIMIT, NO_OFFER, Offer
from .otherregions import AWAY_SECONDS, OtherRegions
from .reading import ReadingFigures
from .regions import (
    RegionLoad,
    Room,
)
from .serverhealth import NOT_SENT, AttemptResult, ServerHealth
from .serverlimits import ServerLimits
from .servers import Usability
from .work import Inquiry, Ticket, crowding

__all__ = ["Placer"]

RETURN_SHARE = 0.6
"""Part of the time to the objective within which a refused caller should
be served when it comes back."""

AWAY_SHARE = 0.85
"""Part of the time to the objective within which another region must
answer to be chosen; its load is known with a lag."""

LATE_URGENCY = 8
"""Urgency of requests that will miss their objective anyway: they run in
the gaps and delay nobody who can still be on time."""

MOST_LATE = 2
"""Late requests that may wait at one server at a time."""

SPREAD = 0.5
"""Part of a Retry-After by which callers are spread, so that those who are
refused together do not return together."""

NO_SERVER_WAIT = 1.0
"""Seconds that a request is taken to wait where no server is open; one
that is paused or cold is tried again within that time."""

LEAST_RETRY = 0.25
MOST_RETRY = 3.0
"""Bounds of a Retry-After in seconds. Sooner, the load that led to the
refusal has not changed; later, little is left of the caller's time."""

ERROR_COST = 0.6
"""Seconds by which a server that always fails counts as worse: about an
objective, so that it still gets what no other could begin in time."""

MOST_TOLD = 24
"""Servers of a service whose room is told to other regions, the best ones;
a peak of one region is spread over no more between two reports."""

CAUTIOUS_FOR = 5.0
"""Seconds after the start of a host in which it takes servers gently of
which it has heard no answer. All hosts may have started together, so that
nobody knows which servers are in need."""

MOST_UNHEARD = 4
"""Requests that such a server gets before its first answer."""

LONGEST_TICKET = 40.0
"""Seconds after which a placed request whose end was not heard of is
dropped; routes time out well before."""


@dataclass(frozen=True, slots=True)
class View:
    """All that is known here of one server.

    Attributes:
        server: The `Server`.
        work: The model of its work.
        evidence: The `ServerHealth` on it.
    """

    server: object
    work: object
    evidence: object


@dataclass(frozen=True, slots=True)
class Views:
    """The servers of one service in this region.

    Attributes:
        servers: Each `Server`, as the registry gives them.
        service: The `Service`.
        views: `View` of each.
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
        off: Each `Mechanism` that is switched off.
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
        off=frozenset(),
    ):
        self.off = off
        self.cautious_until = -NO_LIMIT
        if started_at is not NOTHING:
            self.cautious_until = started_at + CAUTIOUS_FOR
        self.limits = limits or ServerLimits(lambda: 1.0, rng)
        self.region = region
        self.registry = registry
        self.service_of = service_of
        self.cold_bound = cold_bound
        self.rng = rng
        self.work = {}
        self.figures = {}
        self.decoding = {}
        self.margins = {}
        self.evidence = {}
        self.views = {}
        self.tickets = {}
        self.by_host = {}
        self.cold_rates = ColdRates()
        self.others = OtherRegions(
            region, registry, service_of, self.figures_of, live_regions, off
        )

    def place(self, ask, now, *, cold_allowed=True):
        """Decide on one request.

        Args:
            ask: The `Ask`.
            now: The time.
            cold_allowed: Whether this host may count for cold servers.

        Returns:
            `Placed`, `Away` or `Refused`.
        """
        urgency = urgency_of(ask)
        servers = self.usable(ask, now, cold_allowed)
        if ask.apart:
            servers = self.apart(servers, ask.apart)
        if not cold_allowed:
            servers = self.turned(servers)
        here = self.best_of(servers, ask, urgency, now)
        in_time = here.predicted + self.margin(ask) <= ask.time_left
        if in_time and here.cost <= AWAY_SECONDS:
            # No other region can be better: the way alone costs more.
            return self.admit(ask, here, urgency, now)
        away = self.others.best(ask, now, here.cost if in_time else NO_LIMIT)
        if in_time and here.cost <= away.cost:
            return self.admit(ask, here, urgency, now)
        if self.worth_sending(ask, away, here):
            return self.others.send(ask, away, now)
        if in_time:
            return self.admit(ask, here, urgency, now)
        if ask.begun:
            return self.go_on(ask, here, away, now)
        return self.place_late(servers, ask, now)

    def apart(self, views, fingerprint):
        """Return the servers at which no other suspected request is.

        Two servers have ended as this one was about to begin. Beside
        another suspected one, the next end would not show which of them
        was the cause; and while it is at a server itself, a second server
        would end for nothing.
        """
        at = {
            ticket.server_id: ticket.apart
            for ticket in self.tickets.values()
            if ticket.apart
        }
        if fingerprint in at.values():
            return []
        return [view for view in views if view.server.entry.id not in at]

    def margin(self, ask):
        """Return the seconds by which a prediction must be in time."""
        if Mechanism.MARGIN in self.off:
            return 0.0
        return self.margin_of(ask.service).seconds

    def turned(self, views):
        """Return servers in an order that begins anywhere.

        Hosts that only stand in know little of the load. To each the same
        server looks best, the first of equal ones; when a placing host
        could not keep up, all others sent it their requests.
        """
        first = self.rng.randrange(len(views)) if views else 0
        return views[first:] + views[:first]

    def go_on(self, ask, here, away, now):
        """Place a stream that has begun where it goes on first.

        Its caller holds a part of the answer. A refusal would cut it, and
        all that was made of it would be lost; the caller still takes an
        event that comes late.
        """
        if min(here.predicted, away.predicted) > ask.patience:
            return self.refuse(ask, NO_SERVER_WAIT, 0)
        if away.predicted < here.predicted:
            return self.others.send(ask, away, now)
        urgency = urgency_of(ask)
        return self.admit(ask, here, urgency, now)

    def best_of(self, views, ask, urgency, now):
        """Return the `Offer` of the best server.

        The one that has cached most of the prompt is looked at first; it
        is most often the best, and spares most of the work on the others.

        Args:
            views: `View` of each server that may get the request.
            ask: The `Ask`.
            urgency: Its rank among waiting requests.
            now: The time.
        """
        best = NO_OFFER
        demand = ask.demand
        known = [view.work.known_tokens(demand) for view in views]
        most = max(known, default=0)
        holder = views[known.index(most)] if most else NOTHING
        copying = most and Mechanism.COPIES not in self.off
        inquiry = Inquiry(demand, urgency, now, most if copying else 0)
        weight = 0.0 if Mechanism.ERRORS in self.off else ERROR_COST
        pairs = list(zip(views, known, strict=True))
        if holder is not NOTHING:
            pairs.insert(0, (holder, most))
        for view, tokens in pairs:
            errors = view.evidence.error_rate * weight
            limit = best.cost - errors
            found = view.work.assess(inquiry, tokens, limit)
            if found is NOTHING or found.cost >= limit:
                continue
            best = Offer(
                view.server,
                found.predicted,
                found.cost + errors,
                found.copied,
                holder.server.entry.address if found.copied else "",
            )
        return best

    def usable(self, ask, now, cold_allowed):
        """Return the `View` of each server that may get the request now."""
        if ask.regions and self.region not in ask.regions:
            return []
        return [
            view
            for view in self.views_of(ask.service, now)
            if now >= view.evidence.paused_until
            and view.server.entry.id not in ask.excluded
            and not (
                now < view.server.cold_until
                and self.too_cold(view.server, now, cold_allowed)
            )
            and not (
                self.limits.by_server
                and not self.limits.can_send(view.server.entry.id, now)
            )
            and not (now < self.cautious_until and is_unheard(view))
        ]

    def views_of(self, name, now):
        """Return the `View` of each server of a service in this region.

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
                View(
                    server,
                    self.work_of(server),
                    self.evidence_of(server.entry.id),
                )
                for server in servers
            ]
            kept = self.views[name] = Views(servers, service, views)
        return kept.views

    def too_cold(self, server, now, cold_allowed):
        """Whether the server is cold and has got its share already."""
        if server.usability(now) is not Usability.COLD:
            return False
        service = self.service_of(server.entry.service)
        if not service.cold_rate:
            return False
        if not cold_allowed:
            return True
        bound = self.cold_bound(service)
        return not self.cold_rates.free(server.entry.id, bound, now)

    def worth_sending(self, ask, away, here):
        """Whether another region serves the request better.

        It must meet the objective there, or have no server here at all.
        """
        if away is NO_OFFER or away.predicted > ask.patience:
            return False
        if here is NO_OFFER:
            return True
        if Mechanism.AWAY in self.off:
            return False
        return away.predicted <= ask.time_left * AWAY_SHARE

    def place_late(self, servers, ask, now):
        """Admit a request that will be late behind all others, or refuse.

        Refused requests go at once: their callers may come back when
        there is room, and the engine's time goes to those on time. Late
        ones stay in their region: sent to others, they fill the servers
        that could still serve bound requests on time.
        """
        here = self.best_of(servers, ask, LATE_URGENCY, now)
        if here is NO_OFFER:
            return self.refuse_closed(ask, now)
        of_use = here.predicted <= ask.patience
        if of_use and not self.has_late(here.place):
            urgency = LATE_URGENCY
            return self.admit(ask, here, urgency, now)
        return self.refuse(ask, here.predicted, len(servers))

    def has_late(self, server):
        """Whether enough late requests wait at a server already."""
        if Mechanism.LATE in self.off:
            return True
        late = sum(
            ticket.urgency >= LATE_URGENCY and not ticket.started
            for ticket in self.work_of(server).tickets.values()
        )
        return late >= MOST_LATE

    def refuse_closed(self, ask, now):
        """Return a `Refused` that says when a server takes requests again."""
        held = self.held_by_limits(ask, now)
        if not held:
            refused = self.refuse(ask, NO_SERVER_WAIT, 0)
            evidence = self.registry.describe_leaving(
                ask.service, self.region, now
            )
            return replace(refused, evidence=evidence)
        most = MOST_RETRY * (1.0 + SPREAD * self.rng.random())
        promise = self.limits.advise_retry(ask.service, held, now, most)
        evidence = self.limits.describe(promise.server_id, now)
        seconds = promise.seconds
        return Refused(max(LEAST_RETRY, seconds), seconds, 0, evidence)

    def held_by_limits(self, ask, now):
        """Return the servers that could be used but for their limits."""
        if not self.limits.by_server:
            return []
        if ask.regions and self.region not in ask.regions:
            return []
        return [
            view.server.entry.id
            for view in self.views_of(ask.service, now)
            if view.evidence.is_available(now)
            and view.server.entry.id not in ask.excluded
            and not self.limits.can_send(view.server.entry.id, now)
        ]

    def refuse(self, ask, predicted, servers):
        """Return a `Refused` that says when there should be room."""
        over = max(LEAST_RETRY, predicted - ask.time_left * RETURN_SHARE)
        seconds = min(MOST_RETRY, over)
        spread = 1.0 + SPREAD * self.rng.random()
        return Refused(seconds * spread, predicted, servers)

    def admit(self, ask, offer, urgency, now):
        """Count the request at the server of *offer*; return `Placed`."""
        server = offer.place
        entry = server.entry
        work = self.work_of(server)
        ticket = Ticket(
            host=ask.host,
            number=ask.number,
            server_id=entry.id,
            placed_at=now,
            fresh_tokens=work.fresh_tokens(ask.demand, offer.copied),
            tokens=ask.demand.tokens_in + ask.demand.tokens_out,
            tokens_out=ask.demand.tokens_out,
            urgency=urgency,
            predicted=offer.predicted,
            apart=ask.apart,
        )
        self.others.note_read(entry.service, ask.demand, now)
        self.drop(ask.host, ask.number, now)
        self.keep(ticket)
        work.begin(ticket, ask.demand)
        self.cold_rates.count(entry.id, now)
        self.limits.consume(entry.id, now)
        self.evidence_of(entry.id).begin_trial(now)
        cold = server.usability(now) is Usability.COLD
        source = offer.copy_from if offer.copied else ""
        evidence = self.limits.describe(entry.id, now)
        return Placed(
            entry.id,
            entry.address,
            urgency,
            offer.predicted,
            cold or bool(evidence),
            source,
            evidence,
        )

    def note_start(self, host, number, seconds, now):
        """Take account of a first event or the head of an answer."""
        ticket = self.tickets.get((host, number))
        if ticket is None or ticket.started:
            return
        work = self.work.get(ticket.server_id)
        server = self.registry.servers.get(ticket.server_id)
        if server is not None and ticket.urgency < LATE_URGENCY:
            margin = self.margin_of(server.entry.service)
            margin.learn(ticket.predicted, seconds)
        if work is not None:
            work.start(ticket, seconds, now)
            self.evidence_of(ticket.server_id).record_answer(now)

    def note_end(self, host, number, server_id, finding, now):
        """Take account of the end of an attempt.

        Returns:
            Whether its server is now newly suspected.
        """
        placed_here = self.drop(
            host, number, now, whole=finding is AttemptResult.ANSWERED
        )
        if placed_here and finding in NOT_SENT:
            self.limits.refund(server_id)
        if server_id not in self.registry.servers:
            return False
        return self.evidence_of(server_id).record_result(finding, now)

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
        ticket = self.tickets.pop((host, number), None)
        if ticket is None:
            return False
        self.of_host(host).pop(number, None)
        work = self.work.get(ticket.server_id)
        if work is not None:
            work.end(ticket, now, whole=whole)
        return True

    def keep(self, ticket):
        """Remember a placed request."""
        self.tickets[ticket.host, ticket.number] = ticket
        self.by_host.setdefault(ticket.host, {})[ticket.number] = ticket

    def of_host(self, host):
        """Return the tickets of *host* by number."""
        return self.by_host.get(host, {})

    def keep_only(self, host, numbers, now, *, older_than):
        """Forget the requests of *host* that it says have ended.

        The word of an end may be lost on its way; the server would seem
        loaded until the host is heard to carry it no longer.
        """
        stale = [
            number
            for number, ticket in self.of_host(host).items()
            if number not in numbers and now - ticket.placed_at > older_than
        ]
        for number in stale:
            self.drop(host, number, now)

    def adopt(self, ticket, now):
        """Take over a request that another host has placed."""
        key = ticket.host, ticket.number
        known = self.tickets.get(key)
        if known is not None:
            work = self.work.get(known.server_id)
            if ticket.started and not known.started and work is not None:
                work.mark_started(known, now)
            return
        server = self.registry.servers.get(ticket.server_id)
        if server is None:
            return
        ticket.started_at = now
        self.keep(ticket)
        self.work_of(server).begin(ticket, NOTHING)

    def forget_host(self, host, now):
        """Forget all requests of a host that is gone."""
        for number in list(self.of_host(host)):
            self.drop(host, number, now)

    def forget_server(self, server_id, now):
        """Forget all about a server that is gone or has started anew.

        A server that starts again under its identifier has lost its work
        and what it had cached, and is cold whatever it got before.
        """
        for key, ticket in list(self.tickets.items()):
            if ticket.server_id == server_id:
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
        for key, ticket in list(self.tickets.items()):
            if now - ticket.placed_at > LONGEST_TICKET:
                self.drop(*key, now)

    def summarize(self, now):
        """Return the `RegionLoad` of this region by service."""
        slots = {}
        rooms = {}
        for server in self.registry.servers.values():
            if server.region != self.region or not self.tells(server, now):
                continue
            spare = self.limits.available(server.entry.id, now)
            if spare == 0:
                continue
            name = server.entry.service
            work = self.work_of(server)
            slots[name] = work.slots
            room = Room(
                work.waits(now), work.used(), work.token_time(now), spare
            )
            rooms.setdefault(name, []).append(room)
        return {
            name: RegionLoad(
                slots[name],
                best_rooms(found),
                self.others.told_parts(name, now),
            )
            for name, found in rooms.items()
        }

    def tells(self, server, now):
        """Whether other regions may count on a server."""
        server_id = server.entry.id
        if self.registry.usability(server_id, now) is not Usability.READY:
            return False
        return self.evidence_of(server_id).is_available(now)

    def take_load(self, region, loads, now):
        """Take over another region's report."""
        self.others.take_load(region, loads, now)

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
            figures = self.figures_of(service.name)
            decoding = self.decoding_of(service.name)
            work = make_work(
                service,
                server.entry.slots,
                figures,
                decoding,
                off=self.off,
            )
            self.work[server.entry.id] = work
            if known is not None:
                for ticket in known.tickets.values():
                    work.begin(ticket, NOTHING)
        return work

    def margin_of(self, service):
        """Return the `Margin` of a service."""
        return self.margins.setdefault(service, Margin())

    def figures_of(self, service):
        """Return the `ReadingFigures` of a service."""
        return self.figures.setdefault(service, ReadingFigures())

    def decoding_of(self, service):
        """Return the `DecodingFigures` of a service."""
        return self.decoding.setdefault(service, DecodingFigures())

    def evidence_of(self, server_id):
        """Return the `ServerHealth` on a server."""
        evidence = self.evidence.get(server_id)
        if evidence is None:
            evidence = self.evidence[server_id] = ServerHealth()
        return evidence


def best_rooms(rooms):
    """Return the rooms that other regions are told of."""
    ranked = sorted(
        rooms, key=lambda room: room.waits[0] + crowding(room.used)
    )
    return tuple(ranked[:MOST_TOLD])


def is_unheard(view):
    """Whether a server has enough to answer before its first answer."""
    if view.evidence.has_answered:
        return False
    waiting = sum(not one.started for one in view.work.tickets.values())
    return waiting >= MOST_UNHEARD
