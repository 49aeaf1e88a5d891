"""Minimal HTTP proxy, the baseline that the gateway is compared with.

Usage: ``python passthrough.py LISTEN TARGET``, both as ``ip:port``.
"""

import sys

from twisted.internet import reactor
from twisted.web import resource, server
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    readBody,
)
from twisted.web.http_headers import Headers

LISTEN, TARGET = sys.argv[1:3]
FORWARDED_HEADERS = ("content-type", "x-request-id")
POOL = HTTPConnectionPool(reactor)
POOL.maxPersistentPerHost = 64
AGENT = Agent(reactor, pool=POOL)


class PassThrough(resource.Resource):
    """Forward each request to the target and return its response."""

    isLeaf = True

    def render(self, request):
        """Forward one request."""
        pending = AGENT.request(
            request.method,
            b"http://" + TARGET.encode() + request.uri,
            Headers(
                {
                    name: request.requestHeaders.getRawHeaders(name, [])
                    for name in FORWARDED_HEADERS
                }
            ),
            FileBodyProducer(request.content),
        )
        pending.addCallback(self.read_response, request)
        return server.NOT_DONE_YET

    def read_response(self, response, request):
        """Set the status of the response and read its body."""
        request.setResponseCode(response.code)
        return readBody(response).addCallback(self.send_response, request)

    def send_response(self, body, request):
        """Send the buffered response body to the caller."""
        request.setHeader(b"content-length", str(len(body)).encode())
        request.write(body)
        request.finish()


host, port = LISTEN.rsplit(":", 1)
site = server.Site(PassThrough())
site.noisy = False
reactor.listenTCP(int(port), site, interface=host)
reactor.run()
