"""Candidates for the placement of a request."""

from dataclasses import dataclass

from ..core.sentinels import NOTHING

__all__ = ["UNBOUNDED", "NO_CANDIDATE", "Candidate"]


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server of this region, or another region, for a request.

    Attributes:
        target: The `Server`, or the name of the region.
        predicted: Seconds to the answer or first event.
        cost: Cost in seconds for the comparison of candidates.
        copied: Tokens that the server would copy from another server.
        copy_from: Address of that other server.
        pause: Predicted longest gap of a stream there in seconds.
    """

    target: object
    predicted: float
    cost: float
    copied: int = 0
    copy_from: str = ""
    pause: float = 0.0


UNBOUNDED = float("inf")
NO_CANDIDATE = Candidate(NOTHING, UNBOUNDED, UNBOUNDED)
