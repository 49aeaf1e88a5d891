"""Whether a caller may use a route, and with which permissions."""

from dataclasses import dataclass

from ..core.outcomes import Reason
from ..core.sentinels import INVALID, NOTHING

__all__ = ["Denied", "Permissions", "authorize"]

UNAUTHORIZED = 401
BAD_REQUEST = 400
UNAVAILABLE = 503

UNVERIFIED_KEY_RETRY_SECONDS = 0.2
"""Retry-After of a request whose key cannot be checked against a configuration
that is known to be current. Other hosts can serve it at once, and this host
can within this time after it reaches another host again."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Permissions:
    """What a request is permitted to do.

    Attributes:
        workspace: Name of the caller's workspace; empty on a public route.
        priority: Rank of the request; 0 is the highest.
        outranked: Whether another route of its service goes first among
            workspaces of this rank.
        homes: Regions that may serve it; empty for all regions.
        cost: Tokens that it takes from the limit of its workspace; 0 if the
            workspace has no limit.
    """

    workspace: str = ""
    priority: int = 0
    outranked: bool = False
    homes: frozenset = frozenset()
    cost: int = 0


@dataclass(frozen=True, slots=True)
class Denied:
    """Refusal of a request before any attempt.

    Attributes:
        status: HTTP status of the response.
        reason: The `Reason`.
        retry_after: Seconds after which to retry, or `NOTHING` if a retry
            would be refused as well.
    """

    status: int
    reason: Reason
    retry_after: object = NOTHING


def authorize(configuration, route, metadata, *, confirmed=True):
    """Return the `Permissions` of a request, or why it is `Denied`.

    Args:
        configuration: The `Configuration` in force.
        route: The `Route` of the request.
        metadata: Its `RequestMetadata`.
        confirmed: Whether the configuration is confirmed as current recently
            enough to check keys against it.
    """
    if not configuration.needs_key(route):
        return Permissions(priority=route.priority, homes=route.homes)
    if not confirmed:
        return Denied(
            UNAVAILABLE, Reason.UNVERIFIED, UNVERIFIED_KEY_RETRY_SECONDS
        )
    workspace = configuration.workspace_of(metadata.key_digest)
    if workspace is NOTHING:
        return Denied(UNAUTHORIZED, Reason.UNKNOWN_WORKSPACE)
    homes = route.homes or workspace.homes
    if route.homes and workspace.homes:
        homes = route.homes & workspace.homes
        if not homes:
            return Denied(UNAVAILABLE, Reason.RESIDENCY)
    cost = token_cost(workspace, metadata)
    if cost is INVALID:
        return Denied(BAD_REQUEST, Reason.BAD_REQUEST)
    priority = workspace.priority
    outranked = False
    if priority is NOTHING:
        priority = route.priority
    else:
        # Without this, routes of one workspace would share one rank, and
        # requests that may wait would take the servers of those that may not.
        outranked = configuration.is_outranked(route)
    return Permissions(
        workspace=workspace.name,
        priority=priority,
        outranked=outranked,
        homes=homes,
        cost=cost,
    )


def token_cost(workspace, metadata):
    """Return the tokens that a request takes from its workspace's limit.

    A request with an invalid token count is refused. If it counted as zero, or
    as a small number, its workspace could consume any amount.
    """
    if workspace.limit is NOTHING:
        return 0
    if metadata.tokens is INVALID and not workspace.limit.counts_requests:
        return INVALID
    return workspace.limit.count(metadata.tokens)
