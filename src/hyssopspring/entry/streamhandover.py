"""Hand-over of the versions that began streams to the hosts that keep them."""

from collections import defaultdict

from ..core.sentinels import NOTHING
from ..traffic.members import STARTUP_DISCOVERY_SECONDS
from ..traffic.streamkeepers import KeeperRing
from ..traffic.streamrecords import RETENTION_SECONDS
from .streammessages import StreamRecordsMessage, StreamRow

__all__ = ["MAX_ROWS_PER_DATAGRAM", "RESEND_AGE_SECONDS", "StreamHandover"]

RING_REFRESH_SECONDS = 0.5
"""Seconds for which the ring of keepers is used, as the set of live hosts
changes with heartbeats."""

RESEND_AGE_SECONDS = 30.0
"""Age of the streams that are sent again when keepers change. Most streams
have ended by then."""

INTRODUCTION_SECONDS = 10.0
"""Seconds after the first sign of a start of another host in which it is sent
a heartbeat before records: it accepts those of known hosts only."""

MAX_ROWS_PER_DATAGRAM = 500
"""Rows in one datagram, which is then at most 11 KB long, and rows that are
checked at each heartbeat."""


class StreamHandover:
    """Send records to their keepers, and again when these change or restart.

    A host that restarts has the same name and place on the ring, but no
    records. So keepers are compared by the identifiers of their incarnations.

    A host sends what it began itself, and what it received from an incarnation
    that is gone.

    Args:
        members: The `Members`.
        records: The `StreamRecords`.
        datagrams: The `DatagramEndpoint`.
        clock: The runtime's clock.
        announce: Called with a `Member`; makes this host known to it.

    Attributes:
        incarnations: Identifiers of the incarnations on the ring.
        checked: Those for which the last check of all records began.
        pending: Streams that are still to be checked, the newest last.
        appeared_at: Time of the first sign of each recent incarnation.
    """

    def __init__(self, members, records, datagrams, clock, announce):
        self.members = members
        self.records = records
        self.datagrams = datagrams
        self.clock = clock
        self.announce = announce
        self.cached_ring = NOTHING
        self.ring_at = NOTHING
        self.incarnations = frozenset()
        self.checked = frozenset()
        self.pending = []
        self.appeared_at = {}

    def ring(self, now, *, max_age=RING_REFRESH_SECONDS):
        """Return the `KeeperRing` of the hosts that are up.

        A host that was never seen is included: right after its start a host
        has not heard from the others, which may know a stream.

        Args:
            now: The time.
            max_age: Seconds for which a ring that has hosts is reused.
        """
        is_fresh = self.ring_at is not NOTHING and now - self.ring_at < max_age
        if is_fresh and self.cached_ring.hosts:
            return self.cached_ring
        self.ring_at = now
        present = [
            member
            for member in self.members.others.values()
            if not member.leaving
            and (
                member.last_seen_at is NOTHING
                or self.members.is_up(member, now)
            )
        ]
        self.incarnations = frozenset(member.id for member in present)
        hosts = defaultdict(set)
        for member in present:
            hosts[member.region].add(member.name)
        if self.cached_ring is NOTHING or self.cached_ring.hosts != hosts:
            own = self.members.own
            self.cached_ring = KeeperRing(own.name, own.region, hosts)
        return self.cached_ring

    def send_records(self, rows, now):
        """Send records to those of their keepers that do not have them."""
        ring = self.ring(now)
        by_keeper = defaultdict(list)
        for stream, record in rows:
            age = max(0, int(now - record.began_at))
            row = StreamRow(stream, record.origin, age)
            keepers = self.keepers(ring, stream)
            for member in keepers:
                if member.id not in record.keepers:
                    by_keeper[member.name].append(row)
            record.keepers = tuple(member.id for member in keepers)
        for name, sent in by_keeper.items():
            member = self.members.others[name]
            self.introduce(member, now)
            for first in range(0, len(sent), MAX_ROWS_PER_DATAGRAM):
                batch = sent[first : first + MAX_ROWS_PER_DATAGRAM]
                message = StreamRecordsMessage(self.members.own.id, batch)
                self.datagrams.send(message, member.control)

    def keepers(self, ring, stream):
        """Return each `Member` that should keep a stream."""
        others = self.members.others
        return [others[one] for one in ring.keepers(stream) if one in others]

    def introduce(self, member, now):
        """Make this host known to one that has just started."""
        at = self.appeared_at.get(member.id, NOTHING)
        if at is not NOTHING and now - at < INTRODUCTION_SECONDS:
            self.announce(member)

    def tick(self):
        """Send recent records again if keepers have changed or restarted."""
        now = self.clock.seconds()
        self.ring(now)
        self.note_appeared(now)
        if not self.pending and self.incarnations != self.checked:
            self.checked = self.incarnations
            self.pending = self.records.since(now - RESEND_AGE_SECONDS)
        batch = self.pending[-MAX_ROWS_PER_DATAGRAM:]
        del self.pending[-MAX_ROWS_PER_DATAGRAM:]
        due = [row for row in batch if self.must_send(row[1], now)]
        self.send_records(due, now)

    def note_appeared(self, now):
        """Note the incarnations that were not there at the last check.

        To a host that has just started, all others seem new.
        """
        if self.members.own.up_seconds < STARTUP_DISCOVERY_SECONDS:
            return
        self.appeared_at = {
            one: self.appeared_at.get(one, now)
            for one in self.incarnations
            if one in self.appeared_at or one not in self.checked
        }

    def must_send(self, record, now):
        """Return whether this host sends a record when keepers change.

        The host that a record came from does so as long as it runs.
        """
        if record.own:
            return True
        source = self.members.by_id.get(record.source_id)
        return source is None or not self.members.is_up(source, now)

    def hand_over(self):
        """Send all records to the keepers that follow this host."""
        now = self.clock.seconds()
        self.send_records(self.records.since(now - RETENTION_SECONDS), now)
