"""The entry program: composition root of ``hyssop-entry``."""

import os
import random
import signal
import sys
import time
from dataclasses import replace
from functools import partial

from twisted.internet import task
from twisted.python.failure import Failure

from ..core.addresses import split_address
from ..core.events import EventKind, HybridClock, Timeline
from ..core.exceptions import EXIT_BAD_SETTINGS, SettingsError
from ..core.sentinels import NOTHING
from ..core.tokenlimits import Allowance, TokenLimits
from ..net.channels import Listeners
from ..net.clientaccounts import limits_for
from ..net.inprogress import InProgress
from ..platform import headers, layout
from ..platform.directory import DirectoryHandler
from ..platform.settings import read_settings
from ..platform.store import PlatformStore
from ..signals import StopSignals
from ..traffic.coldrates import ColdRates
from ..traffic.crashes import CrashTracker
from ..traffic.mechanisms import parse_disabled
from ..traffic.members import Members
from ..traffic.partruns import PartRuns
from ..traffic.placing import Placer
from ..traffic.retries import WindowedRetryBudget
from ..traffic.retryafter import RetryAfterPauses
from ..traffic.routes import ConfigurationKeeper, RequestLimits, Service
from ..traffic.serverlimits import ServerLimits
from ..traffic.servers import Registry
from .callerhosts import CallerHosts
from .callers import CallerApi
from .coldchecks import COLD_CHECK_INTERVAL_SECONDS, ColdChecks
from .connections import Connections
from .coordinator import PlacementCoordinator
from .crashdetection import CrashDetector
from .crashsharing import CrashSharing
from .datagrams import MAX_DATAGRAM_BYTES, DatagramEndpoint
from .gauges import gauges_of
from .hostentries import own_member
from .limiting import (
    TRANSFER_INTERVAL_SECONDS,
    PlacementShare,
    WorkspaceLimiter,
)
from .logwriter import LogWriter
from .membership import (
    HEARTBEAT_INTERVAL_SECONDS,
    LOAD_REPORT_INTERVAL_SECONDS,
    Membership,
)
from .notices import ServerNotices
from .prometheus import PrometheusMetrics
from .provenance import Provenance
from .relaying import RELAY_HEAD, RelayApi
from .relaying import STOPPING_HEADERS as RELAY_STOPPING_HEADERS
from .remotehosts import RemoteHosts
from .serverstarts import ServerStarts
from .startmessages import ColdServerMessage, ServerStartsMessage
from .state import EntryState
from .stopping import STOPPING_TEXT, Stopping
from .storedrecords import StoredRecords
from .storesync import StoreSync
from .streamorigins import StreamOrigins
from .views import ConfirmedView, ViewVerifier
from .watches import StoreContact
from .web import WebFactory, respond_unknown

__all__ = ["EntryProcess", "run_command"]

CHECK_INTERVAL_SECONDS = 0.1
"""Interval between checks of the requests in progress and of reads from other
regions that are due; a request is answered at most this long after its
deadline."""

LOG_FLUSH_INTERVAL_SECONDS = 0.25
"""Interval between writes of log lines."""

PEER_IDLE_SECONDS = 30.0
"""Idle timeout of connections from other hosts. The other side stops using an
idle connection much sooner."""

IDLE_SECONDS = 0.25
"""Seconds for which a stopping host has to be idle before it ends."""

MIN_DELIVERY_SECONDS = 0.1
"""Seconds for which a host delivers responses that was suspended past the time
allowed for that."""

LISTEN_BACKLOG = 512


