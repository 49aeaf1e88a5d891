"""What backend servers say of themselves in their answers."""

from ..core.events import EventKind
from ..core.sentinels import INVALID, NOTHING
from ..traffic.decisions import Placed
from ..traffic.serverlimits import UNLIMITED, LimitNotice
from ..traffic.servers import LeavingNotice
from .digests import DigestComparison, millis
from .messages import LeavingRow, LimitRow, NoticeRows

__all__ = ["Notices", "notice_details"]

IGNORED_EVERY = 10.0
"""Seconds between two lines on unusable statements of one server."""

TELL_ALL_EVERY = 0.5
"""Seconds between two messages to all hosts of the region on one server. A
server may name another limit in each answer; who places hears of each."""

PLACING_HOSTS = 2
"""Hosts of the region that hear of each change at once: the one that
places, and the one that would take over."""

ROWS_AT_ONCE = 100
"""Servers in one datagram, about 10 KB of them."""

NO_LIMIT_TOLD = -1.0
"""Limit in a row that says that a limit has ended."""


class Notices:
    """Take what servers say, and tell the hosts of the region.

    A server takes requests from its own region only, so nobody else needs
    to know. Heartbeats bear a digest, as with requests under which servers
    end; who missed something, or has just started, is told all.

    Args:
        limits: The `ServerLimits`.
        rests: The `Rests`.
        registry: The `Registry`.
        members: The `Members`.
        datagrams: The `Datagrams`.
        connections: The `Connections`.
        clock: The runtime's clock.
        timeline: The `Timeline`.
        spread: Called with a message for all hosts of the region.
    """

    def __init__(
        self,
        limits,
        rests,
        registry,
        members,
        datagrams,
        connections,
        clock,
        timeline,
        spread,
    ):
        self.limits = limits
        self.rests = rests
        self.registry = registry
        self.members = members
        self.datagrams = datagrams
        self.connections = connections
        self.clock = clock
        self.timeline = timeline
        self.spread = spread
        self.comparison = DigestComparison(clock)
        self.ignored = {}
        self.told_all = {}

    @property
    def digest(self):
        """Digest of what servers are known to say."""
        return self.limits.digest ^ self.registry.left_digest

    def listener(self, server_id, request):
        """Return what takes the `ResponseHead` of an answer to a request.

        An answer of a start of the server that is over by then is dropped.

        Args:
            server_id: The server that the request is sent to.
            request: Identifier of the request.
        """
        start = self.registry.start_of(server_id)

        def hear(head):
            if self.registry.start_of(server_id) == start:
                self.hear(server_id, start, request, head)

        return hear

    def hear(self, server_id, start, request, head):
        """Take what the answer to a request says."""
        if head.leaving and server_id in self.registry.servers:
            self.hear_leaving(server_id, start, request, head)
        if head.rejected:
            self.hear_rest(server_id, request, head.retry_after)
        self.hear_limit(server_id, start, request, head)

    def hear_rest(self, server_id, request, seconds):
        """Leave a server alone for as long as it asks for."""
        if seconds is INVALID:
            self.ignore(server_id, request, "rest")
            return
        now = self.clock.seconds()
        if seconds and self.rests.note(server_id, request, seconds, now):
            self.timeline.note(
                EventKind.SERVER_RESTING,
                server=server_id,
                seconds=seconds,
                answer_to=request,
            )

    def hear_leaving(self, server_id, start, request, head):
        """Use a server no more that says that it leaves."""
        if head.leaving is INVALID:
            self.ignore(server_id, request, "leaving")
            return
        now = self.clock.seconds()
        notice = LeavingNotice(
            server_id=server_id,
            start=start,
            address=self.registry.servers[server_id].entry.address,
            at=now,
            host=self.members.own.name,
            request=request,
        )
        if self.registry.note_leaving(notice, now):
            self.note_leaving(notice, now)
            self.spread(self.message([], [notice], now))

    def note_leaving(self, notice, now):
        """Put a server that leaves on the time line; drop its connections."""
        self.connections.close_idle(notice.server_id)
        self.timeline.note(
            EventKind.SERVER_LEAVING,
            server=notice.server_id,
            answer_to=notice.request,
            heard_by=notice.host,
            age=round(now - notice.at, 3),
        )

    def hear_limit(self, server_id, start, request, head):
        """Take the limit that an answer names, or its end."""
        if head.limit is INVALID:
            self.ignore(server_id, request, "limit")
            return
        unknown = server_id not in self.limits.named
        # A server that is full may refuse without a word on limits.
        if head.limit is NOTHING and (head.not_run or unknown):
            return
        now = self.clock.seconds()
        notice = LimitNotice(
            server_id=server_id,
            start=start,
            limit=UNLIMITED if head.limit is NOTHING else head.limit,
            at=now,
            host=self.members.own.name,
            request=request,
        )
        if self.limits.hear(notice, now):
            self.note_limit(notice, now)
            self.tell(notice, now)

    def note_limit(self, notice, now):
        """Put a limit that is new to this host on the time line."""
        ended = notice.limit == UNLIMITED
        self.timeline.note(
            EventKind.SERVER_LIMITED,
            server=notice.server_id,
            limit="none" if ended else notice.limit,
            answer_to=notice.request,
            heard_by=notice.host,
            age=round(now - notice.at, 3),
        )

    def ignore(self, server_id, request, what):
        """Put an unusable statement on the time line, now and then."""
        now = self.clock.seconds()
        if now - self.ignored.get(server_id, -IGNORED_EVERY) < IGNORED_EVERY:
            return
        self.ignored[server_id] = now
        self.timeline.note(
            EventKind.NOTICE_IGNORED,
            server=server_id,
            what=what,
            answer_to=request,
        )

    def tell(self, notice, now):
        """Tell the hosts of the region of a limit heard here."""
        message = self.message([notice], [], now)
        told = self.told_all.get(notice.server_id, -TELL_ALL_EVERY)
        if now - told >= TELL_ALL_EVERY:
            self.told_all[notice.server_id] = now
            self.spread(message)
            return
        own = self.members.own
        first = self.members.placers(now)[:PLACING_HOSTS]
        self.datagrams.send_all(
            message, [one for one in first if one is not own]
        )

    def message(self, limits, leaving, now):
        """Return the message on some notices.

        Args:
            limits: Each `LimitNotice`.
            leaving: Each `LeavingNotice`.
            now: The time.
        """
        return NoticeRows(
            self.members.own.name,
            [limit_row(one, now) for one in limits[:ROWS_AT_ONCE]],
            [leaving_row(one, now) for one in leaving[:ROWS_AT_ONCE]],
        )

    def take(self, message):
        """Take over what another host tells."""
        now = self.clock.seconds()
        for row in filter(self.concerns, message.limits):
            notice = limit_of(row, now)
            if self.limits.hear(notice, now):
                self.note_limit(notice, now)
        for row in message.leaving:
            notice = leaving_of(row, now)
            if self.registry.note_leaving(notice, now):
                self.note_leaving(notice, now)

    def concerns(self, row):
        """Whether a row is on a start of a server that may be used here.

        Word of a server may come before its entry does.
        """
        unknown = row.server_id not in self.registry.servers
        return unknown or self.registry.is_known(row.server_id, row.start)

    def compare(self, member, digest):
        """Tell a host of the region all if it knows something else."""
        if member.region != self.members.own.region:
            return
        if not self.comparison.must_send(member.name, self.digest, digest):
            return
        limits = self.limits.notices()
        leaving = list(self.registry.left.values())
        if limits or leaving:
            now = self.clock.seconds()
            message = self.message(limits, leaving, now)
            self.datagrams.send(message, member.control)

    def tick(self):
        """Forget what concerns servers that are gone."""
        now = self.clock.seconds()
        self.registry.forget_left(now)
        self.limits.expire(now)
        known = self.registry.servers
        for table in (self.ignored, self.told_all):
            for server_id in [one for one in table if one not in known]:
                del table[server_id]
        self.limits.forget_unknown(known, now)


