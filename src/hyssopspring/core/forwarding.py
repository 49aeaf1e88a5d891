"""Checks on a request that another host forwarded."""

from .outcomes import NotRun, Reason
from .sentinels import NOTHING

MAX_HOPS = 1


def refuse_forwarded(request, host, region, permitted):
    """Return why this host must not serve *request*, or `NOTHING`.

    The sender decided with its own configuration, which may be older or
    newer than ours. Each side therefore checks by what it knows itself:
    the stricter of both views holds, whichever of them is stale.

    Args:
        request: The forwarded `Request`, with the sender's residency.
        host: Name of this host.
        region: Region of this host.
        permitted: Regions that this host's own configuration permits.
    """
    if host in request.path or len(request.path) > MAX_HOPS:
        return NotRun(Reason.FORWARD_LOOP)
    if region not in request.residency or region not in permitted:
        return NotRun(Reason.NOT_RESIDENT_HERE)
    return NOTHING
