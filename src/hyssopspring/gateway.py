"""The gateway: composition root and command of ``hyssop-gateway``."""

import uuid

from twisted.internet import defer, task
from twisted.python.failure import Failure

from .core.accepted import GenerationKeeper
from .core.budgets import RetryBudget
from .core.events import EventKind
from .core.exceptions import PlatformError
from .core.membership import HEARTBEAT_EVERY, PeerEntry, PeerTable
from .core.placement import CentreTable
from .core.sentinels import NOTHING
from .core.servers import ServerTable
from .core.trust import Level, Trust
from .logs import start_logging
from .net.backends import BackendClient
from .net.bus import Bus
from .net.callers import CallerApi
from .net.claiming import Claims
from .net.clients import make_agent
from .net.control import ControlPages, HostStatus, PageReader
from .net.crashes import CRASH_TOPIC, CallCrashes
from .net.dispatching import Dispatcher, HostState
from .net.draining import Drain
from .net.forwarding import ForwardedApi
from .net.gates import Gates
from .net.limiting import Limits
from .net.membership import Membership
from .net.messages import CallSuspects, Signer
from .net.serving import LimitedSite, Router
from .observability import log_failure, make_rng, make_timeline
from .settings import GatewaySettings, settings_command, split_address
from .stores import etcd  # noqa: F401 - registers itself
from .stores.following import ConfigFollower, HostFollower
from .stores.hosts import HostListClient
from .stores.keyvalues import find_key_value

STALL_EVERY = 0.1
STALL_REPORT = 0.25
HOSTS_TIME_TO_LIVE = 5

__all__ = ["Gateway", "main"]


