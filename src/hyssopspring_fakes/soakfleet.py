"""Entry hosts as processes of their own, before stand-ins on loopback."""

import os
import pathlib
import signal
import sys
from collections import deque

from twisted.internet import defer, protocol, task

from .backends import FakeBackend
from .listening import cut_connections
from .metadata import FakeMetadata
from .ports import free_ports
from .proxies import FaultProxy
from .soakchecks import KEPT_ROUTES, ROTATION, service_of
from .soakstops import Life

__all__ = [
    "ENDLESS_SERVICES",
    "NOTICE_SERVICE",
    "PAUSED_SERVICES",
    "PROMPT_SERVICE",
    "REGIONS",
    "SETTINGS",
    "SHORTEST_TIMEOUT_MS",
    "STOP_SECONDS",
    "STREAM_SERVICE",
    "HostProcess",
    "SoakFleet",
    "configuration",
]

STORE_IP = "127.0.9.1"
BACKEND_IP = "127.0.9.2"
PORTS_EACH = 6
"""Ports that a host listens at: for callers, readiness, control, and three
between hosts."""

STOP_SECONDS = 5
TICK_SECONDS = 0.02
"""Interval at which the driver notes the time, to bound the end of a process
from below when the event loop is late."""

STALL_SECONDS = 0.25
"""Time without a tick from which on the driver counts as stalled. What arrives
meanwhile is read later, by a time that is not known."""

NOTICE_SERVICE = "noticing"
"""Service and route of the servers that say things of themselves."""

STREAM_SERVICE = "streaming"
"""Service and route of streams."""

PROMPT_SERVICE = "prompting"
"""Service and route of prompts of which some crash servers."""

PAUSED_SERVICES = ("pausing", "pausing-single", "pausing-plain")
"""Services and routes of sound servers that pause: of streams that may be
resumed by some versions, of streams that may not, and of plain requests."""

ENDLESS_SERVICES = ("endless", "endless-plain")
"""Services and routes of servers whose responses never end."""

SHORTEST_TIMEOUT_MS = 5000
"""Shortest timeout of the routes of these services."""

RESTART_SECONDS = 0.2
"""Seconds after which a process that has ended by itself is started again."""

REGIONS = ("north", "south", "west")

SETTINGS = """\
node={name}
ip={ip}
zone={region}-a
region={region}
zones.north-a=north
zones.south-a=south
zones.west-a=west
listen.front={ip}:{port}
listen.ready={ip}:{ready}
listen.directory={ip}:{ready}
listen.control={ip}:{control}
port_range={first},{last}
seeds={seeds}
bounds.grace_s={stop}
bounds.config_apply_ms=4000
bounds.cold_over=1.5
bounds.cold_slack=3
bounds.retry_budget_ratio=0.2
bounds.retry_budget_extra=54
platform.address={store}
platform.ttl_min_ms=1000
"""


def configuration(version):
    """Return the operator's document of one version."""
    first = max(1, version - KEPT_ROUTES + 1)
    routes = [route("moved", service_of(version))]
    routes += [
        route(f"added-{number}", "plain-0")
        for number in range(first, version + 1)
    ]
    routes.append(route(NOTICE_SERVICE, NOTICE_SERVICE))
    routes.append(stream_route(STREAM_SERVICE))
    routes.append(stream_route(PROMPT_SERVICE))
    routes += [changing_route(name, version) for name in PAUSED_SERVICES]
    routes += [changing_route(name, version) for name in ENDLESS_SERVICES]
    services = [{"name": service_of(number)} for number in range(ROTATION)]
    services += [
        {
            "name": name,
            "engine": {"slots": 64, "kv_capacity_tokens": 100000},
        }
        for name in (
            STREAM_SERVICE,
            PROMPT_SERVICE,
            *PAUSED_SERVICES[:2],
            ENDLESS_SERVICES[0],
        )
    ]
    services += [
        {"name": name}
        for name in (NOTICE_SERVICE, PAUSED_SERVICES[2], ENDLESS_SERVICES[1])
    ]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {"max_body_bytes": 10000, "idle_timeout_ms": 15000},
    }


def route(name, service):
    """Return a route of plain requests that may be repeated."""
    return {
        "name": name,
        "host": "a.example",
        "prefix": f"/{name}/",
        "kind": "idempotent",
        "service": service,
        "max_attempts": 2,
        "timeout_ms": 1500,
        "target_latency_ms": 500,
    }


