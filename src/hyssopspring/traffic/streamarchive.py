"""Records of streams that are kept in the store, and those read from it."""

import sys
from array import array
from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass

from ..core.exceptions import ProtocolError
from ..core.sentinels import NOTHING
from .streamrecords import CONFLICT, RETENTION_SECONDS, UNLISTED

__all__ = ["ArchivedStream", "StreamArchive", "pack_streams", "unpack_streams"]

MAX_PENDING = 50_000
"""Maximum number of records that wait to be written. The first host of one of
17 regions receives 8,400 in 120 s at 1,200 streams a second in all."""


@dataclass(frozen=True, slots=True)
class ArchivedStream:
    """Version that began a stream, as read from the store.

    Attributes:
        origin: Hash of service and version, `CONFLICT` or `UNLISTED`.
        began_at: Time at which the record was written.
    """

    origin: int
    began_at: float


@dataclass(frozen=True, slots=True)
class Segment:
    """Records that were read from one key.

    Attributes:
        loaded_at: Time at which they were read.
        written_at: Time at which they were written.
        streams: Sorted array of the hashes of streams, by origin.
    """

    loaded_at: float
    written_at: float
    streams: dict


class StreamArchive:
    """Records to be written, and records from before this host's start.

    Hashes are kept as sorted arrays, as a host may read 140,000 of them.

    Attributes:
        pending: Rows of stream and origin to be written, the oldest first.
        segments: `Segment` by the key from which it was read.
        on_pending: Called without arguments after rows were added.
    """

    def __init__(self):
        self.pending = []
        self.segments = {}
        self.on_pending = lambda: None

    def add(self, rows):
        """Add rows of stream and origin to be written."""
        self.pending += rows
        del self.pending[:-MAX_PENDING]
        self.on_pending()

    def load(self, key, streams, age, now):
        """Add the records of one key of the store.

        Args:
            key: The key.
            streams: Packed hashes of streams by origin.
            age: Seconds since they were written.
            now: The time.

        Raises:
            ProtocolError: The hashes are invalid.
        """
        arrays = {
            origin: unpack_streams(packed)
            for origin, packed in streams.items()
        }
        self.segments[key] = Segment(now, now - age, arrays)

    def expire(self, now):
        """Drop what was read so long ago that no host would keep it."""
        for key in list(self.segments):
            if now - self.segments[key].loaded_at > RETENTION_SECONDS:
                del self.segments[key]

    def find(self, stream):
        """Return the `ArchivedStream` of a stream, or `NOTHING`."""
        found = [
            (segment.written_at, origin)
            for segment in self.segments.values()
            for origin, streams in segment.streams.items()
            if contains(streams, stream)
        ]
        if not found:
            return NOTHING
        origins = {origin for _, origin in found}
        if len(origins) > 1:
            origins.discard(UNLISTED)
        origin = origins.pop() if len(origins) == 1 else CONFLICT
        return ArchivedStream(origin, min(at for at, _ in found))


def contains(streams, stream):
    """Return whether a sorted array contains a hash."""
    index = bisect_left(streams, stream)
    return index < len(streams) and streams[index] == stream


def pack_streams(rows):
    """Return the sorted and packed hashes of streams, by origin.

    Args:
        rows: Rows of stream and origin.
    """
    by_origin = defaultdict(list)
    for stream, origin in rows:
        by_origin[origin].append(stream)
    return {
        origin: in_byte_order(array("Q", sorted(streams))).tobytes()
        for origin, streams in by_origin.items()
    }


def unpack_streams(packed):
    """Return the sorted array of hashes that was packed.

    Raises:
        ProtocolError: There is an incomplete hash.
    """
    streams = array("Q")
    try:
        streams.frombytes(packed)
    except ValueError as problem:
        raise ProtocolError(f"invalid hashes: {problem}") from None
    return in_byte_order(streams)


def in_byte_order(streams):
    """Convert an array between the order of this machine and little-endian."""
    if sys.byteorder == "big":
        streams.byteswap()
    return streams
