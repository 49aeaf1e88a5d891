"""Heartbeats and load reports between hosts."""

from ..core.events import EventKind
from ..core.sentinels import NOTHING
from ..traffic.evidence import Finding
from ..traffic.members import Report
from ..traffic.regions import RegionLoad, Room
from ..traffic.work import RANKS, Ticket
from .hostentries import member_of
from .messages import (
    AskMessage,
    EndMessage,
    GrantMessage,
    Heartbeat,
    LimitMessage,
    NoticeRows,
    Records,
    RecordsAsk,
    RefusalMessage,
    Roster,
    ServiceLoad,
    StartMessage,
    StoreChange,
    Summary,
    Suspects,
    ToldRoom,
    Transfer,
    TransferAsk,
    ViewAnswer,
    ViewAsk,
)
from .rosters import Rosters

__all__ = ["Membership"]

HEARTBEAT_INTERVAL_SECONDS = 0.5
"""Seconds between heartbeats to the hosts of the region."""

ROSTER_INTERVAL_HEARTBEATS = 2
"""Heartbeat intervals between two rosters of this region. Who is about to
leave is told at once."""

REMOTE_INTERVAL_HEARTBEATS = 4
"""Heartbeat intervals between two rosters of or to another region."""

SEND_BATCH_HOSTS = 6
SEND_BATCH_PAUSE_SECONDS = 0.02
"""Hosts to which the same is sent at once, and seconds to the next ones. A
host that sends to its whole region in one go fills a link of 20 Mbit/s, and
what it sends last, to other regions, is always lost."""

REMOTE_REPLY_SECONDS = 6.5
"""Seconds within which a host of another region must answer a report: the
third in a row is without an answer by then."""

MAX_CONTACTS = 3
"""Hosts of a region that a host reports to: the one that places, and two
that would follow. With two, the loss of a data centre leaves a region
without any one time in two. Placing hosts report to as many elsewhere."""

LOAD_REPORT_INTERVAL_SECONDS = 0.2
"""Seconds between load reports to other regions; loads change within the
time of a few requests."""

PLACEMENT_REPORT_HOSTS = 2
"""Hosts of the region that hear of work in progress: the one that places,
and the one that would take over."""

UNCONFIRMED_PLACEMENT_SECONDS = 0.7
"""Seconds after which a placed request that its host does not name any
more is taken as ended."""

FORGET_HOST_SECONDS = 30.0
"""Seconds without a word after which a host is forgotten."""


