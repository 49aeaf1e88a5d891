"""Workspaces: their keys, their permissions and their token limits."""

from ..core.records import dataclass
from ..core.sentinels import NOTHING

__all__ = ["TokenLimit", "Workspace"]


@dataclass(frozen=True, slots=True, kw_only=True)
class TokenLimit:
    """Rate limit of the tokens of a workspace, over all hosts.

    Attributes:
        rate: Tokens a second.
        burst: Tokens that may be used on top of the rate.
        plain_tokens: Tokens counted for a request that states none.
        counts_requests: Whether each request counts as one, instead of its
            tokens.
    """

    rate: float
    burst: float
    plain_tokens: int = 1
    counts_requests: bool = False

    def count(self, tokens):
        """Return the number that a request counts against the limit.

        Args:
            tokens: Tokens that it states, or `NOTHING`.
        """
        if self.counts_requests:
            return 1
        return self.plain_tokens if tokens is NOTHING else tokens


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A customer with permissions of its own.

    Attributes:
        name: Its name.
        key_digests: Digest of each of its keys.
        priority: Rank of its requests, which takes precedence over that of
            their route; 0 is the highest; `NOTHING` if that of the route
            applies.
        homes: Regions that may serve it; empty for all.
        limit: Its `TokenLimit`, or `NOTHING`.
    """

    name: str
    key_digests: frozenset = frozenset()
    priority: object = NOTHING
    homes: frozenset = frozenset()
    limit: object = NOTHING
