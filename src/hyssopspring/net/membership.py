"""Exchange of heartbeats, load reports and data centre summaries."""

import msgspec
from twisted.internet import defer

from ..core.events import EventKind
from ..core.exceptions import NoAnswerError, ProtocolError
from ..core.hashing import short_id
from ..core.membership import HEARTBEAT_INTERVAL_SECONDS
from ..core.placement import CentreSummary
from ..core.requests import Target, TargetKind
from ..core.sentinels import NOTHING
from .bus import SUMMARY_TOPIC, heartbeat_topic
from .clients import fetch
from .dispatching import LOAD_DECODER, load_report, reported_load
from .messages import (
    ENCODER,
    DataCentreSummaryMessage,
    Heartbeat,
    ServerLoad,
    TargetLoad,
)

MAX_REPORT_AGE_SECONDS = 1.5
"""Age of a backend server's last load report from which the server is
polled."""

POLL_TIMEOUT_SECONDS = 1.0
"""Time limit of one load poll."""

SUMMARY_BYTES_PER_SECOND = 1000
"""Limit on what this host sends in summaries to all receivers together."""

MIN_SUMMARY_INTERVAL_SECONDS = 1.0
"""Shortest interval between two summaries."""

MAX_ANNOUNCED_INTERVAL_SECONDS = 5.0
"""Longest summary interval with which a new configuration triggers a summary
at once. Beyond it, summaries are large or have many receivers, so that an
additional one costs too much bandwidth."""


