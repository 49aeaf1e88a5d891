"""Heartbeats and load reports between hosts."""

from ..core.events import EventKind
from ..core.sentinels import NOTHING
from ..traffic.evidence import Finding
from ..traffic.members import Report
from ..traffic.regions import RegionLoad, Room
from ..traffic.work import RANKS, Ticket
from .hostentries import member_from_entry
from .messages import (
    AttemptEndedMessage,
    AttemptStartedMessage,
    Heartbeat,
    HostEntriesMessage,
    HostEntriesRequest,
    PlacementGrantMessage,
    PlacementQueryMessage,
    PlacementRefusalMessage,
    RegionLoadMessage,
    Roster,
    ServerCapacityRow,
    ServerNoticesMessage,
    ServiceLoad,
    StoreChange,
    SuspectsMessage,
    TokenTransfer,
    TokenTransferRequest,
    ViewRequest,
    ViewResponse,
    WorkspaceLimitMessage,
)
from .rosters import Rosters

__all__ = ["Membership"]

HEARTBEAT_EVERY = 0.5
"""Seconds between heartbeats to the hosts of the region."""

ROSTER_BEATS = 2
"""Heartbeat intervals between two rosters of this region. Who is about to
leave is told at once."""

FAR_BEATS = 4
"""Heartbeat intervals between two rosters of or to another region."""

AT_ONCE = 6
PAUSE = 0.02
"""Hosts to which the same is sent at once, and seconds to the next ones. A
host that sends to its whole region in one go fills a link of 20 Mbit/s, and
what it sends last, to other regions, is always lost."""

FAR_ANSWER = 6.5
"""Seconds within which a host of another region must answer a report: the
third in a row is without an answer by then."""

CONTACTS = 3
"""Hosts of a region that a host reports to: the one that places, and two
that would follow. With two, the loss of a data centre leaves a region
without any one time in two. Placing hosts report to as many elsewhere."""

SUMMARY_EVERY = 0.2
"""Seconds between load reports to other regions; loads change within the
time of a few requests."""

INFORMED_HOSTS = 2
"""Hosts of the region that hear of work in progress: the one that places,
and the one that would take over."""

UNCONFIRMED = 0.7
"""Seconds after which a placed request that its host does not name any
more is taken as ended."""

FORGET_AFTER = 30.0
"""Seconds without a word after which a host is forgotten."""


