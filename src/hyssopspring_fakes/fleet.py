"""A small fleet of gateways, fakes and administration on one reactor."""

import hashlib
import time
from dataclasses import dataclass, field

import msgspec
from twisted.internet import defer, task
from twisted.web.http_headers import Headers

from hyssopspring.admin import Admin
from hyssopspring.gateway import Gateway
from hyssopspring.net.clients import fetch, make_agent
from hyssopspring.settings import AdminSettings, GatewaySettings

from .engine import EngineModel, FakeEngine
from .platform import FakePlatform
from .ports import free_address
from .service import FakeService

LOOPBACK = "127.0.0.1"
SECRET = "secret of the demo fleet"  # noqa: S105 - for loopback only
TOKEN = "operator-token"  # noqa: S105 - for loopback only
WAIT = 10.0
POLL = 0.02


def key_digest(key):
    """Return the digest by which configuration names a caller's key."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclass
class Shape:
    """What a fleet is made of.

    Attributes:
        regions: Names of the regions; each has one data centre.
        gateways: Entry hosts in each data centre.
        engines: Model engines in each data centre.
        services: Plain servers in each data centre.
        model: Name of the model that the engines serve.
        engine_model: `EngineModel` of all engines.
        drain_seconds: Time that a leaving gateway goes on serving.
        stop_seconds: Time in which a leaving process must have ended.
    """

    regions: tuple = ("dar", "arusha")
    gateways: int = 1
    engines: int = 2
    services: int = 1
    model: str = "quick-draft"
    engine_model: EngineModel = field(default_factory=EngineModel)
    drain_seconds: float = 0.2
    stop_seconds: float = 30.0
    log: str = "ERROR"


class Fleet:
    """Everything on one reactor.

    Args:
        reactor: The reactor.
        shape: A `Shape`.
    """

    def __init__(self, reactor, shape=None):
        self.reactor = reactor
        self.shape = shape or Shape()
        self.agent = make_agent(reactor)
        self.ports = []
        self.engines = {}
        self.services = {}
        self.gateways = {}
        self.platform = FakePlatform(reactor)
        self.admin = None

    async def start(self):
        """Start all parts and wait until the gateways know each other."""
        self.platform_address = self.listen(self.platform.site())
        for region in self.shape.regions:
            self.start_servers(region)
        rows = [
            self.gateway_row(region, number)
            for region in self.shape.regions
            for number in range(self.shape.gateways)
        ]
        for row in rows:
            self.platform.hosts[row["name"]] = row
        for row in rows:
            self.start_gateway(row)
        self.start_admin()
        await self.until(self.connected)

    def listen(self, site):
        """Listen with *site* at a free port; return the address."""
        port = self.reactor.listenTCP(0, site, interface=LOOPBACK)
        self.ports.append(port)
        return f"{LOOPBACK}:{port.getHost().port}"

    def start_servers(self, region):
        """Start the backend servers of one region."""
        for number in range(self.shape.engines):
            name = f"{region}-engine-{number}"
            self.start_engine(region, name)
        for number in range(self.shape.services):
            name = f"{region}-service-{number}"
            service = FakeService(self.reactor, name)
            self.services[name] = service
            self.add_row(name, "service", region, service, services=["rating"])
            service.port = self.ports[-1]

    def start_engine(self, region, name):
        """Start one engine and put it on the host list."""
        engine = FakeEngine(self.reactor, name, self.shape.engine_model)
        self.engines[name] = engine
        self.add_row(name, "engine", region, engine, models=[self.shape.model])
        engine.port = self.ports[-1]

    def add_row(self, name, kind, region, server, **more):
        """Listen with a backend server and put it on the host list."""
        self.platform.hosts[name] = {
            "name": name,
            "kind": kind,
            "region": region,
            "data_centre": f"{region}-a",
            "address": self.listen(server.site()),
            **more,
        }

    def gateway_row(self, region, number):
        """Return the host-list row of a gateway."""
        return {
            "name": f"{region}-{number}",
            "kind": "entry",
            "region": region,
            "data_centre": f"{region}-a",
            "address": free_address(),
            "forward": free_address(),
            "control": free_address(),
        }

    def start_gateway(self, row):
        """Start the gateway of a host-list row."""
        settings = GatewaySettings(
            host=row["name"],
            region=row["region"],
            data_centre=row["data_centre"],
            regions=list(self.shape.regions),
            platform=f"etcd+http://{self.platform_address}",
            host_list=f"http://{self.platform_address}",
            peer_secret=SECRET,
            listen=row["address"],
            forward=row["forward"],
            control=row["control"],
            log=self.shape.log,
            drain_seconds=self.shape.drain_seconds,
            stop_seconds=self.shape.stop_seconds,
        )
        gateway = Gateway(settings, self.reactor, wall=time.time, seed=1)
        gateway.start()
        self.gateways[row["name"]] = gateway
        return gateway

    def start_admin(self):
        """Start the administration."""
        first = self.shape.regions[0]
        settings = AdminSettings(
            host="admin-0",
            region=first,
            data_centre=f"{first}-a",
            regions=list(self.shape.regions),
            platform=f"etcd+http://{self.platform_address}",
            host_list=f"http://{self.platform_address}",
            peer_secret=SECRET,
            listen=free_address(),
            tokens={"operators": TOKEN},
            log=self.shape.log,
            stop_seconds=self.shape.stop_seconds,
        )
        self.admin = Admin(settings, self.reactor, wall=time.time, seed=1)
        self.admin.start()

    def connected(self):
        """Whether each gateway hears all that it should hear."""
        now = self.reactor.seconds()
        for gateway in self.gateways.values():
            if gateway.drain.leaving:
                continue
            live = gateway.peers.live_hosts(now)
            if len(live) < self.shape.gateways:
                return False
            summaries = gateway.state.centres.summaries
            if len(summaries) < len(self.shape.regions) - 1:
                return False
            reports = gateway.state.table.servers.values()
            if not all(server.report for server in reports):
                return False
        return True

    async def until(self, condition, seconds=WAIT):
        """Wait until *condition* holds.

        Raises:
            TimeoutError: It did not within *seconds*.
        """
        give_up = self.reactor.seconds() + seconds
        while not condition():
            if self.reactor.seconds() > give_up:
                name = getattr(condition, "__name__", "condition")
                raise TimeoutError(f"{name} did not hold in {seconds} s")
            await task.deferLater(self.reactor, POLL)

    def pause(self, seconds):
        """Return a deferred that fires after *seconds*."""
        return task.deferLater(self.reactor, seconds)

    async def put(self, name, text):
        """Write a configuration file; return status and report."""
        return await self.ask_admin(b"PUT", f"/v1/files/{name}", text)

    async def ask_admin(self, method, path, text=None):
        """Ask the administration; return status and decoded answer."""
        headers = Headers({b"authorization": [b"Bearer " + TOKEN.encode()]})
        more = () if text is None else (text.encode(),)
        status, body = await fetch(
            self.agent,
            method,
            f"http://{self.admin.settings.listen}{path}",
            *more,
            clock=self.reactor,
            timeout=20.0,
            headers=headers,
        )
        return status, msgspec.json.decode(body)

    async def stop(self):
        """Stop all parts."""
        await defer.DeferredList(
            [
                defer.ensureDeferred(gateway.close())
                for gateway in self.gateways.values()
                if gateway.ports
            ]
        )
        if self.admin:
            await self.admin.stop()
        for port in self.ports:
            await defer.maybeDeferred(port.stopListening)
        await self.agent.pool.closeCachedConnections()


def configuration_text(regions, key, *, round_trip_ms=60):
    """Return a configuration file for a workspace in all *regions*."""
    lines = ["regions:"]
    for region in regions:
        others = ", ".join(
            f"{other}: {round_trip_ms}" for other in regions if other != region
        )
        lines.append(f"  {region}: {{round_trip_ms: {{{others}}}}}")
    lines += [
        "workspaces:",
        "  quotes:",
        f"    home: {regions[0]}",
        f"    keys: {{desk: {key_digest(key)}}}",
        "models:",
        "  quick-draft: {}",
        "services:",
        "  rating: {}",
    ]
    return "\n".join(lines) + "\n"
