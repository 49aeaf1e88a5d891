"""Servers of a soak that pause or send without end, and their callers."""

import itertools
import re
from collections import Counter
from dataclasses import dataclass, field
from functools import partial

from twisted.internet import defer, error, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol

from hyssopspring.core.addresses import split_address

from .endless import Endless
from .soakchecks import NOT_RUN, Violation
from .soakfleet import (
    ENDLESS_SERVICES,
    PAUSED_SERVICES,
    REGIONS,
    SHORTEST_TIMEOUT_MS,
    STREAM_SERVICE,
)
from .soakstops import Asked, describe, is_excused

__all__ = ["PatientCallers", "Paused", "Pauses", "add_server", "check_pauses"]

EVENTS = 10
GAP = 0.1
"""Events of a stream, and seconds between them."""

SHORTEST_PAUSE, LONGEST_PAUSE = 1.0, 2.4
"""Seconds for which a sound server writes nothing."""

SHORTEST_CALM, LONGEST_CALM = 0.5, 2.5
"""Seconds between two pauses."""

ALL_SHARE = 0.5
"""Share of the pauses that all servers of a service make together."""

CHANGE_SHARE = 0.3
"""Share of the pauses in which the configuration is changed."""

LONGEST_WAIT = 0.4
"""Most seconds between the requests of a caller."""

DEADLINE_MS = 8000
GIVE_UP = 14.0
"""Seconds after which a caller leaves a request: a process that is suspended
counts the deadline from when it wakes."""

TIMEOUT_MARGIN = 0.5
"""Seconds by which a host may end a request before its timeout."""

LAST_SHARE = 1 / 6
LATEST_SENT = 3.0
"""Last share of the time of a stop in which a response may be broken off, if
its request was sent at most so many seconds after the signal."""

CALLED = (*[(*PAUSED_SERVICES, STREAM_SERVICE)] * 14, *[ENDLESS_SERVICES] * 2)
"""Services that each caller asks for."""

STATUS = re.compile(rb"HTTP/1\.1 (\d+)")
LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")
EVENT = re.compile(rb"id: (\d+)\n")


@dataclass(slots=True)
class Paused:
    """A request of a caller that waits for its whole response.

    Attributes:
        asked: The `Asked` of it, of which the kind is the service.
        received: Bytes that came.
        carriers: `Life` of each process that sent it to a server.
    """

    asked: Asked
    received: int = 0
    carriers: list = field(default_factory=list)


class Pauses:
    """Let the servers of a service pause, one or all together.

    Args:
        soak: The `Soak`.
        rng: Random number generator.
        service: The service.
    """

    def __init__(self, soak, rng, service):
        self.soak = soak
        self.rng = rng
        self.servers = [
            add_server(soak, rng, service, region) for region in REGIONS
        ]

    async def run(self, until):
        """Pause until *until* returns true, some times beside a change."""
        while not until():
            seconds = self.rng.uniform(SHORTEST_PAUSE, LONGEST_PAUSE)
            for backend in self.choose():
                backend.paused_until = self.soak.reactor.seconds() + seconds
            await self.soak.sleep(seconds / 2)
            if self.rng.random() < CHANGE_SHARE:
                self.soak.write_version()
            calm = self.rng.uniform(SHORTEST_CALM, LONGEST_CALM)
            await self.soak.sleep(seconds / 2 + calm)

    def choose(self):
        """Return the servers that pause next."""
        if self.rng.random() < ALL_SHARE:
            return self.servers
        return [self.rng.choice(self.servers)]


def add_server(soak, rng, service, region):
    """Start the server of a service in a region; return it.

    With only one, work that is moved away goes to another region.
    """
    name = f"{region}-{service}"
    backend = soak.fleet.register(name, region, service, "v1")
    backend.events, backend.gap = EVENTS, GAP
    if service in ENDLESS_SERVICES:
        backend.mood = "endless"
        backend.endless = iter(partial(rng.choice, list(Endless)), None)
    return backend


class PatientCallers:
    """Send requests on connections of their own, and wait for the end.

    Args:
        soak: The `Soak`.
        rng: Random number generator.

    Attributes:
        requests: Each `Paused`.
    """

    def __init__(self, soak, rng):
        self.soak = soak
        self.rng = rng
        self.requests = []
        self.numbers = itertools.count(1)

    async def run(self, until):
        """Call until *until* returns true."""
        await defer.gatherResults(
            [
                defer.ensureDeferred(self.call(services, until))
                for services in CALLED
            ]
        )

    async def call(self, services, until):
        """Send one request after the other to random hosts."""
        hosts = list(self.soak.fleet.hosts.values())
        while not until():
            await self.ask(self.rng.choice(hosts), self.rng.choice(services))
            await self.soak.sleep(self.rng.uniform(0.0, LONGEST_WAIT))

    async def ask(self, host, service):
        """Send one request on a new connection."""
        identifier = f"pause-{self.soak.seed}-{next(self.numbers)}"
        life, path = host.current, f"/{service}/{identifier}"
        one = Paused(Asked(service, identifier, path, life))
        reader = _Response(self.soak.reactor, one)
        ip, port = split_address(host.front)
        endpoint = TCP4ClientEndpoint(self.soak.reactor, ip, port, 1.0)
        try:
            await connectProtocol(endpoint, reader)
        except error.ConnectError:
            return
        if host.current is not life:
            # Which of the two processes accepted it is not known.
            reader.transport.abortConnection()
            return
        self.requests.append(one)
        reader.send(encode(one))
        await reader.done
        one.carriers = self.carriers(identifier)

    def report(self):
        """Return a line that tells what became of the requests."""
        ends = Counter(
            f"{one.asked.status} {'whole' if one.asked.whole else 'cut'}"
            if one.received
            else "no byte"
            for one in self.requests
        )
        return f"  patient callers: {len(self.requests)}, {dict(ends)}"

    def carriers(self, identifier):
        """Return the process of each host that sent a request to a server."""
        peers = {
            peer
            for backend in self.soak.fleet.backends.values()
            for peer in backend.senders.get(identifier, ())
        }
        hosts = self.soak.fleet.hosts.values()
        return [
            life
            for host in hosts
            if host.ip in peers
            for life in self.soak.fleet.lives
            if life.host == host.name
        ]


