"""Limits, pauses and leaving notices in the responses of backend servers."""

from ..core.events import EventKind
from ..core.sentinels import INVALID, NOTHING
from ..traffic.decisions import Placed
from ..traffic.serverlimits import UNLIMITED, LimitNotice
from ..traffic.servers import LeavingNotice
from .digests import DigestComparison, millis
from .messages import LeavingRow, LimitRow, ServerNoticesMessage

__all__ = ["ServerNotices", "notice_details"]

IGNORED_LOG_INTERVAL_SECONDS = 10.0
"""Seconds between two log lines about invalid notices of one server."""

BROADCAST_INTERVAL_SECONDS = 0.5
"""Seconds between two broadcasts about one server to all hosts of the
region. A server may give a different limit in each response; the placing hosts
receive every change."""

PLACING_HOST_COUNT = 2
"""Hosts of the region that receive each change at once: the one that places
and the one that would take over."""

MAX_ROWS_PER_DATAGRAM = 100
"""Rows of servers in one datagram, which is then about 10 KB long."""

NO_LIMIT_ROW_VALUE = -1.0
"""Value of the limit in a row that reports the end of a limit."""


class ServerNotices:
    """Apply the notices of servers and share them within the region.

    A server accepts requests from its own region only, so hosts elsewhere do
    not need its notices. Heartbeats carry a digest of the known notices, as
    they do for requests that crash servers; a host that missed a message, or
    has just started, receives all of them.

    Args:
        limits: The `ServerLimits`.
        retry_after_pauses: The `RetryAfterPauses`.
        registry: The `Registry`.
        members: The `Members`.
        datagrams: The `DatagramEndpoint`.
        connections: The `Connections`.
        clock: The clock of the reactor.
        timeline: The `Timeline`.
        broadcast: Called with a message to send to all hosts of the region.
        on_load: Called with a server, the number of the request and the
            `ReportedLoad` in its response.
    """

    def __init__(
        self,
        limits,
        retry_after_pauses,
        registry,
        members,
        datagrams,
        connections,
        clock,
        timeline,
        broadcast,
        on_load=lambda server_id, number, load: None,
    ):
        self.limits = limits
        self.retry_after_pauses = retry_after_pauses
        self.registry = registry
        self.members = members
        self.datagrams = datagrams
        self.connections = connections
        self.clock = clock
        self.timeline = timeline
        self.broadcast = broadcast
        self.on_load = on_load
        self.comparison = DigestComparison(clock)
        self.ignored_at = {}
        self.broadcast_at = {}

    @property
    def digest(self):
        """Digest of the notices that this host has received."""
        return self.limits.digest ^ self.registry.leaving_digest

    def head_handler(self, server_id, request, number=NOTHING):
        """Return a callable that takes the `ResponseHead` of a response.

        The head is ignored if the server has restarted since the request
        was sent.

        Args:
            server_id: Identifier of the server that gets the request.
            request: Identifier of the request.
            number: Number of its placement, or `NOTHING`.
        """
        start = self.registry.current_instance(server_id)

        def pass_head(head):
            if self.registry.current_instance(server_id) == start:
                self.handle_head(server_id, start, request, head)
                self.handle_load(server_id, request, number, head.load)

        return pass_head

    def handle_head(self, server_id, start, request, head):
        """Apply the notices in the head of a response."""
        if head.leaving and server_id in self.registry.servers:
            self.handle_leaving(server_id, start, request, head)
        if head.rejected:
            self.handle_pause(server_id, request, head.retry_after)
        self.handle_limit(server_id, start, request, head)

    def handle_load(self, server_id, request, number, load):
        """Pass on the load that a server reports."""
        if load is INVALID:
            self.log_ignored(server_id, request, "load")
        elif load is not NOTHING:
            self.on_load(server_id, number, load)

    def handle_pause(self, server_id, request, seconds):
        """Pause requests to a server for the Retry-After that it sent."""
        if seconds is INVALID:
            self.log_ignored(server_id, request, "rest")
            return
        now = self.clock.seconds()
        if seconds and self.retry_after_pauses.record(
            server_id, request, seconds, now
        ):
            self.timeline.note(
                EventKind.SERVER_RESTING,
                server=server_id,
                seconds=seconds,
                answer_to=request,
            )

    def handle_leaving(self, server_id, start, request, head):
        """Stop using a server that announces that it is leaving."""
        if head.leaving is INVALID:
            self.log_ignored(server_id, request, "leaving")
            return
        now = self.clock.seconds()
        notice = LeavingNotice(
            server_id=server_id,
            instance_id=start,
            address=self.registry.servers[server_id].entry.address,
            at=now,
            host=self.members.own.name,
            request=request,
        )
        if self.registry.record_leaving(notice, now):
            self.note_leaving(notice, now)
            self.broadcast(self.message([], [notice], now))

    def note_leaving(self, notice, now):
        """Log that a server is leaving and drop its connections."""
        self.connections.close_idle(notice.server_id)
        self.timeline.note(
            EventKind.SERVER_LEAVING,
            server=notice.server_id,
            answer_to=notice.request,
            heard_by=notice.host,
            age=round(now - notice.at, 3),
        )

    def handle_limit(self, server_id, start, request, head):
        """Apply the limit in a response, or the end of a known limit."""
        if head.limit is INVALID:
            self.log_ignored(server_id, request, "limit")
            return
        unknown = server_id not in self.limits.by_server
        # A server that is full may reject a request without the limit header,
        # which does not mean that its limit has ended.
        if head.limit is NOTHING and (head.not_run or unknown):
            return
        now = self.clock.seconds()
        notice = LimitNotice(
            server_id=server_id,
            instance_id=start,
            limit=UNLIMITED if head.limit is NOTHING else head.limit,
            at=now,
            host=self.members.own.name,
            request=request,
        )
        if self.limits.apply_notice(notice, now):
            self.note_limit(notice, now)
            self.announce(notice, now)

    def note_limit(self, notice, now):
        """Log a limit that is new to this host."""
        ended = notice.limit == UNLIMITED
        self.timeline.note(
            EventKind.SERVER_LIMITED,
            server=notice.server_id,
            limit="none" if ended else notice.limit,
            answer_to=notice.request,
            heard_by=notice.host,
            age=round(now - notice.at, 3),
        )

    def log_ignored(self, server_id, request, what):
        """Log an invalid notice, at a bounded rate for each server."""
        now = self.clock.seconds()
        if (
            now - self.ignored_at.get(server_id, -IGNORED_LOG_INTERVAL_SECONDS)
            < IGNORED_LOG_INTERVAL_SECONDS
        ):
            return
        self.ignored_at[server_id] = now
        self.timeline.note(
            EventKind.NOTICE_IGNORED,
            server=server_id,
            what=what,
            answer_to=request,
        )

    def announce(self, notice, now):
        """Send a limit that this host received to hosts of the region."""
        message = self.message([notice], [], now)
        last_broadcast = self.broadcast_at.get(
            notice.server_id, -BROADCAST_INTERVAL_SECONDS
        )
        if now - last_broadcast >= BROADCAST_INTERVAL_SECONDS:
            self.broadcast_at[notice.server_id] = now
            self.broadcast(message)
            return
        own = self.members.own
        first = self.members.placers(now)[:PLACING_HOST_COUNT]
        self.datagrams.send_all(
            message, [one for one in first if one is not own]
        )

    def message(self, limits, leaving, now):
        """Return the message that carries some notices.

        Args:
            limits: List of `LimitNotice`.
            leaving: List of `LeavingNotice`.
            now: Current time of the clock.
        """
        return ServerNoticesMessage(
            self.members.own.name,
            [limit_row(one, now) for one in limits[:MAX_ROWS_PER_DATAGRAM]],
            [leaving_row(one, now) for one in leaving[:MAX_ROWS_PER_DATAGRAM]],
        )

    def merge(self, message):
        """Merge the notices that another host sent."""
        now = self.clock.seconds()
        for row in filter(self.is_applicable, message.limits):
            notice = limit_from_row(row, now)
            if self.limits.apply_notice(notice, now):
                self.note_limit(notice, now)
        for row in message.leaving:
            notice = leaving_from_row(row, now)
            if self.registry.record_leaving(notice, now):
                self.note_leaving(notice, now)

    def is_applicable(self, row):
        """Return whether a row concerns a start of a server usable here.

        A notice may arrive before the registry entry of its server, so rows
        of unknown servers apply as well.
        """
        unknown = row.server_id not in self.registry.servers
        return unknown or self.registry.is_current_instance(
            row.server_id, row.start
        )

    def compare(self, member, digest):
        """Send all notices to a host of the region if its digest differs."""
        if member.region != self.members.own.region:
            return
        if not self.comparison.must_send(member.name, self.digest, digest):
            return
        limits = self.limits.notices()
        leaving = list(self.registry.leaving_notices.values())
        if limits or leaving:
            now = self.clock.seconds()
            message = self.message(limits, leaving, now)
            self.datagrams.send(message, member.control)

    def tick(self):
        """Delete the state of servers that are gone."""
        now = self.clock.seconds()
        self.registry.expire_leaving_notices(now)
        self.limits.expire(now)
        known = self.registry.servers
        for table in (self.ignored_at, self.broadcast_at):
            for server_id in [one for one in table if one not in known]:
                del table[server_id]
        self.limits.forget_gone(self.registry, now)


