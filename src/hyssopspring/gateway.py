"""Composition root and command of ``hyssop-gateway``."""

import uuid

from twisted.internet import defer, task
from twisted.python.failure import Failure

from .core.accepted import GenerationKeeper
from .core.budgets import RetryBudget
from .core.events import EventKind
from .core.exceptions import PlatformError
from .core.membership import HEARTBEAT_INTERVAL_SECONDS, PeerEntry, PeerTable
from .core.outcomes import NotRun, Reason
from .core.placement import CentreTable
from .core.sentinels import NOTHING
from .core.servers import ServerTable
from .core.trust import Trust, TrustLevel
from .logs import start_logging
from .net.allocation import map_large_blocks
from .net.answers import respond_outcome
from .net.backends import BackendClient
from .net.bus import Bus
from .net.callers import CallerApi
from .net.channels import Listeners
from .net.claiming import Claims
from .net.clients import make_agent
from .net.control import ControlApi, ControlClient, HostStatus
from .net.crashdetection import CRASH_TOPIC, CallCrashDetector
from .net.dispatching import Dispatcher, HostState
from .net.draining import Drain
from .net.forwarding import ForwardedApi
from .net.inprogress import InProgress
from .net.interceptors import Interceptors
from .net.limiting import WorkspaceLimiter
from .net.membership import Membership
from .net.messages import CrashSuspectsMessage, Signer
from .net.serving import LimitedSite, Router
from .observability import log_failure, make_rng, make_timeline
from .settings import GatewaySettings, settings_command, split_address
from .signals import StopSignals
from .stores import etcd  # noqa: F401 - registers the etcd client
from .stores.hosts import HostListClient
from .stores.keyvalues import find_client
from .stores.sync import ConfigSync, HostListSync

STALL_CHECK_INTERVAL_SECONDS = 0.1
"""Interval at which the delay of the event loop is measured."""

STALL_THRESHOLD_SECONDS = 0.25
"""Delay of the event loop beyond which a stall is logged."""

HOSTS_TTL_SECONDS = 5
"""Time for which callers may cache the list of entry hosts; also the interval
at which this host renews its directory entry."""

__all__ = ["Gateway", "main"]