class _Response(protocol.Protocol):
    """Collect one response.

    Args:
        clock: The runtime's clock.
        request: The `Paused` to which it belongs.
    """

    def __init__(self, clock, request):
        self.clock = clock
        self.request = request
        self.data = bytearray()
        self.done = defer.Deferred()

    def connectionMade(self):
        """Wait for a limited time."""
        self.timer = self.clock.callLater(GIVE_UP, self.finish)

    def send(self, data):
        """Send the request at once."""
        if self.transport.writeSomeData(data) == len(data):
            self.request.asked.sent = self.clock.seconds()

    def dataReceived(self, data):
        """Collect data, and finish once the response is whole."""
        self.data += data
        self.request.received += len(data)
        head, found, body = bytes(self.data).partition(b"\r\n\r\n")
        if found:
            self.request.asked.status = int(STATUS.match(head)[1])
            self.read_body(LENGTH.search(head), body)

    def read_body(self, length, body):
        """Finish if the body has ended."""
        asked = self.request.asked
        if length and len(body) >= int(length[1]):
            asked.whole = True
            self.finish()
        elif not length and body.endswith(b"\r\n0\r\n\r\n"):
            events = [int(number) for number in EVENT.findall(body)]
            is_judged = asked.kind != STREAM_SERVICE
            asked.whole = not is_judged or events == list(range(EVENTS))
            self.finish()

    def connectionLost(self, reason):
        """Note the end of the connection."""
        self.finish()

    def finish(self):
        """Note the end, and tell who waits for it."""
        if self.done.called:
            return
        if self.timer.active():
            self.timer.cancel()
        self.request.asked.ended = self.clock.seconds()
        self.transport.abortConnection()
        self.done.callback(None)


def encode(request):
    """Return the bytes of a request."""
    lines = [
        f"GET {request.asked.path} HTTP/1.1",
        "Host: a.example",
        f"X-Request-Attempt-Id: {request.asked.id}",
        f"X-Deadline-Ms: {DEADLINE_MS}",
    ]
    if not request.asked.kind.endswith("plain"):
        lines.append("X-Token-Usage: 100,20")
        lines.append(f"X-Prompt-Prefix: {request.asked.id}:100")
    return "\r\n".join((*lines, "", "")).encode()


def check_pauses(requests, ran, allowed, began=0.0):
    """Return each `Violation` of what is owed to requests at such servers.

    Args:
        requests: Each `Paused`.
        ran: Identifier of each request that a server has run.
        allowed: Seconds in which a process ends after a stop signal.
        began: Time at which the times in texts begin.
    """
    found = []
    for one in requests:
        rule = broken_rule(one, ran, allowed)
        if rule:
            text = f"{describe(one.asked, began)}, {one.received} bytes"
            found.append(Violation(rule, None, text))
    return found


def broken_rule(one, ran, allowed):
    """Return the rule that the outcome of a request breaks, or ""."""
    asked = one.asked
    if not one.received:
        return "" if is_excused(asked, allowed) else "NO-BYTE"
    if asked.whole and asked.status in NOT_RUN:
        return "REFUSED" if asked.id in ran else ""
    if asked.kind not in PAUSED_SERVICES or asked.id not in ran:
        return ""
    if is_excused(asked, allowed) or is_disturbed(one):
        return ""
    if outlasts_stop(asked, allowed):
        return ""
    if asked.whole and asked.status < 500:
        return ""
    took = asked.ended - asked.sent
    if took > SHORTEST_TIMEOUT_MS / 1000 - TIMEOUT_MARGIN:
        return ""
    return "GIVEN-UP"


def outlasts_stop(asked, allowed):
    """Return whether a response ran on until its process had to end it.

    Args:
        asked: The `Asked`.
        allowed: Seconds in which a process ends after a stop signal.
    """
    stopped = asked.life.stopped
    latest = stopped + allowed * (1 - LAST_SHARE)
    return asked.sent <= stopped + LATEST_SENT and asked.ended >= latest


def is_disturbed(one):
    """Return whether a process that served a request may have broken it off.

    A process that stops ends what others have sent to it as well.
    """
    sent, ended = one.asked.sent, one.asked.ended
    lives = (one.asked.life, *one.carriers)
    return any(
        life.suspended(sent, ended) or sent <= life.killed <= ended
        for life in lives
    ) or any(
        life.stopped <= ended and sent <= life.ended for life in one.carriers
    )
