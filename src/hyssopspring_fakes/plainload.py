"""Plain servers of different speeds under a load, without network."""

import heapq
import random
from dataclasses import dataclass

from hyssopspring.traffic.decisions import Placed, PlacementQuery
from hyssopspring.traffic.placing import Placer
from hyssopspring.traffic.reportedload import ReportedLoad
from hyssopspring.traffic.routes import Service
from hyssopspring.traffic.serverhealth import AttemptResult
from hyssopspring.traffic.servers import Registry, ServerEntry

from .emulation import Machine

__all__ = ["PlainShape", "play_calls"]


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainShape:
    """Plain servers and the calls that they get.

    Attributes:
        speeds: Speed of each server, relative to others.
        slow_phases: `SlowPhases` of the servers, or `NOTHING`.
        rate: Calls a second.
        seconds: Length.
        work: Seconds of a call at a server of the usual speed.
        objective: Seconds to an answer.
        slots: Calls that a server runs at once.
        reports: Whether servers report their load.
        off: Each `Mechanism` that is disabled.
    """

    speeds: tuple
    slow_phases: object
    rate: float
    seconds: float = 12.0
    work: float = 0.0225
    objective: float = 0.44
    slots: int = 6
    reports: bool = True
    off: frozenset = frozenset()


class CallServer:
    """One plain server: runs one call per slot, the oldest first."""

    def __init__(self, name, machine, shape):
        self.name = name
        self.machine = machine
        self.shape = shape
        self.running = 0
        self.waiting = []
        self.calls = 0

    def load(self, now):
        """Return the `ReportedLoad` of the server."""
        return ReportedLoad(
            self.running,
            len(self.waiting),
            self.shape.slots,
            self.machine.slowdown(now),
        )

    def start_next(self, now, rng):
        """Start a waiting call if a slot is free.

        Returns:
            A list with the end of the call, the server and the call, or an
            empty one.
        """
        if self.running >= self.shape.slots or not self.waiting:
            return []
        self.running += 1
        self.calls += 1
        number, at = self.waiting.pop(0)
        slowness = self.machine.slowdown(now) / self.machine.speed
        seconds = self.shape.work * rng.uniform(0.8, 1.2) * slowness
        return [(now + seconds, number, at, self)]


def play_calls(shape, seed=1):
    """Play *shape*; return the on-time fraction and the calls by server."""
    rng = random.Random(seed)
    registry = Registry({"a": "north"})
    servers = {}
    for place, speed in enumerate(shape.speeds):
        name = f"p{place}"
        machine = Machine(
            speed, shape.slow_phases, random.Random(f"{name} {seed}")
        )
        servers[name] = CallServer(name, machine, shape)
        entry = ServerEntry(
            id=name,
            service="plain",
            address=name,
            data_centre="a",
            slots=shape.slots,
        )
        registry.put(entry, 0.0)
    service = Service(name="plain")
    placer = Placer(
        "north",
        registry,
        lambda name: service,
        lambda one: 6.0,
        rng,
        lambda now: {"north"},
        disabled=shape.off,
    )
    ends = []
    now, number, on_time = 0.0, 0, 0
    while now < shape.seconds:
        now += rng.expovariate(shape.rate)
        while ends and ends[0][0] <= now:
            done, ended, at, server = heapq.heappop(ends)
            server.running -= 1
            on_time += done - at <= shape.objective
            if shape.reports:
                placer.record_placement_load(
                    "h", ended, server.load(done), done - at, done
                )
            placer.record_response_start("h", ended, done - at, done)
            placer.record_attempt_end(
                "h", ended, server.name, AttemptResult.ANSWERED, done
            )
            for one in server.start_next(done, rng):
                heapq.heappush(ends, one)
        number += 1
        query = PlacementQuery(
            host="h",
            number=number,
            service="plain",
            time_left=shape.objective,
            patience=1.5,
        )
        decision = placer.place(query, now)
        if isinstance(decision, Placed):
            server = servers[decision.server_id]
            server.waiting.append((number, now))
            for one in server.start_next(now, rng):
                heapq.heappush(ends, one)
    counts = {name: server.calls for name, server in servers.items()}
    return on_time / number, counts, placer
