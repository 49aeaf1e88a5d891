"""Exchange between hosts of the version that began each stream."""

import enum
from collections import defaultdict
from dataclasses import dataclass, field, replace

from twisted.internet import defer

from ..core.sentinels import NOTHING
from ..traffic.members import (
    MAX_CONTACT_AGE_SECONDS,
    STARTUP_DISCOVERY_SECONDS,
)
from ..traffic.streamarchive import StreamArchive
from ..traffic.streamrecords import (
    CONFLICT,
    RETENTION_SECONDS,
    UNLISTED,
    StreamRecord,
    StreamRecords,
    origin_of,
    stream_of,
)
from .streamhandover import (
    MAX_ROWS_PER_DATAGRAM,
    RESEND_AGE_SECONDS,
    StreamHandover,
)
from .streammessages import (
    StreamAnswer,
    StreamQuery,
    StreamRecordsMessage,
    StreamRow,
)

__all__ = ["Evidence", "FoundOrigin", "StreamOrigins"]

LOOKUP_SECONDS = 0.45
"""Seconds after which a lookup ends without a result. A round trip between
regions takes 160 ms."""

LOOKUP_REPEAT_SECONDS = 0.2
"""Seconds after which hosts that have not answered are asked again."""

SILENT_HOSTS_QUERIED = 4
"""Hosts without recent heartbeats that are asked as well. One that was cut off
has the records of the streams that began there meanwhile, and nobody else."""


class Evidence(enum.StrEnum):
    """How the version of a stream is known, or what is missing for it."""

    RECORD = "record"
    STORED_RECORD = "record in the store"
    HISTORY = "history"
    CONTRADICTION = "contradicting records"
    UNLISTED = "record of a start that is not listed"
    NO_RECORD = "no record"
    NO_ATTEMPT = "no record, first attempt not named"
    SEVERAL_VERSIONS = "no record, several versions served"
    NOT_LOADED = "no record, versions not read from the store"
    NO_CONTACT = "no record, versions not current"


@dataclass(frozen=True, slots=True)
class FoundOrigin:
    """Result of a lookup.

    Attributes:
        origin: Hash of service and version, or `CONFLICT` if it is not known.
        age: Seconds since the first event of the stream.
        source: Host that knew it, or an empty string.
        evidence: The `Evidence`.
        unanswered: Number of hosts that did not answer in time.
    """

    origin: int = CONFLICT
    age: float = 0.0
    source: str = ""
    evidence: Evidence = Evidence.NO_RECORD
    unanswered: int = 0


UNKNOWN = FoundOrigin()