class Membership:
    """Exchange control messages with the other hosts.

    Args:
        state: `HostState` of this host.
        peers: `PeerTable` of the other hosts.
        bus: `Bus` that sends the messages.
        agent: HTTP agent for load polls.
        drain: `Drain` that tracks the shutdown of this host.
        incarnation: Identifier that changes with each start of the
            process.
        forward_address: Address of this host for forwarded requests.
        on_newer_generation: Called with host name and generation when a
            peer has a newer configuration.

    Attributes:
        sequence: Number of the last message sent.
        summary_due: Time at which the next summary is due.
        summary_interval: Current interval between summaries in seconds.
        polls: Count of load polls sent.
    """

    def __init__(
        self,
        state,
        peers,
        bus,
        agent,
        drain,
        *,
        incarnation,
        forward_address,
        on_newer_generation,
    ):
        self.state = state
        self.peers = peers
        self.bus = bus
        self.agent = agent
        self.drain = drain
        self.incarnation = incarnation
        self.forward_address = forward_address
        self.on_newer_generation = on_newer_generation
        self.sequence = 0
        self.summary_due = 0.0
        self.summary_interval = MIN_SUMMARY_INTERVAL_SECONDS
        self.polls = 0

    def start(self):
        """Subscribe to the topics that this host needs."""
        self.bus.subscribe(heartbeat_topic(self.state.data_centre))
        self.bus.subscribe(SUMMARY_TOPIC)

    def tick(self):
        """Do the periodic work; called once per heartbeat interval."""
        self.bus.connect(self.peers.control_addresses())
        self.send_heartbeat()
        now = self.state.clock.seconds()
        if self.peers.is_reporter(now) and now >= self.summary_due:
            self.send_summary(now)
        return self.poll_servers(now)

    def announce(self):
        """Announce a new configuration to the other hosts immediately.

        Other data centres have hosts of their own that watch the
        platform, so a summary is sent ahead of schedule only while
        summaries are frequent and therefore cheap.
        """
        if self.summary_interval <= MAX_ANNOUNCED_INTERVAL_SECONDS:
            self.summary_due = 0.0
        self.send_heartbeat()

    def send_heartbeat(self):
        """Send the state of this host to its data centre."""
        now = self.state.clock.seconds()
        millis, counter = self.state.timeline.clock.tick()
        self.sequence += 1
        message = Heartbeat(
            host=self.state.host,
            data_centre=self.state.data_centre,
            incarnation=self.incarnation,
            sequence=self.sequence,
            millis=millis,
            counter=counter,
            generation=self.state.keeper.generation,
            leaving=self.drain.leaving,
            contact=self.state.trust.in_contact(now),
            servers=self.recent_reports(now),
            departing=[
                name
                for name, server in self.state.table.servers.items()
                if server.leaving
            ],
        )
        self.bus.publish(heartbeat_topic(self.state.data_centre), message)

    def recent_reports(self, now):
        """Return the load reports to pass on in the next heartbeat.

        These are the reports of the last heartbeat interval on the
        servers that this host polls.
        """
        loads = []
        for name, server in self.state.table.servers.items():
            report = server.report
            if (
                report is NOTHING
                or now - report.at > HEARTBEAT_INTERVAL_SECONDS
            ):
                continue
            if not self.peers.owns(name, now):
                continue
            loads.append(
                ServerLoad(
                    server=short_id(name),
                    incarnation=report.incarnation,
                    sequence=report.sequence,
                    running=report.running,
                    waiting=report.waiting,
                    slots=report.slots,
                    leaving=report.leaving,
                )
            )
        return loads

    def send_summary(self, now):
        """Send the spare capacity of this data centre to the others.

        The interval grows with the number of receivers, so that this host
        sends at most `SUMMARY_BYTES_PER_SECOND`. More recent loads are
        included in each response to a forwarded request.
        """
        listeners = sum(
            1 for host in self.peers.entries if not self.peers.is_local(host)
        )
        millis, counter = self.state.timeline.clock.tick()
        self.sequence += 1
        message = DataCentreSummaryMessage(
            host=self.state.host,
            region=self.state.region,
            data_centre=self.state.data_centre,
            incarnation=self.incarnation,
            sequence=self.sequence,
            millis=millis,
            counter=counter,
            generation=self.state.keeper.generation,
            listeners=max(1, listeners),
            gateways=self.local_gateways(now),
            targets=target_loads(self.state.table, now),
        )
        size = len(ENCODER.encode(message))
        paced_interval = size * max(1, listeners) / SUMMARY_BYTES_PER_SECOND
        interval = max(MIN_SUMMARY_INTERVAL_SECONDS, paced_interval)
        self.summary_interval = interval
        message = msgspec.structs.replace(message, every=interval)
        self.bus.publish(SUMMARY_TOPIC, message)
        self.summary_due = now + interval - HEARTBEAT_INTERVAL_SECONDS / 2

    def local_gateways(self, now):
        """Return the addresses to which others can forward requests."""
        addresses = [
            entry.forward
            for host, entry in self.peers.entries.items()
            if self.peers.is_local(host) and self.peers.is_usable(host, now)
        ]
        if not self.drain.leaving:
            addresses.append(self.forward_address)
        return sorted(addresses)

    def handle_message(self, message):
        """Handle a heartbeat or a summary of another host."""
        now = self.state.clock.seconds()
        self.state.timeline.clock.advance_past(message.millis, message.counter)
        if not self.peers.apply_message(message, now):
            return
        if message.generation > self.state.keeper.generation:
            self.on_newer_generation(message.host, message.generation)
        else:
            self.record_platform_contact(message, now)
        if isinstance(message, DataCentreSummaryMessage):
            if message.data_centre == self.state.data_centre:
                return
            self.state.centres.apply_summary(centre_summary(message, now))
        elif isinstance(message, Heartbeat):
            self.handle_heartbeat(message, now)

    def record_platform_contact(self, message, now):
        """Record that a neighbour has just read the platform.

        It is not called for a message with a newer generation. Such a
        message proves nothing until that configuration is fetched, since
        it may withdraw a right.
        """
        if isinstance(message, Heartbeat) and message.contact:
            self.state.trust.record_neighbour_contact(now)

    def handle_heartbeat(self, message, now):
        """Apply the load reports that a host of this data centre sent."""
        for load in message.servers:
            name = self.state.table.names.get(load.server)
            if name is not None:
                self.apply_load_report(name, load_report(load, now))
        for name in message.departing:
            server = self.state.table.servers.get(name)
            if server is not None and not server.leaving:
                self.log_draining_server(name, message.host)
                self.state.table.mark_leaving(name)

    def apply_load_report(self, name, report):
        """Apply one load report of a backend server."""
        server = self.state.table.servers.get(name)
        if server is None:
            return
        was_leaving = server.leaving
        self.state.table.apply_report(name, report)
        if server.leaving and not was_leaving:
            self.log_draining_server(name, self.state.host)

    def log_draining_server(self, name, source):
        """Log that a backend server is draining."""
        self.state.timeline.note(
            EventKind.SERVER_LEAVING, server=name, source=source
        )

    def poll_servers(self, now):
        """Poll the servers of this host that lack a recent load report."""
        polls_in_progress = []
        for name, server in list(self.state.table.servers.items()):
            report = server.report
            is_recent = (
                report is not NOTHING
                and now - report.at < MAX_REPORT_AGE_SECONDS
            )
            if is_recent or not self.peers.owns(name, now):
                continue
            polls_in_progress.append(
                defer.ensureDeferred(self.poll(name, server))
            )
        return defer.DeferredList(polls_in_progress)

    async def poll(self, name, server):
        """Poll one server for its load.

        A poll that fails is dropped; the next interval repeats it.
        """
        self.polls += 1
        try:
            status, body = await fetch(
                self.agent,
                b"GET",
                f"http://{server.entry.address}/load",
                clock=self.state.clock,
                timeout=POLL_TIMEOUT_SECONDS,
            )
        except (NoAnswerError, ProtocolError):
            return
        if status != 200:
            return
        try:
            load = LOAD_DECODER.decode(body)
        except msgspec.DecodeError:
            return
        now = self.state.clock.seconds()
        self.apply_load_report(name, reported_load(load, now))


def target_loads(table, now):
    """Return the `TargetLoad` of each target of a data centre."""
    return [
        TargetLoad(
            kind=target.kind,
            name=target.name,
            slots=slots,
            load=round(load, 2),
            wait=round(wait, 4),
        )
        for target, (slots, load, wait) in table.summarize(now).items()
    ]


def centre_summary(message, now):
    """Return the `CentreSummary` of a message received at *now*."""
    return CentreSummary(
        region=message.region,
        data_centre=message.data_centre,
        gateways=tuple(message.gateways),
        targets={
            Target(TargetKind(load.kind), load.name): (
                load.slots,
                load.load,
                load.wait,
            )
            for load in message.targets
        },
        listeners=message.listeners,
        at=now,
        every=message.every,
    )
