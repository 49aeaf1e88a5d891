"""What the servers of other regions can take, as this region believes."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from .work import READING_COST, crowding

__all__ = ["FarLoad", "RegionLoad", "Room", "SentParts"]

REPORT_LAG = 0.17
"""Seconds by which a report lags behind what was sent: a request needs 80
ms to reach the other region, and so does the report that counts it."""

UNTOLD_USED = 0.5
"""Part of its places that a server is taken to have in use in a region
that is heard but has not told its load."""

REMEMBERED = 8.0
"""Seconds for which a part is taken to be cached where it was sent; an
engine under load keeps its prompts for about that long."""

MOST_PARTS = 4096
"""Parts of prompts that are remembered for one region."""


@dataclass(frozen=True, slots=True)
class Room:
    """Room at one server of another region.

    Attributes:
        wait: Seconds that a new request would wait.
        used: Part of its slots or memory in use; may exceed 1.
    """

    wait: float
    used: float


@dataclass(frozen=True, slots=True)
class RegionLoad:
    """What a region says of one service.

    Attributes:
        slots: Requests that one server runs at once.
        rooms: `Room` of the servers that take requests, the best first.
    """

    slots: int
    rooms: tuple


@dataclass(slots=True, eq=False)
class Believed:
    """Room at one server, with what was sent there since the report."""

    wait: float
    used: float

    def cost(self, seconds):
        """Return the seconds that count in a comparison."""
        reading = seconds * (1.0 + READING_COST)
        return self.wait + reading + crowding(self.used)


@dataclass(slots=True, eq=False)
class FarLoad:
    """One service of another region, between its reports.

    A report is as old as the way between regions is long. Without a count
    of what was sent in the meantime, all requests until the next report
    would go to the region that looked best in the last one; with a count
    for the region as a whole, its best server would seem to fill alone
    while the others stay idle. So each server is counted by itself.

    Attributes:
        slots: Requests that one server runs at once.
        servers: `Believed` of each server.
        at: Time up to which waits have run down.
        sent: Time and seconds of work of what was sent of late.
    """

    slots: int = 1
    servers: list = field(default_factory=list)
    at: float = 0.0
    sent: deque = field(default_factory=deque)

    def take(self, load, now):
        """Take over a report, and count what it cannot know of."""
        self.slots = max(1, load.slots)
        self.servers = [Believed(room.wait, room.used) for room in load.rooms]
        self.at = now
        while self.sent and now - self.sent[0][0] > REPORT_LAG:
            self.sent.popleft()
        for _, seconds in self.sent:
            self.add(seconds)

    def best(self, seconds, now):
        """Return the `Believed` server that would answer first.

        Args:
            seconds: Seconds of work that the request brings.
            now: The time.
        """
        passed = max(0.0, now - self.at)
        self.at = max(self.at, now)
        for server in self.servers:
            server.wait = max(0.0, server.wait - passed)
        return min(self.servers, key=lambda one: one.cost(seconds))

    def count(self, seconds, now):
        """Count a request that is sent there now."""
        self.sent.append((now, seconds))
        self.add(seconds)

    def add(self, seconds):
        """Put work on the server that would take it."""
        if not self.servers:
            return
        server = min(self.servers, key=lambda one: one.cost(seconds))
        server.wait += seconds
        server.used += 1.0 / self.slots


class SentParts:
    """Parts of prompts that were sent to one region of late.

    Its engines have read them, so the next prompt with the same parts is
    answered sooner there than in a third region, which would read them
    again.
    """

    def __init__(self):
        self.times = OrderedDict()

    def note(self, parts, now):
        """Note that *parts* are sent there."""
        for part, _ in parts:
            self.times[part] = now
            self.times.move_to_end(part)
        while len(self.times) > MOST_PARTS:
            self.times.popitem(last=False)

    def fresh_tokens(self, demand, now):
        """Return the tokens of a prompt that must be read there."""
        known = 0
        for part, tokens in demand.parts:
            if now - self.times.get(part, -REMEMBERED) >= REMEMBERED:
                break
            known += tokens
        return max(1, demand.tokens_in - known)


def untold(slots, servers):
    """Return the `RegionLoad` of a region that has told nothing."""
    return RegionLoad(slots, (Room(0.0, UNTOLD_USED),) * servers)