def limit_row(notice, now):
    """Return the `LimitRow` of a `LimitNotice`, with its age."""
    ended = notice.limit == UNLIMITED
    return LimitRow(
        notice.server_id,
        notice.start,
        NO_LIMIT_TOLD if ended else notice.limit,
        millis(now - notice.at),
        notice.host,
        notice.request,
    )


def leaving_row(notice, now):
    """Return the `LeavingRow` of a `LeavingNotice`, with its age."""
    return LeavingRow(
        notice.server_id,
        notice.start,
        notice.address,
        millis(now - notice.at),
        notice.host,
        notice.request,
    )


def leaving_of(row, now):
    """Return the `LeavingNotice` of a row, in times of this host."""
    return LeavingNotice(
        server_id=row.server_id,
        start=row.start,
        address=row.address,
        at=now - row.age_ms / 1000,
        host=row.host,
        request=row.request,
    )


def limit_of(row, now):
    """Return the `LimitNotice` of a row, in times of this host."""
    return LimitNotice(
        server_id=row.server_id,
        start=row.start,
        limit=UNLIMITED if row.limit < 0 else row.limit,
        at=now - row.age_ms / 1000,
        host=row.host,
        request=row.request,
    )


def notice_details(decision):
    """Return what a line tells of the notices that bore on a decision.

    Args:
        decision: A `Placed` or `Refused`.
    """
    if not decision.evidence:
        return {}
    name = "limited_by" if isinstance(decision, Placed) else "closed_by"
    return {name: decision.evidence}
