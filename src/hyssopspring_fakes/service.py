"""Stand-in for a plain service, such as ratings or documents."""

import click
import msgspec

from hyssopspring.net.serving import (
    LimitedSite,
    Router,
    header,
    read_json,
    respond_error,
    respond_json,
)
from hyssopspring.settings import split_address

from .running import run_site


class FakeService:
    """Echo each call, and remember that it ran.

    Args:
        reactor: The reactor.
        name: Name of the server.
        delay: Seconds that each call takes.

    Attributes:
        port: The listening port, if the server is to end.
        ended_by: Body of a call under which the server ends, or None.
        ended: Whether it has ended; it resets all connections then.
    """

    def __init__(self, reactor, name, delay=0.002):
        self.reactor = reactor
        self.name = name
        self.delay = delay
        self.incarnation = f"{name}-{id(self):x}"
        self.sequence = 0
        self.active = 0
        self.ran = []
        self.refuse = False
        self.leaving = False
        self.hang = False
        self.drop = False
        self.port = None
        self.ended_by = None
        self.ended = False

    def site(self):
        """Return the site to listen with."""
        router = Router(lambda reason: reason.printTraceback())
        router.add("GET", "/load", self.load)
        router.add("GET", "/ran", self.list_ran)
        router.add("POST", "/faults", self.set_faults)
        router.add("*", "/", self.call)
        return LimitedSite(router.resource(), reactor=self.reactor)

    def call(self, request):
        """Run one call."""
        if self.ended:
            request.transport.abortConnection()
            return
        if self.refuse or self.leaving:
            code = "leaving" if self.leaving else "refused"
            headers = [("hyssop-not-run", code)]
            respond_error(request, 503, code, "not run", headers=headers)
            return
        identifier = header(request, "x-request-id")
        key = header(request, "idempotency-key")
        self.ran.append({"id": identifier, "key": key})
        request.notifyFinish().addErrback(lambda _: None)
        if self.drop:
            request.loseConnection()
            return
        request.content.seek(0)
        if self.ended_by and request.content.read() == self.ended_by:
            self.ended = True
            self.port.stopListening()
            request.transport.abortConnection()
            return
        if self.hang:
            return
        self.active += 1
        self.reactor.callLater(self.delay, self.answer, request, identifier)

    def answer(self, request, identifier):
        """Answer one call."""
        self.active -= 1
        request.setHeader(b"x-request-id", identifier.encode())
        request.setHeader(b"x-load", msgspec.json.encode(self.report()))
        request.content.seek(0)
        respond_json(
            request,
            200,
            {
                "server": self.name,
                "method": request.method.decode(),
                "path": request.uri.decode(),
                "body": request.content.read().decode("utf-8", "replace"),
            },
        )

    def report(self):
        """Return a load report."""
        self.sequence += 1
        return {
            "incarnation": self.incarnation,
            "sequence": self.sequence,
            "running": self.active,
            "waiting": 0,
            "slots": 64,
            "leaving": self.leaving,
        }

    def load(self, request):
        """Answer with a load report."""
        respond_json(request, 200, self.report())

    def list_ran(self, request):
        """Answer with the calls that ran."""
        respond_json(request, 200, {"ran": self.ran})

    def set_faults(self, request):
        """Set the fault switches that the body names."""
        for name, value in read_json(request).items():
            if name not in ("refuse", "leaving", "hang", "drop"):
                raise KeyError(name)
            setattr(self, name, bool(value))
        respond_json(request, 200, {})


@click.command()
@click.option("--listen", default="127.0.0.1:9100", show_default=True)
@click.option("--name", default="service", show_default=True)
@click.version_option(package_name="hyssopspring")
def main(listen, name):
    """Run the stand-in for a plain service until stopped."""
    from twisted.internet import reactor

    service = FakeService(reactor, name)
    run_site(reactor, service.site(), split_address(listen))