class Membership:
    """Exchange control messages with the other hosts.

    Args:
        members: The `Members`.
        coordinator: The `PlacementCoordinator`.
        placer: The `Placer`.
        datagrams: The `DatagramEndpoint`.
        clock: The runtime's clock.
        timeline: The `Timeline`.
        changed: Called with a `Member` that has newer state than this
            host.
        store_changed: Called with a `StoreChange` of another host.
        sharing: The `CrashSharing`.
        notices: The `ServerNotices`.
        views: The `ViewChecking`.
    """

    def __init__(
        self,
        members,
        coordinator,
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
        self.coordinator = coordinator
        self.placer = placer
        self.datagrams = datagrams
        self.clock = clock
        self.timeline = timeline
        self.changed = changed
        self.sharing = sharing
        self.notices = notices
        self.beats = 0
        self.far_contacts = []
        self.was_live = set()
        self.rosters = Rosters(members, datagrams, clock)
        self.handlers = {
            Heartbeat: self.take_heartbeat,
            Roster: self.take_roster,
            HostEntriesRequest: self.rosters.tell_records,
            HostEntriesMessage: self.rosters.take_records,
            PlacementQueryMessage: self.take_ask,
            PlacementGrantMessage: self.take_answer,
            PlacementRefusalMessage: self.take_answer,
            WorkspaceLimitMessage: self.take_answer,
            TokenTransferRequest: coordinator.limiter.handle_transfer_request,
            TokenTransfer: coordinator.limiter.handle_transfer,
            AttemptStartedMessage: self.take_start,
            AttemptEndedMessage: self.take_end,
            RegionLoadMessage: self.take_summary,
            StoreChange: store_changed,
            SuspectsMessage: sharing.merge,
            ServerNoticesMessage: notices.merge,
            ViewRequest: views.take_question,
            ViewResponse: views.take_answer,
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

    def beat(self):
        """Report to a few hosts, answer those that report to this one."""
        now = self.clock.seconds()
        region = self.members.own.region
        contacts = self.members.contacts(now, region, CONTACTS)
        probed = self.members.probed(now, region, self.beats)
        self.report(contacts)
        self.datagrams.send_all(
            self.heartbeat(Report.HEARTBEATS),
            [one for one in probed if one not in contacts],
        )
        self.beats += 1
        if self.beats % FAR_BEATS == 0 and self.places(now):
            self.report_far(now)
        reporting = self.members.reporting(now)
        self.send_to_many(
            self.heartbeat(),
            [one for one in reporting if one not in contacts],
        )
        self.send_rosters(reporting, now)
        self.notice_gone(now)

    def report(self, contacts):
        """Send heartbeats to the hosts that this one reports to.

        The first of them tells of all others.
        """
        tickets = self.coordinator.placement_rows()
        reports = (
            (contacts[:1], self.heartbeat(Report.ROSTERS, tickets)),
            (
                contacts[1:INFORMED_HOSTS],
                self.heartbeat(Report.HEARTBEATS, tickets),
            ),
            (contacts[INFORMED_HOSTS:], self.heartbeat(Report.HEARTBEATS)),
        )
        for members, message in reports:
            if members:
                self.datagrams.send_all(message, members)

    def send_rosters(self, reporting, now):
        """Tell who lives, to those that count on this host for it."""
        wanting = [one for one in reporting if one.wants is Report.ROSTERS]
        regions = []
        if self.beats % ROSTER_BEATS == 0:
            regions.append(self.members.own.region)
        if self.beats % FAR_BEATS == 1:
            regions += self.other_regions()
        for region in regions if wanting else ():
            self.send_to_many(self.rosters.roster(region, now), wanting)

    def other_regions(self):
        """Return the other regions of which hosts are known."""
        known = {member.region for member in self.members.others.values()}
        return sorted(known - {self.members.own.region})

    def report_far(self, now):
        """Tell a few hosts of each other region who lives here.

        A roster is believed only from a host that is known; the heartbeat
        makes this one known.
        """
        self.far_contacts = self.choose_far(self.other_regions(), now)
        self.datagrams.send_all(self.heartbeat(), self.far_contacts)
        roster = self.rosters.roster(self.members.own.region, now)
        self.datagrams.send_all(roster, self.far_contacts)

    def send_to_many(self, message, members):
        """Send *message* to hosts of the region, a few at a time."""
        for first in range(0, len(members), AT_ONCE):
            some = members[first : first + AT_ONCE]
            if not first:
                self.datagrams.send_all(message, some)
                continue
            self.clock.callLater(
                PAUSE * first / AT_ONCE,
                self.datagrams.send_all,
                message,
                some,
            )

    def choose_far(self, regions, now):
        """Return the hosts of other regions to report to."""
        chosen = []
        for region in regions:
            chosen += self.members.contacts(now, region, CONTACTS, FAR_ANSWER)
            probed = self.members.probed(now, region, self.beats // FAR_BEATS)
            chosen += [one for one in probed if one not in chosen]
        return chosen

    def places(self, now):
        """Whether this host places for its region."""
        return self.members.placers(now)[0] is self.members.own

    def welcome(self, member):
        """Tell a host that has just started what it needs at once.

        Until it has heard of other hosts and of their load it refuses
        what its own region cannot serve.
        """
        if member is None:
            return
        self.datagrams.send(self.heartbeat(), member.control)
        far = member.region != self.members.own.region
        if far and self.places(self.clock.seconds()):
            self.datagrams.send(self.summary(), member.control)

    def heartbeat(self, report=Report.NONE, tickets=None):
        """Return the heartbeat of this moment.

        Args:
            report: The `Report`.
            tickets: `PlacementRow` of each request in progress, or None.
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

    def notice_gone(self, now):
        """Forget the work of hosts that fell silent."""
        live = {member.name for member in self.members.live(now)}
        for name in self.was_live - live:
            self.placer.forget_host(name, now)
            self.timeline.note(EventKind.PEER_GONE, peer=name)
        for name in live - self.was_live:
            self.timeline.note(EventKind.PEER_SEEN, peer=name)
        self.was_live = live
        self.members.forget_silent(now, FORGET_AFTER)

    def far_hosts_to_tell(self):
        """Return the hosts of other regions to tell news, if this places."""
        if not self.places(self.clock.seconds()):
            return []
        return self.far_contacts

    def spread(self, message):
        """Send *message* to all other hosts of the region."""
        region = self.members.own.region
        others = self.members.others.values()
        self.datagrams.send_all(
            message, [one for one in others if one.region == region]
        )

    def summarize(self):
        """Tell the other regions this one's load, if this host places."""
        now = self.clock.seconds()
        self.placer.sweep(now)
        if self.far_contacts and self.places(now):
            self.datagrams.send_all(self.summary(), self.far_contacts)

    def summary(self):
        """Return this region's load as this host sees it."""
        loads = self.placer.summarize(self.clock.seconds())
        return RegionLoadMessage(
            self.members.own.region,
            {service: told_load(load) for service, load in loads.items()},
        )

    def take_heartbeat(self, message):
        """Note that a host is up, and what it has."""
        now = self.clock.seconds()
        member = self.members.others.get(message.host)
        if member is None or message.incarnation != member.incarnation:
            self.members.learn(member_from_entry(message), spoke_at=now)
            learned = self.members.others.get(message.host)
            if learned is not member:
                member = learned
                self.placer.forget_host(message.host, now)
                self.welcome(member)
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
            self.tell_leaving(member, now)
        own = self.members.own
        if member.is_ahead(own.version, own.revisions):
            self.changed(member)
        self.sharing.compare(member, message.crashes)
        self.notices.compare(member, message.notices)
        if message.placements is not None:
            self.take_tickets(message, now)

    def tell_leaving(self, member, now):
        """Tell at once that a host is about to leave.

        It serves on for little longer than callers keep an answer of the
        directory, which must not name it any more.
        """
        wanting = [
            one
            for one in self.members.reporting(now)
            if one.wants is Report.ROSTERS
        ]
        self.send_to_many(self.rosters.about(member, now), wanting)

    def take_roster(self, message):
        """Note which hosts live; answer a host of another region.

        Right after a start that one may know just a few hosts here, and
        not the one that places. It learns of the others by the roster.
        """
        self.rosters.take(message)
        sender = self.members.others.get(message.host)
        own = self.members.own.region
        if sender is None or sender.region == own:
            return
        self.datagrams.send(self.heartbeat(), sender.control)
        now = self.clock.seconds()
        if not self.places(now):
            roster = self.rosters.roster(own, now)
            self.datagrams.send(roster, sender.control)

    def take_tickets(self, message, now):
        """Make the work of a host agree with what it says."""
        numbers = {ticket.number for ticket in message.placements}
        self.placer.keep_only(
            message.host, numbers, now, older_than=UNCONFIRMED
        )
        for row in message.placements:
            self.placer.adopt(ticket_of(message.host, row, now), now)

    def take_ask(self, message):
        """Place a request of another host."""
        member = self.members.others.get(message.host)
        if member is not None:
            self.coordinator.enqueue_query(message, member)

    def take_answer(self, message):
        """Take the decision of a placing host."""
        self.coordinator.handle_answer(message)

    def take_start(self, message):
        """Note the first event of another host's request."""
        self.placer.note_start(
            message.host,
            message.number,
            message.seconds,
            self.clock.seconds(),
        )

    def take_end(self, message):
        """Note the end of another host's attempt."""
        self.coordinator.handle_end(
            message.host,
            message.number,
            message.server_id,
            Finding(message.finding),
        )

    def take_summary(self, message):
        """Take over another region's load."""
        now = self.clock.seconds()
        self.placer.take_load(
            message.region,
            {
                service: heard_load(load)
                for service, load in message.loads.items()
            },
            now,
        )


def told_load(load):
    """Return the `ServiceLoad` of a `RegionLoad`."""
    rooms = [
        ServerCapacityRow(
            [round(wait * 1000) for wait in room.waits],
            round(room.used * 100),
            round(room.token_seconds * 1e6),
            -1 if room.spare is NOTHING else room.spare,
        )
        for room in load.rooms
    ]
    return ServiceLoad(load.slots, rooms, list(load.read))


def heard_load(load):
    """Return the `RegionLoad` of a `ServiceLoad`."""
    rooms = [
        Room(
            tuple(millis / 1000 for millis in told.waits),
            told.occupancy / 100,
            told.token_micros / 1e6,
            told.spare if told.spare >= 0 else NOTHING,
        )
        for told in load.capacities
        if len(told.waits) == RANKS
    ]
    return RegionLoad(load.slots, tuple(rooms), tuple(load.prefilled_parts))


def ticket_of(host, row, now):
    """Return the `Ticket` of a row in a heartbeat."""
    return Ticket(
        host=host,
        number=row.number,
        server_id=row.server_id,
        placed_at=now,
        fresh_tokens=row.uncached_tokens,
        tokens=row.tokens,
        tokens_out=row.tokens_out,
        urgency=row.urgency,
        started=row.started,
    )
