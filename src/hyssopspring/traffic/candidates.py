"""What a server or a region would do for a request."""

from dataclasses import dataclass

from ..core.sentinels import NOTHING

__all__ = ["UNBOUNDED", "NO_CANDIDATE", "Candidate"]


@dataclass(frozen=True, slots=True)
class Candidate:
    """What a server here, or another region, would do for a request.

    Attributes:
        place: The `Server`, or the name of the region.
        predicted: Seconds to the answer or first event.
        cost: Seconds that count in a comparison.
        copied: Tokens that the server would copy from another.
        copy_from: Address of that other server.
    """

    target: object
    predicted: float
    cost: float
    copied: int = 0
    copy_from: str = ""


UNBOUNDED = float("inf")
NO_CANDIDATE = Candidate(NOTHING, UNBOUNDED, UNBOUNDED)