class Gateway:
    """All parts of one gateway, wired.

    Args:
        settings: `GatewaySettings`.
        reactor: The reactor.
        wall: Callable that returns the wall clock in seconds.
        seed: Seed of random choices, or `NOTHING` for the system's.
    """

    def __init__(self, settings, reactor, *, wall, seed=NOTHING):
        self.settings = settings
        self.reactor = reactor
        self.wall = wall
        self.incarnation = uuid.uuid4().hex[:12]
        self.timeline = make_timeline(settings, wall)
        self.drain = Drain()
        self.signer = Signer(settings.peer_secret)
        self.pooled = make_agent(reactor)
        self.fresh = make_agent(reactor, persistent=False)
        self.state = self.make_state(seed)
        self.peers = PeerTable(settings.host, settings.data_centre)
        self.wire_platform()
        self.wire_serving()
        self.wire_membership()
        self.ports = []
        self.loops = []
        self.stall = 0.0
        self.trust_level = Level.FULL
        self.publish_due = 0.0
        self.stall_expected = NOTHING

    def make_state(self, seed):
        """Return the `HostState`."""
        settings = self.settings
        return HostState(
            host=settings.host,
            region=settings.region,
            data_centre=settings.data_centre,
            clock=self.reactor,
            timeline=self.timeline,
            table=ServerTable(settings.data_centre),
            centres=CentreTable(settings.region),
            keeper=GenerationKeeper(),
            budget=RetryBudget(),
            rng=make_rng(seed),
            policy=settings.policy,
            trust=Trust(self.reactor.seconds()),
            crashes=CallCrashes(
                settings.host,
                self.reactor,
                self.timeline,
                lambda message: self.bus.publish(CRASH_TOPIC, message),
            ),
        )

    def wire_platform(self):
        """Make the clients of the platform."""
        scheme, _, address = self.settings.platform.partition("+")
        client = find_key_value(scheme)
        self.store = client(address, self.pooled, self.reactor)
        self.hosts = HostListClient(
            self.settings.host_list, self.pooled, self.reactor
        )
        self.pages = PageReader(self.pooled, self.reactor, self.signer)
        self.config = ConfigFollower(
            self.state, self.peers, self.store, self.pages
        )
        seeds = [seed_entry(peer) for peer in self.settings.peers]
        self.follower = HostFollower(self.state, self.peers, self.hosts, seeds)

    def wire_serving(self):
        """Make what serves callers and other hosts."""
        client = BackendClient(
            self.pooled, self.fresh, self.reactor, self.timeline
        )
        self.dispatcher = Dispatcher(self.state, client, self.signer)
        self.claims = Claims(
            self.state,
            self.peers,
            self.store,
            self.pooled,
            self.signer,
            self.wall,
        )
        self.limits = Limits(
            self.state,
            self.peers,
            self.store,
            self.wall,
            failed=self.note_failure,
        )
        self.gates = Gates(self.limits, self.claims)
        self.callers = CallerApi(
            self.state,
            self.dispatcher,
            self.drain,
            self.gates,
            self.entry_hosts,
        )
        self.forwarded = ForwardedApi(
            self.state, self.dispatcher, self.signer, self.drain
        )
        self.control = ControlPages(
            self.signer, self.state.keeper, self.timeline, self.status
        )

    def wire_membership(self):
        """Make what exchanges control messages."""
        self.bus = Bus(
            self.reactor,
            self.settings.control,
            self.settings.peer_secret,
            received=self.take_message,
            refused=self.note_refused,
            failed=self.note_failure,
        )
        self.membership = Membership(
            self.state,
            self.peers,
            self.bus,
            self.pooled,
            self.drain,
            incarnation=self.incarnation,
            forward_address=self.settings.forward,
            newer=self.config.newer,
        )
        self.state.keeper.applied = lambda _: self.membership.announce()
        self.state.trust.neighbours = lambda now: self.peers.neighbours_agree(
            now, self.state.keeper.generation
        )

    def take_message(self, message):
        """Hand a message of another host over."""
        if isinstance(message, CallSuspects):
            self.state.crashes.take(message)
        else:
            self.membership.hear(message)

    def note_refused(self, why):
        """Put a dropped message on the time line."""
        self.timeline.note(EventKind.PEER_REFUSED, why=why)

    def start(self):
        """Listen, and begin all periodic work."""
        self.listen(self.settings.listen, self.callers)
        self.listen(
            self.settings.forward, self.forwarded, self.control, self.claims
        )
        self.bus.start()
        self.bus.subscribe(CRASH_TOPIC)
        self.membership.start()
        self.repeat(HEARTBEAT_EVERY, self.tick)
        self.repeat(STALL_EVERY, self.measure_stall)
        self.timeline.note(EventKind.STARTED, incarnation=self.incarnation)

    def listen(self, address, *apis):
        """Serve *apis* at *address*."""
        router = Router(self.note_failure)
        for api in apis:
            api.add_routes(router)
        site = LimitedSite(router.resource(), reactor=self.reactor)
        host, port = split_address(address)
        self.ports.append(
            self.reactor.listenTCP(port, site, interface=host, backlog=512)
        )

    def note_failure(self, reason):
        """Write the trace of a handler that raised."""
        log_failure(self.settings.host, reason)

    def repeat(self, interval, work):
        """Call *work* every *interval* seconds, now first."""
        loop = task.LoopingCall(self.guarded, work)
        loop.clock = self.reactor
        loop.start(interval).addErrback(self.note_failure)
        self.loops.append(loop)

    def guarded(self, work):
        """Call *work*; a failure must not end the periodic work.

        A loop that stops at its first failure leaves a host that serves
        but sends no heartbeat and hears of no change.
        """
        try:
            work()
        except Exception:  # noqa: BLE001 - all are written to the log
            self.note_failure(Failure())

    def tick(self):
        """Do the periodic work of a heartbeat interval."""
        self.follower.tick()
        self.config.tick()
        self.membership.tick()
        self.state.crashes.tick()
        self.claims.tick()
        self.limits.tick()
        self.note_trust()
        self.publish()

    def note_trust(self):
        """Put a change of the trust in the configuration on record."""
        level = self.state.trust.level(self.reactor.seconds())
        if level is self.trust_level:
            return
        self.trust_level = level
        kind = EventKind.CONFINED
        if level is Level.FULL:
            kind = EventKind.UNCONFINED
        self.timeline.note(kind)

    def publish(self):
        """Keep the directory entry current."""
        if self.drain.leaving or not self.state.keeper.generation:
            return
        now = self.reactor.seconds()
        if now < self.publish_due:
            return
        self.publish_due = now + HOSTS_TIME_TO_LIVE
        entry = {
            "host": self.settings.host,
            "region": self.settings.region,
            "data_centre": self.settings.data_centre,
            "address": self.settings.listen,
        }
        work = defer.ensureDeferred(
            self.hosts.publish(self.settings.host, entry)
        )
        work.addErrback(lambda reason: reason.trap(PlatformError))

    def measure_stall(self):
        """Measure how late the loop calls back."""
        now = self.reactor.seconds()
        self.state.trust.wake(now)
        if self.stall_expected is not NOTHING:
            late = now - self.stall_expected
            self.stall = max(late, self.stall * 0.999)
            if late > STALL_REPORT:
                self.timeline.note(
                    EventKind.LOOP_STALL, seconds=round(late, 3)
                )
        self.stall_expected = now + STALL_EVERY

    def entry_hosts(self):
        """Return the entry hosts that callers should use, best first."""
        now = self.reactor.seconds()
        rows = [
            self.host_row(entry)
            for host, entry in self.peers.entries.items()
            if self.peers.usable(host, now)
        ]
        if not self.drain.leaving:
            rows.append(
                {
                    "host": self.settings.host,
                    "region": self.settings.region,
                    "data_centre": self.settings.data_centre,
                    "address": self.settings.listen,
                }
            )
        here = (self.settings.data_centre, self.settings.region)
        rows.sort(
            key=lambda row: (
                row["data_centre"] != here[0],
                row["region"] != here[1],
                row["host"],
            )
        )
        return {"hosts": rows, "ttl_s": HOSTS_TIME_TO_LIVE}

    def host_row(self, entry):
        """Return what callers read of one host."""
        return {
            "host": entry.host,
            "region": entry.region,
            "data_centre": entry.data_centre,
            "address": entry.address,
        }

    def status(self):
        """Return the `HostStatus`."""
        now = self.reactor.seconds()
        return HostStatus(
            host=self.settings.host,
            region=self.settings.region,
            data_centre=self.settings.data_centre,
            generation=self.state.keeper.generation,
            leaving=self.drain.leaving,
            active=self.drain.active,
            live=sorted(self.peers.live(now)),
            servers={
                name: -1.0 if server.leaving else round(server.load(now), 2)
                for name, server in self.state.table.servers.items()
            },
            centres={
                name: round(now - summary.at, 3)
                for name, summary in self.state.centres.summaries.items()
            },
            stall_ms=round(self.stall * 1000, 1),
            trust=self.state.trust.level(now).value,
        )

    async def stop(self):
        """Stop gracefully: no request in progress is cut.

        First everyone is told, and the host goes on serving for as long
        as callers may still hold its address; then it refuses what is
        new and finishes what it has.
        """
        if self.drain.leaving:
            return
        self.timeline.note(EventKind.STOPPING, active=self.drain.active)
        self.drain.leaving = True
        self.membership.send_heartbeat()
        withdrawn = defer.ensureDeferred(
            self.hosts.withdraw(self.settings.host)
        )
        withdrawn.addErrback(lambda reason: reason.trap(PlatformError))
        await task.deferLater(self.reactor, self.settings.drain_seconds)
        self.drain.refusing = True
        await self.drain.finished()
        await self.close()
        self.timeline.note(EventKind.STOPPED)

    async def close(self):
        """Close all sockets and end all periodic work."""
        for loop in self.loops:
            if loop.running:
                loop.stop()
        self.config.stop()
        for port in self.ports:
            await port.stopListening()
        self.bus.stop()
        await self.pooled.pool.closeCachedConnections()
        await self.fresh.pool.closeCachedConnections()


def seed_entry(peer):
    """Return the `PeerEntry` of a peer from the settings."""
    return PeerEntry(
        host=peer.host,
        region=peer.region,
        data_centre=peer.data_centre,
        address="",
        forward=peer.forward,
        control=peer.control,
    )


def run(settings):
    """Run a gateway until it is told to stop."""
    import time

    from twisted.internet import reactor

    start_logging(settings.log)
    gateway = Gateway(settings, reactor, wall=time.time)
    gateway.start()
    reactor.addSystemEventTrigger(
        "before",
        "shutdown",
        lambda: defer.ensureDeferred(gateway.stop()),
    )
    reactor.run()


main = settings_command("hyssop-gateway", GatewaySettings, run)
