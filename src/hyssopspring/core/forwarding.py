"""Checks of requests that are forwarded by other hosts."""

from .outcomes import NotRun, Reason
from .sentinels import NOTHING

MAX_HOPS = 1
"""Maximum number of times that a request is forwarded."""


def refuse_forwarded(request, host, region, permitted):
    """Return why this host must refuse *request*, or `NOTHING`.

    The sender decides by its own configuration, which may be older or
    newer than the one of this host. Each side therefore checks against
    its own configuration, so the stricter of the two applies, whichever
    is stale.

    Args:
        request: The forwarded `Request`, with the residency that the
            sender determined.
        host: Name of this host.
        region: Region of this host.
        permitted: Regions that the configuration of this host permits.
    """
    if host in request.path or len(request.path) > MAX_HOPS:
        return NotRun(Reason.FORWARD_LOOP)
    if region not in request.residency or region not in permitted:
        return NotRun(Reason.NOT_RESIDENT_HERE)
    return NOTHING