def stream_route(name):
    """Return a route of streams that may be resumed."""
    return {
        **route(name, name),
        "kind": "streaming",
        "resumable": True,
        "timeout_ms": 6000,
    }


def changing_route(name, version):
    """Return a route whose settings are others in each version.

    The two routes of streams exchange their prefixes in each fifth version.
    """
    plain = name.endswith("plain")
    made = route(name, name) if plain else stream_route(name)
    made["timeout_ms"] = SHORTEST_TIMEOUT_MS + 1000 * (version % 3)
    made["max_attempts"] = 1 + version % 4 % 3
    made["home_regions"] = REGIONS[: version % 4]
    if not plain:
        made["resumable"] = name != "pausing-single" and version % 3 > 0
    if version % 5 == 0 and name in PAUSED_SERVICES[:2]:
        other = PAUSED_SERVICES[1 - PAUSED_SERVICES.index(name)]
        made["prefix"] = f"/{other}/"
    return made


class _Output(protocol.ProcessProtocol):
    """Note the end of a process."""

    def __init__(self, ended):
        self.ended = ended

    def processEnded(self, reason):
        """Tell that it has ended."""
        self.ended(reason)


class HostProcess:
    """One entry host, through the lives of its process.

    Args:
        fleet: The `SoakFleet`.
        name: Its name.
        region: Its region.
        ip: Its IP address.

    Attributes:
        life: Number of its process; each start is a new one.
        current: `Life` of its latest process.
        planned: Whether an end is expected.
        ends: Text of each end that was not.
    """

    def __init__(self, fleet, name, region, ip):
        self.fleet = fleet
        self.name = name
        self.region = region
        self.ip = ip
        self.proxy = FaultProxy(fleet.reactor, ip, fleet.store_address)
        self.process = None
        self.life = 0
        self.current = Life(name, 0)
        self.planned = False
        self.ends = []
        self.gone = defer.succeed(None)

    @property
    def front(self):
        """Address for callers."""
        return f"{self.ip}:{self.fleet.port}"

    @property
    def control(self):
        """Address for hosts that know no other."""
        return f"{self.ip}:{self.fleet.port + 2}"

    @property
    def running(self):
        """Whether its process runs."""
        return self.process is not None

    def write_settings(self):
        """Write the settings file; return its path."""
        port = self.fleet.port
        path = self.fleet.folder / f"{self.name}.conf"
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            region=self.region,
            port=port,
            ready=port + 1,
            control=port + 2,
            first=port + 3,
            last=port + PORTS_EACH - 1,
            seeds=",".join(self.fleet.seeds()),
            stop=STOP_SECONDS,
            store=f"{self.ip}:{self.proxy.port.getHost().port}",
        )
        path.write_text(text, encoding="utf-8")
        return path

    def start(self):
        """Start a process."""
        self.life += 1
        self.current = Life(self.name, self.life)
        self.fleet.lives.append(self.current)
        self.planned = False
        self.gone = defer.Deferred()
        log = os.open(
            self.fleet.folder / f"{self.name}.log",
            os.O_WRONLY | os.O_CREAT | os.O_APPEND,
        )
        words = [
            sys.executable,
            "-m",
            "hyssopspring.entry.launch",
            "--settings",
            str(self.write_settings()),
        ]
        self.process = self.fleet.reactor.spawnProcess(
            _Output(self.ended),
            sys.executable,
            words,
            env=None,
            childFDs={0: "w", 1: log, 2: log},
        )
        os.close(log)

    def ended(self, reason):
        """Note the end of the process."""
        self.process = None
        self.current.ended = self.fleet.ticks[0]
        self.current.noticed = self.fleet.reactor.seconds()
        if not self.planned:
            self.ends.append(f"life {self.life}: {reason.value}")
            self.fleet.reactor.callLater(RESTART_SECONDS, self.revive)
        self.gone.callback(None)

    def revive(self):
        """Start again after an end of its own, unless all is over."""
        if not self.running and not self.fleet.stopping:
            self.start()

    def send_signal(self, number):
        """Send a signal to the process, if it runs."""
        # Between the reaping of a process and its end, its ID is None.
        if self.process is not None and self.process.pid is not None:
            self.current.note_signal(number, self.fleet.reactor.seconds())
            os.kill(self.process.pid, number)

    def kill(self):
        """End the process at once; return a deferred of its end."""
        return self.end(signal.SIGKILL)

    def stop(self):
        """Tell the process to stop; return a deferred of its end."""
        return self.end(signal.SIGTERM)

    def end(self, number):
        """Send a signal that ends the process."""
        if self.process is None:
            return defer.succeed(None)
        self.planned = True
        self.send_signal(signal.SIGCONT)
        self.send_signal(number)
        done = defer.Deferred()
        self.gone.addCallback(done.callback)
        return done


