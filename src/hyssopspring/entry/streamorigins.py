"""Exchange between hosts of the version that began each stream."""

from collections import defaultdict
from dataclasses import dataclass, field, replace

from twisted.internet import defer

from ..core.sentinels import NOTHING
from ..traffic.members import (
    MAX_CONTACT_AGE_SECONDS,
    STARTUP_DISCOVERY_SECONDS,
)
from ..traffic.streamkeepers import KeeperRing
from ..traffic.streamrecords import (
    CONFLICT,
    RETENTION_SECONDS,
    StreamRecord,
    StreamRecords,
    origin_of,
    stream_of,
)
from .streammessages import (
    StreamAnswer,
    StreamQuery,
    StreamRecordsMessage,
    StreamRow,
)

__all__ = ["FoundOrigin", "StreamOrigins"]

LOOKUP_SECONDS = 0.45
"""Seconds after which a lookup ends without a result. A round trip between
regions takes 160 ms."""

LOOKUP_REPEAT_SECONDS = 0.2
"""Seconds after which hosts that have not answered are asked again."""

RING_REFRESH_SECONDS = 0.5
"""Seconds for which the ring of keepers is used, as the set of live hosts
changes with heartbeats."""

RESEND_INTERVAL_SECONDS = 2.0
"""Minimum interval between two transfers to keepers that have changed."""

RESEND_AGE_SECONDS = 30.0
"""Age of the streams that are sent again when keepers change. Most streams
have ended by then."""

MAX_ROWS_PER_DATAGRAM = 500
"""Rows in one datagram, which is then at most 11 KB long."""


@dataclass(frozen=True, slots=True)
class FoundOrigin:
    """Result of a lookup.

    Attributes:
        origin: Hash of service and version, or `CONFLICT` if it is not known.
        age: Seconds since the first event of the stream.
        source: Host that knew it, or an empty string.
        unanswered: Number of hosts that did not answer in time.
    """

    origin: int = CONFLICT
    age: float = 0.0
    source: str = ""
    unanswered: int = 0


@dataclass(slots=True, eq=False)
class Lookup:
    """A lookup in progress.

    Attributes:
        query: The `StreamQuery`.
        waiting: Names of the hosts that have not answered.
        done: Deferreds that fire with the `FoundOrigin`.
        timers: Delayed calls of the repetition and the timeout.
    """

    query: StreamQuery
    waiting: set
    done: list = field(default_factory=list)
    timers: list = field(default_factory=list)