class Membership:
    """Exchange control messages with the other hosts.

    Args:
        members: The `Members`.
        asking: The `Asking`.
        placer: The `Placer`.
        datagrams: The `Datagrams`.
        clock: The runtime's clock.
        timeline: The `Timeline`.
        changed: Called with a `Member` that has newer state than this
            host.
        store_changed: Called with a `StoreChange` of another host.
        sharing: The `CrashSharing`.
        notices: The `Notices`.
        views: The `ViewVerifier`.
    """

    def __init__(
        self,
        members,
        asking,
        placer,
        datagrams,
        clock,
        timeline,
        changed,
        store_changed,
        sharing,
        notices,
        views,
    ):
        self.members = members
        self.asking = asking
        self.placer = placer
        self.datagrams = datagrams
        self.clock = clock
        self.timeline = timeline
        self.changed = changed
        self.sharing = sharing
        self.notices = notices
        self.heartbeats_sent = 0
        self.remote_contacts = []
        self.previously_live = set()
        self.rosters = Rosters(members, datagrams, clock)
        self.handlers = {
            Heartbeat: self.handle_heartbeat,
            Roster: self.handle_roster,
            RecordsAsk: self.rosters.handle_records_request,
            Records: self.rosters.handle_records,
            AskMessage: self.handle_placement_query,
            GrantMessage: self.handle_placement_reply,
            RefusalMessage: self.handle_placement_reply,
            LimitMessage: self.handle_placement_reply,
            TransferAsk: asking.limiting.take_question,
            Transfer: asking.limiting.take_transfer,
            StartMessage: self.handle_attempt_started,
            EndMessage: self.handle_attempt_ended,
            Summary: self.handle_load_report,
            StoreChange: store_changed,
            Suspects: sharing.take,
            NoticeRows: notices.take,
            ViewAsk: views.handle_request,
            ViewAnswer: views.handle_response,
        }

    def receive(self, message, ip):
        """Take one message of another host.

        Only a heartbeat may come from a host that is not known yet, and
        it must come from the address that it names.
        """
        if isinstance(message, Heartbeat):
            known = message.control.rpartition(":")[0] == ip
        else:
            known = self.members.is_known(ip)
        if not known:
            self.timeline.note(EventKind.PEER_REFUSED, why=f"from {ip}")
            return
        self.handlers[type(message)](message)

    def send_heartbeats(self):
        """Report to a few hosts, answer those that report to this one."""
        now = self.clock.seconds()
        region = self.members.own.region
        contacts = self.members.contacts(now, region, MAX_CONTACTS)
        probed = self.members.probed(now, region, self.heartbeats_sent)
        self.report_to_contacts(contacts)
        self.datagrams.send_all(
            self.heartbeat(Report.HEARTBEATS),
            [one for one in probed if one not in contacts],
        )
        self.heartbeats_sent += 1
        if (
            self.heartbeats_sent % REMOTE_INTERVAL_HEARTBEATS == 0
            and self.is_placing(now)
        ):
            self.report_to_remote_regions(now)
        reporting = self.members.reporting(now)
        self.send_in_batches(
            self.heartbeat(),
            [one for one in reporting if one not in contacts],
        )
        self.send_rosters(reporting, now)
        self.update_live_hosts(now)

    def report_to_contacts(self, contacts):
        """Send heartbeats to the hosts that this one reports to.

        The first of them tells of all others.
        """
        tickets = self.asking.open_tickets()
        reports = (
            (contacts[:1], self.heartbeat(Report.ROSTERS, tickets)),
            (
                contacts[1:PLACEMENT_REPORT_HOSTS],
                self.heartbeat(Report.HEARTBEATS, tickets),
            ),
            (
                contacts[PLACEMENT_REPORT_HOSTS:],
                self.heartbeat(Report.HEARTBEATS),
            ),
        )
        for members, message in reports:
            if members:
                self.datagrams.send_all(message, members)

    def send_rosters(self, reporting, now):
        """Tell who lives, to those that count on this host for it."""
        wanting = [one for one in reporting if one.wants is Report.ROSTERS]
        regions = []
        if self.heartbeats_sent % ROSTER_INTERVAL_HEARTBEATS == 0:
            regions.append(self.members.own.region)
        if self.heartbeats_sent % REMOTE_INTERVAL_HEARTBEATS == 1:
            regions += self.other_regions()
        for region in regions if wanting else ():
            self.send_in_batches(self.rosters.roster(region, now), wanting)

    def other_regions(self):
        """Return the other regions of which hosts are known."""
        known = {member.region for member in self.members.others.values()}
        return sorted(known - {self.members.own.region})

    def report_to_remote_regions(self, now):
        """Tell a few hosts of each other region who lives here.

        A roster is believed only from a host that is known; the heartbeat
        makes this one known.
        """
        self.remote_contacts = self.choose_remote_contacts(
            self.other_regions(), now
        )
        self.datagrams.send_all(self.heartbeat(), self.remote_contacts)
        roster = self.rosters.roster(self.members.own.region, now)
        self.datagrams.send_all(roster, self.remote_contacts)

    def send_in_batches(self, message, members):
        """Send *message* to hosts of the region, a few at a time."""
        for first in range(0, len(members), SEND_BATCH_HOSTS):
            some = members[first : first + SEND_BATCH_HOSTS]
            if not first:
                self.datagrams.send_all(message, some)
                continue
            self.clock.callLater(
                SEND_BATCH_PAUSE_SECONDS * first / SEND_BATCH_HOSTS,
                self.datagrams.send_all,
                message,
                some,
            )

    def choose_remote_contacts(self, regions, now):
        """Return the hosts of other regions to report to."""
        chosen = []
        for region in regions:
            chosen += self.members.contacts(
                now, region, MAX_CONTACTS, REMOTE_REPLY_SECONDS
            )
            probed = self.members.probed(
                now, region, self.heartbeats_sent // REMOTE_INTERVAL_HEARTBEATS
            )
            chosen += [one for one in probed if one not in chosen]
        return chosen

    def is_placing(self, now):
        """Whether this host places for its region."""
        return self.members.placers(now)[0] is self.members.own

    def send_initial_state(self, member):
        """Tell a host that has just started what it needs at once.

        Until it has heard of other hosts and of their load it refuses
        what its own region cannot serve.
        """
        if member is None:
            return
        self.datagrams.send(self.heartbeat(), member.control)
        far = member.region != self.members.own.region
        if far and self.is_placing(self.clock.seconds()):
            self.datagrams.send(self.load_report(), member.control)

    def heartbeat(self, report=Report.NONE, tickets=None):
        """Return the heartbeat of this moment.

        Args:
            report: The `Report`.
            tickets: `OpenTicket` of each request in progress, or None.
        """
        own = self.members.own
        return Heartbeat(
            own.name,
            own.incarnation,
            own.region,
            own.data_centre,
            own.front,
            own.control,
            own.relay,
            own.capacity,
            round(own.up_seconds, 1),
            own.leaving,
            round(min(own.contact_age, 1e6), 1),
            own.version,
            own.revisions,
            report,
            tickets,
            self.sharing.crashes.digest,
            self.notices.digest,
        )

    def update_live_hosts(self, now):
        """Forget the work of hosts that fell silent."""
        live = {member.name for member in self.members.live(now)}
        for name in self.previously_live - live:
            self.placer.forget_host(name, now)
            self.timeline.note(EventKind.PEER_GONE, peer=name)
        for name in live - self.previously_live:
            self.timeline.note(EventKind.PEER_SEEN, peer=name)
        self.previously_live = live
        self.members.forget_silent(now, FORGET_HOST_SECONDS)

    def remote_hosts_to_notify(self):
        """Return the hosts of other regions to tell news, if this places."""
        if not self.is_placing(self.clock.seconds()):
            return []
        return self.remote_contacts

    def broadcast_in_region(self, message):
        """Send *message* to all other hosts of the region."""
        region = self.members.own.region
        others = self.members.others.values()
        self.datagrams.send_all(
            message, [one for one in others if one.region == region]
        )

    def send_load_report(self):
        """Tell the other regions this one's load, if this host places."""
        now = self.clock.seconds()
        self.placer.sweep(now)
        if self.remote_contacts and self.is_placing(now):
            self.datagrams.send_all(self.load_report(), self.remote_contacts)

    def load_report(self):
        """Return this region's load as this host sees it."""
        loads = self.placer.summarize(self.clock.seconds())
        return Summary(
            self.members.own.region,
            {service: encode_load(load) for service, load in loads.items()},
        )

    def handle_heartbeat(self, message):
        """Note that a host is up, and what it has."""
        now = self.clock.seconds()
        member = self.members.others.get(message.host)
        if member is None or message.incarnation != member.incarnation:
            self.members.learn(member_of(message), spoke_at=now)
            learned = self.members.others.get(message.host)
            if learned is not member:
                member = learned
                self.placer.forget_host(message.host, now)
                self.send_initial_state(member)
        if member is None or message.incarnation != member.incarnation:
            return
        member.heard_at = now
        leaves = message.leaving and not member.leaving
        member.wants = message.report
        if message.report is not Report.NONE:
            member.reported_at = now
        member.leaving = message.leaving
        member.up_seconds = message.up_seconds
        member.contact_age = message.contact_age
        member.version = message.version
        member.revisions = message.revisions
        if leaves:
            self.announce_leaving(member, now)
        own = self.members.own
        if member.is_ahead(own.version, own.revisions):
            self.changed(member)
        self.sharing.compare(member, message.crashes)
        self.notices.compare(member, message.notices)
        if message.tickets is not None:
            self.handle_placements(message, now)

    def announce_leaving(self, member, now):
        """Tell at once that a host is about to leave.

        It serves on for little longer than callers keep an answer of the
        directory, which must not name it any more.
        """
        wanting = [
            one
            for one in self.members.reporting(now)
            if one.wants is Report.ROSTERS
        ]
        self.send_in_batches(
            self.rosters.single_host_roster(member, now), wanting
        )

    def handle_roster(self, message):
        """Note which hosts live; answer a host of another region.

        Right after a start that one may know just a few hosts here, and
        not the one that places. It learns of the others by the roster.
        """
        self.rosters.handle_roster(message)
        sender = self.members.others.get(message.host)
        own = self.members.own.region
        if sender is None or sender.region == own:
            return
        self.datagrams.send(self.heartbeat(), sender.control)
        now = self.clock.seconds()
        if not self.is_placing(now):
            roster = self.rosters.roster(own, now)
            self.datagrams.send(roster, sender.control)

    def handle_placements(self, message, now):
        """Make the work of a host agree with what it says."""
        numbers = {ticket.number for ticket in message.tickets}
        self.placer.keep_only(
            message.host,
            numbers,
            now,
            older_than=UNCONFIRMED_PLACEMENT_SECONDS,
        )
        for row in message.tickets:
            self.placer.adopt(decode_placement(message.host, row, now), now)

    def handle_placement_query(self, message):
        """Place a request of another host."""
        member = self.members.others.get(message.host)
        if member is not None:
            self.asking.take_question(message, member)

    def handle_placement_reply(self, message):
        """Take the decision of a placing host."""
        self.asking.take_answer(message)

    def handle_attempt_started(self, message):
        """Note the first event of another host's request."""
        self.placer.note_start(
            message.host,
            message.number,
            message.seconds,
            self.clock.seconds(),
        )

    def handle_attempt_ended(self, message):
        """Note the end of another host's attempt."""
        self.asking.take_end(
            message.host,
            message.number,
            message.server_id,
            Finding(message.finding),
        )

    def handle_load_report(self, message):
        """Take over another region's load."""
        now = self.clock.seconds()
        self.placer.take_load(
            message.region,
            {
                service: decode_load(load)
                for service, load in message.loads.items()
            },
            now,
        )


def encode_load(load):
    """Return the `ServiceLoad` of a `RegionLoad`."""
    rooms = [
        ToldRoom(
            [round(wait * 1000) for wait in room.waits],
            round(room.used * 100),
            round(room.token_seconds * 1e6),
            -1 if room.spare is NOTHING else room.spare,
        )
        for room in load.rooms
    ]
    return ServiceLoad(load.slots, rooms, list(load.read))


def decode_load(load):
    """Return the `RegionLoad` of a `ServiceLoad`."""
    rooms = [
        Room(
            tuple(millis / 1000 for millis in told.waits),
            told.used / 100,
            told.token_micros / 1e6,
            told.spare if told.spare >= 0 else NOTHING,
        )
        for told in load.rooms
        if len(told.waits) == RANKS
    ]
    return RegionLoad(load.slots, tuple(rooms), tuple(load.read))


def decode_placement(host, row, now):
    """Return the `Ticket` of a row in a heartbeat."""
    return Ticket(
        host=host,
        number=row.number,
        server_id=row.server_id,
        placed_at=now,
        fresh_tokens=row.fresh_tokens,
        tokens=row.tokens,
        tokens_out=row.tokens_out,
        urgency=row.urgency,
        started=row.started,
    )
