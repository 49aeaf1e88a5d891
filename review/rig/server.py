"""Stand-in of a backend server."""

import asyncio
import json
import time
from dataclasses import dataclass, field

from . import http

KEPT_SECONDS = 5


@dataclass
class Arrival:
    """A request that arrived at a server.

    Attributes:
        at: Time on the steady clock.
        id: Identifier of the client attempt.
        peer: IP address of the host that sent it.
        headers: Its headers.
        outcome: What became of it.
    """

    at: float
    id: str
    peer: str
    headers: dict = field(default_factory=dict)
    outcome: str = ""


class Server:
    """A sound server of one service.

    Args:
        store: The `Store`.
        name: Its identifier.
        service: Its service.
        zone: Its zone.
        ip: IP address to listen at.

    Attributes:
        work: Coroutine function of an `Arrival` and a `Call`, or None for a
            plain answer at once.
        arrivals: Each `Arrival`.
        extra: Headers of all its answers.
    """

    def __init__(self, store, name, service, zone, ip, version="v1"):
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.ip = ip
        self.version = version
        self.born = int(time.time() * 1000)
        self.work = None
        self.arrivals = []
        self.extra = {}
        self.server = None
        self.address = ""
        self.seq = 1

    async def start(self):
        """Listen, and register."""
        self.server, port = await http.serve(self.ip, self.serve)
        self.address = f"{self.ip}:{port}"
        self.register()

    def register(self, state="ready", cold_left_ms=0):
        """Write its entry."""
        self.seq += 1
        self.store.put_json(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": 16,
                "state": state,
                "cold_left_ms": cold_left_ms,
                "seq": self.seq,
                "born": self.born,
            },
        )

    def headers(self, identifier):
        """Return the headers of an answer that it signs."""
        return {
            "X-Request-Attempt-Id": identifier,
            "X-Response-Stamp": f"{self.name}.{len(self.arrivals)}",
            "Keep-Alive": f"timeout={KEPT_SECONDS}",
            **self.extra,
        }

    async def serve(self, call):
        """Serve one call."""
        headers = call.message.headers
        if call.path in ("/v1/report", "/health"):
            body = json.dumps({"born": self.born, "seq": self.seq}).encode()
            await call.respond(
                200, {"X-Instance-Id": self.name, **self.extra}, body
            )
            return
        identifier = headers.get("x-request-attempt-id", "")
        arrival = Arrival(time.monotonic(), identifier, call.peer, headers)
        expected = headers.get("x-expect-instance", self.name)
        if expected != self.name:
            await call.respond(421, {"X-Not-Executed": "1"})
            return
        self.arrivals.append(arrival)
        if self.work is not None:
            await self.work(arrival, call)
            return
        arrival.outcome = "ran"
        body = f"{self.name} {identifier}".encode()
        await call.respond(200, self.headers(identifier), body)

    async def stop(self):
        """Stop listening."""
        self.server.close()
        await asyncio.sleep(0)
