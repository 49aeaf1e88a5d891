"""Prompts of a soak: servers that crash under parts, and their callers."""

from dataclasses import dataclass, field

from twisted.internet import defer, task
from twisted.web.http_headers import Headers

from hyssopspring.net.clients import read_body

from .soakchecks import Violation
from .soakfleet import PROMPT_SERVICE

__all__ = [
    "PartCaller",
    "PartHistory",
    "PartServers",
    "PromptSeen",
    "check_parts",
]

SERVERS_IN_REGION = 3
EVENTS = 4
GAP = 0.03
"""Events of a stream, and seconds between them."""

BACK_AFTER = 1.5
"""Seconds from the crash of a server to the start of another."""

CRASH_AFTER = 0.05
"""Seconds from the begin of a request to the crash of its server."""

PART_SECONDS = 12.0
"""Seconds for which requests come with one crashing part."""

BAD_SHARE = 0.25
"""Share of requests with a crashing part."""

USUAL_PARTS = 6
"""Parts that sound requests have beside the first."""

CRASHES_BEFORE_BOUND = 5
MOST_LATE = 3
"""Crashes of one part from which on the bound counts, and requests with it
that may reach servers later than that."""

SETTLED_SECONDS = 2.0
"""Seconds without a disturbance after which a host knows which parts are
blocked, and seconds after the fifth crash from which on the bound counts."""

FEWEST_JUDGED = 20
"""Sound requests from which on the share that is served is judged."""


@dataclass(frozen=True, slots=True)
class PromptSeen:
    """A request that reached a server.

    Attributes:
        at: Time of its arrival.
        host: The host that sent it.
        parts: Shared parts of its prompt.
    """

    at: float
    host: str
    parts: tuple


@dataclass(slots=True)
class PartHistory:
    """What became of requests with prompts.

    Attributes:
        seen: Each `PromptSeen`.
        crashes: Times of server crashes, by part.
        sound: Time, host and status of each sound request.
    """

    seen: list = field(default_factory=list)
    crashes: dict = field(default_factory=dict)
    sound: list = field(default_factory=list)


class PartServers:
    """Servers of a region, of which those that crash are replaced.

    Args:
        soak: The `Soak`.
        region: The region.
        history: The `PartHistory`.
    """

    def __init__(self, soak, region, history):
        self.soak = soak
        self.region = region
        self.history = history
        self.number = 0
        self.ended = False
        for _ in range(SERVERS_IN_REGION):
            self.add()

    def add(self):
        """Start a server."""
        self.number += 1
        name = f"{self.region}-p{self.number}"
        backend = self.soak.fleet.add_prompt_backend(name, self.region)
        backend.events, backend.gap = EVENTS, GAP
        backend.crash_after = CRASH_AFTER
        backend.on_prompt = lambda peer, parts: self.note(backend, peer, parts)

    def note(self, backend, peer, parts):
        """Note a request; let its server crash under a bad part."""
        hosts = self.soak.fleet.hosts.values()
        name = next((one.name for one in hosts if one.ip == peer), peer)
        now = self.soak.now()
        self.history.seen.append(PromptSeen(now, name, tuple(parts)))
        bad = [part for part in parts if part.startswith("bad-")]
        backend.crashing_parts |= frozenset(bad)
        if bad and backend.up:
            self.soak.reactor.callLater(
                CRASH_AFTER, self.replace, backend, bad[0]
            )

    def replace(self, backend, part):
        """Note the crash of a server and start another in its place."""
        key = f"servers/{backend.name}"
        if key not in self.soak.fleet.store.items:
            return
        self.history.crashes.setdefault(part, []).append(self.soak.now())
        self.soak.fleet.remove(backend.name)
        self.soak.reactor.callLater(BACK_AFTER, self.add_again)

    def add_again(self):
        """Start a server unless all is over."""
        if not self.soak.fleet.stopping:
            self.add()


class PartCaller:
    """Send requests of which no two are alike to random hosts.

    Args:
        soak: The `Soak`.
        rng: Random number generator.
        name: Its name.
        history: The `PartHistory`.
    """

    def __init__(self, soak, rng, name, history):
        self.soak = soak
        self.rng = rng
        self.name = name
        self.history = history
        self.count = 0

    async def run(self, until):
        """Send one request after the other."""
        while not until():
            is_bad = self.rng.random() < BAD_SHARE
            parts = ["common", f"usual-{self.rng.randrange(USUAL_PARTS)}"]
            if is_bad:
                bad = f"bad-{int(self.soak.now() / PART_SECONDS)}"
                parts.insert(self.rng.randrange(3), bad)
            host = self.rng.choice(list(self.soak.fleet.hosts.values()))
            sent = self.soak.now()
            status = await self.send(host, parts)
            if not is_bad:
                self.history.sound.append((sent, host.name, status))
            await task.deferLater(
                self.soak.reactor, self.rng.uniform(0.05, 0.3)
            )

    async def send(self, host, parts):
        """Send one request; return its status, or 0 if it was cut."""
        self.count += 1
        identifier = f"{self.name}-{self.count}"
        stated = ",".join(f"{part}:20" for part in (*parts, identifier))
        headers = {
            b"host": [b"a.example"],
            b"x-request-attempt-id": [identifier.encode()],
            b"x-token-usage": [b"100,20"],
            b"x-prompt-prefix": [stated.encode()],
            b"x-deadline-ms": [b"3000"],
        }
        url = f"http://{host.front}/{PROMPT_SERVICE}/{identifier}".encode()
        work = defer.ensureDeferred(self.receive(host, url, Headers(headers)))
        work.addTimeout(4.0, self.soak.reactor)
        try:
            return await work
        except Exception:  # noqa: BLE001 - no whole answer, however it failed
            return 0

    async def receive(self, host, url, headers):
        """Read a whole response; return its status."""
        agent = self.soak.agent(host)
        response = await agent.request(b"POST", url, headers)
        await read_body(response)
        return response.code


def check_parts(parts, history, stable=SETTLED_SECONDS):
    """Return each `Violation` of the bounds on parts that crash servers.

    Args:
        parts: The `PartHistory`.
        history: The `History`, which tells what disturbed hosts.
        stable: Seconds without a disturbance after which a host is judged.
    """
    found = []
    for part, times in parts.crashes.items():
        if len(times) < CRASHES_BEFORE_BOUND:
            continue
        bound = sorted(times)[CRASHES_BEFORE_BOUND - 1] + stable
        late = [
            one
            for one in parts.seen
            if part in one.parts
            and one.at > bound
            and history.in_touch(one.host, one.at, one.at, stable)
        ]
        if len(late) > MOST_LATE:
            text = f"{len(late)} requests with {part} reached servers late"
            found.append(Violation("BUDGET", None, text))
    judged = [
        status == 200
        for sent, host, status in parts.sound
        if history.in_touch(host, sent, sent + 1.0, stable)
    ]
    if len(judged) >= FEWEST_JUDGED and sum(judged) * 2 < len(judged):
        text = f"{sum(judged)} of {len(judged)} sound prompts were served"
        found.append(Violation("LOST", None, text))
    return found
