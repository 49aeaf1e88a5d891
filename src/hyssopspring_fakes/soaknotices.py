"""Servers of a soak that name limits, ask for rest or leave."""

from dataclasses import dataclass

from twisted.internet import task

from .soakchecks import Violation

__all__ = ["NOTICE_SERVERS", "Notifier", "check_notices"]

NOTICE_SERVERS = 3
"""Servers of each region that say something of themselves."""

WINDOW = 4.0
STABLE = 0.5
"""Seconds over which requests under a limit are counted, and from the first
answer that names it in which it need not hold yet."""

FACTOR, EXTRA = 1.5, 5
"""A server may get so many times what its limit allows, and so many more."""

DRAIN = 4.0
"""Seconds after a word that a server leaves until its host sends no more."""

REST_SLACK, REST_MOST = 0.5, 2
"""Seconds in which a request for rest need not be kept yet, and requests
that may arrive in the rest of it."""

LIMITS = (0.5, 1.5, 4.0)
RESTS = (2.0, 3.0)
SHORTEST, LONGEST = 4.0, 9.0
"""Seconds for which a server says the same."""

WORKED_OFF = 1.0
"""Seconds in which a process that wakes has worked off what had waited."""

SERVED_ON = 6.0
"""Seconds for which a server that leaves still serves."""


@dataclass(frozen=True, slots=True)
class Span:
    """A time in which a server named a limit.

    Attributes:
        server: The server.
        limit: Requests a second.
        start: Its start.
        end: Its end.
    """

    server: str
    limit: float
    start: float
    end: float


class Notifier:
    """Let the servers of one place say one thing after the other.

    Args:
        fleet: The `SoakFleet`.
        reactor: The reactor.
        rng: Random number generator.
        name: Name of the place; each server there has it and a number.
        region: Its region.
    """

    def __init__(self, fleet, reactor, rng, name, region):
        self.fleet = fleet
        self.reactor = reactor
        self.rng = rng
        self.name = name
        self.region = region
        self.number = 0
        self.spans = []
        self.backend = self.add()

    def add(self):
        """Start the next server of the place."""
        self.number += 1
        name = f"{self.name}-{self.number}"
        return self.fleet.add_notice_backend(name, self.region)

    async def run(self, until):
        """Say things until *until* returns true."""
        while not until():
            await self.sleep(self.rng.uniform(0.5, 3.0))
            act = self.rng.choice((self.limit, self.limit, self.rest))
            if self.rng.random() < 0.2:
                act = self.leave
            await act(self.rng.uniform(SHORTEST, LONGEST))

    def sleep(self, seconds):
        """Return a deferred that fires after *seconds*."""
        return task.deferLater(self.reactor, seconds)

    async def limit(self, seconds):
        """Name a limit."""
        limit = self.rng.choice(LIMITS)
        start = self.reactor.seconds()
        self.backend.told = {b"server-limit": b"%.1f" % limit}
        await self.sleep(seconds)
        self.backend.told = {}
        end = self.reactor.seconds()
        self.spans.append(Span(self.backend.name, limit, start, end))

    async def rest(self, seconds):
        """Turn requests away, and ask for rest."""
        rest = self.rng.choice(RESTS)
        self.backend.mood = "full"
        self.backend.told = {b"retry-after": b"%.1f" % rest}
        await self.sleep(seconds)
        self.backend.mood, self.backend.told = "well", {}

    async def leave(self, seconds):
        """Say in answers that the server leaves; another one follows."""
        self.backend.told = {b"server-leaving": b"1"}
        await self.sleep(SERVED_ON)
        self.fleet.remove(self.backend.name)
        self.backend = self.add()


def check_notices(backends, spans, addresses, history, began, stalls=()):
    """Return each `Violation` of what servers said.

    Args:
        backends: Each `FakeBackend`.
        spans: Each `Span`.
        addresses: Name of each host by IP address.
        history: The `History`, which tells what disturbed hosts.
        began: Time at which its times begin.
        stalls: Start and end of each time in which the driver did not run.
    """
    found = []
    for backend in backends:
        found += over_limit(backend, spans)
        for peer, host in addresses.items():
            disturbed = disturbances(history, host, began)
            found += after_leaving(backend, peer, host, disturbed)
            found += in_rest(backend, peer, host, disturbed, stalls)
    return found


def disturbances(history, host, began):
    """Return what returns whether a host was disturbed in a time.

    A process that was ended has forgotten what servers said to it. One that
    wakes sends what had waited before it reads what comes back.
    """
    noted = history.disturbed.get(host, ())

    def disturbed(start, end):
        return any(
            one.start <= end - began and start - began < one.end + WORKED_OFF
            for one in noted
        )

    return disturbed


def over_limit(backend, spans):
    """Find windows in which a server got more than its limit allows."""
    found = []
    for span in spans:
        if span.server != backend.name:
            continue
        allowed = FACTOR * span.limit * WINDOW + EXTRA
        named = [one.at for one in backend.said if one.at >= span.start]
        first = min(named, default=span.end)
        times = [
            at for at, _ in backend.arrived if first + STABLE <= at <= span.end
        ]
        most = max(
            (sum(a <= at < a + WINDOW for at in times) for a in times),
            default=0,
        )
        if most > allowed:
            text = f"{backend.name}: {most} in {WINDOW} s, {allowed} allowed"
            found.append(Violation("LIMIT", None, text))
    return found


def after_leaving(backend, peer, host, disturbed):
    """Find requests of a host to a server that had told it that it leaves."""
    told = [
        said.at
        for said in backend.said
        if said.peer == peer and b"server-leaving" in said.headers
    ]
    if not told:
        return []
    late = [
        at
        for at, address in backend.arrived
        if address == peer
        and at > told[0] + DRAIN
        and not disturbed(told[0], at)
    ]
    text = f"{backend.name}: {len(late)} from {host}"
    return [Violation("DRAIN", None, text)] if late else []


def in_rest(backend, peer, host, disturbed, stalls):
    """Find rests in which a host went on.

    A request that a stalled driver reads may have been sent before the rest.
    """
    found = []
    for said in backend.said:
        if said.peer != peer or b"retry-after" not in said.headers:
            continue
        end = said.at + float(said.headers[b"retry-after"])
        got = sum(
            address == peer
            and said.at + REST_SLACK < at < end
            and not any(a < at < b + WORKED_OFF for a, b in stalls)
            for at, address in backend.arrived
        )
        if got > REST_MOST and not disturbed(said.at, end):
            text = f"{backend.name}: {got} from {host}"
            found.append(Violation("BUDGET", None, text))
    return found
