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

SHARD_COUNT = 32
DIGEST_SIZE = 16
MAX_SEGMENT_RECORDS = 400
RETENTION_SECONDS = 3 * 3600.0


class ClaimState(enum.IntEnum):
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
    state: ClaimState
    expires_at: int


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
class Claim:
    """Who holds a key.

    Attributes:
        nonce: The claimant.
        mark: `ClaimState.CLAIMED`, `ClaimState.DONE` or `ClaimState.UNKNOWN`.
        until: Second after which a mere claim counts as unknown.
    """

    nonce: bytes
    state: ClaimState
    expires_at: int


@dataclass(slots=True)
class ClaimIndex:
    """State of all keys of a shard, folded from its log.

    Attributes:
        holdings: `Claim` by digest.
        number: Segment up to which the log is folded.
        count: Records of that segment that are folded.
        revision: Revision of the open segment that was folded last.
        sealed: Second at which each kept segment was closed.
    """

    claims: dict[bytes, Claim] = field(default_factory=dict)
    number: int = -1
    count: int = 0
    revision: int = 0
    sealed: dict[int, int] = field(default_factory=dict)

    def apply(self, record):
        """Apply one record.

        The first claim of a free key holds it. A record of another
        claimant changes nothing, wherever it stands in the log.
        """
        claim = self.claims.get(record.digest)
        if record.state is ClaimState.CLAIMED:
            if claim is None:
                self.claims[record.digest] = Claim(
                    record.nonce, ClaimState.CLAIMED, record.expires_at
                )
            return
        if claim is None or claim.nonce != record.nonce:
            return
        if claim.state is not ClaimState.CLAIMED:
            return
        if record.state is ClaimState.RELEASED:
            del self.claims[record.digest]
            return
        self.claims[record.digest] = replace(claim, state=record.state)

    def apply_segment(self, segment):
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
            self.apply(record)
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
        claim = self.claims.get(digest)
        if claim is None:
            return NOTHING
        if claim.nonce == nonce and claim.state is ClaimState.CLAIMED:
            return Verdict.GRANTED
        if claim.state is ClaimState.DONE:
            return Verdict.DONE
        if claim.state is ClaimState.UNKNOWN or wall > claim.expires_at:
            return Verdict.UNKNOWN
        return Verdict.IN_PROGRESS

    def is_redundant(self, record):
        """Whether *record* need not be written.

        A release is written even if the key is free: its claim may still
        be under way in a write whose answer was lost. Once the release
        stands in the log, that write fails by its revision.
        """
        claim = self.claims.get(record.digest)
        if record.state is ClaimState.CLAIMED:
            return claim is not None
        if record.state is ClaimState.RELEASED and claim is None:
            return False
        if claim is None or claim.nonce != record.nonce:
            return True
        return claim.state is not ClaimState.CLAIMED

    def drop_expired(self, before):
        """Drop keys whose claim ended before a wall-clock second."""
        self.claims = {
            digest: claim
            for digest, claim in self.claims.items()
            if claim.expires_at >= before
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
    return int.from_bytes(digest[:4], "big") % SHARD_COUNT


def is_full(segment):
    """Whether a segment takes no more records."""
    return len(segment.records) >= MAX_SEGMENT_RECORDS


def seal_segment(segment, wall):
    """Return *segment* as it is kept once it is full."""
    return msgspec.structs.replace(segment, sealed_at=int(wall))


def next_segment(segment, sealed, wall, retention=RETENTION_SECONDS):
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


def append_records(segment, records):
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