class Gateway:
    """Create and run the components of one gateway.

    Args:
        settings: `GatewaySettings`.
        reactor: The reactor.
        wall: Callable that returns the wall-clock time in seconds.
        seed: Seed of the random number generator, or `NOTHING` for one
            from the operating system.

    Attributes:
        incarnation: Identifier of this run of the process.
        pooled_agent: HTTP agent that reuses connections.
        unpooled_agent: HTTP agent that opens a connection per request.
        listeners: The `Listeners` for callers and other hosts.
        loops: Periodic calls in progress.
        longest_stall: Longest recent delay of the event loop in seconds;
            it decays with each measurement.
        trust_level: The level of trust that was logged last.
        publish_due: Time at which the directory entry is due for renewal.
        next_stall_check: Time at which the next measurement is expected,
            or `NOTHING` before the first one.
    """

    def __init__(self, settings, reactor, *, wall, seed=NOTHING):
        self.settings = settings
        self.reactor = reactor
        self.wall = wall
        self.incarnation = uuid.uuid4().hex[:12]
        self.timeline = make_timeline(settings, wall)
        self.in_progress = InProgress(reactor, refuse_leaving)
        self.drain = Drain(
            reactor, settings.stop_seconds, self.in_progress, self.timeline
        )
        self.listeners = Listeners(
            reactor, settings.client_limits(), self.timeline
        )
        self.signer = Signer(settings.peer_secret)
        self.pooled_agent = make_agent(reactor)
        self.unpooled_agent = make_agent(reactor, persistent=False)
        self.state = self.make_state(seed)
        self.peers = PeerTable(settings.host, settings.data_centre)
        self.create_platform_clients()
        self.create_apis()
        self.create_membership()
        self.loops = []
        self.longest_stall = 0.0
        self.trust_level = TrustLevel.FULL
        self.publish_due = 0.0
        self.next_stall_check = NOTHING

    def make_state(self, seed):
        """Return the `HostState` of this host."""
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
            crash_detector=CallCrashDetector(
                settings.host,
                self.reactor,
                self.timeline,
                lambda message: self.bus.publish(CRASH_TOPIC, message),
            ),
            drain=self.drain,
        )

    def create_platform_clients(self):
        """Create the clients of the platform."""
        scheme, _, address = self.settings.platform.partition("+")
        client = find_client(scheme)
        self.store = client(address, self.pooled_agent, self.reactor)
        self.hosts = HostListClient(
            self.settings.host_list, self.pooled_agent, self.reactor
        )
        self.control_client = ControlClient(
            self.pooled_agent, self.reactor, self.signer
        )
        self.config_sync = ConfigSync(
            self.state, self.peers, self.store, self.control_client
        )
        seeds = [seed_entry(peer) for peer in self.settings.peers]
        self.host_list_sync = HostListSync(
            self.state, self.peers, self.hosts, seeds
        )

    def create_apis(self):
        """Create the HTTP APIs for callers and for other hosts."""
        client = BackendClient(
            self.pooled_agent,
            self.unpooled_agent,
            self.reactor,
            self.timeline,
            self.listeners.account,
        )
        self.dispatcher = Dispatcher(self.state, client, self.signer)
        self.claims = Claims(
            self.state,
            self.peers,
            self.store,
            self.pooled_agent,
            self.signer,
            self.wall,
        )
        self.limits = WorkspaceLimiter(
            self.state,
            self.peers,
            self.store,
            self.wall,
            on_failure=self.report_failure,
        )
        self.interceptors = Interceptors(self.limits, self.claims)
        self.callers = CallerApi(
            self.state,
            self.dispatcher,
            self.drain,
            self.interceptors,
            self.entry_hosts,
        )
        self.forwarded = ForwardedApi(
            self.state, self.dispatcher, self.signer, self.drain
        )
        self.control = ControlApi(
            self.signer, self.state.keeper, self.timeline, self.status
        )

    def create_membership(self):
        """Create the components that exchange control messages."""
        self.bus = Bus(
            self.reactor,
            self.settings.control,
            self.settings.peer_secret,
            on_message=self.handle_message,
            on_rejected=self.log_rejected_message,
            on_failure=self.report_failure,
        )
        self.membership = Membership(
            self.state,
            self.peers,
            self.bus,
            self.pooled_agent,
            self.drain,
            incarnation=self.incarnation,
            forward_address=self.settings.forward,
            on_newer_generation=self.config_sync.on_newer_generation,
        )
        self.state.keeper.on_applied = lambda _: self.membership.announce()
        self.state.trust.neighbours = lambda now: (
            self.peers.neighbours_up_to_date(now, self.state.keeper.generation)
        )

    def handle_message(self, message):
        """Pass a message of another host to its handler."""
        if isinstance(message, CrashSuspectsMessage):
            self.state.crash_detector.handle_message(message)
        else:
            self.membership.handle_message(message)

    def log_rejected_message(self, why):
        """Log a message that was dropped.

        Args:
            why: Reason of the rejection.
        """
        self.timeline.note(EventKind.PEER_REFUSED, why=why)

    def start(self):
        """Start listening and start all periodic work."""
        self.listen(self.settings.listen, self.callers)
        self.listen(
            self.settings.forward, self.forwarded, self.control, self.claims
        )
        self.bus.start()
        self.bus.subscribe(CRASH_TOPIC)
        self.membership.start()
        self.repeat(HEARTBEAT_INTERVAL_SECONDS, self.tick)
        self.repeat(STALL_CHECK_INTERVAL_SECONDS, self.measure_stall)
        self.timeline.note(EventKind.STARTED, incarnation=self.incarnation)

    def listen(self, address, *apis):
        """Serve *apis* at *address*."""
        router = Router(self.report_failure)
        for api in apis:
            api.add_routes(router)
        site = LimitedSite(
            router.resource(),
            reactor=self.reactor,
            in_progress=self.in_progress,
            account=self.listeners.account,
            for_callers=address == self.settings.listen,
        )
        host, port = split_address(address)
        listening = self.reactor.listenTCP(
            port, site, interface=host, backlog=512
        )
        self.listeners.add(listening, site)

    @property
    def ports(self):
        """The listening ports, which are empty once they are closed."""
        return self.listeners.ports

    def report_failure(self, reason):
        """Log the traceback of a handler that raised.

        Args:
            reason: The `Failure`.
        """
        log_failure(self.settings.host, reason)

    def repeat(self, interval, work):
        """Call *work* now and then every *interval* seconds."""
        loop = task.LoopingCall(self.call_safely, work)
        loop.clock = self.reactor
        loop.start(interval).addErrback(self.report_failure)
        self.loops.append(loop)

    def call_safely(self, work):
        """Call *work* and log an exception that it raises.

        A `LoopingCall` stops at the first exception. The host would go on
        serving requests, but it would send no heartbeats and receive no
        changes.
        """
        try:
            work()
        except Exception:  # noqa: BLE001 - every exception is logged
            self.report_failure(Failure())

    def tick(self):
        """Do the periodic work of one heartbeat interval."""
        self.host_list_sync.tick()
        self.config_sync.tick()
        self.membership.tick()
        self.state.crash_detector.tick()
        self.claims.tick()
        self.limits.tick()
        self.log_trust_change()
        self.publish()

    def log_trust_change(self):
        """Log a change of the level of trust in the configuration."""
        level = self.state.trust.level(self.reactor.seconds())
        if level is self.trust_level:
            return
        self.trust_level = level
        kind = EventKind.CONFINED
        if level is TrustLevel.FULL:
            kind = EventKind.UNCONFINED
        self.timeline.note(kind)

    def publish(self):
        """Renew the directory entry of this host when it is due.

        A host that is shutting down or has no configuration is not
        published.
        """
        if self.drain.leaving or not self.state.keeper.generation:
            return
        now = self.reactor.seconds()
        if now < self.publish_due:
            return
        self.publish_due = now + HOSTS_TTL_SECONDS
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
        """Measure the delay of the event loop and log a stall."""
        now = self.reactor.seconds()
        self.state.trust.record_wakeup(now)
        if self.next_stall_check is not NOTHING:
            delay = now - self.next_stall_check
            self.longest_stall = max(delay, self.longest_stall * 0.999)
            if delay > STALL_THRESHOLD_SECONDS:
                self.timeline.note(
                    EventKind.LOOP_STALL, seconds=round(delay, 3)
                )
        self.next_stall_check = now + STALL_CHECK_INTERVAL_SECONDS

    def entry_hosts(self):
        """Return the entry hosts that callers should use.

        Hosts of this data centre come first, then those of this region.
        """
        now = self.reactor.seconds()
        rows = [
            self.host_row(entry)
            for host, entry in self.peers.entries.items()
            if self.peers.is_usable(host, now)
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
        own_location = (self.settings.data_centre, self.settings.region)
        rows.sort(
            key=lambda row: (
                row["data_centre"] != own_location[0],
                row["region"] != own_location[1],
                row["host"],
            )
        )
        return {"hosts": rows, "ttl_s": HOSTS_TTL_SECONDS}

    def host_row(self, entry):
        """Return the fields of one host that callers receive."""
        return {
            "host": entry.host,
            "region": entry.region,
            "data_centre": entry.data_centre,
            "address": entry.address,
        }

    def status(self):
        """Return the `HostStatus` of this gateway."""
        now = self.reactor.seconds()
        return HostStatus(
            host=self.settings.host,
            region=self.settings.region,
            data_centre=self.settings.data_centre,
            generation=self.state.keeper.generation,
            leaving=self.drain.leaving,
            active=self.drain.active,
            live=sorted(self.peers.live_hosts(now)),
            servers={
                name: -1.0 if server.leaving else round(server.load(now), 2)
                for name, server in self.state.table.servers.items()
            },
            centres={
                name: round(now - summary.at, 3)
                for name, summary in self.state.centres.summaries.items()
            },
            stall_ms=round(self.longest_stall * 1000, 1),
            trust=self.state.trust.level(now).value,
        )

    async def stop(self):
        """Shut down gracefully without aborting requests in progress.

        The host first announces the shutdown to the other hosts and
        withdraws its directory entry. It continues to serve for
        `drain_seconds`, since callers may still have its address cached.
        Then it rejects new requests, waits for those in progress, and
        ends those that are left as `stop_seconds` are nearly over.
        """
        if self.drain.leaving:
            return
        self.timeline.note(EventKind.STOPPING, active=self.drain.active)
        self.drain.begin()
        self.membership.send_heartbeat()
        withdrawn = defer.ensureDeferred(
            self.hosts.withdraw(self.settings.host)
        )
        withdrawn.addErrback(lambda reason: reason.trap(PlatformError))
        self.listeners.announce()
        accepting = min(
            self.settings.drain_seconds,
            self.drain.ends_at - self.reactor.seconds(),
        )
        await task.deferLater(self.reactor, max(0.0, accepting))
        ended = await self.drain.end_requests(
            self.listeners, self.report_failure
        )
        await self.claims.wait_until_written(self.drain.exits_at)
        self.timeline.note(
            EventKind.STOPPED,
            active=ended,
            unanswered=len(self.in_progress),
            unsent_bytes=self.listeners.unsent_bytes,
            unwritten=len(self.claims.pending),
        )
        await self.close()

    async def close(self):
        """Close all sockets and stop all periodic work."""
        for loop in self.loops:
            if loop.running:
                loop.stop()
        self.config_sync.stop()
        self.listeners.stop_listening()
        self.listeners.abort()
        self.bus.stop()
        await self.pooled_agent.pool.closeCachedConnections()
        await self.unpooled_agent.pool.closeCachedConnections()


def refuse_leaving(request):
    """Respond that *request* was not run, since the host ends."""
    respond_outcome(request, NotRun(Reason.LEAVING))


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
    """Run a gateway until the process receives a stop signal."""
    import time

    from twisted.internet import reactor

    map_large_blocks()
    start_logging(settings.log)
    gateway = Gateway(settings, reactor, wall=time.time)
    signals = StopSignals(
        reactor,
        gateway.stop,
        timeline=gateway.timeline,
        on_failure=gateway.report_failure,
    )
    signals.install()
    gateway.start()
    reactor.run(installSignalHandlers=False)


main = settings_command("hyssop-gateway", GatewaySettings, run)