class EntryProcess:
    """An entry process with all of its parts connected.

    Args:
        settings: The `EntrySettings`.
        reactor: The reactor.
        wall: Callable that returns the wall clock in seconds.
        boot_clock: Callable that returns the seconds of a clock that also
            counts while the host is suspended.
        rng: Random number generator.
        write: Called with bytes of log lines.
        metrics_port: Port of the metrics page, or 0 for none.
    """

    def __init__(
        self,
        settings,
        reactor,
        *,
        wall,
        boot_clock,
        rng,
        write,
        metrics_port=0,
    ):
        self.settings = settings
        self.reactor = reactor
        self.rng = rng
        self.wall = wall
        self.started_at = reactor.seconds()
        self.log_writer = LogWriter(reactor, write)
        self.metrics = PrometheusMetrics(self.gauges)
        self.timeline = Timeline(
            settings.host,
            HybridClock(wall),
            listeners=[self.log_writer, self.metrics],
        )
        self.metrics_port = metrics_port
        self.in_progress = InProgress(
            reactor, lambda request: self.callers.refuse_stopping(request)
        )
        self.listeners = Listeners(
            reactor,
            limits_for(settings.memory_bytes, settings.max_descriptors),
            self.timeline,
        )
        self.caller_site = NOTHING
        self.udp_port = NOTHING
        self.loops = []
        self.build_state(boot_clock, wall)
        self.build_services()

    def build_state(self, boot_clock, wall):
        """Build the decision logic and the state that all parts share."""
        settings = self.settings
        self.keeper = ConfigurationKeeper()
        self.registry = Registry(settings.regions)
        self.crashes = CrashTracker()
        self.crashes.causes.listed_releases = self.registry.listed_releases
        self.part_runs = PartRuns()
        self.members = Members(own_member(settings, int(wall() * 1000)))
        placement_share = PlacementShare(self.members, self.reactor)
        self.retry_after_pauses = RetryAfterPauses(self.registry, self.rng)
        self.server_limits = ServerLimits(placement_share.share, self.rng)
        self.placer = Placer(
            settings.region,
            self.registry,
            self.service,
            self.cold_rate_limit,
            self.rng,
            self.members.regions,
            limits=self.server_limits,
            cold_rates=ColdRates(placement_share.confirmed_share),
            started_at=self.started_at,
            disabled=settings.disabled_mechanisms,
        )
        self.datagrams = DatagramEndpoint(
            lambda message, ip: self.run_guarded(
                lambda: self.membership.receive(message, ip)
            ),
            lambda why: self.timeline.note(EventKind.PEER_REFUSED, why=why),
        )
        self.limiter = WorkspaceLimiter(
            TokenLimits(
                len(set(settings.regions.values())),
                Allowance(
                    settings.limit_overage,
                    settings.limit_slack,
                    settings.limit_window,
                ),
                placement_share.share,
            ),
            self.keeper,
            self.members,
            self.datagrams,
            boot_clock,
            self.reactor,
            self.rng,
            placement_share,
            lambda: self.membership.remote_contacts,
        )
        self.coordinator = PlacementCoordinator(
            self.members,
            self.placer,
            self.registry,
            self.datagrams,
            self.reactor,
            boot_clock,
            self.timeline,
            self.limiter,
            self.retry_after_pauses,
            self.rng,
            self.run_guarded,
        )
        connections = Connections(
            self.reactor, settings.address, self.listeners.account
        )
        view = ConfirmedView(
            boot_clock, settings.revocation, settings.apply_seconds
        )
        sharing = CrashSharing(
            self.crashes,
            self.part_runs,
            self.members,
            self.datagrams,
            self.reactor,
            self.timeline,
            lambda: self.membership.remote_hosts_to_notify(),
            lambda suspect: self.stored.crashes.save(suspect),
        )
        contact = StoreContact(self.reactor, self.timeline)
        self.state = EntryState(
            settings=settings,
            clock=self.reactor,
            timeline=self.timeline,
            rng=self.rng,
            keeper=self.keeper,
            registry=self.registry,
            members=self.members,
            coordinator=self.coordinator,
            connections=connections,
            remote_hosts=RemoteHosts(
                self.members, connections, self.reactor, self.rng
            ),
            contact=contact,
            view=view,
            provenance=Provenance(self.keeper, view, self.reactor),
            retries=WindowedRetryBudget(
                settings.retry_ratio,
                settings.retry_extra,
                settings.retry_window,
            ),
            crash_detector=CrashDetector(
                connections,
                self.registry,
                self.reactor,
                self.timeline,
                sharing,
            ),
            sharing=sharing,
            notices=ServerNotices(
                self.server_limits,
                self.retry_after_pauses,
                self.registry,
                self.members,
                self.datagrams,
                connections,
                self.reactor,
                self.timeline,
                lambda message: self.membership.broadcast_in_region(message),
                self.coordinator.record_load,
            ),
            stream_origins=StreamOrigins(
                self.members,
                self.registry,
                contact,
                self.datagrams,
                self.reactor,
                lambda member: self.datagrams.send(
                    self.membership.heartbeat(), member.control
                ),
            ),
            starts=ServerStarts(
                self.registry,
                self.coordinator,
                contact,
                connections,
                headers,
                self.reactor,
                self.timeline,
                lambda message: self.membership.broadcast_in_region(message),
            ),
            codec=headers,
            stopping=Stopping(
                self.reactor,
                settings.stop_seconds,
                self.members,
                self.keeper,
            ),
        )

    def build_services(self):
        """Build the parts that communicate with store, hosts and callers."""
        store = PlatformStore(
            self.settings.store,
            self.state.connections,
            self.reactor,
            lambda sent_at: self.store_sync.restart_older_watches(sent_at),
            self.on_store_restored,
        )
        self.store_sync = StoreSync(
            self.state,
            store,
            layout,
            on_applied=self.on_configuration_applied,
            on_hosts_read=lambda: self.membership.send_heartbeats(),
            broadcast=lambda message: self.membership.broadcast_in_region(
                message
            ),
            on_records_read=lambda entries: self.stored.load(entries),
        )
        self.stored = StoredRecords(
            self.state,
            store,
            self.crashes,
            self.wall,
            self.store_sync.spawn,
            self.store_sync.is_first_watching,
        )
        self.views = ViewVerifier(
            self.state.view,
            self.keeper,
            self.members,
            self.datagrams,
            self.reactor,
            self.timeline,
            self.store_sync.read_configuration,
            lambda: self.membership.remote_contacts,
        )
        self.membership = Membership(
            self.members,
            self.coordinator,
            self.placer,
            self.datagrams,
            self.reactor,
            self.timeline,
            self.store_sync.replication.on_peer_ahead,
            self.store_sync.replication.apply_change,
            self.state.sharing,
            self.state.notices,
            self.views,
            self.state.stream_origins,
        )
        handlers = self.membership.handlers
        handlers[ServerStartsMessage] = self.state.starts.merge
        self.cold_checks = ColdChecks(
            self.coordinator,
            self.state.starts,
            self.state.connections,
            headers,
            self.reactor,
            self.timeline,
            self.membership.broadcast_in_region,
        )
        handlers[ColdServerMessage] = self.cold_checks.merge
        self.callers = CallerApi(self.state, self.views)
        self.relay = RelayApi(self.state, self.store_sync.replication.snapshot)
        self.pages = DirectoryHandler(
            CallerHosts(self.members, self.keeper, self.reactor).hosts_for,
            self.is_ready,
        )

    def service(self, name):
        """Return the `Service` of *name* in the configuration in force."""
        if not self.keeper.current:
            return Service(name=name)
        return self.keeper.current.service(name)

    def cold_rate_limit(self, service):
        """Return the requests per second that a cold server may receive."""
        factor = service.cold_rate * self.settings.cold_factor
        return factor + self.settings.cold_extra

    def on_store_restored(self, previous, era):
        """Write again what this host has written, and read what is left."""
        self.store_sync.on_restored(previous, era)
        self.stored.on_restored()

    def on_configuration_applied(self):
        """Announce the new version, and release requests held at the start."""
        self.membership.send_heartbeats()
        self.callers.startup_queue.release()

    def limits(self):
        """Return the `RequestLimits` in force."""
        if not self.keeper.current:
            return RequestLimits()
        return self.keeper.current.limits

    def start(self):
        """Open all ports and start the periodic work."""
        settings = self.settings
        own = self.members.own
        self.caller_site = self.listen(settings.front, self.callers.handle)
        for address in {settings.ready, settings.directory} - {""}:
            self.listen(address, self.pages.handle)
        for address, idle in (
            (own.relay, PEER_IDLE_SECONDS),
            (settings.control, 0.0),
        ):
            if address:
                self.listen(
                    address,
                    self.relay.handle,
                    idle=idle,
                    added_head=RELAY_HEAD,
                    stopping_headers=RELAY_STOPPING_HEADERS,
                )
        if self.metrics_port:
            address = f"{settings.address}:{self.metrics_port}"
            self.listen(address, self.metrics.handle)
        ip, port = split_address(own.control)
        self.udp_port = self.reactor.listenUDP(
            port,
            self.datagrams,
            interface=ip,
            maxPacketSize=MAX_DATAGRAM_BYTES,
        )
        self.store_sync.start()
        self.repeat(HEARTBEAT_INTERVAL_SECONDS, self.on_heartbeat_interval)
        self.repeat(
            LOAD_REPORT_INTERVAL_SECONDS, self.membership.send_load_report
        )
        self.repeat(TRANSFER_INTERVAL_SECONDS, self.limiter.tick)
        self.repeat(COLD_CHECK_INTERVAL_SECONDS, self.cold_checks.tick)
        self.repeat(CHECK_INTERVAL_SECONDS, self.callers.check)
        self.repeat(CHECK_INTERVAL_SECONDS, self.relay.check)
        self.repeat(CHECK_INTERVAL_SECONDS, self.store_sync.replication.check)
        self.repeat(LOG_FLUSH_INTERVAL_SECONDS, self.log_writer.flush)
        self.timeline.note(
            EventKind.STARTED,
            incarnation=own.incarnation,
            region=settings.region,
            data_centre=settings.data_centre,
            without=sorted(one.label for one in settings.disabled_mechanisms),
        )

    def listen(self, address, handle, *, idle=0.0, **options):
        """Serve *handle* at *address*; return the `WebFactory`.

        Args:
            address: Address to listen at.
            handle: Called with each `WebRequest`.
            idle: Maximum idle time of a connection in seconds; 0 for that of
                the configuration.
            options: Further arguments of the `WebFactory`.
        """
        factory = WebFactory(
            handle,
            self.log_failure,
            self.reactor,
            self.in_progress,
            max_idle_seconds=lambda: idle or self.limits().idle_seconds,
            max_body_bytes=lambda: self.limits().body_bytes,
            max_head_bytes=lambda: self.limits().head_bytes,
            account=self.listeners.account,
            for_callers=address == self.settings.front,
            **options,
        )
        ip, port = split_address(address)
        listening = self.reactor.listenTCP(
            port, factory, backlog=LISTEN_BACKLOG, interface=ip
        )
        self.listeners.add(listening, factory)
        return factory

    def repeat(self, interval, work):
        """Call *work* now and then every *interval* seconds."""
        loop = task.LoopingCall(self.run_guarded, work)
        loop.clock = self.reactor
        loop.start(interval)
        self.loops.append(loop)

    def run_guarded(self, work):
        """Call *work*, and log any exception that it raises.

        An exception must stop neither periodic work nor the processing of
        messages.
        """
        try:
            work()
        except Exception:  # noqa: BLE001 - all are logged
            self.log_failure(Failure())

    def on_heartbeat_interval(self):
        """Do the work of one heartbeat interval."""
        self.members.own.up_seconds = self.reactor.seconds() - self.started_at
        self.store_sync.tick()
        self.views.tick()
        self.state.sharing.tick()
        self.state.notices.tick()
        self.stored.tick()
        self.state.stream_origins.tick()
        self.membership.send_heartbeats()
        self.limiter.placement_share.count_region()

    def gauges(self):
        """Return the current values of the gauges, by name."""
        return gauges_of(self)

    def is_ready(self):
        """Return whether this host accepts requests."""
        return bool(self.keeper.current) and not self.members.own.leaving

    def log_failure(self, failure):
        """Log an unexpected error at once, as the process may end with it."""
        self.timeline.note(EventKind.UNEXPECTED, error=failure.getTraceback())
        self.log_writer.flush()

    async def stop(self):
        """Stop gracefully, without aborting requests in progress.

        The host is reported as shutting down at once. It keeps serving
        callers that still have its address, then refuses new requests and ends
        as soon as none is in progress, so that its successor can start early.
        """
        self.state.stopping.begin()
        self.members.own.leaving = True
        self.listeners.announce()
        self.timeline.note(
            EventKind.STOPPING, active=len(self.callers.exchanges)
        )
        try:
            self.announce_stop()
            await self.sleep(self.state.stopping.drain_seconds)
            await self.wait_until_idle()
        finally:
            await self.end_requests()

    def announce_stop(self):
        """Tell other hosts and the store that this host leaves."""
        self.membership.send_heartbeats()
        self.state.stream_origins.hand_over()
        self.store_sync.spawn(self.store_sync.leave())

    async def wait_until_idle(self):
        """Wait until the host has been idle for a while, or its time is over.

        Another host may stop meanwhile, so that this one has to serve again.
        Idle connections of callers are closed if another host can serve them.
        Those of other hosts are not, as a request over a long link would cross
        the close.
        """
        stopping = self.state.stopping
        while stopping.has_time(0.0):
            if self.is_busy():
                self.listeners.end_lingering()
                if not stopping.is_last_host():
                    self.caller_site.close_idle()
                await self.sleep_until_end(CHECK_INTERVAL_SECONDS)
                continue
            accepted = self.accepted_requests
            await self.sleep_until_end(IDLE_SECONDS)
            if accepted == self.accepted_requests and not self.is_busy():
                return

    def sleep_until_end(self, seconds):
        """Return a deferred of *seconds*, or of the time that is left."""
        left = self.state.stopping.ends_at - self.reactor.seconds()
        return self.sleep(max(0.0, min(seconds, left)))

    async def end_requests(self):
        """End what is still in progress, and deliver the responses."""
        stopping = self.state.stopping
        stopping.refusing = True
        active = len(self.in_progress)
        self.end_all()
        at_least = self.reactor.seconds() + MIN_DELIVERY_SECONDS
        await self.listeners.close(max(stopping.exits_at, at_least))
        self.timeline.note(
            EventKind.STOPPED,
            active=active,
            unanswered=len(self.in_progress),
            unsent_bytes=self.listeners.unsent_bytes,
        )
        self.log_writer.flush()

    def end_all(self):
        """End and log each request in progress."""
        for tracked in self.in_progress.tracked_requests():
            self.run_guarded(partial(self.log_ended_by_stop, tracked))
            self.run_guarded(tracked.end)
        for tracked in self.in_progress.tracked_requests():
            if not tracked.request.finished:
                self.run_guarded(
                    partial(respond_unknown, tracked.request, STOPPING_TEXT)
                )

    def log_ended_by_stop(self, tracked):
        """Log a request without a complete response as the process ends."""
        headers = tracked.request.requestHeaders
        metadata = self.state.codec.read_caller(headers)
        stopping = self.state.stopping
        waited = self.reactor.seconds() - tracked.began_at
        self.timeline.note(
            EventKind.ENDED_BY_STOP,
            request=metadata.id.decode("latin-1"),
            waits_for=tracked.waits_for,
            waited_ms=int(waited * 1000),
            stopping_ms=int(stopping.seconds * 1000),
            last_of_region=stopping.is_last_host(),
            **self.state.provenance.details(),
        )

    @property
    def accepted_requests(self):
        """Number of requests of callers and other hosts accepted so far."""
        return self.callers.accepted + self.relay.accepted

    def is_busy(self):
        """Return whether requests are in progress or no host can take over."""
        return len(self.in_progress) > 0 or self.callers.must_stay_up()

    async def close(self):
        """Close all sockets and end all periodic work."""
        for loop in self.loops:
            if loop.running:
                loop.stop()
        self.store_sync.stop()
        self.listeners.stop_listening()
        self.listeners.abort()
        await self.udp_port.stopListening()
        self.state.connections.close()

    def sleep(self, seconds):
        """Return a deferred that fires after *seconds*."""
        return task.deferLater(self.reactor, seconds)

    def reload(self):
        """Log that the settings file has changed.

        All settings read from it are fixed for the lifetime of a process.
        """
        self.timeline.note(EventKind.RELOADED)


