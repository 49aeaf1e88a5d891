"""The entry program: composition root and command of ``hyssop-entry``."""

import os
import random
import signal
import sys
import time
from dataclasses import replace

import click
from twisted.internet import defer, task
from twisted.python.failure import Failure

from ..core.addresses import split_address
from ..core.events import EventKind, HybridClock, Timeline
from ..core.exceptions import EXIT_BAD_SETTINGS, SettingsError
from ..core.tokenlimits import Allowance, TokenLimits
from ..platform import headers, layout
from ..platform.directory import DirectoryHandler
from ..platform.settings import PATH_VARIABLE, read_settings
from ..platform.store import PlatformStore
from ..traffic.crashes import Crashes
from ..traffic.mechanisms import parse_off
from ..traffic.members import Member, Members
from ..traffic.placing import Placer
from ..traffic.rests import Rests
from ..traffic.retries import RetryWindow
from ..traffic.routes import ConfigurationKeeper, RequestLimits, Service
from ..traffic.serverlimits import ServerLimits
from ..traffic.servers import Registry
from .asking import Asking
from .callers import FINISH_MARGIN, SERVE_ON, CallerApi
from .connections import Connections
from .crashsharing import CrashSharing
from .crashstore import CrashStore
from .datagrams import LONGEST, Datagrams
from .endings import Endings
from .farhosts import FarHosts
from .following import Following
from .limiting import TRANSFERS_EVERY, Limiting, Standing
from .lines import LineWriter
from .measures import Measures
from .membership import HEARTBEAT_EVERY, SUMMARY_EVERY, Membership
from .mirrors import Contact
from .notices import Notices
from .provenance import Provenance
from .relaying import RelayApi
from .state import EntryState
from .views import ConfirmedView, ViewChecking
from .web import WebFactory

__all__ = ["EntryProcess", "main"]

CHECK_EVERY = 0.1
"""Seconds between looks at requests in progress; a request is answered
at most this much after its time."""

FLUSH_EVERY = 0.25
"""Seconds between writes of log lines."""

PEER_IDLE_SECONDS = 30.0
"""Seconds for which a connection of another host may idle; the other side
stops using it much sooner."""

SEND_OUT = 0.25
"""Seconds between the end of the last request and the end of the process.
The end of an answer is still in the buffer of its connection then; a
process that ended at once would cut an answer that was whole."""

BACKLOG = 512


