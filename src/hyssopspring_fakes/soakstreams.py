"""Streams of a soak: servers of several versions, and callers that resume."""

import math
import re
from dataclasses import dataclass, field

from twisted.internet import defer, protocol, task
from twisted.web.client import ResponseDone
from twisted.web.http_headers import Headers

from .soakchecks import Violation
from .soakfleet import STREAM_SERVICE

__all__ = [
    "Release",
    "Resumption",
    "Stream",
    "StreamCaller",
    "check_streams",
    "shares",
]

EVENTS = 8
GAP = 0.06
"""Events of a stream, and seconds between them."""

SERVERS_OF_VERSION = 2
"""Servers of each version in a region."""

BROKEN_SHARE = 0.3
"""Share of the servers that break streams off at a time."""

MAX_TRIES, MAX_LATE_TRIES = 3, 6
"""Tries of a caller for a stream, and those of one that comes back late."""

FEWEST_JUDGED = 12
"""Streams that are resumed at hosts in touch from which on the share that goes
on is judged."""

HELD_SECONDS = 9.0
"""Seconds for which one version serves after all others have left at once."""

LATE_AFTER = (0.3, 2.0, 6.5)
"""Seconds after which late callers come back; the last is more than the route
gives one attempt."""

EVENT = re.compile(rb"id: (\d+)\ndata: event \d+ of (\S+)\n\n")


@dataclass(frozen=True, slots=True)
class Resumption:
    """A try that begins a stream, or takes it up again.

    Attributes:
        host: The host.
        sent: Time at which it was sent.
        went_on: Whether further events came, or the end.
        refused: Whether the host refused it.
        servers: Servers of the stream's version that took requests; 0 for a
            new stream.
    """

    host: str
    sent: float
    went_on: bool
    refused: bool
    servers: int = 0


@dataclass(slots=True)
class Stream:
    """What one caller has received of its stream.

    Attributes:
        id: Identifier of the first attempt with an event, or "".
        events: Number and version of each event.
        complete: Whether a response ended as complete.
        began: Time at which that attempt was sent.
        opened: `Resumption` of each try without events before it.
        resumed: `Resumption` of each try that resumes it.
    """

    id: str = ""
    events: list = field(default_factory=list)
    complete: bool = False
    began: float = 0.0
    opened: list = field(default_factory=list)
    resumed: list = field(default_factory=list)


class Release:
    """Replace the servers of a region by those of another version, in turn.

    Args:
        fleet: The `SoakFleet`.
        reactor: The reactor.
        rng: Random number generator.
        region: The region.
    """

    def __init__(self, fleet, reactor, rng, region):
        self.fleet = fleet
        self.reactor = reactor
        self.rng = rng
        self.region = region
        self.number = 0
        self.held_until = 0.0
        self.backends = []
        for version in ("v1", "v2"):
            for _ in range(SERVERS_OF_VERSION):
                self.backends.append(self.add(version))

    def add(self, version):
        """Start a server of a version."""
        self.number += 1
        name = f"{self.region}-s{self.number}"
        backend = self.fleet.add_stream_backend(name, self.region, version)
        backend.events, backend.gap = EVENTS, GAP
        return backend

    def sleep(self, seconds):
        """Return a deferred that fires after *seconds*."""
        return task.deferLater(self.reactor, seconds)

    async def run(self, until):
        """Release versions, and let servers break streams off."""
        while not until():
            for backend in self.backends:
                broken = self.rng.random() < BROKEN_SHARE
                backend.mood = "cut" if broken else "well"
                backend.cut_after = self.rng.randint(0, EVENTS - 1)
                backend.unframed = self.rng.random() < 0.5
            await self.sleep(self.rng.uniform(0.5, 1.5))
            if self.held_until < self.reactor.seconds() and (
                self.rng.random() < 0.3
            ):
                await self.replace_oldest()
        for backend in self.backends:
            backend.mood = "well"

    async def replace_oldest(self):
        """Replace the oldest server by one of the next version."""
        oldest = self.backends.pop(0)
        count = sum(
            one.version == self.backends[-1].version for one in self.backends
        )
        version = self.backends[-1].version
        if count >= SERVERS_OF_VERSION:
            version = f"v{int(version[1:]) + 1}"
        self.backends.append(self.add(version))
        await self.sleep(0.5)
        self.fleet.drain(oldest.name)
        self.reactor.callLater(6.0, self.fleet.remove, oldest.name)

    def unify(self, version, in_place):
        """Replace all servers of other versions at once, then none for long.

        Args:
            version: The version.
            in_place: Whether they start again under their identifiers.
        """
        self.held_until = self.reactor.seconds() + HELD_SECONDS
        others = [one for one in self.backends if one.version != version]
        for backend in others:
            if in_place:
                self.fleet.restart_backend(backend, version)
                continue
            self.fleet.remove(backend.name)
            self.backends.remove(backend)
            self.backends.append(self.add(version))


