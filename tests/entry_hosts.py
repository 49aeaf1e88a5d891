"""Entry hosts, servers and a store on loopback, for tests."""

import json
import random
import time
from io import BytesIO

from twisted.internet import defer, reactor, task
from twisted.internet.error import ConnectError
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    ResponseFailed,
)
from twisted.web.http_headers import Headers

from hyssopspring.core.exceptions import NoAnswerError
from hyssopspring.core.sentinels import NOTHING
from hyssopspring.entry.process import EntryProcess
from hyssopspring.entry.settings import EntrySettings
from hyssopspring.net.clients import read_body
from hyssopspring_fakes.backends import FakeBackend
from hyssopspring_fakes.metadata import FakeMetadata
from hyssopspring_fakes.ports import free_ports
from hyssopspring_fakes.proxies import FaultProxy

USAGE = {"x_token_usage": "100,20", "x_prompt_prefix": "ab:60,cd:40"}
"""Headers of a prompt."""

RATE = 30.0
"""Requests a second that callers send."""

REGIONS = {"north-a": "north", "south-a": "south"}
WAIT_EVERY = 0.02
LONGEST_WAIT = 8.0


PORTS_A_HOST = 5
ADDRESSES = [f"127.0.0.{20 + number}" for number in range(7)]


def free_port():
    """Return the first of the ports of a host, all of them free."""
    return free_ports(ADDRESSES, PORTS_A_HOST)


class Hosts:
    """Two regions with an entry host, an engine and a server each.

    Args:
        first_port: First of the ports of each host.
        proxied: Whether each host reaches the store through a
            `FaultProxy` of its own.
    """

    def __init__(self, first_port, *, proxied=False):
        self.first_port = first_port
        self.proxied = proxied
        self.proxies = {}
        self.store = FakeMetadata(reactor, "127.0.0.9")
        self.backends = {}
        self.processes = {}
        self.lines = []
        pool = HTTPConnectionPool(reactor, persistent=False)
        self.agent = Agent(reactor, pool=pool, connectTimeout=1.0)
        self.store_address = ""

    async def start(self):
        """Start all of it and wait until it serves."""
        self.store_address = self.store.start()
        self.store.put_json("op/config", configuration())
        for number, region in enumerate(("north", "south")):
            for service in ("engine", "plain"):
                self.add_backend(f"{service}-{region}", service, region)
            self.add_host(f"h-{region}", region, number)
        await self.settled()

    def add_backend(self, name, service, region):
        """Start a server and register it."""
        backend = FakeBackend(reactor, name, "127.0.0.5")
        address = backend.start()
        self.backends[name] = backend
        self.register(name, service, address, region)
        return backend

    def register(self, name, service, address, region, **more):
        """Write the entry of a server."""
        entry = {
            "service": service,
            "address": address,
            "zone": f"{region}-a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            **more,
        }
        self.store.put_json(f"servers/{name}", entry)

    def register_again(self, name, **changes):
        """Write the entry of a server with some fields changed."""
        entry = self.store.get_json(f"servers/{name}")
        self.store.put_json(f"servers/{name}", {**entry, **changes})

    def add_host(self, name, region, number, **changes):
        """Start an entry host; *changes* replace settings."""
        ip = f"127.0.0.{20 + number}"
        port = self.first_port
        store = changes.pop("store", self.store_address)
        if self.proxied:
            self.proxies[name] = FaultProxy(reactor, "127.0.0.8", store)
            store = self.proxies[name].start()
        settings = EntrySettings(
            host=name,
            address=ip,
            data_centre=f"{region}-a",
            region=region,
            regions=REGIONS,
            front=f"{ip}:{port}",
            ready=f"{ip}:{port + 1}",
            directory=f"{ip}:{port + 1}",
            control=f"{ip}:{port + 2}",
            ports=(port + 3, port + 4),
            store=store,
            retry_extra=54.0,
            cold_factor=1.5,
            cold_extra=3.0,
            stop_seconds=4.0,
            **changes,
        )
        process = EntryProcess(
            settings,
            reactor,
            wall=time.time,
            boot_clock=time.monotonic,
            rng=random.Random(number),
            write=self.take_lines,
        )
        self.processes[name] = process
        process.start()

    def take_lines(self, data):
        """Keep log lines."""
        self.lines += data.decode().splitlines()
        return len(data)

    def decoded(self, *events):
        """Return the log lines of some events, decoded."""
        lines = [json.loads(line) for line in self.lines]
        return [line for line in lines if line["event"] in events]

    async def logged(self, event, request=""):
        """Wait for a log line of *event*; return the last one.

        Args:
            event: Name of the event.
            request: Identifier of a request if only its lines count.
        """

        def lines():
            return [
                line
                for line in self.decoded(event)
                if not request or line.get("request") == request
            ]

        await self.until(lines)
        return lines()[-1]

    async def settled(self):
        """Wait until each host knows the other's load."""
        await self.until(
            lambda: all(
                process.placer.remote_regions.reported_at
                and process.is_ready()
                for process in self.processes.values()
            )
        )

    async def with_resting_host(self):
        """Add two hosts in the north, of which one relies on the others.

        Returns:
            The processes of the north, and the one that rests.
        """
        for number in (5, 6):
            self.add_host(f"h-north-{number}", "north", number)
        await self.settled()
        north = [p for n, p in self.processes.items() if "north" in n]
        await self.until(
            lambda: (
                sorted(bool(p.store_sync.watchers) for p in north)
                == [False, True, True]
            )
        )
        resting = next(p for p in north if not p.store_sync.watchers)
        return north, resting

    async def until(self, condition, *, within=LONGEST_WAIT):
        """Wait until *condition* holds, *within* seconds at most."""
        end = reactor.seconds() + within
        while not condition():
            assert reactor.seconds() < end, "waited too long"
            await task.deferLater(reactor, WAIT_EVERY)

    async def send(
        self,
        host,
        path,
        *,
        identifier,
        method=b"GET",
        body=b"",
        source="",
        **headers,
    ):
        """Send a request; return status, headers and body.

        Args:
            host: The entry host.
            path: Path and query.
            identifier: Identifier of this try.
            method: HTTP method.
            body: The body.
            source: IP address of the caller; empty for the usual one.
            headers: Other headers, with underscores in their names.
        """
        agent = self.agent
        if source:
            pool = HTTPConnectionPool(reactor, persistent=False)
            agent = Agent(reactor, pool=pool, bindAddress=source)
        response = await self.begin(
            host, path, identifier, method, body, headers, agent
        )
        return response.code, response.headers, await read_body(response)

    def begin(self, host, path, identifier, method, body, headers, agent=None):
        """Send a request; return the deferred head of its answer."""
        front = self.processes[host].settings.front
        return self.request(
            front, path, identifier, method, body, headers, agent
        )

    def request(
        self, front, path, identifier, method, body, headers, agent=None
    ):
        """Send a request to an address; return the deferred head."""
        sent = {
            b"host": [b"a.example"],
            b"x-request-attempt-id": [identifier.encode()],
        }
        for name, value in headers.items():
            sent[name.replace("_", "-").encode()] = [value.encode()]
        return (agent or self.agent).request(
            method,
            f"http://{front}{path}".encode(),
            Headers(sent),
            FileBodyProducer(BytesIO(body)) if body else None,
        )

    async def page(self, host, path):
        """Ask the directory or readiness page; return status and body."""
        address = self.processes[host].settings.directory
        response = await self.agent.request(
            b"GET", f"http://{address}{path}".encode()
        )
        return response.code, await read_body(response)

    async def stop(self):
        """Stop all of it."""
        for process in self.processes.values():
            await process.close()
        for proxy in self.proxies.values():
            await proxy.stop()
        for backend in self.backends.values():
            await backend.stop()
        await self.store.stop()