class EntryProcess:
    """All parts of one entry process, wired.

    Args:
        settings: The `EntrySettings`.
        reactor: The reactor.
        wall: Callable that returns the wall clock in seconds.
        boot_clock: Callable that returns the seconds of a clock that also
            counts while the host is suspended.
        rng: Random number generator.
        write: Called with bytes of log lines.
        metrics_port: Port of the metrics, or 0 for none.
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
        self.began = reactor.seconds()
        self.lines = LineWriter(reactor, write)
        self.measures = Measures(self.gauges)
        self.timeline = Timeline(
            settings.host,
            HybridClock(wall),
            listeners=[self.lines, self.measures],
        )
        self.metrics_port = metrics_port
        self.ports = []
        self.factories = []
        self.loops = []
        self.make_traffic(boot_clock, wall)
        self.make_services()

    def make_traffic(self, boot_clock, wall):
        """Make what decides, and the state that all parts share."""
        settings = self.settings
        self.keeper = ConfigurationKeeper()
        self.registry = Registry(settings.regions)
        self.crashes = Crashes()
        self.members = Members(own_member(settings, int(wall() * 1000)))
        standing = Standing(self.members, self.reactor)
        self.rests = Rests(self.registry, self.rng)
        self.server_limits = ServerLimits(standing.weight, self.rng)
        self.placer = Placer(
            settings.region,
            self.registry,
            self.service,
            self.cold_bound,
            self.rng,
            self.members.regions,
            limits=self.server_limits,
            started_at=self.began,
            off=settings.off,
        )
        self.datagrams = Datagrams(
            lambda message, ip: self.guarded(
                lambda: self.membership.receive(message, ip)
            ),
            lambda why: self.timeline.note(EventKind.PEER_REFUSED, why=why),
        )
        self.limiting = Limiting(
            TokenLimits(
                len(set(settings.regions.values())),
                Allowance(
                    settings.limit_overage,
                    settings.limit_slack,
                    settings.limit_window,
                ),
                standing.weight,
            ),
            self.keeper,
            self.members,
            self.datagrams,
            boot_clock,
            self.reactor,
            self.rng,
            standing,
            lambda: self.membership.far_contacts,
        )
        self.asking = Asking(
            self.members,
            self.placer,
            self.registry,
            self.datagrams,
            self.reactor,
            boot_clock,
            self.timeline,
            self.limiting,
            self.rests,
            self.guarded,
        )
        connections = Connections(self.reactor, settings.address)
        view = ConfirmedView(
            boot_clock, settings.revocation, settings.apply_seconds
        )
        sharing = CrashSharing(
            self.crashes,
            self.members,
            self.datagrams,
            self.reactor,
            self.timeline,
            lambda: self.membership.far_hosts_to_tell(),
            lambda suspect: self.crash_store.save(suspect),
        )
        self.state = EntryState(
            settings=settings,
            clock=self.reactor,
            timeline=self.timeline,
            rng=self.rng,
            keeper=self.keeper,
            registry=self.registry,
            members=self.members,
            asking=self.asking,
            connections=connections,
            far_hosts=FarHosts(
                self.members, connections, self.reactor, self.rng
            ),
            contact=Contact(self.reactor, self.timeline),
            view=view,
            provenance=Provenance(self.keeper, view, self.reactor),
            retries=RetryWindow(
                settings.retry_ratio,
                settings.retry_extra,
                settings.retry_window,
            ),
            endings=Endings(
                connections,
                self.registry,
                self.reactor,
                self.timeline,
                sharing,
            ),
            sharing=sharing,
            notices=Notices(
                self.server_limits,
                self.rests,
                self.registry,
                self.members,
                self.datagrams,
                connections,
                self.reactor,
                self.timeline,
                lambda message: self.membership.spread(message),
            ),
            codec=headers,
        )

    def make_services(self):
        """Make what talks to the store, to hosts and to callers."""
        store = PlatformStore(
            self.settings.store,
            self.state.connections,
            self.reactor,
            lambda sent_at: self.following.store_silent(sent_at),
        )
        self.following = Following(
            self.state,
            store,
            layout,
            applied=self.configured,
            found_hosts=lambda: self.membership.beat(),
            spread=lambda message: self.membership.spread(message),
            found_crash=lambda entry: self.crash_store.load(entry),
        )
        self.crash_store = CrashStore(
            store,
            self.crashes,
            self.reactor,
            self.wall,
            self.timeline,
            self.following.spawn,
        )
        self.views = ViewChecking(
            self.state.view,
            self.keeper,
            self.members,
            self.datagrams,
            self.reactor,
            self.timeline,
            self.following.read_configuration,
            lambda: self.membership.far_contacts,
        )
        self.membership = Membership(
            self.members,
            self.asking,
            self.placer,
            self.datagrams,
            self.reactor,
            self.timeline,
            self.following.copies.neighbour_is_newer,
            self.following.copies.take_change,
            self.state.sharing,
            self.state.notices,
            self.views,
        )
        self.callers = CallerApi(self.state, self.views)
        self.relay = RelayApi(self.state, self.following.copies.snapshot)
        self.pages = DirectoryHandler(self.hosts_for, self.is_ready)

    def service(self, name):
        """Return the `Service` of *name* in the configuration in force."""
        if not self.keeper.current:
            return Service(name=name)
        return self.keeper.current.service(name)

    def cold_bound(self, service):
        """Return the requests that a cold server stands in a second."""
        factor = service.cold_rate * self.settings.cold_factor
        return factor + self.settings.cold_extra

    def configured(self):
        """Tell the hosts of the region, and serve those that waited."""
        self.membership.beat()
        self.callers.starting.release()

    def limits(self):
        """Return the `RequestLimits` in force."""
        if not self.keeper.current:
            return RequestLimits()
        return self.keeper.current.limits

    def start(self):
        """Listen, and begin all periodic work."""
        settings = self.settings
        own = self.members.own
        self.listen(settings.front, self.callers.handle)
        for address in {settings.ready, settings.directory} - {""}:
            self.listen(address, self.pages.handle)
        self.listen(own.relay, self.relay.handle, idle=PEER_IDLE_SECONDS)
        if settings.control:
            self.listen(settings.control, self.relay.handle)
        if self.metrics_port:
            address = f"{settings.address}:{self.metrics_port}"
            self.listen(address, self.measures.handle)
        ip, port = split_address(own.control)
        self.ports.append(
            self.reactor.listenUDP(
                port, self.datagrams, interface=ip, maxPacketSize=LONGEST
            )
        )
        self.following.start()
        self.repeat(HEARTBEAT_EVERY, self.beat)
        self.repeat(SUMMARY_EVERY, self.membership.summarize)
        self.repeat(TRANSFERS_EVERY, self.limiting.tick)
        self.repeat(CHECK_EVERY, self.callers.check)
        self.repeat(FLUSH_EVERY, self.lines.flush)
        self.timeline.note(
            EventKind.STARTED,
            incarnation=own.incarnation,
            region=settings.region,
            data_centre=settings.data_centre,
            without=sorted(one.label for one in settings.off),
        )

    def listen(self, address, handle, *, idle=0.0):
        """Serve *handle* at *address*."""
        factory = WebFactory(
            handle,
            self.reactor,
            idle_seconds=lambda: idle or self.limits().idle_seconds,
            longest_body=lambda: self.limits().body_bytes,
        )
        ip, port = split_address(address)
        self.factories.append(factory)
        self.ports.append(
            self.reactor.listenTCP(
                port, factory, backlog=BACKLOG, interface=ip
            )
        )

    def repeat(self, interval, work):
        """Call *work* every *interval* seconds, now first."""
        loop = task.LoopingCall(self.guarded, work)
        loop.clock = self.reactor
        loop.start(interval)
        self.loops.append(loop)

    def guarded(self, work):
        """Call *work*; a failure of it shows in the log and ends there.

        It must end neither periodic work nor the receipt of messages.
        """
        try:
            work()
        except Exception:  # noqa: BLE001 - all are written to the log
            self.timeline.note(
                EventKind.UNEXPECTED, error=Failure().getTraceback()
            )

    def beat(self):
        """Do the work of a heartbeat interval."""
        self.members.own.up_seconds = self.reactor.seconds() - self.began
        self.following.tick()
        self.views.tick()
        self.state.sharing.tick()
        self.state.notices.tick()
        self.crash_store.tick()
        self.membership.beat()

    def gauges(self):
        """Return the values of this moment, by name."""
        now = self.reactor.seconds()
        return {
            "requests_in_progress": len(self.callers.exchanges),
            "relayed_in_progress": len(self.relay.relayed),
            "questions_left_out_total": self.asking.left_out,
            "requests_suspected": len(self.crashes.suspects),
            "servers_leaving_by_answer": self.registry.leaving_by_answer(),
            "servers_at_rest": self.rests.at_rest(now),
            "servers_limited": self.server_limits.in_force(now),
            "requests_placed": len(self.placer.tickets),
            "hosts_live": len(self.members.live(now)),
            "servers_known": len(self.registry.servers),
            "configuration_version": self.keeper.version,
            "store_contact_age_seconds": round(self.state.contact.age, 1),
            "view_age_seconds": round(min(self.state.view.age, 1e6), 1),
            "watch_age_seconds": self.following.watch_age,
            "store_calls_total": self.following.store.calls,
            "connections_opened_total": self.state.connections.opened,
            "connections_unopened_total": self.state.connections.unopened,
            "datagram_bytes_sent_total": self.datagrams.bytes_sent,
            "log_lines_left_out": self.lines.left_out,
        }

    def is_ready(self):
        """Whether this host takes requests."""
        return bool(self.keeper.current) and not self.members.own.leaving

    def hosts_for(self, name, region, data_centre):
        """Return the addresses that callers of a region should use.

        A request body must not go to a region that is neither the
        caller's nor a home of its route. So hosts of the caller's region
        are named; without one, those of the homes of the name's routes;
        and then hosts that leave but still serve.

        Args:
            name: Host name that the caller wants to reach.
            region: Region of the caller.
            data_centre: Its data centre.
        """
        now = self.reactor.seconds()
        live = self.members.named(now)
        homes = self.homes_of(name)
        choices = (
            [one for one in live if one.region == region],
            [one for one in live if one.region in homes],
            self.members.leaving(now, region),
            live,
        )
        for members in choices:
            if members:
                return [member.front for member in members]
        return []

    def homes_of(self, name):
        """Return the regions that are a home of all bound routes."""
        if not self.keeper.current:
            return frozenset()
        bound = [
            route.homes
            for route in self.keeper.current.by_host.get(name.lower(), ())
            if route.homes
        ]
        return frozenset.intersection(*bound) if bound else frozenset()

    async def stop(self):
        """Stop gracefully: no request in progress is cut.

        At once the host counts as leaving; it goes on serving those who
        still hold its address, then refuses what is new and ends as soon
        as nothing is in progress, so that its successor starts early.
        """
        if self.members.own.leaving:
            return
        self.state.stopping_since = self.reactor.seconds()
        self.members.own.leaving = True
        self.timeline.note(
            EventKind.STOPPING, active=len(self.callers.exchanges)
        )
        self.membership.beat()
        self.following.spawn(self.following.leave())
        for factory in self.factories:
            factory.closing = True
        await self.sleep(SERVE_ON)
        end = self.settings.stop_seconds - FINISH_MARGIN
        while self.state.stopping_for < end and self.busy():
            self.factories[0].close_idle()
            await self.sleep(CHECK_EVERY)
        await self.sleep(SEND_OUT)
        self.timeline.note(
            EventKind.STOPPED, active=len(self.callers.exchanges)
        )
        self.lines.flush()

    def busy(self):
        """Whether something is in progress, or nobody could take over."""
        if self.callers.exchanges or self.relay.relayed:
            return True
        if self.callers.starting.waiting or self.callers.doubted.waiting:
            return True
        return self.callers.holds_on()

    async def close(self):
        """Close all sockets and end all periodic work."""
        for loop in self.loops:
            if loop.running:
                loop.stop()
        self.following.stop()
        for port in self.ports:
            await port.stopListening()
        for factory in self.factories:
            factory.close_all()
        self.state.connections.close()

    def sleep(self, seconds):
        """Return a deferred that fires after *seconds*."""
        return task.deferLater(self.reactor, seconds)

    def reload(self):
        """Note that the settings file has changed.

        All that is read from it is fixed for the life of a process.
        """
        self.timeline.note(EventKind.RELOADED)


def own_member(settings, incarnation):
    """Return the `Member` of this host."""
    first, last = settings.ports
    return Member(
        name=settings.host,
        region=settings.region,
        data_centre=settings.data_centre,
        front=settings.front,
        control=f"{settings.address}:{first}",
        relay=f"{settings.address}:{last}",
        capacity=settings.capacity,
        incarnation=incarnation,
    )


def boot_seconds():
    """Return the seconds of the clock that counts suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def write_standard_output(data):
    """Write log lines; return the bytes that were taken."""
    return os.write(sys.stdout.fileno(), data)


