"""Callers with plain connections that they use until a host is gone."""

import itertools
import math
import re
import select
from collections import deque
from dataclasses import dataclass

from twisted.internet import defer, error, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol

from hyssopspring.core.addresses import split_address

from .soakstops import Asked

__all__ = ["CallerKind", "RawCallers", "RawConnection"]

CALM_EVERY, STOPPING_EVERY = 0.5, 0.06
"""Seconds between two requests to a host, and to one that stops."""

PIECE_EVERY = 0.1
"""Seconds between two parts of a body."""

SHORTEST_PAUSE, LONGEST_PAUSE = 1.0, 1.5
"""Seconds for which a slow reader reads nothing."""

CONNECT_WITHIN = 1.0
WAIT_AT_END = 3.0
"""Most seconds after the end of a run for which callers wait for responses."""

STATUS = re.compile(rb"HTTP/1\.1 (\d+)")
LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")
CLOSES = re.compile(rb"(?i)\r\nconnection: *close")
ECHO = re.compile(rb"(?i)\r\nx-request-attempt-id: *([^\r]+)")


@dataclass(frozen=True, slots=True)
class CallerKind:
    """What the callers of one kind do.

    Attributes:
        name: Its name.
        path: Path of its requests.
        at_once: Requests that it sends at once.
        pieces: Parts in which the body of a request arrives; 0 for no body.
        slow: Whether it stops reading for a while.
        keeps: Whether it uses a connection until that is closed.
        heeds: Whether it waits for responses and heeds that they announce the
            end of the connection.
    """

    name: str
    path: str = "/moved/x"
    at_once: int = 1
    pieces: int = 0
    slow: bool = False
    keeps: bool = False
    heeds: bool = True


CALLER_KINDS = (
    CallerKind("kept", keeps=True),
    CallerKind("heedless", keeps=True, heeds=False),
    *[CallerKind("fresh")] * 2,
    *[CallerKind("unknown", path="/nowhere/x")] * 3,
    CallerKind("slow", path="/moved/large", slow=True),
    CallerKind("pieces", pieces=5),
    CallerKind("pipelined", at_once=2),
)
"""Kind of each caller of a host."""


class RawConnection(protocol.Protocol):
    """A connection on which each request gets a record.

    Args:
        clock: The runtime's clock.
        life: The `Life` of the process.
        pause: Seconds for which nothing is read after a response has begun.

    Attributes:
        open: Whether the connection is open.
        waiting: `Asked` of each request without a whole response.
        closes: Whether a response has announced that the connection closes.
        changed: Fires at the next whole response and at the end.
    """

    def __init__(self, clock, life, pause=0.0):
        self.clock = clock
        self.life = life
        self.pause = pause
        self.open = False
        self.waiting = deque()
        self.closes = False
        self.changed = defer.Deferred()
        self.buffer = bytearray()
        self.needed = 0
        self.echo = ""

    def connectionMade(self):
        """Note that the connection is open."""
        self.open = True

    def expect(self, asked):
        """Expect the response of a request."""
        asked.after_close = self.closes
        self.waiting.append(asked)

    def send(self, data, sent=()):
        """Send bytes at once, the last ones of the requests *sent*.

        The end of a connection is noticed late if this process is late.
        Requests that are sent after it have reached nobody.
        """
        if not self.open:
            return
        if is_closed_by_peer(self.transport.getHandle()):
            for asked in self.waiting:
                asked.after_end = asked.sent == math.inf
            return
        # Bytes that wait for the event loop would leave later than noted.
        if self.transport.writeSomeData(data) == len(data):
            for asked in sent:
                asked.sent = self.clock.seconds()

    def dataReceived(self, data):
        """Collect responses."""
        if self.pause:
            self.transport.pauseProducing()
            self.clock.callLater(self.pause, self.transport.resumeProducing)
            self.pause = 0.0
        self.buffer += data
        while self.waiting and self.take_response(self.waiting[0]):
            self.waiting.popleft()
            self.notify()

    def take_response(self, asked):
        """Take the response of a request; return whether it is whole."""
        if not self.needed:
            self.read_head(asked)
        if not self.needed or len(self.buffer) < self.needed:
            return False
        asked.whole = asked.status != 200 or self.echo == asked.id
        asked.ended = self.clock.seconds()
        del self.buffer[: self.needed]
        self.needed = 0
        return True

    def read_head(self, asked):
        """Read the head of a response if it is whole."""
        end = self.buffer.find(b"\r\n\r\n") + 4
        if end < 4:
            return
        head = bytes(self.buffer[:end])
        length, echo = LENGTH.search(head), ECHO.search(head)
        asked.status = int(STATUS.match(head)[1])
        self.echo = echo[1].decode() if echo else ""
        self.needed = end + (int(length[1]) if length else 0)
        if CLOSES.search(head):
            self.closes = True
            for later in itertools.islice(self.waiting, 1, None):
                later.after_close = True

    def notify(self):
        """Tell who waits for a response or the end."""
        changed, self.changed = self.changed, defer.Deferred()
        changed.callback(None)

    def connectionLost(self, reason):
        """Note the requests that it took with it."""
        self.open = False
        for asked in self.waiting:
            asked.ended = self.clock.seconds()
        self.notify()

    async def until_answered(self):
        """Wait until all requests have responses or the connection ends."""
        while self.open and self.waiting:
            await self.changed

    def abandon(self):
        """Close without noting an end."""
        self.waiting.clear()
        if self.open:
            self.open = False
            self.transport.abortConnection()


