"""Workspaces: who may ask, and with which rights."""

from dataclasses import dataclass

from ..core.sentinels import NOTHING

__all__ = ["TokenLimit", "Workspace"]


@dataclass(frozen=True, slots=True, kw_only=True)
class TokenLimit:
    """How much a workspace may ask for, over all hosts.

    Attributes:
        rate: Tokens a second.
        burst: Tokens besides.
        plain_tokens: Tokens that a request counts which states none.
        by_request: Whether each request counts as one, in place of its
            tokens.
    """

    rate: float
    burst: float
    plain_tokens: int = 1
    counts_requests: bool = False

    def count(self, tokens):
        """Return what a request counts.

        Args:
            tokens: Tokens that it states, or `NOTHING`.
        """
        if self.counts_requests:
            return 1
        return self.plain_tokens if tokens is NOTHING else tokens


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A group of callers with rights of its own.

    Attributes:
        name: Its name.
        key_digests: Digest of each of its keys.
        priority: Rank of its requests, before that of their route; 0 is
            the highest; `NOTHING` if that of the route holds.
        homes: Regions that may serve it; empty for all.
        limit: Its `TokenLimit`, or `NOTHING`.
    """

    name: str
    key_digests: frozenset = frozenset()
    priority: object = NOTHING
    homes: frozenset = frozenset()
    limit: object = NOTHING
