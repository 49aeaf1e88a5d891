"""Messages on the versions that began streams."""

import msgspec

__all__ = [
    "StreamAnswer",
    "StreamQuery",
    "StreamRecordsMessage",
    "StreamRow",
]


class StreamRow(msgspec.Struct, array_like=True, frozen=True):
    """Version that began a stream.

    Attributes:
        stream: Hash of the identifier of the attempt that brought its first
            event.
        origin: Hash of the service and the version of the server.
        age: Seconds since that event.
    """

    stream: int
    origin: int
    age: int


class StreamRecordsMessage(
    msgspec.Struct, array_like=True, tag="k", frozen=True
):
    """Versions that began streams, for a host that keeps them.

    Attributes:
        host_id: Short identifier of the sender.
        rows: `StreamRow` of each stream.
        archive: Whether the receiver writes them to the store.
    """

    host_id: int
    rows: list[StreamRow]
    archive: bool = False


class StreamQuery(msgspec.Struct, array_like=True, tag="u", frozen=True):
    """Request for the version that began a stream.

    Attributes:
        host: Name of the sender.
        stream: Hash that identifies the stream.
    """

    host: str
    stream: int


class StreamAnswer(msgspec.Struct, array_like=True, tag="z", frozen=True):
    """Response to a `StreamQuery`.

    Attributes:
        host: Name of the sender.
        stream: Hash that identifies the stream.
        origin: Hash of the service and the version; 0 if it is not known.
        age: Seconds since the first event of the stream.
    """

    host: str
    stream: int
    origin: int
    age: int = 0
