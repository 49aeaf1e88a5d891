"""Heartbeats, load reports and summaries, in and out."""

import msgspec
from twisted.internet import defer

from ..core.events import EventKind
from ..core.exceptions import NoAnswerError, ProtocolError
from ..core.hashing import short_id
from ..core.membership import HEARTBEAT_INTERVAL_SECONDS
from ..core.placement import CentreSummary
from ..core.requests import Target, TargetKind
from ..core.sentinels import NOTHING
from .bus import SUMMARY_TOPIC, beat_topic
from .clients import fetch
from .dispatching import LOAD_DECODER, load_report, reported_load
from .messages import (
    ENCODER,
    Heartbeat,
    ServerLoad,
    Summary,
    TargetLoad,
)

POLL_AFTER = 1.5
POLL_TIMEOUT = 1.0
SUMMARY_BYTES_PER_SECOND = 1000
SUMMARY_EVERY = 1.0
ANNOUNCED_SUMMARY = 5.0


class Membership:
    """Exchange control messages with the other hosts.

    Args:
        state: The `HostState`.
        peers: The `PeerTable`.
        bus: The `Bus`.
        agent: Agent for load polls.
        drain: The `Drain`.
        incarnation: Changes each time that the process starts.
        forward_address: Own address for forwarded requests.
        newer: Called with host name and generation when a peer has a
            newer configuration.
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
        newer,
    ):
        self.state = state
        self.peers = peers
        self.bus = bus
        self.agent = agent
        self.drain = drain
        self.incarnation = incarnation
        self.forward_address = forward_address
        self.newer = newer
        self.sequence = 0
        self.summary_due = 0.0
        self.summary_every = SUMMARY_EVERY
        self.polls = 0

    def start(self):
        """Subscribe to what this host needs to hear."""
        self.bus.subscribe(beat_topic(self.state.data_centre))
        self.bus.subscribe(SUMMARY_TOPIC)

    def tick(self):
        """Do what is due; called once a heartbeat interval."""
        self.bus.connect(self.peers.control_addresses())
        self.send_heartbeat()
        now = self.state.clock.seconds()
        if self.peers.is_reporter(now) and now >= self.summary_due:
            self.send_summary(now)
        return self.poll_servers(now)

    def announce(self):
        """Tell the others at once of a new configuration.

        Other data centres have watchers of their own, so a summary ahead
        of its time is sent only where it costs little.
        """
        if self.summary_every <= ANNOUNCED_SUMMARY:
            self.summary_due = 0.0
        self.send_heartbeat()

    def send_heartbeat(self):
        """Tell the hosts of this data centre how things stand."""
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
            servers=self.fresh_reports(now),
            departing=[
                name
                for name, server in self.state.table.servers.items()
                if server.leaving
            ],
        )
        self.bus.publish(beat_topic(self.state.data_centre), message)

    def fresh_reports(self, now):
        """Return the reports of the last interval, to pass them on."""
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
        """Tell the other data centres what is spare here.

        The more hosts listen, the rarer the summaries: what this host
        sends stays within a fixed number of bytes a second. Fresher news
        rides on each answer to a forwarded request.
        """
        listeners = sum(
            1 for host in self.peers.entries if not self.peers.is_local(host)
        )
        millis, counter = self.state.timeline.clock.tick()
        self.sequence += 1
        message = Summary(
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
        paced = size * max(1, listeners) / SUMMARY_BYTES_PER_SECOND
        every = max(SUMMARY_EVERY, paced)
        self.summary_every = every
        message = msgspec.structs.replace(message, every=every)
        self.bus.publish(SUMMARY_TOPIC, message)
        self.summary_due = now + every - HEARTBEAT_INTERVAL_SECONDS / 2

    def local_gateways(self, now):
        """Return where other data centres can forward requests to."""
        addresses = [
            entry.forward
            for host, entry in self.peers.entries.items()
            if self.peers.is_local(host) and self.peers.is_usable(host, now)
        ]
        if not self.drain.leaving:
            addresses.append(self.forward_address)
        return sorted(addresses)

    def hear(self, message):
        """Take in a message of another host."""
        now = self.state.clock.seconds()
        self.state.timeline.clock.advance_past(message.millis, message.counter)
        if not self.peers.apply_message(message, now):
            return
        if message.generation > self.state.keeper.generation:
            self.newer(message.host, message.generation)
        else:
            self.note_contact(message, now)
        if isinstance(message, Summary):
            if message.data_centre == self.state.data_centre:
                return
            self.state.centres.apply_summary(centre_summary(message, now))
        elif isinstance(message, Heartbeat):
            self.take_heartbeat(message, now)

    def note_contact(self, message, now):
        """Note a neighbour's word that it has just read the platform.

        A message of a newer configuration proves nothing until that is
        fetched, since it may withdraw a right.
        """
        if isinstance(message, Heartbeat) and message.contact:
            self.state.trust.record_neighbour_contact(now)

    def take_heartbeat(self, message, now):
        """Take over the loads that a host of this data centre took."""
        for load in message.servers:
            name = self.state.table.names.get(load.server)
            if name is not None:
                self.take_load(name, load_report(load, now))
        for name in message.departing:
            server = self.state.table.servers.get(name)
            if server is not None and not server.leaving:
                self.note_leaving(name, message.host)
                self.state.table.mark_leaving(name)

    def take_load(self, name, report):
        """Take over one load report."""
        server = self.state.table.servers.get(name)
        if server is None:
            return
        before = server.leaving
        self.state.table.apply_report(name, report)
        if server.leaving and not before:
            self.note_leaving(name, self.state.host)

    def note_leaving(self, name, source):
        """Put a server's leave on the time line."""
        self.state.timeline.note(
            EventKind.SERVER_LEAVING, server=name, source=source
        )

    def poll_servers(self, now):
        """Ask the servers that this host polls and has no news of."""
        work = []
        for name, server in list(self.state.table.servers.items()):
            report = server.report
            fresh = report is not NOTHING and now - report.at < POLL_AFTER
            if fresh or not self.peers.owns(name, now):
                continue
            work.append(defer.ensureDeferred(self.poll(name, server)))
        return defer.DeferredList(work)

    async def poll(self, name, server):
        """Ask one server for its load."""
        self.polls += 1
        try:
            status, body = await fetch(
                self.agent,
                b"GET",
                f"http://{server.entry.address}/load",
                clock=self.state.clock,
                timeout=POLL_TIMEOUT,
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
        self.take_load(name, reported_load(load, now))


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
    """Return the `CentreSummary` of a message that came at *now*."""
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