class StreamCaller:
    """Ask for streams, and take them up again where they break off.

    Args:
        soak: The `Soak`.
        rng: Random number generator.
        name: Its name.
        late: Whether it leaves its streams, and comes back seconds later.
    """

    def __init__(self, soak, rng, name, *, late=False):
        self.soak = soak
        self.rng = rng
        self.name = name
        self.late = late
        self.count = 0
        self.streams = []

    async def run(self, until):
        """Ask for one stream after the other."""
        while not until():
            stream = Stream()
            self.streams.append(stream)
            for _ in range(MAX_LATE_TRIES if self.late else MAX_TRIES):
                await self.attempt(stream)
                if stream.complete or until():
                    break
                pause = self.rng.uniform(0.0, 0.3)
                if self.late:
                    pause = self.rng.choice(LATE_AFTER)
                await self.soak.sleep(pause)
            await self.soak.sleep(self.rng.uniform(0.0, 0.3))

    async def attempt(self, stream):
        """Send one attempt to a random host."""
        self.count += 1
        host = self.rng.choice(list(self.soak.fleet.hosts.values()))
        identifier = f"{self.name}-{self.count}"
        headers = {
            b"host": [b"a.example"],
            b"x-request-attempt-id": [identifier.encode()],
            b"x-token-usage": [b"100,20"],
            b"x-prompt-prefix": [f"{self.name}:100".encode()],
            b"x-deadline-ms": [b"5000"],
        }
        if stream.events:
            headers[b"last-event-id"] = [b"%d" % stream.events[-1][0]]
            headers[b"resumes"] = [stream.id.encode()]
        length = math.inf
        if self.late and not stream.events:
            length = self.rng.randint(1, EVENTS - 2)
        before, sent = len(stream.events), self.soak.now()
        servers = self.soak.servers_of(stream.events[0][1]) if before else 0
        stream.complete = False
        url = f"http://{host.front}/{STREAM_SERVICE}/{self.name}".encode()
        work = defer.ensureDeferred(
            self.receive(host, url, Headers(headers), stream, length)
        )
        work.addTimeout(6.0, self.soak.reactor)
        status = 0
        try:
            status = await work
        except Exception:  # noqa: BLE001 - no whole answer, however it failed
            stream.complete = False
        went_on = stream.complete or len(stream.events) > before
        tries = stream.resumed if before else stream.opened
        tries.append(
            Resumption(
                host.name, sent, went_on, status not in (0, 200), servers
            )
        )
        if stream.events and not before:
            stream.id, stream.began = identifier, sent

    async def receive(self, host, url, headers, stream, length):
        """Collect at most so many events of a response; return its status."""
        agent = self.soak.agent(host)
        response = await agent.request(b"POST", url, headers)
        reader = _Reader(stream, length)
        response.deliverBody(reader)
        ended = await reader.done
        stream.complete = ended and response.code == 200
        return response.code


class _Reader(protocol.Protocol):
    """Collect events, and leave after the last of *length*."""

    def __init__(self, stream, length):
        self.stream = stream
        self.length = length
        self.buffer = b""
        self.done = defer.Deferred(lambda _: self.transport.loseConnection())

    def dataReceived(self, data):
        """Collect the events that are complete."""
        self.buffer += data
        end = self.buffer.rfind(b"\n\n") + 2
        if end > 1:
            found = EVENT.findall(self.buffer[:end])
            self.stream.events += [(int(n), by.decode()) for n, by in found]
            self.buffer = self.buffer[end:]
            if len(self.stream.events) >= self.length:
                self.transport.loseConnection()

    def connectionLost(self, reason):
        """Tell whether the response ended as complete."""
        if not self.done.called:
            self.done.callback(bool(reason.check(ResponseDone)))


def check_streams(streams, history, stable):
    """Return each `Violation` of what callers received of streams.

    Args:
        streams: Each `Stream`.
        history: The `History`, which tells what disturbed hosts.
        stable: Seconds without a disturbance after which a host counts as in
            touch.
    """
    found = []
    for stream in streams:
        numbers = [number for number, _ in stream.events]
        versions = sorted({version for _, version in stream.events})
        if numbers != list(range(len(numbers))):
            text = f"stream {stream.id}: events {numbers}"
            found.append(Violation("ORDER", None, text))
        if stream.complete and len(numbers) < EVENTS:
            text = f"stream {stream.id} ended as complete after {numbers}"
            found.append(Violation("ORDER", None, text))
        if len(versions) > 1:
            text = f"stream {stream.id} holds events of {versions}"
            found.append(Violation("VERSIONS", None, text))
    judged = [
        one.went_on
        for stream in streams
        for one in stream.resumed
        if (one.went_on or one.refused)
        and one.servers >= SERVERS_OF_VERSION
        and history.in_touch(one.host, one.sent, one.sent, stable)
    ]
    if len(judged) >= FEWEST_JUDGED and sum(judged) * 2 < len(judged):
        text = f"{sum(judged)} of {len(judged)} resumed streams went on"
        found.append(Violation("LOST", None, text))
    return found + check_share(streams, history, stable)


def check_share(streams, history, stable):
    """Return each `Violation` of the share that goes on after kills.

    It is at least half the share of new streams that begin, and a kill of all
    hosts excuses nothing. Where it came between, it is judged by itself too.
    """
    new, *resumed = shares(streams, history, stable)
    return [
        Violation(
            "LOST",
            None,
            f"{sum(went_on)} of {len(went_on)} resumed streams went on, "
            f"{sum(new)} of {len(new)} new ones began",
        )
        for went_on in resumed
        if len(went_on) >= FEWEST_JUDGED
        and sum(went_on) * 2 * len(new) < sum(new) * len(went_on)
    ]


def shares(streams, history, stable):
    """Return whether each try went on at hosts that no other fault disturbed.

    Returns:
        One list for tries of new streams, one for those that resume streams
        while their version serves, and one for those of them after a kill of
        all hosts.
    """

    def judged(one):
        around = history.around(one.host, one.sent, one.sent, stable)
        answered = one.went_on or one.refused
        return answered and all(noted.kills_all for noted in around)

    resumed = [
        (history.kills(one.host, stream.began, one.sent), one.went_on)
        for stream in streams
        for one in stream.resumed
        if one.servers >= SERVERS_OF_VERSION and judged(one)
    ]
    return (
        [o.went_on for stream in streams for o in stream.opened if judged(o)],
        [went_on for _, went_on in resumed],
        [went_on for kills, went_on in resumed if kills],
    )
