"""The least that a proxy can be: the floor that the gateway is held to.

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
PASSED = ("content-type", "x-request-id")
POOL = HTTPConnectionPool(reactor)
POOL.maxPersistentPerHost = 64
AGENT = Agent(reactor, pool=POOL)


class PassThrough(resource.Resource):
    """Send each request on and its answer back."""

    isLeaf = True

    def render(self, request):
        """Pass one request through."""
        work = AGENT.request(
            request.method,
            b"http://" + TARGET.encode() + request.uri,
            Headers(
                {
                    name: request.requestHeaders.getRawHeaders(name, [])
                    for name in PASSED
                }
            ),
            FileBodyProducer(request.content),
        )
        work.addCallback(self.answered, request)
        return server.NOT_DONE_YET

    def answered(self, response, request):
        """Read the answer."""
        request.setResponseCode(response.code)
        return readBody(response).addCallback(self.whole, request)

    def whole(self, body, request):
        """Send the answer back."""
        request.setHeader(b"content-length", str(len(body)).encode())
        request.write(body)
        request.finish()


host, port = LISTEN.rsplit(":", 1)
site = server.Site(PassThrough())
site.noisy = False
reactor.listenTCP(int(port), site, interface=host)
reactor.run()