class SoakFleet:
    """Hosts of three regions, a store, and plain servers.

    Args:
        reactor: The reactor.
        folder: Folder for settings and logs.
        hosts: How many hosts, spread over the regions.

    Attributes:
        lives: `Life` of each process.
        ticks: Times at which the driver's loop ran last.
        stalls: Start and end of each time in which it did not run.
    """

    def __init__(self, reactor, folder, hosts):
        self.reactor = reactor
        self.folder = pathlib.Path(folder)
        self.store = FakeMetadata(reactor, STORE_IP)
        self.store_address = ""
        self.port = free_ports(
            [ip_of(number) for number in range(hosts)], PORTS_EACH
        )
        self.count = hosts
        self.hosts = {}
        self.backends = {}
        self.lives = []
        self.ticks = deque([reactor.seconds()] * 2, maxlen=2)
        self.stalls = []
        self.ticker = task.LoopingCall(self.tick)
        self.stopping = False

    def seeds(self):
        """Return the control addresses of the first host of each region."""
        return [host.control for host in list(self.hosts.values())[:3]]

    def start(self):
        """Start the stand-ins, then all hosts together."""
        self.ticker.start(TICK_SECONDS)
        self.store_address = self.store.start()
        self.store.put_json("op/config", configuration(1))
        for region in REGIONS:
            for number in range(ROTATION):
                self.add_backend(f"{region}-{number}", region, number)
        for number in range(self.count):
            region = REGIONS[number % len(REGIONS)]
            name = f"{region}-{number // len(REGIONS)}"
            host = HostProcess(self, name, region, ip_of(number))
            self.hosts[name] = host
            host.proxy.start()
        for host in self.hosts.values():
            host.start()

    def tick(self):
        """Note the time, and a stall before it."""
        now = self.reactor.seconds()
        if now - self.ticks[-1] > STALL_SECONDS:
            self.stalls.append((self.ticks[-1], now))
        self.ticks.append(now)

    def add_backend(self, name, region, number):
        """Start a plain server and register it."""
        self.register(name, region, service_of(number))

    def add_notice_backend(self, name, region):
        """Start a server that says things of itself; return it."""
        return self.register(name, region, NOTICE_SERVICE)

    def add_stream_backend(self, name, region, version):
        """Start a server of streams of a version; return it."""
        backend = self.register(name, region, STREAM_SERVICE, version)
        self.restart_backend(backend, version)
        return backend

    def restart_backend(self, backend, version):
        """Let a server start under its identifier, as a version."""
        cut_connections(backend.port)
        backend.version = version
        backend.born = int(self.reactor.seconds() * 1000)
        key = f"servers/{backend.name}"
        started = {"version": version, "born": backend.born}
        self.store.put_json(key, {**self.store.get_json(key), **started})

    def add_prompt_backend(self, name, region):
        """Start a server of prompts; return it."""
        return self.register(name, region, PROMPT_SERVICE)

    def drain(self, name):
        """Mark the entry of a server as draining."""
        entry = self.store.get_json(f"servers/{name}")
        self.store.put_json(f"servers/{name}", {**entry, "state": "draining"})

    def register(self, name, region, service, version=""):
        """Start a server and register it; return it."""
        backend = FakeBackend(self.reactor, name, BACKEND_IP)
        backend.version = version
        address = backend.start()
        backend.service = service
        self.backends[name] = backend
        entry = {
            "service": backend.service,
            "address": address,
            "zone": f"{region}-a",
            "version": version or "v1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
        }
        self.store.put_json(f"servers/{name}", entry)
        return backend

    def remove(self, name):
        """Remove the entry of a server that has left."""
        self.store.remove(f"servers/{name}")

    def kill_all(self):
        """End all processes without waiting for their ends."""
        self.stopping = True
        for host in self.hosts.values():
            host.kill()

    async def stop(self):
        """End all processes and stand-ins."""
        self.stopping = True
        for host in self.hosts.values():
            await host.kill()
            await host.proxy.stop()
        for backend in self.backends.values():
            await backend.stop()
        await self.store.stop()
        if self.ticker.running:
            self.ticker.stop()


def ip_of(number):
    """Return the IP address of a host by its number."""
    return f"127.0.{10 + number // 200}.{1 + number % 200}"
