"""Records of the version that began each recent stream."""

from dataclasses import dataclass

from ..core.hashing import hash_bytes, hash_text
from ..core.sentinels import NOTHING

__all__ = [
    "CONFLICT",
    "RETENTION_SECONDS",
    "UNLISTED",
    "StreamRecord",
    "StreamRecords",
    "StreamStart",
    "origin_of",
    "stream_of",
]

RETENTION_SECONDS = 120.0
"""Seconds for which a version is kept. Callers return within the deadline of
their request."""

MAX_RECORDS = 20_000
"""Maximum number of records. A host of 330 keeps 2,200 at 1,200 streams a
second."""

CONFLICT = 0
"""Origin of a stream of which hosts have stated different origins."""

UNLISTED = 2**64 - 1
"""Origin of a stream that began at a server instance whose entry has not
arrived. Its host states the origin once it knows the version."""


@dataclass(frozen=True, slots=True)
class StreamStart:
    """Server instance that sent the first event of a stream.

    Attributes:
        service: Its service.
        server_id: Identifier of the server.
        instance_id: Identifier of the instance.
    """

    service: str
    server_id: str
    instance_id: str


@dataclass(slots=True)
class StreamRecord:
    """Service and version that began one stream.

    Attributes:
        origin: Hash of the service and the version, `CONFLICT` or `UNLISTED`.
        began_at: Time of its first event.
        own: Whether this host has passed that event on.
        archived: Whether it has been given to the host that writes it to the
            store.
        source: Name of the host from which it was received, or "".
        source_id: Identifier of the incarnation of that host.
        keepers: Identifiers of the incarnations to which this host has sent
            it.
    """

    origin: int
    began_at: float
    own: bool = False
    archived: bool = False
    source: str = ""
    source_id: int = 0
    keepers: tuple = ()


class StreamRecords:
    """Bounded table of `StreamRecord` by stream, the oldest first."""

    def __init__(self):
        self.records = {}

    def __len__(self):
        return len(self.records)

    def add(self, stream, record):
        """Add a record; one that contradicts a known one makes it useless.

        `UNLISTED` contradicts nothing.
        """
        known = self.records.get(stream)
        if known is None:
            self.records[stream] = record
            if len(self.records) > MAX_RECORDS:
                del self.records[next(iter(self.records))]
        elif known.origin == UNLISTED:
            known.origin = record.origin
        elif record.origin not in (known.origin, UNLISTED):
            known.origin = CONFLICT

    def find(self, stream, now):
        """Return the `StreamRecord` of a stream, or `NOTHING`."""
        record = self.records.get(stream)
        if record is None or now - record.began_at > RETENTION_SECONDS:
            return NOTHING
        return record

    def expire(self, now):
        """Remove the records that are past their retention.

        Records are in the order in which they were added, which is nearly that
        of their age.
        """
        for stream in list(self.records):
            if now - self.records[stream].began_at <= RETENTION_SECONDS:
                return
            del self.records[stream]

    def since(self, began_at):
        """Return the rows of stream and record that began after a time."""
        return [
            (stream, record)
            for stream, record in self.records.items()
            if record.began_at >= began_at
        ]


def stream_of(attempt):
    """Return the hash that identifies a stream.

    Args:
        attempt: Identifier, as bytes, of the attempt of the caller that
            brought its first event.
    """
    return hash_bytes(attempt)


def origin_of(service, version):
    """Return the hash of a service and a version."""
    return hash_text(f"{service}\n{version}")