class RawCallers:
    """Send requests of all kinds to each host.

    Args:
        soak: The `Soak`.
        rng: Random number generator.

    Attributes:
        requests: Each `Asked`.
        refused: Connections that were not accepted.
    """

    def __init__(self, soak, rng):
        self.soak = soak
        self.rng = rng
        self.requests = []
        self.refused = 0
        self.connections = set()

    async def run(self, until):
        """Call all hosts until *until* returns true."""
        work = [
            defer.ensureDeferred(self.call(host, kind, until))
            for host in self.soak.fleet.hosts.values()
            for kind in CALLER_KINDS
        ]
        while not until():
            await self.soak.sleep(CALM_EVERY)
        end = self.soak.now() + WAIT_AT_END
        while self.connections and self.soak.now() < end:
            await self.soak.sleep(PIECE_EVERY)
        for connection in list(self.connections):
            connection.abandon()
        await defer.gatherResults(work)

    async def call(self, host, kind, until):
        """Use one connection after the other."""
        while not until():
            connection = await self.connect(host, kind)
            self.connections.add(connection)
            await self.use(connection, host, kind, until)
            connection.abandon()
            self.connections.discard(connection)
            await self.pause(host)

    def pause(self, host):
        """Return a deferred of the time between two requests."""
        stops = host.running and host.current.stopped < math.inf
        every = STOPPING_EVERY if stops else CALM_EVERY
        return self.soak.sleep(self.rng.uniform(0.5, 1.5) * every)

    async def connect(self, host, kind):
        """Return a new connection, which is not open if it was refused."""
        reactor, life = self.soak.reactor, host.current
        pause = self.rng.uniform(SHORTEST_PAUSE, LONGEST_PAUSE) * kind.slow
        connection = RawConnection(reactor, life, pause)
        ip, port = split_address(host.front)
        endpoint = TCP4ClientEndpoint(reactor, ip, port, CONNECT_WITHIN)
        try:
            await connectProtocol(endpoint, connection)
        except error.ConnectError:
            self.refused += 1
        if host.current is not life:
            # Which of the two processes accepted it is not known.
            connection.abandon()
        return connection

    async def use(self, connection, host, kind, until):
        """Send requests on a connection."""
        while connection.open:
            await self.ask(connection, kind)
            if kind.heeds:
                await connection.until_answered()
            heeded = kind.heeds and connection.closes
            if heeded or not kind.keeps or until():
                break
            await self.pause(host)
        await connection.until_answered()

    async def ask(self, connection, kind):
        """Send requests at once, and a body in parts."""
        asked = []
        for _ in range(kind.at_once):
            number = f"raw-{self.soak.seed}-{len(self.requests)}"
            one = Asked(kind.name, number, kind.path, connection.life)
            connection.expect(one)
            asked.append(one)
            self.requests.append(one)
        heads = b"".join(encode(one, kind.pieces) for one in asked)
        connection.send(heads, () if kind.pieces else asked)
        for left in reversed(range(kind.pieces)):
            await self.soak.sleep(PIECE_EVERY)
            connection.send(b"x", () if left else asked)


def is_closed_by_peer(connection):
    """Return whether the other side of a socket has closed or reset it."""
    poll = select.poll()
    poll.register(connection, select.POLLRDHUP)
    return bool(poll.poll(0))


def encode(asked, length):
    """Return the head of a request with a body of *length* bytes."""
    lines = (
        f"{'POST' if length else 'GET'} {asked.path} HTTP/1.1",
        "Host: a.example",
        f"X-Request-Attempt-Id: {asked.id}",
        "X-Deadline-Ms: 1500",
        f"Content-Length: {length}",
    )
    return "\r\n".join((*lines, "", "")).encode()