class StreamOrigins:
    """Keep, send and look up the versions that began streams.

    Args:
        members: The `Members`.
        registry: The `Registry`.
        contact: The `StoreContact`.
        datagrams: The `DatagramEndpoint`.
        clock: The runtime's clock.
        announce: Called with a `Member`; makes this host known to it.
    """

    def __init__(self, members, registry, contact, datagrams, clock, announce):
        self.members = members
        self.registry = registry
        self.contact = contact
        self.datagrams = datagrams
        self.clock = clock
        self.announce = announce
        self.records = StreamRecords()
        self.lookups = {}
        self.cached_ring = NOTHING
        self.ring_at = NOTHING
        self.sent_hosts = NOTHING
        self.sent_at = NOTHING
        self.resumed = 0
        self.refused = defaultdict(int)

    @property
    def host(self):
        """Name of this host."""
        return self.members.own.name

    def record(self, attempt, service, version):
        """Record the version that began a stream, and send it to its keepers.

        Args:
            attempt: Identifier, as bytes, of the attempt of the caller.
            service: The service.
            version: Version of the server.
        """
        now = self.clock.seconds()
        record = StreamRecord(
            origin_of(service, version), now, own=True, source=self.host
        )
        stream = stream_of(attempt)
        self.records.add(stream, record)
        self.send_records([(stream, record)], now)

    def send_records(self, rows, now):
        """Send records to those of their keepers that do not have them."""
        ring = self.ring(now)
        by_keeper = defaultdict(list)
        for stream, record in rows:
            age = max(0, int(now - record.began_at))
            row = StreamRow(stream, record.origin, age)
            keepers = ring.keepers(stream)
            for name in keepers:
                if name not in record.keepers:
                    by_keeper[name].append(row)
            record.keepers = tuple(keepers)
        for name, sent in by_keeper.items():
            for first in range(0, len(sent), MAX_ROWS_PER_DATAGRAM):
                batch = sent[first : first + MAX_ROWS_PER_DATAGRAM]
                self.send(
                    StreamRecordsMessage(self.members.own.id, batch), name
                )

    def send(self, message, name):
        """Send a message to a host that is still known."""
        member = self.members.others.get(name)
        if member is not None:
            self.datagrams.send(message, member.control)

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
        hosts = defaultdict(set)
        for member in self.members.others.values():
            unseen = member.last_seen_at is NOTHING
            if not member.leaving and (
                unseen or self.members.is_up(member, now)
            ):
                hosts[member.region].add(member.name)
        if self.cached_ring is NOTHING or self.cached_ring.hosts != hosts:
            own = self.members.own
            self.cached_ring = KeeperRing(own.name, own.region, hosts)
        return self.cached_ring

    def handle_records(self, message):
        """Keep the records of another host."""
        now = self.clock.seconds()
        member = self.members.by_id.get(message.host_id)
        source = "" if member is None else member.name
        for row in message.rows:
            record = StreamRecord(row.origin, now - row.age, source=source)
            self.records.add(row.stream, record)

    def tick(self):
        """Expire records; send recent ones again if keepers have changed."""
        now = self.clock.seconds()
        self.records.expire(now)
        hosts = self.ring(now).hosts
        if self.sent_at is not NOTHING and (
            hosts == self.sent_hosts
            or now - self.sent_at < RESEND_INTERVAL_SECONDS
        ):
            return
        self.sent_hosts, self.sent_at = hosts, now
        since = now - RESEND_AGE_SECONDS
        self.send_records(self.records.since(since, own_only=True), now)

    def hand_over(self):
        """Send all records to the keepers that follow this host."""
        now = self.clock.seconds()
        since = now - RETENTION_SECONDS
        self.send_records(self.records.since(since, own_only=False), now)

    def find(self, attempt):
        """Look up the version that began a stream.

        Args:
            attempt: Identifier, as bytes, of the attempt that brought its
                first event.

        Returns:
            A deferred of a `FoundOrigin`.
        """
        stream = stream_of(attempt)
        now = self.clock.seconds()
        record = self.records.find(stream, now)
        if record is not NOTHING:
            return defer.succeed(
                FoundOrigin(
                    record.origin, now - record.began_at, record.source
                )
            )
        return self.start_lookup(StreamQuery(self.host, stream))

    def find_single(self, service, seconds):
        """Look up the only version that a service has had for a while.

        Args:
            service: The service.
            seconds: Seconds for which it must have had it.

        Returns:
            A deferred of a `FoundOrigin`.
        """
        origin = self.single_origin(service, seconds)
        if origin != CONFLICT:
            return defer.succeed(FoundOrigin(origin, seconds, self.host))
        stream = stream_of(service.encode())
        query = StreamQuery(self.host, stream, service, seconds)
        return self.start_lookup(query)

    def single_origin(self, service, seconds):
        """Return the origin of the only version of a service.

        Returns:
            `CONFLICT` if there may have been another one: the service has
            several, or the list of this host is too young or not current.
        """
        if self.contact.age > MAX_CONTACT_AGE_SECONDS:
            return CONFLICT
        now = self.clock.seconds()
        version = self.registry.single_version(service, seconds, now)
        return origin_of(service, version) if version else CONFLICT

    def start_lookup(self, query):
        """Ask the hosts that may know; return a deferred of the result."""
        lookup = self.lookups.get(query.stream)
        if lookup is None:
            now = self.clock.seconds()
            ring = self.ring(now, max_age=0.0)
            names = set(ring.queried(query.stream))
            if not names:
                return defer.succeed(FoundOrigin(unanswered=1))
            lookup = self.lookups[query.stream] = Lookup(query, names)
            lookup.timers = [
                self.clock.callLater(
                    LOOKUP_REPEAT_SECONDS, self.send_query, lookup
                ),
                self.clock.callLater(
                    LOOKUP_SECONDS, self.end_lookup, lookup, FoundOrigin()
                ),
            ]
            self.send_query(lookup)
        done = defer.Deferred()
        lookup.done.append(done)
        return done

    def send_query(self, lookup):
        """Ask the hosts that have not answered.

        A host accepts no query from one that it does not know, as may be the
        case right after a start.
        """
        is_new = self.members.own.up_seconds < STARTUP_DISCOVERY_SECONDS
        for name in sorted(lookup.waiting):
            member = self.members.others.get(name)
            if is_new and member is not None:
                self.announce(member)
            self.send(lookup.query, name)

    def handle_query(self, message):
        """Answer another host."""
        now = self.clock.seconds()
        origin, age = CONFLICT, 0
        if message.service:
            origin = self.single_origin(message.service, message.seconds)
        else:
            record = self.records.find(message.stream, now)
            if record is not NOTHING:
                origin, age = record.origin, int(now - record.began_at)
        answer = StreamAnswer(self.host, message.stream, origin, age)
        self.send(answer, message.host)

    def handle_answer(self, message):
        """Use the answer of another host."""
        lookup = self.lookups.get(message.stream)
        if lookup is None:
            return
        lookup.waiting.discard(message.host)
        if message.origin != CONFLICT:
            if not lookup.query.service:
                began_at = self.clock.seconds() - message.age
                self.records.add(
                    message.stream,
                    StreamRecord(
                        message.origin, began_at, source=message.host
                    ),
                )
            found = FoundOrigin(message.origin, message.age, message.host)
            self.end_lookup(lookup, found)
        elif not lookup.waiting:
            self.end_lookup(lookup, FoundOrigin())

    def end_lookup(self, lookup, found):
        """Report the result of a lookup."""
        found = replace(found, unanswered=len(lookup.waiting))
        del self.lookups[lookup.query.stream]
        for timer in lookup.timers:
            if timer.active():
                timer.cancel()
        for done in lookup.done:
            done.callback(found)

    def gauges(self):
        """Return the gauges of streams that callers resume, by name."""
        return {
            "stream_records": len(self.records),
            "streams_resumed_total": self.resumed,
            **{
                f"streams_refused_{reason}_total": count
                for reason, count in self.refused.items()
            },
        }