@dataclass(slots=True, eq=False)
class Lookup:
    """A lookup in progress.

    Attributes:
        query: The `StreamQuery`.
        waiting: Names of the hosts that have not answered.
        unlisted: Whether a host knows the stream as `UNLISTED`.
        done: Deferreds that fire with the `FoundOrigin`.
        timers: Delayed calls of the repetition and the timeout.
    """

    query: StreamQuery
    waiting: set
    unlisted: bool = False
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

    Attributes:
        unlisted: `StreamStart` by stream that this host has recorded as
            `UNLISTED`.
    """

    def __init__(self, members, registry, contact, datagrams, clock, announce):
        self.members = members
        self.registry = registry
        self.history = registry.history
        self.contact = contact
        self.datagrams = datagrams
        self.clock = clock
        self.announce = announce
        self.records = StreamRecords()
        self.unlisted = {}
        self.archive = StreamArchive()
        self.archived_services = set()
        self.archived_at = members.own.id
        self.handover = StreamHandover(
            members, self.records, datagrams, clock, announce
        )
        self.lookups = {}
        self.resumed = 0
        self.refused = defaultdict(int)

    @property
    def host(self):
        """Name of this host."""
        return self.members.own.name

    def record(
        self, attempt, service, version, *, is_split=False, start=NOTHING
    ):
        """Record the version that began a stream, and send it to its keepers.

        Args:
            attempt: Identifier, as bytes, of the attempt of the caller.
            service: The service.
            version: Version of the server, or "" if it is not known. Such a
                stream must not go on at a server of any version.
            is_split: Whether its route has several services.
            start: `StreamStart` whose version may be listed later, or
                `NOTHING`.
        """
        now = self.clock.seconds()
        stream = stream_of(attempt)
        origin = CONFLICT
        if version:
            origin = origin_of(service, version)
            self.history.add(service, version)
        elif start is not NOTHING:
            origin = UNLISTED
            self.unlisted[stream] = start
        needs_archive = (
            is_split or not version or self.history.may_have_several(service)
        )
        record = StreamRecord(
            origin, now, own=True, archived=needs_archive, source=self.host
        )
        self.records.add(stream, record)
        self.handover.send_records([(stream, record)], now)
        if needs_archive:
            self.archive_records([(stream, record)], now)

    def archive_records(self, rows, now):
        """Let the first host of the region write records to the store."""
        first = self.members.placers(now)[0]
        if first is self.members.own:
            self.archive.add([(stream, one.origin) for stream, one in rows])
        else:
            self.send_to_archive(first, rows, now)

    def send_to_archive(self, first, rows, now):
        """Let another host of the region write records to the store."""
        self.handover.introduce(first, now)
        for start in range(0, len(rows), MAX_ROWS_PER_DATAGRAM):
            batch = [
                StreamRow(stream, one.origin, max(0, int(now - one.began_at)))
                for stream, one in rows[start : start + MAX_ROWS_PER_DATAGRAM]
            ]
            message = StreamRecordsMessage(
                self.members.own.id, batch, archive=True
            )
            self.datagrams.send(message, first.control)

    def archive_running(self):
        """Write the streams of services that have got a second version.

        What was sent to a first host that is gone is sent to the next one.
        """
        services = {
            service
            for service in self.history.versions
            if self.history.may_have_several(service)
        }
        origins = {
            origin_of(service, version)
            for service in services - self.archived_services
            for version in self.history.versions[service]
        }
        self.archived_services |= services
        now = self.clock.seconds()
        first = self.members.placers(now)[0]
        is_other = first.id != self.archived_at
        self.archived_at = first.id
        if not origins and not is_other:
            return
        rows = []
        for stream, record in self.records.since(now - RETENTION_SECONDS):
            is_new = record.origin in origins and not record.archived
            is_recent = now - record.began_at <= RESEND_AGE_SECONDS
            is_lost = record.archived and is_other and is_recent
            if record.own and (is_new or is_lost):
                record.archived = True
                rows.append((stream, record))
        if rows:
            self.archive_records(rows, now)

    def send(self, message, name):
        """Send a message to a host that is still known."""
        member = self.members.others.get(name)
        if member is not None:
            self.datagrams.send(message, member.control)

    def handle_records(self, message):
        """Keep the records of another host."""
        now = self.clock.seconds()
        member = self.members.by_id.get(message.host_id)
        source = "" if member is None else member.name
        for row in message.rows:
            record = StreamRecord(
                row.origin,
                now - row.age,
                source=source,
                source_id=message.host_id,
            )
            self.records.add(row.stream, record)
        if message.archive:
            self.archive.add(
                [(row.stream, row.origin) for row in message.rows]
            )

    def tick(self):
        """Expire records; send recent ones again if keepers have changed."""
        self.records.expire(self.clock.seconds())
        self.settle_unlisted()
        self.handover.tick()
        self.archive_running()

    def settle_unlisted(self):
        """Record the versions of starts whose entries have arrived."""
        now = self.clock.seconds()
        rows = []
        for stream, start in list(self.unlisted.items()):
            record = self.records.find(stream, now)
            if record is NOTHING or record.origin != UNLISTED:
                del self.unlisted[stream]
                continue
            version = self.registry.version_of_instance(
                start.server_id, start.instance_id
            )
            if version:
                del self.unlisted[stream]
                record.origin = origin_of(start.service, version)
                record.keepers = ()
                rows.append((stream, record))
        if rows:
            self.handover.send_records(rows, now)
            self.archive_records(rows, now)

    def hand_over(self):
        """Send all records to the keepers that follow this host.

        What this host has still to write, the next one of the region writes.
        """
        self.handover.hand_over()
        now = self.clock.seconds()
        others = [
            one
            for one in self.members.placers(now)
            if one is not self.members.own
        ]
        rows = [
            (stream, StreamRecord(origin, now))
            for stream, origin in self.archive.pending
        ]
        if others and rows:
            self.send_to_archive(others[0], rows, now)

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
        if record is not NOTHING and is_settled(record):
            return defer.succeed(
                FoundOrigin(
                    record.origin,
                    now - record.began_at,
                    record.source,
                    evidence_of(record.origin, Evidence.RECORD),
                )
            )
        archived = self.find_archived(attempt)
        if archived.evidence is not Evidence.NO_RECORD:
            return defer.succeed(archived)
        return self.start_lookup(StreamQuery(self.host, stream))

    def find_archived(self, attempt, found=UNKNOWN):
        """Return the `FoundOrigin` of a stream by what the store had.

        Args:
            attempt: As for `find`.
            found: Returned if the store had no record.
        """
        archived = self.archive.find(stream_of(attempt))
        if archived is NOTHING:
            return found
        return FoundOrigin(
            archived.origin,
            self.clock.seconds() - archived.began_at,
            self.host,
            evidence_of(archived.origin, Evidence.STORED_RECORD),
        )

    async def find_single(self, service, found):
        """Look up the only version that a service has ever had.

        Args:
            service: The service.
            found: `FoundOrigin` of a stream of which no record is known.

        Returns:
            The `FoundOrigin` with that version, or without one and with what
            is missing.
        """
        if not self.history.is_loaded:
            return replace(found, evidence=Evidence.NOT_LOADED, unanswered=1)
        if not self.history.single(service):
            return replace(found, evidence=Evidence.SEVERAL_VERSIONS)
        is_current = self.contact.age <= MAX_CONTACT_AGE_SECONDS
        if not is_current or not await self.history.confirm():
            return replace(found, evidence=Evidence.NO_CONTACT, unanswered=1)
        version = self.history.single(service)
        if not version:
            return replace(found, evidence=Evidence.SEVERAL_VERSIONS)
        return FoundOrigin(
            origin_of(service, version),
            source=self.host,
            evidence=Evidence.HISTORY,
        )

    def start_lookup(self, query):
        """Ask the hosts that may know; return a deferred of the result."""
        lookup = self.lookups.get(query.stream)
        if lookup is None:
            now = self.clock.seconds()
            unlisted = self.records.find(query.stream, now) is not NOTHING
            names = self.hosts_to_ask(query.stream, now)
            if not names:
                evidence = (
                    Evidence.UNLISTED if unlisted else Evidence.NO_RECORD
                )
                return defer.succeed(
                    FoundOrigin(evidence=evidence, unanswered=1)
                )
            lookup = Lookup(query, names, unlisted)
            self.lookups[query.stream] = lookup
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

    def hosts_to_ask(self, stream, now):
        """Return the names of the hosts that may know a stream."""
        ring = self.handover.ring(now, max_age=0.0)
        silent = self.members.silent(now)[:SILENT_HOSTS_QUERIED]
        return {*ring.queried(stream), *(one.name for one in silent)}

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
        record = self.records.find(message.stream, now)
        if record is NOTHING:
            record = self.archive.find(message.stream)
        if record is not NOTHING:
            origin = record.origin
            age = max(1, int(now - record.began_at))
        answer = StreamAnswer(self.host, message.stream, origin, age)
        self.send(answer, message.host)

    def handle_answer(self, message):
        """Use the answer of another host."""
        lookup = self.lookups.get(message.stream)
        if lookup is None:
            return
        lookup.waiting.discard(message.host)
        if message.origin == UNLISTED:
            lookup.unlisted = True
            if not lookup.waiting:
                self.end_lookup(lookup, FoundOrigin())
        elif message.origin != CONFLICT:
            self.keep_answer(message)
            found = FoundOrigin(
                message.origin, message.age, message.host, Evidence.RECORD
            )
            self.end_lookup(lookup, found)
        elif message.age:
            # An answer without a record states no age.
            self.end_lookup(
                lookup, FoundOrigin(evidence=Evidence.CONTRADICTION)
            )
        elif not lookup.waiting:
            self.end_lookup(lookup, FoundOrigin())

    def keep_answer(self, message):
        """Keep the version that another host has found."""
        member = self.members.others.get(message.host)
        record = StreamRecord(
            message.origin,
            self.clock.seconds() - message.age,
            source=message.host,
            source_id=0 if member is None else member.id,
        )
        self.records.add(message.stream, record)

    def end_lookup(self, lookup, found):
        """Report the result of a lookup."""
        found = replace(found, unanswered=len(lookup.waiting))
        if lookup.unlisted and found.origin == CONFLICT:
            found = replace(found, evidence=Evidence.UNLISTED, unanswered=1)
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
            "stream_records_unwritten": len(self.archive.pending),
            "streams_resumed_total": self.resumed,
            **{
                f"streams_refused_{reason}_total": count
                for reason, count in self.refused.items()
            },
        }


def is_settled(record):
    """Return whether a record needs no other host to state its origin."""
    return record.own or record.origin != UNLISTED


def evidence_of(origin, evidence):
    """Return the `Evidence` that a record with an origin is.

    Args:
        origin: The origin, `CONFLICT` or `UNLISTED`.
        evidence: The `Evidence` of a record that is not contradicted.
    """
    if origin == UNLISTED:
        return Evidence.UNLISTED
    return Evidence.CONTRADICTION if origin == CONFLICT else evidence