def run(settings, metrics_port=0):
    """Run an entry process until it is told to stop."""
    from twisted.internet import reactor

    os.set_blocking(sys.stdout.fileno(), False)
    # A step of the time of day must not move any timer.
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
    process.start()

    def stop(number, frame):
        reactor.callFromThread(begin_stop)

    def begin_stop():
        work = defer.ensureDeferred(process.stop())
        work.addBoth(lambda _: reactor.stop())

    def reload(number, frame):
        reactor.callFromThread(process.reload)

    reactor.callWhenRunning(signal.signal, signal.SIGTERM, stop)
    reactor.callWhenRunning(signal.signal, signal.SIGINT, stop)
    reactor.callWhenRunning(signal.signal, signal.SIGHUP, reload)
    reactor.run()


@click.command("hyssop-entry")
@click.option(
    "--settings",
    "path",
    default=lambda: os.environ.get(PATH_VARIABLE, ""),
    metavar="FILE",
    help=f"Settings file of the platform; else ${PATH_VARIABLE}.",
)
@click.option(
    "--metrics",
    "metrics_port",
    default=0,
    help="Port of the metrics page; 0 for none.",
)
@click.option(
    "--without",
    default="",
    metavar="NAME,...",
    help="Mechanisms of the policy to switch off, to measure their worth.",
)
@click.option("--check", is_flag=True, help="Check the file and stop.")
@click.version_option(package_name="hyssopspring")
def main(path, metrics_port, without, check):
    """Run an entry process on the users' platform."""
    try:
        settings = replace(read_settings(path), off=parse_off(without))
    except SettingsError as problem:
        click.echo(str(problem), err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    if check:
        click.echo(f"{path}: in order")
        return
    run(settings, metrics_port)


if __name__ == "__main__":
    main()