def boot_seconds():
    """Return the seconds of a clock that also counts suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def write_standard_output(data):
    """Write log lines; return the number of bytes written."""
    return os.write(sys.stdout.fileno(), data)


def run(settings, metrics_port=0):
    """Run an entry process until it receives a stop signal."""
    from twisted.internet import reactor

    os.set_blocking(sys.stdout.fileno(), False)
    # A step of the wall clock must not affect any timer.
    reactor.seconds = time.monotonic
    process = EntryProcess(
        settings,
        reactor,
        wall=time.time,
        boot_clock=boot_seconds,
        rng=random.Random(),
        write=write_standard_output,
        metrics_port=metrics_port,
    )

    def reload(number, frame):
        reactor.callFromThread(process.reload)

    signals = StopSignals(
        reactor,
        process.stop,
        timeline=process.timeline,
        on_failure=process.log_failure,
    )
    signals.install()
    signal.signal(signal.SIGHUP, reload)
    process.start()
    reactor.run(installSignalHandlers=False)


def run_command(path, metrics_port, without, check):
    """Run the entry program with the values of its command-line options."""
    try:
        settings = replace(
            read_settings(path), disabled_mechanisms=parse_disabled(without)
        )
    except SettingsError as problem:
        print(problem, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    if check:
        print(f"{path}: settings are valid")
        return
    run(settings, metrics_port)
