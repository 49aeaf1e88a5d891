"""Claims of idempotency keys: a log, and what follows from it.

A request that must not be repeated runs only after its key is claimed in
a log that the key-value service keeps. Safety rests on compare-and-swap
alone: no lease, no clock and no liveness of a host is part of it.
"""

import enum
import hashlib
from dataclasses import dataclass, field, replace

import msgspec

from .exceptions import ProtocolError, ensure
from .sentinels import NOTHING

SHARDS = 32
DIGEST_SIZE = 16
SEGMENT_RECORDS = 400
RETENTION = 3 * 3600.0


class Mark(enum.IntEnum):
    """What a record says of its key."""

    CLAIMED = 0
    RELEASED = 1
    DONE = 2
    UNKNOWN = 3


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One record of the log.

    Attributes:
        digest: Digest of workspace and key.
        nonce: Names the claimant; each request has its own.
        mark: What is said.
        until: Wall-clock second after which a claim without an outcome
            counts as unknown.
    """

    digest: bytes
    nonce: bytes
    mark: Mark
    until: int


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """A part of a shard's log.

    Attributes:
        number: Number of the segment.
        first: Number of the oldest segment that is kept.
        sealed_at: Wall-clock second at which it was closed, or 0.
        records: The `Record` list, oldest first.
    """

    number: int = 0
    first: int = 0
    sealed_at: int = 0
    records: list[Record] = []


class Verdict(enum.Enum):
    """What a claimant is told."""

    GRANTED = "granted"
    IN_PROGRESS = "in progress"
    DONE = "done"
    UNKNOWN = "unknown"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class Holding:
    """Who holds a key.

    Attributes:
        nonce: The claimant.
        mark: `Mark.CLAIMED`, `Mark.DONE` or `Mark.UNKNOWN`.
        until: Second after which a mere claim counts as unknown.
    """

    nonce: bytes
    mark: Mark
    until: int


@dataclass(slots=True)
class ClaimIndex:
    """State of all keys of a shard, folded from its log.

    Attributes:
        holdings: `Holding` by digest.
        number: Segment up to which the log is folded.
        count: Records of that segment that are folded.
        revision: Revision of the open segment that was folded last.
        sealed: Second at which each kept segment was closed.
    """

    holdings: dict[bytes, Holding] = field(default_factory=dict)
    number: int = -1
    count: int = 0
    revision: int = 0
    sealed: dict[int, int] = field(default_factory=dict)

    def fold(self, record):
        """Apply one record.

        The first claim of a free key holds it. A record of another
        claimant changes nothing, wherever it stands in the log.
        """
        held = self.holdings.get(record.digest)
        if record.mark is Mark.CLAIMED:
            if held is None:
                self.holdings[record.digest] = Holding(
                    record.nonce, Mark.CLAIMED, record.until
                )
            return
        if held is None or held.nonce != record.nonce:
            return
        if held.mark is not Mark.CLAIMED:
            return
        if record.mark is Mark.RELEASED:
            del self.holdings[record.digest]
            return
        self.holdings[record.digest] = replace(held, mark=record.mark)

    def fold_segment(self, segment):
        """Apply what is new in *segment*.

        Segments only grow, so the records folded before are a prefix.
        """
        if segment.number != self.number:
            ensure(
                self.number < 0 or segment.number == self.number + 1,
                "a segment of the claim log was left out",
            )
            self.number = segment.number
            self.count = 0
        ensure(
            len(segment.records) >= self.count, "a claim log segment shrank"
        )
        for record in segment.records[self.count :]:
            self.fold(record)
        self.count = len(segment.records)
        if segment.sealed_at:
            self.sealed[segment.number] = segment.sealed_at

    def verdict(self, digest, nonce, wall):
        """Return the `Verdict` for a claimant, or `NOTHING` if free.

        Args:
            digest: Digest of the key.
            nonce: The claimant.
            wall: Wall clock in seconds; only the wording depends on it.
        """
        held = self.holdings.get(digest)
        if held is None:
            return NOTHING
        if held.nonce == nonce and held.mark is Mark.CLAIMED:
            return Verdict.GRANTED
        if held.mark is Mark.DONE:
            return Verdict.DONE
        if held.mark is Mark.UNKNOWN or wall > held.until:
            return Verdict.UNKNOWN
        return Verdict.IN_PROGRESS

    def is_noted(self, record):
        """Whether *record* need not be written.

        A release is written even if the key is free: its claim may still
        be under way in a write whose answer was lost. Once the release
        stands in the log, that write fails by its revision.
        """
        held = self.holdings.get(record.digest)
        if record.mark is Mark.CLAIMED:
            return held is not None
        if record.mark is Mark.RELEASED and held is None:
            return False
        if held is None or held.nonce != record.nonce:
            return True
        return held.mark is not Mark.CLAIMED

    def forget(self, before):
        """Drop keys whose claim ended before a wall-clock second."""
        self.holdings = {
            digest: held
            for digest, held in self.holdings.items()
            if held.until >= before
        }


def key_digest(workspace, key):
    """Return the digest of a workspace's key."""
    digest = hashlib.blake2b(digest_size=DIGEST_SIZE)
    digest.update(workspace.encode() + b"\0" + key.encode())
    return digest.digest()


def shard_of(digest):
    """Return the number of the shard that holds *digest*.

    It depends on the key alone. Were it to follow the configuration, a
    change of it would lead a repeated key to another log, in which the
    first run does not stand.
    """
    return int.from_bytes(digest[:4], "big") % SHARDS


def is_full(segment):
    """Whether a segment takes no more records."""
    return len(segment.records) >= SEGMENT_RECORDS


def seal(segment, wall):
    """Return *segment* as it is kept once it is full."""
    return msgspec.structs.replace(segment, sealed_at=int(wall))


def follow(segment, sealed, wall, retention=RETENTION):
    """Return the empty segment after *segment*.

    Args:
        segment: The full one.
        sealed: Second at which each kept segment was closed.
        wall: Wall clock in seconds.
        retention: Seconds for which closed segments are kept.
    """
    first = segment.first
    while first < segment.number and sealed.get(first, wall) < (
        wall - retention
    ):
        first += 1
    return Segment(number=segment.number + 1, first=first)


def append(segment, records):
    """Return *segment* with *records* after those it has."""
    return msgspec.structs.replace(
        segment, records=[*segment.records, *records]
    )


SEGMENT_DECODER = msgspec.msgpack.Decoder(Segment)


def decode_segment(data):
    """Return the `Segment` that *data* stands for.

    Raises:
        ProtocolError: It is none.
    """
    try:
        return SEGMENT_DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise ProtocolError(f"no claim segment: {error}") from None


def encode_segment(segment):
    """Return the bytes that are stored for *segment*."""
    return msgspec.msgpack.encode(segment)
