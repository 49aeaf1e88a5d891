"""HTTP endpoints for the client directory and for readiness checks."""

import msgspec

__all__ = ["DirectoryHandler"]

RESOLVE = b"/v1/resolve"
READY = b"/v1/ready"
MAX_ADDRESSES = 64
"""Maximum number of addresses in a directory response."""

TTL_SECONDS = 1
"""Time for which callers cache a directory response. Some cache it three times
as long, and these caches must expire before a stopping host ends."""


class DirectoryHandler:
    """Serves host addresses to callers, and the readiness of this host.

    Args:
        hosts_for: Called with a host name, a region and a data centre;
            returns the addresses of the hosts to use.
        is_ready: Called without arguments; returns whether this host
            accepts requests.
    """

    def __init__(self, hosts_for, is_ready):
        self.hosts_for = hosts_for
        self.is_ready = is_ready

    def handle(self, request):
        """Handle one HTTP request."""
        if request.path == READY:
            respond(request, 200 if self.is_ready() else 503, {})
        elif request.path == RESOLVE:
            self.resolve(request)
        else:
            respond(request, 404, {})

    def resolve(self, request):
        """Respond with the addresses of the hosts to use, or 503."""
        name = argument(request, b"name")
        region = argument(request, b"region")
        data_centre = argument(request, b"zone")
        addresses = self.hosts_for(name, region, data_centre)[:MAX_ADDRESSES]
        if not addresses:
            respond(request, 503, {})
            return
        response = {"addresses": addresses, "ttl_s": TTL_SECONDS}
        respond(request, 200, response)


def argument(request, name):
    """Return a query argument, or an empty string."""
    return request.args.get(name, [b""])[0].decode("utf-8", "replace")


def respond(request, status, value):
    """Send a response with *value* as JSON."""
    body = msgspec.json.encode(value)
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    request.setHeader(b"content-length", b"%d" % len(body))
    request.write(body)
    request.finish()
