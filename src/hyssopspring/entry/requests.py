"""Metadata of a caller's request."""

from dataclasses import dataclass

from ..core.sentinels import NOTHING
from ..traffic.work import Demand

__all__ = ["RequestMetadata"]


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestMetadata:
    """Values that a caller states in the headers of its request.

    Attributes:
        id: Identifier of this attempt of the caller, as bytes.
        deadline: Seconds for which the caller waits, or `NOTHING`.
        demand: The `Demand` on an engine.
        last_event: Event after which a stream is resumed, or b"".
        first_attempt: Identifier of the attempt that brought the first event
            of a stream that is resumed, or b"".
        key_digest: Digest of the caller's key, or an empty string if the
            request carries none, or more than one.
        tokens: Stated number of tokens, input and output together, `NOTHING`
            if none is stated, or `INVALID`.
    """

    id: bytes
    deadline: object = NOTHING
    demand: Demand = Demand()
    last_event: bytes = b""
    first_attempt: bytes = b""
    key_digest: str = ""
    tokens: object = NOTHING