def configuration(version=1, **changes):
    """Return an operator's document; *changes* replace fields of routes."""
    routes = [
        {
            "name": "lookup",
            "prefix": "/lookup/",
            "kind": "idempotent",
            "service": "plain",
            "max_attempts": 2,
        },
        {
            "name": "post",
            "prefix": "/post/",
            "kind": "non_idempotent",
            "service": "plain",
        },
        {
            "name": "quote",
            "prefix": "/quote/",
            "kind": "streaming",
            "service": "engine",
            "max_attempts": 2,
            "resumable": True,
        },
        {
            "name": "review",
            "prefix": "/review/",
            "kind": "streaming",
            "service": "engine",
        },
        {
            "name": "bound",
            "prefix": "/bound/",
            "kind": "idempotent",
            "service": "plain",
            "max_attempts": 2,
            "home_regions": ["south"],
        },
    ]
    for route in routes:
        stream = route["kind"] == "streaming"
        route.update(host="a.example", timeout_ms=6000 if stream else 1500)
        route.update(target_latency_ms=500)
        if stream:
            route.update(gap_aim_ms=300)
        route.update(changes.get(route["name"], {}))
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "engine",
                "engine": {"slots": 64, "kv_capacity_tokens": 100000},
            },
            {"name": "plain"},
        ],
        "limits": {"max_body_bytes": 10000, "idle_timeout_ms": 15000},
    }


async def lose_store(hosts):
    """Take the store away and wait until all hosts have noticed."""
    for process in hosts.processes.values():
        hosts.store.refuse(process.settings.address)
    await hosts.until(
        lambda: all(
            one.state.contact.failing_since is not NOTHING
            for one in hosts.processes.values()
        )
    )


def cut_off_stores(hosts):
    """Disconnect all hosts from the store."""
    for proxy in hosts.proxies.values():
        proxy.silence()
        proxy.cut = True


NO_RESPONSE = 0
NOT_CONNECTED = -1
"""What `status_of` returns without a response."""


async def status_of(hosts, process, path, *, method=b"GET", **headers):
    """Send a request to a process; return the status or what came instead."""
    front = process.settings.front
    try:
        response = await hosts.request(front, path, "r1", method, b"", headers)
        await read_body(response)
    except ConnectError:
        return NOT_CONNECTED
    except BROKEN:
        return NO_RESPONSE
    return response.code


BROKEN = (ResponseFailed, NoAnswerError)
"""What a caller sees of an answer that was cut."""


WORKSPACES = [
    {"name": "desk", "api_keys": ["desk-key", "old-key"], "priority": 1},
    {"name": "bound", "api_keys": ["bound-key"], "home_regions": ["south"]},
]


def keyed_configuration(version=1, workspaces=WORKSPACES, **changes):
    """Return a document whose callers show keys, but on one route."""
    document = configuration(version, **changes)
    document["tenants"] = workspaces
    document["routes"].append(
        {
            **document["routes"][0],
            "name": "open",
            "prefix": "/open/",
            "public": True,
        }
    )
    return document


async def send_for(hosts, seconds, path, method=b"GET", **headers):
    """Send requests to all hosts in turn; return each status."""
    names = list(hosts.processes)
    sent = []
    for number in range(int(seconds * RATE)):
        sent.append(
            hosts.send(
                names[number % len(names)],
                f"{path}{number}",
                identifier=f"{path}{number}",
                method=method,
                **headers,
            )
        )
        sent[-1] = defer.ensureDeferred(sent[-1])
        await task.deferLater(reactor, 1 / RATE)
    return [(await one)[0] for one in sent]