def limit_row(notice, now):
    """Return the `LimitRow` of a `LimitNotice`, with its age."""
    ended = notice.limit == UNLIMITED
    return LimitRow(
        notice.server_id,
        notice.instance_id,
        NO_LIMIT_ROW_VALUE if ended else notice.limit,
        millis(now - notice.at),
        notice.host,
        notice.request,
    )


def leaving_row(notice, now):
    """Return the `LeavingRow` of a `LeavingNotice`, with its age."""
    return LeavingRow(
        notice.server_id,
        notice.instance_id,
        notice.address,
        millis(now - notice.at),
        notice.host,
        notice.request,
    )


def leaving_from_row(row, now):
    """Return the `LeavingNotice` of a row, timed by the local clock."""
    return LeavingNotice(
        server_id=row.server_id,
        instance_id=row.start,
        address=row.address,
        at=now - row.age_ms / 1000,
        host=row.host,
        request=row.request,
    )


def limit_from_row(row, now):
    """Return the `LimitNotice` of a row, timed by the local clock."""
    return LimitNotice(
        server_id=row.server_id,
        instance_id=row.start,
        limit=UNLIMITED if row.limit < 0 else row.limit,
        at=now - row.age_ms / 1000,
        host=row.host,
        request=row.request,
    )


def notice_details(decision):
    """Return the log fields for what servers reported before a decision.

    Args:
        decision: A `Placed` or `Refused`.
    """
    placed = isinstance(decision, Placed)
    details = speed_details(decision) if placed else {}
    if decision.evidence:
        name = "limited_by" if placed else "closed_by"
        details[name] = decision.evidence
    return details


def speed_details(placed):
    """Return the log fields for the speed of a server, if not the usual.

    Args:
        placed: The `Placed` decision.
    """
    details = {}
    if round(placed.speed, 2) != 1.0:
        details["speed"] = round(placed.speed, 2)
    if round(placed.slowdown, 2) != 1.0:
        details["slowdown"] = round(placed.slowdown, 2)
        details["slowdown_age"] = round(placed.slowdown_age, 2)
    return details
