"""The pages that callers and the platform ask: directory, readiness."""

import msgspec

__all__ = ["DirectoryHandler"]

RESOLVE = b"/v1/resolve"
READY = b"/v1/ready"
MAX_ADDRESSES = 64
TTL_SECONDS = 1
"""Seconds for which callers keep a directory answer. Some keep it three
times as long, which must end before a stopping host does."""


class DirectoryHandler:
    """Answer where to connect, and whether this host takes requests.

    Args:
        hosts_for: Called with a host name, a region and a data centre;
            returns the addresses of the hosts to use.
        is_ready: Called for whether this host takes requests.
    """

    def __init__(self, hosts_for, is_ready):
        self.hosts_for = hosts_for
        self.is_ready = is_ready

    def handle(self, request):
        """Answer one HTTP request."""
        if request.path == READY:
            respond(request, 200 if self.is_ready() else 503, {})
        elif request.path == RESOLVE:
            self.resolve(request)
        else:
            respond(request, 404, {})

    def resolve(self, request):
        """Answer with the hosts to use."""
        name = argument(request, b"name")
        region = argument(request, b"region")
        data_centre = argument(request, b"zone")
        addresses = self.hosts_for(name, region, data_centre)[:MAX_ADDRESSES]
        if not addresses:
            respond(request, 503, {})
            return
        answer = {"addresses": addresses, "ttl_s": TTL_SECONDS}
        respond(request, 200, answer)


def argument(request, name):
    """Return an argument of the query, or an empty string."""
    return request.args.get(name, [b""])[0].decode("utf-8", "replace")


def respond(request, status, value):
    """Answer with *value* as JSON."""
    body = msgspec.json.encode(value)
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    request.setHeader(b"content-length", b"%d" % len(body))
    request.write(body)
    request.finish()
