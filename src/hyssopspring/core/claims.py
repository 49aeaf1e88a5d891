"""Claims of idempotency keys, stored in a replicated log.

A request that must not be repeated runs only after its key is claimed in
a log in the key-value service. Safety depends on compare-and-swap alone,
not on leases, clocks or the liveness of hosts.
"""

import enum
import hashlib
from dataclasses import field, replace

import msgspec

from .exceptions import ProtocolError, ensure
from .records import dataclass
from .sentinels import NOTHING

SHARD_COUNT = 32
"""Shards of the log; the digest of a key determines its shard."""

DIGEST_SIZE = 16
"""Bytes of the digest of a key."""

MAX_SEGMENT_RECORDS = 400
"""Number of records at which a segment is full."""

RETENTION_SECONDS = 3 * 3600.0
"""Time for which closed segments are kept."""


class ClaimState(enum.IntEnum):
    """State that a record sets for its key."""

    CLAIMED = 0
    RELEASED = 1
    DONE = 2
    UNKNOWN = 3


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One record of the log.

    Attributes:
        digest: Digest of the workspace and the key.
        nonce: Identifier of the claimant, unique for each request.
        state: New state of the key.
        expires_at: Wall-clock second after which the outcome of a claim
            that has not been concluded counts as unknown.
    """

    digest: bytes
    nonce: bytes
    state: ClaimState
    expires_at: int


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """One segment of the log of a shard.

    Attributes:
        number: Sequence number of the segment.
        first: Sequence number of the oldest retained segment.
        sealed_at: Wall-clock second at which it was closed; 0 while open.
        records: List of `Record`, oldest first.
    """

    number: int = 0
    first: int = 0
    sealed_at: int = 0
    records: list[Record] = []


class Verdict(enum.Enum):
    """Result of a claim, as returned to the claimant."""

    GRANTED = "granted"
    IN_PROGRESS = "in progress"
    DONE = "done"
    UNKNOWN = "unknown"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class Claim:
    """The claim that holds a key.

    Attributes:
        nonce: Identifier of the claimant.
        state: `ClaimState.CLAIMED`, `ClaimState.DONE` or
            `ClaimState.UNKNOWN`.
        expires_at: Wall-clock second after which the outcome of a claim
            that has not been concluded counts as unknown.
    """

    nonce: bytes
    state: ClaimState
    expires_at: int


@dataclass(slots=True)
class ClaimIndex:
    """State of all keys of a shard, computed by replaying its log.

    Attributes:
        claims: `Claim` by digest of the key.
        number: Number of the segment that was applied last.
        count: Number of records of that segment that are applied.
        revision: Revision of the open segment when it was applied last.
        sealed: Wall-clock second at which each retained segment was
            closed, by segment number.
    """

    claims: dict[bytes, Claim] = field(default_factory=dict)
    number: int = -1
    count: int = 0
    revision: int = 0
    sealed: dict[int, int] = field(default_factory=dict)

    def apply(self, record):
        """Apply one record.

        The first claim of a free key holds the key. Records of other
        claimants have no effect, regardless of their position in the
        log.
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
        """Apply the new records of *segment*.

        Segments are append-only, so the records applied before are a
        prefix of the segment.
        """
        if segment.number != self.number:
            ensure(
                self.number < 0 or segment.number == self.number + 1,
                "a segment of the claim log was skipped",
            )
            self.number = segment.number
            self.count = 0
        ensure(
            len(segment.records) >= self.count,
            "a segment of the claim log lost records",
        )
        for record in segment.records[self.count :]:
            self.apply(record)
        self.count = len(segment.records)
        if segment.sealed_at:
            self.sealed[segment.number] = segment.sealed_at

    def verdict(self, digest, nonce, wall):
        """Return the `Verdict` for a claimant, or `NOTHING` for a free key.

        Args:
            digest: Digest of the key.
            nonce: Identifier of the claimant.
            wall: Wall-clock time in seconds. It only determines which
                verdict a rejected claimant gets.
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
        """Return whether *record* need not be written.

        A release is written even if the key is free, because the claim
        may be in a write that is still in progress and whose response
        was lost. Once the release is in the log, that write fails on its
        revision check.
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
        """Remove the keys whose claims expired before a wall-clock second."""
        self.claims = {
            digest: claim
            for digest, claim in self.claims.items()
            if claim.expires_at >= before
        }


def key_digest(workspace, key):
    """Return the digest of an idempotency key of a workspace."""
    digest = hashlib.blake2b(digest_size=DIGEST_SIZE)
    digest.update(workspace.encode() + b"\0" + key.encode())
    return digest.digest()


def shard_of(digest):
    """Return the number of the shard that stores *digest*.

    The shard depends on the key alone. If it depended on the
    configuration, a configuration change would route a repeated key to
    another log that does not contain the first run.
    """
    return int.from_bytes(digest[:4], "big") % SHARD_COUNT


def is_full(segment):
    """Return whether a segment has reached its maximum size."""
    return len(segment.records) >= MAX_SEGMENT_RECORDS


def seal_segment(segment, wall):
    """Return *segment* marked as closed at the time *wall*."""
    return msgspec.structs.replace(segment, sealed_at=int(wall))


def next_segment(segment, sealed, wall, retention=RETENTION_SECONDS):
    """Return the empty segment that follows *segment*.

    Args:
        segment: The full segment.
        sealed: Wall-clock second at which each retained segment was
            closed, by segment number.
        wall: Wall-clock time in seconds.
        retention: Seconds for which closed segments are kept.
    """
    first = segment.first
    while first < segment.number and sealed.get(first, wall) < (
        wall - retention
    ):
        first += 1
    return Segment(number=segment.number + 1, first=first)


def append_records(segment, records):
    """Return a copy of *segment* with *records* appended."""
    return msgspec.structs.replace(
        segment, records=[*segment.records, *records]
    )


SEGMENT_DECODER = msgspec.msgpack.Decoder(Segment)


def decode_segment(data):
    """Deserialize a `Segment`.

    Raises:
        ProtocolError: *data* is not a valid segment.
    """
    try:
        return SEGMENT_DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise ProtocolError(f"invalid claim log segment: {error}") from None


def encode_segment(segment):
    """Serialize *segment* for storage."""
    return msgspec.msgpack.encode(segment)
