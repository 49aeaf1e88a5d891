"""What an entry process knows of a caller's request."""

from dataclasses import dataclass

from ..core.sentinels import NOTHING
from ..traffic.work import Demand

__all__ = ["RequestMetadata"]


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestMetadata:
    """What a caller states of its request.

    Attributes:
        id: Identifier of this try of the caller, as bytes.
        deadline: Seconds that the caller will wait, or `NOTHING`.
        demand: The `Demand` on an engine.
        last_event: Event after which a stream goes on, or b"".
        key_digest: Digest of the caller's key, or an empty string if it
            shows none, or more than one.
        tokens: Tokens that it states, in and out together, `NOTHING` if it
            states none, or `INVALID`.
    """

    id: bytes
    deadline: object = NOTHING
    demand: Demand = Demand()
    last_event: bytes = b""
    key_digest: str = ""
    tokens: object = NOTHING
